use super::*;
use std::net::TcpListener;

fn pair() -> (TcpStream, std::net::TcpStream) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let own = TcpStream::connect(address).unwrap();
    (own, listener.accept().unwrap().0)
}

#[test]
fn both_sides_work_over_one_descriptor_and_a_close_ends_the_reader() {
    let (own, mut peer) = pair();
    let (mut reading, writing) = split(own);
    assert_eq!(writing.write_some(b"over").unwrap(), 4);
    let mut got = [0; 4];
    peer.read_exact(&mut got).unwrap();
    assert_eq!(&got, b"over");
    let reader = crate::start(crate::SMALL_STACK, move || {
        let mut buffer = [0; 16];
        assert_eq!(reading.read(&mut buffer).unwrap_or(0), 0);
    });
    writing.close(false);
    assert!(reader.unwrap().join().is_ok());
    assert_eq!(peer.read(&mut got).unwrap(), 0);
}

#[test]
fn a_writer_whose_reader_is_gone_writes_nowhere() {
    let (own, _peer) = pair();
    let (reading, writing) = split(own);
    drop(reading);
    // Likely to get the same number; it must not be written to.
    let (other, mut peer) = pair();
    assert!(writing.write_some(b"stray").is_err());
    drop((writing, other));
    assert_eq!(peer.read(&mut [0; 8]).unwrap(), 0);
}
