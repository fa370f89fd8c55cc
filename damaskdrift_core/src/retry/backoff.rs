//! Exponential backoff with full jitter.

use rand::{Rng, RngExt as _};

use crate::time::Millis;

/// Maximum wait after the first attempt; it doubles with each further attempt.
const INITIAL_MAX: Millis = Millis(20);
/// Limit to which the maximum wait grows.
const OVERALL_MAX: Millis = Millis(1_000);

/// Returns the wait before the next attempt, after `attempts` attempts.
///
/// The wait is drawn uniformly between zero and its maximum, so that callers whose requests failed
/// at the same time don't retry at the same time.
pub fn backoff(attempts: u32, rng: &mut impl Rng) -> Millis {
    let factor = 1_u64.checked_shl(attempts.saturating_sub(1)).unwrap_or(u64::MAX);
    let max = INITIAL_MAX.0.saturating_mul(factor).min(OVERALL_MAX.0);
    Millis(rng.random_range(0..=max))
}
