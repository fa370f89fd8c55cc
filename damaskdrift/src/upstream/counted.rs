//! TCP stream that counts the bytes written to it.

use std::io;
use std::pin::Pin;
use std::sync;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// TCP stream that counts the bytes written to it.
#[derive(Debug)]
pub struct Counted {
    stream: TcpStream,
    written: sync::Arc<AtomicU64>,
}

impl Counted {
    /// Wraps a stream; `written` receives the number of bytes that the kernel accepted.
    pub fn new(stream: TcpStream, written: sync::Arc<AtomicU64>) -> Self {
        Self { stream, written }
    }

    fn count(&self, polled: &task::Poll<io::Result<usize>>) {
        if let task::Poll::Ready(Ok(n)) = polled {
            self.written.fetch_add(*n as u64, Ordering::SeqCst);
        }
    }
}

impl AsyncRead for Counted {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Counted {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count(&polled);
        polled
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count(&polled);
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
