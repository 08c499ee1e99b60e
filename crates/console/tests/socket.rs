//! Console and client over a Unix socket.

use shalespindle_console::{ask, serve, ConsoleError, Reply, Request, MAX_LINE_BYTES};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

const TIMEOUT: Duration = Duration::from_secs(20);

/// Replies with the request in text form.
fn echo(request: Request) -> Reply {
    Reply::Done { what: format!("{request:?}") }
}

/// Sends bytes as they are and returns the line that comes back.
fn send_raw(socket: &Path, bytes: &[u8]) -> String {
    let mut stream = UnixStream::connect(socket).unwrap();
    stream.set_read_timeout(Some(TIMEOUT)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line
}

#[test]
fn valid_requests_are_answered_and_invalid_ones_get_an_error() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("front.sock");
    let console = serve(&path, echo).unwrap();
    assert_eq!(std::fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o600);
    let request = Request::PinLevel { level: 2, seconds: 60.0 };
    let expected = Reply::Done { what: format!("{request:?}") };
    assert_eq!(ask(&path, &request, TIMEOUT).unwrap(), expected);
    for bad in [
        "nonsense\n",
        "{\"ask\":\"pin_level\",\"level\":1,\"seconds\":1,\"more\":1}\n",
        "{\"ask\":\"pin_level\",\"level\":-1}\n",
        "\n",
    ] {
        assert!(send_raw(&path, bad.as_bytes()).contains("\"reply\":\"bad\""), "{bad}");
    }
    let unterminated = vec![b'x'; MAX_LINE_BYTES as usize];
    assert!(send_raw(&path, &unterminated).contains("\"reply\":\"bad\""));
    drop(console);
    assert!(!path.exists());
    assert!(matches!(ask(&path, &Request::Status, TIMEOUT), Err(ConsoleError::Unreachable { .. })));
}

#[test]
fn a_stale_socket_is_replaced_and_one_in_use_or_another_file_is_not() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("front.sock");
    drop(std::os::unix::net::UnixListener::bind(&path).unwrap());
    let console = serve(&path, echo).unwrap();
    let second = serve(&path, echo).err().map(|why| why.kind());
    assert_eq!(second, Some(std::io::ErrorKind::AddrInUse));
    assert!(ask(&path, &Request::Status, TIMEOUT).is_ok());
    drop(console);
    std::fs::write(&path, "not a socket").unwrap();
    assert!(serve(&path, echo).is_err());
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "not a socket");
}
