//! Connections between instances.

pub mod message;
