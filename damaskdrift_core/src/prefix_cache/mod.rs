//! Tracks which cache stores hold shared prompt segments and plans their fetches and saves.

mod contents;
mod plan;
mod salt;
mod scope;

pub use contents::{CONTENTS_TTL, Contents, Event, Page, RelayOutcome};
pub use plan::{CacheStores, FETCH_TIMEOUT, Plan, Segment, Step};
pub use salt::{Salt, parse_salt, salt};
pub use scope::{IsolatedSet, Scope, Scopes};
