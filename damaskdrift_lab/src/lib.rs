//! Stand-ins, fault proxy, process harness and experiments for damaskdrift.

pub mod cli;
pub mod error;
pub mod experiment;
pub mod harness;
pub mod proxy;
pub mod quickstart;
pub mod server;
pub mod standin;
