//! Signals as flags that the main loop polls. The usual self-pipe between handler and loop would be a socket
//! pair, and a live front may hold no sockets other than its listener and links.

use std::io;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;

/// The registered signals, each with a flag that is set until it is polled.
pub struct Signals(Vec<(i32, Arc<AtomicBool>)>);

impl Signals {
    /// Registers a handler for each signal.
    pub fn new<const N: usize>(signals: [i32; N]) -> io::Result<Signals> {
        let register = |signal| {
            let received = Arc::new(AtomicBool::new(false));
            signal_hook::flag::register(signal, received.clone())?;
            Ok((signal, received))
        };
        signals.into_iter().map(register).collect::<io::Result<_>>().map(Signals)
    }

    /// Returns the signals received since the last call, each once, and clears their flags.
    pub fn pending(&self) -> impl Iterator<Item = i32> + '_ {
        self.0
            .iter()
            .filter(|(_, received)| received.swap(false, Ordering::Relaxed))
            .map(|(signal, _)| *signal)
    }
}
