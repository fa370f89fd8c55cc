//! Newtypes for identifiers, revisions and fencing tokens.

use std::sync::Arc;

use derive_more::{AsRef, Display, From};
use serde::{Deserialize, Serialize};

/// Length of the longest valid identifier, in bytes.
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
            /// Creates the identifier from text, without checking [`Self::is_valid`].
            pub fn new(text: &str) -> Self {
                Self(Arc::from(text))
            }

            /// Returns the text that the identifier was created from.
            pub fn as_str(&self) -> &str {
                &self.0
            }

            /// Returns whether the identifier is 1 to [`MAX_LEN`] bytes of `a-z`, `0-9`, `-`, `_`
            /// and `.`, as names in a fleet document must be.
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
    /// Name of an entry instance.
    Instance
    /// Name of a set of machines that are expected to fail together.
    FailureDomain
    /// Name of a tenant.
    Workspace
    /// Name of a model engine, plain service or cache store.
    Upstream
    /// Name of a model, as callers give it.
    Model
    /// Name of one set of weights of a model.
    Version
    /// Version of the software that an upstream runs.
    Software
    /// Name of a plain service, as callers give it in the path.
    Service
    /// Name of a template in the fleet document.
    Template
    /// Name of a move of traffic from one route to another.
    Move
    /// Identifies one run of an upstream or instance, from its start to its end.
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
    /// Revision of the key-value service, which increases with each write.
    Revision
    /// Fencing token of a lease; a later holder has a higher one.
    FencingToken
}

fn is_valid(text: &str) -> bool {
    let is_allowed = |b: u8| matches!(b, b'a'..=b'z' | b'0'..=b'9' | b'-' | b'_' | b'.');
    (1..=MAX_LEN).contains(&text.len()) && text.bytes().all(is_allowed)
}
