//! Selects the route, the service and the workspace of a request.

mod document;
mod rank;
mod table;

pub use document::{
    CacheStore, ColdStart, Document, Engine, Limits, RetryPolicy, Route, Service, Target, Workspace,
};
pub use rank::{LOWEST_RANK, Ranks};
pub use table::{Resolution, Table};
