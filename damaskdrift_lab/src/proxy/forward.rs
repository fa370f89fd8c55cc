//! Forwards the bytes of a connection according to the mode of its link.

use std::io;
use std::time::Duration;

use bytes::Bytes;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;
use tokio::time::{self, Instant};

use crate::proxy::link::{Direction, Link};

/// Maximum number of bytes read at once.
const CHUNK_BYTES: usize = 16 << 10;
/// Maximum number of chunks queued in each direction while they wait for their delay.
const QUEUED_CHUNKS: usize = 64;
/// Minimum number of writes into which a link with limited bandwidth divides a second's bytes.
const WRITES_PER_S: u64 = 20;

/// Forwards bytes in both directions until one fails or both reach their end.
///
/// # Errors
///
/// Returns the error of the direction that failed.
pub(super) async fn forward_both(
    link: &Link,
    client: TcpStream,
    server: TcpStream,
) -> io::Result<()> {
    client.set_nodelay(true)?;
    server.set_nodelay(true)?;
    let (from_client, to_client) = client.into_split();
    let (from_server, to_server) = server.into_split();
    tokio::try_join!(
        forward_direction(link, Direction::Request, from_client, to_server),
        forward_direction(link, Direction::Response, from_server, to_client),
    )?;
    Ok(())
}

async fn forward_direction(
    link: &Link,
    direction: Direction,
    from: OwnedReadHalf,
    to: OwnedWriteHalf,
) -> io::Result<()> {
    let (tx, rx) = mpsc::channel(QUEUED_CHUNKS);
    tokio::try_join!(read(from, tx), write(link, direction, rx, to))?;
    Ok(())
}

async fn read(mut from: OwnedReadHalf, tx: mpsc::Sender<(Instant, Bytes)>) -> io::Result<()> {
    let mut buf = vec![0; CHUNK_BYTES];
    loop {
        let len = from.read(&mut buf).await?;
        if len == 0 {
            return Ok(());
        }
        let chunk = (Instant::now(), Bytes::copy_from_slice(&buf[..len]));
        if tx.send(chunk).await.is_err() {
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
    while let Some((read_at, chunk)) = rx.recv().await {
        let mode = link.wait_until_forwarding(direction).await;
        if direction == Direction::Response && mode.drop_answers {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        time::sleep_until(read_at + Duration::from_millis(mode.delay_ms)).await;
        let max_write_bytes =
            mode.bytes_per_s.map_or(CHUNK_BYTES as u64, |rate| rate / WRITES_PER_S);
        for slice in chunk.chunks(max_write_bytes.clamp(1, CHUNK_BYTES as u64) as usize) {
            let bytes_per_s = link.wait_until_forwarding(direction).await.bytes_per_s;
            link.throttle(direction, slice.len(), bytes_per_s).await;
            to.write_all(slice).await?;
        }
    }
    to.shutdown().await
}
