//! An accepted socket that tracks its client's progress.

use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::entry::intake;
use crate::stream::FairStream;

/// A client's socket.
///
/// It stops reading while the client leaves a response unread, so that pipelined requests don't
/// accumulate responses.
#[derive(Debug)]
pub struct Socket {
    stream: FairStream<TcpStream>,
    conn: Rc<intake::Conn>,
}

impl Socket {
    /// Creates the adapter of a connection.
    pub fn new(stream: TcpStream, conn: Rc<intake::Conn>) -> Self {
        Self { stream: FairStream::new(stream), conn }
    }

    fn record_write(
        &self,
        offered: usize,
        written: Poll<io::Result<usize>>,
    ) -> Poll<io::Result<usize>> {
        match &written {
            Poll::Ready(Ok(_)) => self.conn.record_written(),
            Poll::Ready(Err(_)) => {}
            Poll::Pending if !self.conn.record_blocked(offered) => {
                return Poll::Ready(Err(out_of_memory()));
            }
            Poll::Pending => {}
        }
        written
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.conn.is_blocked() {
            self.conn.set_read_waker(cx.waker());
            return Poll::Pending;
        }
        let (before, buffer_bytes) = (buf.filled().len(), buf.remaining());
        ready!(Pin::new(&mut self.stream).poll_read(cx, buf))?;
        let bytes = buf.filled().len() - before;
        if bytes > 0 && !self.conn.record_read(bytes, buffer_bytes) {
            return Poll::Ready(Err(out_of_memory()));
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.record_write(buf.len(), written)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.record_write(bufs.iter().map(|buf| buf.len()).sum(), written)
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

fn out_of_memory() -> io::Error {
    io::Error::new(io::ErrorKind::OutOfMemory, "the account of bytes is short")
}
