//! Newtypes for identifiers, revisions and fencing numbers.

use std::sync::Arc;

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

/// Longest identifier accepted in a fleet document, in bytes.
pub const MAX_LEN: usize = 64;

macro_rules! string_id {
    ($(#[$doc:meta] $name:ident)*) => {$(
        #[$doc]
        #[derive(
            AsRef, Clone, Debug, Deserialize, Display, Eq, Hash, Ord, PartialEq, PartialOrd, Serialize,
        )]
        #[as_ref(str)]
        #[serde(transparent)]
        pub struct $name(Arc<str>);

        impl $name {
            /// Creates the identifier from its text form.
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the text form.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns whether the text is 1 to [`MAX_LEN`] of `a-z`, `0-9`, `-`, `_` and `.`.
            pub fn is_valid(&self) -> bool {
                is_valid(&self.0)
            }
        }

        impl std::borrow::Borrow<str> for $name {
            fn borrow(&self) -> &str {
                &self.0
            }
        }
    )*};
}

string_id! {
    /// Names a process of the fleet.
    Instance
    /// Names a set of machines that fail together.
    FailureDomain
    /// Names a tenant.
    Workspace
    /// Names a model engine, plain service or KV cache store.
    Upstream
    /// Names a model.
    Model
    /// Names one set of weights of a model.
    Version
    /// Names a plain service.
    Service
    /// Names a template.
    Template
    /// Names a move of traffic from one route to another.
    Move
    /// Identifies one start of an upstream or instance.
    Boot
    /// Identifies one request or stream.
    Request
}

macro_rules! counter {
    ($(#[$doc:meta] $name:ident)*) => {$(
        #[$doc]
        #[derive(
            Clone, Copy, Debug, Default, Deserialize, Display, Eq, From, Hash, Ord, PartialEq,
            PartialOrd, Serialize,
        )]
        #[serde(transparent)]
        pub struct $name(pub u64);
    )*};
}

counter! {
    /// Counts writes of the key-value service; a higher one is newer.
    Revision
    /// Orders the holders of a lease; a higher one is newer.
    FencingToken
}

fn is_valid(text: &str) -> bool {
    let is_allowed = |b: u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    (1..=MAX_LEN).contains(&text.len()) && text.bytes().all(is_allowed)
}
