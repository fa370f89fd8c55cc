//! LOST: a planned stop of a machine while consumers use connections that they keep open.

use std::collections::BTreeSet;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{self, Connection};
use crate::program::{self, Instance};
use crate::record::Record;
use crate::store::Store;

/// `grace-s` of the settings: time from SIGTERM to SIGKILL.
const GRACE: Duration = Duration::from_secs(8);
/// Time without any disruption before the stop; longer than `stable-window-ms`.
const CALM: Duration = Duration::from_millis(3_500);
/// When the consumers send their requests, after SIGTERM. The excuse for long requests ends at 3 s.
const SENT_AFTER: [u64; 6] = [3_050, 3_110, 3_170, 3_230, 3_290, 3_350];
/// A stream: this many pieces, with this pause before each.
const PIECES: usize = 45;
const PIECE_PAUSE: Duration = Duration::from_millis(100);

const CONFIG: &str = r#"{"version": 1,
"routes": [{"name": "review", "host": "mill.example", "path-prefix": "/review/", "kind": "streaming",
 "service": "kernel-models", "timeout-ms": 6000, "target-latency-ms": 600, "gap-target-ms": 300, "attempts": 1, "priority": 1}],
"services": [{"name": "kernel-models", "connection-limit": 210, "health-check-path": "/health"}],
"limits": {"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
"tenants": [{"name": "mill", "api-keys": ["key-of-mill"]}]}"#;

fn request(id: &str, path: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nHost: mill.example\r\nRequest-Id: {id}\r\n\
         Deadline-Milliseconds: 6000\r\nApi-Key: key-of-mill\r\nContent-Length: 4\r\n\r\nbody"
    )
}

/// What the server has begun and finished, by request id.
#[derive(Default)]
struct Runs {
    begun: BTreeSet<String>,
    finished: BTreeSet<String>,
}

fn start_server(record: &Record, runs: Arc<Mutex<Runs>>) -> std::net::SocketAddr {
    let listener = program::listen();
    let address = listener.local_addr().expect("the listener is bound");
    let record = record.clone();
    http::serve(listener, move |conn, message| {
        let id = message.header("request-id").to_owned();
        let is_long = message.path().ends_with("/long");
        record.add(format!("server runs {id}, {}", message.line));
        runs.lock().expect("no thread panics with the lock").begun.insert(id.clone());
        let head = format!(
            "HTTP/1.1 200 OK\r\nRequest-Id: {id}\r\nServer-Stamp: stamp-{id}\r\nInstance-Id: i-1\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        let pieces = if is_long { PIECES } else { 1 };
        let mut is_sent = conn.write(head.as_bytes()).is_ok();
        for piece in 1..=pieces {
            if is_long {
                thread::sleep(PIECE_PAUSE);
            }
            let event = format!("id: {piece}\ndata: piece {piece} of {pieces}\n\n");
            let chunk = format!("{:x}\r\n{event}\r\n", event.len());
            is_sent = is_sent && conn.write(chunk.as_bytes()).is_ok();
        }
        is_sent = is_sent && conn.write(b"0\r\n\r\n").is_ok();
        let how = if is_sent { "sent its whole answer" } else { "the machine had closed" };
        record.add(format!("server ends {id}: {how}"));
        runs.lock().expect("no thread panics with the lock").finished.insert(id);
        is_sent
    });
    address
}

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start(program::listen());
    let runs = Arc::new(Mutex::new(Runs::default()));
    let server = start_server(record, runs.clone());
    store.put("op/config", CONFIG);
    store.put(
        "servers/i-1",
        &format!(
            r#"{{"service": "kernel-models", "address": "{server}", "zone": "hala-spargere", "version": "v1", "slots": 24,
"state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": 1700000000000, "models": []}}"#
        ),
    );
    let Some(mut instance) = Instance::start(1, store.address, work) else {
        return Verdict::NotRun("the instance did not start".to_owned());
    };
    if !instance.wait_until_ready() {
        return Verdict::NotRun("the instance did not become ready".to_owned());
    }
    record.add(format!("{} is ready", instance.name));

    let mut consumers = Vec::new();
    for number in 0..SENT_AFTER.len() {
        let Ok(mut conn) = Connection::open(instance.front) else {
            return Verdict::NotRun("a consumer could not connect".to_owned());
        };
        let id = format!("short-{number}");
        let answer = program::exchange(&mut conn, &request(&id, "/review/short"));
        if answer.is_none_or(|answer| answer.status() != 200) {
            return Verdict::NotRun(format!("{id} was not answered"));
        }
        consumers.push(conn);
    }
    record.add("each consumer has an answer and keeps its connection".to_owned());
    thread::sleep(CALM);

    let stop_at = Instant::now();
    if has_trouble {
        record.add(format!("SIGTERM to {}", instance.name));
        instance.signal(program::TERMINATE);
    }
    let mut calls = Vec::new();
    for (number, mut conn) in consumers.into_iter().enumerate() {
        let record = record.clone();
        let send_at = stop_at + Duration::from_millis(SENT_AFTER[number]);
        calls.push(thread::spawn(move || {
            thread::sleep(send_at.saturating_duration_since(Instant::now()));
            let id = format!("long-{number}");
            let sent = conn.write(request(&id, "/review/long").as_bytes());
            let after_ms = stop_at.elapsed().as_millis();
            record.add(format!(
                "{id} sent on its kept connection, {after_ms} ms after the stop began"
            ));
            if sent.is_err() {
                record.add(format!("{id}: the connection was closed before"));
                return (id, false);
            }
            let Some(mut answer) = conn.read_head() else {
                record.add(format!("{id}: the connection ended without an answer"));
                return (id, false);
            };
            let is_whole = conn.read_body(&mut answer);
            let pieces = String::from_utf8_lossy(&answer.body).matches("data:").count();
            let end = if is_whole { "whole answer" } else { "connection ended early" };
            record.add(format!("{id}: status {}, {pieces} pieces, {end}", answer.status()));
            (id, is_whole && (answer.status() != 200 || pieces == PIECES))
        }));
    }
    // The platform kills the process once the grace period is over.
    while has_trouble && stop_at.elapsed() < GRACE && !instance.has_ended() {
        thread::sleep(Duration::from_millis(5));
    }
    if has_trouble {
        let after_ms = stop_at.elapsed().as_millis();
        record.add(format!("the process has ended or is killed, {after_ms} ms after SIGTERM"));
        drop(instance);
    }
    let mut ended = Vec::new();
    for call in calls {
        match call.join() {
            Ok(result) => ended.push(result),
            Err(_) => return Verdict::NotRun("a consumer failed".to_owned()),
        }
    }
    // The server notices a closed connection only with its next piece.
    thread::sleep(Duration::from_millis(500));
    let runs = runs.lock().expect("no thread panics with the lock");
    let is_lost = |(id, is_complete): &&(String, bool)| runs.begun.contains(id) && !is_complete;
    let lost: Vec<_> = ended.iter().filter(is_lost).map(|(id, _)| id.as_str()).collect();
    let run = runs.begun.iter().filter(|id| id.starts_with("long")).count();
    record.add(format!(
        "{} long requests sent, {run} run by the server, {} of these without a complete answer: {}",
        ended.len(),
        lost.len(),
        lost.join(" ")
    ));
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
}
