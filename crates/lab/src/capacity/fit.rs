//! Least-squares line fit.

/// The line `y = base + slope * x`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    /// Value at x = 0.
    pub base: f64,
    /// Increase per unit of x.
    pub slope: f64,
    /// Root mean square of the residuals.
    pub residual: f64,
}

impl Line {
    /// Fits a line; none unless at least two points differ in x.
    pub fn through(points: &[(f64, f64)]) -> Option<Line> {
        let count = points.len() as f64;
        let mean_x = points.iter().map(|point| point.0).sum::<f64>() / count;
        let mean_y = points.iter().map(|point| point.1).sum::<f64>() / count;
        let variation: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        if points.len() < 2 || variation <= 0.0 {
            return None;
        }
        let slope = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum::<f64>() / variation;
        let base = mean_y - slope * mean_x;
        let squared_residuals: f64 = points.iter().map(|(x, y)| (y - base - slope * x).powi(2)).sum();
        Some(Line { base, slope, residual: (squared_residuals / count).sqrt() })
    }

    /// Value of the line at `x`.
    pub fn at(&self, x: f64) -> f64 {
        self.base + self.slope * x
    }
}
