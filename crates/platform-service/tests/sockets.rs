//! The live front on loopback sockets, with peers that do not read, connect in large numbers, or disconnect
//! within a message.

use serde_json::json;
use shalespindle_platform::read_file;
use shalespindle_platform_service::Service;
use socket2::{Domain, Socket, Type};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

const PATIENCE: Duration = Duration::from_secs(20);
const TEST: &str = "OPTIONS sip:ping@net SIP/2.0\r\nVia: SIP/2.0/TCP peer\r\nCall-ID: 00000000000000aa\r\n\
    CSeq: 1 OPTIONS\r\nContent-Length: 0\r\n\r\n";

fn service(sockets: usize) -> Service {
    let file = json!({"name": "n0", "listen": "127.0.0.1:0", "seed": "1", "feed": "127.0.0.1:9",
        "limits": {"cores": 1.0, "memory_mb": 32, "sockets": sockets}, "known": {"n": 0, "events": []},
        "settings": {
            "classes": [{"aim_s": 2.0, "deadline_s": 9.0, "late_share": 0.25, "name": "voice", "worth": 1.0}],
            "domain": {"class_cells": [[0]], "guard_s": 0.5, "tells_wait": false},
            "limits": {"cancelling": true, "dial_timeout_s": 0.5, "max_attempts": 4, "max_retry_after_s": 2.0,
                "most_held": 100, "probes": true, "retry_after": true},
            "safety": {"start_capacity": 0.3, "tip_multiple": 2.0, "warm_after_s": 15.0},
            "stats": {"fields": ["free", "size", "latency_ms"]}}});
    Service::start(read_file(file.to_string().as_bytes()).unwrap()).unwrap()
}

fn caller(to: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(to).unwrap();
    stream.set_read_timeout(Some(PATIENCE)).unwrap();
    stream.set_write_timeout(Some(PATIENCE)).unwrap();
    stream
}

fn is_served(to: SocketAddr) -> bool {
    let mut stream = caller(to);
    stream.write_all(TEST.as_bytes()).unwrap();
    let mut status = [0; 11];
    stream.read_exact(&mut status).is_ok() && &status == b"SIP/2.0 200"
}

#[test]
fn a_client_that_never_reads_is_closed_and_others_are_served() {
    let service = service(256);
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).unwrap();
    socket.set_recv_buffer_size(4096).unwrap();
    socket.connect(&service.address().into()).unwrap();
    socket.set_write_timeout(Some(PATIENCE)).unwrap();
    let (mut stream, tests) = (TcpStream::from(socket), TEST.repeat(64));
    // The kernel buffers and the backlog hold a few MB; this requests many times as much.
    let cut = (0..10_000).any(|_| stream.write_all(tests.as_bytes()).is_err());
    assert!(cut, "asked for 100 MB of answers, read none, and was not cut off");
    assert!(is_served(service.address()));
}

#[test]
fn silent_connections_leave_capacity_for_a_caller() {
    let service = service(128);
    let crowd: Vec<TcpStream> = (0..300).map(|_| caller(service.address())).collect();
    assert!(is_served(service.address()));
    // The oldest connections were closed to free descriptors.
    let waited_for_nothing = |why: &std::io::Error| why.kind() == std::io::ErrorKind::WouldBlock;
    let ended = (&crowd[0]).read_to_end(&mut Vec::new());
    assert!(!ended.as_ref().is_err_and(waited_for_nothing), "{ended:?}");
}

#[test]
fn a_partial_message_and_a_close_do_not_affect_others() {
    let service = service(256);
    for size in [1, 30, TEST.len() - 1] {
        caller(service.address()).write_all(&TEST.as_bytes()[..size]).unwrap();
    }
    assert!(is_served(service.address()));
    assert!(!service.has_ended());
}

#[test]
fn a_requested_shutdown_finishes() {
    let service = service(256);
    service.end();
    let begin = std::time::Instant::now();
    while !service.has_ended() {
        assert!(begin.elapsed() < PATIENCE, "it never ends");
        std::thread::sleep(Duration::from_millis(5));
    }
    assert!(TcpStream::connect(service.address()).is_ok(), "its listener goes with the service, not before");
    let address = service.address();
    drop(service);
    assert!(TcpStream::connect(address).is_err());
}
