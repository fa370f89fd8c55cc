//! Connections between instances.

mod error;
mod handlers;
mod link;
mod listener;
pub mod message;
pub mod socket;

use std::collections;
use std::sync;
use std::time::Duration;

use damaskdrift_core::id;
use tokio::time;

pub use error::Error;
pub use handlers::{Handler, ReplyFuture, RequestKind};
pub use listener::start;

use crate::context;

/// Timeout for a reply, including opening the connection.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// Connections to other instances, and handlers of their requests.
#[derive(Debug, Default)]
pub struct Peers {
    handlers: handlers::Handlers,
    links: sync::Mutex<collections::BTreeMap<id::Instance, link::Link>>,
}

impl Peers {
    /// Registers the handler of a kind of request.
    ///
    /// # Panics
    ///
    /// Panics if the kind already has a handler.
    pub fn register(&self, kind: RequestKind, handler: Handler) {
        self.handlers.register(kind, handler);
    }

    /// Closes the connections to instances that are no longer members.
    pub fn retain(&self, members: &[id::Instance]) {
        let mut links = self.links.lock().expect("no thread panics while it holds the lock");
        links.retain(|peer, _| members.contains(peer));
    }
}

/// Sends a request to a peer and waits for its reply.
///
/// # Errors
///
/// Returns why the peer did not reply, or the result code with which it refused the request.
pub async fn call(
    cx: &sync::Arc<context::Context>,
    to: &id::Instance,
    request: message::Request,
) -> Result<message::Reply, Error> {
    let link = {
        let mut links = cx.peers.links.lock().expect("no thread panics while it holds the lock");
        links.entry(to.clone()).or_insert_with(|| link::Link::new(cx, to)).clone()
    };
    let reply = time::timeout(CALL_TIMEOUT, link.call(request)).await;
    let timed_out = || Error::Unreachable(format!("no reply within {CALL_TIMEOUT:?}"));
    match reply.unwrap_or_else(|_| Err(timed_out()))? {
        message::Reply::Refused(code) => Err(Error::Refused(code)),
        reply => Ok(reply),
    }
}
