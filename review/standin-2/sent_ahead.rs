//! Clients send many requests ahead on each connection and read no answers.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, Write as _};
use std::net::{IpAddr, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Verdict, engines, http, program, record, store};

/// Memory of a machine of `sites/oradea-spargere.toml`.
const MEMORY_MB: u64 = 110;
const MACHINES: u32 = 2;
const LENGTH: Duration = Duration::from_secs(60);
/// Ends of each machine's process after which the run stops.
const MAX_ENDS: u32 = 3;
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Clients of the crowd at each machine, connections of each, and requests that it sends on each.
const CLIENTS: usize = 200;
const CONNECTIONS: usize = 12;
const AHEAD: u32 = 1_000;
const PLAIN: engines::Plain = engines::Plain { header_bytes: 16_384, is_anonymous: false };
/// Time that a server works on a request.
const WORK: Duration = Duration::from_millis(60);
const ORDINARY_PAUSE: Duration = Duration::from_millis(100);

/// Answers to ordinary callers by status; 0 stands for a connection that ended without one.
type Answers = Arc<Mutex<BTreeMap<u16, u64>>>;

/// A connection of the crowd.
struct Sender {
    stream: TcpStream,
    requests: String,
    sent: usize,
}

pub fn run(folder: &Path, has_trouble: bool, record: &mut record::Record) -> Verdict {
    let (store, address) = store::Store::start();
    engines::start_plain(&store, &PLAIN, WORK);
    let mut machines = Vec::new();
    for number in 1..=MACHINES {
        machines.push(program::Machine::start(folder, number, address, MEMORY_MB));
    }
    if !machines.iter().all(program::Machine::wait_ready) {
        record.line("a machine did not become ready");
        return Verdict::NotRun;
    }
    let answers = Answers::default();
    for (number, machine) in machines.iter().enumerate() {
        let (front, answers) = (machine.front, answers.clone());
        thread::spawn(move || send_ordinary(front, number, &answers));
        if has_trouble {
            let front = machine.front;
            for client in 0..CLIENTS {
                let name = format!("h{number}-{client}");
                thread::spawn(move || send_ahead(front, &name));
            }
        }
    }
    let started_at = Instant::now();
    let mut ends = vec![0; machines.len()];
    let mut reported_s = 0;
    while started_at.elapsed() < LENGTH && ends.iter().any(|ends| *ends < MAX_ENDS) {
        thread::sleep(Duration::from_millis(100));
        let elapsed_s = started_at.elapsed().as_secs();
        for (machine, ends) in machines.iter_mut().zip(&mut ends) {
            let (memory_kb, unread_kb) = (machine.memory_kb(), unread_kb(machine.front));
            if memory_kb + unread_kb > MEMORY_MB * 1_024 || machine.has_ended() {
                *ends += 1;
                record.line(&format!(
                    "{elapsed_s} s: the process of {} ends for the {ends}. time; its memory: \
                     {memory_kb} kB and {unread_kb} kB received and not yet read, limit {} kB",
                    machine.name,
                    MEMORY_MB * 1_024
                ));
                thread::sleep(RESTART_DELAY);
                machine.kill_and_restart();
                machine.wait_ready();
            }
        }
        if elapsed_s >= reported_s + 5 {
            reported_s = elapsed_s;
            let held = |m: &program::Machine| (m.memory_kb(), unread_kb(m.front));
            let held: Vec<_> = machines.iter().map(held).collect();
            let answers = answers.lock().expect("no thread panics");
            record.line(&format!(
                "{elapsed_s} s: memory and unread kB {held:?}; answers to ordinary callers {answers:?}"
            ));
        }
    }
    record.line(&format!(
        "ends of the processes: {ends:?}; answers to ordinary callers {:?}",
        answers.lock().expect("no thread panics")
    ));
    Verdict::broken(ends.iter().any(|ends| *ends > 0))
}

/// Returns the kilobytes that the kernel holds for a listener's connections until they are read.
fn unread_kb(address: SocketAddr) -> u64 {
    let IpAddr::V4(ip) = address.ip() else {
        return 0;
    };
    let local = format!("{:08X}:{:04X}", u32::from_le_bytes(ip.octets()), address.port());
    let mut bytes = 0;
    for line in fs::read_to_string("/proc/net/tcp").unwrap_or_default().lines() {
        let fields: Vec<_> = line.split_whitespace().collect();
        // State 0A is that of a listening socket.
        if fields.len() < 5 || fields[1] != local || fields[3] == "0A" {
            continue;
        }
        let queued = fields[4].split(':').nth(1).unwrap_or_default();
        bytes += u64::from_str_radix(queued, 16).unwrap_or(0);
    }
    bytes / 1_024
}

fn request(id: &str) -> String {
    format!(
        "GET /plain/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: {id}\r\n\
         deadline-milliseconds: 4000\r\napi-key: key1\r\n\r\n"
    )
}

fn send_ordinary(front: SocketAddr, caller: usize, answers: &Answers) {
    for number in 0.. {
        let answer = http::Client::open(front).and_then(|mut client| {
            client.send(request(&format!("o{caller}-{number}")).as_bytes())?;
            client.receive()
        });
        let status = answer.map_or(0, |answer| answer.status());
        *answers.lock().expect("no thread panics").entry(status).or_default() += 1;
        thread::sleep(ORDINARY_PAUSE);
    }
}

/// Keeps the connections of a client open, and sends on each as much as the machine takes.
fn send_ahead(front: SocketAddr, name: &str) {
    let mut senders: Vec<Sender> = Vec::new();
    let mut opened = 0_u32;
    loop {
        let mut kept = Vec::with_capacity(senders.len());
        for mut sender in senders {
            if sender.send().is_ok() {
                kept.push(sender);
            }
        }
        senders = kept;
        while senders.len() < CONNECTIONS {
            opened += 1;
            let Ok(sender) = Sender::open(front, &format!("{name}-{opened}")) else {
                break;
            };
            senders.push(sender);
        }
        thread::sleep(Duration::from_millis(50));
    }
}

impl Sender {
    fn open(front: SocketAddr, name: &str) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&front, Duration::from_secs(1))?;
        stream.set_nonblocking(true)?;
        let requests = (0..AHEAD).map(|number| request(&format!("{name}-{number}"))).collect();
        Ok(Self { stream, requests, sent: 0 })
    }

    /// Sends what the connection takes now; fails if it has ended. Answers stay unread.
    fn send(&mut self) -> io::Result<()> {
        match self.stream.peek(&mut [0]) {
            Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
            Ok(_) => {}
            Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
        while self.sent < self.requests.len() {
            match self.stream.write(&self.requests.as_bytes()[self.sent..]) {
                Ok(sent) => self.sent += sent,
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => return Ok(()),
                Err(error) => return Err(error),
            }
        }
        Ok(())
    }
}
