//! Pressure: the share of the admitted utility that was not established in time, over a sliding window.

/// Exponentially decaying sums of utility. Times are seconds.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PressureMeter {
    earned: f64,
    lost: f64,
    count: f64,
    updated_at: f64,
}

impl PressureMeter {
    fn decay(&mut self, now: f64, window: f64) {
        let factor = (-(now - self.updated_at).max(0.0) / window).exp();
        self.earned *= factor;
        self.lost *= factor;
        self.count *= factor;
        self.updated_at = self.updated_at.max(now);
    }

    /// Adds the outcome of one attach.
    pub fn add(&mut self, now: f64, window: f64, relative_utility: f64, in_time: bool) {
        self.decay(now, window);
        *(if in_time { &mut self.earned } else { &mut self.lost }) += relative_utility;
        self.count += 1.0;
    }

    /// Returns the lost share, or `None` if fewer than `min_evidence` attaches are in the window.
    pub fn pressure(&mut self, now: f64, window: f64, min_evidence: f64) -> Option<f64> {
        self.decay(now, window);
        let total = self.earned + self.lost;
        (self.count >= min_evidence && total > 0.0).then(|| self.lost / total)
    }

    pub fn clear(&mut self, now: f64) {
        *self = PressureMeter { updated_at: now, ..PressureMeter::default() };
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn pressure_needs_evidence_and_decays() {
        let mut meter = PressureMeter::default();
        for i in 0..10 {
            meter.add(f64::from(i) * 0.01, 2.0, 1.0, i % 2 == 0);
        }
        let p = meter.pressure(0.1, 2.0, 5.0).unwrap();
        assert!((p - 0.5).abs() < 0.01, "{p}");
        assert_eq!(meter.pressure(3.0, 2.0, 5.0), None, "old outcomes are no evidence");
    }
}
