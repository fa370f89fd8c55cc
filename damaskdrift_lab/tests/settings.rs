//! Process tests of reading the settings again.

use std::fs;
use std::time::{Duration, Instant};

use damaskdrift_lab::harness::Fleet;
use damaskdrift_lab::harness::fleet::{KEY, MODEL};
use rustix::process::Signal;
use serde_json::json;

const LIMIT: Duration = Duration::from_secs(10);

async fn status_of_prompt(fleet: &Fleet) -> u16 {
    let call = fleet.instances[0].call(hyper::Method::POST, "/v1/completions", KEY);
    let body =
        json!({"model": MODEL, "prompt": "long enough to exceed the limit", "max_tokens": 1});
    fleet.http.send(call.with_json(&body)).await.expect("an answer").status
}

async fn reload(fleet: &mut Fleet, settings: &str, logged: &str) {
    let instance = &mut fleet.instances[0];
    fs::write(instance.settings_path(), settings).expect("the settings can be written");
    instance.process.signal(Signal::HUP).expect("the instance runs");
    let start = Instant::now();
    while !instance.process.log().contains(logged) {
        assert!(start.elapsed() < LIMIT, "no {logged:?} in {}", instance.process.log());
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
}

// Guards against faulty settings that end an instance or replace good ones, and against good ones
// that are not put in force.
#[tokio::test]
async fn settings_are_read_again_unless_they_have_a_fault() {
    let mut fleet = Fleet::builder().start().await.expect("the fleet starts");
    fleet.warm_up(LIMIT).await.expect("the fleet answers");
    let settings = fs::read_to_string(fleet.instances[0].settings_path()).expect("the settings");
    let faulty = format!("{settings}\n[limits]\nmax_body_bytes = 16\nunknown_key = 1\n");
    reload(&mut fleet, &faulty, "the old settings stay in force").await;
    assert_eq!(status_of_prompt(&fleet).await, 200);
    let smaller = format!("{settings}\n[limits]\nmax_body_bytes = 16\n");
    reload(&mut fleet, &smaller, "settings read again").await;
    assert_eq!(status_of_prompt(&fleet).await, 413);
}
