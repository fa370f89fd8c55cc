//! Starts, signals and stops the processes of a test or experiment.

pub mod address;
pub mod binary;
pub mod document;
pub mod fleet;
pub mod http;
pub mod instance;
pub mod process;
pub mod proxy;
pub mod standin;

pub use fleet::{Builder, Fleet};
pub use http::{Call, Client, Response, Stream};
pub use instance::Instance;
pub use process::Process;
pub use proxy::{LinkHandle, Proxy};
pub use standin::Standin;
