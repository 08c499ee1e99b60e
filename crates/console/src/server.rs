//! The answering side: a listener and one coroutine a connection, both bounded.

use crate::{Ask, Reply, LONGEST_LINE};
use may::os::unix::net::{UnixListener, UnixStream};
use shalespindle_sockets::{end, start, Handle, LARGE_STACK};
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::os::unix::fs::{FileTypeExt, PermissionsExt};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// Operators at once.
const MOST: usize = 16;
/// An operator who says nothing for so long is let go.
const IDLE: Duration = Duration::from_secs(30);

/// A console in service; dropping it ends it and takes its socket away.
pub struct Console {
    path: PathBuf,
    listener: Option<Handle>,
}

impl Drop for Console {
    fn drop(&mut self) {
        if let Some(listener) = self.listener.take() {
            end(listener);
        }
        // Gone already, or another's by now: nothing of ours is left either way.
        let _ = fs::remove_file(&self.path);
    }
}

/// Opens the socket, for its owner only, and answers with `answer`, which is called from coroutines.
///
/// # Errors
/// `AddrInUse` when another process answers there; a socket that nobody answers on is taken over.
pub fn serve(path: &Path, answer: impl Fn(Ask) -> Reply + Send + Sync + 'static) -> io::Result<Console> {
    clear_stale(path)?;
    let listener = UnixListener::bind(path)?;
    fs::set_permissions(path, fs::Permissions::from_mode(0o600))?;
    let answer = Arc::new(answer);
    let open = Arc::new(AtomicUsize::new(0));
    let listener = start(LARGE_STACK, move || loop {
        let Ok((stream, _)) = listener.accept() else {
            // Out of descriptors, most likely: waits for some to come back.
            may::coroutine::sleep(Duration::from_millis(20));
            continue;
        };
        if open.fetch_add(1, Ordering::Relaxed) >= MOST {
            // Guards descriptors: dropped, the operator may try again.
            open.fetch_sub(1, Ordering::Relaxed);
            continue;
        }
        let (answer, left) = (answer.clone(), open.clone());
        let started = start(LARGE_STACK, move || {
            // Whatever ends it, an operator asks anew with a new connection.
            let _ = one(stream, &*answer);
            left.fetch_sub(1, Ordering::Relaxed);
        });
        if started.is_err() {
            open.fetch_sub(1, Ordering::Relaxed);
        }
    })?;
    Ok(Console { path: path.to_path_buf(), listener: Some(listener) })
}

/// Guards a restart after a kill: the socket of a process that is gone must not keep the next from starting.
fn clear_stale(path: &Path) -> io::Result<()> {
    match fs::symlink_metadata(path) {
        Ok(found) if !found.file_type().is_socket() => {
            Err(io::Error::new(io::ErrorKind::AlreadyExists, "there is something else at the socket's path"))
        }
        Ok(_) => match std::os::unix::net::UnixStream::connect(path) {
            Ok(_) => Err(io::Error::new(io::ErrorKind::AddrInUse, "another process answers on the socket")),
            Err(_) => fs::remove_file(path),
        },
        Err(why) if why.kind() == io::ErrorKind::NotFound => Ok(()),
        Err(why) => Err(why),
    }
}

fn one(stream: UnixStream, answer: &impl Fn(Ask) -> Reply) -> io::Result<()> {
    stream.set_read_timeout(Some(IDLE))?;
    stream.set_write_timeout(Some(IDLE))?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let mut line = String::new();
    loop {
        line.clear();
        // Guards memory against a line without end.
        let size = reader.by_ref().take(LONGEST_LINE).read_line(&mut line)?;
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
