//! Socket of a connection to an upstream or a store: limits response heads, and resets the
//! connection if it is dropped during an exchange.

use std::cell::{Cell, RefCell};
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use damaskdrift_core::response_head;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::stream::FairStream;

/// State of the exchange on a connection, shared by the connection's user and its socket.
#[derive(Debug, Default)]
pub struct Exchange {
    /// Set from the sending of a request to the end of its response head.
    head: RefCell<Option<response_head::Meter>>,
    exceeded: Cell<Option<response_head::Limit>>,
    /// Whether a response is not complete.
    is_open: Cell<bool>,
}

/// The socket of a connection, for one exchange at a time.
#[derive(Debug)]
pub struct ClientStream {
    stream: FairStream<TcpStream>,
    exchange: Rc<Exchange>,
}

impl Exchange {
    /// Records that a request is about to be sent.
    pub fn begin(&self) {
        self.head.replace(Some(response_head::Meter::default()));
        self.is_open.set(true);
    }

    /// Records that the response was read to its end.
    pub fn complete(&self) {
        self.is_open.set(false);
    }

    /// Returns the limit that a response head has exceeded.
    pub fn exceeded(&self) -> Option<response_head::Limit> {
        self.exceeded.get()
    }

    /// Counts bytes that have arrived.
    fn record_read(&self, bytes: &[u8]) -> io::Result<()> {
        let mut head = self.head.borrow_mut();
        let Some(meter) = head.as_mut() else {
            return Ok(());
        };
        match meter.push(bytes) {
            Ok(response_head::Progress::Incomplete) => Ok(()),
            Ok(response_head::Progress::Complete) => {
                *head = None;
                Ok(())
            }
            Err(limit) => {
                metrics::counter!("response_limits_exceeded", "limit" => limit.name()).increment(1);
                self.exceeded.set(Some(limit));
                Err(io::Error::other(limit))
            }
        }
    }
}

impl ClientStream {
    /// Wraps the socket of a new connection.
    pub fn new(stream: TcpStream, exchange: Rc<Exchange>) -> Self {
        Self { stream: FairStream::new(stream), exchange }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        Poll::Ready(self.exchange.record_read(&buf.filled()[before..]))
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    /// Ends the sending side, except during an exchange: what the kernel has not sent yet would
    /// still arrive.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.exchange.is_open.get() {
            return Poll::Ready(Ok(()));
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

impl Drop for ClientStream {
    fn drop(&mut self) {
        if !self.exchange.is_open.get() {
            return;
        }
        metrics::counter!("connections_reset").increment(1);
        // The kernel then discards the request instead of sending it until it is acknowledged.
        if let Err(error) = self.stream.get_ref().set_zero_linger() {
            log::debug!(cause:% = error; "cannot reset a connection");
        }
    }
}
