//! Newtypes for instants and durations in milliseconds.

use std::ops;
use std::time;

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// A monotonic instant of one process, or a span of time, in milliseconds.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[display("{_0} ms")]
#[serde(transparent)]
pub struct Millis(pub u64);

/// Wall-clock time in milliseconds since 1970, for deadlines that operators set.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    Deserialize,
    Display,
    Eq,
    Hash,
    Ord,
    PartialEq,
    PartialOrd,
    Serialize,
)]
#[serde(transparent)]
pub struct UnixMillis(pub u64);

impl Millis {
    /// Creates a span from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(secs * 1_000)
    }

    /// Returns the span since `earlier`, or zero when `earlier` is later.
    pub const fn since(self, earlier: Self) -> Self {
        Self(self.0.saturating_sub(earlier.0))
    }
}

impl ops::Add for Millis {
    type Output = Self;

    fn add(self, span: Self) -> Self {
        Self(self.0.saturating_add(span.0))
    }
}

impl ops::Sub for Millis {
    type Output = Self;

    fn sub(self, span: Self) -> Self {
        Self(self.0.saturating_sub(span.0))
    }
}

impl From<Millis> for time::Duration {
    fn from(span: Millis) -> Self {
        Self::from_millis(span.0)
    }
}

impl From<time::Duration> for Millis {
    fn from(span: time::Duration) -> Self {
        Self(u64::try_from(span.as_millis()).unwrap_or(u64::MAX))
    }
}
