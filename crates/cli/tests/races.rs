//! Moments that are rare in service, forced every time on the process itself: what comes between a request and its
//! answer when callers close, servers fall silent and signals arrive.

#[path = "common/live.rs"]
#[allow(dead_code)]
mod live;
#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use live::{
    closing, event, free_address, run, run_limited, signal, while_stopped, write_config, Caller, Live,
};
use nix::sys::signal::Signal;
use process::{until, Front, PATIENCE};
use shalespindle_standin::platform::{EventFeed, LineServer, NonReadingServer};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::time::{Duration, Instant};
use tempfile::TempDir;

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

/// The set-ups that have come to a server, once the front has dealt with all that was said before.
fn set_ups(live: &Live, server: usize) -> Vec<String> {
    let mut last = Caller::accepted(live.listen);
    let mark = "ffffffffffffffff";
    last.send("INVITE", mark, "9d41\r\n");
    let mut ids = Vec::new();
    loop {
        let set_up = live.servers[server].expect("setup", PATIENCE).unwrap();
        if set_up.id() == mark {
            return ids;
        }
        ids.push(set_up.id().to_string());
    }
}

/// Many callers ask and close while the process stands still: requests and closes lie unread beside each other, more of
/// them than are taken in at once. One test before them, so that no bound of a power of two falls between two callers.
#[test]
fn callers_that_asked_and_closed_before_the_front_had_its_turn_are_not_sent_on() {
    let live = Live::start(1);
    let mut first = Caller::accepted(live.listen);
    let mut callers: Vec<Caller> = (0..150).map(|_| Caller::accepted(live.listen)).collect();
    live.while_stopped(|| {
        first.send("OPTIONS", "aaaaaaaaaaaaaaaa", "");
        for (n, caller) in callers.iter_mut().enumerate() {
            caller.send("INVITE", &format!("{n:016x}"), "9d41\r\n");
            if n % 2 == 0 {
                caller.stream.shutdown(Shutdown::Write).unwrap();
            } else {
                caller.send("CANCEL", &format!("{n:016x}"), "");
            }
        }
    });
    assert_eq!(set_ups(&live, 0), Vec::<String>::new());
}

/// The server's first word and the close of the caller that waits for it lie unread beside each other.
#[test]
fn an_attach_that_waits_for_its_server_is_not_sent_on_when_its_caller_closes_beside_the_servers_first_word() {
    for reset in [false, true] {
        let live = Live::beside(vec![LineServer::silent().unwrap()]);
        let mut caller = Caller::accepted(live.listen);
        until("the front's connection", || live.servers[0].held() > 0);
        caller.send("INVITE", CALLS[0], "9d41\r\n");
        // Answered after the attach was taken in.
        caller.send("OPTIONS", "aaaaaaaaaaaaaaaa", "");
        assert_eq!(caller.next().0, "200");
        live.while_stopped(|| {
            live.servers[0].send_state().unwrap();
            if reset {
                socket2::SockRef::from(&caller.stream).set_linger(Some(std::time::Duration::ZERO)).unwrap();
            }
            drop(caller);
        });
        assert_eq!(set_ups(&live, 0), Vec::<String>::new(), "reset {reset}");
    }
}

/// The cancel comes on another connection than its set-up, and the front reads it first.
#[test]
fn a_cancel_that_is_read_before_its_set_up_keeps_it_back() {
    let live = Live::start(1);
    let (mut asking, mut cancelling) = (Caller::accepted(live.listen), Caller::accepted(live.listen));
    // Answered before the set-up is written: whatever order the front reads its connections in.
    cancelling.send("CANCEL", CALLS[0], "");
    assert_eq!(cancelling.next().0, "481");
    asking.send("INVITE", CALLS[0], "9d41\r\n");
    assert_eq!(asking.next().0, "487");
    assert_eq!(set_ups(&live, 0), Vec::<String>::new());
}

