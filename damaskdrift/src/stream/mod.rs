//! Adapters around the sockets of connections.

mod fair;

pub use fair::FairStream;
