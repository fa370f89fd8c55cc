//! Stand-in processes and requests to them.

#![allow(dead_code, reason = "each test file uses only some of the items")]

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

/// Time limit for a stand-in to print its address.
const START_TIMEOUT: Duration = Duration::from_secs(10);

/// A stand-in process that is killed on drop.
pub struct Standin {
    /// Address of its listener as `IP:PORT`.
    pub address: String,
    child: Child,
}

/// A complete HTTP response.
pub struct Response {
    /// HTTP status code.
    pub status: StatusCode,
    /// Response headers.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
}

impl Standin {
    /// Starts a stand-in on a free port of 127.0.0.1 and waits until it listens.
    pub async fn start(name: &str, flags: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_damaskdrift_lab"))
            .args(["standin", name, "--listen", "127.0.0.1:0"])
            .args(flags)
            .stdout(Stdio::piped())
            .kill_on_drop(true)
            .spawn()
            .expect("the stand-in starts");
        let mut lines = BufReader::new(child.stdout.take().expect("stdout is piped")).lines();
        let line = tokio::time::timeout(START_TIMEOUT, lines.next_line()).await;
        let line =
            line.expect("the stand-in prints its address in time").expect("its output can be read");
        let address = line.as_deref().and_then(|line| line.strip_prefix("listening on "));
        let address = address.expect("the first line has the address");
        Self { address: address.to_owned(), child }
    }

    /// Starts an engine that serves version `v1` of model `m` with a cold limit of 2.
    pub async fn engine(flags: &[&str]) -> Self {
        let base = ["--model", "m", "--version", "v1", "--cold-limit", "2"];
        Self::start("engine", &[&base, flags].concat()).await
    }

    /// Sends a request over a new connection and reads the whole response.
    pub async fn call(
        &self,
        method: Method,
        path: &str,
        headers: &[(&str, &str)],
        body: impl Into<Bytes>,
    ) -> Response {
        let mut req = Request::builder().method(method);
        req = req.uri(format!("http://{}{path}", self.address));
        for (name, value) in headers {
            req = req.header(*name, *value);
        }
        let req = req.body(Full::new(body.into())).expect("the request is well formed");
        let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
        let response = client.request(req).await.expect("the stand-in responds");
        let (parts, body) = response.into_parts();
        let body = body.collect().await.expect("the response is complete").to_bytes();
        Response { status: parts.status, headers: parts.headers, body }
    }

    /// Sends a GET request.
    pub async fn get(&self, path: &str) -> Response {
        self.call(Method::GET, path, &[], Bytes::new()).await
    }

    /// Sends a POST request with a JSON body.
    pub async fn post(&self, path: &str, body: &Value) -> Response {
        self.call(Method::POST, path, &[], body.to_string()).await
    }
}

impl Response {
    /// Returns the body as JSON.
    pub fn json(&self) -> Value {
        serde_json::from_slice(&self.body).expect("the body is JSON")
    }
}
