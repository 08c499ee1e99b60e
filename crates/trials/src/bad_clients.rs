//! Clients that send what nobody can use; each is owed a refusal, an error or its connection's close in time.

use crate::record::{Event, Recorder};
use rand::Rng;
use rand_chacha::ChaCha8Rng;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The platform gives a front this long after the connection, and what passing the sockets may add.
const REJECT_TIMEOUT: Duration = Duration::from_millis(3200);

/// What one of them sends, by number.
fn malformed_message(kind: u32) -> Vec<u8> {
    let head = "INVITE sip:7f3a9c21e0b4d655@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCSeq: 1 INVITE\r\n";
    let text = match kind % 7 {
        0 => "\u{1}\u{2}noise that is no message\r\n\r\n".to_string(),
        1 => format!("{head}Call-ID: 00000000000000aa\r\nContent-Length: -5\r\n\r\n"),
        2 => format!("{head}Call-ID: 00000000000000ab\r\nContent-Length: 60000000\r\n\r\nx"),
        3 => format!("{head}Call-ID: none\r\nX-Service: voice\r\nX-Setup-Ms: 900\r\nContent-Length: 2\r\n\r\nxx"),
        4 => format!("{head}Call-ID: 00000000000000ac\r\nX-Service: fax\r\nX-Setup-Ms: 900\r\nContent-Length: 2\r\n\r\nxx"),
        5 => format!("{head}Call-ID: 00000000000000ad\r\nX-Service: voice\r\nX-Setup-Ms: 1e9\r\nContent-Length: 2\r\n\r\nxx"),
        // Half a message, and nothing more.
        _ => head.to_string(),
    };
    text.into_bytes()
}

/// Connects, sends, and waits for an answer that is no success, or for the close.
pub fn try_one(to: SocketAddr, rng: &mut ChaCha8Rng, recorder: &Recorder) {
    let Ok(mut stream) = TcpStream::connect_timeout(&to, Duration::from_secs(1)) else { return };
    // A front that has just ended is no case of theirs.
    if stream.set_read_timeout(Some(REJECT_TIMEOUT)).is_err()
        || stream.write_all(&malformed_message(rng.random())).is_err()
    {
        return;
    }
    let mut answer = [0; 12];
    let was_turned_away = match stream.read(&mut answer) {
        Ok(0) => true,
        Ok(size) => !answer[..size].starts_with(b"SIP/2.0 200"),
        Err(error) => !matches!(error.kind(), std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut),
    };
    recorder.record(Event::BadClient { was_turned_away });
}
