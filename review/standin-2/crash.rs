//! One part of a prompt crashes each model server that begins to write an answer on it; it stands
//! behind many other parts.

use std::collections::BTreeMap;
use std::io::{self, BufReader, Write as _};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Verdict, engines, http, program, record, store};

const MACHINES: u32 = 2;
const MEMORY_MB: u64 = 110;
const ENGINES: u32 = 6;
/// Length of the traffic.
const LENGTH: Duration = Duration::from_secs(60);
/// When the requests with the part begin.
const CALM: Duration = Duration::from_secs(15);
/// Time after which a crashed server is back.
const RESTART: Duration = Duration::from_secs(3);
/// Time in which a server answers.
const ANSWER: Duration = Duration::from_millis(60);
/// Pause between two sound requests of a caller, and between two with the part.
const SOUND_PAUSE: Duration = Duration::from_millis(100);
const CRASHING_PAUSE: Duration = Duration::from_millis(150);
/// Sound callers at each machine.
const CALLERS: u32 = 2;
/// `stable-window-ms` of the settings.
const STABLE_WINDOW: Duration = Duration::from_secs(3);
/// Crashes after which the rules count.
const FREE_CRASHES: usize = 5;
/// Parts before the one that crashes servers, unless `DEPTH` gives another number.
const DEPTH: u32 = 70;
const SHALLOW: u32 = 1;
/// First part of all requests of the route.
const FIRST_PART: &str = "5c1e07a2:300";
/// The part that crashes servers.
const PART: &str = "0badc0de:10";

/// What the servers and the callers have seen.
#[derive(Default)]
struct Seen {
    crashes: Vec<Instant>,
    /// Requests with the part that reached a server.
    arrivals: Vec<Instant>,
    /// Sound requests that callers sent, and those that began to run.
    sent: BTreeMap<String, Instant>,
    begun: BTreeMap<String, Instant>,
    answers: BTreeMap<u16, u64>,
}

type Shared = Arc<Mutex<Seen>>;

/// Runs the case. A server that crashes closes its connections, or falls silent, as if its machine had
/// stopped.
pub fn run(
    folder: &Path,
    has_trouble: bool,
    is_silent: bool,
    record: &mut record::Record,
) -> Verdict {
    let default_depth = if is_silent { SHALLOW } else { DEPTH };
    let depth =
        std::env::var("DEPTH").ok().and_then(|text| text.parse().ok()).unwrap_or(default_depth);
    let seen = Shared::default();
    let (store, address) = store::Store::start();
    engines::configure(&store, "");
    for number in 0..ENGINES {
        let (store, seen) = (store.clone(), seen.clone());
        thread::spawn(move || run_engine(number, is_silent, &store, &seen));
    }
    let mut machines = Vec::new();
    for number in 1..=MACHINES {
        machines.push(program::Machine::start(folder, number, address, MEMORY_MB));
    }
    if !machines.iter().all(program::Machine::wait_ready) {
        record.line("a machine did not become ready");
        return Verdict::NotRun;
    }
    thread::sleep(Duration::from_secs(1));
    let started_at = Instant::now();
    for (number, machine) in machines.iter().enumerate() {
        for caller in 0..CALLERS {
            let (front, seen) = (machine.front, seen.clone());
            thread::spawn(move || {
                send_sound(front, &format!("s{number}-{caller}"), is_silent, &seen)
            });
        }
    }
    let fronts: Vec<_> = machines.iter().map(|machine| machine.front).collect();
    thread::spawn(move || {
        thread::sleep(CALM);
        send_crashing(&fronts, depth, if has_trouble { PART } else { "50d0c0de:10" });
    });
    while started_at.elapsed() < LENGTH {
        thread::sleep(Duration::from_secs(5));
        let seen = seen.lock().expect("no thread panics");
        record.line(&format!(
            "{} s: sound requests sent {}, begun {}, answers {:?}; requests with the part that \
             reached servers {}, crashes {}",
            started_at.elapsed().as_secs(),
            seen.sent.len(),
            seen.begun.len(),
            seen.answers,
            seen.arrivals.len(),
            seen.crashes.len()
        ));
    }
    let seen = seen.lock().expect("no thread panics");
    judge(&seen, started_at, record)
}

/// Checks BUDGET and LOST as the pages state them.
fn judge(seen: &Seen, started_at: Instant, record: &mut record::Record) -> Verdict {
    let Some(fifth) = seen.crashes.get(FREE_CRASHES - 1).or(seen.crashes.last()) else {
        record.line("no server crashed");
        return Verdict::Held;
    };
    let late = seen.arrivals.iter().filter(|at| **at > *fifth + STABLE_WINDOW).count();
    let share = |from: Instant, to: Instant| {
        let sent = seen.sent.iter().filter(|(_, at)| from <= **at && **at < to);
        let sent: Vec<_> = sent.map(|(id, _)| id).collect();
        let begun = sent.iter().filter(|id| seen.begun.contains_key(**id)).count();
        (sent.len(), begun, begun as f64 / sent.len().max(1) as f64)
    };
    let calm = share(started_at, started_at + CALM);
    let trouble = share(*fifth + 2 * STABLE_WINDOW, started_at + LENGTH - Duration::from_secs(6));
    record.line(&format!(
        "{} crashes; requests with the part that reached servers later than {} s after the fifth: \
         {late} (BUDGET allows 3)",
        seen.crashes.len(),
        STABLE_WINDOW.as_secs()
    ));
    record.line(&format!(
        "sound requests before: {} sent, {} begun ({:.2}); from {} s after the fifth crash on: {} \
         sent, {} begun ({:.2}); LOST wants half of the share at least",
        calm.0,
        calm.1,
        calm.2,
        2 * STABLE_WINDOW.as_secs(),
        trouble.0,
        trouble.1,
        trouble.2
    ));
    let has_lost = calm.0 >= 20 && trouble.0 >= 20 && trouble.2 < calm.2 / 2.0;
    record.line(&format!("BUDGET broken: {}; LOST broken: {has_lost}", late > 3));
    Verdict::broken(late > 3 || has_lost)
}

