//! The program under test, one process for each machine.

use std::fs;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// The command of the deploy file.
const PROGRAM: (&str, &str) = ("target/release/damaskdrift_platform", "serve");
/// Time in which a machine has to become ready.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A machine of the deployment.
pub struct Machine {
    /// Its name.
    pub name: String,
    /// Address for consumers.
    pub front: SocketAddr,
    /// Address of the program's metrics.
    pub metrics: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    log: PathBuf,
    child: Child,
}

impl Machine {
    /// Starts a machine with a memory limit. Each machine has a loopback address of its own, because
    /// the port of the metrics is fixed.
    pub fn start(folder: &Path, number: u32, store: SocketAddr, memory_mb: u64) -> Self {
        let id = std::process::id();
        let ip = format!("127.{}.{}.{number}", (id >> 7 & 0x7f) + 1, (id & 0x7f) + 1);
        let name = format!("front-{number}");
        let address = |port: u16| format!("{ip}:{port}").parse().expect("a valid address");
        let settings = folder.join(format!("{name}.json"));
        let text = SETTINGS
            .replace("NAME", &name)
            .replace("STORE", &store.to_string())
            .replace("MEMORY", &memory_mb.to_string())
            .replace("IP", &ip);
        fs::write(&settings, text).expect("the temporary folder is writable");
        let log = folder.join(format!("{name}.log"));
        let child = spawn(&settings, &log);
        let (front, ready, metrics) = (address(8_001), address(8_002), address(9_464));
        Self { name, front, metrics, ready, settings, log, child }
    }

    /// Waits until the machine is ready; returns whether it is in time.
    pub fn wait_ready(&self) -> bool {
        let ends_at = Instant::now() + START_TIMEOUT;
        while Instant::now() < ends_at {
            let response = http::get(self.ready, "/damaskdrift/readiness");
            if response.is_ok_and(|response| response.status() == 200) {
                return true;
            }
            thread::sleep(Duration::from_millis(50));
        }
        false
    }

    /// Returns the resident memory of the process in kilobytes, or 0 if it has ended.
    pub fn memory_kb(&self) -> u64 {
        let status = fs::read_to_string(format!("/proc/{}/status", self.child.id()));
        let status = status.unwrap_or_default();
        let line = status.lines().find(|line| line.starts_with("VmRSS:")).unwrap_or_default();
        line.split_whitespace().nth(1).and_then(|number| number.parse().ok()).unwrap_or(0)
    }

    /// Kills the process, as the platform does with one over its memory limit, and starts it again.
    pub fn kill_and_restart(&mut self) {
        self.stop();
        self.child = spawn(&self.settings, &self.log);
    }

    /// Returns whether the process has ended.
    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_some())
    }

    fn stop(&mut self) {
        // The process may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Drop for Machine {
    fn drop(&mut self) {
        self.stop();
    }
}

fn spawn(settings: &Path, log: &Path) -> Child {
    let output = fs::OpenOptions::new().create(true).append(true).open(log);
    Command::new(PROGRAM.0)
        .arg(PROGRAM.1)
        .env("DAMASKDRIFT_BOOT", settings)
        .stdout(output.expect("the temporary folder is writable"))
        .stderr(Stdio::null())
        .spawn()
        .expect("the program was built")
}

/// Settings of a `front` machine, with the bounds of `sites/oradea-spargere.toml`.
const SETTINGS: &str = r#"{
    "node": "NAME", "role": "entry", "machine-class": "front", "serves": ["front"],
    "ip": "IP", "zone": "z1", "region": "r1", "zones": {"z1": "r1"},
    "listen": {"front": "IP:8001", "ready": "IP:8002"},
    "internal-ports": [8003, 8018], "seeds": [], "first-start": true,
    "include-in-tolerance": false,
    "limits": {"cpu-share": 0.25, "cores": 1, "memory-mb": MEMORY, "file-descriptors": 4100,
        "link-mbps": 1000.0, "disk-mb": 0},
    "data-directory": null, "discovery": "platform", "entry": "virtual_ip", "heartbeat-ms": 1200,
    "contracts": ["base", "drain", "config", "cost", "retry", "recover", "kvcache", "stream",
        "engine", "tenants", "places", "rollout", "platform"],
    "fault-tolerance": {"machines": 1, "zones": 1, "regions": 0},
    "bounds": {"seed-lag-s": 3, "reuse-after-s": 2, "stable-window-ms": 3000,
        "acknowledge-ms": 4000, "catch-up-s": 4, "drain-ms": 2000, "grace-s": 8,
        "loss-slack-ms": 200, "configuration-apply-ms": 2000, "downgrade-slack-ms": 250,
        "outer-bound-ms": 5000, "strict-revocation": true, "revoke-ms": 5000,
        "budget-ratio": 0.2, "budget-window-s": 10, "budget-slack": 56, "expose-share": 0.1,
        "expose-slack": 50, "rollback-ms": 5000, "cold-over": 1.5, "cold-slack": 5,
        "evacuate-ms": 5000, "recover-s": 12, "transit-ms": 120, "reuse-window-s": 20,
        "fencing-required": true, "lease-ms": 3000, "thaw-slack-ms": 300, "version-ms": 8000,
        "version-all-ms": 11000},
    "platform": {"address": "STORE", "form": "kv", "writes-per-s": 400, "reads-per-s": 2000,
        "history-s": 20, "value-bytes": 1048576, "ttl-min-ms": 1000}
}"#;
