//! Starts a stand-in as a process and calls it.

#![allow(dead_code, reason = "each test file uses a part")]

use std::process::Stdio;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, Full};
use hyper::{HeaderMap, Method, Request, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use serde_json::Value;
use tokio::io::{AsyncBufReadExt as _, BufReader};
use tokio::process::{Child, Command};

/// Longest time a stand-in may take to start.
const START_LIMIT: Duration = Duration::from_secs(10);

/// A stand-in that is killed when dropped.
pub struct StandIn {
    /// Address of its listener.
    pub address: String,
    child: Child,
}

/// An answer read to its end.
pub struct Answer {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl StandIn {
    /// Starts a stand-in on a free port of loopback.
    pub async fn start(name: &str, flags: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_damaskdrift_lab"))
            .args(["standin", name, "--listen", "127.0.0.1:0"])
            .args(flags)
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the stand-in starts");
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let line = tokio::time::timeout(START_LIMIT, lines.next_line()).await;
        let line = line.expect("the stand-in is ready in time").expect("its output can be read");
        let address = line.as_deref().and_then(|line| line.strip_prefix("listening on "));
        let address = address.expect("the first line has the address");
        Self { address: address.to_owned(), child }
    }

    /// Starts an engine that serves version `v1` of model `m`.
    pub async fn engine(flags: &[&str]) -> Self {
        let base = ["--model", "m", "--version", "v1", "--cold-limit", "2"];
        Self::start("engine", &[&base, flags].concat()).await
    }

    /// Sends a request and reads the answer to its end.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Answer {
        let mut req = Request::builder().method(method);
        req = req.uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into())).expect("the request is well formed");
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let response = client.request(req).await.expect("the stand-in answers");
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("the answer is complete").to_bytes();
        Answer { status: parts.status, headers: parts.headers, body }
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Answer {
        self.call(Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(&self, path: &str, body: &Value) -> Answer {
        self.call(Method::POST, path, &[], body.to_string()).await
    }
}

impl Answer {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}
