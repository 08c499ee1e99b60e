//! The calls of a front: pending attaches and established calls in one slab, indexed by call id and by ue.

use crate::edge::ConnectionId;
use shalespindle_control::interface::{PoolId, UeId};
use shalespindle_signalling::write::ResponseHead;
use slab::Slab;
use std::collections::{BTreeSet, HashMap};

/// A setup try that has been sent or waits for a link.
pub struct Try {
    pub pool: PoolId,
    /// The link it was sent on; none while it waits for one.
    pub link: Option<ConnectionId>,
    pub sent_at: f64,
}

/// An attach whose final answer has not been sent.
pub struct PendingCall {
    pub procedure: usize,
    pub number: Box<str>,
    pub description: Box<str>,
    pub head: ResponseHead,
    pub gives_up_at: f64,
    pub tries: u32,
    pub current_try: Option<Try>,
}

impl PendingCall {
    /// Bytes of the set-up that are kept until the final answer.
    pub fn stored_bytes(&self) -> usize {
        self.number.len() + self.description.len() + self.head.size()
    }
}

/// A call that was answered and has not been released.
pub struct EstablishedCall {
    pub pool: PoolId,
    /// The link of its set-up, on which the server sends the release. None for a call that was handed over.
    pub link: Option<ConnectionId>,
    /// When that link came up; a process that started later cannot have the call. For a call that was handed
    /// over it is unknown, and counts as long ago.
    pub link_up_at: f64,
    /// The caller has confirmed the answer with an ACK.
    pub confirmed: bool,
}

pub enum CallState {
    Pending(Box<PendingCall>),
    Established(EstablishedCall),
}

pub struct Call {
    pub id: u64,
    pub ue: UeId,
    /// The client connection on which the set-up arrived.
    pub client: ConnectionId,
    pub state: CallState,
}

#[derive(Default)]
pub struct Calls {
    slab: Slab<Call>,
    by_id: HashMap<u64, usize>,
    by_ue: HashMap<UeId, usize>,
    next_ue: UeId,
    pending_count: usize,
    /// Total size of what is kept of the set-ups of pending attaches, bytes.
    stored_bytes: usize,
}

impl Calls {
    /// Adds a call and returns its new ue.
    pub fn add(&mut self, id: u64, client: ConnectionId, state: CallState) -> UeId {
        self.next_ue = self.next_ue.wrapping_add(1);
        let ue = self.next_ue;
        if let CallState::Pending(pending) = &state {
            self.pending_count += 1;
            self.stored_bytes += pending.stored_bytes();
        }
        let key = self.slab.insert(Call { id, ue, client, state });
        self.by_id.insert(id, key);
        self.by_ue.insert(ue, key);
        ue
    }

    pub fn remove(&mut self, ue: UeId) -> Option<Call> {
        let key = self.by_ue.remove(&ue)?;
        let call = self.slab.remove(key);
        self.by_id.remove(&call.id);
        if let CallState::Pending(pending) = &call.state {
            self.pending_count -= 1;
            self.stored_bytes -= pending.stored_bytes();
        }
        Some(call)
    }

    /// Turns a pending attach into an established call.
    pub fn establish(&mut self, ue: UeId, pool: PoolId, link: ConnectionId, link_up_at: f64) {
        let Some(&key) = self.by_ue.get(&ue) else { return };
        if let CallState::Pending(pending) = &self.slab[key].state {
            self.pending_count -= 1;
            self.stored_bytes -= pending.stored_bytes();
        }
        self.slab[key].state =
            CallState::Established(EstablishedCall { pool, link: Some(link), link_up_at, confirmed: false });
    }

    /// Assigns an established call to another entry of the list.
    pub fn move_to_pool(&mut self, ue: UeId, to: PoolId) {
        if let Some(CallState::Established(established)) = self.by_ue(ue).map(|call| &mut call.state) {
            established.pool = to;
        }
    }

    /// Returns the calls established at a pool on links that came up before a time, and the other ones.
    pub fn established_before(&self, pool: PoolId, time: f64) -> (Vec<UeId>, Vec<UeId>) {
        let is_before = |ue: &UeId| match &self.slab[self.by_ue[ue]].state {
            CallState::Established(established) => established.link_up_at < time,
            CallState::Pending(_) => false,
        };
        self.established_at(pool).into_iter().partition(is_before)
    }

    pub fn by_id(&mut self, id: u64) -> Option<&mut Call> {
        self.by_id.get(&id).map(|&key| &mut self.slab[key])
    }

    pub fn by_ue(&mut self, ue: UeId) -> Option<&mut Call> {
        self.by_ue.get(&ue).map(|&key| &mut self.slab[key])
    }

    /// Returns the call id, client connection and state of a pending attach.
    pub fn pending(&mut self, ue: UeId) -> Option<(u64, ConnectionId, &mut PendingCall)> {
        let call = self.by_ue(ue)?;
        match &mut call.state {
            CallState::Pending(pending) => Some((call.id, call.client, pending)),
            CallState::Established(_) => None,
        }
    }

    /// Returns all pending attaches, in the order of the slab.
    pub fn all_pending(&self) -> Vec<UeId> {
        self.slab
            .iter()
            .filter(|(_, c)| matches!(c.state, CallState::Pending(_)))
            .map(|(_, c)| c.ue)
            .collect()
    }

    /// Whether the attach is pending and no setup try of it is out on a link.
    pub fn is_unsent(&self, ue: UeId) -> bool {
        let call = self.by_ue.get(&ue).map(|&key| &self.slab[key].state);
        matches!(call, Some(CallState::Pending(h)) if h.current_try.as_ref().is_none_or(|t| t.link.is_none()))
    }

    /// Returns the link on which the attach's current setup try was sent.
    pub fn link_of_try(&self, ue: UeId) -> Option<ConnectionId> {
        match &self.slab[*self.by_ue.get(&ue)?].state {
            CallState::Pending(pending) => pending.current_try.as_ref()?.link,
            CallState::Established(_) => None,
        }
    }

    /// Returns the calls established at a pool, in the order of the slab.
    pub fn established_at(&self, pool: PoolId) -> Vec<UeId> {
        let is_at_pool = |c: &Call| matches!(&c.state, CallState::Established(s) if s.pool == pool);
        self.slab.iter().filter(|(_, c)| is_at_pool(c)).map(|(_, c)| c.ue).collect()
    }

    /// Whether any established call arrived on a client connection that meets the condition.
    pub fn any_established(&self, matches_client: impl Fn(ConnectionId) -> bool) -> bool {
        self.slab
            .iter()
            .any(|(_, c)| matches!(c.state, CallState::Established(_)) && matches_client(c.client))
    }

    /// Returns the links of the set-ups of the calls established at a pool.
    pub fn links_of_established_at(&self, pool: PoolId) -> BTreeSet<ConnectionId> {
        let link = |c: &Call| match &c.state {
            CallState::Established(established) if established.pool == pool => established.link,
            _ => None,
        };
        self.slab.iter().filter_map(|(_, c)| link(c)).collect()
    }

    pub fn pending_count(&self) -> usize {
        self.pending_count
    }

    pub fn established_count(&self) -> usize {
        self.slab.len() - self.pending_count
    }

    pub fn stored_bytes(&self) -> usize {
        self.stored_bytes
    }
}
