//! Health of the name servers: one that fails is asked last for a backoff time, which doubles with each
//! failure in a row.

use std::net::SocketAddr;

/// First and longest backoff, in seconds.
const BACKOFF: (f64, f64) = (1.0, 64.0);

#[derive(Clone, Debug)]
struct Upstream {
    address: SocketAddr,
    /// Failures in a row.
    failures: u32,
    backoff_until: f64,
    /// It answered FORMERR to a query with EDNS; it is asked without from then on.
    without_edns: bool,
}

/// The name servers, in the order of the settings.
#[derive(Clone, Debug)]
pub(crate) struct Upstreams(Vec<Upstream>);

impl Upstreams {
    pub fn new(addresses: &[SocketAddr]) -> Upstreams {
        let upstream = |address: &SocketAddr| Upstream {
            address: *address,
            failures: 0,
            backoff_until: 0.0,
            without_edns: false,
        };
        Upstreams(addresses.iter().map(upstream).collect())
    }

    /// Returns the index of the best name server among those that occur least often in `tried`: those without
    /// a backoff come first, in the order of the settings, then those whose backoff ends first.
    pub fn choose(&self, now: f64, tried: &[usize]) -> Option<usize> {
        let key = |index: usize| {
            let upstream = &self.0[index];
            let backoff = (upstream.backoff_until - now).max(0.0);
            (tried.iter().filter(|t| **t == index).count(), backoff)
        };
        (0..self.0.len()).min_by(|a, b| {
            let (a_key, b_key) = (key(*a), key(*b));
            a_key.0.cmp(&b_key.0).then(a_key.1.total_cmp(&b_key.1)).then(a.cmp(b))
        })
    }

    pub fn address(&self, index: usize) -> SocketAddr {
        self.0[index].address
    }

    pub fn is_without_edns(&self, index: usize) -> bool {
        self.0[index].without_edns
    }

    pub fn set_without_edns(&mut self, index: usize) {
        self.0[index].without_edns = true;
    }

    /// Resets the backoff after a valid answer.
    pub fn record_success(&mut self, index: usize) {
        let upstream = &mut self.0[index];
        (upstream.failures, upstream.backoff_until) = (0, 0.0);
    }

    /// Starts the backoff after a failure.
    pub fn record_failure(&mut self, now: f64, index: usize) {
        let upstream = &mut self.0[index];
        let doubled = BACKOFF.0 * 2f64.powi(upstream.failures.min(16) as i32);
        upstream.backoff_until = now + doubled.min(BACKOFF.1);
        upstream.failures += 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_backoff_of_a_failing_name_server_doubles_and_it_is_still_asked_when_alone() {
        let address = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
        let mut all = Upstreams::new(&[address(1), address(2)]);
        assert_eq!(all.choose(0.0, &[]), Some(0));
        assert_eq!((all.choose(0.0, &[0]), all.choose(0.0, &[0, 1])), (Some(1), Some(0)));
        all.record_failure(0.0, 0);
        assert_eq!((all.choose(0.5, &[]), all.choose(1.5, &[])), (Some(1), Some(0)));
        all.record_failure(1.5, 0);
        assert_eq!((all.choose(3.0, &[]), all.choose(3.6, &[])), (Some(1), Some(0)));
        all.record_failure(3.6, 1);
        all.record_failure(3.6, 0);
        assert_eq!(all.choose(3.7, &[]), Some(1), "both back off: the one whose backoff ends first");
        all.record_success(0);
        assert_eq!(all.choose(3.7, &[]), Some(0));
        assert_eq!(Upstreams::new(&[]).choose(0.0, &[]), None);
    }
}
