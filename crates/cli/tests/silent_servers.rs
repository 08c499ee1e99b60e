//! Servers that fall silent with calls standing on them while discovery is down: their callers are told within the
//! platform's 8 s of the call's end (report fc1eca).

#[path = "common/live.rs"]
#[allow(dead_code)]
mod live;
#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use live::{Caller, Live};
use process::PATIENCE;
use shalespindle_standin::presence::Presence;
use std::time::{Duration, Instant};

/// The platform's time for a call whose server vanished or is silent, with the slack of every limit on sockets.
const TOLD_WITHIN: Duration = Duration::from_millis(8050);
const CALLS: [&str; 3] = ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42", "9b1f03aa5c7e2d43"];

const LATER_CALL: &str = "9b1f03aa5c7e2d44";

/// Calls stand at the first of two servers; discovery goes down, then that server falls silent.
fn calls_at_a_server_that_falls_silent(presence: Presence) -> (Live, Caller, Instant) {
    let live = Live::start(2);
    let mut caller = Caller::accepted(live.listen);
    for call in CALLS {
        caller.stand(call, &live.servers[0]);
    }
    live.feed.set_away(true);
    live.servers[0].set_presence(presence).unwrap();
    (live, caller, Instant::now())
}

/// The calls that a caller is told of within the platform's time, while it goes on using its connection; it looks no
/// longer once that many have come.
fn told_in_time(caller: &mut Caller, silent_since: Instant, most: usize) -> Vec<String> {
    let mut told = Vec::new();
    while told.len() < most && silent_since.elapsed() < TOLD_WITHIN {
        std::thread::sleep(Duration::from_millis(50));
        caller.send("OPTIONS", "aaaaaaaaaaaaaaaa", "");
        loop {
            let received = caller.next_message();
            if received.what != "BYE" {
                break;
            }
            told.push(received.call.clone());
            caller.confirm_release(&received.call);
        }
    }
    told.sort();
    told
}

#[test]
fn calls_of_a_server_that_vanished_are_told_in_time_while_discovery_is_down() {
    let (live, mut caller, silent_since) = calls_at_a_server_that_falls_silent(Presence::Vanished);
    assert_eq!(told_in_time(&mut caller, silent_since, CALLS.len()), CALLS, "{}", live.log());
}

/// Nothing else is said on the caller's connection meanwhile, and there is no other.
#[test]
fn a_connection_that_carries_calls_stays_until_their_ends_are_told() {
    let (live, mut caller, silent_since) = calls_at_a_server_that_falls_silent(Presence::Vanished);
    for call in CALLS {
        let received = caller.next_message();
        assert_eq!((received.what.as_str(), received.call.as_str()), ("BYE", call), "{}", live.log());
        caller.confirm_release(call);
    }
    assert!(silent_since.elapsed() <= TOLD_WITHIN, "{}", live.log());
}

/// The machine takes connections, and its process says nothing on them.
#[test]
fn calls_of_a_server_that_hangs_are_told_in_time_while_discovery_is_down() {
    let (live, mut caller, silent_since) = calls_at_a_server_that_falls_silent(Presence::Hanging);
    assert_eq!(told_in_time(&mut caller, silent_since, CALLS.len()), CALLS, "{}", live.log());
}

/// Cut off for a while only, and longer than that: its calls stay, or it is told of their ends.
#[test]
fn a_server_that_is_back_in_time_keeps_its_calls_and_one_that_is_late_is_told_of_their_ends() {
    let (live, mut caller, _) = calls_at_a_server_that_falls_silent(Presence::Vanished);
    std::thread::sleep(Duration::from_secs(5));
    live.servers[0].set_presence(Presence::Serving).unwrap();
    std::thread::sleep(Duration::from_secs(3));
    // Set-ups find it again, and its calls still stand.
    caller.stand(LATER_CALL, &live.servers[0]);
    let all = [CALLS.as_slice(), &[LATER_CALL]].concat();
    assert!(!live.log().contains("server silent"), "{}", live.log());

    live.servers[0].set_presence(Presence::Vanished).unwrap();
    assert_eq!(told_in_time(&mut caller, Instant::now(), all.len()), all, "{}", live.log());
    live.servers[0].set_presence(Presence::Serving).unwrap();
    let mut ended: Vec<String> = (0..all.len())
        .map(|_| live.servers[0].expect("release", PATIENCE).unwrap().id().to_string())
        .collect();
    ended.sort();
    assert_eq!(ended, all);
}
