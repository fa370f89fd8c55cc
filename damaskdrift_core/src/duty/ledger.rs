//! Numbers of requests that upstreams began, by window and workspace, of all instances.
//!
//! All counts are cumulative by window and only rise, so a lost, repeated or late report changes
//! nothing. Counts of an instance that ended are kept.

use std::collections::BTreeMap;

use crate::id;
use crate::time::{Millis, UnixMillis};

/// Time after which a process without counts is forgotten.
const PROCESS_TTL: Millis = Millis(60_000);

/// Requests of one window by workspace.
pub type WindowCounts = BTreeMap<id::Workspace, u64>;
/// Requests by window and workspace.
pub type Counts = BTreeMap<u64, WindowCounts>;

/// One run of an instance. A restarted instance counts from zero under a new boot id.
#[derive(Clone, Debug, Eq, Ord, PartialEq, PartialOrd)]
pub struct Process {
    /// Name of the instance.
    pub instance: id::Instance,
    /// Random number that the process draws when it starts.
    pub boot: u64,
}

/// Counts from one source.
#[derive(Clone, Debug, Default)]
struct Source {
    counts: Counts,
    /// True time up to which the counts are complete.
    complete_until: UnixMillis,
}

/// Counts of one failure domain.
#[derive(Clone, Debug, Default)]
struct Domain {
    processes: BTreeMap<Process, Source>,
    /// The sum that relays of the domain report. It may include instances that this instance does
    /// not hear of, and the other way round.
    sum: Source,
}

/// Counts of this instance and of all that it hears of.
#[derive(Clone, Debug)]
pub struct Ledger {
    own_domain: id::FailureDomain,
    own: Process,
    domains: BTreeMap<id::FailureDomain, Domain>,
    /// First window in which the fleet may have run from the beginning.
    first_window: u64,
    /// Last window that is settled; earlier windows get no more counts.
    settled: Option<u64>,
}

impl Source {
    /// Raises each count to the reported one.
    fn raise(&mut self, counts: &Counts, complete_until: UnixMillis, settled: Option<u64>) {
        for (window, reported) in counts {
            if settled.is_some_and(|settled| *window <= settled) {
                continue;
            }
            let known = self.counts.entry(*window).or_default();
            for (workspace, count) in reported {
                let known = known.entry(workspace.clone()).or_default();
                *known = (*known).max(*count);
            }
        }
        // The latest value counts: an earlier one may come from a clock that was wrong.
        self.complete_until = complete_until;
    }
}

impl Domain {
    /// Returns the counts of a window: for each workspace the sum over the processes or the reported
    /// sum, whichever is higher, since neither counts a request twice.
    fn window(&self, window: u64) -> WindowCounts {
        let mut counts = WindowCounts::new();
        for source in self.processes.values() {
            for (workspace, count) in source.counts.get(&window).into_iter().flatten() {
                *counts.entry(workspace.clone()).or_default() += count;
            }
        }
        for (workspace, count) in self.sum.counts.get(&window).into_iter().flatten() {
            let known = counts.entry(workspace.clone()).or_default();
            *known = (*known).max(*count);
        }
        counts
    }

    fn windows(&self) -> impl Iterator<Item = u64> {
        let sources = self.processes.values().chain([&self.sum]);
        sources.flat_map(|source| source.counts.keys().copied())
    }

    fn heard_until(&self, instance: &id::Instance) -> UnixMillis {
        let first = Process { instance: instance.clone(), boot: 0 };
        let runs = self.processes.range(first..);
        let runs = runs.take_while(|(process, _)| process.instance == *instance);
        runs.map(|(_, source)| source.complete_until).max().unwrap_or_default()
    }
}

impl Ledger {
    /// Creates the ledger of a process; `first_window` is the first window that begins after its
    /// start.
    pub fn new(own_domain: id::FailureDomain, own: Process, first_window: u64) -> Self {
        Self { own_domain, own, domains: BTreeMap::new(), first_window, settled: None }
    }

    /// Counts a request of this instance. Returns `false` if the window is settled already.
    pub fn record(&mut self, workspace: &id::Workspace, window: u64) -> bool {
        if self.settled.is_some_and(|settled| window <= settled) {
            return false;
        }
        let domain = self.domains.entry(self.own_domain.clone()).or_default();
        let source = domain.processes.entry(self.own.clone()).or_default();
        *source.counts.entry(window).or_default().entry(workspace.clone()).or_default() += 1;
        true
    }

