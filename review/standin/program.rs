//! Processes of the program under test.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr, TcpListener};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Connection};

/// The metrics port of the deploy file.
const METRICS_PORT: u16 = 9_464;

unsafe extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

/// Signals, the same on all Linux machines.
pub const KILL: i32 = 9;
pub const TERMINATE: i32 = 15;
const CONTINUE: i32 = 18;
const STOP: i32 = 19;

/// Period in which the platform counts a process's processor time (DEPLOY.md, Processor).
const SHARE_PERIOD: Duration = Duration::from_millis(100);

/// An instance in a process of its own, killed when this is dropped.
pub struct Instance {
    pub name: String,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    settings: PathBuf,
    child: Child,
}

impl Instance {
    /// Starts an instance with the command of the deploy file and settings like those of the site.
    pub fn start(number: u8, store: SocketAddr, folder: &Path) -> Option<Self> {
        let ip = free_address(number)?;
        let (front, ready) = (free_port(ip)?, free_port(ip)?);
        let inner = free_port(ip)?.port();
        let name = format!("front-hala-spargere-{number}");
        let settings = settings(&name, (ip, front, ready, inner), store);
        let path = folder.join(format!("{name}.json"));
        fs::write(&path, settings).ok()?;
        let child = spawn(&path)?;
        Some(Self { name, front, ready, settings: path, child })
    }

    /// Starts the instance again after it was killed, and returns whether that succeeded.
    pub fn restart(&mut self) -> bool {
        let is_ended = self.child.wait().is_ok();
        let child = spawn(&self.settings);
        is_ended && child.map(|child| self.child = child).is_some()
    }

    pub fn is_ready(&self) -> bool {
        let Ok(mut conn) = Connection::open(self.ready) else {
            return false;
        };
        let request = b"GET /damaskdrift/readiness HTTP/1.1\r\nHost: ready\r\n\r\n";
        conn.write(request).is_ok() && conn.read().is_some_and(|answer| answer.status() == 200)
    }

