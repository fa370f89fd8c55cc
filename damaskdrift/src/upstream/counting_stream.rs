//! TCP stream that counts written bytes, to prove whether any byte of a request was sent.

use std::io;
use std::pin::Pin;
use std::sync;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// TCP stream that counts the bytes written to it.
#[derive(Debug)]
pub struct CountingStream {
    stream: TcpStream,
    written: sync::Arc<AtomicU64>,
}

impl CountingStream {
    /// Wraps a stream; `written` is increased by the number of bytes that the kernel accepts.
    pub fn new(stream: TcpStream, written: sync::Arc<AtomicU64>) -> Self {
        Self { stream, written }
    }

    fn add_written(&self, result: &task::Poll<io::Result<usize>>) {
        if let task::Poll::Ready(Ok(n)) = result {
            self.written.fetch_add(*n as u64, Ordering::SeqCst);
        }
    }
}

impl AsyncRead for CountingStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for CountingStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        buf: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.add_written(&result);
        result
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut task::Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let result = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.add_written(&result);
        result
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
