//! One listener and the connections that it forwards.

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

/// Pause before the address is bound again after a failure.
const REBIND_PAUSE: Duration = Duration::from_millis(10);

/// Longest wait until a link follows a new mode.
const FOLLOW_LIMIT: Duration = Duration::from_secs(1);

/// A listener and the address to which it forwards connections.
#[derive(Clone, Debug)]
pub struct Link {
    shared: Arc<Shared>,
}

/// Direction of forwarded bytes.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Direction {
    /// From the client to the server.
    Request,
    /// From the server to the client.
    Answer,
}

/// State and counts of a link.
#[derive(Clone, Copy, Debug, Deserialize, Eq, PartialEq, Serialize)]
pub struct Stats {
    /// Address on which the link accepts connections.
    pub listen: net::SocketAddr,
    /// Address to which it forwards them.
    pub to: net::SocketAddr,
    /// The mode in force.
    pub mode: Mode,
    /// Connections accepted so far.
    pub connections: u64,
    /// Bytes forwarded to the server.
    pub request_bytes: u64,
    /// Bytes forwarded to the client.
    pub answer_bytes: u64,
}

/// What a link has open.
#[derive(Clone, Copy, Debug, Default)]
struct Open {
    is_listening: bool,
    connections: usize,
}

#[derive(Debug)]
struct Shared {
    listen: net::SocketAddr,
    to: net::SocketAddr,
    mode: watch::Sender<Mode>,
    open: watch::Sender<Open>,
    connections: AtomicU64,
    request: Pace,
    answer: Pace,
}

/// Bytes forwarded in one direction and the time at which the link is free again.
#[derive(Debug)]
struct Pace {
    bytes: AtomicU64,
    free_at: Mutex<Instant>,
}

impl Link {
    /// Opens the listener and starts to forward.
    ///
    /// # Errors
    ///
    /// Returns why the address cannot be listened on.
    pub async fn open(listen: net::SocketAddr, to: net::SocketAddr) -> Result<Self, Error> {
        let fault = |error| Error::Io(format!("cannot listen on {listen}"), error);
        let listener = TcpListener::bind(listen).await.map_err(fault)?;
        let shared = Shared {
            listen: listener.local_addr().map_err(fault)?,
            to,
            mode: watch::Sender::new(Mode::PASS),
            open: watch::Sender::new(Open { is_listening: true, connections: 0 }),
            connections: AtomicU64::new(0),
            request: Pace::new(),
            answer: Pace::new(),
        };
        let link = Self { shared: Arc::new(shared) };
        tokio::spawn(link.clone().run(listener));
        Ok(link)
    }

    /// Sets the mode and waits until the listener and the open connections follow it.
    pub async fn set_mode(&self, mode: Mode) {
        self.shared.mode.send_replace(mode);
        let follows = |open: &Open| match mode.kind {
            Kind::Cut => !open.is_listening && open.connections == 0,
            Kind::Pass | Kind::Blackhole | Kind::HoldAnswers => open.is_listening,
        };
        let mut rx = self.shared.open.subscribe();
        let follows = time::timeout(FOLLOW_LIMIT, rx.wait_for(follows)).await;
        if follows.is_err() {
            eprintln!("the link at {} does not follow its mode yet", self.shared.listen);
        }
    }

    /// Returns the state and counts.
    pub fn stats(&self) -> Stats {
        Stats {
            listen: self.shared.listen,
            to: self.shared.to,
            mode: self.mode(),
            connections: self.shared.connections.load(Ordering::Relaxed),
            request_bytes: self.shared.request.bytes.load(Ordering::Relaxed),
            answer_bytes: self.shared.answer.bytes.load(Ordering::Relaxed),
        }
    }

    /// Returns the mode in force.
    pub(super) fn mode(&self) -> Mode {
        *self.shared.mode.borrow()
    }

    /// Waits until the link forwards bytes in a direction.
    pub(super) async fn passing(&self, direction: Direction) -> Mode {
        let is_held = |mode: &Mode| match mode.kind {
            Kind::Blackhole => true,
            Kind::HoldAnswers => direction == Direction::Answer,
            Kind::Pass | Kind::Cut => false,
        };
        self.wait_for(|mode| !is_held(mode)).await
    }

    /// Counts bytes and waits until the bandwidth allows them.
    pub(super) async fn pace(&self, direction: Direction, bytes: usize, bytes_per_s: Option<u64>) {
        let pace = match direction {
            Direction::Request => &self.shared.request,
            Direction::Answer => &self.shared.answer,
        };
        pace.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
        if let Some(bytes_per_s) = bytes_per_s {
            time::sleep_until(pace.reserve(bytes, bytes_per_s)).await;
        }
    }

    async fn run(self, listener: TcpListener) {
        let mut listener = Some(listener);
        loop {
            self.wait_for(|mode| mode.kind != Kind::Cut).await;
            let open = match listener.take() {
                Some(open) => Ok(open),
                None => TcpListener::bind(self.shared.listen).await,
            };
            match open {
                Ok(open) => self.accept_until_cut(open).await,
                Err(error) => {
                    eprintln!("cannot listen on {} again: {error}", self.shared.listen);
                    time::sleep(REBIND_PAUSE).await;
                }
            }
        }
    }

    /// Accepts connections until the link is cut, which closes the listener.
    async fn accept_until_cut(&self, listener: TcpListener) {
        self.shared.open.send_modify(|open| open.is_listening = true);
        loop {
            tokio::select! {
                _ = self.wait_for(|mode| mode.kind == Kind::Cut) => break,
                accepted = listener.accept() => match accepted {
                    Ok((client, _)) => {
                        self.shared.connections.fetch_add(1, Ordering::Relaxed);
                        self.shared.open.send_modify(|open| open.connections += 1);
                        tokio::spawn(self.clone().connection(client));
                    }
                    Err(error) => {
                        eprintln!("cannot accept on {}: {error}", self.shared.listen);
                        time::sleep(REBIND_PAUSE).await;
                    }
                },
            }
        }
        drop(listener);
        self.shared.open.send_modify(|open| open.is_listening = false);
    }

    async fn connection(self, client: TcpStream) {
        let forward = async {
            self.passing(Direction::Request).await;
            let server = TcpStream::connect(self.shared.to).await?;
            forward::both(&self, client, server).await
        };
        tokio::select! {
            _ = self.wait_for(|mode| mode.kind == Kind::Cut) => {}
            // A broken connection is closed on both sides, which is all that can be passed on.
            _ = forward => {}
        }
        self.shared.open.send_modify(|open| open.connections -= 1);
    }

    async fn wait_for(&self, accept: impl FnMut(&Mode) -> bool) -> Mode {
        let mut rx = self.shared.mode.subscribe();
        *rx.wait_for(accept).await.expect("the link holds the sender")
    }
}

impl Pace {
    fn new() -> Self {
        Self { bytes: AtomicU64::new(0), free_at: Mutex::new(Instant::now()) }
    }

    /// Reserves the link for some bytes and returns when they have passed.
    fn reserve(&self, bytes: usize, bytes_per_s: u64) -> Instant {
        let busy = Duration::from_secs_f64(bytes as f64 / bytes_per_s as f64);
        let mut free_at = self.free_at.lock().unwrap_or_else(PoisonError::into_inner);
        *free_at = (*free_at).max(Instant::now()) + busy;
        *free_at
    }
}
