//! Faults and how they begin and end.

use std::collections;
use std::net;
use std::time::{Duration, Instant};

use derive_more::Display;
use hyper::Method;
use rand::RngExt as _;
use rand_chacha::ChaCha8Rng;
use serde::Deserialize;
use tokio::time;

use crate::error::Error;
use crate::experiment::faults::verdict::{Guarantee, Verdict};
use crate::harness::Fleet;
use crate::proxy::Mode;
use crate::standin::key_value;

/// Longest time until an instance is ready again, and until one that was told to stop has ended.
const READY_LIMIT: Duration = Duration::from_secs(40);
const STOP_LIMIT: Duration = Duration::from_secs(40);
/// Time after which a domain that is out must get no new work, and for which that is checked.
const GRACE: Duration = Duration::from_secs(3);
const WATCH_TIME: Duration = Duration::from_millis(900);

/// A fault of one round.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// An instance is killed and starts again.
    #[display("kill entry-{_0}")]
    Kill(usize),
    /// An instance pauses for longer than its leases last.
    #[display("pause entry-{_0}")]
    Pause(usize),
    /// An instance is stopped as planned and starts again.
    #[display("stop entry-{_0}")]
    Stop(usize),
    /// An engine restarts without notice.
    #[display("restart engine-{_0}")]
    RestartEngine(usize),
    /// The key-value service is out.
    #[display("key-value outage")]
    Outage,
    /// Answers of the key-value service get lost after the effect.
    #[display("key-value answers lost")]
    LoseAnswers,
    /// The key-value service is slow.
    #[display("key-value slow")]
    SlowService,
    /// An instance cannot reach the key-value service.
    #[display("cut entry-{_0} from the service")]
    CutService(usize),
    /// An instance cannot reach its peers or the key-value service.
    #[display("isolate entry-{_0}")]
    Isolate(usize),
    /// A failure domain is taken out and back in.
    #[display("domain {_0} out")]
    DomainOut(usize),
}

/// A stop as planned, with the time for which the instance accepted callers.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// The callers' listener of the instance.
    pub address: net::SocketAddr,
    /// When it was told to stop.
    pub begun: Instant,
    /// When it ended.
    pub ended: Instant,
}

/// The fleet with what the faults did to it.
pub struct Scene<'a> {
    fleet: &'a mut Fleet,
    breaches: u64,
    drains: Vec<Drain>,
    /// When a fault that may cut requests off began.
    other_faults: Vec<(Instant, Fault)>,
}

#[derive(Deserialize)]
struct EngineStats {
    requests: u64,
    breaches: u64,
}

#[derive(Deserialize)]
struct Spread {
    unconfirmed: Vec<String>,
}

impl Fault {
    /// Draws a fault.
    pub fn draw(rng: &mut ChaCha8Rng, instances: usize, engines: usize) -> Self {
        let instance = rng.random_range(0..instances);
        let engine = rng.random_range(0..engines);
        match rng.random_range(0..10) {
            0 => Self::Kill(instance),
            1 => Self::Pause(instance),
            2 => Self::Stop(instance),
            3 => Self::RestartEngine(engine),
            4 => Self::Outage,
            5 => Self::LoseAnswers,
            6 => Self::SlowService,
            7 => Self::CutService(instance),
            8 => Self::Isolate(instance),
            _ => Self::DomainOut(engine),
        }
    }

    /// Returns the name without the target.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Kill(_) => "kill an instance",
            Self::Pause(_) => "pause an instance",
            Self::Stop(_) => "stop an instance as planned",
            Self::RestartEngine(_) => "restart an engine",
            Self::Outage => "key-value outage",
            Self::LoseAnswers => "key-value answers lost",
            Self::SlowService => "key-value slow",
            Self::CutService(_) => "cut an instance from the service",
            Self::Isolate(_) => "isolate an instance",
            Self::DomainOut(_) => "take a domain out",
        }
    }

    /// Returns whether two faults act on the same process, link or setting.
    pub fn conflicts(self, other: Self) -> bool {
        let instance = |fault| match fault {
            Self::Kill(i) | Self::Pause(i) | Self::Stop(i) => Some(i),
            Self::CutService(i) | Self::Isolate(i) => Some(i),
            _ => None,
        };
        let is_service =
            |fault| matches!(fault, Self::Outage | Self::LoseAnswers | Self::SlowService);
        let is_engine = |fault| matches!(fault, Self::RestartEngine(_) | Self::DomainOut(_));
        let is_same_instance = instance(self).is_some() && instance(self) == instance(other);
        is_same_instance
            || (is_service(self) && is_service(other))
            || (is_engine(self) && is_engine(other))
    }
}

impl<'a> Scene<'a> {
    /// Creates the scene of a running fleet.
    pub fn new(fleet: &'a mut Fleet) -> Self {
        Self { fleet, breaches: 0, drains: Vec::new(), other_faults: Vec::new() }
    }

