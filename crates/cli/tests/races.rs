//! Moments that are rare in service, forced every time on the process itself: what comes between a request and its
//! answer when callers close, servers fall silent and signals arrive.

#[path = "common/live.rs"]
#[allow(dead_code)]
mod live;
#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use live::{signal, Caller, Live};
use nix::sys::signal::Signal;
use process::PATIENCE;

const CALLS: [&str; 2] = ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"];

/// Two servers take the attach and hold their answer past the end of the front, 3.6 s after SIGTERM.
#[test]
fn what_is_in_hand_when_a_front_ends_by_itself_is_answered() {
    let mut live = Live::start(2);
    let mut caller = Caller::accepted(live.listen);
    signal(&live.front, Signal::SIGTERM);
    caller.send("INVITE", CALLS[0], "9d41\r\n");
    live.servers[0].expect("setup", PATIENCE).unwrap();
    // The first try times out; the second is out when the end comes.
    live.servers[1].expect("setup", PATIENCE).unwrap();
    assert_eq!(caller.next().0, "504");
    assert_eq!(live.servers[1].expect("release", PATIENCE).unwrap().id(), CALLS[0]);
    assert!(live.ended().success());
}
