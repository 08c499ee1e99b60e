//! Name servers by health: one that fails is asked last for a while, doubled with each failure in a row.

use std::net::SocketAddr;

/// The first rest after a failure and the longest, seconds.
const REST: (f64, f64) = (1.0, 64.0);

#[derive(Clone, Debug)]
struct Upstream {
    address: SocketAddr,
    failures: u32,
    rests_until: f64,
    /// It answers FORMERR to EDNS.
    plain: bool,
}

#[derive(Clone, Debug)]
pub(crate) struct Upstreams(Vec<Upstream>);

impl Upstreams {
    pub fn new(addresses: &[SocketAddr]) -> Upstreams {
        let one = |a: &SocketAddr| Upstream { address: *a, failures: 0, rests_until: 0.0, plain: false };
        Upstreams(addresses.iter().map(one).collect())
    }

    /// The best one that is not in `tried`; all tried, the best of all. Rested ones by the settings' order,
    /// then resting ones by who is through first.
    pub fn choose(&self, now: f64, tried: &[usize]) -> Option<usize> {
        let key = |place: usize| {
            let upstream = &self.0[place];
            let rests = (upstream.rests_until - now).max(0.0);
            (tried.iter().filter(|t| **t == place).count(), rests)
        };
        (0..self.0.len()).min_by(|a, b| {
            let (a_key, b_key) = (key(*a), key(*b));
            a_key.0.cmp(&b_key.0).then(a_key.1.total_cmp(&b_key.1)).then(a.cmp(b))
        })
    }

    pub fn address(&self, place: usize) -> SocketAddr {
        self.0[place].address
    }

    pub fn is_plain(&self, place: usize) -> bool {
        self.0[place].plain
    }

    pub fn knows_no_edns(&mut self, place: usize) {
        self.0[place].plain = true;
    }

    pub fn answered(&mut self, place: usize) {
        let upstream = &mut self.0[place];
        (upstream.failures, upstream.rests_until) = (0, 0.0);
    }

    pub fn failed(&mut self, now: f64, place: usize) {
        let upstream = &mut self.0[place];
        upstream.rests_until = now + (REST.0 * 2f64.powi(upstream.failures.min(16) as i32)).min(REST.1);
        upstream.failures += 1;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_failing_one_rests_longer_each_time_and_is_still_asked_when_alone() {
        let address = |n: u16| SocketAddr::from(([127, 0, 0, 1], n));
        let mut all = Upstreams::new(&[address(1), address(2)]);
        assert_eq!(all.choose(0.0, &[]), Some(0));
        assert_eq!((all.choose(0.0, &[0]), all.choose(0.0, &[0, 1])), (Some(1), Some(0)));
        all.failed(0.0, 0);
        assert_eq!((all.choose(0.5, &[]), all.choose(1.5, &[])), (Some(1), Some(0)));
        all.failed(1.5, 0);
        assert_eq!((all.choose(3.0, &[]), all.choose(3.6, &[])), (Some(1), Some(0)));
        all.failed(3.6, 1);
        all.failed(3.6, 0);
        assert_eq!(all.choose(3.7, &[]), Some(1), "both rest: the one that is through first");
        all.answered(0);
        assert_eq!(all.choose(3.7, &[]), Some(0));
        assert_eq!(Upstreams::new(&[]).choose(0.0, &[]), None);
    }
}
