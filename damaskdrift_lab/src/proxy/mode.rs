//! Fault modes of a link.

use serde::{Deserialize, Serialize};

/// Rules by which a link treats connections and bytes.
#[derive(Clone, Copy, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Mode {
    /// Whether connections and bytes are forwarded at all.
    #[serde(rename = "mode")]
    pub kind: Kind,
    /// Delay of the bytes in each direction, in milliseconds; 0 means none.
    pub delay_ms: u64,
    /// Bandwidth in each direction in bytes per second, shared by all connections; absent means
    /// unlimited.
    pub bytes_per_s: Option<u64>,
    /// Whether a connection is closed when the first bytes of a response arrive, instead of forwarding
    /// them.
    pub drop_answers: bool,
}

/// Whether a link forwards connections and bytes.
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
    /// Requests are forwarded and responses are not, as in a one-way partition.
    HoldAnswers,
}

impl Mode {
    /// Forwards everything without delay or limit.
    pub const PASS: Self =
        Self { kind: Kind::Pass, delay_ms: 0, bytes_per_s: None, drop_answers: false };
    /// Closes open connections and refuses new ones.
    pub const CUT: Self = Self { kind: Kind::Cut, ..Self::PASS };
    /// Accepts connections but forwards nothing.
    pub const BLACKHOLE: Self = Self { kind: Kind::Blackhole, ..Self::PASS };
    /// Forwards requests but holds back responses until the mode changes.
    pub const HOLD_ANSWERS: Self = Self { kind: Kind::HoldAnswers, ..Self::PASS };
    /// Forwards requests and closes the connection when a response arrives.
    pub const DROP_ANSWERS: Self = Self { drop_answers: true, ..Self::PASS };

    /// Returns the mode with a delay in each direction.
    pub fn with_delay_ms(self, delay_ms: u64) -> Self {
        Self { delay_ms, ..self }
    }

    /// Returns the mode with a bandwidth limit in each direction; 0 is rejected by [`Self::checked`].
    pub fn with_bytes_per_s(self, bytes_per_s: u64) -> Self {
        Self { bytes_per_s: Some(bytes_per_s), ..self }
    }

    /// Returns the mode if its values are in range.
    ///
    /// # Errors
    ///
    /// Returns a message that names the field that is out of range.
    pub fn checked(self) -> Result<Self, String> {
        if self.bytes_per_s == Some(0) {
            return Err("bytes_per_s: must be at least 1".to_owned());
        }
        Ok(self)
    }
}
