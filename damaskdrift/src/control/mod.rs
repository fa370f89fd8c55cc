//! Background loops and the decisions they keep up to date.

pub mod freshness;
pub mod lifecycle;
pub mod observe;
pub mod slots;
pub mod sync;
pub mod tasks;
