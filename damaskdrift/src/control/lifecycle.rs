//! Lifecycle of an instance: starting, serving, draining, stopped.

use std::future::Future;

use damaskdrift_core::code;
use derive_more::Display;
use tokio::sync::watch;

use crate::context;
use crate::control::freshness;

/// Phase of the instance's lifecycle; the order of the variants is the order of the phases.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
pub enum Phase {
    /// Listeners are not open yet.
    Starting,
    /// Requests are accepted.
    Serving,
    /// The instance has been ordered to stop and finishes its running work.
    Draining,
    /// All work is finished.
    Stopped,
}

/// Publishes the current phase to all tasks of the instance.
#[derive(Debug)]
pub struct Signal(watch::Sender<Phase>);

/// State machine of the lifecycle, owned by the task that runs the instance.
///
/// The type parameter is the current state, so that only valid transitions compile.
#[derive(Debug)]
pub struct Lifecycle<'a, S> {
    signal: &'a Signal,
    _state: S,
}

/// State before the listeners are open.
#[derive(Debug)]
pub struct Starting;
/// State in which requests are accepted.
#[derive(Debug)]
pub struct Serving;
/// State in which running work is finished.
#[derive(Debug)]
pub struct Draining;
/// State in which all work is finished.
#[derive(Debug)]
pub struct Stopped;

impl Default for Signal {
    fn default() -> Self {
        Self(watch::Sender::new(Phase::Starting))
    }
}

impl Signal {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.0.borrow()
    }

    /// Waits until the instance is in `phase` or a later one.
    pub async fn reached(&self, phase: Phase) {
        let mut rx = self.0.subscribe();
        // The sender lives as long as the context, so the wait cannot fail.
        let _ = rx.wait_for(|current| *current >= phase).await;
    }
}

impl<'a, S> Lifecycle<'a, S> {
    fn enter<T>(self, state: T, phase: Phase) -> Lifecycle<'a, T> {
        log::info!("instance is {phase}");
        self.signal.0.send_replace(phase);
        Lifecycle { signal: self.signal, _state: state }
    }
}

impl<'a> Lifecycle<'a, Starting> {
    /// Creates the state machine of an instance that is starting.
    pub fn new(signal: &'a Signal) -> Self {
        Self { signal, _state: Starting }
    }

    /// Enters the serving phase; called when all listeners are open.
    pub fn serve(self) -> Lifecycle<'a, Serving> {
        self.enter(Serving, Phase::Serving)
    }
}

impl<'a> Lifecycle<'a, Serving> {
    /// Enters the draining phase; called when the instance is ordered to stop.
    pub fn drain(self) -> Lifecycle<'a, Draining> {
        self.enter(Draining, Phase::Draining)
    }
}

impl<'a> Lifecycle<'a, Draining> {
    /// Waits for `work`, which applies the operators' drain deadline, and enters the stopped phase.
    pub async fn finish(self, work: impl Future<Output = ()>) -> Lifecycle<'a, Stopped> {
        work.await;
        self.enter(Stopped, Phase::Stopped)
    }
}

/// Checks that a load balancer may send requests here; `/readyz` returns the result.
///
/// # Errors
///
/// Returns the reason as a result code when the instance is not ready.
pub fn readiness(cx: &context::Context) -> Result<(), code::Code> {
    match cx.lifecycle.phase() {
        Phase::Starting => Err(code::Code::NotConfigured),
        Phase::Serving => freshness::check(cx),
        Phase::Draining | Phase::Stopped => Err(code::Code::Draining),
    }
}
