//! What a link does with connections and bytes.

use serde::{Deserialize, Serialize};

/// What a link does with connections and bytes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Whether connections and bytes pass at all.
    #[serde(rename = "mode")]
    pub kind: Kind,
    /// Delay of the bytes in each direction, in milliseconds.
    pub delay_ms: u64,
    /// Bytes a second in each direction, shared by all connections; absent means no limit.
    pub bytes_per_s: Option<u64>,
    /// Whether a connection is closed when its first answer arrives, without passing it on.
    pub drop_answers: bool,
}

/// Whether connections and bytes pass.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Bytes are forwarded.
    #[default]
    Pass,
    /// Open connections are closed and new ones are refused.
    Cut,
    /// Connections are accepted and stay open, but nothing is forwarded.
    Blackhole,
    /// Requests are forwarded and answers are not: the link is cut one way.
    HoldAnswers,
}

impl Mode {
    /// Forwards everything.
    pub const PASS: Self =
        Self { kind: Kind::Pass, delay_ms: 0, bytes_per_s: None, drop_answers: false };
    /// Closes and refuses connections.
    pub const CUT: Self = Self { kind: Kind::Cut, ..Self::PASS };
    /// Accepts connections and forwards nothing.
    pub const BLACKHOLE: Self = Self { kind: Kind::Blackhole, ..Self::PASS };
    /// Forwards requests and no answers.
    pub const HOLD_ANSWERS: Self = Self { kind: Kind::HoldAnswers, ..Self::PASS };
    /// Forwards requests and closes the connection instead of passing the answer on.
    pub const DROP_ANSWERS: Self = Self { drop_answers: true, ..Self::PASS };

    /// Returns the mode with a delay in each direction.
    pub fn with_delay_ms(self, delay_ms: u64) -> Self {
        Self { delay_ms, ..self }
    }

    /// Returns the mode with a limit on the bytes a second in each direction.
    pub fn with_bytes_per_s(self, bytes_per_s: u64) -> Self {
        Self { bytes_per_s: Some(bytes_per_s), ..self }
    }

    /// Checks the values.
    ///
    /// # Errors
    ///
    /// Returns which value is out of range.
    pub fn checked(self) -> Result<Self, String> {
        if self.bytes_per_s == Some(0) {
            return Err("bytes_per_s: must be at least 1".to_owned());
        }
        Ok(self)
    }
}
