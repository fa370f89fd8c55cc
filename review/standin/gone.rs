//! DRAIN: a server leaves soon after a machine that was cut off from the store is back.

use std::net::SocketAddr;
use std::path::Path;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::http::{self, Connection};
use crate::link::Link;
use crate::program::{self, Instance};
use crate::record::Record;
use crate::store::Store;

/// `stable-window-ms`: time without a disruption of its own after which a machine is in touch.
const STABLE_WINDOW: Duration = Duration::from_millis(3_000);
/// `drain-ms`: time after the acknowledgement from which nothing more may reach the server.
const DRAIN: Duration = Duration::from_millis(2_000);
/// Length of the cut. The site's largest is 5.5 s.
const CUT: Duration = Duration::from_millis(4_000);
/// When the server leaves, after the machine reads the store again.
const LEAVES_AFTER: Duration = Duration::from_millis(300);
/// How long the server serves on after its entry is gone: `drain-ms` and a little longer.
const SERVES_ON: Duration = Duration::from_millis(3_050);
/// Time of the server's work on a request.
const WORK: Duration = Duration::from_millis(100);
const CONSUMERS: usize = 12;
/// Pause of a consumer between two requests.
const PAUSE: Duration = Duration::from_millis(20);

const CONFIG: &str = r#"{"version": 1,
"routes": [{"name": "release", "host": "mill.example", "path-prefix": "/release/", "kind": "unsafe",
 "service": "lot-ledger", "timeout-ms": 2000, "target-latency-ms": 300, "attempts": 1, "priority": 2}],
"services": [{"name": "lot-ledger", "connection-limit": 110, "health-check-path": "/health"}],
"limits": {"header-bytes": 16384, "body-bytes": 4194304, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
"tenants": [{"name": "mill", "api-keys": ["key-of-mill"]}]}"#;

/// A request at the server that leaves.
#[derive(Clone)]
struct Arrival {
    id: String,
    at: Instant,
    is_cut_off: bool,
}

struct Server {
    address: SocketAddr,
    arrivals: Arc<Mutex<Vec<Arrival>>>,
    has_exited: Arc<AtomicBool>,
}

impl Server {
    fn start(name: &'static str) -> Self {
        let listener = program::listen();
        let address = listener.local_addr().expect("the listener is bound");
        let arrivals = Arc::new(Mutex::new(Vec::<Arrival>::new()));
        let has_exited = Arc::new(AtomicBool::new(false));
        let (seen, exited) = (arrivals.clone(), has_exited.clone());
        http::serve(listener, move |conn, message| {
            // A server that has exited answers nothing; its connections are closed.
            if exited.load(Ordering::SeqCst) {
                return false;
            }
            let id = message.header("request-id").to_owned();
            if message.header("expect-instance") != name {
                let headers = [("Request-Id", id.as_str()), ("Instance-Id", name)];
                return conn.write(&http::response(421, &headers, b"")).is_ok();
            }
            let arrival = Arrival { id: id.clone(), at: Instant::now(), is_cut_off: false };
            seen.lock().expect("no thread panics with the lock").push(arrival);
            thread::sleep(WORK);
            if exited.load(Ordering::SeqCst) {
                let mut seen = seen.lock().expect("no thread panics with the lock");
                if let Some(arrival) = seen.iter_mut().find(|arrival| arrival.id == id) {
                    arrival.is_cut_off = true;
                }
                return false;
            }
            let headers = [
                ("Request-Id", id.as_str()),
                ("Server-Stamp", "stamp"),
                ("Instance-Id", name),
                ("Keep-Alive", "timeout=5"),
            ];
            conn.write(&http::response(200, &headers, b"booked")).is_ok()
        });
        Self { address, arrivals, has_exited }
    }

    fn entry(&self) -> String {
        format!(
            r#"{{"service": "lot-ledger", "address": "{}", "zone": "hala-spargere", "version": "v1", "slots": 6,
"state": "ready", "cold-remaining-ms": 0, "sequence": 1, "born": 1700000000000}}"#,
            self.address
        )
    }
}

/// What a consumer saw of a request.
struct Call {
    id: String,
    sent_at: Instant,
    status: u16,
}

