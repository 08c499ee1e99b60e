//! The checkers: what must hold once every front hears every other again.

use crate::feed::Row;
use crate::State;
use shalespindle_console::Members;
use shalespindle_peer_service::FleetStatus;
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// One front at the end.
pub struct Seen {
    /// What its own list says.
    pub rows: BTreeMap<SocketAddr, Row>,
    pub standing: FleetStatus,
    pub members: Members,
}

/// What does not hold.
#[derive(Clone, Debug, PartialEq)]
pub enum Breach {
    /// Two fronts hold different copies of a front.
    CopiesDiffer { of: String, fronts: Vec<(String, u64)> },
    /// A front knows that it lacks something.
    Behind { front: String, of: String, by: u64 },
    /// A front does not hear another.
    Unheard { front: String, of: String, state: String },
    /// A server is in service at a front though a list has taken that start of it out.
    LetIn { front: String, server: SocketAddr, by: usize },
    /// A server is out at a front though no list has taken it out.
    KeptOut { front: String, server: SocketAddr, verdict: String },
}

/// All that does not hold; nothing when all is well.
pub fn check(fronts: &[Seen]) -> Vec<Breach> {
    let mut breaches = Vec::new();
    copies(fronts, &mut breaches);
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
        servers(seen, fronts, &mut breaches);
    }
    breaches
}

/// Every front's copy of a front has the mark that the front itself has.
fn copies(fronts: &[Seen], breaches: &mut Vec<Breach>) {
    for own in fronts.iter().map(|s| &s.standing) {
        let held = |s: &Seen| match s.standing.peers.iter().find(|p| p.name == own.name) {
            Some(peer) => (s.standing.name.clone(), peer.digest),
            None => (own.name.clone(), own.own_digest),
        };
        let marks: Vec<(String, u64)> = fronts.iter().map(held).collect();
        if marks.iter().any(|m| m.1 != own.own_digest) {
            breaches.push(Breach::CopiesDiffer { of: own.name.clone(), fronts: marks });
        }
    }
}

/// The most careful word on the latest start counts at every front whose own list knows no later start.
fn servers(seen: &Seen, fronts: &[Seen], breaches: &mut Vec<Breach>) {
    for member in &seen.members.members {
        let Some(own) = seen.rows.get(&member.address) else { continue };
        let rows = fronts.iter().enumerate().filter_map(|(n, s)| Some((n, *s.rows.get(&member.address)?)));
        let latest = rows.clone().map(|(_, r)| r.incarnation).max().unwrap_or(0);
        let out =
            rows.filter(|(_, r)| r.incarnation == latest && r.state != State::Ready).map(|(n, _)| n).next();
        let (front, server) = (seen.standing.name.clone(), member.address);
        match out {
            Some(by) if member.status == "in" => breaches.push(Breach::LetIn { front, server, by }),
            // Only what its own list calls ready is let in; and a return may be held back for a while.
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