    /// Begins a fault.
    pub async fn begin(&mut self, fault: Fault, verdict: &mut Verdict) -> Result<(), Error> {
        if !matches!(fault, Fault::Stop(_)) {
            self.other_faults.push((Instant::now(), fault));
        }
        match fault {
            Fault::Kill(i) => self.fleet.instances[i].process.kill(),
            Fault::Pause(i) => self.fleet.instances[i].process.freeze(),
            Fault::Stop(i) => self.stop(i, verdict).await,
            Fault::RestartEngine(i) => {
                self.breaches += self.engine(i).await?.breaches;
                self.fleet.engines[i].restart().await
            }
            Fault::Outage => {
                self.set(key_value::Fault { outage: true, ..Default::default() }).await
            }
            Fault::LoseAnswers => {
                self.set(key_value::Fault { lose_answers: 0.3, ..Default::default() }).await
            }
            Fault::SlowService => {
                self.set(key_value::Fault { delay_ms: 300, ..Default::default() }).await
            }
            Fault::CutService(i) => self.fleet.key_value_link(i).set_mode(Mode::CUT).await,
            Fault::Isolate(i) => self.fleet.set_isolation(i, Mode::BLACKHOLE).await,
            Fault::DomainOut(i) => self.take_out(i, verdict).await,
        }
    }

    /// Ends a fault.
    pub async fn end(&mut self, fault: Fault) -> Result<(), Error> {
        match fault {
            Fault::Kill(i) | Fault::Stop(i) => self.fleet.instances[i].restart(),
            Fault::Pause(i) => self.fleet.instances[i].process.thaw(),
            Fault::RestartEngine(_) | Fault::DomainOut(_) => Ok(()),
            Fault::Outage | Fault::LoseAnswers | Fault::SlowService => {
                self.set(key_value::Fault::default()).await
            }
            Fault::CutService(i) => self.fleet.key_value_link(i).set_mode(Mode::PASS).await,
            Fault::Isolate(i) => self.fleet.set_isolation(i, Mode::PASS).await,
        }
    }

    /// Waits until the fleet is whole again after faults that have ended, and takes domains back in.
    pub async fn recover(&mut self, faults: &[Fault], verdict: &mut Verdict) -> Result<(), Error> {
        self.fleet.wait_ready(READY_LIMIT).await?;
        verdict.check(Guarantee::Recovery, true, "");
        for fault in faults {
            let Fault::DomainOut(i) = fault else {
                continue;
            };
            while self.set_domain(*i, "in").await?.is_none() {
                time::sleep(WATCH_TIME).await;
            }
        }
        Ok(())
    }

    /// Checks what the engines counted until the end.
    pub async fn finish(&mut self, verdict: &mut Verdict) -> Result<(), Error> {
        for i in 0..self.fleet.engines.len() {
            self.breaches += self.engine(i).await?.breaches;
        }
        let breaches = self.breaches;
        verdict.check(
            Guarantee::ColdLimit,
            breaches == 0,
            &format!("{breaches} requests above a cold limit"),
        );
        Ok(())
    }

    /// Returns how often the services ran each call.
    pub async fn runs(&self) -> Result<collections::BTreeMap<String, u64>, Error> {
        let mut sum = collections::BTreeMap::new();
        for service in &self.fleet.services {
            for (key, runs) in service.runs().await? {
                *sum.entry(key).or_default() += runs;
            }
        }
        Ok(sum)
    }

    /// Returns the planned stops during which there was no other fault.
    pub fn drains(&self) -> Vec<Drain> {
        let is_alone = |drain: &&Drain| {
            let from = drain.begun - Duration::from_secs(10);
            !self.other_faults.iter().any(|(at, _)| (from..drain.ended).contains(at))
        };
        self.drains.iter().filter(is_alone).copied().collect()
    }

    async fn stop(&mut self, i: usize, verdict: &mut Verdict) -> Result<(), Error> {
        let instance = &mut self.fleet.instances[i];
        let begun = Instant::now();
        instance.process.terminate()?;
        let code = instance.process.wait(STOP_LIMIT).await?;
        let message = format!("entry-{i} exited with {code}");
        verdict.check(Guarantee::PlannedStop, code == 0, &message);
        let address = instance.listen.callers;
        self.drains.push(Drain { address, begun, ended: Instant::now() });
        Ok(())
    }

    /// Takes the domain of an engine out and checks that the engine gets no new work. The check
    /// applies if every instance has confirmed or stopped.
    async fn take_out(&mut self, i: usize, verdict: &mut Verdict) -> Result<(), Error> {
        let asked = Instant::now();
        let Some(spread) = self.set_domain(i, "out").await? else {
            return Ok(());
        };
        time::sleep_until((asked + GRACE).into()).await;
        if !spread.unconfirmed.is_empty() {
            return Ok(());
        }
        let before = self.engine(i).await?.requests;
        time::sleep(WATCH_TIME).await;
        let new = self.engine(i).await?.requests - before;
        let message = format!("{new} requests to engine-{i} after its domain was out for 3 s");
        verdict.check(Guarantee::DomainOut, new == 0, &message);
        Ok(())
    }

    /// Sends the command to an instance that answers; none may in a double fault.
    async fn set_domain(&self, i: usize, state: &str) -> Result<Option<Spread>, Error> {
        let domain = &self.fleet.instances[i % self.fleet.instances.len()].failure_domain;
        for instance in &self.fleet.instances {
            let Ok((_, revision)) = self.fleet.document().await else {
                return Ok(None);
            };
            let path = format!("/v1/domains/{domain}/{state}?expected={revision}");
            let call = instance.operator_call(Method::POST, &path);
            let Ok(answer) = instance.send(call.with_timeout(Duration::from_secs(8))).await else {
                continue;
            };
            if answer.status == 200 || answer.status == 202 {
                return Ok(Some(answer.json()?));
            }
        }
        Ok(None)
    }

    async fn set(&self, fault: key_value::Fault) -> Result<(), Error> {
        self.fleet.key_value.set_fault(&fault).await
    }

    async fn engine(&self, i: usize) -> Result<EngineStats, Error> {
        self.fleet.engines[i].stats().await
    }
}
