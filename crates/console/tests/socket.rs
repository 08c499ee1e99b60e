//! Console and client over a real socket.

use shalespindle_console::{ask, serve, ConsoleError, Reply, Request, MAX_LINE_BYTES};
use std::io::{BufRead, BufReader, Write};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::net::UnixStream;
use std::path::Path;
use std::time::Duration;

const WITHIN: Duration = Duration::from_secs(20);

fn echo(question: Request) -> Reply {
    Reply::Done { what: format!("{question:?}") }
}

fn raw(socket: &Path, bytes: &[u8]) -> String {
    let mut stream = UnixStream::connect(socket).unwrap();
    stream.set_read_timeout(Some(WITHIN)).unwrap();
    stream.write_all(bytes).unwrap();
    let mut line = String::new();
    BufReader::new(stream).read_line(&mut line).unwrap();
    line
}

#[test]
fn questions_are_answered_and_bad_ones_too() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("front.sock");
    let console = serve(&path, echo).unwrap();
    assert_eq!(std::fs::metadata(&path).unwrap().permissions().mode() & 0o777, 0o600);
    let question = Request::PinLevel { level: 2, seconds: 60.0 };
    let expected = Reply::Done { what: format!("{question:?}") };
    assert_eq!(ask(&path, &question, WITHIN).unwrap(), expected);
    for bad in [
        "nonsense\n",
        "{\"ask\":\"pin_level\",\"level\":1,\"seconds\":1,\"more\":1}\n",
        "{\"ask\":\"pin_level\",\"level\":-1}\n",
        "\n",
    ] {
        assert!(raw(&path, bad.as_bytes()).contains("\"reply\":\"bad\""), "{bad}");
    }
    let endless = vec![b'x'; MAX_LINE_BYTES as usize];
    assert!(raw(&path, &endless).contains("\"reply\":\"bad\""));
    drop(console);
    assert!(!path.exists());
    assert!(matches!(ask(&path, &Request::Status, WITHIN), Err(ConsoleError::Unreachable { .. })));
}

#[test]
fn a_dead_ones_socket_is_taken_over_and_a_live_ones_is_not() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("front.sock");
    drop(std::os::unix::net::UnixListener::bind(&path).unwrap());
    let console = serve(&path, echo).unwrap();
    let second = serve(&path, echo).err().map(|why| why.kind());
    assert_eq!(second, Some(std::io::ErrorKind::AddrInUse));
    assert!(ask(&path, &Request::Status, WITHIN).is_ok());
    drop(console);
    std::fs::write(&path, "kept").unwrap();
    assert!(serve(&path, echo).is_err());
    assert_eq!(std::fs::read_to_string(&path).unwrap(), "kept");
}
