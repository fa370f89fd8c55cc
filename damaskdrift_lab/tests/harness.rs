//! Tests of the process harness.

use std::collections::BTreeSet;
use std::io;
use std::net;
use std::path::Path;
use std::process;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread;
use std::time::Duration;

use damaskdrift_lab::harness::{Call, Client, Standin, address};
use rstest::rstest;
use tempfile::TempDir;

/// Time limit for a response, after which a process counts as not responding.
const RESPONSE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time limit for a process to exit.
const EXIT_TIMEOUT: Duration = Duration::from_secs(5);
/// Threads that start processes while free ports are checked.
const SPAWNING_THREADS: usize = 4;
/// Number of free ports that a test checks.
const CHECKED_PORTS: usize = 10_000;
/// Listeners that are open at one address while free ports are chosen there.
const OPEN_LISTENERS: usize = 200;

async fn start(dir: &Path) -> Standin {
    let standin = Standin::start("key-value", "kv", &[], dir, &Client::new()).await;
    standin.expect("the stand-in starts")
}

/// Returns the status of a read that an empty key-value service rejects with 404, or `None` if it
/// does not respond.
async fn status(standin: &Standin) -> Option<u16> {
    let call = Call::get(standin.address, "/v1/kv/key").with_timeout(RESPONSE_TIMEOUT);
    Client::new().send(call).await.map(|response| response.status).ok()
}

/// Guards against a frozen process that responds, and against a thawed one that does not.
#[tokio::test]
async fn frozen_process_responds_only_after_thaw() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let mut standin = start(dir.path()).await;
    assert_eq!(status(&standin).await, Some(404));
    standin.process.freeze().expect("the process runs");
    assert_eq!(status(&standin).await, None);
    standin.process.thaw().expect("the process runs");
    assert_eq!(status(&standin).await, Some(404));
}

/// Guards against a process that survives SIGKILL, and against one that restarts at another address.
#[rstest]
#[case::running(false)]
#[case::frozen(true)]
#[tokio::test]
async fn kill_ends_and_restart_keeps_the_address(#[case] is_frozen: bool) {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let mut standin = start(dir.path()).await;
    let (address, id) = (standin.address, standin.process.id());
    if is_frozen {
        standin.process.freeze().expect("the process runs");
    }
    standin.process.kill().expect("the process can be killed");
    assert_eq!(standin.process.wait(EXIT_TIMEOUT).await.expect("the process ended"), -9);
    assert_eq!(status(&standin).await, None);
    standin.restart().await.expect("the stand-in starts again");
    assert_eq!(standin.address, address);
    assert_ne!(standin.process.id(), id);
    assert_eq!(status(&standin).await, Some(404));
}

/// Guards against a process that outlives the test that started it.
#[tokio::test]
async fn drop_ends_the_process() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let standin = start(dir.path()).await;
    let path = format!("/proc/{}", standin.process.id());
    assert!(Path::new(&path).exists());
    drop(standin);
    assert!(!Path::new(&path).exists());
}

/// Guards against a start error that does not include the output of the process.
#[tokio::test]
async fn failed_start_shows_the_log() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let args = ["--no-such-option".to_owned()];
    let result = Standin::start("key-value", "kv", &args, dir.path(), &Client::new()).await;
    let message = result.expect_err("the option is unknown").to_string();
    assert!(message.contains("--no-such-option"), "{message}");
    assert!(dir.path().join("kv.log").is_file());
}

/// Guards against a signal to a process id that the system may have given to another process.
#[tokio::test]
async fn ended_process_gets_no_signal() {
    let dir = TempDir::new().expect("a temporary folder can be created");
    let mut standin = start(dir.path()).await;
    standin.process.terminate().expect("the process runs");
    let code = standin.process.wait(EXIT_TIMEOUT).await.expect("the process ends");
    assert_eq!(code, -15);
    assert!(standin.process.freeze().is_err());
}

/// Guards against two processes that get the same address, so that the second cannot listen.
#[test]
fn addresses_differ() {
    let count = 600;
    let addresses: BTreeSet<_> = (0..count).map(|_| address::unique_ip()).collect();
    assert_eq!(addresses.len(), count);
    assert!(addresses.iter().all(|ip| ip.is_loopback() && !matches!(ip.octets()[3], 0 | 255)));
}

/// Guards against a port in the ephemeral range, which the system may give to another process before
/// the intended one listens.
#[test]
fn free_ports_are_below_the_ephemeral_range() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("Linux has this file");
    let mut bounds = range.split_whitespace().map(|bound| bound.parse::<u16>());
    let lowest = bounds.next().expect("the file has two numbers").expect("they are ports");
    for _ in 0..100 {
        let address = address::free_port(address::unique_ip()).expect("a port is free");
        assert!(address.port() < lowest, "{address} is in the ephemeral range from {lowest}");
    }
}

/// Returns an error if a port from `free_port` does not refuse a connection or cannot be listened on.
fn check_free_port(ip: net::Ipv4Addr) -> Result<(), String> {
    let address = address::free_port(ip).map_err(|error| error.to_string())?;
    match net::TcpStream::connect(address) {
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {}
        Err(error) => return Err(format!("a connection to {address} fails with {error}")),
        Ok(_) => return Err(format!("a connection to {address} is accepted")),
    }
    match net::TcpListener::bind(address) {
        Ok(_) => Ok(()),
        Err(error) => Err(format!("cannot listen on {address}: {error}")),
    }
}

/// Guards against a free port that still has a listener. A child process holds a copy of every socket
/// of its parent until it executes its program, so a listener that `free_port` opens and closes stays
/// open in a child that another thread is starting.
#[test]
fn free_ports_have_no_listener_while_processes_start() {
    let ip = address::unique_ip();
    let is_done = AtomicBool::new(false);
    let start_processes = || {
        while !is_done.load(Ordering::Relaxed) {
            process::Command::new("true").status().expect("the program can be run");
        }
    };
    let result = thread::scope(|scope| {
        for _ in 0..SPAWNING_THREADS {
            scope.spawn(start_processes);
        }
        // A panic before the flag is set would leave the threads running, so errors are returned.
        let result = (0..CHECKED_PORTS).try_for_each(|_| check_free_port(ip));
        is_done.store(true, Ordering::Relaxed);
        result
    });
    assert_eq!(result, Ok(()));
}

/// Guards against a port on which another socket already listens.
#[test]
fn free_ports_differ_from_those_of_listeners() {
    let ip = address::unique_ip();
    let mut listeners = Vec::new();
    for _ in 0..OPEN_LISTENERS {
        let address = address::free_port(ip).expect("a port is free");
        listeners.push(net::TcpListener::bind(address).expect("the port is free"));
    }
    let used = listeners.iter().map(|listener| listener.local_addr().expect("it is bound"));
    let used: BTreeSet<_> = used.collect();
    for _ in 0..CHECKED_PORTS {
        let address = address::free_port(ip).expect("a port is free");
        assert!(!used.contains(&address), "a socket listens on {address}");
    }
}