    pub fn wait_until_ready(&self) -> bool {
        let deadline = Instant::now() + Duration::from_secs(10);
        while Instant::now() < deadline {
            if self.is_ready() {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    pub fn signal(&self, signal: i32) {
        let pid = i32::try_from(self.child.id()).expect("process ids fit into i32");
        // SAFETY: the call has no memory effects, and the process is not waited for before.
        unsafe { kill(pid, signal) };
    }

    /// Holds the process to `cpu-share` of a core, as the platform does: it runs at full speed until
    /// its share of a tenth of a second is used up, and then not at all for the rest of it.
    ///
    /// The limit ends with the returned value, which has to be dropped before the instance.
    pub fn hold_to_share(&self, share: f64) -> ShareLimit {
        let process = i32::try_from(self.child.id()).expect("process ids fit into i32");
        let is_over = Arc::new(AtomicBool::new(false));
        let ends = is_over.clone();
        let thread = thread::spawn(move || {
            let allowed = SHARE_PERIOD.mul_f64(share);
            while !ends.load(Ordering::SeqCst) {
                let (started, used) = (Instant::now(), processor_time(process));
                let mut is_stopped = false;
                while started.elapsed() < SHARE_PERIOD {
                    if !is_stopped && processor_time(process).saturating_sub(used) >= allowed {
                        // SAFETY: the call has no memory effects; the process is a child not yet
                        // waited for.
                        unsafe { kill(process, STOP) };
                        is_stopped = true;
                    }
                    thread::sleep(Duration::from_millis(1));
                }
                if is_stopped {
                    // SAFETY: as above.
                    unsafe { kill(process, CONTINUE) };
                }
            }
        });
        ShareLimit { is_over, thread: Some(thread) }
    }

    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

/// A limit on a process's processor time, which lasts until it is dropped.
pub struct ShareLimit {
    is_over: Arc<AtomicBool>,
    thread: Option<thread::JoinHandle<()>>,
}

impl Drop for ShareLimit {
    fn drop(&mut self) {
        self.is_over.store(true, Ordering::SeqCst);
        // The thread only sends signals.
        let _ = self.thread.take().map(thread::JoinHandle::join);
    }
}

/// Returns the processor time of the process's main thread, on which all requests are served.
fn processor_time(process: i32) -> Duration {
    let text = fs::read_to_string(format!("/proc/{process}/schedstat")).unwrap_or_default();
    let ns = text.split_whitespace().next().and_then(|ns| ns.parse().ok()).unwrap_or(0);
    Duration::from_nanos(ns)
}

impl Drop for Instance {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Starts the program with the command of the deploy file; its log stands beside the settings.
fn spawn(settings: &Path) -> Option<Child> {
    let log = settings.with_extension("log");
    let log = fs::OpenOptions::new().create(true).append(true).open(log).ok()?;
    Command::new("target/release/damaskdrift_platform")
        .arg("serve")
        .env("DAMASKDRIFT_BOOT", settings)
        .stdin(Stdio::null())
        .stdout(log.try_clone().ok()?)
        .stderr(log)
        .spawn()
        .ok()
}

/// Returns a loopback address on which the metrics port is free.
fn free_address(number: u8) -> Option<Ipv4Addr> {
    let id = std::process::id();
    for attempt in 0..50_u32 {
        let mixed = id.wrapping_mul(31).wrapping_add(attempt * 7);
        let ip = Ipv4Addr::new(127, 1 + (mixed % 200) as u8, 1 + (mixed / 200 % 200) as u8, number);
        if TcpListener::bind((ip, METRICS_PORT)).is_ok() {
            return Some(ip);
        }
    }
    None
}

/// Returns a free port on an address.
fn free_port(ip: Ipv4Addr) -> Option<SocketAddr> {
    TcpListener::bind((ip, 0)).ok()?.local_addr().ok()
}

/// Listens on a free loopback port.
pub fn listen() -> TcpListener {
    TcpListener::bind("127.0.0.1:0").expect("a loopback port is free")
}

/// Returns an empty folder in the folder for temporary files.
pub fn temporary_folder(case: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("review-{case}-{}", std::process::id()));
    fs::create_dir_all(&folder).expect("temporary files may be created");
    folder
}

fn settings(
    name: &str,
    (ip, front, ready, inner): (Ipv4Addr, SocketAddr, SocketAddr, u16),
    store: SocketAddr,
) -> String {
    format!(
        r#"{{"node": "{name}", "role": "entry", "machine-class": "front", "serves": ["front"],
"ip": "{ip}", "zone": "hala-spargere", "region": "bihor", "zones": {{"hala-spargere": "bihor"}},
"listen": {{"front": "{front}", "ready": "{ready}"}}, "internal-ports": [{inner}, {inner}],
"seeds": [], "first-start": true, "include-in-tolerance": true,
"limits": {{"cpu-share": 0.25, "cores": 1, "memory-mb": 110, "file-descriptors": 4100, "link-mbps": 1000.0, "disk-mb": 0}},
"data-directory": null, "discovery": "platform", "entry": "virtual_ip", "heartbeat-ms": 1200,
"contracts": ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream", "engine", "tenants", "places", "rollout", "platform"],
"fault-tolerance": {{"machines": 1, "zones": 1, "regions": 0}},
"bounds": {{"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000, "acknowledge-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8, "loss-slack-ms": 200, "configuration-apply-ms": 2000, "downgrade-slack-ms": 250, "outer-bound-ms": 5000, "strict-revocation": true, "revoke-ms": 5000, "budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 56, "expose-share": 0.1, "expose-slack": 50, "rollback-ms": 5000, "cold-over": 1.5, "cold-slack": 5, "evacuate-ms": 5000, "recover-s": 12, "transit-ms": 120, "reuse-window-s": 20, "fencing-required": true, "lease-ms": 3000, "thaw-slack-ms": 300, "version-ms": 8000, "version-all-ms": 11000}},
"platform": {{"address": "{store}", "form": "kv", "writes-per-s": 400, "reads-per-s": 2000, "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000}}}}"#
    )
}

/// Sends a request on a connection and returns the response if it is complete.
pub fn exchange(conn: &mut Connection, request: &str) -> Option<http::Message> {
    conn.write(request.as_bytes()).ok()?;
    conn.read()
}
