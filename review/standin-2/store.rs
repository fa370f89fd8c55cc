//! Stand-in of the platform's metadata store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http;

/// Interval at which expired leases are ended.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(20);

struct Item {
    value: String,
    revision: u64,
    create_revision: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Revision and event of each change.
    history: Vec<(u64, String)>,
    /// End and length of each lease.
    leases: BTreeMap<u64, (Instant, Duration)>,
}

/// A running store.
#[derive(Clone)]
pub struct Store {
    data: Arc<(Mutex<Data>, Condvar)>,
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let revision = self.revision;
        let create_revision = self.items.get(key).map_or(revision, |item| item.create_revision);
        let item = Item { value, revision, create_revision, lease };
        self.history.push((revision, item.encode(key)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            let revision = self.revision;
            let event = format!(r#"{{"key":"{key}","revision":{revision},"tombstone":true}}"#);
            self.history.push((revision, event));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        let keys: Vec<_> = keys.map(|(key, _)| key.clone()).collect();
        for key in keys {
            self.remove(&key);
        }
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let expired = self.leases.iter().filter(|(_, (ends_at, _))| *ends_at <= now);
        let expired: Vec<_> = expired.map(|(lease, _)| *lease).collect();
        for lease in expired {
            self.end_lease(lease);
        }
    }

    fn transact(&mut self, body: &str) -> (u16, String) {
        let (preconditions, puts) = body.split_once("\"puts\":").unwrap_or((body, ""));
        for row in preconditions.split('{').skip(2) {
            let (Some(key), Some(revision)) = (field(row, "key"), field(row, "revision")) else {
                continue;
            };
            let current = self.items.get(key).map_or(0, |item| item.revision);
            if current.to_string() != revision {
                return (412, r#"{"items":[]}"#.to_owned());
            }
        }
        for row in puts.split('{').skip(1) {
            let lease = field(row, "lease").and_then(|lease| lease.parse().ok()).unwrap_or(0);
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            if let (Some(key), Some(value)) = (field(row, "key"), field(row, "value")) {
                self.put(key, value.to_owned(), lease);
            }
        }
        (200, format!(r#"{{"revision":{}}}"#, self.revision))
    }
}

impl Item {
    fn encode(&self, key: &str) -> String {
        let Self { value, revision, create_revision, lease } = self;
        format!(
            r#"{{"key":"{key}","value":"{value}","revision":{revision},"create-revision":{create_revision},"lease":{lease}}}"#
        )
    }
}

impl Store {
    /// Starts an empty store and returns it with its address.
    pub fn start() -> (Self, SocketAddr) {
        let data = Data { revision: 1, ..Data::default() };
        let store = Self { data: Arc::new((Mutex::new(data), Condvar::new())) };
        let handler = store.clone();
        let address = http::serve(move |call| {
            let (status, body) = handler.call(call);
            http::response(status, &[("content-type", "application/json")], body.as_bytes())
        });
        let expiring = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(EXPIRY_INTERVAL);
                expiring.change(Data::expire);
            }
        });
        (store, address)
    }

    /// Writes JSON, as the operator and servers do.
    pub fn put(&self, key: &str, json: &str) {
        self.change(|data| data.put(key, encode_base64(json.as_bytes()), 0));
    }

    /// Removes a key.
    pub fn remove(&self, key: &str) {
        self.change(|data| data.remove(key));
    }

    fn change<T>(&self, change: impl FnOnce(&mut Data) -> T) -> T {
        let (data, changed) = &*self.data;
        let result = change(&mut data.lock().expect("no thread panics"));
        changed.notify_all();
        result
    }

    fn call(&self, call: &http::Message) -> (u16, String) {
        let body = String::from_utf8_lossy(&call.body).into_owned();
        let path = call.path();
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match path {
            "/damaskdrift/kv-range" => self.range(call),
            "/damaskdrift/kv-watch" => self.watch(call),
            "/damaskdrift/kv-txn" => self.change(|data| data.transact(&body)),
            "/damaskdrift/kv-lease" => {
                let ttl_ms = field(&body, "ttl-ms").and_then(|ms| ms.parse().ok()).unwrap_or(1_000);
                let ttl = Duration::from_millis(ttl_ms);
                let lease = self.change(|data| {
                    data.revision += 1;
                    data.leases.insert(data.revision, (Instant::now() + ttl, ttl));
                    data.revision
                });
                (200, format!(r#"{{"lease":{lease},"ttl-ms":{ttl_ms}}}"#))
            }
            _ if path.starts_with("/damaskdrift/kv-keep/") => self.change(|data| {
                let Some((ends_at, ttl)) = data.leases.get_mut(&id) else {
                    return (404, "{}".to_owned());
                };
                *ends_at = Instant::now() + *ttl;
                (200, format!(r#"{{"ttl-ms":{}}}"#, ttl.as_millis()))
            }),
            _ if path.starts_with("/damaskdrift/kv-lease-end/") => {
                self.change(|data| data.end_lease(id));
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn range(&self, call: &http::Message) -> (u16, String) {
        let prefix = call.query("path-prefix").unwrap_or_default();
        let after = call.query("after").unwrap_or_default();
        let data = self.data.0.lock().expect("no thread panics");
        let items = data.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
        let items: Vec<_> = items.map(|(key, item)| item.encode(key)).collect();
        let (items, revision) = (items.join(","), data.revision);
        (200, format!(r#"{{"items":[{items}],"truncated":false,"store-revision":{revision}}}"#))
    }

    fn watch(&self, call: &http::Message) -> (u16, String) {
        let number = |name| call.query(name).and_then(|text| text.parse().ok()).unwrap_or(0);
        let (after, wait_ms): (u64, u64) = (number("after"), number("wait-ms"));
        let ends_at = Instant::now() + Duration::from_millis(wait_ms);
        let (data, changed) = &*self.data;
        let mut data = data.lock().expect("no thread panics");
        loop {
            let events = data.history.iter().filter(|(revision, _)| *revision > after);
            let events: Vec<_> = events.map(|(_, event)| event.clone()).collect();
            let now = Instant::now();
            if !events.is_empty() || now >= ends_at {
                let (events, revision) = (events.join(","), data.revision);
                return (200, format!(r#"{{"events":[{events}],"store-revision":{revision}}}"#));
            }
            data = changed.wait_timeout(data, ends_at - now).expect("no thread panics").0;
        }
    }
}

/// Returns the first value of a field in the text of a flat JSON object.
fn field<'a>(text: &'a str, name: &str) -> Option<&'a str> {
    let (_, value) = text.split_once(&format!("\"{name}\":"))?;
    match value.trim_start().strip_prefix('"') {
        Some(text) => text.split('"').next(),
        None => value.split([',', '}', ']']).next().map(str::trim),
    }
}

fn encode_base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let byte = |index| u32::from(chunk.get(index).copied().unwrap_or(0));
        let group = byte(0) << 16 | byte(1) << 8 | byte(2);
        for index in 0..4 {
            let digit = DIGITS[(group >> (18 - 6 * index)) as usize & 63];
            text.push(if index <= chunk.len() { char::from(digit) } else { '=' });
        }
    }
    text
}
