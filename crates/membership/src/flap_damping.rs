//! Flap damping: the second return of a server to service within a window is delayed, each further one
//! longer.

use crate::MembershipParams;

/// Decaying count of how often one server went out of service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct FlapDamping {
    count: f64,
    /// When `count` was last updated.
    counted_at: f64,
    /// The server may not return to service before this time.
    pub hold_until: f64,
}

impl FlapDamping {
    /// The count, decayed to `now`.
    pub fn count(&self, now: f64, params: &MembershipParams) -> f64 {
        self.count * (-(now - self.counted_at).max(0.0) / params.flap_window).exp()
    }

    /// Records that the server went out of service.
    pub fn record_exit(&mut self, now: f64, params: &MembershipParams) {
        let count = self.count(now, params) + 1.0;
        *self = FlapDamping { count, counted_at: now, hold_until: self.hold_until };
        // One exit is a deploy; two within the window are a pattern. With a threshold of 1.5, an earlier exit
        // counts for 0.7 windows, when half of it has decayed.
        let excess = count - 1.5;
        if excess >= 0.0 {
            let doubled = params.base_flap_hold * 2f64.powi(excess.min(16.0) as i32);
            self.hold_until = now + doubled.min(params.max_flap_hold);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn first_return_is_not_delayed_and_each_further_one_waits_longer() {
        let params = MembershipParams::short(8);
        let mut damping = FlapDamping::default();
        let mut waits = Vec::new();
        for n in 0..8 {
            let now = f64::from(n) * 5.0;
            damping.record_exit(now, &params);
            waits.push((damping.hold_until - now).max(0.0));
        }
        assert_eq!(waits[0], 0.0);
        assert_eq!(waits[1], params.base_flap_hold);
        assert!(waits.windows(2).all(|w| w[1] >= w[0]), "{waits:?}");
        assert!(waits.iter().all(|w| *w <= params.max_flap_hold) && waits[7] > 2.0 * params.base_flap_hold);
        // After a long stable time the count has decayed: the next exit isn't delayed.
        damping.record_exit(1000.0 * params.flap_window, &params);
        assert!(damping.hold_until < 1000.0 * params.flap_window);
    }
}
