//! What fronts together see of one site.

use crate::observation::Observation;
use crate::table::SiteTable;
use shalespindle_peers::FrontId;

/// How the fronts outside a site see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Votes {
    /// Fronts outside it, on the list.
    pub outside: usize,
    /// Of them, those with a observation that counts by which none of its servers answers,
    pub missed: usize,
    /// or some do.
    pub reached: usize,
    /// It holds more than half of all fronts: then those outside can never hear more than half.
    pub holds_majority: bool,
}

impl Votes {
    /// Observations are of distinct fronts; those of fronts in the site itself say nothing of whether others reach it.
    pub fn of<'a>(
        table: &SiteTable,
        site: usize,
        fleet: &[FrontId],
        young: impl Iterator<Item = (FrontId, &'a Observation)>,
    ) -> Votes {
        let is_outside = |front: &FrontId| table.site_of_front(*front) != Some(site);
        let outside = fleet.iter().filter(|f| is_outside(f)).count();
        let mut votes =
            Votes { outside, holds_majority: 2 * (fleet.len() - outside) > fleet.len(), ..Votes::default() };
        for (front, observation) in young {
            if !is_outside(&front) || !fleet.contains(&front) {
                continue;
            }
            match observation.sites.get(site) {
                Some(seen) if seen.tried > 0 && seen.reached == 0 => votes.missed += 1,
                Some(seen) if seen.tried > 0 => votes.reached += 1,
                _ => {}
            }
        }
        votes
    }

    /// More than half of the fronts outside miss it. Two equal halves that miss each other's site say nothing: neither
    /// hears more than half of all fronts.
    pub fn majority_misses(&self, has_majority: bool) -> bool {
        2 * self.missed > self.outside && (has_majority || self.holds_majority)
    }

    pub fn majority_reaches(&self, has_majority: bool) -> bool {
        2 * self.reached > self.outside && (has_majority || self.holds_majority)
    }

    pub fn is_doubtful(&self) -> bool {
        self.missed > 0
    }
}
