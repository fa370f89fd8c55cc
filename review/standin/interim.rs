//! CONFIG: servers send interim responses without end.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{self, Connection};
use crate::program::{self, Instance};
use crate::record::Record;
use crate::store::Store;

/// `timeout-ms` of the route whose server is sound and of the one whose servers are not, and the time
/// within which an answer must come after it.
const LOOKUP_TIMEOUT: Duration = Duration::from_millis(2_000);
const REVIEW_TIMEOUT: Duration = Duration::from_millis(6_000);
const SLACK: Duration = Duration::from_millis(500);
/// Servers that send without end: 0.6 of the site's 12, and how much each sends. Together they stay
/// below the machine's link of 1,000 Mbit/s.
const BAD_SERVERS: usize = 7;
const BYTES_PER_S: f64 = 17e6;
/// Reviews that the same servers answer before, so that below 0.03 of their answers are spoiled.
const SOUND_REVIEWS: usize = 240;
/// `cpu-share` of the site's machines.
const CPU_SHARE: f64 = 0.25;
const CONSUMERS: usize = 6;
/// When the lookups are sent, after the requests to the servers that send without end.
const LOOKUPS_AFTER: Duration = Duration::from_millis(300);
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";
/// Number of interim responses that are written at once.
const BLOCK: usize = 2_000;

const CONFIG: &str = r#"{"version": 1,
"routes": [
 {"name": "review", "host": "mill.example", "path-prefix": "/review/", "kind": "streaming", "service": "kernel-models",
  "timeout-ms": 6000, "target-latency-ms": 600, "gap-target-ms": 300, "attempts": 1, "priority": 1},
 {"name": "lookup", "host": "mill.example", "path-prefix": "/lookup/", "kind": "safe", "service": "lot-ledger",
  "timeout-ms": 2000, "target-latency-ms": 300, "attempts": 2, "priority": 2}],
"services": [{"name": "kernel-models", "connection-limit": 210}, {"name": "lot-ledger", "connection-limit": 110}],
"limits": {"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
"tenants": [{"name": "mill", "api-keys": ["key-of-mill"]}]}"#;

fn register(store: &Store, id: &str, service: &str, address: SocketAddr) {
    store.put(
        &format!("servers/{id}"),
        &format!(
            r#"{{"service": "{service}", "address": "{address}", "zone": "hala-spargere", "version": "v1", "slots": 24,
"state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": 1700000000000}}"#
        ),
    );
}

fn answer(conn: &mut Connection, message: &http::Message) -> bool {
    let headers = [("Request-Id", message.header("request-id")), ("Server-Stamp", "stamp")];
    conn.write(&http::response(200, &headers, b"in stock")).is_ok()
}

/// Starts a server that, once it is bad, sends interim responses until the machine closes.
fn start_bad(record: &Record, is_bad: &Arc<AtomicBool>) -> SocketAddr {
    let listener = program::listen();
    let address = listener.local_addr().expect("the listener is bound");
    let (record, is_bad) = (record.clone(), is_bad.clone());
    http::serve(listener, move |conn, message| {
        if !is_bad.load(Ordering::SeqCst) {
            return answer(conn, &message);
        }
        let (block, started, mut sent) = (INTERIM.repeat(BLOCK), Instant::now(), 0_usize);
        while conn.write(&block).is_ok() {
            sent += block.len();
            let due = Duration::from_secs_f64(sent as f64 / BYTES_PER_S);
            thread::sleep(due.saturating_sub(started.elapsed()));
        }
        let (id, ms) = (message.header("request-id"), started.elapsed().as_millis());
        record.add(format!("server of {id}: the machine closed after {ms} ms and {sent} bytes"));
        false
    });
    address
}

