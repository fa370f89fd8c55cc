//! Lifecycle of an instance: starting, serving, draining, stopped.

use std::future::Future;
use std::sync;

use damaskdrift_core::code;
use damaskdrift_core::shutdown;
use damaskdrift_core::time::Millis;
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
pub struct Signal {
    phase: watch::Sender<Phase>,
    /// Set once the instance drains, if it then has a deadline.
    shutdown: sync::OnceLock<shutdown::Plan>,
}

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
        Self { phase: watch::Sender::new(Phase::Starting), shutdown: sync::OnceLock::new() }
    }
}

impl Signal {
    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Waits until the instance is in `phase` or a later one.
    pub async fn reached(&self, phase: Phase) {
        let mut rx = self.phase.subscribe();
        // The sender lives as long as the context, so the wait cannot fail.
        let _ = rx.wait_for(|current| *current >= phase).await;
    }
}

impl<'a, S> Lifecycle<'a, S> {
    fn enter<T>(self, state: T, phase: Phase) -> Lifecycle<'a, T> {
        log::info!("instance is {phase}");
        self.signal.phase.send_replace(phase);
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
    /// Enters the draining phase; called when the instance is ordered to stop. `shutdown` is absent
    /// if the instance waits for all running requests.
    pub fn drain(self, shutdown: Option<shutdown::Plan>) -> Lifecycle<'a, Draining> {
        if let Some(plan) = shutdown {
            self.signal.shutdown.get_or_init(|| plan);
        }
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

/// Checks that a request may be sent to an upstream although the instance may drain: one that the
/// drain deadline could cut off is refused.
///
/// # Errors
///
/// Returns [`code::Code::Draining`] when another instance has to take the request.
pub fn check_drain(cx: &context::Context, may_run_again: bool) -> Result<(), code::Code> {
    let Some(plan) = cx.lifecycle.shutdown.get() else {
        return Ok(());
    };
    let limits = cx.limits.load();
    let timeouts = cx.upstreams.timeouts();
    let longest = Millis(limits.queue_timeout_ms)
        + Millis::from(timeouts.connect)
        + Millis::from(timeouts.response);
    let now = cx.now();
    let is_admitted = plan.admits(Some(now + longest), may_run_again, now);
    if is_admitted { Ok(()) } else { Err(code::Code::Draining) }
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
