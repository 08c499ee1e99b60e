//! One client that sends at full speed on one connection, beside usual callers.

#[path = "common/live.rs"]
#[allow(dead_code)]
mod live;
#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use live::{Caller, Live};
use process::TIMEOUT;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Longest time for which a flood lasts; a caller that is answered only after it fails the test.
const FLOOD_LIMIT: Duration = Duration::from_secs(8);
/// Requests of the usual caller during the flood.
const REQUESTS: usize = 20;
/// Requests that the bad client writes at once.
const BATCH: u64 = 200;

/// Requests of one method, each for another call.
fn requests(method: &str, first: u64) -> String {
    let request = |call: u64| {
        format!(
            "{method} sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: {call:016x}\r\nCSeq: 1 {method}\r\n\
             Content-Length: 0\r\n\r\n"
        )
    };
    (first..first + BATCH).map(request).collect()
}

/// Sends requests at full speed until `ended` is set or the limit has passed, and reads all answers. Returns
/// whether the flood was still on when it was ended.
fn flood(to: SocketAddr, method: &'static str, ended: &AtomicBool) -> bool {
    let mut stream = TcpStream::connect(to).unwrap();
    let mut answers = stream.try_clone().unwrap();
    let reader = std::thread::spawn(move || {
        let mut buffer = vec![0; 1 << 16];
        while answers.read(&mut buffer).is_ok_and(|size| size > 0) {}
    });
    let begin = Instant::now();
    for first in (1 << 32..).step_by(BATCH as usize) {
        if ended.load(Ordering::Acquire) || begin.elapsed() > FLOOD_LIMIT {
            break;
        }
        stream.write_all(requests(method, first).as_bytes()).unwrap();
    }
    let was_on = ended.load(Ordering::Acquire);
    stream.shutdown(std::net::Shutdown::Both).unwrap();
    reader.join().unwrap();
    was_on
}

/// Guards against the picture of callers that wait until one client stops: its reader and the front's owner kept
/// each other runnable, and the scheduler did not look at any other socket.
#[test]
fn usual_callers_are_answered_while_one_client_sends_at_full_speed() {
    for method in ["OPTIONS", "CANCEL", "BYE"] {
        let live = Live::start(1);
        let mut caller = Caller::accepted(live.listen);
        let ended = Arc::new(AtomicBool::new(false));
        let (listen, flood_ended) = (live.listen, ended.clone());
        let flooding = std::thread::spawn(move || flood(listen, method, &flood_ended));
        for call in 0..REQUESTS {
            caller.send("INVITE", &format!("{:016x}", call + 1), "9d41\r\n");
            let set_up = live.servers[0].expect("setup", TIMEOUT).unwrap();
            let answer = serde_json::json!({"type": "answer", "id": set_up.id(), "fields": {}, "sdp": "77"});
            set_up.reply(&answer).unwrap();
            assert_eq!(caller.next_message().kind, "200", "{method}");
        }
        ended.store(true, Ordering::Release);
        assert!(flooding.join().unwrap(), "{method}: answered only after the flood");
    }
}
