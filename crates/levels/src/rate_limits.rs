//! What a plan for the whole fleet leaves this front of each procedure, in whole attaches.

use std::collections::BTreeMap;

/// A part may be saved up for so long, seconds: attaches come in no steady row.
const BURST_SECONDS: f64 = 2.0;
/// And up to so many attaches where that is more: at a front that is asked little they come in no row at all.
const MIN_BURST: f64 = 3.0;
/// A tenant's floor is kept over about so many of its attaches.
const FLOOR_AVERAGING: f64 = 20.0;

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// None: all are taken.
    a_second: Option<f64>,
    tokens: f64,
    at: f64,
}

/// RateLimits by procedure, and a floor for each tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateLimits {
    buckets: Vec<TokenBucket>,
    floor: f64,
    /// Of each tenant's attaches of late: asked and taken, while parts are on.
    tenants: BTreeMap<usize, (f64, f64)>,
}

impl RateLimits {
    /// What each procedure gets from now on, attaches a second; empty: all of all. What was saved stays.
    pub fn set(&mut self, now: f64, parts: &[Option<f64>], floor: f64) {
        if parts.is_empty() {
            self.tenants.clear();
        }
        self.buckets.iter_mut().for_each(|b| b.fill(now));
        self.buckets.resize(parts.len(), TokenBucket { a_second: None, tokens: 0.0, at: now });
        for (bucket, part) in self.buckets.iter_mut().zip(parts) {
            if bucket.a_second.is_none() {
                // Begins empty: over all fronts not one attach more is taken than the sum of the parts.
                (bucket.tokens, bucket.at) = (0.0, now);
            }
            bucket.a_second = part.map(|p| p.max(0.0));
        }
        self.floor = floor;
    }

    /// Some procedure is not taken whole.
    pub fn is_on(&self) -> bool {
        !self.buckets.is_empty()
    }

    /// An attach of that procedure and tenant; false where its part is used up.
    pub fn ask(&mut self, now: f64, procedure: usize, tenant: Option<usize>) -> bool {
        if self.buckets.is_empty() {
            return true;
        }
        let starved = self.starved(tenant);
        let Some(bucket) = self.buckets.get_mut(procedure) else { return true };
        let taken = bucket.take(now, starved);
        if let Some(tenant) = tenant {
            let (asked, had) = self.tenants.entry(tenant).or_default();
            let kept = 1.0 - 1.0 / FLOOR_AVERAGING;
            (*asked, *had) = (*asked * kept + 1.0, *had * kept + f64::from(u8::from(taken)));
        }
        taken
    }

    /// The tenant has had less than its floor of late, so that it goes before the part's turn.
    fn starved(&self, tenant: Option<usize>) -> bool {
        let had = tenant.and_then(|t| self.tenants.get(&t));
        had.is_some_and(|(asked, had)| *had < self.floor * asked)
    }
}

impl TokenBucket {
    fn fill(&mut self, now: f64) {
        let a_second = self.a_second.unwrap_or(0.0);
        let most = (BURST_SECONDS * a_second).max(MIN_BURST);
        self.tokens = (self.tokens + a_second * (now - self.at).max(0.0)).min(most);
        self.at = self.at.max(now);
    }

    fn take(&mut self, now: f64, starved: bool) -> bool {
        let Some(a_second) = self.a_second else { return true };
        self.fill(now);
        // What a starved tenant takes ahead of time is missing to the others after it: the sum stays the same.
        let least = if starved { 1.0 - (BURST_SECONDS * a_second).max(1.0) } else { 1.0 };
        let taken = self.tokens >= least;
        if taken {
            self.tokens -= 1.0;
        }
        taken
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn over_any_time_no_more_than_the_part_is_taken_and_each_tenant_gets_its_floor() {
        let mut parts = RateLimits::default();
        parts.set(0.0, &[Some(4.0), None], 0.3);
        let (mut taken, mut had) = (0, [0, 0]);
        // Ten a second are asked, nine of them by tenant 0.
        for n in 0..1000 {
            let (now, tenant) = (f64::from(n) * 0.1, usize::from(n % 10 == 0));
            if parts.ask(now, 0, Some(tenant)) {
                taken += 1;
                had[tenant] += 1;
                assert!(f64::from(taken) <= 4.0 * now + 8.0, "{taken} by {now}");
            }
            assert!(parts.ask(now, 1, Some(tenant)), "no part is set on the other procedure");
        }
        assert!((390..=400).contains(&taken), "{taken}");
        assert!(had[1] >= 28, "{had:?} of 100");
        parts.set(100.0, &[], 0.3);
        assert!((0..50).all(|_| parts.ask(100.0, 0, None)));
    }

    #[test]
    fn a_part_of_less_than_one_attach_a_second_is_saved_up_to_whole_ones() {
        let mut parts = RateLimits::default();
        parts.set(0.0, &[Some(0.25)], 0.5);
        let taken = (0..400).filter(|n| parts.ask(f64::from(*n) * 0.1, 0, None)).count();
        assert_eq!(taken, 9, "40 s of a quarter, the first after 4 s");
    }
}
