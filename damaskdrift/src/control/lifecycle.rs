//! Life of an instance: starting, serving, draining, stopped.

use std::future::Future;

use damaskdrift_core::code;
use derive_more::Display;
use tokio::sync::watch;

use crate::context;
use crate::control::freshness;

/// How far the life of the instance has come.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
#[display(rename_all = "kebab-case")]
pub enum Phase {
    /// Listeners are not open yet.
    Starting,
    /// Callers are served.
    Serving,
    /// The instance was told to stop and finishes its work.
    Draining,
    /// All work is finished.
    Stopped,
}

/// Tells all parts of the instance its present phase.
#[derive(Debug)]
pub struct Signal(watch::Sender<Phase>);

/// The life of the instance, owned by the task that runs it.
#[derive(Debug)]
pub struct Lifecycle<'a, S> {
    signal: &'a Signal,
    _state: S,
}

/// Listeners are not open yet.
#[derive(Debug)]
pub struct Starting;
/// Callers are served.
#[derive(Debug)]
pub struct Serving;
/// The instance finishes its work.
#[derive(Debug)]
pub struct Draining;
/// All work is finished.
#[derive(Debug)]
pub struct Stopped;

impl Default for Signal {
    fn default() -> Self {
        Self(watch::Sender::new(Phase::Starting))
    }
}

impl Signal {
    /// Returns the present phase.
    pub fn phase(&self) -> Phase {
        *self.0.borrow()
    }

    /// Waits until the instance has reached a phase.
    pub async fn reached(&self, phase: Phase) {
        let mut rx = self.0.subscribe();
        // The sender lives as long as the context, so the wait ends only by the phase.
        let _ = rx.wait_for(|present| *present >= phase).await;
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
    /// Begins the life of an instance.
    pub fn new(signal: &'a Signal) -> Self {
        Self { signal, _state: Starting }
    }

    /// Notes that all listeners are open.
    pub fn serve(self) -> Lifecycle<'a, Serving> {
        self.enter(Serving, Phase::Serving)
    }
}

impl<'a> Lifecycle<'a, Serving> {
    /// Notes that the instance was told to stop.
    pub fn drain(self) -> Lifecycle<'a, Draining> {
        self.enter(Draining, Phase::Draining)
    }
}

impl<'a> Lifecycle<'a, Draining> {
    /// Finishes all work, within the operators' deadline if they set one.
    pub async fn finish(self, work: impl Future<Output = ()>) -> Lifecycle<'a, Stopped> {
        work.await;
        self.enter(Stopped, Phase::Stopped)
    }
}

/// Checks that a load balancer may send callers here; `/readyz` shows the result.
///
/// # Errors
///
/// Returns the code that says why not.
pub fn readiness(cx: &context::Context) -> Result<(), code::Code> {
    match cx.lifecycle.phase() {
        Phase::Starting => Err(code::Code::NotConfigured),
        Phase::Serving => freshness::check(cx),
        Phase::Draining | Phase::Stopped => Err(code::Code::Draining),
    }
}
