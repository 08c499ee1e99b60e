//! What this front sees of sites, told to the fleet; and what the fleet's word on them leaves it. What is found is found
//! elsewhere; nothing is let in here that the front's own sources keep out.

use crate::front::{Front, TimerEvent};
use crate::io::{Event, Output};
use crate::links::LinkState;
use crate::router::RouterInput;
use shalespindle_control::interface::{PoolEntry, PoolId};
use shalespindle_membership::Verdict;
use shalespindle_sites::{Narrowing, Observed, ObservedServer};
use std::collections::BTreeSet;

/// What the fleet's word leaves, as this front carries it out.
#[derive(Default)]
pub(crate) struct SiteRestriction {
    /// Servers left alone now.
    excluded: BTreeSet<PoolId>,
    /// Places of sites that are out, and whether an operator holds them out.
    lost_sites: Vec<(usize, bool)>,
}

impl SiteRestriction {
    pub fn excludes(&self, pool: PoolId) -> bool {
        self.excluded.contains(&pool)
    }
}

impl Front {
    /// Tells the fleet what this front sees, now and again.
    pub(crate) fn report_sites(&mut self, now: f64) {
        let Some(sites) = &self.params.sites else { return };
        let (every, silent_after) = (sites.report_interval, sites.silent_after);
        self.timers.set(now + every, TimerEvent::SiteReport);
        // The router asks nothing of servers that are left alone: whether they answer again is asked here.
        let asked: Vec<PoolId> = self.site_restriction.excluded.iter().copied().collect();
        if self.params.deployment.may_probe {
            asked.into_iter().for_each(|pool| self.probe(pool));
        }
        let seen = self.links.iter_mut().map(|link| {
            let owed = link.observations.unanswered_for(now, silent_after);
            let answers = match link.state {
                LinkState::Up => owed < silent_after,
                // One lost just now may be back at once.
                LinkState::Connecting | LinkState::Down { .. } => false,
            };
            let told =
                link.listed && link.observations.connect_attempted && (answers || owed >= silent_after);
            ObservedServer {
                pool: link.number,
                address: link.address.ip(),
                reached: told.then_some(answers),
                stood: link.observations.established,
                cuts: link.observations.lost_connections,
                wait: link.observations.reported_wait,
            }
        });
        let mut asked = self.levels.as_ref().map_or(Vec::new(), |levels| levels.asked().to_vec());
        asked.resize(self.params.deployment.procedures.len(), 0);
        let observed = Observed { servers: seen.collect(), asked };
        self.outputs.push_back(Output::SitesObserved(observed));
    }

    /// The fleet's word on sites leaves this front that much.
    pub(crate) fn restrict_sites(&mut self, now: f64, narrowing: Narrowing) {
        if let Some(levels) = &mut self.levels {
            levels.narrow(now, &narrowing.parts, narrowing.floor);
        }
        self.site_restriction.lost_sites = narrowing.out;
        self.update_excluded(now);
        let pools =
            self.links.iter().filter(|l| self.site_restriction.excludes(l.pool)).map(|l| l.number).collect();
        self.event(Event::SitesRestricted { pools, rates: narrowing.parts });
    }

    /// Servers of the sites that are out are left alone, but for those without which a procedure would have none left:
    /// a word that is wrong must not cost more than the loss it tells of. What an operator holds out stays out.
    pub(crate) fn update_excluded(&mut self, now: f64) {
        let Some(sites) = &self.params.sites else { return };
        if self.site_restriction.lost_sites.is_empty() && self.site_restriction.excluded.is_empty() {
            return;
        }
        let of = |pool: u16, at: std::net::SocketAddr| sites.table.of_server(pool, Some(at.ip()));
        let out = |firm: bool, site: Option<usize>| {
            site.is_some_and(|s| {
                self.site_restriction.lost_sites.iter().any(|(o, f)| *o == s && (*f || !firm))
            })
        };
        let members: Vec<(PoolId, u16, Option<usize>, bool, f64)> = self
            .sources
            .members
            .members()
            .map(|m| (m.name(), m.pool(), of(m.pool(), m.address()), m.verdict() == Verdict::In, m.started()))
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
        let before = std::mem::replace(&mut self.site_restriction.excluded, alone);
        let mut entries = Vec::new();
        let mut taken_back = Vec::new();
        for (name, number, _, is_in, started) in members {
            let (was, is) = (before.contains(&name), self.site_restriction.excludes(name));
            if was == is || !is_in {
                continue;
            }
            entries.push(PoolEntry { id: name, number, started, ready: !is });
            let Some(&link_index) = self.link_by_pool.get(&name) else { continue };
            self.links[link_index].ready = !is;
            if is {
                taken_back.push(link_index);
            }
        }
        if !entries.is_empty() {
            self.control.handle(now, RouterInput::PoolsListed { entries, whole: false });
        }
        for link_index in taken_back {
            self.withdraw_queued(now, link_index);
        }
    }
}
