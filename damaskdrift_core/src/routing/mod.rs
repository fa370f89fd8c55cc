//! Chooses the route and the workspace of a request.

mod document;
mod table;

pub use document::{
    Cold, Document, Engine, Limits, Repeat, Route, Service, Store, Target, Workspace,
};
pub use table::{Resolution, Table};
