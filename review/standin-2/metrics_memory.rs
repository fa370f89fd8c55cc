//! Ordinary requests, whose delays the program collects for its metrics until these are fetched.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Verdict, engines, http, program, record, store};

/// Memory of the smallest machines of `grown/oradea-spargere-grown.toml`.
const MEMORY_MB: u64 = 88;
const LENGTH: Duration = Duration::from_secs(116);
/// Interval at which the platform fetches metrics while an incident is being examined.
const FETCH_INTERVAL: Duration = Duration::from_secs(5);
/// Smaller headers than elsewhere and no keys, so that the program serves more requests a second.
const PLAIN: engines::Plain = engines::Plain { header_bytes: 4_096, is_anonymous: true };
/// Connections of the callers that send most of the requests, and the requests that they send before
/// they read the answers.
const BUSY_CONNECTIONS: u32 = 16;
const AHEAD: u32 = 64;
/// Connections that other callers keep open, and threads that serve these callers.
const KEPT_CONNECTIONS: u32 = 1_300;
const KEPT_THREADS: u32 = 20;
/// Pause between two requests on a kept connection.
const KEPT_PAUSE: Duration = Duration::from_secs(9);

pub fn run(folder: &Path, has_trouble: bool, record: &mut record::Record) -> Verdict {
    let (store, address) = store::Store::start();
    engines::start_plain(&store, &PLAIN, Duration::ZERO);
    let mut machine = program::Machine::start(folder, 1, address, MEMORY_MB);
    if !machine.wait_ready() {
        record.line("the machine did not become ready");
        return Verdict::NotRun;
    }
    let (answered, failed) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
    for connection in 0..BUSY_CONNECTIONS {
        let (front, answered, failed) = (machine.front, answered.clone(), failed.clone());
        thread::spawn(move || send_busy(front, connection, &answered, &failed));
    }
    for number in 0..KEPT_THREADS {
        let (front, answered, failed) = (machine.front, answered.clone(), failed.clone());
        thread::spawn(move || send_kept(front, number, &answered, &failed));
    }
    let started_at = Instant::now();
    let (mut fetched_at, mut reported_s) = (started_at, 0);
    let mut highest_kb = 0;
    while started_at.elapsed() < LENGTH {
        thread::sleep(Duration::from_millis(200));
        let memory_kb = machine.memory_kb();
        highest_kb = highest_kb.max(memory_kb);
        let elapsed_s = started_at.elapsed().as_secs();
        if !has_trouble && fetched_at.elapsed() >= FETCH_INTERVAL {
            fetched_at = Instant::now();
            if http::get(machine.metrics, "/metrics").is_err() {
                record.line("the metrics could not be fetched");
            }
        }
        if elapsed_s >= reported_s + 5 {
            reported_s = elapsed_s;
            record.line(&format!(
                "{elapsed_s} s: answered {}, failed {}, memory {memory_kb} kB, limit {} kB",
                answered.load(Ordering::Relaxed),
                failed.load(Ordering::Relaxed),
                MEMORY_MB * 1_024
            ));
        }
        if machine.has_ended() || memory_kb > MEMORY_MB * 1_024 {
            record.line(&format!(
                "{elapsed_s} s: the process ends; its memory: {memory_kb} kB; answered {}",
                answered.load(Ordering::Relaxed)
            ));
            return Verdict::Broken;
        }
    }
    record.line(&format!("highest memory {highest_kb} kB"));
    Verdict::Held
}

/// Sends requests on one connection without a pause, a batch ahead each time.
fn send_busy(front: SocketAddr, connection: u32, answered: &AtomicU64, failed: &AtomicU64) {
    let mut client = None;
    for number in 0_u64.. {
        exchange(front, &mut client, &format!("b{connection}-{number}"), AHEAD, answered, failed);
    }
}

/// Sends requests on a share of the kept connections, one on each in turn.
fn send_kept(front: SocketAddr, thread: u32, answered: &AtomicU64, failed: &AtomicU64) {
    let count = KEPT_CONNECTIONS / KEPT_THREADS;
    let mut clients: Vec<_> = (0..count).map(|_| None).collect();
    for number in 0_u64.. {
        for (index, client) in clients.iter_mut().enumerate() {
            let id = format!("k{thread}-{index}-{number}");
            exchange(front, client, &id, 1, answered, failed);
            // The first round opens the connections within a second.
            thread::sleep(if number == 0 { KEPT_PAUSE / 10 } else { KEPT_PAUSE } / count);
        }
    }
}

/// Sends a batch of requests and reads the answers; a connection that has ended is opened again.
fn exchange(
    front: SocketAddr,
    client: &mut Option<http::Client>,
    id: &str,
    count: u32,
    answered: &AtomicU64,
    failed: &AtomicU64,
) {
    if client.is_none() {
        *client = http::Client::open(front).ok();
    }
    let Some(open) = client else {
        failed.fetch_add(1, Ordering::Relaxed);
        thread::sleep(Duration::from_millis(100));
        return;
    };
    let mut requests = String::new();
    for part in 0..count {
        requests += &format!(
            "GET /plain/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: {id}-{part}\r\n\
             deadline-milliseconds: 4000\r\n\r\n"
        );
    }
    let mut is_open = open.send(requests.as_bytes()).is_ok();
    for _ in 0..count {
        let answer = open.receive();
        let counter = match &answer {
            Ok(answer) if answer.status() == 200 => answered,
            _ => failed,
        };
        counter.fetch_add(1, Ordering::Relaxed);
        is_open &= answer.is_ok();
        if !is_open {
            break;
        }
    }
    if !is_open {
        *client = None;
    }
}