/// Clients that only hold their connections fill what the front has, at the smallest limit that a deployment may state,
/// while its feed is away; then the feed tells of many servers at once, and each gets its link although the clients stay.
#[test]
fn idle_clients_that_fill_the_descriptors_keep_neither_list_nor_servers_nor_callers_out() {
    let servers: Vec<LineServer> = (0..27).map(|_| LineServer::start().unwrap()).collect();
    let names: Vec<String> = (0..servers.len()).map(|n| format!("s-{n}")).collect();
    let (listen, feed) = (free_address(), free_address());
    let folder = tempfile::tempdir().unwrap();
    let config = folder.path().join("config.json");
    // Nothing listens at the feed's address, and no server is known.
    write_config(&config, listen, feed, &event(1, &[]));
    let mut front = run_limited(&config, listen, 64);
    let mut early = Caller::accepted(listen);
    early.send("INVITE", CALLS[1], "9d41\r\n");
    assert_eq!(early.next().0, "503", "there is no server");
    let crowd: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(listen).unwrap()).collect();
    // They last longer than those that never said a word.
    let testers: Vec<Caller> = (0..60).map(|_| Caller::accepted(listen)).collect();

    let begin = Instant::now();
    let listed: Vec<_> = names.iter().zip(&servers).map(|(name, s)| (name.as_str(), s.address)).collect();
    let feed = EventFeed::start_at(feed, vec![event(1, &[]), event(2, &listed)]).unwrap();
    until("the question to the feed", || !feed.asked().is_empty());
    let asked = begin.elapsed();
    until("a link to each server", || servers.iter().all(|s| s.accepted() > 0));
    let linked = begin.elapsed();
    let mut caller = Caller::new(listen);
    caller.send("INVITE", CALLS[0], "9d41\r\n");
    let set_up = servers[0].expect("setup", PATIENCE).unwrap();
    set_up.reply(&serde_json::json!({"type": "answer", "id": CALLS[0], "fields": {}, "sdp": "77"})).unwrap();
    assert_eq!(caller.next(), ("200".into(), "77".into()));
    let served = begin.elapsed();
    early.send("OPTIONS", "aaaaaaaaaaaaaaaa", "");
    assert_eq!(early.next().0, "200", "one that had asked for something lost its place to the crowd");
    println!("feed asked after {asked:?}, servers linked after {linked:?}, a caller served after {served:?}");
    // The crowd's connections are closed for idleness only after 6 s: before that nothing has made room by itself.
    assert!(served.as_secs() < 4, "{asked:?} {linked:?} {served:?}");
    assert!(front.0.try_wait().unwrap().is_none(), "it ended");
    drop((crowd, testers));
}

/// The process is held while it reads its configuration: a pipe that the test has not written to yet.
fn held_at_its_start(act: impl FnOnce(&Front)) -> (Front, SocketAddr, TempDir) {
    let (listen, folder) = (free_address(), tempfile::tempdir().unwrap());
    let (config, whole) = (folder.path().join("config.json"), folder.path().join("whole.json"));
    write_config(&whole, listen, free_address(), &event(1, &[]));
    nix::unistd::mkfifo(&config, nix::sys::stat::Mode::S_IRWXU).unwrap();
    let front = run(&config, listen);
    // Opens only where somebody reads already.
    let mut options = std::fs::OpenOptions::new();
    options.write(true).custom_flags(nix::libc::O_NONBLOCK);
    let mut pipe = None;
    until("the front's look at its configuration", || {
        pipe = options.open(&config).ok();
        pipe.is_some()
    });
    act(&front);
    let text = std::fs::read(&whole).unwrap();
    // From now on its name leads to the file itself.
    std::fs::rename(&whole, &config).unwrap();
    pipe.unwrap().write_all(&text).unwrap();
    (front, listen, folder)
}

#[test]
fn a_new_configuration_announced_while_the_front_reads_its_first_does_not_end_it() {
    let (mut front, listen, _folder) = held_at_its_start(|front| signal(front, Signal::SIGHUP));
    Caller::accepted(listen);
    assert!(front.0.try_wait().unwrap().is_none());
}

