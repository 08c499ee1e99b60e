//! The calls of a front: attaches in hand and calls that stand, in one slab, found by id and by ue.

use crate::edge::ConnectionId;
use shalespindle_control::interface::{PoolId, UeId};
use shalespindle_signalling::write::ResponseHead;
use slab::Slab;
use std::collections::{BTreeSet, HashMap};

/// A setup try that is out, or that waits for a link.
pub struct Try {
    pub pool: PoolId,
    /// The link it went out on; none while it waits for one.
    pub link: Option<ConnectionId>,
    pub sent_at: f64,
}

/// An attach that is owed its final answer.
pub struct PendingCall {
    pub procedure: usize,
    pub number: Box<str>,
    pub description: Box<str>,
    pub head: ResponseHead,
    pub gives_up_at: f64,
    pub tries: u32,
    pub out: Option<Try>,
}

/// A call that stands.
pub struct EstablishedCall {
    pub pool: PoolId,
    /// The link of its set-up: its server says its end there. None for a call that was handed over.
    pub link: Option<ConnectionId>,
    /// Its caller has confirmed the answer.
    pub confirmed: bool,
}

pub enum CallState {
    Pending(Box<PendingCall>),
    Established(EstablishedCall),
}

pub struct Call {
    pub id: u64,
    pub ue: UeId,
    /// The connection its set-up came on.
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
    /// Bytes of the descriptions held.
    bytes: usize,
}

impl Calls {
    /// Takes a call in; its ue is new.
    pub fn add(&mut self, id: u64, client: ConnectionId, state: CallState) -> UeId {
        self.next_ue = self.next_ue.wrapping_add(1);
        let ue = self.next_ue;
        if let CallState::Pending(pending) = &state {
            self.pending_count += 1;
            self.bytes += pending.description.len();
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
            self.bytes -= pending.description.len();
        }
        Some(call)
    }

    /// The attach's call stands from now on.
    pub fn establish(&mut self, ue: UeId, pool: PoolId, link: ConnectionId) {
        let Some(&key) = self.by_ue.get(&ue) else { return };
        if let CallState::Pending(pending) = &self.slab[key].state {
            self.pending_count -= 1;
            self.bytes -= pending.description.len();
        }
        self.slab[key].state =
            CallState::Established(EstablishedCall { pool, link: Some(link), confirmed: false });
    }

    pub fn by_id(&mut self, id: u64) -> Option<&mut Call> {
        self.by_id.get(&id).map(|&key| &mut self.slab[key])
    }

    pub fn by_ue(&mut self, ue: UeId) -> Option<&mut Call> {
        self.by_ue.get(&ue).map(|&key| &mut self.slab[key])
    }

    /// The attach in hand of that name.
    pub fn pending(&mut self, ue: UeId) -> Option<(u64, ConnectionId, &mut PendingCall)> {
        let call = self.by_ue(ue)?;
        match &mut call.state {
            CallState::Pending(pending) => Some((call.id, call.client, pending)),
            CallState::Established(_) => None,
        }
    }

    /// Those in hand, in the order of their places.
    pub fn all_pending(&self) -> Vec<UeId> {
        self.slab
            .iter()
            .filter(|(_, c)| matches!(c.state, CallState::Pending(_)))
            .map(|(_, c)| c.ue)
            .collect()
    }

    /// In hand, and no setup try of it has been written, or none is out any more.
    pub fn is_unsent(&self, ue: UeId) -> bool {
        let call = self.by_ue.get(&ue).map(|&key| &self.slab[key].state);
        matches!(call, Some(CallState::Pending(h)) if h.out.as_ref().is_none_or(|t| t.link.is_none()))
    }

    /// The link that its setup try went out on.
    pub fn link_of_try(&self, ue: UeId) -> Option<ConnectionId> {
        match &self.slab[*self.by_ue.get(&ue)?].state {
            CallState::Pending(pending) => pending.out.as_ref()?.link,
            CallState::Established(_) => None,
        }
    }

    /// Those that stand at a pool, in the order of their places.
    pub fn standing_at(&self, pool: PoolId) -> Vec<UeId> {
        let there = |c: &Call| matches!(&c.state, CallState::Established(s) if s.pool == pool);
        self.slab.iter().filter(|(_, c)| there(c)).map(|(_, c)| c.ue).collect()
    }

    /// Whether any stands whose set-up came on a connection like that.
    pub fn any_standing(&self, is_meant: impl Fn(ConnectionId) -> bool) -> bool {
        self.slab.iter().any(|(_, c)| matches!(c.state, CallState::Established(_)) && is_meant(c.client))
    }

    /// The links of the set-ups of those that stand at a pool.
    pub fn links_of_standing_at(&self, pool: PoolId) -> BTreeSet<ConnectionId> {
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

    pub fn description_bytes(&self) -> usize {
        self.bytes
    }
}
