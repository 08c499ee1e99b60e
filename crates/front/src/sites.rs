//! Reports this front's observations of sites to the fleet and applies the restrictions from the fleet's
//! decisions on sites. The decisions are made elsewhere. They only exclude servers: a server that the front's
//! own sources keep out of service stays out.

use crate::front::{Front, TimerEvent};
use crate::io::{Event, Output};
use crate::links::LinkState;
use crate::router::RouterInput;
use shalespindle_control::interface::{PoolEntry, PoolId};
use shalespindle_membership::ServiceStatus;
use shalespindle_sites::{Restrictions, Sample, ServerSample};
use std::collections::BTreeSet;

/// The restrictions from the fleet's decisions on sites, as this front applies them.
#[derive(Default)]
pub(crate) struct SiteRestriction {
    /// Servers that get no attaches now.
    excluded: BTreeSet<PoolId>,
    /// Indexes of lost sites, and whether an operator holds the site out.
    lost_sites: Vec<(usize, bool)>,
}

impl SiteRestriction {
    pub fn excludes(&self, pool: PoolId) -> bool {
        self.excluded.contains(&pool)
    }
}

impl Front {
    /// Reports this front's observations to the fleet and sets the timer for the next report.
    pub(crate) fn report_sites(&mut self, now: f64) {
        let Some(sites) = &self.params.sites else { return };
        let (interval, silent_after) = (sites.report_interval, sites.silent_after);
        self.timers.set(now + interval, TimerEvent::SiteReport);
        // The router sends nothing to excluded servers, so they are probed here for their return.
        let excluded: Vec<PoolId> = self.site_restriction.excluded.iter().copied().collect();
        if self.params.deployment.may_probe {
            excluded.into_iter().for_each(|pool| self.probe(pool));
        }
        let servers = self.links.iter_mut().map(|link| {
            let unanswered = link.observations.unanswered_for(now, silent_after);
            let reachable = match link.state {
                LinkState::Up => unanswered < silent_after,
                // A connection that has just been lost may be back at once.
                LinkState::Connecting | LinkState::Down { .. } => false,
            };
            // Neither reachable nor silent for long enough: no statement about the server.
            let known = link.listed
                && link.observations.connect_attempted
                && (reachable || unanswered >= silent_after);
            ServerSample {
                pool: link.number,
                address: link.address.ip(),
                reached: known.then_some(reachable),
                established: link.observations.established,
                disconnects: link.observations.lost_connections,
                wait: link.observations.reported_wait,
            }
        });
        let mut requested =
            self.levels.as_ref().map_or(Vec::new(), |levels| levels.first_attempts().to_vec());
        requested.resize(self.params.deployment.procedures.len(), 0);
        let sample = Sample { servers: servers.collect(), requested };
        self.outputs.push_back(Output::SitesObserved(sample));
    }

    /// Applies the restrictions from the fleet's decisions on sites.
    pub(crate) fn restrict_sites(&mut self, now: f64, restrictions: Restrictions) {
        if let Some(levels) = &mut self.levels {
            levels.set_rate_limits(now, &restrictions.rate_limits, restrictions.floor);
        }
        self.site_restriction.lost_sites = restrictions.excluded;
        self.update_excluded(now);
        let pools =
            self.links.iter().filter(|l| self.site_restriction.excludes(l.pool)).map(|l| l.number).collect();
        self.event(Event::SitesRestricted { pools, rates: restrictions.rate_limits });
    }

    /// Excludes the servers of lost sites, except those without which a procedure would have no server left:
    /// a wrong decision must not cost more than the loss that it reports. A site that an operator holds out
    /// stays out.
    pub(crate) fn update_excluded(&mut self, now: f64) {
        let Some(sites) = &self.params.sites else { return };
        if self.site_restriction.lost_sites.is_empty() && self.site_restriction.excluded.is_empty() {
            return;
        }
        let site_of = |pool: u16, at: std::net::SocketAddr| sites.table.site_of_server(pool, Some(at.ip()));
        let is_lost = |held_only: bool, site: Option<usize>| {
            site.is_some_and(|s| {
                self.site_restriction
                    .lost_sites
                    .iter()
                    .any(|(lost, held)| *lost == s && (*held || !held_only))
            })
        };
        // Id, pool number, site, whether in service, and start of each server.
        let members: Vec<(PoolId, u16, Option<usize>, bool, f64)> = self
            .sources
            .members
            .members()
            .map(|m| {
                (
                    m.id(),
                    m.pool(),
                    site_of(m.pool(), m.address()),
                    m.status() == ServiceStatus::In,
                    m.started(),
                )
            })
            .collect();
        // Whether a server of these pools is left when all lost sites are excluded.
        let leaves_server =
            |pools: &[u16]| members.iter().any(|m| m.3 && pools.contains(&m.1) && !is_lost(false, m.2));
        // Pools of the procedures that would have no server left.
        let pools_left_empty: Vec<&[u16]> = self
            .params
            .deployment
            .procedures
            .iter()
            .map(|p| p.pools.as_slice())
            .filter(|pools| !leaves_server(pools))
            .collect();
        let excluded: BTreeSet<PoolId> = members
            .iter()
            .filter(|m| {
                is_lost(true, m.2)
                    || is_lost(false, m.2) && !pools_left_empty.iter().any(|pools| pools.contains(&m.1))
            })
            .map(|m| m.0)
            .collect();
        let previous = std::mem::replace(&mut self.site_restriction.excluded, excluded);
        let mut entries = Vec::new();
        let mut newly_excluded = Vec::new();
        for (id, number, _, in_service, started) in members {
            let (was_excluded, is_excluded) = (previous.contains(&id), self.site_restriction.excludes(id));
            if was_excluded == is_excluded || !in_service {
                continue;
            }
            entries.push(PoolEntry { id, number, started, ready: !is_excluded });
            let Some(&link_index) = self.link_by_pool.get(&id) else { continue };
            self.links[link_index].ready = !is_excluded;
            if is_excluded {
                newly_excluded.push(link_index);
            }
        }
        if !entries.is_empty() {
            self.control.handle(now, RouterInput::PoolsListed { entries, whole: false });
        }
        for link_index in newly_excluded {
            self.withdraw_queued(now, link_index);
        }
    }
}
