//! What fronts together see of one site.

use crate::sights::Sight;
use crate::table::Table;
use shalespindle_peers::FrontId;

/// How the fronts outside a site see it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(crate) struct Votes {
    /// Fronts outside it, on the list.
    pub outside: usize,
    /// Of them, those with a sight that counts by which none of its servers answers,
    pub missed: usize,
    /// or some do.
    pub reached: usize,
    /// It holds more than half of all fronts: then those outside can never hear more than half.
    pub is_most: bool,
}

impl Votes {
    /// Sights are of distinct fronts; those of fronts in the site itself say nothing of whether others reach it.
    pub fn of<'a>(
        table: &Table,
        site: usize,
        fleet: &[FrontId],
        young: impl Iterator<Item = (FrontId, &'a Sight)>,
    ) -> Votes {
        let is_outside = |front: &FrontId| table.of_front(*front) != Some(site);
        let outside = fleet.iter().filter(|f| is_outside(f)).count();
        let mut votes =
            Votes { outside, is_most: 2 * (fleet.len() - outside) > fleet.len(), ..Votes::default() };
        for (front, sight) in young {
            if !is_outside(&front) || !fleet.contains(&front) {
                continue;
            }
            match sight.sites.get(site) {
                Some(seen) if seen.listed > 0 && seen.reached == 0 => votes.missed += 1,
                Some(seen) if seen.listed > 0 => votes.reached += 1,
                _ => {}
            }
        }
        votes
    }

    /// More than half of the fronts outside miss it. Two equal halves that miss each other's site say nothing: neither
    /// hears more than half of all fronts.
    pub fn say_lost(&self, hears_most: bool) -> bool {
        2 * self.missed > self.outside && (hears_most || self.is_most)
    }

    pub fn say_reached(&self, hears_most: bool) -> bool {
        2 * self.reached > self.outside && (hears_most || self.is_most)
    }

    pub fn is_doubtful(&self) -> bool {
        self.missed > 0
    }
}
