//! Chooses the upstream of a request from the state that one instance knows.

mod choice;
mod contact;
mod health;
mod notice;
mod upstream;

pub use choice::{Context, Requirements, Unavailable, expected_first_chunk, is_overdue};
pub use contact::{Contact, Response};
pub use health::{Health, Observation};
pub use notice::{Admitted, Incarnation, MAX_PAUSE, Notice, Notices, Outcome as NoticeOutcome};
pub use upstream::{InFlightRequest, Load, Record, Reporter, Upstream, Upstreams, Weights};
