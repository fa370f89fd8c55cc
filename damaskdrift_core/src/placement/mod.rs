//! Chooses where a prompt runs and which kept KV cache blocks are imported and exported.

mod choice;
mod estimate;
mod export;
mod import;
mod link;
mod rendezvous;
mod residency;

pub use choice::{Candidate, Decision, OVERLAP, Plan, Prompt, Reason, choose};
pub use estimate::{Estimates, Report};
pub use export::{Exports, Kept, Offer, Returns, Skip};
pub use import::{GiveUp, Import};
pub use link::Link;
pub use rendezvous::{LOAD_BOUND, bounded, prompt_root, ranked};
pub use residency::{Change, Residency};
