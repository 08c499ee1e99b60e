//! Least-squares lines through measured points.

/// `y = base + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// At x = 0.
    pub base: f64,
    /// For each unit of x.
    pub slope: f64,
    /// Root of the mean square of what the line misses.
    pub residual: f64,
}

impl Line {
    /// Through at least two points at different places; none otherwise.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || spread <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / spread;
        let base = mean_y - slope * mean_x;
        let missed: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
        Some(Line { base, slope, residual: (missed / count).sqrt() })
    }

    /// The line's value at a place.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
