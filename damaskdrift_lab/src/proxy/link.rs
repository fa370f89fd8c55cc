//! Proxy links: a listener and the connections that it forwards.

use std::net;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::{self, Instant};

use crate::error::Error;
use crate::proxy::forward;
use crate::proxy::mode::{Kind, Mode};

/// Pause before a failed bind or accept is retried.
const RETRY_PAUSE: Duration = Duration::from_millis(10);

/// Time limit for the listener and the open connections of a link to apply a new mode.
const MODE_CHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// A listener that forwards its connections to another address.
#[derive(Clone, Debug)]
pub struct Link {
    shared: Arc<Shared>,
}

/// Direction in which bytes are forwarded.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Direction {
    /// From the client to the server.
    Request,
    /// From the server to the client.
    Response,
}

/// State and traffic counters of a link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Address on which the link accepts connections.
    pub listen: net::SocketAddr,
    /// Address to which the link forwards them.
    pub to: net::SocketAddr,
    /// Current mode.
    pub mode: Mode,
    /// Number of connections accepted so far.
    pub connections: u64,
    /// Number of bytes forwarded to the server so far.
    pub request_bytes: u64,
    /// Number of bytes forwarded to the client so far.
    pub answer_bytes: u64,
}

/// Open sockets of a link.
#[derive(Clone, Copy, Debug, Default)]
struct OpenSockets {
    is_listening: bool,
    connections: usize,
}

#[derive(Debug)]
struct Shared {
    listen: net::SocketAddr,
    to: net::SocketAddr,
    mode: watch::Sender<Mode>,
    open: watch::Sender<OpenSockets>,
    connections: AtomicU64,
    request: Throttle,
    response: Throttle,
}

/// Byte counter and bandwidth limit of one direction.
#[derive(Debug)]
struct Throttle {
    bytes: AtomicU64,
    /// Time at which all bytes reserved so far have been sent.
    free_at: Mutex<Instant>,
}

impl Link {
    /// Opens the listener and starts to forward its connections in a background task.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be listened on.
    pub async fn open(listen: net::SocketAddr, to: net::SocketAddr) -> Result<Self, Error> {
        let to_error = |error| Error::Io(format!("cannot listen on {listen}"), error);
        let listener = TcpListener::bind(listen).await.map_err(to_error)?;
        let shared = Shared {
            listen: listener.local_addr().map_err(to_error)?,
            to,
            mode: watch::Sender::new(Mode::PASS),
            open: watch::Sender::new(OpenSockets { is_listening: true, connections: 0 }),
            connections: AtomicU64::new(0),
            request: Throttle::new(),
            response: Throttle::new(),
        };
        let link = Self { shared: Arc::new(shared) };
        tokio::spawn(link.clone().run(listener));
        Ok(link)
    }

    /// Sets the mode and waits for up to 1 s until the listener and the open connections apply it.
    pub async fn set_mode(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
        let is_applied = |open: &OpenSockets| match mode.kind {
            Kind::Cut => !open.is_listening && open.connections == 0,
            Kind::Pass | Kind::Blackhole | Kind::HoldAnswers => open.is_listening,
        };
        let mut rx = self.shared.open.subscribe();
        let applied = time::timeout(MODE_CHANGE_TIMEOUT, rx.wait_for(is_applied)).await;
        if applied.is_err() {
            eprintln!(
                "the link at {} has not applied mode {:?} within {MODE_CHANGE_TIMEOUT:?}",
                self.shared.listen, mode.kind
            );
        }
    }

    /// Returns the current state and traffic counters.
    pub fn stats(&self) -> Stats {
        Stats {
            listen: self.shared.listen,
            to: self.shared.to,
            mode: self.mode(),
            connections: self.shared.connections.load(Ordering::Relaxed),
            request_bytes: self.shared.request.bytes.load(Ordering::Relaxed),
            answer_bytes: self.shared.response.bytes.load(Ordering::Relaxed),
        }
    }

    /// Returns the current mode.
    pub(super) fn mode(&self) -> Mode {
        *self.shared.mode.borrow()
    }

    /// Waits until the link forwards bytes in a direction, and returns its mode.
    pub(super) async fn wait_until_forwarding(&self, direction: Direction) -> Mode {
        let is_held = |mode: &Mode| match mode.kind {
            Kind::Blackhole => true,
            Kind::HoldAnswers => direction == Direction::Response,
            Kind::Pass | Kind::Cut => false,
        };
        self.wait_for(|mode| !is_held(mode)).await
    }

    /// Counts bytes, and waits until the bandwidth limit allows sending them.
    pub(super) async fn throttle(
        &self,
        direction: Direction,
        bytes: usize,
        bytes_per_s: Option<u64>,
    ) {
        let throttle = match direction {
            Direction::Request => &self.shared.request,
            Direction::Response => &self.shared.response,
        };
        throttle.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        if let Some(bytes_per_s) = bytes_per_s {
            time::sleep_until(throttle.reserve(bytes, bytes_per_s)).await;
        }
    }

    async fn run(self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            self.wait_for(|mode| mode.kind != Kind::Cut).await;
            let bound = match listener.take() {
                Some(listener) => Ok(listener),
                None => TcpListener::bind(self.shared.listen).await,
            };
            match bound {
                Ok(listener) => self.accept_until_cut(listener).await,
                Err(error) => {
                    eprintln!(
                        "cannot reopen the listener on {}, retrying: {error}",
                        self.shared.listen
                    );
                    time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }

    /// Accepts connections until the mode is [`Kind::Cut`], then closes the listener.
    async fn accept_until_cut(&self, listener: TcpListener) {
        self.shared.open.send_modify(|open| open.is_listening = true);
        loop {
            tokio::select! {
                _ = self.wait_for(|mode| mode.kind == Kind::Cut) => break,
                accepted = listener.accept() => match accepted {
                    Ok((client, _)) => {
                        self.shared.connections.fetch_add(1, Ordering::Relaxed);
                        self.shared.open.send_modify(|open| open.connections += 1);
                        tokio::spawn(self.clone().forward_connection(client));
                    }
                    Err(error) => {
                        eprintln!("cannot accept a connection on {}: {error}", self.shared.listen);
                        time::sleep(RETRY_PAUSE).await;
                    }
                },
            }
        }
        drop(listener);
        self.shared.open.send_modify(|open| open.is_listening = false);
    }

    async fn forward_connection(self, client: TcpStream) {
        let forward = async {
            self.wait_until_forwarding(Direction::Request).await;
            let server = TcpStream::connect(self.shared.to).await?;
            forward::forward_both(&self, client, server).await
        };
        tokio::select! {
            _ = self.wait_for(|mode| mode.kind == Kind::Cut) => {}
            // A failed connection is closed on both sides; the cause cannot be forwarded over TCP.
            _ = forward => {}
        }
        self.shared.open.send_modify(|open| open.connections -= 1);
    }

    async fn wait_for(&self, condition: impl FnMut(&Mode) -> bool) -> Mode {
        let mut rx = self.shared.mode.subscribe();
        *rx.wait_for(condition).await.expect("the link owns the sender")
    }
}

impl Throttle {
    fn new() -> Self {
        Self { bytes: AtomicU64::new(0), free_at: Mutex::new(Instant::now()) }
    }

    /// Reserves the time to send some bytes and returns when it ends.
    fn reserve(&self, bytes: usize, bytes_per_s: u64) -> Instant {
        let transfer_time = Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64);
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(Instant::now()) + transfer_time;
        *free_at
    }
}