fn consume(
    front: SocketAddr,
    (number, next): (usize, Arc<AtomicU64>),
    is_over: Arc<AtomicBool>,
) -> Vec<Call> {
    let mut calls = Vec::new();
    let mut kept: Option<Connection> = None;
    while !is_over.load(Ordering::SeqCst) {
        let Some(mut conn) = kept.take().or_else(|| Connection::open(front).ok()) else {
            continue;
        };
        let id = format!("c{number}-{}", next.fetch_add(1, Ordering::SeqCst));
        let request = format!(
            "POST /release/lot HTTP/1.1\r\nHost: mill.example\r\nRequest-Id: {id}\r\n\
             Deadline-Milliseconds: 4000\r\nApi-Key: key-of-mill\r\nContent-Length: 3\r\n\r\nlot"
        );
        let sent_at = Instant::now();
        let answer = program::exchange(&mut conn, &request);
        let status = answer.as_ref().map_or(0, http::Message::status);
        if answer.is_some_and(|answer| answer.header("connection") != "close") {
            kept = Some(conn);
        }
        calls.push(Call { id, sent_at, status });
        thread::sleep(PAUSE);
    }
    calls
}

pub fn run(record: &Record, work: &Path, has_trouble: bool) -> Verdict {
    let store = Store::start(program::listen());
    let (leaving, staying) = (Server::start("i-leaving"), Server::start("i-staying"));
    store.put("op/config", CONFIG);
    store.put("servers/i-leaving", &leaving.entry());
    store.put("servers/i-staying", &staying.entry());
    // The link of the first machine to the store is the one that is cut.
    let link = Link::start(store.address);
    let mut instances = Vec::new();
    for number in 1..=3 {
        let address = if number == 1 { link.address } else { store.address };
        let Some(instance) = Instance::start(number, address, work) else {
            return Verdict::NotRun(format!("instance {number} did not start"));
        };
        instances.push(instance);
    }
    if !instances.iter().all(Instance::wait_until_ready) {
        return Verdict::NotRun("an instance did not become ready".to_owned());
    }
    record.add(format!("three machines are ready; consumers use {}", instances[0].name));
    let (is_over, next) = (Arc::new(AtomicBool::new(false)), Arc::new(AtomicU64::new(0)));
    let mut consumers = Vec::new();
    for number in 0..CONSUMERS {
        let (front, next, is_over) = (instances[0].front, next.clone(), is_over.clone());
        consumers.push(thread::spawn(move || consume(front, (number, next), is_over)));
    }
    thread::sleep(STABLE_WINDOW + Duration::from_millis(500));

    if has_trouble {
        link.set_cut(true);
        record.add(format!("{} is cut off from the store", instances[0].name));
        thread::sleep(CUT);
        link.set_cut(false);
        record.add("the cut has healed".to_owned());
    }
    let healed_at = Instant::now();
    let lists = store.lists();
    while has_trouble && store.lists() == lists && healed_at.elapsed() < STABLE_WINDOW {
        thread::sleep(Duration::from_millis(2));
    }
    record.add("the machine reads the store again".to_owned());
    thread::sleep(LEAVES_AFTER);
    store.remove("servers/i-leaving");
    let left_at = Instant::now();
    record.add("the store has acknowledged that the entry of i-leaving is gone".to_owned());
    thread::sleep(SERVES_ON);
    leaving.has_exited.store(true, Ordering::SeqCst);
    record.add("i-leaving exits".to_owned());
    thread::sleep(Duration::from_millis(1_000));
    is_over.store(true, Ordering::SeqCst);

    let mut calls = Vec::new();
    for consumer in consumers {
        match consumer.join() {
            Ok(ended) => calls.extend(ended),
            Err(_) => return Verdict::NotRun("a consumer failed".to_owned()),
        }
    }
    let in_touch_from = if has_trouble { healed_at + STABLE_WINDOW } else { left_at };
    let arrivals = leaving.arrivals.lock().expect("no thread panics with the lock").clone();
    let (mut late, mut lost) = (0, 0);
    for Arrival { id, at, is_cut_off } in arrivals {
        let Some(call) = calls.iter().find(|call| call.id == id) else {
            continue;
        };
        let is_late = at > left_at + DRAIN && call.sent_at > in_touch_from;
        if !is_late {
            continue;
        }
        late += 1;
        lost += usize::from(is_cut_off);
        let after_ms = at.duration_since(left_at).as_millis();
        let touch_ms = call.sent_at.duration_since(in_touch_from).as_millis();
        let run = if is_cut_off { "; the server exited while it ran" } else { "" };
        record.add(format!(
            "{id}: sent {touch_ms} ms after the machine was in touch, reached i-leaving {after_ms} ms \
             after the acknowledgement, answered {}{run}",
            call.status
        ));
    }
    let sent = calls.len();
    record.add(format!(
        "{sent} requests sent; {late} reached i-leaving too late, of which {lost} were lost as it exited"
    ));
    if late == 0 { Verdict::Held } else { Verdict::Broken }
}
