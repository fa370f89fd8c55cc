//! Process tests of prefix caching with engines, a cache store and entry instances.

#![allow(clippy::unwrap_used, reason = "test helpers may panic like tests")]

use std::time::{Duration, Instant};

use damaskdrift_core::fleet;
use damaskdrift_core::id;
use damaskdrift_lab::harness::fleet::{KEY, MODEL, OTHER_KEY, VERSION};
use damaskdrift_lab::harness::{Client, Fleet, Response, Standin};
use damaskdrift_lab::standin::engine::text;
use hyper::Method;
use serde_json::{Value, json};
use tempfile::TempDir;

/// Length of a prompt; prefill takes 0.8 s at 2,000 tokens/s.
const PROMPT_TOKENS: usize = 1_600;
/// Timeout of an export.
const EXPORT_TIMEOUT: Duration = Duration::from_secs(10);

struct Setup {
    fleet: Fleet,
    store: Standin,
    _dir: TempDir,
}

async fn setup(instances: usize) -> Setup {
    let dir = TempDir::new().unwrap();
    let store = Standin::start("store", "store", &[], dir.path(), &Client::new()).await.unwrap();
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
    // Instances poll the load reports of the engines every 500 ms.
    tokio::time::sleep(Duration::from_millis(700)).await;
    Setup { fleet, store, _dir: dir }
}

impl Setup {
    async fn send(&self, instance: usize, key: &str, prompt: &str) -> Response {
        let body = json!({"model": MODEL, "prompt": prompt, "max_tokens": 4});
        let call = self.fleet.instances[instance].call(Method::POST, "/v1/completions", key);
        let response = self.fleet.http.send(call.with_json(&body)).await.unwrap().ok().unwrap();
        let words = text::words(MODEL, VERSION, prompt, 4);
        assert_eq!(response.json::<Value>().unwrap()["choices"][0]["text"], words.join(" "));
        response
    }

    async fn sum_over_engines(&self, name: &str) -> u64 {
        let mut sum = 0;
        for engine in &self.fleet.engines {
            sum += engine.stats::<Value>().await.unwrap()[name].as_u64().unwrap();
        }
        sum
    }

    /// Clears the prefix caches of all engines, as eviction does in the time between two prompts of a
    /// caller.
    async fn evict_all(&self) {
        for engine in &self.fleet.engines {
            engine.set_fault(&json!({"cold": true})).await.unwrap();
        }
        // Cache events become visible after 200 ms and are polled every 500 ms.
        tokio::time::sleep(Duration::from_millis(1_500)).await;
    }

    async fn wait_for_blocks(&self, blocks: u64) {
        let started = Instant::now();
        while started.elapsed() < EXPORT_TIMEOUT {
            let stats: Value = self.store.stats().await.unwrap();
            if stats["blocks"].as_u64().unwrap() >= blocks {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
        panic!("fewer than {blocks} blocks were exported within {EXPORT_TIMEOUT:?}");
    }
}

fn prompt(prefix: &str) -> String {
    let words: Vec<String> = (0..PROMPT_TOKENS).map(|n| format!("{prefix}{n}")).collect();
    words.join(" ")
}

// Guards against recomputing a returning prompt although the cache store has its blocks, also when
// it is sent to another instance.
#[tokio::test]
async fn returning_prompts_are_imported() {
    let setup = setup(2).await;
    let prompt = prompt("w");
    setup.send(0, KEY, &prompt).await;
    setup.wait_for_blocks(PROMPT_TOKENS as u64 / 16).await;
    setup.evict_all().await;
    let before = setup.sum_over_engines("prefill_tokens").await;
    setup.send(1, KEY, &prompt).await;
    let recomputed = setup.sum_over_engines("prefill_tokens").await - before;
    assert!(recomputed < 100, "{recomputed} tokens were recomputed");
    assert!(setup.sum_over_engines("cached_tokens").await >= PROMPT_TOKENS as u64 - 100);
}

// Guards against a prompt that is sent to an engine without its blocks although another has them.
#[tokio::test]
async fn repeated_prompts_return_to_the_same_engine() {
    let setup = setup(1).await;
    let prompts: Vec<String> = (0..4).map(|n| prompt(&format!("p{n}x"))).collect();
    for prompt in &prompts {
        setup.send(0, KEY, prompt).await;
    }
    let before = setup.sum_over_engines("prefill_tokens").await;
    for prompt in &prompts {
        setup.send(0, KEY, prompt).await;
    }
    let recomputed = setup.sum_over_engines("prefill_tokens").await - before;
    assert!(recomputed <= 4, "{recomputed} tokens were recomputed");
}

// Guards against a stalled link or a dead cache store that delays a prompt by more than its prefill
// time.
#[tokio::test]
async fn unavailable_stores_do_not_delay_a_prompt() {
    let mut setup = setup(1).await;
    let prompt = prompt("w");
    setup.send(0, KEY, &prompt).await;
    setup.wait_for_blocks(PROMPT_TOKENS as u64 / 16).await;
    setup.evict_all().await;
    setup.store.set_fault(&json!({"stalled": true})).await.unwrap();
    // Prefill takes 0.8 s; an import may take as long before it is aborted.
    let stalled = setup.send(0, KEY, &prompt).await.elapsed;
    assert!(stalled < Duration::from_millis(2_000), "{stalled:?}");
    setup.evict_all().await;
    setup.store.process.kill().unwrap();
    let killed = setup.send(0, KEY, &prompt).await.elapsed;
    assert!(killed < Duration::from_millis(2_000), "{killed:?}");
}

// Guards against a prefix cache that is keyed by prompt text alone and so is shared between
// workspaces.
#[tokio::test]
async fn workspaces_share_no_blocks() {
    let setup = setup(1).await;
    let prompt = prompt("w");
    setup.send(0, KEY, &prompt).await;
    setup.wait_for_blocks(PROMPT_TOKENS as u64 / 16).await;

    setup.send(0, OTHER_KEY, &prompt).await;
    assert_eq!(setup.sum_over_engines("cached_tokens").await, 0);
}