/// Sends a request on a new connection and returns the status, 0 without a complete answer.
fn ask(front: SocketAddr, path: &str, id: &str) -> u16 {
    let request = format!(
        "GET {path} HTTP/1.1\r\nHost: mill.example\r\nRequest-Id: {id}\r\n\
         Deadline-Milliseconds: 6000\r\nApi-Key: key-of-mill\r\n\r\n"
    );
    let Ok(mut conn) = Connection::open(front) else {
        return 0;
    };
    program::exchange(&mut conn, &request).map_or(0, |answer| answer.status())
}

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start(program::listen());
    store.put("op/config", CONFIG);
    let is_bad = Arc::new(AtomicBool::new(false));
    for number in 0..BAD_SERVERS {
        let address = start_bad(record, &is_bad);
        register(&store, &format!("i-model-{number}"), "kernel-models", address);
    }
    let listener = program::listen();
    register(
        &store,
        "i-ledger",
        "lot-ledger",
        listener.local_addr().expect("the listener is bound"),
    );
    http::serve(listener, |conn, message| answer(conn, &message));
    let Some(instance) = Instance::start(1, store.address, work) else {
        return Verdict::NotRun("the instance did not start".to_owned());
    };
    if !instance.wait_until_ready() {
        return Verdict::NotRun("the instance did not become ready".to_owned());
    }
    thread::sleep(Duration::from_millis(3_500));

    let front = instance.front;
    let share = instance.hold_to_share(CPU_SHARE);
    for number in 0..SOUND_REVIEWS {
        if ask(front, "/review/batch", &format!("sound-{number}")) != 200 {
            return Verdict::NotRun("a sound server did not answer".to_owned());
        }
    }
    record.add(format!("{SOUND_REVIEWS} reviews answered"));
    is_bad.store(has_trouble, Ordering::SeqCst);
    let mut reviews = Vec::new();
    for number in 0..BAD_SERVERS {
        let record = record.clone();
        reviews.push(thread::spawn(move || {
            let (id, sent_at) = (format!("review-{number}"), Instant::now());
            record.add(format!("{id} sent"));
            let status = ask(front, "/review/batch", &id);
            record.add(format!("{id}: status {status} after {} ms", sent_at.elapsed().as_millis()));
            sent_at.elapsed()
        }));
    }
    thread::sleep(LOOKUPS_AFTER);
    let mut consumers = Vec::new();
    for number in 0..CONSUMERS {
        consumers.push(thread::spawn(move || {
            let (id, sent_at) = (format!("lookup-{number}"), Instant::now());
            let status = ask(front, "/lookup/lot", &id);
            (id, status, sent_at.elapsed())
        }));
    }
    record.add(format!("{CONSUMERS} lookups sent"));
    // The platform asks once a second whether the machine is ready.
    for _ in 0..4 {
        thread::sleep(Duration::from_millis(1_000));
        let (asked_at, is_ready) = (Instant::now(), instance.is_ready());
        let ms = asked_at.elapsed().as_millis();
        record.add(format!("readiness: {} after {ms} ms", if is_ready { "200" } else { "no 200" }));
    }
    let mut calls = Vec::new();
    for consumer in consumers {
        match consumer.join() {
            Ok(ended) => calls.push(ended),
            Err(_) => return Verdict::NotRun("a consumer failed".to_owned()),
        }
    }
    let mut review_times = Vec::new();
    for review in reviews {
        match review.join() {
            Ok(took) => review_times.push(took),
            Err(_) => return Verdict::NotRun("a consumer failed".to_owned()),
        }
    }
    drop(share);
    for (id, status, took) in &calls {
        record.add(format!("{id}: status {status} after {} ms", took.as_millis()));
    }
    let lookups = calls.iter().map(|(_, _, took)| (*took, LOOKUP_TIMEOUT));
    let times: Vec<_> =
        lookups.chain(review_times.into_iter().map(|took| (took, REVIEW_TIMEOUT))).collect();
    let open = times.iter().filter(|(took, timeout)| took > timeout).count();
    let late = times.iter().filter(|(took, timeout)| *took > *timeout + SLACK).count();
    record.add(format!(
        "{} requests; {open} unanswered at their route's timeout, {late} of these half a second later",
        times.len()
    ));
    if late * 2 > open { Verdict::Broken } else { Verdict::Held }
}
