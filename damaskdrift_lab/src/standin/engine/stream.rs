//! Buffered response streams that can be resumed at any byte offset.

use std::convert;
use std::sync;

use bytes::Bytes;
use futures_util::{Stream, stream};
use tokio::sync::watch;

/// Response to a request, retained while it runs and for the retention period afterwards.
#[derive(Debug)]
pub struct Buffer {
    /// Request id.
    pub id: String,
    /// Workspace that may read the response.
    pub workspace: String,
    content: watch::Sender<Content>,
}

/// Data received by a buffer so far.
#[derive(Clone, Debug, Default)]
pub struct Content {
    /// Server-sent events of the response.
    pub body: Vec<u8>,
    /// Concatenated text of these events.
    pub text: String,
    /// Progress of the request.
    pub state: State,
}

/// Progress of a request.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum State {
    /// The request is queued or running.
    #[default]
    Running,
    /// The response is complete.
    Done,
    /// The request was cancelled.
    Cancelled,
}

impl Buffer {
    /// Creates an empty buffer for a running request.
    pub fn new(id: &str, workspace: &str) -> sync::Arc<Self> {
        let (content, _) = watch::channel(Content::default());
        sync::Arc::new(Self { id: id.to_owned(), workspace: workspace.to_owned(), content })
    }

    /// Appends to the body and the text, sets the state and wakes readers.
    pub fn append(&self, body: &str, text: &str, state: State) {
        self.content.send_modify(|content| {
            content.body.extend_from_slice(body.as_bytes());
            content.text.push_str(text);
            content.state = state;
        });
    }

    /// Returns the progress of the request.
    pub fn state(&self) -> State {
        self.content.borrow().state
    }

    /// Returns the text generated so far.
    pub fn text(&self) -> String {
        self.content.borrow().text.clone()
    }

    /// Returns the current length of the body, in bytes.
    pub fn len(&self) -> usize {
        self.content.borrow().body.len()
    }

    /// Returns whether the body is empty.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Waits until the request is done or cancelled and returns its final state.
    pub async fn wait_for_end(&self) -> State {
        let mut rx = self.content.subscribe();
        let content = rx.wait_for(|content| content.state != State::Running).await;
        content.map_or(State::Cancelled, |content| content.state)
    }

    /// Returns a stream of the body from an offset, which ends with the request.
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
