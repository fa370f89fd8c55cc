//! Process tests of kept KV cache: engines, a store and entry instances.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use std::time::{Duration, Instant};

use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_lab::harness::fleet::{KEY, MODEL, OTHER_KEY, VERSION};
use damaskdrift_lab::harness::{Client, Fleet, Response, Standin};
use damaskdrift_lab::standin::engine::text;
use hyper::Method;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Tokens of a prompt; at 2,000 a second they take 0.8 s to compute.
const TOKENS: usize = 1_600;
/// Longest wait for an export.
const EXPORT_LIMIT: Duration = Duration::from_secs(10);

struct Setup {
    fleet: Fleet,
    store: Standin,
    _folder: TempDir,
}

async fn setup(instances: usize) -> Setup {
    let folder = TempDir::new().unwrap();
    let store = Standin::start("store", "store", &[], folder.path(), &Client::new()).await.unwrap();
    let address = store.address.to_string();
    let flags = ["--model", MODEL, "--version", VERSION, "--cold-limit", "64"];
    let rates = ["--prefill-rate", "2000", "--decode-rate-each", "0", "--event-gap-rate", "0"];
    let fleet = Fleet::builder()
        .with_instances(instances)
        .with_engines(2)
        .with_engine_args(&flags)
        .with_engine_args(&rates)
        .with_document_edit(move |document| {
            let store = fleet::Upstream {
                address,
                failure_domain: id::FailureDomain::new("a"),
                fencing: fleet::Fencing::Ignored,
                kind: fleet::Kind::Store,
            };
            document.upstreams.insert(id::Upstream::new("store-0"), store);
        })
        .start()
        .await
        .unwrap();
    // The engines' reports are read twice a second.
    tokio::time::sleep(Duration::from_millis(700)).await;
    Setup { fleet, store, _folder: folder }
}

impl Setup {
    async fn send(&self, instance: usize, key: &str, prompt: &str) -> Response {
        let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 4});
        let call = self.fleet.instances[instance].call(Method::POST, "/v1/completions", key);
        let answer = self.fleet.http.send(call.with_json(&body)).await.unwrap().ok().unwrap();
        let words = text::words(MODEL, VERSION, prompt, 4);
        assert_eq!(answer.json::<Value>().unwrap()["choices"][0]["text"], words.join(" "));
        answer
    }

    async fn engine_sum(&self, name: &str) -> u64 {
        let mut sum = 0;
        for engine in &self.fleet.engines {
            sum += engine.stats::<Value>().await.unwrap()[name].as_u64().unwrap();
        }
        sum
    }

    /// Drops the prefix caches of all engines, as the gap between two prompts of a caller does.
    async fn evict_all(&self) {
        for engine in &self.fleet.engines {
            engine.set_fault(&json!({"cold": true})).await.unwrap();
        }
        // Cache events are 200 ms late and read twice a second.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }

    async fn wait_for_blocks(&self, blocks: u64) {
        let started = Instant::now();
        while started.elapsed() < EXPORT_LIMIT {
            let stats: Value = self.store.stats().await.unwrap();
            if stats["blocks"].as_u64().unwrap() >= blocks {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("fewer than {blocks} blocks were exported within {EXPORT_LIMIT:?}");
    }
}

fn prompt(salt: &str) -> String {
    let words: Vec<String> = (0..TOKENS).map(|n| format!("{salt}{n}")).collect();
    words.join(" ")
}

// Guards against a returning prompt that is computed again although a store keeps its blocks, also
// when it returns at another instance.
#[tokio::test]
async fn returning_prompts_are_imported() {
    let setup = setup(2).await;
    let prompt = prompt("w");
    setup.send(0, KEY, &prompt).await;
    setup.wait_for_blocks(TOKENS as u64 / 16).await;
    setup.evict_all().await;
    let computed = setup.engine_sum("prefill_tokens").await;
    setup.send(1, KEY, &prompt).await;
    let again = setup.engine_sum("prefill_tokens").await - computed;
    assert!(again < 100, "{again} tokens were computed again");
    assert!(setup.engine_sum("cached_tokens").await >= TOKENS as u64 - 100);
}

// Guards against a prompt that goes where its blocks are not, although an engine holds them.
#[tokio::test]
async fn soon_returning_prompts_stay_with_their_engine() {
    let setup = setup(1).await;
    let prompts: Vec<String> = (0..4).map(|n| prompt(&format!("p{n}x"))).collect();
    for prompt in &prompts {
        setup.send(0, KEY, prompt).await;
    }
    let computed = setup.engine_sum("prefill_tokens").await;
    for prompt in &prompts {
        setup.send(0, KEY, prompt).await;
    }
    let again = setup.engine_sum("prefill_tokens").await - computed;
    assert!(again <= 4, "{again} tokens were computed again");
}

// Guards against a stalled link or a dead store that holds up a prompt for longer than computing it
// takes.
#[tokio::test]
async fn a_stalled_link_does_not_hold_up_a_prompt() {
    let mut setup = setup(1).await;
    let prompt = prompt("w");
    setup.send(0, KEY, &prompt).await;
    setup.wait_for_blocks(TOKENS as u64 / 16).await;
    setup.evict_all().await;
    setup.store.set_fault(&json!({"stalled": true})).await.unwrap();
    // Computing takes 0.8 s; an import that is given up may take as long again.
    let stalled = setup.send(0, KEY, &prompt).await.elapsed;
    assert!(stalled < Duration::from_millis(2_000), "{stalled:?}");
    setup.evict_all().await;
    setup.store.process.kill().unwrap();
    let dead = setup.send(0, KEY, &prompt).await.elapsed;
    assert!(dead < Duration::from_millis(2_000), "{dead:?}");
}

// Guards against an engine that tells one workspace's prompt from another's by its text alone.
#[tokio::test]
async fn workspaces_share_no_blocks() {
    let setup = setup(1).await;
    let prompt = prompt("w");
    setup.send(0, KEY, &prompt).await;
    setup.wait_for_blocks(TOKENS as u64 / 16).await;

    setup.send(0, OTHER_KEY, &prompt).await;
    assert_eq!(setup.engine_sum("cached_tokens").await, 0);
}
