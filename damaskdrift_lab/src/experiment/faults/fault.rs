//! Kinds of faults, and their injection into a running fleet.

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
use crate::experiment::faults::report::{Guarantee, Report};
use crate::harness::Fleet;
use crate::proxy::Mode;
use crate::standin::key_value;

/// Limit on the time until all instances are ready after a fault.
const READY_TIMEOUT: Duration = Duration::from_secs(40);
/// Limit on the time until a terminated instance exits.
const STOP_TIMEOUT: Duration = Duration::from_secs(40);
/// Time after which a failure domain that is out of service must get no new work.
const DOMAIN_OUT_GRACE: Duration = Duration::from_secs(3);
/// Time for which new work in that domain is counted, and the delay between two attempts to return
/// it to service.
const OBSERVATION_TIME: Duration = Duration::from_millis(900);
/// A planned stop is not checked for cut-off requests if an unplanned fault began less than this
/// before it.
const UNDISTURBED_TIME: Duration = Duration::from_secs(10);

/// A fault with the index of its target.
#[derive(Clone, Copy, Debug, Display, Eq, Ord, PartialEq, PartialOrd)]
pub enum Fault {
    /// An instance is killed and restarted.
    #[display("kill entry-{_0}")]
    Kill(usize),
    /// An instance is frozen for longer than the TTL of limit owners' leases, but not always for
    /// longer than that of the move driver's lease.
    #[display("pause entry-{_0}")]
    Pause(usize),
    /// An instance is terminated in a planned stop and restarted.
    #[display("stop entry-{_0}")]
    Stop(usize),
    /// An engine restarts without a drain.
    #[display("restart engine-{_0}")]
    RestartEngine(usize),
    /// The key-value service refuses all requests.
    #[display("key-value outage")]
    KeyValueOutage,
    /// The key-value service executes requests but drops some of its responses.
    #[display("key-value answers lost")]
    LoseKeyValueResponses,
    /// The key-value service delays its responses.
    #[display("key-value slow")]
    SlowKeyValue,
    /// The link between an instance and the key-value service is cut.
    #[display("cut entry-{_0} from the service")]
    CutKeyValue(usize),
    /// The links of an instance to its peers and the key-value service accept connections but
    /// forward nothing.
    #[display("isolate entry-{_0}")]
    Isolate(usize),
    /// The failure domain of an engine is taken out of service and returned.
    #[display("domain {_0} out")]
    DomainOut(usize),
}

/// A planned stop of an instance.
#[derive(Clone, Copy, Debug)]
pub struct Drain {
    /// Address of the instance's listener for callers.
    pub address: net::SocketAddr,
    /// Time of the termination signal.
    pub started_at: Instant,
    /// Time of the exit.
    pub ended_at: Instant,
}

/// Injects faults into a fleet and checks the guarantees on its instances and engines.
pub struct Injector<'a> {
    fleet: &'a mut Fleet,
    /// Cold-limit breaches that engines counted before they were restarted.
    cold_limit_breaches: u64,
    drains: Vec<Drain>,
    /// Start times of faults other than planned stops; these faults may cut requests off.
    unplanned_faults: Vec<(Instant, Fault)>,
}

#[derive(Deserialize)]
struct EngineStats {
    requests: u64,
    breaches: u64,
}

#[derive(Deserialize)]
struct Propagation {
    unconfirmed: Vec<String>,
}

impl Fault {
    /// Draws a fault and its target.
    pub fn draw(rng: &mut ChaCha8Rng, instances: usize, engines: usize) -> Self {
        let instance = rng.random_range(0..instances);
        let engine = rng.random_range(0..engines);
        match rng.random_range(0..10) {
            0 => Self::Kill(instance),
            1 => Self::Pause(instance),
            2 => Self::Stop(instance),
            3 => Self::RestartEngine(engine),
            4 => Self::KeyValueOutage,
            5 => Self::LoseKeyValueResponses,
            6 => Self::SlowKeyValue,
            7 => Self::CutKeyValue(instance),
            8 => Self::Isolate(instance),
            _ => Self::DomainOut(engine),
        }
    }

