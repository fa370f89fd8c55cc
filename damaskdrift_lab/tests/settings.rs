//! Tests of settings reload in an instance process.

use std::fs;
use std::time::{Duration, Instant};

use damaskdrift_lab::harness::Fleet;
use damaskdrift_lab::harness::fleet::{KEY, MODEL};
use rustix::process::Signal;
use serde_json::json;

/// Time limit for warm-up and for the log message after a reload.
const TIMEOUT: Duration = Duration::from_secs(10);

async fn prompt_status(fleet: &Fleet) -> u16 {
    let call = fleet.instances[0].call(hyper::Method::POST, "/v1/completions", KEY);
    let body =
        json!({"model": MODEL, "prompt": "long enough to exceed the limit", "max_tokens": 1});
    fleet.http.send(call.with_json(&body)).await.expect("a response").status
}

async fn reload(fleet: &mut Fleet, settings: &str, message: &str) {
    let instance = &mut fleet.instances[0];
    fs::write(instance.settings_path(), settings).expect("the settings can be written");
    instance.process.signal(Signal::HUP).expect("the instance runs");
    let started_at = Instant::now();
    while !instance.process.log().contains(message) {
        assert!(started_at.elapsed() < TIMEOUT, "no {message:?} in {}", instance.process.log());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// Guards against invalid settings that stop an instance or replace valid ones, and against valid
// settings that do not take effect.
#[tokio::test]
async fn reload_applies_valid_settings_and_rejects_invalid_ones() {
    let mut fleet = Fleet::builder().start().await.expect("the fleet starts");
    fleet.warm_up(TIMEOUT).await.expect("the fleet serves prompts");
    let settings = fs::read_to_string(fleet.instances[0].settings_path()).expect("the settings");
    let invalid = format!("{settings}\n[limits]\nmax_body_bytes = 16\nunknown_key = 1\n");
    reload(&mut fleet, &invalid, "the old settings stay in force").await;
    assert_eq!(prompt_status(&fleet).await, 200);
    let smaller = format!("{settings}\n[limits]\nmax_body_bytes = 16\n");
    reload(&mut fleet, &smaller, "settings read again").await;
    assert_eq!(prompt_status(&fleet).await, 413);
}
