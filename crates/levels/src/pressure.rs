//! Pressure: how much of the utility that was taken did not stand in time, over a sliding window.

/// Sums that fade with time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PressureMeter {
    earned: f64,
    lost: f64,
    count: f64,
    at: f64,
}

impl PressureMeter {
    fn fade(&mut self, now: f64, window: f64) {
        let kept = (-(now - self.at).max(0.0) / window).exp();
        self.earned *= kept;
        self.lost *= kept;
        self.count *= kept;
        self.at = self.at.max(now);
    }

    pub fn add(&mut self, now: f64, window: f64, relative_utility: f64, in_time: bool) {
        self.fade(now, window);
        *(if in_time { &mut self.earned } else { &mut self.lost }) += relative_utility;
        self.count += 1.0;
    }

    /// The share lost; none where fewer than `min_evidence` attaches tell of it.
    pub fn pressure(&mut self, now: f64, window: f64, min_evidence: f64) -> Option<f64> {
        self.fade(now, window);
        let all = self.earned + self.lost;
        (self.count >= min_evidence && all > 0.0).then(|| self.lost / all)
    }

    pub fn clear(&mut self, now: f64) {
        *self = PressureMeter { at: now, ..PressureMeter::default() };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pressure_needs_evidence_and_fades() {
        let mut gauge = PressureMeter::default();
        for i in 0..10 {
            gauge.add(f64::from(i) * 0.01, 2.0, 1.0, i % 2 == 0);
        }
        let p = gauge.pressure(0.1, 2.0, 5.0).unwrap();
        assert!((p - 0.5).abs() < 0.01, "{p}");
        assert_eq!(gauge.pressure(3.0, 2.0, 5.0), None, "old news is no min_evidence");
    }
}
