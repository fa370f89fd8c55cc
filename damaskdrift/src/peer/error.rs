//! Failures of calls to other instances.

use damaskdrift_core::code;
use damaskdrift_core::id;
use thiserror::Error;

/// A call to a peer that got no reply, or a connection that had to be closed.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// The peer is no member or has no known address.
    #[error("{_0} is not a known peer")]
    Unknown(id::Instance),
    /// No connection, or no reply in time.
    #[error("peer cannot be reached: {_0}")]
    Unreachable(String),
    /// The peer speaks another protocol version.
    #[error("peer speaks protocol version {_0}")]
    Version(u16),
    /// The peer sent something that is not a message of this protocol, or one that is too large.
    #[error("invalid message: {_0}")]
    Message(String),
    /// The peer introduced itself as another instance than the one that was called.
    #[error("peer introduced itself as {_0}")]
    Identity(id::Instance),
    /// The peer does not handle this request.
    #[error("peer refused the request with code {_0}")]
    Refused(u16),
}

impl Error {
    /// Returns the result code for log lines.
    pub fn code(&self) -> code::Code {
        match self {
            Self::Version(_) => code::Code::PeerVersion,
            Self::Message(_) | Self::Identity(_) | Self::Refused(_) => code::Code::PeerMessage,
            Self::Unknown(_) | Self::Unreachable(_) => code::Code::PeerUnreachable,
        }
    }
}
