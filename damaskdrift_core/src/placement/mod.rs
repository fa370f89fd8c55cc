//! Prompt placement, and import and export of KV cache blocks.

mod choice;
mod estimate;
mod export;
mod import;
mod link;
mod rendezvous;
mod residency;

pub use choice::{Candidate, Decision, Plan, Prompt, QUEUE_OVERLAP_RATIO, Reason, choose};
pub use estimate::{Estimates, LoadReport};
pub use export::{BoundedKeySet, ExportCandidate, ExportQueue, ReturnStats, SkipReason};
pub use import::{AbortReason, Import};
pub use link::Link;
pub use rendezvous::{LOAD_BOUND, preferred_upstream, prompt_root, ranked};
pub use residency::{CacheEvent, Residency};