/// Runs a server that starts again after each crash, as a new incarnation.
fn run_engine(number: u32, is_silent: bool, store: &store::Store, seen: &Shared) {
    for incarnation in 1.. {
        let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has a free port");
        let address = listener.local_addr().expect("a bound socket has an address");
        let id = format!("i-{number}-{incarnation}");
        store.put(&format!("servers/{id}"), &engines::entry(address, incarnation));
        let ended = serve_until_crash(listener, &id, is_silent, seen);
        seen.lock().expect("no thread panics").crashes.push(ended);
        // The entry expires after three status reports of silence.
        let (store, key) = (store.clone(), format!("servers/{id}"));
        thread::spawn(move || {
            thread::sleep(Duration::from_millis(3 * 1_200));
            store.remove(&key);
        });
        thread::sleep(RESTART);
    }
}

/// Serves until a request crashes the server.
fn serve_until_crash(listener: TcpListener, id: &str, is_silent: bool, seen: &Shared) -> Instant {
    listener.set_nonblocking(true).expect("a listener can be set to non-blocking");
    let has_crashed = Arc::<AtomicBool>::default();
    let mut open: Vec<TcpStream> = Vec::new();
    while !has_crashed.load(Ordering::Relaxed) {
        let Ok((stream, _)) = listener.accept() else {
            thread::sleep(Duration::from_millis(1));
            continue;
        };
        if let Ok(copy) = stream.try_clone() {
            open.push(copy);
        }
        let (id, seen, has_crashed) = (id.to_owned(), seen.clone(), has_crashed.clone());
        thread::spawn(move || drop(serve(stream, &id, &seen, &has_crashed)));
    }
    if is_silent {
        // The sockets stay open without a word until the script ends.
        std::mem::forget((listener, open));
    } else {
        for stream in &open {
            // The peer may have closed it.
            let _ = stream.shutdown(Shutdown::Both);
        }
    }
    Instant::now()
}

fn serve(stream: TcpStream, id: &str, seen: &Shared, has_crashed: &AtomicBool) -> io::Result<()> {
    stream.set_nonblocking(false)?;
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = http::read(&mut reader)? {
        if has_crashed.load(Ordering::Relaxed) {
            return Ok(());
        }
        if request.path() == "/damaskdrift/report" {
            writer.write_all(&http::response(200, &[], engines::REPORT))?;
            continue;
        }
        let expected = request.header("expect-instance");
        if expected != id {
            writer.write_all(&http::response(421, &[("instance-id", id)], b""))?;
            continue;
        }
        let is_crashing = request.header("prompt-prefix").split(',').any(|part| part == PART);
        if is_crashing {
            seen.lock().expect("no thread panics").arrivals.push(Instant::now());
        } else {
            let request_id = request.header("request-id").to_owned();
            seen.lock().expect("no thread panics").begun.insert(request_id, Instant::now());
        }
        thread::sleep(ANSWER);
        if is_crashing {
            has_crashed.store(true, Ordering::Relaxed);
        }
        if has_crashed.load(Ordering::Relaxed) {
            return Ok(());
        }
        writer.write_all(&engines::answer(&request))?;
    }
    Ok(())
}

fn request(id: &str, parts: &str) -> String {
    let tokens = parts.split(',').filter_map(|part| part.rsplit(':').next()?.parse::<u64>().ok());
    let usage = tokens.sum::<u64>();
    format!(
        "POST /review/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: {id}\r\nmodel: m1\r\n\
         token-usage: {usage},20\r\nprompt-prefix: {parts}\r\ndeadline-milliseconds: 6000\r\n\
         api-key: key1\r\ncontent-length: 2\r\n\r\nhi"
    )
}

fn send(front: SocketAddr, request: &str) -> io::Result<u16> {
    let mut client = http::Client::open(front)?;
    client.send(request.as_bytes())?;
    client.receive().map(|answer| answer.status())
}

/// Sends sound requests, which share their first part: each after the answer to the one before, or at
/// a fixed rate.
fn send_sound(front: SocketAddr, caller: &str, has_fixed_rate: bool, seen: &Shared) {
    for number in 0.. {
        let id = format!("{caller}-{number}");
        let request = request(&id, &format!("{FIRST_PART},{:x}:80", number % 7 + 0x100000));
        seen.lock().expect("no thread panics").sent.insert(id, Instant::now());
        let seen = seen.clone();
        let send = move || {
            let status = send(front, &request).unwrap_or(0);
            *seen.lock().expect("no thread panics").answers.entry(status).or_default() += 1;
        };
        if has_fixed_rate {
            thread::spawn(send);
        } else {
            send();
        }
        thread::sleep(SOUND_PAUSE);
    }
}

/// Sends requests with one part in common and no two alike, to the machines in turn.
fn send_crashing(fronts: &[SocketAddr], depth: u32, part: &str) {
    for number in 0_u32.. {
        let mut parts = format!("{FIRST_PART},");
        for index in 1..depth {
            parts += &format!("{:x}:10,", 0x2000_0000 + number * 0x400 + index);
        }
        let request =
            request(&format!("c-{number}"), &format!("{parts}{part},{:x}:10", number + 0x300000));
        let front = fronts[number as usize % fronts.len()];
        thread::spawn(move || drop(send(front, &request)));
        thread::sleep(CRASHING_PAUSE);
    }
}
