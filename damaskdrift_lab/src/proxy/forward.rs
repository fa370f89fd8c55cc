//! Forwards the bytes of a connection under the link's mode.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use crate::proxy::link::{Direction, Link};

/// Largest piece that is read at once, in bytes.
const PIECE_BYTES: usize = 16 << 10;
/// Most pieces that wait for their delay in each direction.
const QUEUED_PIECES: usize = 64;
/// A limited link passes at most this part of a second's bytes at once.
const PIECES_PER_S: u64 = 20;

/// Forwards both directions until one breaks or both end.
///
/// # Errors
///
/// Returns why one side is broken.
pub(super) async fn both(link: &Link, client: TcpStream, server: TcpStream) -> io::Result<()> {
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::try_join!(
        direction(link, Direction::Request, from_client, to_server),
        direction(link, Direction::Answer, from_server, to_client),
    )?;
    Ok(())
}

async fn direction(
    link: &Link,
    direction: Direction,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(QUEUED_PIECES);
    tokio::try_join!(read(from, tx), write(link, direction, rx, to))?;
    Ok(())
}

async fn read(mut from: OwnedReadHalf, tx: mpsc::Sender<(Instant, Bytes)>) -> io::Result<()> {
    let mut buf = vec![0; PIECE_BYTES];
    loop {
        let len = from.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        let piece = (Instant::now(), Bytes::copy_from_slice(&buf[..len]));
        if tx.send(piece).await.is_err() {
            return Ok(());
        }
    }
}

async fn write(
    link: &Link,
    direction: Direction,
    mut rx: mpsc::Receiver<(Instant, Bytes)>,
    mut to: OwnedWriteHalf,
) -> io::Result<()> {
    while let Some((read_at, piece)) = rx.recv().await {
        let mode = link.passing(direction).await;
        if direction == Direction::Answer && mode.drop_answers {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        time::sleep_until(read_at + Duration::from_millis(mode.delay_ms)).await;
        let most = mode.bytes_per_s.map_or(PIECE_BYTES as u64, |rate| rate / PIECES_PER_S);
        for part in piece.chunks(most.clamp(1, PIECE_BYTES as u64) as usize) {
            let bytes_per_s = link.passing(direction).await.bytes_per_s;
            link.pace(direction, part.len(), bytes_per_s).await;
            to.write_all(part).await?;
        }
    }
    to.shutdown().await
}
