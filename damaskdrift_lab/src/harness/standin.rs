//! Stand-in processes and calls to their admin routes.

use std::collections;
use std::net;
use std::path::{Path, PathBuf};
use std::time::Duration;

use bytes::Bytes;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Error;
use crate::harness::address;
use crate::harness::binary;
use crate::harness::http::{Call, Client, Response};
use crate::harness::process::Process;

/// Time limit for a stand-in to report its address.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Text that a stand-in prints before its address.
const READY_PREFIX: &str = "listening on ";

/// A process that stands in for a platform service or an upstream.
#[derive(Debug)]
pub struct Standin {
    /// The running process, or the last one after it has ended.
    pub process: Process,
    /// Address on which the stand-in listens, unchanged by restarts.
    pub address: net::SocketAddr,
    kind: String,
    args: Vec<String>,
    dir: PathBuf,
    http: Client,
}

impl Standin {
    /// Starts `damaskdrift_lab standin KIND` and waits until it listens.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start or does not report its address in time.
    pub async fn start(
        kind: &str,
        name: &str,
        args: &[String],
        dir: &Path,
        http: &Client,
    ) -> Result<Self, Error> {
        let listen = net::SocketAddr::from((address::unique_ip(), 0));
        let mut process = spawn(kind, name, listen, args, dir)?;
        let address = wait_until_listening(&mut process).await?;
        Ok(Self {
            process,
            address,
            kind: kind.to_owned(),
            args: args.to_vec(),
            dir: dir.to_owned(),
            http: http.clone(),
        })
    }

    /// Kills the process if it still runs and starts it again at the same address.
    ///
    /// # Errors
    ///
    /// Returns an error if the new process does not report its address in time.
    pub async fn restart(&mut self) -> Result<(), Error> {
        self.process.kill()?;
        let name = self.process.name().to_owned();
        self.process = spawn(&self.kind, &name, self.address, &self.args, &self.dir)?;
        wait_until_listening(&mut self.process).await?;
        Ok(())
    }

    /// Sends a call over the connection pool of the harness.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete response.
    pub async fn send(&self, call: Call) -> Result<Response, Error> {
        Ok(self.http.send(call).await?)
    }

    /// Sets the injected faults with `POST /admin/fault`.
    ///
    /// # Errors
    ///
    /// Returns an error if the stand-in does not accept the faults.
    pub async fn set_fault(&self, fault: &impl Serialize) -> Result<(), Error> {
        let call = Call::post(self.address, "/admin/fault").with_json(fault);
        self.send(call).await?.ok()?;
        Ok(())
    }

    /// Returns the counters from `GET /admin/stats`.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is not 200 or not of the expected form.
    pub async fn stats<T: DeserializeOwned>(&self) -> Result<T, Error> {
        Ok(self.send(Call::get(self.address, "/admin/stats")).await?.ok()?.json()?)
    }

    /// Returns how often a plain service ran each idempotency key.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is not 200 or not of the expected form.
    pub async fn runs(&self) -> Result<collections::BTreeMap<String, u64>, Error> {
        Ok(self.send(Call::get(self.address, "/admin/runs")).await?.ok()?.json()?)
    }

    /// Returns the value and revision of a key of the key-value service, or `None` if it is absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is neither 200 nor 404 or has no revision.
    pub async fn get_key(&self, key: &str) -> Result<Option<(Bytes, u64)>, Error> {
        let response = self.send(Call::get(self.address, &format!("/v1/kv/{key}"))).await?;
        if response.status == 404 {
            return Ok(None);
        }
        let response = response.ok()?;
        let revision = response.header("x-revision").and_then(|revision| revision.parse().ok());
        let revision = revision.ok_or_else(|| {
            Error::Unexpected(
                "response of the key-value service has no x-revision header".to_owned(),
            )
        })?;
        Ok(Some((response.body, revision)))
    }

    /// Writes a key of the key-value service if its revision is `expected`, and returns the new one.
    ///
    /// An expected revision of 0 means that the key must be absent.
    ///
    /// # Errors
    ///
    /// Returns an error if the write is refused, for example because of another revision.
    pub async fn put_key(
        &self,
        key: &str,
        value: impl Into<Bytes>,
        expected: u64,
    ) -> Result<u64, Error> {
        let path = format!("/v1/kv/{key}?expected={expected}");
        let response = self.send(Call::put(self.address, &path).with_body(value)).await?.ok()?;
        let revision = response.header("x-revision").and_then(|revision| revision.parse().ok());
        revision.ok_or_else(|| {
            Error::Unexpected(
                "response of the key-value service has no x-revision header".to_owned(),
            )
        })
    }
}

fn spawn(
    kind: &str,
    name: &str,
    listen: net::SocketAddr,
    args: &[String],
    dir: &Path,
) -> Result<Process, Error> {
    let listen = listen.to_string();
    let required = ["standin", kind, "--listen", &listen];
    let args = required.into_iter().chain(args.iter().map(String::as_str));
    Process::start(name, &binary::find(binary::LAB)?, args, dir)
}

/// Waits until a process prints the address on which it listens, and returns that address.
pub(super) async fn wait_until_listening(process: &mut Process) -> Result<net::SocketAddr, Error> {
    let address = process.wait_for_line(READY_PREFIX, START_TIMEOUT).await?;
    address.trim().parse().map_err(|error| {
        process.error_with_log(&format!("printed an invalid address {address:?}: {error}"))
    })
}
