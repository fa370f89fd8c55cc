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
const LENGTH: Duration = Duration::from_secs(112);
/// Interval at which the platform fetches metrics while an incident is being examined.
const FETCH_INTERVAL: Duration = Duration::from_secs(5);
const CONNECTIONS: u32 = 32;
/// Requests that a client sends before it reads their answers.
const AHEAD: u32 = 4;

pub fn run(folder: &Path, has_trouble: bool, record: &mut record::Record) -> Verdict {
    let (store, address) = store::Store::start();
    engines::start_plain(&store, Duration::ZERO);
    let mut machine = program::Machine::start(folder, 1, address, MEMORY_MB);
    if !machine.wait_ready() {
        record.line("the machine did not become ready");
        return Verdict::NotRun;
    }
    let (answered, failed) = (Arc::<AtomicU64>::default(), Arc::<AtomicU64>::default());
    for connection in 0..CONNECTIONS {
        let (front, answered, failed) = (machine.front, answered.clone(), failed.clone());
        thread::spawn(move || send(front, connection, &answered, &failed));
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

fn send(front: SocketAddr, connection: u32, answered: &AtomicU64, failed: &AtomicU64) {
    let mut number = 0_u64;
    loop {
        let Ok(mut client) = http::Client::open(front) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        'open: loop {
            let mut requests = String::new();
            for _ in 0..AHEAD {
                number += 1;
                requests += &format!(
                    "GET /plain/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: {connection}-{number}\r\n\
                     deadline-milliseconds: 4000\r\napi-key: key1\r\n\r\n"
                );
            }
            if client.send(requests.as_bytes()).is_err() {
                break;
            }
            for _ in 0..AHEAD {
                match client.receive() {
                    Ok(answer) if answer.status() == 200 => {
                        answered.fetch_add(1, Ordering::Relaxed)
                    }
                    Ok(_) => failed.fetch_add(1, Ordering::Relaxed),
                    Err(_) => break 'open,
                };
            }
        }
    }
}
