//! Callers that stream prompts and send calls that may not be repeated, and record what they see.

use std::net;
use std::sync;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use bytes::{Bytes, BytesMut};
use hyper::Method;
use serde_json::json;
use tokio::task::JoinSet;
use tokio::time;

use crate::harness::fleet::{KEY, MODEL, SERVICE, VERSION};
use crate::harness::http;
use crate::harness::{Call, Client, Fleet, Response};
use crate::standin::engine::text;

/// Callers of each kind.
const CALLERS: usize = 6;
/// Words of an answer; at 200 a second it takes 0.2 s.
const ANSWER_WORDS: usize = 40;
/// Most attempts of one prompt or call.
const MAX_ATTEMPTS: usize = 40;
/// One call in this many is never repeated, so that its only answer can be checked.
const SINGLE: usize = 3;
const PAUSE: Duration = Duration::from_millis(60);
const TIMEOUT: Duration = Duration::from_secs(12);

/// What callers saw.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Prompts in the order of their end.
    pub prompts: Vec<Prompt>,
    /// Calls in the order of their end.
    pub calls: Vec<CallRecord>,
}

/// What one prompt came to.
#[derive(Clone, Debug)]
pub struct Prompt {
    /// Whether the whole answer was received.
    pub is_complete: bool,
    /// What was wrong with received bytes, if anything.
    pub fault: Option<String>,
    /// Attempts whose answer broke off, by instance and time.
    pub broken: Vec<(net::SocketAddr, Instant)>,
}

/// What one call that may not be repeated came to.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Its idempotency key.
    pub key: String,
    /// Whether every attempt was refused with the outcome `not-run`.
    pub is_not_run: bool,
    /// Whether an answer with status 200 was received.
    pub is_answered: bool,
    /// Whether a repeat was answered with other bytes.
    pub is_replay_wrong: bool,
    /// Attempts that got no answer, by instance and time.
    pub broken: Vec<(net::SocketAddr, Instant)>,
}

/// Runs callers until it is stopped.
pub struct Load {
    is_stopping: sync::Arc<AtomicBool>,
    callers: JoinSet<Records>,
}

#[derive(Clone)]
struct Caller {
    http: Client,
    instances: sync::Arc<[net::SocketAddr]>,
    next: sync::Arc<AtomicUsize>,
    is_stopping: sync::Arc<AtomicBool>,
    number: usize,
}

impl Load {
    /// Starts the callers of a fleet.
    pub fn start(fleet: &Fleet) -> Self {
        let is_stopping = sync::Arc::new(AtomicBool::new(false));
        let mut caller = Caller {
            http: fleet.http.clone(),
            instances: fleet.instances.iter().map(|instance| instance.listen.callers).collect(),
            next: sync::Arc::default(),
            is_stopping: is_stopping.clone(),
            number: 0,
        };
        let mut callers = JoinSet::new();
        for number in 0..CALLERS {
            caller.number = number;
            callers.spawn(caller.clone().send_prompts());
            callers.spawn(caller.clone().send_calls());
        }
        Self { is_stopping, callers }
    }

    /// Lets each caller finish its present request and returns what all saw.
    pub async fn stop(self) -> Records {
        self.is_stopping.store(true, Ordering::Relaxed);
        let mut all = Records::default();
        for records in self.callers.join_all().await {
            all.prompts.extend(records.prompts);
            all.calls.extend(records.calls);
        }
        all
    }
}

impl Caller {
    async fn send_prompts(self) -> Records {
        let mut records = Records::default();
        for n in 0.. {
            if self.is_stopping.load(Ordering::Relaxed) {
                break;
            }
            records.prompts.push(self.prompt(n).await);
            time::sleep(PAUSE).await;
        }
        records
    }

    async fn send_calls(self) -> Records {
        let mut records = Records::default();
        for n in 0.. {
            if self.is_stopping.load(Ordering::Relaxed) {
                break;
            }
            records.calls.push(self.call_once(n).await);
            time::sleep(PAUSE).await;
        }
        records
    }

