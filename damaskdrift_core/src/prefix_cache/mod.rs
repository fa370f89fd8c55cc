//! Tracks which cache stores hold shared prompt segments and plans their fetches and saves.

mod contents;
mod plan;
mod salt;

pub use contents::{CONTENTS_TTL, Contents, Event, Page, RelayOutcome};
pub use plan::{CacheStores, FETCH_TIMEOUT, Plan, Segment, Step};
pub use salt::{parse_salt, salt};
