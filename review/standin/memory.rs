//! LOST: consumers send large bodies, and for a moment more of them come than usual.

use std::collections::BTreeSet;
use std::fs;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::{self, Connection};
use crate::program::{self, Instance};
use crate::record::Record;
use crate::store::Store;

/// `memory-mb` of the settings. A process that exceeds it is killed by the platform.
const MEMORY_MB: u64 = 110;
/// `body-bytes` of the desired state, which a body may have at most.
const BODY_BYTES: usize = 4_194_304;
/// Consumers at once on a usual day, and in a burst of 1.7 times as many, the site's dose.
const USUAL: usize = 15;
const BURST: usize = 25;
/// Time between the first large requests of two consumers, so that they do not come at one instant.
const STAGGER: Duration = Duration::from_millis(10);
/// Requests of each consumer, one after the other.
const ROUNDS: usize = 3;
/// Time of the server's work on a request: within the sheet's largest, 450 ms.
const WORK: Duration = Duration::from_millis(400);
/// The rule allows so many requests that were passed on and not answered.
const ALLOWED: usize = 3;

const CONFIG: &str = r#"{"version": 1,
"routes": [{"name": "release", "host": "mill.example", "path-prefix": "/release/", "kind": "unsafe",
 "service": "lot-ledger", "timeout-ms": 2000, "target-latency-ms": 300, "attempts": 1, "priority": 2}],
"services": [{"name": "lot-ledger", "connection-limit": 110, "health-check-path": "/health"}],
"limits": {"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
"tenants": [{"name": "mill", "api-keys": ["key-of-mill"]}]}"#;

/// Returns the memory of a process in kB, or `None` if it has ended.
fn resident_kb(process: u32) -> Option<u64> {
    let status = fs::read_to_string(format!("/proc/{process}/status")).ok()?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"))?;
    line.split_whitespace().nth(1)?.parse().ok()
}

fn request(id: &str, body_bytes: usize) -> Vec<u8> {
    let head = format!(
        "POST /release/lot HTTP/1.1\r\nHost: mill.example\r\nRequest-Id: {id}\r\n\
         Deadline-Milliseconds: 4000\r\nApi-Key: key-of-mill\r\nContent-Length: {body_bytes}\r\n\r\n"
    );
    let mut bytes = head.into_bytes();
    bytes.resize(bytes.len() + body_bytes, b'x');
    bytes
}

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start(program::listen());
    let listener = program::listen();
    let server = listener.local_addr().expect("the listener is bound");
    let begun = Arc::new(Mutex::new(BTreeSet::new()));
    let runs = begun.clone();
    http::serve(listener, move |conn, message| {
        let id = message.header("request-id").to_owned();
        runs.lock().expect("no thread panics with the lock").insert(id.clone());
        thread::sleep(WORK);
        let headers =
            [("Request-Id", id.as_str()), ("Server-Stamp", "stamp"), ("Instance-Id", "i-1")];
        conn.write(&http::response(200, &headers, b"booked")).is_ok()
    });
    store.put("op/config", CONFIG);
    store.put(
        "servers/i-1",
        &format!(
            r#"{{"service": "lot-ledger", "address": "{server}", "zone": "hala-spargere", "version": "v1", "slots": 24,
"state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": 1700000000000}}"#
        ),
    );
    let Some(instance) = Instance::start(1, store.address, work) else {
        return Verdict::NotRun("the instance did not start".to_owned());
    };
    if !instance.wait_until_ready() {
        return Verdict::NotRun("the instance did not become ready".to_owned());
    }
    let count = if has_trouble { BURST } else { USUAL };
    let mut conns = Vec::new();
    for number in 0..count {
        let Ok(mut conn) = Connection::open(instance.front) else {
            return Verdict::NotRun("a consumer could not connect".to_owned());
        };
        let is_sent = conn.write(&request(&format!("first-{number}"), 4)).is_ok();
        if !is_sent || conn.read().is_none_or(|answer| answer.status() != 200) {
            return Verdict::NotRun("a first request was not answered".to_owned());
        }
        conns.push(conn);
    }
    record.add(format!("{} is ready; {count} consumers keep connections to it", instance.name));
    thread::sleep(Duration::from_millis(3_500));

    // The platform looks at the process's memory and kills it above the limit.
    let (is_over, peak) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let (process, watched, highest, watcher_record) =
        (instance.id(), is_over.clone(), peak.clone(), record.clone());
    let watcher = thread::spawn(move || {
        while !watched.load(Ordering::SeqCst) {
            let Some(kb) = resident_kb(process) else {
                break;
            };
            highest.fetch_max(kb, Ordering::SeqCst);
            if kb > MEMORY_MB * 1_024 {
                watcher_record
                    .add(format!("the process has {kb} kB, over {MEMORY_MB} MB, and is killed"));
                instance.signal(program::KILL);
                break;
            }
            thread::sleep(Duration::from_millis(2));
        }
        instance
    });
    let mut consumers = Vec::new();
    for (number, mut conn) in conns.into_iter().enumerate() {
        let record = record.clone();
        consumers.push(thread::spawn(move || {
            let mut unanswered = Vec::new();
            thread::sleep(STAGGER * number as u32);
            for round in 0..ROUNDS {
                let id = format!("large-{number}-{round}");
                let is_sent = conn.write(&request(&id, BODY_BYTES)).is_ok();
                let answer = is_sent.then(|| conn.read()).flatten();
                let Some(answer) = answer else {
                    record.add(format!("{id}: the connection ended without an answer"));
                    unanswered.push(id);
                    break;
                };
                record.add(format!("{id}: status {}", answer.status()));
            }
            unanswered
        }));
    }
    let mut unanswered = Vec::new();
    for consumer in consumers {
        match consumer.join() {
            Ok(ids) => unanswered.extend(ids),
            Err(_) => return Verdict::NotRun("a consumer failed".to_owned()),
        }
    }
    is_over.store(true, Ordering::SeqCst);
    if watcher.join().is_err() {
        return Verdict::NotRun("the platform's watch failed".to_owned());
    }
    let begun = begun.lock().expect("no thread panics with the lock");
    let lost: Vec<_> = unanswered.iter().filter(|id| begun.contains(*id)).cloned().collect();
    record.add(format!(
        "{count} consumers, bodies of {BODY_BYTES} bytes: highest memory {} kB; {} requests without an answer, {} of them \
         run by the server: {}",
        peak.load(Ordering::SeqCst),
        unanswered.len(),
        lost.len(),
        lost.join(" ")
    ));
    if lost.len() > ALLOWED { Verdict::Broken } else { Verdict::Held }
}
