//! Entry instance between callers and model-serving upstreams.

mod backoff;
mod caller;
pub mod cli;
mod context;
mod control;
pub mod entry;
pub mod logging;
pub mod metrics;
mod operator;
pub mod peer;
mod platform;
mod serve;
mod settings;
pub mod stream;
mod upstream;
