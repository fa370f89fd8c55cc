//! Connections and calls to upstreams.

mod body;
mod connection;
mod counting_stream;
mod failure;
mod pool;
mod rank;

pub use body::{next_chunk, read_all};
pub use connection::{Connection, MAX_HEAD_BYTES, read_load};
pub use failure::Failure;
pub use pool::{Pool, Target};
pub use rank::rank;
