//! Tracks which cache stores hold shared prompt segments and plans their fetches and saves.

mod contents;
mod plan;
mod salt;
mod scope;
mod transfer;

pub use contents::{CONTENTS_TTL, Contents, Event, Page, RelayOutcome};
pub use plan::{CacheStores, Plan, Segment, Step};
pub use salt::{Salt, parse_salt, salt};
pub use scope::{IsolatedSet, Scope, Scopes};
pub use transfer::{FETCH_TIMEOUT, FetchTime, fetch_ms};
