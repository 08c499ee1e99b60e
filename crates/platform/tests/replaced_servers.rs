//! Servers that vanish without a sign and whose address a new one takes before the list tells.

mod common;

use common::*;
use shalespindle_platform::{ConnectionId, Loss};

/// When the new server starts, seconds after the beginning, and the same as the list gives it.
const STARTS_AFTER: f64 = 5.0;
const STARTED_MS: u64 = 1_700_000_005_000;
/// The calls set up at the server that vanishes, and at the new one before the list names it.
const OLD_CALL: u64 = 1;
const NEW_CALL: u64 = 2;

/// A front whose server `s0` was replaced by `t0`, which the list has not named yet.
struct Replaced {
    front: TestFront,
    feed: ConnectionId,
    /// The link of `s0` to the new process.
    link: ConnectionId,
    old_client: ConnectionId,
    new_client: ConnectionId,
}

impl Replaced {
    fn new() -> Replaced {
        let (mut front, links) = TestFront::with_links(1);
        let feed = front.take_feed_dial(4222);
        front.edge.connected(front.now, feed);
        front.bytes(feed, b"HTTP/1.1 200 OK\r\n\r\n");
        let old_client = front.establish_call(links[0], OLD_CALL);
        front.advance(STARTS_AFTER);
        // The new machine does not know the connection.
        front.lose_connection(links[0], Loss::Broken);
        front.advance(0.1);
        // All dials but the last have timed out.
        while front.dials.iter().filter(|d| d.1 == 6000).count() > 1 {
            front.take_dial(0);
        }
        let link = front.bring_up_link(0);
        let new_client = front.establish_call(link, NEW_CALL);
        Replaced { front, feed, link, old_client, new_client }
    }

    fn list(&mut self, n: u64, members: &[String]) {
        let update = event(n, false, members);
        self.front.bytes(self.feed, format!("id: {n}\ndata: {update}\n\n").as_bytes());
    }

    /// Confirms the releases on the clients' connections since the last call of this, and returns their calls.
    fn confirm_releases(&mut self) -> Vec<String> {
        let mut calls = Vec::new();
        for client in [self.old_client, self.new_client] {
            for (_, call) in self.front.take_answers(client).into_iter().filter(|a| a.0 == "BYE") {
                let ok =
                    format!("SIP/2.0 200 OK\r\nCall-ID: {call}\r\nCSeq: 2 BYE\r\nContent-Length: 0\r\n\r\n");
                self.front.bytes(client, ok.as_bytes());
                calls.push(call);
            }
        }
        calls
    }
}

/// Guards against review case 7: the callers of a server that vanished were told when the list removed it, over 8 s
/// after the end, since the new server at its address was heard in its name.
#[test]
fn calls_of_a_server_end_when_a_later_one_is_listed_at_its_address() {
    let mut replaced = Replaced::new();
    replaced.list(2, &[member("t0", 0, "up", STARTED_MS)]);
    replaced.front.advance(0.1);
    assert_eq!(replaced.confirm_releases(), [id(OLD_CALL)]);
}

/// Guards against the mirror: the calls that the new process has already are ended together with the old entry.
#[test]
fn calls_of_a_new_server_outlive_the_entry_through_which_they_were_set_up() {
    for members in [
        vec![member("t0", 0, "up", STARTED_MS)],
        vec![member("s0", 0, "removed", 0), member("t0", 0, "up", STARTED_MS)],
        vec![member("s0", 0, "draining", 0), member("t0", 0, "draining", STARTED_MS)],
    ] {
        let mut replaced = Replaced::new();
        replaced.list(2, &members);
        let mut released = replaced.confirm_releases();
        replaced.list(3, &[member("s0", 0, "removed", 0)]);
        replaced.front.advance(1.0);
        released.extend(replaced.confirm_releases());
        assert_eq!(released, [id(OLD_CALL)], "{members:?}");
        assert!(!replaced.front.closed.contains(&(replaced.link, true)), "{members:?}");
        // The process releases the call on the link of its set-up.
        replaced.front.send_line(replaced.link, &release(NEW_CALL, 16, ""));
        assert_eq!(replaced.confirm_releases(), [id(NEW_CALL)], "{members:?}");
    }
}

/// Guards against the same for a set-up that is out while the list names the new server.
#[test]
fn a_set_up_out_at_a_new_server_belongs_to_it_once_it_is_answered() {
    const LATE_CALL: u64 = 3;
    let mut replaced = Replaced::new();
    replaced.front.advance(1.0);
    let client = replaced.front.client();
    replaced.front.bytes(client, invite(LATE_CALL, 0).as_bytes());
    assert!(replaced.front.take_written(replaced.link).contains(&id(LATE_CALL)));
    replaced.list(2, &[member("t0", 0, "up", STARTED_MS)]);
    replaced.confirm_releases();
    replaced.front.send_line(replaced.link, &answer(LATE_CALL));
    replaced.front.bytes(client, request("ACK", LATE_CALL).as_bytes());
    assert_eq!(replaced.front.first_answer(client), "200");
    replaced.list(3, &[member("s0", 0, "removed", 0)]);
    replaced.front.advance(1.0);
    assert_eq!(replaced.front.take_answers(client), []);
}

/// Guards against a call held as established at a server that has gone for certain.
#[test]
fn a_call_handed_over_at_a_replaced_server_is_released_at_once() {
    const HANDED_OVER: u64 = 4;
    let mut replaced = Replaced::new();
    replaced.list(2, &[member("t0", 0, "up", STARTED_MS)]);
    let client = replaced.front.client();
    let text = invite_with(HANDED_OVER, "X-Setup-Ms: 3000\r\nX-Route: at:s0\r\n", "x");
    replaced.front.bytes(client, text.as_bytes());
    assert!(replaced.front.take_answers(client).contains(&("BYE".into(), id(HANDED_OVER))));
}

/// Guards against review case 8: a server returned cold under its own id, and the list's word of its start ended the
/// calls that it had taken since.
#[test]
fn calls_set_up_since_a_restart_outlive_the_lists_word_of_it() {
    let mut replaced = Replaced::new();
    replaced.list(2, &[member("s0", 0, "up", STARTED_MS)]);
    replaced.front.advance(0.1);
    assert_eq!(replaced.confirm_releases(), [id(OLD_CALL)]);
    assert!(!replaced.front.closed.contains(&(replaced.link, true)), "the link leads to the new process");
    replaced.front.send_line(replaced.link, &release(NEW_CALL, 16, ""));
    assert_eq!(replaced.confirm_releases(), [id(NEW_CALL)]);
}
