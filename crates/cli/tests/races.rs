//! Race conditions of a live front, reproduced on the process: callers that close, servers that fall silent
//! and signals that arrive between a request and its answer.

#[path = "common/live.rs"]
#[allow(dead_code)]
mod live;
#[path = "common/process.rs"]
#[allow(dead_code)]
mod process;

use live::{event, free_address, run, run_limited, signal, while_stopped, write_config, Caller, Live};
use nix::sys::signal::Signal;
use process::{wait_until, without_spawning, Front, TIMEOUT};
use shalespindle_standin::platform::{EventFeed, LineServer, NonReadingServer};
use std::collections::BTreeMap;
use std::io::Write;
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::os::unix::fs::OpenOptionsExt;
use std::time::{Duration, Instant};
use tempfile::TempDir;

const CALLS: [&str; 2] = ["9b1f03aa5c7e2d41", "9b1f03aa5c7e2d42"];

/// Two servers accept the attach and do not answer before the front exits, 3.6 s after SIGTERM.
#[test]
fn pending_attaches_are_answered_when_a_front_exits_at_its_deadline() {
    let mut live = Live::start(2);
    let mut caller = Caller::accepted(live.listen);
    signal(&live.front, Signal::SIGTERM);
    caller.send("INVITE", CALLS[0], "9d41\r\n");
    live.servers[0].expect("setup", TIMEOUT).unwrap();
    // The first try times out; the second is pending when the front exits.
    live.servers[1].expect("setup", TIMEOUT).unwrap();
    assert_eq!(caller.next().0, "504");
    assert_eq!(live.servers[1].expect("release", TIMEOUT).unwrap().id(), CALLS[0]);
    assert!(live.wait_for_exit().success());
}

/// Returns the set-ups that a server has received before a final one, which the front handles after all
/// earlier input.
fn set_ups(live: &Live, server: usize) -> Vec<String> {
    let mut last = Caller::accepted(live.listen);
    let final_id = "ffffffffffffffff";
    last.send("INVITE", final_id, "9d41\r\n");
    let mut ids = Vec::new();
    loop {
        let set_up = live.servers[server].expect("setup", TIMEOUT).unwrap();
        if set_up.id() == final_id {
            return ids;
        }
        ids.push(set_up.id().to_string());
    }
}

