//! The platform's metadata store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http::{self, Connection, Message};
use crate::json::{Json, base64};

const PAGE_ITEMS: usize = 500;

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct Data {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// Each change as its JSON text, with its revision.
    history: Vec<(u64, String)>,
    leases: BTreeMap<u64, (Instant, Duration)>,
    /// Number of lists that were answered.
    lists: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<Data>, Condvar)>,
}

impl Store {
    pub fn start(listener: TcpListener) -> Self {
        let address = listener.local_addr().expect("the listener is bound");
        let data = Data { revision: 1, ..Data::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(data), Condvar::new())) };
        let served = store.clone();
        http::serve(listener, move |conn, message| served.answer(conn, &message));
        store
    }

    fn lock(&self) -> MutexGuard<'_, Data> {
        let mut data = self.shared.0.lock().expect("no thread panics with the lock");
        data.expire();
        data
    }

    /// Writes a value, as the operator and servers do; the return is the acknowledgement.
    pub fn put(&self, key: &str, value: &str) {
        self.lock().put(key, base64(value.as_bytes()), 0);
        self.shared.1.notify_all();
    }

    /// Removes a key; the return is the acknowledgement.
    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
        self.shared.1.notify_all();
    }

    /// Returns how many lists the store has answered.
    pub fn lists(&self) -> u64 {
        self.lock().lists
    }

    fn answer(&self, conn: &mut Connection, message: &Message) -> bool {
        let (status, body) = match message.path() {
            "/damaskdrift/kv-watch" => (200, self.watch(message)),
            path => {
                let answer = self.lock().call(path, message);
                self.shared.1.notify_all();
                answer
            }
        };
        let json = [("Content-Type", "application/json")];
        conn.write(&http::response(status, &json, body.as_bytes())).is_ok()
    }

    fn watch(&self, message: &Message) -> String {
        let prefix = message.query("path-prefix");
        let after: u64 = message.query("after").parse().unwrap_or(0);
        let wait = Duration::from_millis(message.query("wait-ms").parse().unwrap_or(0));
        let deadline = Instant::now() + wait;
        let mut data = self.lock();
        loop {
            data.expire();
            let wanted = format!("{{\"key\":\"{prefix}");
            let changes = data.history.iter().filter(|(at, _)| *at > after);
            let events: Vec<_> =
                changes.map(|(_, text)| text.as_str()).filter(|t| t.starts_with(&wanted)).collect();
            let left = deadline.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let (events, revision) = (events.join(","), data.revision);
                return format!("{{\"events\":[{events}],\"store-revision\":{revision}}}");
            }
            // Leases end without a notification.
            let pause = left.min(Duration::from_millis(20));
            let waited = self.shared.1.wait_timeout(data, pause);
            data = waited.expect("no thread panics with the lock").0;
        }
    }
}

impl Data {
    fn put(&mut self, key: &str, value: String, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.history.push((self.revision, item_text(key, &item)));
        self.items.insert(key.to_owned(), item);
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_none() {
            return;
        }
        self.revision += 1;
        let (key, revision) = (Json::Text(key.to_owned()), self.revision);
        let text = format!("{{\"key\":{key},\"revision\":{revision},\"tombstone\":true}}");
        self.history.push((self.revision, text));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<_> =
            self.leases.iter().filter(|(_, (at, _))| *at <= now).map(|(id, _)| *id).collect();
        for lease in ended {
            self.end_lease(lease);
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let keys = self.items.iter().filter(|(_, item)| item.lease == lease);
        for key in keys.map(|(key, _)| key.clone()).collect::<Vec<_>>() {
            self.remove(&key);
        }
    }

    fn call(&mut self, path: &str, message: &Message) -> (u16, String) {
        let body = Json::parse(&String::from_utf8_lossy(&message.body)).unwrap_or(Json::Null);
        let lease = path.rsplit('/').next().and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        match path {
            "/damaskdrift/kv-range" => {
                self.lists += 1;
                let (prefix, after) = (message.query("path-prefix"), message.query("after"));
                let found =
                    self.items.iter().filter(|(k, _)| k.starts_with(&prefix) && **k > after);
                let texts: Vec<_> = found.map(|(key, item)| item_text(key, item)).collect();
                let truncated = texts.len() > PAGE_ITEMS;
                let items = texts[..texts.len().min(PAGE_ITEMS)].join(",");
                let revision = self.revision;
                (
                    200,
                    format!(
                        "{{\"items\":[{items}],\"truncated\":{truncated},\"store-revision\":{revision}}}"
                    ),
                )
            }
            "/damaskdrift/kv-lease" => {
                let ttl_ms = body.get("ttl-ms").number();
                let ttl = Duration::from_millis(ttl_ms);
                self.revision += 1;
                self.leases.insert(self.revision, (Instant::now() + ttl, ttl));
                (200, format!("{{\"lease\":{},\"ttl-ms\":{ttl_ms}}}", self.revision))
            }
            "/damaskdrift/kv-txn" => self.transact(&body),
            _ if path.starts_with("/damaskdrift/kv-keep/") => match self.leases.get_mut(&lease) {
                Some((ends_at, ttl)) => {
                    *ends_at = Instant::now() + *ttl;
                    (200, format!("{{\"ttl-ms\":{}}}", ttl.as_millis()))
                }
                None => (404, "{}".to_owned()),
            },
            _ if path.starts_with("/damaskdrift/kv-lease-end/") => {
                self.end_lease(lease);
                (200, "{}".to_owned())
            }
            _ => (400, "{}".to_owned()),
        }
    }

    fn transact(&mut self, body: &Json) -> (u16, String) {
        for row in body.get("precondition").items() {
            let revision = self.items.get(row.get("key").text()).map_or(0, |item| item.revision);
            if revision != row.get("revision").number() {
                return (412, "{\"items\":[]}".to_owned());
            }
        }
        for put in body.get("puts").items() {
            let lease = put.get("lease").number();
            if lease != 0 && !self.leases.contains_key(&lease) {
                return (404, "{}".to_owned());
            }
            self.put(put.get("key").text(), put.get("value").text().to_owned(), lease);
        }
        for key in body.get("remove").items() {
            self.remove(key.text());
        }
        (200, format!("{{\"revision\":{}}}", self.revision))
    }
}

fn item_text(key: &str, item: &Item) -> String {
    let (key, value) = (Json::Text(key.to_owned()), Json::Text(item.value.clone()));
    let Item { revision, created, lease, .. } = item;
    format!(
        "{{\"key\":{key},\"value\":{value},\"revision\":{revision},\"create-revision\":{created},\"lease\":{lease}}}"
    )
}
