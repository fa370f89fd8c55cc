//! Connections and calls to upstreams.

mod body;
mod choose;
mod connection;
mod counted;
mod failure;
mod pool;

pub use body::{next_piece, read_all};
pub use choose::rank;
pub use connection::{Connection, read_load};
pub use failure::Failure;
pub use pool::{Pool, Target};
