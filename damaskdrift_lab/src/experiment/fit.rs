//! Linear regression by least squares.

/// A fitted line `y = intercept + slope * x` with the quality of the fit.
#[derive(Clone, Copy, Debug)]
pub struct Fit {
    /// Change of `y` per unit of `x`.
    pub slope: f64,
    /// Standard error of the slope.
    pub slope_error: f64,
    /// Value at `x = 0`.
    pub intercept: f64,
    /// Share of the variance of `y` that the line explains.
    pub r_squared: f64,
}

impl Fit {
    /// Fits a line; the slope is 0 if all values of `x` are equal.
    pub fn new(points: &[(f64, f64)]) -> Self {
        let n = points.len() as f64;
        let mean_x = points.iter().map(|(x, _)| x).sum::<f64>() / n;
        let mean_y = points.iter().map(|(_, y)| y).sum::<f64>() / n;
        let sum_xx: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_xy: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let sum_yy: f64 = points.iter().map(|(_, y)| (y - mean_y).powi(2)).sum();
        let slope = if sum_xx > 0.0 { sum_xy / sum_xx } else { 0.0 };
        let intercept = mean_y - slope * mean_x;
        let residual: f64 = points.iter().map(|(x, y)| (y - intercept - slope * x).powi(2)).sum();
        let slope_error = (residual / (n - 2.0).max(1.0) / sum_xx).sqrt();
        Self { slope, slope_error, intercept, r_squared: 1.0 - residual / sum_yy }
    }

    /// Formats the coefficients and the quality of the fit; `unit` is the unit of `y`.
    pub fn describe(&self, unit: &str) -> String {
        let Self { slope, slope_error, intercept, r_squared } = self;
        format!(
            "slope {slope:.4} +- {slope_error:.4} {unit}, intercept {intercept:.2} {unit}, \
             r2 {r_squared:.4}"
        )
    }
}
