//! Slopes and medians of measured values.

/// Returns the slope of the least-squares line through points, or 0 for fewer than two.
pub fn slope(points: &[(f64, f64)]) -> f64 {
    let n = points.len() as f64;
    let (sum_x, sum_y) = points.iter().fold((0.0, 0.0), |(x, y), p| (x + p.0, y + p.1));
    let (mean_x, mean_y) = (sum_x / n, sum_y / n);
    let mut covariance = 0.0;
    let mut variance = 0.0;
    for (x, y) in points {
        covariance += (x - mean_x) * (y - mean_y);
        variance += (x - mean_x) * (x - mean_x);
    }
    if variance > 0.0 { covariance / variance } else { 0.0 }
}

/// Returns the median and the largest of some values; both are 0 when there are none.
pub fn median_and_max(mut values: Vec<f64>) -> (f64, f64) {
    values.sort_by(f64::total_cmp);
    let median = values.get(values.len() / 2).copied().unwrap_or(0.0);
    (median, values.last().copied().unwrap_or(0.0))
}
