//! Chooses the upstream of a request from what one instance knows.

mod choice;
mod condition;
mod upstream;

pub use choice::{Need, Unavailable, View, expected_first_piece};
pub use condition::{Condition, Verdict};
pub use upstream::{Load, Record, Reporter, Sent, Upstream, Upstreams, Weights};