#[test]
fn an_end_asked_for_before_the_front_is_ready_is_an_orderly_one_and_further_signals_change_nothing() {
    let (mut front, _, _folder) = held_at_its_start(|front| signal(front, Signal::SIGTERM));
    for again in [Signal::SIGHUP, Signal::SIGTERM] {
        signal(&front, again);
    }
    until("the front's end", || front.0.try_wait().unwrap().is_some());
    assert!(front.0.wait().unwrap().success());
}

/// SIGHUP comes when half of the new file is there, and once only.
#[test]
fn a_configuration_announced_before_it_is_whole_is_taken_when_it_is() {
    let live = Live::start(1);
    let _caller = Caller::accepted(live.listen);
    let moved = EventFeed::start(vec![event(1, &[])]).unwrap();
    let whole = live.config().with_extension("new");
    write_config(&whole, live.listen, moved.address, &event(1, &[]));
    let text = std::fs::read(&whole).unwrap();
    std::fs::write(live.config(), &text[..text.len() / 2]).unwrap();
    signal(&live.front, Signal::SIGHUP);
    until("the word that it cannot be read", || live.log().contains("the old configuration stays"));
    assert!(moved.asked().is_empty());
    std::fs::write(live.config(), &text).unwrap();
    until("the question to the new feed", || !moved.asked().is_empty());
}

#[test]
fn a_front_whose_address_is_still_taken_starts_when_it_is_free() {
    let taken = TcpListener::bind(free_address()).unwrap();
    let (listen, folder) = (taken.local_addr().unwrap(), tempfile::tempdir().unwrap());
    let config = folder.path().join("config.json");
    write_config(&config, listen, free_address(), &event(1, &[]));
    let mut front = run(&config, listen);
    let log = || std::fs::read_to_string(config.with_extension("log")).unwrap_or_default();
    until("the first try", || {
        assert!(front.0.try_wait().unwrap().is_none(), "it ended: {}", log());
        log().contains("address in use, retrying")
    });
    closing(|| drop(taken));
    Caller::accepted(listen);
}

/// The call stands at a server that only the feed knows of, and the feed is away when the front is told of the call.
#[test]
fn a_call_handed_over_to_a_front_that_does_not_know_its_server_yet_is_not_ended() {
    let server = LineServer::start().unwrap();
    let (listen, feed) = (free_address(), free_address());
    let folder = tempfile::tempdir().unwrap();
    let config = folder.path().join("config.json");
    write_config(&config, listen, feed, &event(1, &[]));
    let _front = run(&config, listen);
    let mut caller = Caller::accepted(listen);
    caller.hand_over(CALLS[0], "s-9");
    caller.send("OPTIONS", "aaaaaaaaaaaaaaaa", "");
    assert_eq!(caller.next().0, "200", "the call was ended");
    let _feed = EventFeed::start_at(feed, vec![event(1, &[]), event(2, &[("s-9", server.address)])]).unwrap();
    until("a link to the server", || server.accepted() > 0);
    caller.send("BYE", CALLS[0], "");
    assert_eq!(caller.next().0, "200");
    assert_eq!(server.expect("release", PATIENCE).unwrap().id(), CALLS[0]);
}

/// More answers than the sockets between them hold are decided before the front ends; their caller reads them after the
/// time at which a front with nothing in hand is done.
#[test]
fn a_front_that_ends_has_written_what_it_answered() {
    let mut live = Live::start(0);
    let mut caller = Caller::that_takes_little(live.listen);
    let mut pace = Caller::accepted(live.listen);
    let mut asked = 0;
    while !live.log().contains("peer does not read, writes are queued") {
        caller.send("INVITE", &format!("{asked:016x}"), "9d41\r\n");
        asked += 1;
        assert!(asked < 10_000, "everything fits");
        // Not far ahead of the front: its bound on what waits is not what is tested.
        if asked % 20 == 0 {
            pace.send("OPTIONS", "aaaaaaaaaaaaaaaa", "");
            assert_eq!(pace.next().0, "200");
        }
    }
    signal(&live.front, Signal::SIGTERM);
    let begin = Instant::now();
    while begin.elapsed().as_millis() < 1200 && live.front.0.try_wait().unwrap().is_none() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    for n in 0..asked {
        assert_eq!(caller.next().0, "503", "answer {n} of {asked}");
    }
    assert!(live.ended().success());
}

