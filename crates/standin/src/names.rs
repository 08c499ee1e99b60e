//! A name server on sockets: one port for datagrams and streams; what it answers is its owner's.

use crate::nameserver::Reply;
use may::net::{TcpListener, TcpStream, UdpSocket};
use shalespindle_sockets::{end, start, Handle, LARGE_STACK};
use std::io::{self, Read, Write};
use std::sync::Arc;
use std::time::Duration;

/// Answers a question; the flag is for a stream.
pub type Answer = Arc<dyn Fn(&[u8], bool) -> Vec<Reply> + Send + Sync>;

/// Streams at once; a client that never closes holds no more.
const MOST_STREAMS: usize = 64;
/// A stream that says nothing for so long is closed.
const IDLE: Duration = Duration::from_secs(5);

/// A name server in service; dropping it ends it.
pub struct HostedNames(Vec<Handle>);

impl Drop for HostedNames {
    fn drop(&mut self) {
        for handle in self.0.drain(..) {
            end(handle);
        }
    }
}

/// Starts answering on these sockets.
pub fn name_server(udp: UdpSocket, tcp: TcpListener, answer: Answer) -> io::Result<HostedNames> {
    let for_streams = answer.clone();
    let datagrams = start(LARGE_STACK, move || {
        let mut buffer = vec![0; 4096];
        loop {
            let Ok((size, from)) = udp.recv_from(&mut buffer) else { continue };
            for reply in answer(&buffer[..size], false) {
                if reply.after <= 0.0 {
                    // Lost like any other datagram: whoever asked asks again.
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
            if Arc::strong_count(&open) > MOST_STREAMS {
                continue;
            }
            let (answer, open) = (for_streams.clone(), open.clone());
            let _ = start(LARGE_STACK, move || {
                // A stream that breaks is its client's to open again.
                let _ = questions(stream, &answer);
                drop(open);
            });
        }
    })?;
    Ok(HostedNames(vec![datagrams, streams]))
}

/// Questions of one stream, each with its length in front (RFC 1035 section 4.2.2).
fn questions(mut stream: TcpStream, answer: &Answer) -> io::Result<()> {
    stream.set_read_timeout(Some(IDLE))?;
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
