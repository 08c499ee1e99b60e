//! How much of each procedure is still taken when a site is out: worked out from facts alone, the same on all fronts
//! that have the same facts.

use crate::params::ProcedureClass;
use shalespindle_peers::FrontId;

/// Set-ups a second that a site's servers bear together, as far as that is known.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteCapacity {
    pub capacity: Option<f64>,
    /// Set-ups that stand there a second, over all fronts.
    pub established: f64,
    /// They are full: their told wait is over what counts as busy.
    pub busy: bool,
}

/// Moves what is believed of a site towards what was seen, by this part of the difference.
const LEARNING_RATE: f64 = 0.3;
/// A site that is not full while attaches are refused for its sake is believed to bear so much more with each observation.
const GROWTH_RATE: f64 = 0.05;

impl SiteCapacity {
    /// One more look at the site. `refusing`: attaches are refused by the plan now.
    pub fn update(&mut self, established: f64, wait: Option<f64>, busy_wait: f64, refusing: bool) {
        self.established = established;
        self.busy = wait.is_some_and(|w| w >= busy_wait);
        self.capacity = match self.capacity {
            // A full server shows what it capacity.
            Some(capacity) if self.busy => Some(capacity + LEARNING_RATE * (established - capacity)),
            None if self.busy && established > 0.0 => Some(established),
            // Guards against refusing for ever by a figure that is too low: more is tried while there is no wait.
            Some(capacity) if refusing => Some((capacity * (1.0 + GROWTH_RATE)).max(established)),
            capacity => capacity.map(|b| b.max(established)),
        };
    }
}

/// What is requested of the fleet.
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
    pub fn total_by_class(&self, classes: usize) -> Vec<f64> {
        let of =
            |c: usize| self.known.iter().map(move |(_, requested)| requested.get(c).copied().unwrap_or(0.0));
        let one = |c: usize| of(c).sum::<f64>() + self.missing as f64 * of(c).fold(0.0, f64::max);
        (0..classes).map(one).collect()
    }
}

/// What the plan comes to.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionPlan {
    /// Of what is requested, the part taken, by procedure.
    pub shares: Vec<f64>,
    /// Set-ups a second that are needed, and that the servers left bear.
    pub required: f64,
    pub capacity: f64,
}

impl AdmissionPlan {
    pub fn refuses(&self) -> bool {
        self.shares.iter().any(|s| *s < 1.0)
    }
}

/// Shares of each procedure's demand that fit into what the servers left bear. Each procedure gets `floor` of its demand
/// at least, or all the same share where not even that fits; what is left goes by what a refusal loses for a unit of
/// processor time, the dearest first.
pub fn plan(classes: &[ProcedureClass], floor: f64, capacity: f64, demand: &[f64]) -> AdmissionPlan {
    let work = |c: usize| demand.get(c).copied().unwrap_or(0.0) * classes[c].work;
    let required: f64 = (0..classes.len()).map(work).sum();
    let capacity = capacity.max(0.0);
    if required <= capacity {
        return AdmissionPlan { shares: vec![1.0; classes.len()], required, capacity };
    }
    let floor = floor.min(capacity / required);
    let mut shares = vec![floor; classes.len()];
    let mut left = capacity - floor * required;
    let mut order: Vec<usize> = (0..classes.len()).collect();
    // Equal ones in the order of the settings: the same on every front.
    order.sort_by(|a, b| classes[*b].refusal_cost().total_cmp(&classes[*a].refusal_cost()).then(a.cmp(b)));
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
    AdmissionPlan { shares, required, capacity }
}
