//! Entry instance for a platform that stores its configuration and lists its upstreams.
//!
//! All tasks run on one thread. A [`port::Port`] implements the platform's protocols.

pub mod client;
mod clock;
mod directory;
mod duty;
mod follower;
pub mod forward;
mod listener;
mod observe;
mod peers;
mod pool;
pub mod port;
mod refusal;
mod relay;
mod retry;
mod run;
mod settings;
mod state;
mod stores;
mod weights;

pub use run::{Error, run};
pub use settings::Settings;
