//! Background loops and the decisions they keep up to date.

pub mod cache;
pub mod driver;
pub mod freshness;
pub mod heartbeat;
pub mod lease;
pub mod lifecycle;
pub mod observe;
pub mod roster;
pub mod route;
pub mod slots;
pub mod spread;
pub mod sync;
pub mod tasks;
