//! Tests of the choice of an upstream in fleets whose instances learn each other's load late.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::collections::{BTreeSet, VecDeque};

use damaskdrift_core::balance;
use damaskdrift_core::id;
use damaskdrift_core::prefix_cache;
use damaskdrift_core::rollout;
use damaskdrift_core::routing;
use damaskdrift_core::time::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const SERVERS: usize = 6;
const SLOTS: usize = 6;
const QUEUE: usize = 24;
/// Mean time that a server works on a request, in milliseconds.
const WORK_MS: f64 = 30.0;
/// Interval of load reports in milliseconds.
const REPORT_MS: u64 = 50;

/// A plain server that runs a few requests at once, queues some and rejects the others.
#[derive(Default)]
struct Server {
    /// End times of running requests, with the instance that sent each.
    running: Vec<(u64, usize)>,
    queued: VecDeque<usize>,
}

struct Fleet {
    service: routing::Service,
    instances: Vec<balance::Upstreams>,
    servers: Vec<Server>,
    /// Requests in flight by server and instance, at each report.
    reports: VecDeque<Vec<Vec<u32>>>,
    rng: ChaCha8Rng,
}

impl Fleet {
    fn new(instances: usize, seed: u64) -> Self {
        let service = routing::Service {
            id: id::Service::new("desk"),
            connections: 1_800,
            cold_start: routing::ColdStart { duration: Millis(0), max_requests_per_s: 0.0 },
            engine: None,
        };
        let mut all = Vec::new();
        for _ in 0..instances {
            let mut upstreams = balance::Upstreams::default();
            for index in 0..SERVERS {
                upstreams.install(record(index), Millis(0), Millis(0));
            }
            all.push(upstreams);
        }
        Self {
            service,
            instances: all,
            servers: (0..SERVERS).map(|_| Server::default()).collect(),
            reports: VecDeque::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
        }
    }

    /// Returns the requests in flight by server and instance.
    fn in_flight(&self) -> Vec<Vec<u32>> {
        let mut all = vec![vec![0; self.instances.len()]; SERVERS];
        for (server, counts) in self.servers.iter().zip(&mut all) {
            for (_, instance) in &server.running {
                counts[*instance] += 1;
            }
            for instance in &server.queued {
                counts[*instance] += 1;
            }
        }
        all
    }

    /// Applies the load as it was `delay` reports ago, as relays would report it.
    fn report(&mut self, delay: usize, now: Millis) {
        self.reports.push_back(self.in_flight());
        if self.reports.len() <= delay {
            return;
        }
        let Some(seen) = self.reports.pop_front() else {
            return;
        };
        for (index, upstreams) in self.instances.iter_mut().enumerate() {
            let mut loads = Vec::new();
            for (server, counts) in seen.iter().enumerate() {
                let others = counts.iter().sum::<u32>() - counts[index];
                let load = balance::Load { in_flight: others, ..balance::Load::default() };
                loads.push((upstream_id(server), load));
            }
            upstreams.set_report(balance::Reporter::Others, loads, now);
        }
    }

    /// Sends a request from an instance and returns whether the server accepted it.
    fn send(&mut self, instance: usize, now: Millis) -> bool {
        let domain = id::FailureDomain::new("a");
        let own_id = id::Instance::new(&format!("i{instance}"));
        let out_of_service = BTreeSet::new();
        let req = balance::Requirements {
            service: &self.service,
            model: None,
            old_weights_limit: Millis(0),
            cache_scope: prefix_cache::Scope::default(),
            tokens: 0,
            segments: &[],
            fetch_time: None,
            tried: &[],
            software: rollout::Selection::Any,
            prefill_limit: None,
        };
        let cx = balance::Context {
            domain: &domain,
            out_of_service: &out_of_service,
            instance_count: u32::try_from(self.instances.len()).unwrap(),
            own_id: &own_id,
            registered: &[],
            is_load_delayed: true,
        };
        let (chosen, _) = self.instances[instance].choose(&req, &cx, now, &mut self.rng).unwrap();
        let index: usize = chosen.as_str()[1..].parse().unwrap();
        let server = &mut self.servers[index];
        if server.running.len() + server.queued.len() >= SLOTS + QUEUE {
            return false;
        }
        server.queued.push_back(instance);
        let request = balance::InFlightRequest { tokens: 0, pending_prefill: 0 };
        self.instances[instance].get_mut(&chosen).unwrap().begin_request(&request, now);
        true
    }

    /// Ends finished requests and starts queued ones.
    fn work(&mut self, now: Millis) {
        for (index, server) in self.servers.iter_mut().enumerate() {
            for position in (0..server.running.len()).rev() {
                let (ends_at, instance) = server.running[position];
                if ends_at > now.0 {
                    continue;
                }
                server.running.swap_remove(position);
                let mut request = balance::InFlightRequest { tokens: 0, pending_prefill: 0 };
                let upstream = self.instances[instance].get_mut(&upstream_id(index)).unwrap();
                upstream.end_request(&mut request);
            }
            while server.running.len() < SLOTS {
                let Some(instance) = server.queued.pop_front() else {
                    break;
                };
                let work_ms = -WORK_MS * self.rng.random_range(f64::MIN_POSITIVE..1.0).ln();
                server.running.push((now.0 + work_ms.ceil() as u64, instance));
            }
        }
    }
}

fn upstream_id(index: usize) -> id::Upstream {
    id::Upstream::new(&format!("u{index}"))
}

fn record(index: usize) -> balance::Record {
    balance::Record {
        id: upstream_id(index),
        service: id::Service::new("desk"),
        address: "127.0.0.1:8080".parse().unwrap(),
        domain: id::FailureDomain::new("a"),
        software: id::Software::new("s1"),
        slots: u32::try_from(SLOTS).unwrap(),
        is_draining: false,
        cold_remaining: Millis(0),
        started_at: Some(1),
        weights: Vec::new(),
        order_sequence: 0,
    }
}

/// Guards against instances that all send to the server which an old report shows as the least
/// loaded: it rejects them while the others have room. Load pattern: a few plain servers behind
/// hundreds of instances, which learn each other's load 100 to 150 ms late, at 56% of the servers'
/// capacity.
#[rstest]
#[case(30)]
#[case(295)]
#[case(1_000)]
fn late_reports_do_not_crowd_one_server(#[case] instances: usize) {
    let mut fleet = Fleet::new(instances, 7);
    let (mut sent, mut rejected) = (0, 0);
    for ms in 1..=10_000_u64 {
        let now = Millis(ms);
        fleet.work(now);
        if ms % REPORT_MS == 0 {
            fleet.report(2, now);
        }
        // 668 requests a second.
        if fleet.rng.random_bool(0.668) {
            let instance = fleet.rng.random_range(0..instances);
            sent += 1;
            rejected += usize::from(!fleet.send(instance, now));
        }
    }
    assert!(sent > 6_000);
    assert!(rejected * 1_000 <= sent, "{rejected} of {sent} rejected while other servers had room");
}
