//! Waits between attempts.

use rand::{Rng, RngExt as _};

use crate::time::Millis;

/// Upper bound of the wait after the first attempt; it doubles with each further one.
const FIRST: Millis = Millis(20);
/// Upper bound of any wait.
const LONGEST: Millis = Millis(1_000);

/// Returns the wait after a number of attempts. It is drawn evenly between zero and its bound, so
/// that callers which failed together do not return together.
pub fn backoff(attempts: u32, rng: &mut impl Rng) -> Millis {
    let factor = 1_u64.checked_shl(attempts.saturating_sub(1)).unwrap_or(u64::MAX);
    let bound = FIRST.0.saturating_mul(factor).min(LONGEST.0);
    Millis(rng.random_range(0..=bound))
}
