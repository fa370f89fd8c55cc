//! Handles the requests of peers.

use std::pin::Pin;
use std::sync;

use damaskdrift_core::code;
use damaskdrift_core::id;

use crate::context;
use crate::control::heartbeat;
use crate::control::sync as config;
use crate::peer::message;

/// Future of a handler's reply.
pub type Replying = Pin<Box<dyn Future<Output = message::Reply> + Send>>;

/// Handles one kind of request from a peer.
pub type Handler = fn(sync::Arc<context::Context>, id::Instance, message::Request) -> Replying;

/// Kinds of requests whose handlers are registered by other parts.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Topic {
    /// [`message::Request::Allotment`].
    Allotment,
    /// [`message::Request::InFlight`].
    InFlight,
    /// [`message::Request::Evidence`].
    Evidence,
    /// [`message::Request::Status`].
    Status,
}

/// Registered handlers.
#[derive(Debug, Default)]
pub struct Handlers {
    allotment: sync::OnceLock<Handler>,
    in_flight: sync::OnceLock<Handler>,
    evidence: sync::OnceLock<Handler>,
    status: sync::OnceLock<Handler>,
}

impl Handlers {
    /// Registers the handler of a topic; each topic takes one.
    pub fn register(&self, topic: Topic, handler: Handler) {
        self.cell(topic).set(handler).expect("a topic is registered once, at start");
    }

    fn cell(&self, topic: Topic) -> &sync::OnceLock<Handler> {
        match topic {
            Topic::Allotment => &self.allotment,
            Topic::InFlight => &self.in_flight,
            Topic::Evidence => &self.evidence,
            Topic::Status => &self.status,
        }
    }
}

/// Handles a request and returns the reply.
pub async fn handle(
    cx: &sync::Arc<context::Context>,
    peer: &id::Instance,
    request: message::Request,
) -> message::Reply {
    let topic = match request {
        message::Request::Ping(ping) => {
            return message::Reply::Pong(heartbeat::handle_ping(cx, peer, &ping));
        }
        message::Request::Fleet => {
            return message::Reply::Fleet(cx.sync.value().as_deref().cloned());
        }
        message::Request::FleetPush(value) => return take_push(cx, value),
        message::Request::Allotment(_) => Topic::Allotment,
        message::Request::InFlight(_) => Topic::InFlight,
        message::Request::Evidence(_) => Topic::Evidence,
        message::Request::Status => Topic::Status,
    };
    match cx.peers.handlers.cell(topic).get() {
        Some(handler) => handler(cx.clone(), peer.clone(), request).await,
        None => message::Reply::Refused(code::Code::InvalidState.number()),
    }
}

/// Acknowledges a push only once the revision or a higher one is in force here.
fn take_push(cx: &context::Context, value: message::FleetValue) -> message::Reply {
    match config::install(cx, value) {
        Ok(_) => message::Reply::Ack,
        Err(_) => message::Reply::Refused(code::Code::DocumentInvalid.number()),
    }
}
