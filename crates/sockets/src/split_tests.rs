//! Tests of streams split into two halves.

use super::*;
use std::net::TcpListener;

/// A connected pair of streams.
fn pair() -> (TcpStream, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let client = TcpStream::connect(address).unwrap();
    (client, listener.accept().unwrap().0)
}

#[test]
fn both_halves_use_one_descriptor_and_a_close_ends_the_reader() {
    let (client, mut peer) = pair();
    let (mut read_half, write_half) = split(client);
    assert_eq!(write_half.write_some(b"over").unwrap(), 4);
    let mut got = [0; 4];
    peer.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"over");
    let reader = crate::start(crate::SMALL_STACK, move || {
        let mut buffer = [0; 16];
        assert_eq!(read_half.read(&mut buffer).unwrap_or(0), 0);
    });
    write_half.close(false);
    assert!(reader.unwrap().join().is_ok());
    assert_eq!(peer.read(&mut got).unwrap(), 0);
}

#[test]
fn the_write_half_fails_once_the_read_half_is_dropped() {
    let (client, _peer) = pair();
    let (read_half, write_half) = split(client);
    drop(read_half);
    // This stream is likely to get the same descriptor number and must not be written to.
    let (other, mut peer) = pair();
    assert!(write_half.write_some(b"stray").is_err());
    drop((write_half, other));
    assert_eq!(peer.read(&mut [0; 8]).unwrap(), 0);
}
