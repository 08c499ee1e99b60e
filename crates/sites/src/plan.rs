//! How much of each procedure is still taken when a site is out: worked out from facts alone, the same on all fronts
//! that have the same facts.

use crate::params::Class;
use shalespindle_peers::FrontId;

/// Set-ups a second that a site's servers bear together, as far as that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Held {
    pub bears: Option<f64>,
    /// Set-ups that stand there a second, over all fronts.
    pub stood: f64,
    /// They are full: their told wait is over what counts as busy.
    pub busy: bool,
}

/// Moves what is believed of a site towards what was seen, by this part of the difference.
const LEARN: f64 = 0.3;
/// A site that is not full while attaches are refused for its sake is believed to bear so much more with each sight.
const GROW: f64 = 0.05;

impl Held {
    /// One more look at the site. `refusing`: attaches are refused by the plan now.
    pub fn seen(&mut self, stood: f64, wait: Option<f64>, busy_wait: f64, refusing: bool) {
        self.stood = stood;
        self.busy = wait.is_some_and(|w| w >= busy_wait);
        self.bears = match self.bears {
            // A full server shows what it bears.
            Some(bears) if self.busy => Some(bears + LEARN * (stood - bears)),
            None if self.busy && stood > 0.0 => Some(stood),
            // Guards against refusing for ever by a figure that is too low: more is tried while there is no wait.
            Some(bears) if refusing => Some((bears * (1.0 + GROW)).max(stood)),
            bears => bears.map(|b| b.max(stood)),
        };
    }
}

/// What is asked of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Attaches a second by procedure, of each front that is known.
    pub known: Vec<(FrontId, Vec<f64>)>,
    /// Fronts in service of which it is not known.
    pub missing: usize,
}

impl Demand {
    /// Over the fleet, by procedure. Those that are missing count as the most of those known: too much is refused
    /// rather than too much promised.
    pub fn whole(&self, classes: usize) -> Vec<f64> {
        let of = |c: usize| self.known.iter().map(move |(_, asked)| asked.get(c).copied().unwrap_or(0.0));
        let one = |c: usize| of(c).sum::<f64>() + self.missing as f64 * of(c).fold(0.0, f64::max);
        (0..classes).map(one).collect()
    }
}

/// What the plan comes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Parts {
    /// Of what is asked, the part taken, by procedure.
    pub shares: Vec<f64>,
    /// Set-ups a second that are needed, and that the servers left bear.
    pub needs: f64,
    pub bears: f64,
}

impl Parts {
    pub fn refuses(&self) -> bool {
        self.shares.iter().any(|s| *s < 1.0)
    }
}

/// Shares of each procedure's demand that fit into what the servers left bear. Each procedure gets `floor` of its demand
/// at least, or all the same share where not even that fits; what is left goes by what a refusal loses for a unit of
/// processor time, the dearest first.
pub fn plan(classes: &[Class], floor: f64, bears: f64, demand: &[f64]) -> Parts {
    let work = |c: usize| demand.get(c).copied().unwrap_or(0.0) * classes[c].work;
    let needs: f64 = (0..classes.len()).map(work).sum();
    let bears = bears.max(0.0);
    if needs <= bears {
        return Parts { shares: vec![1.0; classes.len()], needs, bears };
    }
    let floor = floor.min(bears / needs);
    let mut shares = vec![floor; classes.len()];
    let mut left = bears - floor * needs;
    let mut order: Vec<usize> = (0..classes.len()).collect();
    // Equal ones in the order of the settings: the same on every front.
    order.sort_by(|a, b| classes[*b].loss().total_cmp(&classes[*a].loss()).then(a.cmp(b)));
    for c in order {
        let rest = (1.0 - floor) * work(c);
        let taken = rest.min(left);
        if rest > 0.0 {
            shares[c] = if taken >= rest { 1.0 } else { floor + (1.0 - floor) * taken / rest };
        } else {
            shares[c] = 1.0;
        }
        left -= taken;
    }
    Parts { shares, needs, bears }
}
