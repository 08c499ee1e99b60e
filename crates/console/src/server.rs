//! The answering side: a thread that listens and one a connection, both bounded. Threads and not coroutines:
//! an operator's question waits for its answer with a time limit, and among 25,000 questions in quick succession
//! such waits of coroutines lost one and ended the process twice.

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

/// Operators at once.
const MOST: usize = 16;
/// An operator who says nothing for so long is let go.
const IDLE: Duration = Duration::from_secs(30);
/// Between two looks at whether the console has ended.
const LOOK: Duration = Duration::from_millis(500);
/// Wait where a connection cannot be accepted: out of descriptors, most likely.
const NO_PLACE: Duration = Duration::from_millis(20);

/// A console in service; dropping it ends it and takes its socket away.
pub struct Console {
    path: PathBuf,
    ended: Arc<AtomicBool>,
    listener: Option<JoinHandle<()>>,
}

impl Drop for Console {
    fn drop(&mut self) {
        self.ended.store(true, Ordering::Relaxed);
        // Wakes the listener; where that fails it looks by itself.
        let _ = UnixStream::connect(&self.path);
        if let Some(listener) = self.listener.take() {
            // A panic in it has been reported by its own message.
            let _ = listener.join();
        }
        // Gone already, or another's by now: nothing of ours is left either way.
        let _ = fs::remove_file(&self.path);
    }
}

/// Opens the socket, for its owner only, and answers with `answer`, which is called from threads and may wait.
///
/// # Errors
/// `AddrInUse` when another process answers there; a socket that nobody answers on is taken over.
pub fn serve(path: &Path, answer: impl Fn(Request) -> Reply + Send + Sync + 'static) -> io::Result<Console> {
    clear_stale(path)?;
    let listener = UnixListener::bind(path)?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600))?;
    SockRef::from(&listener).set_read_timeout(Some(LOOK))?;
    let (answer, ended) = (Arc::new(answer), Arc::new(AtomicBool::new(false)));
    let over = ended.clone();
    let listener = std::thread::Builder::new().name("console".into()).spawn(move || {
        let open = Arc::new(AtomicUsize::new(0));
        while !over.load(Ordering::Relaxed) {
            match listener.accept() {
                Ok((stream, _)) => serve_one(stream, &answer, &open),
                Err(why) if matches!(why.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted) => {}
                Err(_) => std::thread::sleep(NO_PLACE),
            }
        }
    })?;
    Ok(Console { path: path.to_path_buf(), ended, listener: Some(listener) })
}

fn serve_one<A>(stream: UnixStream, answer: &Arc<A>, open: &Arc<AtomicUsize>)
where
    A: Fn(Request) -> Reply + Send + Sync + 'static,
{
    if open.fetch_add(1, Ordering::Relaxed) >= MOST {
        // Guards descriptors and threads: dropped, the operator may try again.
        open.fetch_sub(1, Ordering::Relaxed);
        return;
    }
    let (answer, left) = (answer.clone(), open.clone());
    let started = std::thread::Builder::new().name("operator".into()).spawn(move || {
        // Whatever ends it, an operator asks anew with a new connection.
        let _ = one(stream, &*answer);
        left.fetch_sub(1, Ordering::Relaxed);
    });
    if started.is_err() {
        open.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Guards a restart after a kill: the socket of a process that is gone must not keep the next from starting.
fn clear_stale(path: &Path) -> io::Result<()> {
    match fs::symlink_metadata(path) {
        Ok(found) if !found.file_type().is_socket() => {
            Err(io::Error::new(io::ErrorKind::AlreadyExists, "there is something else at the socket's path"))
        }
        Ok(_) => match UnixStream::connect(path) {
            Ok(_) => Err(io::Error::new(io::ErrorKind::AddrInUse, "another process answers on the socket")),
            Err(_) => fs::remove_file(path),
        },
        Err(why) if why.kind() == io::ErrorKind::NotFound => Ok(()),
        Err(why) => Err(why),
    }
}

fn one(stream: UnixStream, answer: &impl Fn(Request) -> Reply) -> io::Result<()> {
    stream.set_read_timeout(Some(IDLE))?;
    stream.set_write_timeout(Some(IDLE))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        // Guards memory against a line without end.
        let size = reader.by_ref().take(MAX_LINE_BYTES).read_line(&mut line)?;
        if size == 0 {
            return Ok(());
        }
        let whole = line.ends_with('\n');
        let reply = match serde_json::from_str(&line) {
            Ok(question) if whole => answer(question),
            Ok(_) => Reply::Bad { why: "the line has no end".into() },
            Err(why) => Reply::Bad { why: why.to_string() },
        };
        let mut text = serde_json::to_string(&reply)?;
        text.push('\n');
        writer.write_all(text.as_bytes())?;
        if !whole {
            return Ok(());
        }
    }
}