/// Many callers send a request and close or cancel while the process is stopped, so requests and closes are
/// unread together, more of them than the front reads at once. One test before them keeps a limit that is a
/// power of two from falling between two callers.
#[test]
fn requests_of_callers_that_closed_before_the_front_read_them_are_not_forwarded() {
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

/// The server's first message and the close of the caller that waits for it are unread together.
#[test]
fn an_attach_waiting_for_a_server_is_not_forwarded_when_its_caller_closes_as_the_server_reports() {
    for reset in [false, true] {
        let live = Live::with_servers(vec![LineServer::silent().unwrap()]);
        let mut caller = Caller::accepted(live.listen);
        wait_until("the front's connection", || live.servers[0].held() > 0);
        caller.send("INVITE", CALLS[0], "9d41\r\n");
        // The answer shows that the front has read the attach.
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

/// The CANCEL comes on another connection than its INVITE, and the front reads it first.
#[test]
fn an_invite_read_after_its_cancel_is_not_forwarded() {
    let live = Live::start(1);
    let (mut inviting, mut cancelling) = (Caller::accepted(live.listen), Caller::accepted(live.listen));
    // The answer comes before the INVITE is sent, so the order in which the front reads connections does not
    // matter.
    cancelling.send("CANCEL", CALLS[0], "");
    assert_eq!(cancelling.next().0, "481");
    inviting.send("INVITE", CALLS[0], "9d41\r\n");
    assert_eq!(inviting.next().0, "487");
    assert_eq!(set_ups(&live, 0), Vec::<String>::new());
}

/// Idle clients use up the front's descriptors, at the smallest limit that a deployment may set, while its
/// feed is down. Then the feed lists many servers at once; each must get its link although the clients stay
/// connected.
#[test]
fn idle_clients_that_use_up_descriptors_do_not_block_feed_servers_or_callers() {
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
    let idle_clients: Vec<TcpStream> = (0..200).map(|_| TcpStream::connect(listen).unwrap()).collect();
    // Connections that have sent a request are kept longer than those that have not.
    let probing_clients: Vec<Caller> = (0..60).map(|_| Caller::accepted(listen)).collect();

    let start = Instant::now();
    let listed: Vec<_> = names.iter().zip(&servers).map(|(name, s)| (name.as_str(), s.address)).collect();
    let feed = EventFeed::start_at(feed, vec![event(1, &[]), event(2, &listed)]).unwrap();
    wait_until("the request to the feed", || !feed.asked().is_empty());
    let asked = start.elapsed();
    wait_until("a link to each server", || servers.iter().all(|s| s.accepted() > 0));
    let linked = start.elapsed();
    let mut caller = Caller::new(listen);
    caller.send("INVITE", CALLS[0], "9d41\r\n");
    let set_up = servers[0].expect("setup", TIMEOUT).unwrap();
    set_up.reply(&serde_json::json!({"type": "answer", "id": CALLS[0], "fields": {}, "sdp": "77"})).unwrap();
    assert_eq!(caller.next(), ("200".into(), "77".into()));
    let served = start.elapsed();
    early.send("OPTIONS", "aaaaaaaaaaaaaaaa", "");
    assert_eq!(early.next().0, "200", "a caller with an earlier request was disconnected for idle clients");
    println!("feed asked after {asked:?}, servers linked after {linked:?}, a caller served after {served:?}");
    // Idle connections are closed only after 6 s, so until then no descriptor is freed by that limit.
    assert!(served.as_secs() < 4, "{asked:?} {linked:?} {served:?}");
    assert!(front.0.try_wait().unwrap().is_none(), "the front exited");
    drop((idle_clients, probing_clients));
}

/// Starts a front whose configuration is a pipe, runs `act` while it waits to read it, then writes the
/// configuration.
fn act_during_start(act: impl FnOnce(&Front)) -> (Front, SocketAddr, TempDir) {
    let (listen, folder) = (free_address(), tempfile::tempdir().unwrap());
    let (config, full_config) = (folder.path().join("config.json"), folder.path().join("whole.json"));
    write_config(&full_config, listen, free_address(), &event(1, &[]));
    nix::unistd::mkfifo(&config, nix::sys::stat::Mode::S_IRWXU).unwrap();
    let front = run(&config, listen);
    // Without blocking, the open succeeds only once the front has opened the pipe for reading.
    let mut options = std::fs::OpenOptions::new();
    options.write(true).custom_flags(nix::libc::O_NONBLOCK);
    let mut pipe = None;
    wait_until("the front to open its configuration", || {
        pipe = options.open(&config).ok();
        pipe.is_some()
    });
    act(&front);
    let text = std::fs::read(&full_config).unwrap();
    // Later reads find the regular file under the same name.
    std::fs::rename(&full_config, &config).unwrap();
    pipe.unwrap().write_all(&text).unwrap();
    (front, listen, folder)
}

#[test]
fn sighup_while_the_front_reads_its_first_configuration_does_not_end_it() {
    let (mut front, listen, _folder) = act_during_start(|front| signal(front, Signal::SIGHUP));
    Caller::accepted(listen);
    assert!(front.0.try_wait().unwrap().is_none());
}

#[test]
fn sigterm_before_the_front_is_ready_is_an_orderly_shutdown_and_further_signals_are_ignored() {
    let (mut front, _, _folder) = act_during_start(|front| signal(front, Signal::SIGTERM));
    for next in [Signal::SIGHUP, Signal::SIGTERM] {
        signal(&front, next);
    }
    wait_until("the front to exit", || front.0.try_wait().unwrap().is_some());
    assert!(front.0.wait().unwrap().success());
}

/// SIGHUP comes once only, when half of the new file is written.
#[test]
fn a_configuration_signalled_while_half_written_is_loaded_once_complete() {
    let live = Live::start(1);
    let _caller = Caller::accepted(live.listen);
    let new_feed = EventFeed::start(vec![event(1, &[])]).unwrap();
    let whole = live.config().with_extension("new");
    write_config(&whole, live.listen, new_feed.address, &event(1, &[]));
    let text = std::fs::read(&whole).unwrap();
    std::fs::write(live.config(), &text[..text.len() / 2]).unwrap();
    signal(&live.front, Signal::SIGHUP);
    wait_until("the read error to be logged", || {
        live.log().contains("configuration cannot be read, keeping the current one")
    });
    assert!(new_feed.asked().is_empty());
    std::fs::write(live.config(), &text).unwrap();
    wait_until("the request to the new feed", || !new_feed.asked().is_empty());
}

#[test]
fn a_front_whose_address_is_in_use_starts_when_it_is_free() {
    let taken = TcpListener::bind(free_address()).unwrap();
    let (listen, folder) = (taken.local_addr().unwrap(), tempfile::tempdir().unwrap());
    let config = folder.path().join("config.json");
    write_config(&config, listen, free_address(), &event(1, &[]));
    let mut front = run(&config, listen);
    let log = || std::fs::read_to_string(config.with_extension("log")).unwrap_or_default();
    wait_until("the first attempt to listen", || {
        assert!(front.0.try_wait().unwrap().is_none(), "the front exited: {}", log());
        log().contains("address in use, retrying")
    });
    without_spawning(|| drop(taken));
    Caller::accepted(listen);
}

/// Guards against set-ups of a client that has gone: it closed its connection behind more input than the front reads
/// before it decides, and those that had been read were sent on.
#[test]
fn set_ups_before_a_close_that_is_read_later_are_not_sent_on() {
    /// More than a front reads in 20 ms, and less than the socket buffers hold.
    const SET_UPS: usize = 8_000;
    let live = Live::start(1);
    let mut client = Caller::accepted(live.listen);
    let mut other = Caller::accepted(live.listen);
    let set_ups: String = (0..SET_UPS)
        .map(|n| {
            format!(
                "INVITE sip:{n:x}@net SIP/2.0\r\nCall-ID: {:016x}\r\nCSeq: 1 INVITE\r\nX-Service: voice\r\n\
                 X-Setup-Ms: 9000\r\nX-Route: dest:0;width:1;via:-1\r\nContent-Length: 1\r\n\r\nx",
                1_000 + n
            )
        })
        .collect();
    socket2::SockRef::from(&client.stream).set_send_buffer_size(2 * set_ups.len()).unwrap();
    live.while_stopped(|| {
        client.stream.write_all(set_ups.as_bytes()).unwrap();
        client.stream.shutdown(Shutdown::Both).unwrap();
    });
    other.send("INVITE", CALLS[0], "9d41\r\n");
    let set_up = live.servers[0].expect("setup", TIMEOUT).unwrap();
    assert_eq!(set_up.id(), CALLS[0], "a set-up of the client that has gone was sent on");
}

/// The call is established at a server that only the feed lists, and the feed is down when the call is handed
/// over.
#[test]
fn a_call_handed_over_before_its_server_is_known_is_kept() {
    let server = LineServer::start().unwrap();
    let (listen, feed) = (free_address(), free_address());
    let folder = tempfile::tempdir().unwrap();
    let config = folder.path().join("config.json");
    write_config(&config, listen, feed, &event(1, &[]));
    let _front = run(&config, listen);
    let mut caller = Caller::accepted(listen);
    caller.hand_over(CALLS[0], "s-9");
    caller.send("OPTIONS", "aaaaaaaaaaaaaaaa", "");
    assert_eq!(caller.next().0, "200", "the call was released");
    let _feed = EventFeed::start_at(feed, vec![event(1, &[]), event(2, &[("s-9", server.address)])]).unwrap();
    wait_until("a link to the server", || server.accepted() > 0);
    caller.send("BYE", CALLS[0], "");
    assert_eq!(caller.next().0, "200");
    assert_eq!(server.expect("release", TIMEOUT).unwrap().id(), CALLS[0]);
}

/// Before SIGTERM the front sends more answers than the socket buffers hold. The caller reads them only after
/// the time at which a front without pending work exits.
#[test]
fn a_front_writes_all_answers_before_it_exits() {
    let mut live = Live::start(0);
    let mut caller = Caller::with_small_buffers(live.listen);
    let mut pacing_caller = Caller::accepted(live.listen);
    let mut sent = 0;
    while !live.log().contains("peer does not read, writes are queued") {
        caller.send("INVITE", &format!("{sent:016x}"), "9d41\r\n");
        sent += 1;
        assert!(sent < 10_000, "no write was blocked");
        // Stays close to the front's progress, as its limit on queued output is not the subject of this test.
        if sent % 20 == 0 {
            pacing_caller.send("OPTIONS", "aaaaaaaaaaaaaaaa", "");
            assert_eq!(pacing_caller.next().0, "200");
        }
    }
    signal(&live.front, Signal::SIGTERM);
    let start = Instant::now();
    while start.elapsed().as_millis() < 1200 && live.front.0.try_wait().unwrap().is_none() {
        std::thread::sleep(std::time::Duration::from_millis(5));
    }
    for n in 0..sent {
        assert_eq!(caller.next().0, "503", "answer {n} of {sent}");
    }
    assert!(live.wait_for_exit().success());
}

/// A server accepts connections and reads nothing, so set-ups are queued in the front when their callers
/// close.
#[test]
fn a_set_up_that_has_not_left_the_front_does_not_leave_it_when_its_caller_has_gone() {
    let server = NonReadingServer::start().unwrap();
    let (listen, folder) = (free_address(), tempfile::tempdir().unwrap());
    let config = folder.path().join("config.json");
    write_config(&config, listen, free_address(), &event(1, &[("s-0", server.address)]));
    let front = run(&config, listen);
    let log = || std::fs::read_to_string(config.with_extension("log")).unwrap_or_default();
    wait_until("a link", || log().contains("link up"));
    // Each set-up exceeds the receive buffer requested for the server's socket; the kernel may still take a
    // few.
    let long = "x".repeat(15_000);
    let mut callers = Vec::new();
    // Set-ups that the front has written to the kernel arrive at the server; no others may. The front is
    // stopped between two iterations of its loop, when a set-up is written in part: its answer to a test
    // comes after the last set-up.
    let (mut written, mut partly_written) = (BTreeMap::new(), false);
    while !partly_written {
        let mut caller = Caller::accepted(listen);
        caller.send("INVITE", &format!("{:016x}", callers.len()), &long);
        callers.push(caller);
        assert!(callers.len() < 90, "no write was blocked");
        Caller::accepted(listen);
        if !log().contains("peer does not read, writes are queued") {
            continue;
        }
        while_stopped(&front, || {
            written = bytes_written_to(server.address);
            partly_written = written.values().any(|bytes| bytes % SET_UP_LINE > MAX_TEST_BYTES);
            if partly_written {
                callers.iter().for_each(|c| c.stream.shutdown(Shutdown::Both).unwrap());
            }
        });
    }
    // Answered after all earlier input: connections are read in the order in which they become readable.
    Caller::accepted(listen);
    let (mut received, mut fully_written) = (0, 0);
    for connection in server.read_set_ups(Duration::from_millis(300)).unwrap() {
        let complete = written.get(&connection.peer.port()).map_or(0, |bytes| bytes / SET_UP_LINE);
        assert!(connection.ids.len() <= complete, "{connection:?}: {complete} were written, of {written:?}");
        (received, fully_written) = (received + connection.ids.len(), fully_written + complete);
    }
    println!("{received} set-ups received, {fully_written} were fully written, of {} callers", callers.len());
}

/// Minimum length in bytes of the line for such a set-up: the session description and the other fields.
const SET_UP_LINE: usize = 15_100;

/// Upper limit for the bytes of the front's own tests of a server that are queued among the set-ups.
const MAX_TEST_BYTES: usize = 2_000;

/// Bytes written to a server and not read by it, by the sender's port: the send and receive queues of each
/// connection once they have stopped changing.
fn bytes_written_to(server: SocketAddr) -> BTreeMap<u16, usize> {
    let mut previous = BTreeMap::new();
    let unchanged = || {
        std::thread::sleep(Duration::from_millis(250));
        let current = queued_in_sockets(server.port());
        let same = current == previous;
        previous = current;
        same
    };
    wait_until("the socket queues to stop changing", unchanged);
    previous
}

/// Reads /proc/self/net/tcp for the bytes queued in the sockets of all connections to a server port, by the
/// other port.
fn queued_in_sockets(server: u16) -> BTreeMap<u16, usize> {
    let table = std::fs::read_to_string("/proc/self/net/tcp").unwrap();
    let from_hex = |text: &str| usize::from_str_radix(text, 16).unwrap();
    let port = |address: &str| address.split_once(':').map(|(_, port)| from_hex(port) as u16).unwrap();
    let mut queued = BTreeMap::new();
    for row in table.lines().skip(1) {
        let columns: Vec<&str> = row.split_whitespace().collect();
        let (local, remote) = (port(columns[1]), port(columns[2]));
        let (send_queue, receive_queue) = columns[4].split_once(':').unwrap();
        if remote == server {
            *queued.entry(local).or_default() += from_hex(send_queue);
        } else if local == server && remote != 0 {
            *queued.entry(remote).or_default() += from_hex(receive_queue);
        }
    }
    queued
}
