//! This front's rate limit for each procedure, set by the fleet's plan and applied in whole attaches.

use std::collections::BTreeMap;

/// Seconds of a rate limit that a bucket may accumulate, because attaches do not arrive evenly.
const BURST_SECONDS: f64 = 2.0;
/// Minimum size of a bucket in attaches: a front with few attaches gets them at irregular times.
const MIN_BURST: f64 = 3.0;
/// Number of a tenant's attaches over which its floor is averaged.
const FLOOR_AVERAGING: f64 = 20.0;

#[derive(Clone, Copy, Debug)]
struct TokenBucket {
    /// Attaches per second; `None`: unlimited.
    rate: Option<f64>,
    tokens: f64,
    filled_at: f64,
}

/// Rate limits by procedure, with a floor for each tenant.
#[derive(Clone, Debug, Default)]
pub(crate) struct RateLimits {
    buckets: Vec<TokenBucket>,
    /// Share of each tenant's attaches that is admitted ahead of the others'.
    floor: f64,
    /// Decaying counts of requested and admitted attaches by tenant, while limits are set.
    tenants: BTreeMap<usize, (f64, f64)>,
}

impl RateLimits {
    /// Sets the limit of each procedure in attaches per second; empty: no limits at all. Accumulated tokens
    /// stay.
    pub fn set(&mut self, now: f64, rates: &[Option<f64>], floor: f64) {
        if rates.is_empty() {
            self.tenants.clear();
        }
        self.buckets.iter_mut().for_each(|bucket| bucket.fill(now));
        self.buckets.resize(rates.len(), TokenBucket { rate: None, tokens: 0.0, filled_at: now });
        for (bucket, rate) in self.buckets.iter_mut().zip(rates) {
            if bucket.rate.is_none() {
                // A new bucket starts empty, so that all fronts together admit no more than the sum of their
                // limits.
                (bucket.tokens, bucket.filled_at) = (0.0, now);
            }
            bucket.rate = rate.map(|r| r.max(0.0));
        }
        self.floor = floor;
    }

    /// Whether the plan limits any procedure.
    pub fn is_on(&self) -> bool {
        !self.buckets.is_empty()
    }

    /// Takes a token for an attach of a procedure and tenant; returns false if the limit is used up.
    pub fn try_take(&mut self, now: f64, procedure: usize, tenant: Option<usize>) -> bool {
        if self.buckets.is_empty() {
            return true;
        }
        let below_floor = self.is_below_floor(tenant);
        let Some(bucket) = self.buckets.get_mut(procedure) else { return true };
        let taken = bucket.try_take(now, below_floor);
        if let Some(tenant) = tenant {
            let (requested, admitted) = self.tenants.entry(tenant).or_default();
            let decay = 1.0 - 1.0 / FLOOR_AVERAGING;
            (*requested, *admitted) =
                (*requested * decay + 1.0, *admitted * decay + f64::from(u8::from(taken)));
        }
        taken
    }

    /// Whether the tenant recently got less than its floor, so that it may take tokens in advance.
    fn is_below_floor(&self, tenant: Option<usize>) -> bool {
        let counts = tenant.and_then(|t| self.tenants.get(&t));
        counts.is_some_and(|(requested, admitted)| *admitted < self.floor * requested)
    }
}

impl TokenBucket {
    fn fill(&mut self, now: f64) {
        let rate = self.rate.unwrap_or(0.0);
        let max_tokens = (BURST_SECONDS * rate).max(MIN_BURST);
        self.tokens = (self.tokens + rate * (now - self.filled_at).max(0.0)).min(max_tokens);
        self.filled_at = self.filled_at.max(now);
    }

    fn try_take(&mut self, now: f64, below_floor: bool) -> bool {
        let Some(rate) = self.rate else { return true };
        self.fill(now);
        // A tenant below its floor may overdraw the bucket. The tokens are then missing for later attaches,
        // so that the total stays within the limit.
        let min_tokens = if below_floor { 1.0 - (BURST_SECONDS * rate).max(1.0) } else { 1.0 };
        let taken = self.tokens >= min_tokens;
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
    fn limits_hold_over_any_time_and_each_tenant_gets_its_floor() {
        let mut limits = RateLimits::default();
        limits.set(0.0, &[Some(4.0), None], 0.3);
        let (mut total, mut by_tenant) = (0, [0, 0]);
        // Ten attaches a second, nine of them from tenant 0.
        for n in 0..1000 {
            let (now, tenant) = (f64::from(n) * 0.1, usize::from(n % 10 == 0));
            if limits.try_take(now, 0, Some(tenant)) {
                total += 1;
                by_tenant[tenant] += 1;
                assert!(f64::from(total) <= 4.0 * now + 8.0, "{total} by {now}");
            }
            assert!(limits.try_take(now, 1, Some(tenant)), "the other procedure has no limit");
        }
        assert!((390..=400).contains(&total), "{total}");
        assert!(by_tenant[1] >= 28, "{by_tenant:?} of 100");
        limits.set(100.0, &[], 0.3);
        assert!((0..50).all(|_| limits.try_take(100.0, 0, None)));
    }

    #[test]
    fn a_limit_below_one_attach_a_second_accumulates_to_whole_attaches() {
        let mut limits = RateLimits::default();
        limits.set(0.0, &[Some(0.25)], 0.5);
        let taken = (0..400).filter(|n| limits.try_take(f64::from(*n) * 0.1, 0, None)).count();
        assert_eq!(taken, 9, "40 s at a quarter a second, the first after 4 s");
    }
}
