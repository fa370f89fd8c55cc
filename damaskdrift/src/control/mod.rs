//! Background tasks of an instance, and the state and decisions that requests take from them.

pub mod cache;
pub mod driver;
pub mod freshness;
pub mod heartbeat;
pub mod lease;
pub mod lifecycle;
pub mod observe;
pub mod propagation;
pub mod roster;
pub mod route;
pub mod slots;
pub mod sync;
pub mod tasks;
