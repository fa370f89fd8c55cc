//! Chooses the upstream of a request from the state that one instance knows.

mod choice;
mod contact;
mod health;
mod notice;
mod places;
mod upstream;

pub use choice::{
    Choice, Context, Requirements, Unavailable, expected_first_chunk, is_overdue, prefill_limit,
};
pub use contact::{Contact, Response};
pub use health::{Health, Observation};
pub use notice::{Admitted, Incarnation, MAX_PAUSE, Notice, Notices, Outcome as NoticeOutcome};
pub use places::{Grant, PlaceShares};
pub use upstream::{InFlightRequest, Load, Record, Reporter, Upstream, Upstreams, Weights};
