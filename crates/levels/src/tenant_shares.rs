//! Each tenant's share of the attach requests over the window, compared with its configured share.

/// A tenant exceeds its share from this multiple of it on; smaller excesses are within random variation.
const EXCESS_FACTOR: f64 = 1.25;

#[derive(Clone, Debug)]
pub(crate) struct TenantShares {
    /// Configured shares, by tenant index.
    shares: Vec<f64>,
    /// Exponentially decaying counts of requests, by tenant index.
    requests: Vec<f64>,
    /// The decaying count over all tenants.
    total: f64,
    updated_at: f64,
}

impl TenantShares {
    pub fn new(shares: &[f64], now: f64) -> TenantShares {
        TenantShares {
            shares: shares.to_vec(),
            requests: vec![0.0; shares.len()],
            total: 0.0,
            updated_at: now,
        }
    }

    /// Counts a request; returns true if its tenant exceeds its share and `min_evidence` requests are in the
    /// window.
    pub fn count(&mut self, now: f64, window: f64, tenant: Option<usize>, min_evidence: f64) -> bool {
        let Some(tenant) = tenant.filter(|t| *t < self.shares.len()) else { return false };
        let decay = (-(now - self.updated_at).max(0.0) / window).exp();
        self.updated_at = self.updated_at.max(now);
        self.total = self.total * decay + 1.0;
        self.requests.iter_mut().for_each(|count| *count *= decay);
        self.requests[tenant] += 1.0;
        self.total >= min_evidence && self.requests[tenant] > EXCESS_FACTOR * self.shares[tenant] * self.total
    }
}
