//! The memory that clients can make a front hold with messages that they do not finish.

mod common;

use common::*;
use shalespindle_platform::ConnectionId;

const CLIENTS: usize = 900;
/// The memory that all incomplete messages may take together: a sixteenth of the limit of 32 MB.
const MAX_PARTIAL_BYTES: usize = 2_000_000;
/// What a bad client sends of a message, bytes.
const PART: usize = 15_000;

/// A front with 32 MB and 1,024 descriptors, and its link to a server.
fn small_front() -> (TestFront, ConnectionId) {
    let text = file(&[event(1, true, &[member("s0", 0, "up", 0)])], 4222)
        .replace("\"memory_mb\":64,\"sockets\":256", "\"memory_mb\":32,\"sockets\":1024");
    let mut front = TestFront::from(&text);
    let link = front.bring_up_link(0);
    (front, link)
}

/// Guards against the picture of a process over its memory limit: 900 clients had written 15 KB of a message
/// each, whatever part of it, and the front kept them all.
#[test]
fn incomplete_messages_take_a_limited_part_of_the_memory() {
    let message = invite_of_size(MAX_MESSAGE_BYTES, "");
    let many_fields = format!("INVITE sip:a@net SIP/2.0\r\n{}", "a:b\r\n".repeat(PART / 5));
    let long_field = format!("INVITE sip:a@net SIP/2.0\r\nX-Long: {}", "x".repeat(PART));
    for part in [&message[..PART], &many_fields, &long_field] {
        let (mut front, link) = small_front();
        let caller = front.establish_call(link, 1);
        let (begin, end) = message.split_at(PART);
        let set_up = invite(2, 0);
        let (set_up_begin, set_up_end) = set_up.split_at(set_up.len() / 2);
        front.bytes(caller, set_up_begin.as_bytes());
        let bad: Vec<ConnectionId> = (0..CLIENTS).map(|_| front.client()).collect();
        for client in &bad {
            part.as_bytes().chunks(4096).for_each(|chunk| front.bytes(*client, chunk));
        }
        let closed: Vec<ConnectionId> =
            bad.iter().copied().filter(|c| front.closed.contains(&(*c, false))).collect();
        assert!((CLIENTS - closed.len()) * PART <= MAX_PARTIAL_BYTES, "{} of {CLIENTS} closed", closed.len());
        assert!(closed.iter().all(|client| front.first_answer(*client) == "503"));
        // A caller whose call stands goes on with its message, and so does whoever wrote last.
        front.bytes(caller, set_up_end.as_bytes());
        assert!(front.take_written(link).contains(&id(2)));
        let last = front.client();
        front.bytes(last, begin.as_bytes());
        front.bytes(last, end.as_bytes());
        assert_ne!(front.first_answer(last), "503", "{}", &part[..20]);
    }
}

/// Guards against buffers that stay as long as the longest message was, and count for the limit.
#[test]
fn messages_that_were_handled_take_no_memory() {
    let (mut front, _) = small_front();
    let message = request("OPTIONS", 1)
        .replace("Content-Length: 0\r\n\r\n", &format!("Content-Length: {PART}\r\n\r\n{}", "x".repeat(PART)));
    let clients: Vec<ConnectionId> = (0..CLIENTS).map(|_| front.client()).collect();
    for client in &clients {
        front.bytes(*client, format!("{message}OPTIONS").as_bytes());
        assert_eq!(front.first_answer(*client), "200");
    }
    assert_eq!(front.edge.counters().clients_evicted, 0);
}
