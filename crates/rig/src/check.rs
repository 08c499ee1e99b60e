//! Checks the invariants that must hold once every front receives from every other again.

use crate::feed::Row;
use crate::State;
use shalespindle_console::Members;
use shalespindle_peer_service::FleetStatus;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The reported state of one front.
pub struct Seen {
    /// The pool list of this front.
    pub rows: BTreeMap<SocketAddr, Row>,
    pub standing: FleetStatus,
    pub members: Members,
}

/// A violated invariant. The `Debug` form is written to the summary of `lab fleet`.
#[derive(Clone, Debug, PartialEq)]
pub enum Breach {
    /// The replicas of a front's state differ.
    CopiesDiffer { of: String, fronts: Vec<(String, u64)> },
    /// A front reports that its replica of another front's state lacks updates.
    Behind { front: String, of: String, by: u64 },
    /// A front does not consider another one alive.
    Unheard { front: String, of: String, state: String },
    /// A front uses a server although a list has taken that incarnation out of service.
    LetIn { front: String, server: SocketAddr, by: usize },
    /// A front does not use a server although no list has taken it out of service.
    KeptOut { front: String, server: SocketAddr, verdict: String },
}

/// Returns all violated invariants.
pub fn check(fronts: &[Seen]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    check_replicas(fronts, &mut breaches);
    for seen in fronts {
        for peer in &seen.standing.peers {
            let (front, of) = (seen.standing.name.clone(), peer.name.clone());
            if peer.behind > 0 {
                breaches.push(Breach::Behind { front: front.clone(), of: of.clone(), by: peer.behind });
            }
            if peer.state != "alive" {
                breaches.push(Breach::Unheard { front, of, state: peer.state.clone() });
            }
        }
        check_servers(seen, fronts, &mut breaches);
    }
    breaches
}

/// Each front's replica of a front's state must have the digest that the front itself reports.
fn check_replicas(fronts: &[Seen], breaches: &mut Vec<Breach>) {
    for own in fronts.iter().map(|s| &s.standing) {
        let digest_at = |s: &Seen| match s.standing.peers.iter().find(|p| p.name == own.name) {
            Some(peer) => (s.standing.name.clone(), peer.digest),
            None => (own.name.clone(), own.own_digest),
        };
        let digests: Vec<(String, u64)> = fronts.iter().map(digest_at).collect();
        if digests.iter().any(|m| m.1 != own.own_digest) {
            breaches.push(Breach::CopiesDiffer { of: own.name.clone(), fronts: digests });
        }
    }
}

/// For the latest incarnation of a server, the most restrictive state on any list applies at every front.
fn check_servers(seen: &Seen, fronts: &[Seen], breaches: &mut Vec<Breach>) {
    for member in &seen.members.members {
        let Some(own) = seen.rows.get(&member.address) else { continue };
        let rows = fronts.iter().enumerate().filter_map(|(n, s)| Some((n, *s.rows.get(&member.address)?)));
        let latest = rows.clone().map(|(_, r)| r.incarnation).max().unwrap_or(0);
        let taken_out_by =
            rows.filter(|(_, r)| r.incarnation == latest && r.state != State::Ready).map(|(n, _)| n).next();
        let (front, server) = (seen.standing.name.clone(), member.address);
        match taken_out_by {
            Some(by) if member.status == "in" => breaches.push(Breach::LetIn { front, server, by }),
            // A server must be in use only if the front's own list has it as ready; a server that became ready
            // again too often may be kept out for a while.
            None if own.state == State::Ready
                && own.incarnation == latest
                && member.status != "in"
                && !member.reason.contains("came and went") =>
            {
                breaches.push(Breach::KeptOut { front, server, verdict: member.status.clone() });
            }
            _ => {}
        }
    }
}
