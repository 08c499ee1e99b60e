//! What part of the asks each tenant makes, over the window; one cell a tenant, however many there are.

/// A tenant counts as over its share from this multiple of it: below lies chance.
const EXCESS_FACTOR: f64 = 1.25;

#[derive(Clone, Debug)]
pub(crate) struct TenantShares {
    shares: Vec<f64>,
    asks: Vec<f64>,
    all: f64,
    at: f64,
}

impl TenantShares {
    pub fn new(shares: &[f64], now: f64) -> TenantShares {
        TenantShares { shares: shares.to_vec(), asks: vec![0.0; shares.len()], all: 0.0, at: now }
    }

    /// Counts an ask; true when its tenant asks for more than its share.
    pub fn ask(&mut self, now: f64, window: f64, tenant: Option<usize>, min_evidence: f64) -> bool {
        let Some(tenant) = tenant.filter(|t| *t < self.shares.len()) else { return false };
        let kept = (-(now - self.at).max(0.0) / window).exp();
        self.at = self.at.max(now);
        self.all = self.all * kept + 1.0;
        self.asks.iter_mut().for_each(|a| *a *= kept);
        self.asks[tenant] += 1.0;
        self.all >= min_evidence && self.asks[tenant] > EXCESS_FACTOR * self.shares[tenant] * self.all
    }
}
