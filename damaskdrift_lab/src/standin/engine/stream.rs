//! Buffered streams that can be read again from any byte offset.

use std::convert;
use std::sync;

use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::sync::watch;

/// A request's answer, kept while it runs and for some time afterwards.
#[derive(Debug)]
pub struct Buffer {
    /// The request id.
    pub id: String,
    /// The workspace that may read the answer.
    pub workspace: String,
    content: watch::Sender<Content>,
}

/// What a buffer holds so far.
#[derive(Clone, Debug, Default)]
pub struct Content {
    /// The SSE body so far.
    pub body: Vec<u8>,
    /// The text that the body carries.
    pub text: String,
    /// How far the request has come.
    pub state: State,
}

/// Tells how far a request has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// The request waits or runs.
    #[default]
    Running,
    /// The answer is complete.
    Done,
    /// The request was cancelled.
    Cancelled,
}

impl Buffer {
    /// Creates an empty buffer.
    pub fn new(id: &str, workspace: &str) -> sync::Arc<Self> {
        let (content, _) = watch::channel(Content::default());
        sync::Arc::new(Self { id: id.to_owned(), workspace: workspace.to_owned(), content })
    }

    /// Appends to the body and the text, and sets the state.
    pub fn append(&self, body: &str, text: &str, state: State) {
        self.content.send_modify(|content| {
            content.body.extend_from_slice(body.as_bytes());
            content.text.push_str(text);
            content.state = state;
        });
    }

    /// Returns how far the request has come.
    pub fn state(&self) -> State {
        self.content.borrow().state
    }

    /// Returns the text so far.
    pub fn text(&self) -> String {
        self.content.borrow().text.clone()
    }

    /// Returns the length of the body so far.
    pub fn len(&self) -> usize {
        self.content.borrow().body.len()
    }

    /// Returns whether the body is still empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until the request has ended.
    pub async fn ended(&self) -> State {
        let mut rx = self.content.subscribe();
        let ended = rx.wait_for(|content| content.state != State::Running).await;
        ended.map_or(State::Cancelled, |content| content.state)
    }

    /// Returns the bytes of the body from an offset on, until the request has ended.
    pub fn read(
        &self,
        offset: usize,
    ) -> impl Stream<Item = Result<Bytes, convert::Infallible>> + Send + Sync + use<> {
        stream::unfold((self.content.subscribe(), offset), |(mut rx, offset)| async move {
            let is_ready = |c: &Content| c.body.len() > offset || c.state != State::Running;
            let bytes = match rx.wait_for(is_ready).await {
                Ok(content) => Bytes::copy_from_slice(content.body.get(offset..).unwrap_or(&[])),
                Err(_) => return None,
            };
            if bytes.is_empty() {
                return None;
            }
            let next = offset + bytes.len();
            Some((Ok(bytes), (rx, next)))
        })
    }
}
