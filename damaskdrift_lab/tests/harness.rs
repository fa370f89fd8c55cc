//! Tests of the process harness itself.

use std::collections::BTreeSet;
use std::path::Path;
use std::time::Duration;

use damaskdrift_lab::harness::{Call, Client, Standin, address};
use rstest::rstest;
use tempfile::TempDir;

/// Longest wait for an answer of a process that is meant to be silent.
const SILENCE: Duration = Duration::from_millis(300);
/// Longest wait for the end of a process.
const END_LIMIT: Duration = Duration::from_secs(5);

async fn start(folder: &Path) -> Standin {
    let standin = Standin::start("key-value", "kv", &[], folder, &Client::new()).await;
    standin.expect("the stand-in starts")
}

/// Returns the status of a call that an empty key-value service answers with 404.
async fn status(standin: &Standin) -> Option<u16> {
    let call = Call::get(standin.address, "/v1/kv/key").with_timeout(SILENCE);
    Client::new().send(call).await.map(|answer| answer.status).ok()
}

/// Guards against a frozen process that answers, or one that stays frozen.
#[tokio::test]
async fn freeze_lasts_until_thaw() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let mut standin = start(folder.path()).await;
    assert_eq!(status(&standin).await, Some(404));
    standin.process.freeze().expect("the process runs");
    assert_eq!(status(&standin).await, None);
    standin.process.thaw().expect("the process runs");
    assert_eq!(status(&standin).await, Some(404));
}

/// Guards against a process that survives its kill or loses its address.
#[rstest]
#[case::running(false)]
#[case::frozen(true)]
#[tokio::test]
async fn kill_ends_and_restart_keeps_the_address(#[case] is_frozen: bool) {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let mut standin = start(folder.path()).await;
    let (address, id) = (standin.address, standin.process.id());
    if is_frozen {
        standin.process.freeze().expect("the process runs");
    }
    standin.process.kill().expect("the process can be killed");
    assert_eq!(standin.process.wait(END_LIMIT).await.expect("the process ended"), -9);
    assert_eq!(status(&standin).await, None);
    standin.restart().await.expect("the stand-in starts again");
    assert_eq!(standin.address, address);
    assert_ne!(standin.process.id(), id);
    assert_eq!(status(&standin).await, Some(404));
}

/// Guards against a process that outlives the test which started it.
#[tokio::test]
async fn drop_ends_the_process() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let standin = start(folder.path()).await;
    let path = format!("/proc/{}", standin.process.id());
    assert!(Path::new(&path).exists());
    drop(standin);
    assert!(!Path::new(&path).exists());
}

/// Guards against a failed start that says nothing about its cause.
#[tokio::test]
async fn failed_start_shows_the_log() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let args = ["--no-such-option".to_owned()];
    let result = Standin::start("key-value", "kv", &args, folder.path(), &Client::new()).await;
    let message = result.expect_err("the option is unknown").to_string();
    assert!(message.contains("--no-such-option"), "{message}");
    assert!(folder.path().join("kv.log").is_file());
}

/// Guards against signals to a process id that now belongs to another process.
#[tokio::test]
async fn ended_process_gets_no_signal() {
    let folder = TempDir::new().expect("a temporary folder can be created");
    let mut standin = start(folder.path()).await;
    standin.process.terminate().expect("the process runs");
    let code = standin.process.wait(END_LIMIT).await.expect("the process ends");
    assert_eq!(code, -15);
    assert!(standin.process.freeze().is_err());
}

/// Guards against two processes at one address, of which the second cannot listen.
#[test]
fn addresses_differ() {
    let count = 600;
    let addresses: BTreeSet<_> = (0..count).map(|_| address::unique_ip()).collect();
    assert_eq!(addresses.len(), count);
    assert!(addresses.iter().all(|ip| ip.is_loopback() && !matches!(ip.octets()[3], 0 | 255)));
}

/// Guards against a port that the system gives to another process before its owner listens.
#[test]
fn free_ports_are_not_chosen_by_the_system() {
    let range = std::fs::read_to_string("/proc/sys/net/ipv4/ip_local_port_range");
    let range = range.expect("Linux has this file");
    let mut bounds = range.split_whitespace().map(|bound| bound.parse::<u16>());
    let least = bounds.next().expect("the file has two numbers").expect("they are ports");
    for _ in 0..100 {
        let address = address::free_port(address::unique_ip()).expect("a port is free");
        assert!(address.port() < least, "{address} is in the system's range from {least}");
    }
}