    /// Returns the name of the fault without its target.
    pub fn kind(self) -> &'static str {
        match self {
            Self::Kill(_) => "kill an instance",
            Self::Pause(_) => "pause an instance",
            Self::Stop(_) => "stop an instance as planned",
            Self::RestartEngine(_) => "restart an engine",
            Self::KeyValueOutage => "key-value outage",
            Self::LoseKeyValueResponses => "key-value answers lost",
            Self::SlowKeyValue => "key-value slow",
            Self::CutKeyValue(_) => "cut an instance from the service",
            Self::Isolate(_) => "isolate an instance",
            Self::DomainOut(_) => "take a domain out",
        }
    }

    /// Returns whether two faults act on the same process, link or setting.
    pub fn conflicts_with(self, other: Self) -> bool {
        let instance = |fault| match fault {
            Self::Kill(i) | Self::Pause(i) | Self::Stop(i) => Some(i),
            Self::CutKeyValue(i) | Self::Isolate(i) => Some(i),
            _ => None,
        };
        let is_key_value = |fault| {
            matches!(fault, Self::KeyValueOutage | Self::LoseKeyValueResponses | Self::SlowKeyValue)
        };
        let is_engine = |fault| matches!(fault, Self::RestartEngine(_) | Self::DomainOut(_));
        let is_same_instance = instance(self).is_some() && instance(self) == instance(other);
        is_same_instance
            || (is_key_value(self) && is_key_value(other))
            || (is_engine(self) && is_engine(other))
    }
}

impl<'a> Injector<'a> {
    /// Creates an injector for a running fleet.
    pub fn new(fleet: &'a mut Fleet) -> Self {
        Self { fleet, cold_limit_breaches: 0, drains: Vec::new(), unplanned_faults: Vec::new() }
    }

    /// Starts a fault and makes the checks that apply while it lasts.
    pub async fn inject(&mut self, fault: Fault, report: &mut Report) -> Result<(), Error> {
        if !matches!(fault, Fault::Stop(_)) {
            self.unplanned_faults.push((Instant::now(), fault));
        }
        match fault {
            Fault::Kill(i) => self.fleet.instances[i].process.kill(),
            Fault::Pause(i) => self.fleet.instances[i].process.freeze(),
            Fault::Stop(i) => self.stop_instance(i, report).await,
            Fault::RestartEngine(i) => {
                self.cold_limit_breaches += self.engine_stats(i).await?.breaches;
                self.fleet.engines[i].restart().await
            }
            Fault::KeyValueOutage => {
                self.set_key_value_fault(key_value::Fault { outage: true, ..Default::default() })
                    .await
            }
            Fault::LoseKeyValueResponses => {
                self.set_key_value_fault(key_value::Fault {
                    lose_answers: 0.3,
                    ..Default::default()
                })
                .await
            }
            Fault::SlowKeyValue => {
                self.set_key_value_fault(key_value::Fault { delay_ms: 300, ..Default::default() })
                    .await
            }
            Fault::CutKeyValue(i) => self.fleet.key_value_link(i).set_mode(Mode::CUT).await,
            Fault::Isolate(i) => self.fleet.set_isolation(i, Mode::BLACKHOLE).await,
            Fault::DomainOut(i) => self.take_domain_out(i, report).await,
        }
    }

    /// Ends a fault; a failure domain stays out of service until [`Injector::recover`].
    pub async fn clear(&mut self, fault: Fault) -> Result<(), Error> {
        match fault {
            Fault::Kill(i) | Fault::Stop(i) => self.fleet.instances[i].restart(),
            Fault::Pause(i) => self.fleet.instances[i].process.thaw(),
            Fault::RestartEngine(_) | Fault::DomainOut(_) => Ok(()),
            Fault::KeyValueOutage | Fault::LoseKeyValueResponses | Fault::SlowKeyValue => {
                self.set_key_value_fault(key_value::Fault::default()).await
            }
            Fault::CutKeyValue(i) => self.fleet.key_value_link(i).set_mode(Mode::PASS).await,
            Fault::Isolate(i) => self.fleet.set_isolation(i, Mode::PASS).await,
        }
    }

    /// Waits until all instances are ready, and returns failure domains to service.
    pub async fn recover(&mut self, faults: &[Fault], report: &mut Report) -> Result<(), Error> {
        self.fleet.wait_ready(READY_TIMEOUT).await?;
        report.check(Guarantee::Recovery, true, "");
        for fault in faults {
            let Fault::DomainOut(i) = fault else {
                continue;
            };
            while self.set_domain(*i, "in").await?.is_none() {
                time::sleep(OBSERVATION_TIME).await;
            }
        }
        Ok(())
    }

