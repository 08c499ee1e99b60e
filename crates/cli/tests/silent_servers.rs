//! Servers with established calls fall silent while discovery is down: the callers must get a BYE within the
//! platform's limit of 8 s (report fc1eca).

#[path = "common/live.rs"]
#[allow(dead_code)]
mod live;
#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use live::{Caller, Live};
use process::TIMEOUT;
use shalespindle_standin::presence::Presence;
use std::time::{Duration, Instant};

/// The platform's limit for the BYE of a call whose server is silent, plus the tolerance of limits on
/// sockets.
const RELEASE_LIMIT: Duration = Duration::from_millis(8050);
const CALLS: [&str; 3] = ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42", "9b1f03aa5c7e2d43"];

const LATER_CALL: &str = "9b1f03aa5c7e2d44";

/// Establishes calls at the first of two servers, then takes discovery down and silences that server.
fn establish_calls_and_silence_server(presence: Presence) -> (Live, Caller, Instant) {
    let live = Live::start(2);
    let mut caller = Caller::accepted(live.listen);
    for call in CALLS {
        caller.establish(call, &live.servers[0]);
    }
    live.feed.set_away(true);
    live.servers[0].set_presence(presence).unwrap();
    (live, caller, Instant::now())
}

/// Returns the calls for which the caller gets a BYE within the limit while it goes on using its connection.
/// Stops after `max` of them.
fn released_in_time(caller: &mut Caller, silent_since: Instant, max: usize) -> Vec<String> {
    let mut released = Vec::new();
    while released.len() < max && silent_since.elapsed() < RELEASE_LIMIT {
        std::thread::sleep(Duration::from_millis(50));
        caller.send("OPTIONS", "aaaaaaaaaaaaaaaa", "");
        loop {
            let received = caller.next_message();
            if received.kind != "BYE" {
                break;
            }
            released.push(received.call_id.clone());
            caller.confirm_release(&received.call_id);
        }
    }
    released.sort();
    released
}

#[test]
fn calls_at_a_vanished_server_are_released_in_time_while_discovery_is_down() {
    let (live, mut caller, silent_since) = establish_calls_and_silence_server(Presence::Vanished);
    assert_eq!(released_in_time(&mut caller, silent_since, CALLS.len()), CALLS, "{}", live.log());
}

/// The caller sends nothing meanwhile on its only connection, which must not be closed for idleness.
#[test]
fn an_idle_caller_connection_with_calls_stays_open_until_their_release() {
    let (live, mut caller, silent_since) = establish_calls_and_silence_server(Presence::Vanished);
    for call in CALLS {
        let received = caller.next_message();
        assert_eq!((received.kind.as_str(), received.call_id.as_str()), ("BYE", call), "{}", live.log());
        caller.confirm_release(call);
    }
    assert!(silent_since.elapsed() <= RELEASE_LIMIT, "{}", live.log());
}

/// The server accepts connections and sends nothing on them.
#[test]
fn calls_at_a_hanging_server_are_released_in_time_while_discovery_is_down() {
    let (live, mut caller, silent_since) = establish_calls_and_silence_server(Presence::Hanging);
    assert_eq!(released_in_time(&mut caller, silent_since, CALLS.len()), CALLS, "{}", live.log());
}

/// An outage shorter than the limit keeps the server's calls; after a longer one the server gets their
/// releases.
#[test]
fn a_server_back_in_time_keeps_its_calls_and_a_late_one_gets_their_releases() {
    let (live, mut caller, _) = establish_calls_and_silence_server(Presence::Vanished);
    std::thread::sleep(Duration::from_secs(5));
    live.servers[0].set_presence(Presence::Serving).unwrap();
    std::thread::sleep(Duration::from_secs(3));
    // New set-ups reach the server, and its calls are still established.
    caller.establish(LATER_CALL, &live.servers[0]);
    let all = [CALLS.as_slice(), &[LATER_CALL]].concat();
    assert!(!live.log().contains("server silent"), "{}", live.log());

    live.servers[0].set_presence(Presence::Vanished).unwrap();
    assert_eq!(released_in_time(&mut caller, Instant::now(), all.len()), all, "{}", live.log());
    live.servers[0].set_presence(Presence::Serving).unwrap();
    let mut ended_at_server: Vec<String> = (0..all.len())
        .map(|_| live.servers[0].expect("release", TIMEOUT).unwrap().id().to_string())
        .collect();
    ended_at_server.sort();
    assert_eq!(ended_at_server, all);
}
