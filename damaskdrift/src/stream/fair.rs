//! Stream that lets other tasks run while its peer sends without a pause.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes that a connection may read before other tasks run. Parsing this many takes well
/// below a millisecond. Without it a connection whose bytes never run out is read for 128 times the
/// read buffer, which stalled an instance on a quarter of a core for seconds.
const BYTES_PER_TURN: usize = 16 << 10;

/// A stream that yields to other tasks after a fixed number of bytes read.
#[derive(Debug)]
pub struct FairStream<S> {
    stream: S,
    /// Bytes read since other tasks could last run.
    read: usize,
}

impl<S> FairStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self { stream, read: 0 }
    }

    /// Returns the wrapped stream.
    pub fn get_ref(&self) -> &S {
        &self.stream
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for FairStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read >= BYTES_PER_TURN {
            self.read = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let max_len = (BYTES_PER_TURN - self.read).min(buf.remaining());
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(max_len));
        let result = Pin::new(&mut self.stream).poll_read(cx, &mut part);
        let len = part.filled().len();
        if result.is_pending() {
            self.read = 0;
        }
        ready!(result)?;
        self.read += len;
        buf.advance(len);
        Poll::Ready(Ok(()))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for FairStream<S> {
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

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
