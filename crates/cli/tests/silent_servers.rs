//! Servers that fall silent with calls standing on them while discovery is down: their callers are told within the
//! platform's 8 s of the call's end (report fc1eca).

#[path = "common/live.rs"]
#[allow(dead_code)]
mod live;
#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use live::{Caller, Live};
use shalespindle_standin::presence::Presence;
use std::time::{Duration, Instant};

/// The platform's time for a call whose server vanished or is silent, with the slack of every limit on sockets.
const TOLD_WITHIN: Duration = Duration::from_millis(8050);
const CALLS: [&str; 3] = ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42", "9b1f03aa5c7e2d43"];

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

/// The calls that a caller is told of within the platform's time, while it goes on using its connection.
fn told_in_time(caller: &mut Caller, silent_since: Instant) -> Vec<String> {
    let mut told = Vec::new();
    while told.len() < CALLS.len() && silent_since.elapsed() < TOLD_WITHIN {
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
    assert_eq!(told_in_time(&mut caller, silent_since), CALLS, "{}", live.log());
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
