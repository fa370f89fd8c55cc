//! Errors of connections between instances.

use damaskdrift_core::code;
use damaskdrift_core::id;
use thiserror::Error;

use crate::peer::message;

/// Error of a call that got no usable reply, or of a connection that had to be closed.
#[derive(Clone, Debug, Error)]
pub enum Error {
    /// The peer is not a member or has no known address.
    #[error("{_0} is not a known peer")]
    Unknown(id::Instance),
    /// The connection failed, or the reply timed out.
    #[error("peer is unreachable: {_0}")]
    Unreachable(String),
    /// The peer uses a different protocol version.
    #[error("peer uses protocol version {_0} instead of {}", message::PROTOCOL)]
    Version(u16),
    /// The peer sent something that is not a message of this protocol, or one that is too large.
    #[error("invalid message: {_0}")]
    Message(String),
    /// The peer's id is not that of the called instance, or is this instance's own.
    #[error("unexpected peer id {_0} in the handshake")]
    Identity(id::Instance),
    /// The peer refused the request with this result code.
    #[error("peer refused the request with code {_0}")]
    Refused(u16),
}

impl Error {
    /// Returns the result code for structured log lines.
    pub fn code(&self) -> code::Code {
        match self {
            Self::Version(_) => code::Code::PeerVersion,
            Self::Message(_) | Self::Identity(_) | Self::Refused(_) => code::Code::PeerMessage,
            Self::Unknown(_) | Self::Unreachable(_) => code::Code::PeerUnreachable,
        }
    }
}
