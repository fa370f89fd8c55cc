//! Entry instance for a platform that stores its configuration and lists its upstreams.
//!
//! All tasks run on one thread. A [`port::Port`] implements the platform's protocols.

mod admission;
mod cache_stores;
pub mod client;
mod client_stream;
mod clock;
mod duties;
mod event_stream;
mod follower;
pub mod forward;
mod intake;
mod leadership;
mod listener;
mod notices;
mod observe;
mod peers;
mod platform_store;
mod pool;
pub mod port;
mod quarantine;
mod quarantine_record;
mod refusal;
mod relay;
mod retry;
mod rollouts;
mod run;
mod settings;
mod state;
mod weights;

pub use run::{Error, run};
pub use settings::{Duties, Settings};
