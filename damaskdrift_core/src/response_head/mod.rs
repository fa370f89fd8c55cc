//! Limits on the head of a response and the interim (1xx) responses before it.

mod meter;

pub use meter::{Limit, MAX_BYTES, MAX_INTERIM_RESPONSES, Meter, Progress};