    /// Checks that the engines counted no requests above a cold limit.
    pub async fn check_cold_limits(&mut self, report: &mut Report) -> Result<(), Error> {
        for i in 0..self.fleet.engines.len() {
            self.cold_limit_breaches += self.engine_stats(i).await?.breaches;
        }
        let breaches = self.cold_limit_breaches;
        report.check(
            Guarantee::ColdLimit,
            breaches == 0,
            &format!("{breaches} requests above a cold limit"),
        );
        Ok(())
    }

    /// Returns the number of runs of each call, summed over the services.
    pub async fn run_counts(&self) -> Result<collections::BTreeMap<String, u64>, Error> {
        let mut sum = collections::BTreeMap::new();
        for service in &self.fleet.services {
            for (key, runs) in service.runs().await? {
                *sum.entry(key).or_default() += runs;
            }
        }
        Ok(sum)
    }

    /// Returns the planned stops without an unplanned fault during or shortly before them.
    pub fn undisturbed_drains(&self) -> Vec<Drain> {
        let is_undisturbed = |drain: &&Drain| {
            let from = drain.started_at - UNDISTURBED_TIME;
            !self.unplanned_faults.iter().any(|(at, _)| (from..drain.ended_at).contains(at))
        };
        self.drains.iter().filter(is_undisturbed).copied().collect()
    }

    async fn stop_instance(&mut self, i: usize, report: &mut Report) -> Result<(), Error> {
        let instance = &mut self.fleet.instances[i];
        let started_at = Instant::now();
        instance.process.terminate()?;
        let code = instance.process.wait(STOP_TIMEOUT).await?;
        let breach = format!("entry-{i} exited with {code}");
        report.check(Guarantee::PlannedStop, code == 0, &breach);
        let address = instance.listen.callers;
        self.drains.push(Drain { address, started_at, ended_at: Instant::now() });
        Ok(())
    }

    /// Takes the failure domain of an engine out of service and checks that the engine gets no new
    /// work, provided that every instance has confirmed the change or stopped serving.
    async fn take_domain_out(&mut self, i: usize, report: &mut Report) -> Result<(), Error> {
        let requested_at = Instant::now();
        let Some(propagation) = self.set_domain(i, "out").await? else {
            return Ok(());
        };
        time::sleep_until((requested_at + DOMAIN_OUT_GRACE).into()).await;
        if !propagation.unconfirmed.is_empty() {
            return Ok(());
        }
        let before = self.engine_stats(i).await?.requests;
        time::sleep(OBSERVATION_TIME).await;
        let new = self.engine_stats(i).await?.requests - before;
        let breach = format!("{new} requests to engine-{i} after its domain was out for 3 s");
        report.check(Guarantee::DomainOut, new == 0, &breach);
        Ok(())
    }

    /// Sets the state of an engine's failure domain, `in` or `out`, through the first instance that
    /// accepts the command.
    ///
    /// Returns `None` if none does or the fleet document cannot be read, which a pair of faults can
    /// cause.
    async fn set_domain(&self, i: usize, state: &str) -> Result<Option<Propagation>, Error> {
        // Instances and engines are distributed over the failure domains in the same order.
        let domain = &self.fleet.instances[i % self.fleet.instances.len()].failure_domain;
        for instance in &self.fleet.instances {
            let Ok((_, revision)) = self.fleet.document().await else {
                return Ok(None);
            };
            let path = format!("/v1/domains/{domain}/{state}?expected={revision}");
            let call = instance.operator_call(Method::POST, &path);
            let Ok(response) = instance.send(call.with_timeout(Duration::from_secs(8))).await
            else {
                continue;
            };
            if response.status == 200 || response.status == 202 {
                return Ok(Some(response.json()?));
            }
        }
        Ok(None)
    }

    async fn set_key_value_fault(&self, fault: key_value::Fault) -> Result<(), Error> {
        self.fleet.key_value.set_fault(&fault).await
    }

    async fn engine_stats(&self, i: usize) -> Result<EngineStats, Error> {
        self.fleet.engines[i].stats().await
    }
}
