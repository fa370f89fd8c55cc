//! Operators' listener, and the commands that send requests to it.

mod api;
mod burn;
pub mod change;
mod client;
pub mod command;
mod document;
mod error;
pub mod listener;
mod moves;
mod refusal;
pub mod status;

pub use error::Error;
pub use refusal::Refusal;
