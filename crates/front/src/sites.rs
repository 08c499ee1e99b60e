//! What this front sees of sites, told to the fleet; and what the fleet's word on them leaves it. What is found is found
//! elsewhere; nothing is let in here that the front's own sources keep out.

use crate::front::{Due, Front};
use crate::io::{Event, Output};
use crate::links::LinkState;
use crate::router::RouterInput;
use shalespindle_control::interface::{PoolEntry, PoolId};
use shalespindle_membership::ServiceStatus;
use shalespindle_sites::{Restrictions, Sample, ServerSample};
use std::collections::BTreeSet;

/// What the fleet's word leaves, as this front carries it out.
#[derive(Default)]
pub(crate) struct Narrowed {
    /// Servers left alone now.
    alone: BTreeSet<PoolId>,
    /// Places of sites that are out, and whether an operator holds them out.
    sites: Vec<(usize, bool)>,
}

impl Narrowed {
    pub fn leaves_alone(&self, pool: PoolId) -> bool {
        self.alone.contains(&pool)
    }
}

impl Front {
    /// Tells the fleet what this front sees, now and again.
    pub(crate) fn sees_sites(&mut self, now: f64) {
        let Some(sites) = &self.params.sites else { return };
        let (every, silent_after) = (sites.report_interval, sites.silent_after);
        self.timers.set(now + every, Due::Sight);
        // The router asks nothing of servers that are left alone: whether they answer again is asked here.
        let asked: Vec<PoolId> = self.narrowed.alone.iter().copied().collect();
        if self.params.deployment.may_probe {
            asked.into_iter().for_each(|pool| self.probe(pool));
        }
        let seen = self.links.iter_mut().map(|link| {
            let owed = link.seen.owed(now, silent_after);
            let answers = match link.state {
                LinkState::Up => owed < silent_after,
                // One lost just now may be back at once.
                LinkState::Connecting | LinkState::Down { .. } => false,
            };
            let told = link.listed && link.seen.tried && (answers || owed >= silent_after);
            ServerSample {
                pool: link.number,
                address: link.address.ip(),
                reached: told.then_some(answers),
                established: link.seen.stood,
                disconnects: link.seen.cuts,
                wait: link.seen.wait,
            }
        });
        let mut asked = self.levels.as_ref().map_or(Vec::new(), |levels| levels.first_attempts().to_vec());
        asked.resize(self.params.deployment.procedures.len(), 0);
        let observed = Sample { servers: seen.collect(), requested: asked };
        self.outputs.push_back(Output::SitesObserved(observed));
    }

    /// The fleet's word on sites leaves this front that much.
    pub(crate) fn narrow(&mut self, now: f64, narrowing: Restrictions) {
        if let Some(levels) = &mut self.levels {
            levels.set_rate_limits(now, &narrowing.rate_limits, narrowing.floor);
        }
        self.narrowed.sites = narrowing.excluded;
        self.leave_alone(now);
        let pools =
            self.links.iter().filter(|l| self.narrowed.leaves_alone(l.pool)).map(|l| l.number).collect();
        self.event(Event::SitesRestricted { pools, rates: narrowing.rate_limits });
    }

    /// Servers of the sites that are out are left alone, but for those without which a procedure would have none left:
    /// a word that is wrong must not cost more than the loss it tells of. What an operator holds out stays out.
    pub(crate) fn leave_alone(&mut self, now: f64) {
        let Some(sites) = &self.params.sites else { return };
        if self.narrowed.sites.is_empty() && self.narrowed.alone.is_empty() {
            return;
        }
        let of = |pool: u16, at: std::net::SocketAddr| sites.table.site_of_server(pool, Some(at.ip()));
        let out = |firm: bool, site: Option<usize>| {
            site.is_some_and(|s| self.narrowed.sites.iter().any(|(o, f)| *o == s && (*f || !firm)))
        };
        let members: Vec<(PoolId, u16, Option<usize>, bool, f64)> = self
            .sources
            .members
            .members()
            .map(|m| {
                (m.id(), m.pool(), of(m.pool(), m.address()), m.status() == ServiceStatus::In, m.started())
            })
            .collect();
        // A procedure keeps some server where a site is out by the fleet's finding alone.
        let keeps = |pools: &[u16]| members.iter().any(|m| m.3 && pools.contains(&m.1) && !out(false, m.2));
        let bare: Vec<&[u16]> = self
            .params
            .deployment
            .procedures
            .iter()
            .map(|p| p.pools.as_slice())
            .filter(|pools| !keeps(pools))
            .collect();
        let alone: BTreeSet<PoolId> = members
            .iter()
            .filter(|m| out(true, m.2) || out(false, m.2) && !bare.iter().any(|pools| pools.contains(&m.1)))
            .map(|m| m.0)
            .collect();
        let before = std::mem::replace(&mut self.narrowed.alone, alone);
        let mut entries = Vec::new();
        let mut taken_back = Vec::new();
        for (name, number, _, is_in, started) in members {
            let (was, is) = (before.contains(&name), self.narrowed.leaves_alone(name));
            if was == is || !is_in {
                continue;
            }
            entries.push(PoolEntry { id: name, number, started, ready: !is });
            let Some(&place) = self.by_pool.get(&name) else { continue };
            self.links[place].ready = !is;
            if is {
                taken_back.push(place);
            }
        }
        if !entries.is_empty() {
            self.control.handle(now, RouterInput::PoolsListed { entries, whole: false });
        }
        for place in taken_back {
            self.take_back(now, place);
        }
    }
}
