//! A client sends prompts of legal size with very many parts, none of which any server runs.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::{Verdict, engines, http, program, record, store};

/// Memory of a machine of `sites/oradea-spargere.toml`.
const MEMORY_MB: u64 = 110;
const MACHINES: u32 = 2;
/// Length of the run.
const LENGTH: Duration = Duration::from_secs(100);
/// Ends of its process by which a machine breaks the rule.
const MAX_ENDS: u32 = 3;
/// Time after which the platform starts a process again.
const RESTART_DELAY: Duration = Duration::from_millis(300);
/// Connections of the client to each machine, and its pause after each answer.
const CONNECTIONS: u32 = 4;
const PAUSE: Duration = Duration::from_millis(10);
/// Bytes of the list of parts; the whole header stays under the limit of 16,384 bytes.
const LIST_BYTES: usize = 15_900;
/// Pause between the requests of the ordinary caller of each machine.
const ORDINARY_PAUSE: Duration = Duration::from_millis(100);

/// Answers by status; 0 stands for a connection that ended without one.
type Answers = Arc<Mutex<BTreeMap<u16, u64>>>;

pub fn run(folder: &Path, has_trouble: bool, record: &mut record::Record) -> Verdict {
    let (store, address) = store::Store::start();
    let counts = engines::start(&store);
    let mut machines = Vec::new();
    for number in 1..=MACHINES {
        machines.push(program::Machine::start(folder, number, address, MEMORY_MB));
    }
    if !machines.iter().all(program::Machine::wait_ready) {
        record.line("a machine did not become ready");
        return Verdict::NotRun;
    }
    // The contents of the cache stores are known after their first answers.
    thread::sleep(Duration::from_secs(2));
    let (ordinary, hostile) = (Answers::default(), Answers::default());
    for (number, machine) in machines.iter().enumerate() {
        let (front, answers) = (machine.front, ordinary.clone());
        thread::spawn(move || send_ordinary(front, number, &answers));
        for connection in 0..if has_trouble { CONNECTIONS } else { 0 } {
            let (front, answers) = (machine.front, hostile.clone());
            let sender = number as u32 * CONNECTIONS + connection;
            thread::spawn(move || send_many_parts(front, sender, &answers));
        }
    }
    let started_at = Instant::now();
    let mut ends = vec![0; machines.len()];
    let mut reported_s = 0;
    while started_at.elapsed() < LENGTH && ends.iter().any(|ends| *ends < MAX_ENDS) {
        thread::sleep(Duration::from_millis(100));
        let elapsed_s = started_at.elapsed().as_secs();
        for (machine, ends) in machines.iter_mut().zip(&mut ends) {
            let memory_kb = machine.memory_kb();
            let is_over = memory_kb > MEMORY_MB * 1_024;
            if is_over || machine.has_ended() {
                *ends += 1;
                record.line(&format!(
                    "{elapsed_s} s: the process of {} ends for the {ends}. time; its memory: \
                     {memory_kb} kB, limit {} kB",
                    machine.name,
                    MEMORY_MB * 1_024
                ));
                thread::sleep(RESTART_DELAY);
                machine.kill_and_restart();
            }
        }
        if elapsed_s >= reported_s + 5 {
            reported_s = elapsed_s;
            let memory: Vec<_> = machines.iter().map(program::Machine::memory_kb).collect();
            record.line(&format!(
                "{elapsed_s} s: memory {memory:?} kB; answers to ordinary callers {:?}, to the other \
                 client {:?}; servers ran {:?}, rejected {:?}",
                ordinary.lock().expect("no thread panics"),
                hostile.lock().expect("no thread panics"),
                counts.run,
                counts.rejected,
            ));
        }
    }
    record.line(&format!("ends of the processes: {ends:?}"));
    Verdict::broken(ends.iter().filter(|ends| **ends >= MAX_ENDS).count() >= 2)
}

fn count(answers: &Answers, answer: io::Result<u16>) {
    let status = answer.unwrap_or(0);
    *answers.lock().expect("no thread panics").entry(status).or_default() += 1;
}

fn request(id: &str, key: &str, parts: &str) -> String {
    let tokens = parts.split(',').filter_map(|part| part.rsplit(':').next()?.parse::<u64>().ok());
    let usage = tokens.sum::<u64>();
    format!(
        "POST /review/x HTTP/1.1\r\nhost: h.example\r\nrequest-id: {id}\r\nmodel: m1\r\n\
         token-usage: {usage},80\r\nprompt-prefix: {parts}\r\ndeadline-milliseconds: 6000\r\n\
         api-key: {key}\r\ncontent-length: 2\r\n\r\nhi"
    )
}

/// Sends small prompts, each on a new connection.
fn send_ordinary(front: SocketAddr, caller: usize, answers: &Answers) {
    for number in 0.. {
        let request = request(&format!("o{caller}-{number}"), "key1", "5c1e07a2:800,91bd3f06:82");
        let answer = http::Client::open(front).and_then(|mut client| {
            client.send(request.as_bytes())?;
            client.receive()
        });
        count(answers, answer.map(|answer| answer.status()));
        thread::sleep(ORDINARY_PAUSE);
    }
}

/// Sends prompts whose parts no other prompt has, one after another on a connection.
fn send_many_parts(front: SocketAddr, sender: u32, answers: &Answers) {
    let mut number = 0_u32;
    loop {
        let Ok(mut client) = http::Client::open(front) else {
            thread::sleep(Duration::from_millis(100));
            continue;
        };
        loop {
            number += 1;
            let mut parts = String::new();
            for part in 0.. {
                if parts.len() >= LIST_BYTES {
                    break;
                }
                let separator = if part == 0 { "" } else { "," };
                parts += &format!("{separator}{sender:x}{number:05x}{part:03x}:1000");
            }
            let request = request(&format!("h{sender}-{number}"), "key2", &parts);
            let sent = client.send(request.as_bytes());
            let answer = sent.and_then(|()| client.receive()).map(|answer| answer.status());
            let is_open = answer.is_ok();
            count(answers, answer);
            if !is_open {
                break;
            }
            thread::sleep(PAUSE);
        }
    }
}
