//! Standing calls that were handed over and name a server that this front does not know, or not yet.
//!
//! A server that is gone is in no list; one that is new may be in one that has not come. Which of the two it is shows
//! when the list has had its time: to tell the caller at once that its call is over would end calls that stand.

use crate::calls::{CallState, Stands};
use crate::causes::{CLEARED, CUT};
use crate::client_connection::Use;
use crate::edge::{ConnectionId, Edge};
use crate::log::call_subject;
use shalespindle_control::interface::PoolId;

/// What the list knows reaches a front that follows it within this.
const LISTED_WITHIN: f64 = 0.5;
/// And one that does not, when it is asked again; past that the call counts as over with its server.
const FOUND_WITHIN: f64 = 2.0;

/// A call whose server is not known.
pub struct Handed {
    id: u64,
    client: ConnectionId,
    server: String,
    until: f64,
    /// Its caller has released it meanwhile: its server is told once it is known.
    released: Option<u16>,
}

impl Edge {
    /// A call that stands already, set up by another front or by this one before it started.
    pub(crate) fn handed_over(&mut self, now: f64, client: ConnectionId, id: u64, server: &str) {
        if self.calls.by_id(id).is_some() || self.handed.iter().any(|h| h.id == id) {
            return;
        }
        // Bounded like the attaches in hand; beyond that it is not held and its caller not told.
        if self.calls.standing() + self.handed.len() >= self.most_held {
            self.counters.no_place += 1;
            return;
        }
        self.clients.used(now, client, Use::Asks);
        self.log_info("call handed over", call_subject(id), format!("it stands at {server}"));
        // Its server says an end again on the first connection that a front makes, which may be before this.
        if self.early_releases.take(now, id) {
            return self.send_release(now, client, id, CLEARED);
        }
        match self.servers.named(server) {
            Some(pool) => self.hold(now, client, id, pool),
            None => {
                let within = if self.feed.is_up() { LISTED_WITHIN } else { FOUND_WITHIN };
                let (server, until) = (server.to_string(), now + within);
                self.handed.push(Handed { id, client, server, until, released: None });
            }
        }
        self.send_releases(now);
    }

    fn hold(&mut self, now: f64, client: ConnectionId, id: u64, pool: PoolId) {
        let ue = self.calls.add(id, client, CallState::Stands(Stands { pool, link: None, confirmed: true }));
        if let Some(client) = self.clients.all.get_mut(&client) {
            client.standing.insert(ue);
        }
        if let Some(server) = self.servers.all.get_mut(&pool) {
            server.standing += 1;
        }
        self.keep_linked(now, pool);
    }

    /// The list has named a server: calls that wait for it stand there.
    pub(crate) fn take_handed(&mut self, now: f64) {
        for handed in std::mem::take(&mut self.handed) {
            match (self.servers.named(&handed.server), handed.released) {
                (Some(pool), Some(cause)) => self.release_to(now, pool, handed.id, cause),
                (Some(pool), None) => self.hold(now, handed.client, handed.id, pool),
                (None, _) => self.handed.push(handed),
            }
        }
    }

    /// The server of such a call, which the list does not name yet, has released it; false where there is none of that id.
    pub(crate) fn handed_ended(&mut self, now: f64, id: u64, cause: u16) -> bool {
        let Some(place) = self.handed.iter().position(|h| h.id == id) else { return false };
        let handed = self.handed.swap_remove(place);
        if handed.released.is_none() {
            self.send_release(now, handed.client, id, cause);
        }
        true
    }

    /// The caller of such a call has released it; false where there is none of that id.
    pub(crate) fn handed_released(&mut self, id: u64, cause: u16) -> bool {
        let handed = self.handed.iter_mut().find(|h| h.id == id);
        handed.map(|h| h.released = Some(cause)).is_some()
    }

    /// Those whose server no list has named in time are over.
    pub(crate) fn expire_handed(&mut self, now: f64) {
        let (over, left): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.handed).into_iter().partition(|h| h.until <= now);
        self.handed = left;
        for handed in over.into_iter().filter(|h| h.released.is_none()) {
            self.log_info(
                "call over",
                call_subject(handed.id),
                format!("no list names its server {}", handed.server),
            );
            self.send_release(now, handed.client, handed.id, CUT);
        }
    }
}
