//! The votes of the fronts on one site.

use crate::observation::Observation;
use crate::table::SiteTable;
use shalespindle_peers::FrontId;

/// How many fronts outside a site reach or miss it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Votes {
    /// Number of listed fronts outside the site.
    pub outside: usize,
    /// Number of these whose fresh observation shows that no server of the site answers.
    pub missed: usize,
    /// Number of these whose fresh observation shows that some server of the site answers.
    pub reached: usize,
    /// The site holds more than half of all fronts. The fronts outside can then never be a majority of the
    /// fleet.
    pub holds_majority: bool,
}

/// Since when a majority misses a site or reaches it.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct VoteTimes {
    pub missed: Option<f64>,
    pub reached: Option<f64>,
}

impl Votes {
    /// Counts the votes. Each front has at most one observation; those of the site's own fronts are ignored,
    /// because they say nothing about whether others reach it.
    pub fn of<'a>(
        table: &SiteTable,
        site: usize,
        fleet: &[FrontId],
        observations: impl Iterator<Item = (FrontId, &'a Observation)>,
    ) -> Votes {
        let is_outside = |front: &FrontId| table.site_of_front(*front) != Some(site);
        let outside = fleet.iter().filter(|f| is_outside(f)).count();
        let mut votes =
            Votes { outside, holds_majority: 2 * (fleet.len() - outside) > fleet.len(), ..Votes::default() };
        for (front, observation) in observations {
            if !is_outside(&front) || !fleet.contains(&front) {
                continue;
            }
            match observation.sites.get(site) {
                Some(site) if site.tried > 0 && site.reached == 0 => votes.missed += 1,
                Some(site) if site.tried > 0 => votes.reached += 1,
                _ => {}
            }
        }
        votes
    }

    /// Whether more than half of the fronts outside miss the site. `has_majority`: this front receives
    /// heartbeats from more than half of the fleet. Two equal halves that miss each other decide nothing, as
    /// neither has a majority.
    pub fn majority_misses(&self, has_majority: bool) -> bool {
        2 * self.missed > self.outside && (has_majority || self.holds_majority)
    }

    /// Whether more than half of the fronts outside reach the site.
    pub fn majority_reaches(&self, has_majority: bool) -> bool {
        2 * self.reached > self.outside && (has_majority || self.holds_majority)
    }

    /// Whether any front outside misses the site.
    pub fn is_doubtful(&self) -> bool {
        self.missed > 0
    }
}
