//! A pool list service for one front, so that the fronts of a fleet can be given different lists.

use serde_json::json;
use shalespindle_front::pool_list::{Line, Server, ServerState as State};
use std::collections::BTreeMap;
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The entry of one server on a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Row {
    pub pool: u16,
    pub state: State,
    pub incarnation: u64,
}

/// What the service has sent, and its open connections.
#[derive(Default)]
struct FeedState {
    sequence: u64,
    rows: BTreeMap<SocketAddr, Row>,
    connections: Vec<TcpStream>,
}

/// The list service of one front. It keeps running while the front's process is restarted.
pub struct ListFeed {
    pub address: SocketAddr,
    state: Arc<Mutex<FeedState>>,
}

fn lock(state: &Mutex<FeedState>) -> MutexGuard<'_, FeedState> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}

impl FeedState {
    /// The next line of the list, with `whole` set for a complete list.
    fn next_line(&mut self, whole: bool, rows: &[(SocketAddr, Row)]) -> String {
        self.sequence += 1;
        let server = |(address, row): &(SocketAddr, Row)| {
            let Row { pool, state, incarnation } = *row;
            Server { address: *address, pool, state, incarnation, age_ms: None }
        };
        let servers = rows.iter().map(server).collect();
        json!(Line { epoch: 1, sequence: self.sequence, whole, servers }).to_string() + "\n"
    }
}

impl ListFeed {
    /// Listens on a free loopback port; a new connection first gets the whole list.
    pub fn start() -> io::Result<ListFeed> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state: Arc<Mutex<FeedState>> = Arc::default();
        let weak = Arc::downgrade(&state);
        std::thread::spawn(move || {
            for mut stream in listener.incoming().flatten() {
                let Some(state) = weak.upgrade() else { return };
                let mut state = lock(&state);
                let rows: Vec<(SocketAddr, Row)> = state.rows.iter().map(|(a, r)| (*a, *r)).collect();
                let line = state.next_line(true, &rows);
                if stream.write_all(line.as_bytes()).is_ok() {
                    state.connections.push(stream);
                }
            }
        });
        Ok(ListFeed { address, state })
    }

    /// Sets a server's entry and sends the change on all open connections.
    pub fn set(&self, address: SocketAddr, row: Row) {
        let mut state = lock(&self.state);
        state.rows.insert(address, row);
        let line = state.next_line(false, &[(address, row)]);
        state.connections.retain_mut(|stream| stream.write_all(line.as_bytes()).is_ok());
    }

    /// The current list.
    pub fn rows(&self) -> BTreeMap<SocketAddr, Row> {
        lock(&self.state).rows.clone()
    }
}
