//! Stand-ins of model servers and of managed cache stores, and the configuration that lists them.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::store;

/// Memory of a model server in tokens. It rejects a longer prompt as if it were full.
const ENGINE_TOKENS: u64 = 71_664;
/// Room of the two cache stores in tokens.
const CACHE_TOKENS: [u64; 2] = [137_509, 875_063];
/// Number of model servers.
const ENGINES: u32 = 4;
/// Longest time for which a cache store keeps a call for events waiting.
const MAX_WAIT_MS: u64 = 1_000;
/// The state that a model server reports.
pub const REPORT: &[u8] = br#"{"stage":"combined","models":[{"name":"m1","version":1,"adapters":[]}],"busy":false,"sequence":0,"waiting":0,"running":0,"kv-cache-used":0,"kv-cache-total":71664,"handles":0}"#;

/// What the model servers have done together.
#[derive(Default)]
pub struct Counts {
    /// Requests that ran.
    pub run: AtomicU64,
    /// Requests that were rejected as not run.
    pub rejected: AtomicU64,
}

/// Starts model servers and cache stores, and writes them to the platform's store with a route.
pub fn start(store: &store::Store) -> Arc<Counts> {
    let counts = Arc::<Counts>::default();
    let mut services = String::new();
    for (number, tokens) in CACHE_TOKENS.into_iter().enumerate() {
        let address = http::serve(cache_store);
        services += &format!(
            r#"{{"name":"cache-{number}","kv-store-address":"{address}","zone":"z1","kv-cache-tokens":{tokens},"link-mbps":490000.0,"max-concurrent":12,"managed":true,"first_ms":6.0}},"#
        );
    }
    configure(store, &services);
    for number in 0..ENGINES {
        let address = model_server(counts.clone());
        let id = format!("i-{number}");
        store.put(&format!("servers/{id}"), &entry(address, 1));
    }
    counts
}

/// Writes a route to a service of model servers, beside the services of cache stores.
pub fn configure(store: &store::Store, cache_stores: &str) {
    store.put("op/version/m1", r#"{"model":"m1","version":1}"#);
    let service = r#"{"name":"models","health-check-path":"/health","connection-limit":210,"protocol":"h1","tls":false,"cold-start-s":3.0,"cold-per-s":39.0,"engine":{"slots":24,"kv-cache-tokens":71664,"kv-token-bytes":131072,"link-mbps":370000.0,"managed":true,"max-concurrent":12,"models":[{"name":"m1"}]}}"#;
    store.put("op/config", &format!(
        r#"{{"version":1,"routes":[{{"name":"review","host":"h.example","path-prefix":"/review/","kind":"streaming","timeout-ms":6000,"target-latency-ms":600,"priority":1,"service":"models","attempts":1,"anonymous-access":false,"sticky-sessions":true,"resumable":false,"gap-target-ms":300}}],"services":[{cache_stores}{service}],"limits":{{"header-bytes":16384,"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"t1","api-keys":["key1"]}},{{"name":"t2","api-keys":["key2"]}}]}}"#
    ));
}

/// Returns the entry of a model server in the platform's store.
pub fn entry(address: SocketAddr, born: u64) -> String {
    format!(
        r#"{{"service":"models","address":"{address}","zone":"z1","version":"v1","slots":24,"state":"ready","cold-remaining-ms":0,"stage":"combined","models":[{{"name":"m1","version":1,"adapters":[]}}],"sequence":1,"born":{born}}}"#
    )
}

/// Returns a complete stream of two events.
pub fn answer(request: &http::Message) -> Vec<u8> {
    let headers = [
        ("request-id", request.header("request-id")),
        ("server-stamp", "stamp"),
        ("weight-versions", "1"),
        ("content-type", "text/event-stream"),
    ];
    http::response(200, &headers, b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n")
}

fn model_server(counts: Arc<Counts>) -> SocketAddr {
    http::serve(move |request| {
        if request.path() == "/damaskdrift/report" {
            return http::response(200, &[("content-type", "application/json")], REPORT);
        }
        let parts = request.header("prompt-prefix").split(',');
        let tokens = parts.filter_map(|part| part.rsplit(':').next()?.parse::<u64>().ok());
        if tokens.sum::<u64>() > ENGINE_TOKENS {
            counts.rejected.fetch_add(1, Ordering::Relaxed);
            return http::response(503, &[("not-executed", "1")], b"");
        }
        counts.run.fetch_add(1, Ordering::Relaxed);
        answer(request)
    })
}

/// Answers for a store that stays empty: the ordinary prompts have no part that is worth a save, and
/// the parts of rejected prompts are never read.
fn cache_store(request: &http::Message) -> Vec<u8> {
    let clock = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
    let body = match request.path() {
        "/damaskdrift/kv-events" => {
            let wait_ms: u64 = request.header("wait-ms").parse().unwrap_or(0);
            thread::sleep(Duration::from_millis(wait_ms.min(MAX_WAIT_MS)));
            format!(r#"{{"epoch":7,"next":1,"lost":false,"events":[],"clock_ms":{clock}}}"#)
        }
        "/damaskdrift/kv-list" => {
            format!(r#"{{"epoch":7,"next":1,"held":[],"partial":[],"clock_ms":{clock}}}"#)
        }
        _ => "{}".to_owned(),
    };
    http::response(200, &[("content-type", "application/json")], body.as_bytes())
}

/// What the configuration of a service of servers without models says.
pub struct Plain {
    /// `header-bytes`.
    pub header_bytes: u32,
    /// `anonymous-access` of the route.
    pub is_anonymous: bool,
}

/// Writes a route to a service of servers without models.
fn configure_plain(store: &store::Store, plain: &Plain) {
    let Plain { header_bytes, is_anonymous } = plain;
    store.put("op/config", &format!(
        r#"{{"version":1,"routes":[{{"name":"plain","host":"h.example","path-prefix":"/plain/","kind":"safe","timeout-ms":2000,"target-latency-ms":300,"priority":2,"service":"plain","attempts":2,"anonymous-access":{is_anonymous}}}],"services":[{{"name":"plain","health-check-path":"/health","connection-limit":110,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0}}],"limits":{{"header-bytes":{header_bytes},"body-bytes":4194304,"header-timeout-ms":3000,"idle-timeout-ms":15000}},"tenants":[{{"name":"t1","api-keys":["key1"]}}]}}"#
    ));
}

/// Returns the entry of such a server in the platform's store.
pub fn plain_entry(address: SocketAddr) -> String {
    format!(
        r#"{{"service":"plain","address":"{address}","zone":"z1","version":"v1","slots":24,"state":"ready","cold-remaining-ms":0,"sequence":1,"born":1}}"#
    )
}

/// Starts servers without models, which work on each request for some time, and writes them to the
/// platform's store with a route.
pub fn start_plain(store: &store::Store, plain: &Plain, work: Duration) {
    configure_plain(store, plain);
    for number in 0..ENGINES {
        let address = http::serve(move |request| {
            thread::sleep(work);
            let id = request.header("request-id");
            http::response(200, &[("request-id", id), ("server-stamp", "stamp")], b"ok")
        });
        store.put(&format!("servers/p-{number}"), &plain_entry(address));
    }
}
