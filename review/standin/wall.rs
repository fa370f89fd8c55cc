//! WALL: a tenant becomes isolated while servers keep parts of its earlier prompts.

use std::collections::BTreeMap;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::Verdict;
use crate::http::{self, Connection};
use crate::program::{self, Instance};
use crate::record::Record;
use crate::store::Store;

/// Time after the acknowledgement of the change before the next request. `configuration-apply-ms` is
/// 2 s and `stable-window-ms` 3 s.
const SETTLED: Duration = Duration::from_millis(4_000);
/// The part that prompts of both tenants begin with.
const SHARED_PART: &str = "5c1e07a2";
const REQUESTS: usize = 3;

/// The tenant whose request made each cached part, by salt and part.
type Cache = BTreeMap<(String, String), String>;

/// A use of a cached part by a request of another tenant than the one that made it.
struct Use {
    maker: String,
    user: String,
    text: String,
}

fn config(version: u64, is_isolated: bool) -> String {
    format!(
        r#"{{"version": {version},
"routes": [{{"name": "review", "host": "mill.example", "path-prefix": "/review/", "kind": "streaming", "sticky-sessions": true,
 "service": "kernel-models", "timeout-ms": 6000, "target-latency-ms": 600, "gap-target-ms": 300, "attempts": 1, "priority": 1}}],
"services": [{{"name": "kernel-models", "connection-limit": 210, "health-check-path": "/health",
 "engine": {{"slots": 24, "kv-cache-tokens": 71664}}}}],
"limits": {{"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000}},
"tenants": [{{"name": "growers", "api-keys": ["key-of-growers"], "isolated": {is_isolated}}},
 {{"name": "buyers", "api-keys": ["key-of-buyers"], "isolated": false}}]}}"#
    )
}

/// A model server that keeps the parts it has read, each under the salt of the request.
fn start_server(record: &Record, uses: Arc<Mutex<Vec<Use>>>) -> std::net::SocketAddr {
    let listener = program::listen();
    let address = listener.local_addr().expect("the listener is bound");
    let (record, cache) = (record.clone(), Mutex::new(Cache::new()));
    http::serve(listener, move |conn, message| {
        if message.path() == "/damaskdrift/report" {
            let report = r#"{"stage":"combined","models":[{"name":"m0","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv-cache-used":0,"kv-cache-total":71664,"handles":0}"#;
            return conn.write(&http::response(200, &[], report.as_bytes())).is_ok();
        }
        let id = message.header("request-id").to_owned();
        let (tenant, salt) = (message.header("tenant"), message.header("cache-salt"));
        if !matches!(message.header("expect-version"), "" | "1") {
            let headers =
                [("Request-Id", id.as_str()), ("Instance-Id", "i-1"), ("Weight-Versions", "1")];
            return conn.write(&http::response(421, &headers, b"")).is_ok();
        }
        record.add(format!("server runs {id} of tenant {tenant} under salt '{salt}'"));
        let mut cache = cache.lock().expect("no thread panics with the lock");
        for part in message.header("prompt-prefix").split(',') {
            let part = part.split(':').next().unwrap_or_default();
            let key = (salt.to_owned(), part.to_owned());
            let maker = cache.entry(key).or_insert_with(|| tenant.to_owned()).clone();
            if maker == tenant {
                continue;
            }
            let text = format!("{id} of {tenant} uses part {part}, made by a request of {maker}");
            record.add(text.clone());
            let used = Use { maker, user: tenant.to_owned(), text };
            uses.lock().expect("no thread panics with the lock").push(used);
        }
        drop(cache);
        let headers = [
            ("Request-Id", id.as_str()),
            ("Server-Stamp", "stamp"),
            ("Instance-Id", "i-1"),
            ("Weight-Versions", "1"),
            ("Content-Type", "text/event-stream"),
        ];
        conn.write(&http::response(200, &headers, b"id: 1\ndata: class A\n\n")).is_ok()
    });
    address
}

fn ask(record: &Record, instance: &Instance, tenant: &str, id: &str) -> bool {
    let request = format!(
        "POST /review/batch HTTP/1.1\r\nHost: mill.example\r\nRequest-Id: {id}\r\n\
         Deadline-Milliseconds: 6000\r\nApi-Key: key-of-{tenant}\r\nModel: m0\r\nToken-Usage: 2100,20\r\n\
         Prompt-Prefix: {SHARED_PART}:2000,{:08x}:100\r\nContent-Length: 4\r\n\r\nbody",
        id.bytes().fold(7_u32, |hash, byte| hash.wrapping_mul(31).wrapping_add(u32::from(byte)))
    );
    let answer = Connection::open(instance.front)
        .ok()
        .and_then(|mut conn| program::exchange(&mut conn, &request));
    let status = answer.map_or(0, |answer| answer.status());
    record.add(format!("{id} of tenant {tenant}: status {status}"));
    status == 200
}

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start(program::listen());
    let uses = Arc::new(Mutex::new(Vec::new()));
    let server = start_server(record, uses.clone());
    store.put("op/version/m0", r#"{"model": "m0", "version": 1}"#);
    store.put("op/config", &config(1, false));
    store.put(
        "servers/i-1",
        &format!(
            r#"{{"service": "kernel-models", "address": "{server}", "zone": "hala-spargere", "version": "v1", "slots": 24,
"state": "ready", "cold-remaining-ms": 0, "sequence": 0, "born": 1700000000000, "stage": "combined",
"models": [{{"name": "m0", "version": 1, "adapters": []}}]}}"#
        ),
    );
    let Some(instance) = Instance::start(1, store.address, work) else {
        return Verdict::NotRun("the instance did not start".to_owned());
    };
    if !instance.wait_until_ready() {
        return Verdict::NotRun("the instance did not become ready".to_owned());
    }
    record.add(format!("{} is ready", instance.name));
    thread::sleep(SETTLED);
    for number in 0..REQUESTS {
        if !ask(record, &instance, "growers", &format!("growers-{number}")) {
            return Verdict::NotRun("a request was not answered".to_owned());
        }
    }
    if has_trouble {
        store.put("op/config", &config(2, true));
        record
            .add("the store has acknowledged version 2, in which growers are isolated".to_owned());
    }
    thread::sleep(SETTLED);
    for number in 0..REQUESTS {
        let are_answered = ask(record, &instance, "buyers", &format!("buyers-{number}"))
            && ask(record, &instance, "growers", &format!("growers-late-{number}"));
        if !are_answered {
            return Verdict::NotRun("a request was not answered".to_owned());
        }
    }
    // No request runs before the change has settled, so each use is judged by what then is in force.
    let uses = uses.lock().expect("no thread panics with the lock");
    let is_foreign =
        |used: &&Use| has_trouble && [&used.maker, &used.user].iter().any(|t| *t == "growers");
    let foreign: Vec<_> = uses.iter().filter(is_foreign).map(|used| used.text.as_str()).collect();
    record.add(format!(
        "{} uses of parts of another tenant, {} of them with an isolated tenant: {}",
        uses.len(),
        foreign.len(),
        foreign.join("; ")
    ));
    if foreign.is_empty() { Verdict::Held } else { Verdict::Broken }
}
