//! The server of the console: a thread that accepts connections and one thread per connection, up to a limit.
//!
//! Threads instead of coroutines: a request waits for its reply with a timeout, and of 25,000 requests in
//! quick succession such waits of coroutines lost one and crashed the process twice.

use crate::{Reply, Request, MAX_LINE_BYTES};
use socket2::SockRef;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::Arc;
use std::thread::JoinHandle;
use std::time::Duration;

/// Maximum number of connections.
const MAX_CONNECTIONS: usize = 16;
/// A connection without traffic for this long is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(30);
/// Interval at which the listener checks whether the console has ended.
const STOP_CHECK_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a connection could not be accepted, most likely because the process is out of descriptors.
const ACCEPT_ERROR_PAUSE: Duration = Duration::from_millis(20);

/// A running console. Dropping it ends it and removes its socket.
pub struct Console {
    path: PathBuf,
    ended: Arc<AtomicBool>,
    listener: Option<JoinHandle<()>>,
}

impl Drop for Console {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        // Wakes the listener. If that fails, the listener notices the end at its next check.
        let _ = UnixStream::connect(&self.path);
        if let Some(listener) = self.listener.take() {
            // A panic in the thread has already printed its message.
            let _ = listener.join();
        }
        // An error means that the socket has been removed already.
        let _ = fs::remove_file(&self.path);
    }
}

/// Opens the socket, accessible to its owner only, and replies with `answer`, which is called from several
/// threads and may block.
///
/// # Errors
/// `AddrInUse` if another process accepts connections on the socket. A socket that nobody listens on is
/// replaced.
pub fn serve(path: &Path, answer: impl Fn(Request) -> Reply + Send + Sync + 'static) -> io::Result<Console> {
    remove_stale_socket(path)?;
    let listener = UnixListener::bind(path)?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600))?;
    SockRef::from(&listener).set_read_timeout(Some(STOP_CHECK_INTERVAL))?;
    let (answer, ended) = (Arc::new(answer), Arc::new(AtomicBool::new(false)));
    let stop = ended.clone();
    let listener = std::thread::Builder::new().name("console".into()).spawn(move || {
        let open_connections = Arc::new(AtomicUsize::new(0));
        while !stop.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => start_connection(stream, &answer, &open_connections),
                Err(why) if matches!(why.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Err(_) => std::thread::sleep(ACCEPT_ERROR_PAUSE),
            }
        }
    })?;
    Ok(Console { path: path.to_path_buf(), ended, listener: Some(listener) })
}

/// Serves a connection on a thread of its own, or drops it if there are too many.
fn start_connection<A>(stream: UnixStream, answer: &Arc<A>, open_connections: &Arc<AtomicUsize>)
where
    A: Fn(Request) -> Reply + Send + Sync + 'static,
{
    if open_connections.fetch_add(1, Ordering::Relaxed) >= MAX_CONNECTIONS {
        // Limits descriptors and threads. The connection is dropped; the operator may try again.
        open_connections.fetch_sub(1, Ordering::Relaxed);
        return;
    }
    let (answer, open_after) = (answer.clone(), open_connections.clone());
    let started = std::thread::Builder::new().name("operator".into()).spawn(move || {
        // An error ends only this connection; the operator may open a new one.
        let _ = serve_connection(stream, &*answer);
        open_after.fetch_sub(1, Ordering::Relaxed);
    });
    if started.is_err() {
        open_connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Removes the socket of a process that was killed, so that the next process can start.
fn remove_stale_socket(path: &Path) -> io::Result<()> {
    match fs::symlink_metadata(path) {
        Ok(found) if !found.file_type().is_socket() => {
            Err(io::Error::new(io::ErrorKind::AlreadyExists, "the console's path exists and is not a socket"))
        }
        Ok(_) => match UnixStream::connect(path) {
            Ok(_) => Err(io::Error::new(
                io::ErrorKind::AddrInUse,
                "another process listens on the console's socket",
            )),
            Err(_) => fs::remove_file(path),
        },
        Err(why) if why.kind() == io::ErrorKind::NotFound => Ok(()),
        Err(why) => Err(why),
    }
}

/// Replies to the requests of one connection until it is closed.
fn serve_connection(stream: UnixStream, answer: &impl Fn(Request) -> Reply) -> io::Result<()> {
    stream.set_read_timeout(Some(IDLE_TIMEOUT))?;
    stream.set_write_timeout(Some(IDLE_TIMEOUT))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        // Limits memory if a line never ends.
        let size = reader.by_ref().take(MAX_LINE_BYTES).read_line(&mut line)?;
        if size == 0 {
            return Ok(());
        }
        let is_complete = line.ends_with('\n');
        let reply = match serde_json::from_str(&line) {
            Ok(request) if is_complete => answer(request),
            Ok(_) => Reply::Bad { why: "the line is too long or has no line feed".into() },
            Err(why) => Reply::Bad { why: why.to_string() },
        };
        let mut text = serde_json::to_string(&reply)?;
        text.push('\n');
        writer.write_all(text.as_bytes())?;
        if !is_complete {
            return Ok(());
        }
    }
}