/// A server takes connections and reads nothing: set-ups wait in the front's own memory when their callers close.
#[test]
fn a_set_up_that_has_not_left_the_front_does_not_leave_it_when_its_caller_has_gone() {
    let server = NonReadingServer::start().unwrap();
    let (listen, folder) = (free_address(), tempfile::tempdir().unwrap());
    let config = folder.path().join("config.json");
    write_config(&config, listen, free_address(), &event(1, &[("s-0", server.address)]));
    let front = run(&config, listen);
    let log = || std::fs::read_to_string(config.with_extension("log")).unwrap_or_default();
    until("a link", || log().contains("link up"));
    // Each is longer than what the server's socket is asked to hold; the system may take a few all the same.
    let long = "x".repeat(15_000);
    let mut callers = Vec::new();
    // What has left the front is in the system's hands and arrives, whole set-ups among it; nothing more may. The front is
    // stopped when a part of one has left, between two of its turns: its word to a test comes behind the last set-up.
    let (mut left, mut is_in_part) = (BTreeMap::new(), false);
    while !is_in_part {
        let mut caller = Caller::accepted(listen);
        caller.send("INVITE", &format!("{:016x}", callers.len()), &long);
        callers.push(caller);
        assert!(callers.len() < 90, "everything fits");
        Caller::accepted(listen);
        if !log().contains("peer does not read, writes are queued") {
            continue;
        }
        while_stopped(&front, || {
            left = bytes_left_for(server.address);
            is_in_part = left.values().any(|bytes| bytes % SET_UP_LINE > MORE_THAN_TESTS);
            if is_in_part {
                callers.iter().for_each(|c| c.stream.shutdown(Shutdown::Both).unwrap());
            }
        });
    }
    // Answered after what came before it: connections are read in the order in which they have something to read.
    Caller::accepted(listen);
    let (mut heard, mut whole) = (0, 0);
    for connection in server.read_set_ups(Duration::from_millis(300)).unwrap() {
        let had_left = left.get(&connection.peer.port()).map_or(0, |bytes| bytes / SET_UP_LINE);
        assert!(connection.ids.len() <= had_left, "{connection:?}: {had_left} had left, of {left:?}");
        (heard, whole) = (heard + connection.ids.len(), whole + had_left);
    }
    println!("{heard} set-ups heard, {whole} had left whole, of {} callers", callers.len());
}

/// Least length of the line that such a set-up is sent on as: its description, and the rest of the line.
const SET_UP_LINE: usize = 15_100;

/// The front's tests of a server that are held beside set-ups come to less than this.
const MORE_THAN_TESTS: usize = 2_000;

/// Bytes that have left a process for a server and have not been read there, by the port of their sender: what the
/// system's two sockets of each connection hold, once it has stopped changing.
fn bytes_left_for(server: SocketAddr) -> BTreeMap<u16, usize> {
    let mut before = BTreeMap::new();
    let unchanged = || {
        std::thread::sleep(Duration::from_millis(250));
        let now = held_by_sockets(server.port());
        let same = now == before;
        before = now;
        same
    };
    until("sockets that move nothing any more", unchanged);
    before
}

fn held_by_sockets(server: u16) -> BTreeMap<u16, usize> {
    let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
    let hexadecimal = |text: &str| usize::from_str_radix(text, 16).unwrap();
    let port = |address: &str| address.split_once(':').map(|(_, port)| hexadecimal(port) as u16).unwrap();
    let mut held = BTreeMap::new();
    for row in table.lines().skip(1) {
        let columns: Vec<&str> = row.split_whitespace().collect();
        let (local, remote) = (port(columns[1]), port(columns[2]));
        let (sending, received) = columns[4].split_once(':').unwrap();
        if remote == server {
            *held.entry(local).or_default() += hexadecimal(sending);
        } else if local == server && remote != 0 {
            *held.entry(remote).or_default() += hexadecimal(received);
        }
    }
    held
}
