//! Numbered result codes; `docs/ERRORS.md` has the same table for readers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Says whether the request behind a refusal was run by an upstream.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request reached an upstream.
    #[display("not-run")]
    NotRun,
    /// An upstream ran the request.
    #[display("ran")]
    Ran,
    /// The request may have run.
    #[display("unknown")]
    Unknown,
}

macro_rules! codes {
    ($($(#[$doc:meta])* $variant:ident = $number:literal, $name:literal, $status:literal;)*) => {
        /// A result code with its number, name and HTTP status.
        #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
        pub enum Code {
            $($(#[$doc])* $variant = $number,)*
        }

        impl Code {
            /// All codes in ascending order of number.
            pub const ALL: &[Self] = &[$(Self::$variant,)*];

            /// Returns the number that callers and logs show.
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// Returns the name that stands beside the number.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// Returns the HTTP status that carries the code, or 0 where no HTTP answer does.
            pub const fn http_status(self) -> u16 {
                match self {
                    $(Self::$variant => $status,)*
                }
            }
        }
    };
}

codes! {
    /// The body is not what the route expects.
    MalformedBody = 1001, "malformed-body", 400;
    /// The body is larger than the configured limit.
    BodyTooLarge = 1002, "body-too-large", 413;
    /// No route has this method and path.
    UnknownRoute = 1003, "unknown-route", 404;
    /// A header is missing, repeated or malformed.
    BadHeader = 1004, "bad-header", 400;
    /// The caller sent its request too slowly.
    RequestTimeout = 1005, "request-timeout", 408;
    /// The workspace may not use this model.
    UnknownModel = 1006, "unknown-model", 404;
    /// The workspace may not use this service.
    UnknownService = 1007, "unknown-service", 404;
    /// The stream to resume is not known.
    UnknownStream = 1008, "unknown-stream", 404;
    /// The offset lies outside the stream.
    BadOffset = 1009, "bad-offset", 416;
    /// The bearer key is missing or belongs to no workspace.
    Unauthorized = 1101, "unauthorized", 401;
    /// The request id belongs to another workspace.
    WrongWorkspace = 1102, "wrong-workspace", 404;
    /// No upstream is allowed and available.
    NoUpstream = 1201, "no-upstream", 503;
    /// Connecting to the upstream failed.
    ConnectFailed = 1202, "connect-failed", 502;
    /// The upstream broke the connection or sent an invalid answer.
    UpstreamBroken = 1203, "upstream-broken", 502;
    /// The upstream did not answer in time.
    UpstreamTimeout = 1204, "upstream-timeout", 504;
    /// The upstream answered with a server error.
    UpstreamError = 1205, "upstream-error", 502;
    /// The call needs an idempotency key.
    KeyMissing = 1301, "idempotency-key-missing", 400;
    /// The idempotency key is malformed.
    KeyMalformed = 1302, "idempotency-key-malformed", 400;
    /// The idempotency key was used with another body.
    KeyReused = 1303, "idempotency-key-reused", 422;
    /// Another attempt holds the key and its result is not known.
    OutcomeUnknown = 1304, "outcome-unknown", 409;
    /// The claim could not be written, so nothing was sent.
    ClaimUnavailable = 1305, "claim-unavailable", 503;
    /// The recorded answer was too large to keep.
    AnswerNotKept = 1306, "answer-not-kept", 409;
    /// The upstreams' limits are exhausted.
    Overloaded = 1401, "overloaded", 503;
    /// The request's deadline cannot be met.
    DeadlineUnreachable = 1402, "deadline-unreachable", 503;
    /// The workspace exceeded its share.
    ShareExceeded = 1403, "share-exceeded", 429;
    /// The instance has no configuration yet.
    NotConfigured = 1501, "not-configured", 503;
    /// The instance cannot confirm that its configuration is current.
    ConfigurationStale = 1502, "configuration-stale", 503;
    /// The instance is stopping.
    Draining = 1503, "draining", 503;
    /// The operator token is missing or wrong.
    OperatorUnauthorized = 2001, "operator-unauthorized", 401;
    /// Another change was accepted first.
    RevisionConflict = 2002, "revision-conflict", 409;
    /// The fleet document has faults.
    DocumentInvalid = 2003, "document-invalid", 422;
    /// The named object does not exist.
    NotFound = 2004, "not-found", 404;
    /// The change does not fit the present state.
    InvalidState = 2005, "invalid-state", 409;
    /// A change was written but some instances have not confirmed it.
    Unconfirmed = 2006, "unconfirmed", 202;
    /// The settings file cannot be read.
    SettingsUnreadable = 3001, "settings-unreadable", 0;
    /// The settings file has faults.
    SettingsInvalid = 3002, "settings-invalid", 0;
    /// A listener cannot be opened.
    ListenFailed = 3003, "listen-failed", 0;
    /// The command line is wrong.
    UsageError = 3004, "usage-error", 0;
    /// The key-value service does not answer.
    PlatformUnavailable = 4001, "platform-unavailable", 503;
    /// The key-value service refused the call because of its rate limit.
    PlatformRateLimited = 4002, "platform-rate-limited", 503;
    /// The platform sent an answer that does not fit its protocol.
    PlatformProtocol = 4003, "platform-protocol", 502;
    /// A value exceeds what the key-value service holds.
    ValueTooLarge = 4004, "value-too-large", 413;
    /// A peer speaks another protocol version.
    PeerVersion = 5001, "peer-version", 0;
    /// A peer sent a message that cannot be decoded.
    PeerMessage = 5002, "peer-message", 0;
    /// A peer cannot be reached.
    PeerUnreachable = 5003, "peer-unreachable", 0;
    /// An unexpected internal condition.
    Internal = 9001, "internal", 500;
}