    async fn prompt(&self, n: usize) -> Prompt {
        let text = format!("caller {} asks {n}", self.number);
        let words = text::words(MODEL, VERSION, &text, ANSWER_WORDS);
        let body =
            json!({"model": MODEL, "prompt": text, "max_tokens": ANSWER_WORDS, "stream": true});
        let mut record = Prompt { is_complete: false, fault: None, broken: Vec::new() };
        let mut request: Option<String> = None;
        let mut answer = BytesMut::new();
        for _ in 0..MAX_ATTEMPTS {
            let (address, call) = match &request {
                None => self.call(Method::POST, "/v1/completions"),
                Some(id) => {
                    let path = format!("/v1/streams/{id}?offset={}", answer.len());
                    self.call(Method::GET, &path)
                }
            };
            let call = if request.is_none() { call.with_json(&body) } else { call };
            let stream = self.http.stream(call).await;
            let Some(mut stream) = stream.ok().filter(|stream| stream.status == 200) else {
                time::sleep(PAUSE).await;
                continue;
            };
            request = stream.header("x-request-id").map(str::to_owned);
            let ended = loop {
                match stream.next_chunk().await {
                    Ok(Some(piece)) => answer.extend_from_slice(&piece),
                    Ok(None) => break true,
                    Err(_) => break false,
                }
            };
            let want = text::sse_body(request.as_deref().unwrap_or_default(), &words);
            if !want.starts_with(&answer) {
                record.fault = Some(format!("{text}: {} bytes differ", answer.len()));
                return record;
            }
            if ended && answer == want {
                record.is_complete = true;
                return record;
            }
            record.broken.push((address, Instant::now()));
        }
        record
    }

    async fn call_once(&self, n: usize) -> CallRecord {
        let key = format!("key-{}-{n}", self.number);
        let attempts = if n.is_multiple_of(SINGLE) { 1 } else { MAX_ATTEMPTS };
        let mut record = CallRecord {
            key: key.clone(),
            is_not_run: true,
            is_answered: false,
            is_replay_wrong: false,
            broken: Vec::new(),
        };
        for _ in 0..attempts {
            let (address, answer) = self.lodge(&key).await;
            let answer = match answer {
                Ok(answer) => answer,
                Err(http::Error::Connect(_)) => {
                    time::sleep(PAUSE).await;
                    continue;
                }
                Err(_) => {
                    record.is_not_run = false;
                    record.broken.push((address, Instant::now()));
                    time::sleep(PAUSE).await;
                    continue;
                }
            };
            if answer.status == 200 {
                record.is_not_run = false;
                record.is_answered = true;
                record.is_replay_wrong = self.is_replay_wrong(&key, &answer.body).await;
                return record;
            }
            if answer.outcome().as_deref() != Some("not-run") {
                record.is_not_run = false;
                return record;
            }
            time::sleep(PAUSE).await;
        }
        record
    }

    /// Sends the call once more and compares the answer, if there is one.
    async fn is_replay_wrong(&self, key: &str, body: &Bytes) -> bool {
        match self.lodge(key).await.1 {
            Ok(answer) if answer.status == 200 => answer.body != *body,
            _ => false,
        }
    }

    async fn lodge(&self, key: &str) -> (net::SocketAddr, Result<Response, http::Error>) {
        let (address, call) = self.call(Method::POST, &format!("/v1/services/{SERVICE}/lodge"));
        let call = call.with_header("idempotency-key", key).with_body(format!("notice {key}"));
        (address, self.http.send(call).await)
    }

    fn call(&self, method: Method, path: &str) -> (net::SocketAddr, Call) {
        let index = self.next.fetch_add(1, Ordering::Relaxed) % self.instances.len();
        let address = self.instances[index];
        let call = Call::new(method, address, path);
        (address, call.with_bearer(KEY).with_timeout(TIMEOUT))
    }
}
