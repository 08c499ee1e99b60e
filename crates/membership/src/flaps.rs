//! Comings and goings of one server: the second return within a window waits, each further one longer.

use crate::MembershipParams;

/// A fading count of how often a server went out.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub(crate) struct Flaps {
    count: f64,
    at: f64,
    /// It may not come back before this.
    pub hold_until: f64,
}

impl Flaps {
    pub fn count(&self, now: f64, params: &MembershipParams) -> f64 {
        self.count * (-(now - self.at).max(0.0) / params.flap_window).exp()
    }

    /// It was in service and no longer is.
    pub fn went_out(&mut self, now: f64, params: &MembershipParams) {
        let count = self.count(now, params) + 1.0;
        *self = Flaps { count, at: now, hold_until: self.hold_until };
        // One going is a deploy; two within the window are a pattern. Half of the first is still remembered
        // after 0.7 windows.
        let further = count - 1.5;
        if further >= 0.0 {
            let doubled = params.base_flap_hold * 2f64.powi(further.min(16.0) as i32);
            self.hold_until = now + doubled.min(params.max_flap_hold);
        }
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn the_first_return_is_free_and_each_further_one_waits_longer() {
        let params = MembershipParams::short(8);
        let mut flaps = Flaps::default();
        let mut waits = Vec::new();
        for n in 0..8 {
            let now = f64::from(n) * 5.0;
            flaps.went_out(now, &params);
            waits.push((flaps.hold_until - now).max(0.0));
        }
        assert_eq!(waits[0], 0.0);
        assert_eq!(waits[1], params.base_flap_hold);
        assert!(waits.windows(2).all(|w| w[1] >= w[0]), "{waits:?}");
        assert!(waits.iter().all(|w| *w <= params.max_flap_hold) && waits[7] > 2.0 * params.base_flap_hold);
        // Quiet for long: forgiven.
        flaps.went_out(1000.0 * params.flap_window, &params);
        assert!(flaps.hold_until < 1000.0 * params.flap_window);
    }
}
