//! Operators' listener and the commands that call it.

pub mod command;
mod error;

pub use error::Error;
