//! Where shared parts of prompts are kept, and when a part may be fetched, saved or freed.

mod contents;
mod plan;
mod salt;

pub use contents::{Contents, Event, Page, Relayed, TRUST};
pub use plan::{FETCH_LIMIT, Part, Plan, Step, Stores};
pub use salt::{salt, version};
