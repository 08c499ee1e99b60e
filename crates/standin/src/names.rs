//! A name server on sockets: one port for UDP and TCP. Its owner supplies the function that answers
//! questions.

use crate::nameserver::Reply;
use may::net::{TcpListener, TcpStream, UdpSocket};
use shalespindle_sockets::{end, start, Handle, LARGE_STACK};
use std::io::{self, Read, Write};
use std::sync::Arc;
use std::time::Duration;

/// Answers a question; the flag is true for TCP.
pub type Answer = Arc<dyn Fn(&[u8], bool) -> Vec<Reply> + Send + Sync>;

/// Maximum number of concurrent streams, a bound on what clients that never close can hold.
const MAX_STREAMS: usize = 64;
/// An idle stream is closed after this time.
const IDLE_TIMEOUT: Duration = Duration::from_secs(5);

/// A running name server; dropping it stops it.
pub struct HostedNames(Vec<Handle>);

impl Drop for HostedNames {
    fn drop(&mut self) {
        for handle in self.0.drain(..) {
            end(handle);
        }
    }
}

/// Starts a name server on these sockets.
pub fn name_server(udp: UdpSocket, tcp: TcpListener, answer: Answer) -> io::Result<HostedNames> {
    let for_streams = answer.clone();
    let datagrams = start(LARGE_STACK, move || {
        let mut buffer = vec![0; 4096];
        loop {
            let Ok((size, from)) = udp.recv_from(&mut buffer) else { continue };
            for reply in answer(&buffer[..size], false) {
                if reply.after <= 0.0 {
                    // A reply that cannot be sent is a lost datagram: the client asks again.
                    let _ = udp.send_to(&reply.bytes, from);
                } else if let Ok(late) = udp.try_clone() {
                    let after = Duration::from_secs_f64(reply.after);
                    let _ = start(LARGE_STACK, move || {
                        may::coroutine::sleep(after);
                        let _ = late.send_to(&reply.bytes, from);
                    });
                }
            }
        }
    })?;
    let streams = start(LARGE_STACK, move || {
        let open = Arc::new(());
        loop {
            let Ok((stream, _)) = tcp.accept() else { continue };
            if Arc::strong_count(&open) > MAX_STREAMS {
                continue;
            }
            let (answer, open) = (for_streams.clone(), open.clone());
            let _ = start(LARGE_STACK, move || {
                // A client whose stream breaks opens another one.
                let _ = serve_stream(stream, &answer);
                drop(open);
            });
        }
    })?;
    Ok(HostedNames(vec![datagrams, streams]))
}

/// Answers the questions of one stream, each prefixed with its length (RFC 1035 section 4.2.2).
fn serve_stream(mut stream: TcpStream, answer: &Answer) -> io::Result<()> {
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    loop {
        let mut length = [0; 2];
        stream.read_exact(&mut length)?;
        let mut question = vec![0; usize::from(u16::from_be_bytes(length))];
        stream.read_exact(&mut question)?;
        for reply in answer(&question, true) {
            may::coroutine::sleep(Duration::from_secs_f64(reply.after.max(0.0)));
            let length = (reply.bytes.len() as u16).to_be_bytes();
            stream.write_all(&[&length[..], &reply.bytes].concat())?;
        }
    }
}
