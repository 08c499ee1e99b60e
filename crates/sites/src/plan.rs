//! The plan of how much of each procedure is still admitted while a site is out of service. It is a pure
//! function of the observations: fronts with the same observations compute the same plan.

use crate::params::ProcedureClass;
use shalespindle_peers::FrontId;

/// The load and the estimated capacity of a site's servers together.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SiteCapacity {
    /// Set-ups per second; `None`: unknown.
    pub capacity: Option<f64>,
    /// Set-ups established there per second, over all fronts.
    pub established: f64,
    /// The wait that the servers report is at least `SitesParams::busy_wait`.
    pub busy: bool,
}

/// Fraction of the difference by which the estimated capacity moves towards the observed rate of a busy site.
const LEARNING_RATE: f64 = 0.3;
/// Relative growth of the estimated capacity per update, while attaches are refused though the site is not
/// busy.
const GROWTH_RATE: f64 = 0.05;

impl SiteCapacity {
    /// Updates the estimate with an observed rate and wait. `refusing`: the plan refuses attaches now.
    pub fn update(&mut self, established: f64, wait: Option<f64>, busy_wait: f64, refusing: bool) {
        self.established = established;
        self.busy = wait.is_some_and(|w| w >= busy_wait);
        self.capacity = match self.capacity {
            // The rate at which a busy site establishes set-ups is its capacity.
            Some(capacity) if self.busy => Some(capacity + LEARNING_RATE * (established - capacity)),
            None if self.busy && established > 0.0 => Some(established),
            // Without growth, an estimate that is too low would make the fleet refuse for ever.
            Some(capacity) if refusing => Some((capacity * (1.0 + GROWTH_RATE)).max(established)),
            capacity => capacity.map(|c| c.max(established)),
        };
    }
}

/// The attaches that are requested of the fleet.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Demand {
    /// Attaches per second by procedure, of each front with a fresh observation.
    pub known: Vec<(FrontId, Vec<f64>)>,
    /// Number of fronts in service without a fresh observation.
    pub missing: usize,
}

impl Demand {
    /// Returns the total over the fleet by procedure. Each missing front counts as the largest known one: the
    /// plan then refuses too much rather than admitting more than the servers can take.
    pub fn total_by_class(&self, classes: usize) -> Vec<f64> {
        let rates =
            |c: usize| self.known.iter().map(move |(_, requested)| requested.get(c).copied().unwrap_or(0.0));
        let total = |c: usize| rates(c).sum::<f64>() + self.missing as f64 * rates(c).fold(0.0, f64::max);
        (0..classes).map(total).collect()
    }
}

/// The shares of the demand that are admitted.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct AdmissionPlan {
    /// Admitted share of the demand, by procedure.
    pub shares: Vec<f64>,
    /// Demand in set-ups per second, weighted by `ProcedureClass::work`.
    pub required: f64,
    /// Set-ups per second that the remaining servers can take.
    pub capacity: f64,
}

impl AdmissionPlan {
    /// Whether the plan refuses any attaches.
    pub fn refuses(&self) -> bool {
        self.shares.iter().any(|s| *s < 1.0)
    }
}

/// Computes the admitted shares that fit into the capacity of the remaining servers. Each procedure gets at
/// least `floor` of its demand, or all get the same smaller share if not even the floors fit. The rest of the
/// capacity goes to the procedures in descending order of their refusal cost.
pub fn plan_admission(
    classes: &[ProcedureClass],
    floor: f64,
    capacity: f64,
    demand: &[f64],
) -> AdmissionPlan {
    let work = |c: usize| demand.get(c).copied().unwrap_or(0.0) * classes[c].work;
    let required: f64 = (0..classes.len()).map(work).sum();
    let capacity = capacity.max(0.0);
    if required <= capacity {
        return AdmissionPlan { shares: vec![1.0; classes.len()], required, capacity };
    }
    let floor = floor.min(capacity / required);
    let mut shares = vec![floor; classes.len()];
    let mut available = capacity - floor * required;
    let mut order: Vec<usize> = (0..classes.len()).collect();
    // Procedures of equal cost keep the order of the settings, so that the result is the same on every front.
    order.sort_by(|a, b| classes[*b].refusal_cost().total_cmp(&classes[*a].refusal_cost()).then(a.cmp(b)));
    for c in order {
        let rest = (1.0 - floor) * work(c);
        let taken = rest.min(available);
        if rest > 0.0 {
            shares[c] = if taken >= rest { 1.0 } else { floor + (1.0 - floor) * taken / rest };
        } else {
            shares[c] = 1.0;
        }
        available -= taken;
    }
    AdmissionPlan { shares, required, capacity }
}
