//! Dispatch of peers' requests to their handlers.

use std::pin::Pin;
use std::sync;

use damaskdrift_core::code;
use damaskdrift_core::id;

use crate::context;
use crate::control::heartbeat;
use crate::control::sync as config;
use crate::peer::message;

/// Future returned by a [`Handler`], which resolves to the reply.
pub type ReplyFuture = Pin<Box<dyn Future<Output = message::Reply> + Send>>;

/// Function that handles one kind of request from the given peer.
pub type Handler = fn(sync::Arc<context::Context>, id::Instance, message::Request) -> ReplyFuture;

/// Kind of request whose handler is registered by another module.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RequestKind {
    /// [`message::Request::Allotment`].
    Allotment,
    /// [`message::Request::InFlight`].
    InFlight,
    /// [`message::Request::Evidence`].
    Evidence,
    /// [`message::Request::Status`].
    Status,
}

/// Handlers registered at start, one per kind of request.
#[derive(Debug, Default)]
pub struct Handlers {
    allotment: sync::OnceLock<Handler>,
    in_flight: sync::OnceLock<Handler>,
    evidence: sync::OnceLock<Handler>,
    status: sync::OnceLock<Handler>,
}

impl Handlers {
    /// Registers the handler of a kind of request.
    ///
    /// # Panics
    ///
    /// Panics if the kind already has a handler.
    pub fn register(&self, kind: RequestKind, handler: Handler) {
        self.cell(kind).set(handler).expect("a handler is registered once, at start");
    }

    fn cell(&self, kind: RequestKind) -> &sync::OnceLock<Handler> {
        match kind {
            RequestKind::Allotment => &self.allotment,
            RequestKind::InFlight => &self.in_flight,
            RequestKind::Evidence => &self.evidence,
            RequestKind::Status => &self.status,
        }
    }
}

/// Handles a request of a peer; a kind without a handler is refused.
pub async fn handle(
    cx: &sync::Arc<context::Context>,
    peer: &id::Instance,
    request: message::Request,
) -> message::Reply {
    let kind = match request {
        message::Request::Ping(ping) => {
            return message::Reply::Pong(heartbeat::handle_ping(cx, peer, &ping));
        }
        message::Request::Fleet => {
            return message::Reply::Fleet(cx.sync.value().as_deref().cloned());
        }
        message::Request::FleetPush(value) => return install_pushed(cx, value),
        message::Request::Allotment(_) => RequestKind::Allotment,
        message::Request::InFlight(_) => RequestKind::InFlight,
        message::Request::Evidence(_) => RequestKind::Evidence,
        message::Request::Status => RequestKind::Status,
    };
    match cx.peers.handlers.cell(kind).get() {
        Some(handler) => handler(cx.clone(), peer.clone(), request).await,
        None => message::Reply::Refused(code::Code::InvalidState.number()),
    }
}

/// Acknowledges a pushed document only if its revision or a higher one is installed here.
fn install_pushed(cx: &context::Context, value: message::FleetValue) -> message::Reply {
    match config::install(cx, value) {
        Ok(_) => message::Reply::Ack,
        Err(_) => message::Reply::Refused(code::Code::DocumentInvalid.number()),
    }
}
