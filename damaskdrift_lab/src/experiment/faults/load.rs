//! Callers that stream prompts and send non-idempotent calls, and record the results.

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

/// Number of callers that stream prompts, and of callers that send calls.
const CALLERS: usize = 6;
/// Words per response, which takes 0.2 s at 200 words per second.
const RESPONSE_WORDS: usize = 40;
/// Largest number of attempts per prompt or call.
const MAX_ATTEMPTS: usize = 40;
/// One call in this many is never retried, so that the outcome of its only attempt is checked.
const SINGLE_ATTEMPT_INTERVAL: usize = 3;
/// Delay between requests and between attempts.
const PAUSE: Duration = Duration::from_millis(60);
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);

/// Results of all prompts and calls.
#[derive(Clone, Debug, Default)]
pub struct Records {
    /// Prompts of each caller in the order of completion.
    pub prompts: Vec<PromptRecord>,
    /// Calls of each caller in the order of completion.
    pub calls: Vec<CallRecord>,
}

/// Result of one prompt.
#[derive(Clone, Debug)]
pub struct PromptRecord {
    /// Whether the complete response was received.
    pub is_complete: bool,
    /// Description of received bytes that differ from the expected response.
    pub corruption: Option<String>,
    /// Address of the instance and time of each attempt whose response was cut off.
    pub broken_attempts: Vec<(net::SocketAddr, Instant)>,
}

/// Result of one non-idempotent call.
#[derive(Clone, Debug)]
pub struct CallRecord {
    /// Idempotency key of the call.
    pub key: String,
    /// Whether every attempt was refused with the outcome `not-run` or found no connection.
    pub is_not_run: bool,
    /// Whether a response with status 200 was received.
    pub has_response: bool,
    /// Whether a duplicate of the call got a response with a different body.
    pub is_replay_different: bool,
    /// Address of the instance and time of each attempt that connected but got no complete
    /// response.
    pub broken_attempts: Vec<(net::SocketAddr, Instant)>,
}

/// Running callers of a fleet.
pub struct Load {
    is_stopping: sync::Arc<AtomicBool>,
    callers: JoinSet<Records>,
}

#[derive(Clone)]
struct Caller {
    http: Client,
    instances: sync::Arc<[net::SocketAddr]>,
    /// Number of requests sent by all callers, which selects the next instance in turn.
    sent: sync::Arc<AtomicUsize>,
    is_stopping: sync::Arc<AtomicBool>,
    number: usize,
}

impl Load {
    /// Starts callers that spread their requests over all instances of a fleet.
    pub fn start(fleet: &Fleet) -> Self {
        let is_stopping = sync::Arc::new(AtomicBool::new(false));
        let mut caller = Caller {
            http: fleet.http.clone(),
            instances: fleet.instances.iter().map(|instance| instance.listen.callers).collect(),
            sent: sync::Arc::default(),
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

    /// Waits until each caller has finished its current request, and returns all results.
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
            records.prompts.push(self.run_prompt(n).await);
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
            records.calls.push(self.run_call(n).await);
            time::sleep(PAUSE).await;
        }
        records
    }

    /// Sends a prompt and resumes its stream after failures until the response is complete.
    async fn run_prompt(&self, n: usize) -> PromptRecord {
        let text = format!("caller {} asks {n}", self.number);
        let words = text::words(MODEL, VERSION, &text, RESPONSE_WORDS);
        let body =
            json!({"model": MODEL, "prompt": text, "max_tokens": RESPONSE_WORDS, "stream": true});
        let mut record =
            PromptRecord { is_complete: false, corruption: None, broken_attempts: Vec::new() };
        let mut request_id: Option<String> = None;
        let mut received = BytesMut::new();
        for _ in 0..MAX_ATTEMPTS {
            let (address, call) = match &request_id {
                None => self.next_call(Method::POST, "/v1/completions"),
                Some(id) => {
                    let path = format!("/v1/streams/{id}?offset={}", received.len());
                    self.next_call(Method::GET, &path)
                }
            };
            let call = if request_id.is_none() { call.with_json(&body) } else { call };
            let stream = self.http.stream(call).await;
            let Some(mut stream) = stream.ok().filter(|stream| stream.status == 200) else {
                time::sleep(PAUSE).await;
                continue;
            };
            request_id = stream.header("x-request-id").map(str::to_owned);
            let has_ended = loop {
                match stream.next_chunk().await {
                    Ok(Some(chunk)) => received.extend_from_slice(&chunk),
                    Ok(None) => break true,
                    Err(_) => break false,
                }
            };
            let want = text::sse_body(request_id.as_deref().unwrap_or_default(), &words);
            if !want.starts_with(&received) {
                record.corruption = Some(format!("{text}: {} bytes differ", received.len()));
                return record;
            }
            if has_ended && received == want {
                record.is_complete = true;
                return record;
            }
            record.broken_attempts.push((address, Instant::now()));
        }
        record
    }

    /// Sends a call and retries it until it gets a result or an outcome other than `not-run`.
    async fn run_call(&self, n: usize) -> CallRecord {
        let key = format!("key-{}-{n}", self.number);
        let attempts = if n.is_multiple_of(SINGLE_ATTEMPT_INTERVAL) { 1 } else { MAX_ATTEMPTS };
        let mut record = CallRecord {
            key: key.clone(),
            is_not_run: true,
            has_response: false,
            is_replay_different: false,
            broken_attempts: Vec::new(),
        };
        for _ in 0..attempts {
            let (address, response) = self.send_call(&key).await;
            let response = match response {
                Ok(response) => response,
                Err(http::Error::Connect(_)) => {
                    time::sleep(PAUSE).await;
                    continue;
                }
                Err(_) => {
                    record.is_not_run = false;
                    record.broken_attempts.push((address, Instant::now()));
                    time::sleep(PAUSE).await;
                    continue;
                }
            };
            if response.status == 200 {
                record.is_not_run = false;
                record.has_response = true;
                record.is_replay_different = self.is_replay_different(&key, &response.body).await;
                return record;
            }
            if response.outcome().as_deref() != Some("not-run") {
                record.is_not_run = false;
                return record;
            }
            time::sleep(PAUSE).await;
        }
        record
    }

    /// Sends a duplicate of the call and returns whether it got a response with a different body.
    async fn is_replay_different(&self, key: &str, body: &Bytes) -> bool {
        match self.send_call(key).await.1 {
            Ok(response) if response.status == 200 => response.body != *body,
            _ => false,
        }
    }

    async fn send_call(&self, key: &str) -> (net::SocketAddr, Result<Response, http::Error>) {
        let (address, call) =
            self.next_call(Method::POST, &format!("/v1/services/{SERVICE}/lodge"));
        let call = call.with_header("idempotency-key", key).with_body(format!("notice {key}"));
        (address, self.http.send(call).await)
    }

    /// Returns a call to the next instance in turn, with the address of that instance.
    fn next_call(&self, method: Method, path: &str) -> (net::SocketAddr, Call) {
        let index = self.sent.fetch_add(1, Ordering::Relaxed) % self.instances.len();
        let address = self.instances[index];
        let call = Call::new(method, address, path);
        (address, call.with_bearer(KEY).with_timeout(REQUEST_TIMEOUT))
    }
}
