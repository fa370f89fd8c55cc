//! Background loops and the decisions they keep up to date.

pub mod freshness;
pub mod observe;
pub mod slots;
