//! Numbered result codes, which `docs/ERRORS.md` lists for operators and callers.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Whether an upstream ran the request that a refusal responds to.
#[derive(Clone, Copy, Debug, Deserialize, Display, Eq, Hash, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// No byte of the request reached an upstream.
    #[display("not-run")]
    NotRun,
    /// An upstream ran the request.
    #[display("ran")]
    Ran,
    /// The request may have run; the instance cannot determine whether it did.
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

            /// Returns the number under which responses and logs show the code.
            pub const fn number(self) -> u16 {
                self as u16
            }

            /// Returns the name that is shown beside the number.
            pub const fn name(self) -> &'static str {
                match self {
                    $(Self::$variant => $name,)*
                }
            }

            /// Returns the status of HTTP responses with the code, or 0 if it appears in none.
            pub const fn http_status(self) -> u16 {
                match self {
                    $(Self::$variant => $status,)*
                }
            }
        }
    };
}

codes! {
    /// The body does not have the form that the route expects.
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
    /// The stream to resume does not exist or is no longer stored.
    UnknownStream = 1008, "unknown-stream", 404;
    /// The offset lies outside the stream.
    BadOffset = 1009, "bad-offset", 416;
    /// The header of the request is larger than the configured limit.
    HeaderTooLarge = 1010, "header-too-large", 431;
    /// The bearer key is missing or belongs to no workspace.
    Unauthorized = 1101, "unauthorized", 401;
    /// The request id belongs to another workspace.
    WrongWorkspace = 1102, "wrong-workspace", 404;
    /// No upstream is allowed and available.
    NoUpstream = 1201, "no-upstream", 503;
    /// Connecting to the upstream failed.
    ConnectFailed = 1202, "connect-failed", 502;
    /// The upstream closed the connection or sent an invalid response.
    UpstreamBroken = 1203, "upstream-broken", 502;
    /// The upstream did not respond in time.
    UpstreamTimeout = 1204, "upstream-timeout", 504;
    /// The upstream responded with a server error.
    UpstreamError = 1205, "upstream-error", 502;
    /// The call needs an idempotency key.
    KeyMissing = 1301, "idempotency-key-missing", 400;
    /// The idempotency key is malformed.
    KeyMalformed = 1302, "idempotency-key-malformed", 400;
    /// The idempotency key was used with another body.
    KeyReused = 1303, "idempotency-key-reused", 422;
    /// Another attempt holds the key and its result is not known.
    OutcomeUnknown = 1304, "outcome-unknown", 409;
    /// The claim of the idempotency key could not be written, so the call was not sent.
    ClaimUnavailable = 1305, "claim-unavailable", 503;
    /// The call ran, but its response was too large to store or cannot be restored.
    ResponseNotStored = 1306, "answer-not-kept", 409;
    /// All allowed upstreams are at their limits.
    Overloaded = 1401, "overloaded", 503;
    /// The request's deadline cannot be met.
    DeadlineUnreachable = 1402, "deadline-unreachable", 503;
    /// The workspace exceeded its share.
    ShareExceeded = 1403, "share-exceeded", 429;
    /// Engines crashed on requests with a segment of the prompt.
    SegmentQuarantined = 1404, "segment-quarantined", 503;
    /// The instance has no configuration yet.
    NotConfigured = 1501, "not-configured", 503;
    /// The instance cannot confirm that its configuration is current.
    ConfigurationStale = 1502, "configuration-stale", 503;
    /// The instance is stopping.
    Draining = 1503, "draining", 503;
    /// The instance's memory or descriptors for callers are in use.
    InstanceOverloaded = 1504, "instance-overloaded", 503;
    /// The operator token is missing or wrong.
    OperatorUnauthorized = 2001, "operator-unauthorized", 401;
    /// Another change was accepted first.
    RevisionConflict = 2002, "revision-conflict", 409;
    /// The fleet document has faults.
    DocumentInvalid = 2003, "document-invalid", 422;
    /// The named object does not exist.
    NotFound = 2004, "not-found", 404;
    /// The change is not allowed in the present state.
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
    /// The key-value service does not respond.
    PlatformUnavailable = 4001, "platform-unavailable", 503;
    /// The key-value service refused the call because of its rate limit.
    PlatformRateLimited = 4002, "platform-rate-limited", 503;
    /// The platform sent a response that does not follow its protocol.
    PlatformProtocol = 4003, "platform-protocol", 502;
    /// A value exceeds the size limit of the key-value service.
    ValueTooLarge = 4004, "value-too-large", 413;
    /// A peer uses another protocol version.
    PeerVersion = 5001, "peer-version", 0;
    /// A peer sent a message that cannot be decoded.
    PeerMessage = 5002, "peer-message", 0;
    /// A peer cannot be reached.
    PeerUnreachable = 5003, "peer-unreachable", 0;
    /// An internal error that no other code describes.
    Internal = 9001, "internal", 500;
}