    /// Applies the report of a process on itself.
    pub fn set_process_report(
        &mut self,
        domain: id::FailureDomain,
        process: Process,
        counts: &Counts,
        complete_until: UnixMillis,
    ) {
        if process == self.own {
            return;
        }
        let domain = self.domains.entry(domain).or_default();
        domain.processes.entry(process).or_default().raise(counts, complete_until, self.settled);
    }

    /// Applies the report of a relay on its failure domain.
    pub fn set_domain_report(
        &mut self,
        domain: id::FailureDomain,
        counts: &Counts,
        complete_until: UnixMillis,
    ) {
        self.domains.entry(domain).or_default().sum.raise(counts, complete_until, self.settled);
    }

    /// Returns the counts of this process.
    pub fn own_counts(&self) -> Counts {
        let domain = self.domains.get(&self.own_domain);
        let source = domain.and_then(|domain| domain.processes.get(&self.own));
        source.map(|source| source.counts.clone()).unwrap_or_default()
    }

    /// Returns the counts of this instance's failure domain.
    pub fn domain_counts(&self) -> Counts {
        let Some(domain) = self.domains.get(&self.own_domain) else {
            return Counts::new();
        };
        let mut counts = Counts::new();
        for window in domain.windows() {
            counts.entry(window).or_insert_with(|| domain.window(window));
        }
        counts
    }

    /// Returns the counts of all failure domains in a window.
    pub fn total(&self, window: u64) -> WindowCounts {
        let mut total = WindowCounts::new();
        for domain in self.domains.values() {
            for (workspace, count) in domain.window(window) {
                *total.entry(workspace).or_default() += count;
            }
        }
        total
    }

    /// Returns the true time up to which the counts of this failure domain are complete, given its
    /// registered instances.
    pub fn domain_complete_until<'a>(
        &self,
        instances: impl Iterator<Item = &'a id::Instance>,
        now: UnixMillis,
    ) -> UnixMillis {
        let others = instances.filter(|instance| **instance != self.own.instance);
        let domain = self.domains.get(&self.own_domain);
        let heard_until =
            |id: &id::Instance| domain.map(|domain| domain.heard_until(id)).unwrap_or_default();
        others.map(heard_until).min().unwrap_or(now).min(now)
    }

    /// Returns the true time up to which all counts are complete, given the registered instances
    /// with their failure domains.
    pub fn complete_until<'a>(
        &self,
        registered: impl Iterator<Item = (&'a id::Instance, &'a id::FailureDomain)>,
        now: UnixMillis,
    ) -> UnixMillis {
        let mut by_domain: BTreeMap<&id::FailureDomain, UnixMillis> = BTreeMap::new();
        for (instance, domain) in registered {
            let known = self.domains.get(domain);
            let until = match known {
                _ if *instance == self.own.instance => now,
                Some(known) => known.heard_until(instance),
                None => UnixMillis::default(),
            };
            let least = by_domain.entry(domain).or_insert(now);
            *least = (*least).min(until);
        }
        let mut complete_until = now;
        for (domain, until) in by_domain {
            let sum = self.domains.get(domain).map(|known| known.sum.complete_until);
            complete_until = complete_until.min(until.max(sum.unwrap_or_default()));
        }
        complete_until
    }

    /// Returns the first window in which the fleet may have run from the beginning, as far as known.
    pub fn first_window(&self) -> u64 {
        self.first_window
    }

    /// Applies the first window that another instance knows of.
    pub fn record_first_window(&mut self, window: u64) {
        self.first_window = self.first_window.min(window);
    }

    /// Returns the first window with a count.
    pub fn first_counted(&self) -> Option<u64> {
        self.domains.values().flat_map(Domain::windows).min()
    }

    /// Drops the counts of windows up to a settled one, and processes that are long gone.
    pub fn settle(&mut self, window: u64, now: UnixMillis) {
        self.settled = self.settled.max(Some(window));
        for domain in self.domains.values_mut() {
            for source in domain.processes.values_mut().chain([&mut domain.sum]) {
                source.counts.retain(|counted, _| *counted > window);
            }
            domain.processes.retain(|_, source| {
                let silent_ms = now.0.saturating_sub(source.complete_until.0);
                !source.counts.is_empty() || silent_ms < PROCESS_TTL.0
            });
        }
    }
}
