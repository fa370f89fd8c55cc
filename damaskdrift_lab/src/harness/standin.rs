//! Stand-in processes and their admin routes.

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
use crate::harness::http::{Answer, Call, Client};
use crate::harness::process::Process;

/// Longest time until a stand-in listens.
const START_LIMIT: Duration = Duration::from_secs(10);
/// What a stand-in prints before its address.
const READY_PREFIX: &str = "listening on ";

/// A stand-in process.
#[derive(Debug)]
pub struct Standin {
    /// The process.
    pub process: Process,
    /// Its address, which stays the same over restarts.
    pub address: net::SocketAddr,
    kind: String,
    args: Vec<String>,
    folder: PathBuf,
    http: Client,
}

impl Standin {
    /// Starts `damaskdrift_lab standin KIND` and waits until it listens.
    ///
    /// # Errors
    ///
    /// Returns why it does not listen.
    pub async fn start(
        kind: &str,
        name: &str,
        args: &[String],
        folder: &Path,
        http: &Client,
    ) -> Result<Self, Error> {
        let listen = net::SocketAddr::from((address::own_ip(), 0));
        let mut process = spawn(kind, name, listen, args, folder)?;
        let address = ready(&mut process).await?;
        Ok(Self {
            process,
            address,
            kind: kind.to_owned(),
            args: args.to_vec(),
            folder: folder.to_owned(),
            http: http.clone(),
        })
    }

    /// Kills the process if it still runs and starts it again at the same address.
    ///
    /// # Errors
    ///
    /// Returns why it does not listen again.
    pub async fn restart(&mut self) -> Result<(), Error> {
        self.process.kill()?;
        let name = self.process.name().to_owned();
        self.process = spawn(&self.kind, &name, self.address, &self.args, &self.folder)?;
        ready(&mut self.process).await?;
        Ok(())
    }

    /// Sends a call to the stand-in.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer.
    pub async fn send(&self, call: Call) -> Result<Answer, Error> {
        Ok(self.http.send(call).await?)
    }

    /// Sets the faults with `POST /admin/fault`.
    ///
    /// # Errors
    ///
    /// Returns why they are not set.
    pub async fn set_fault(&self, fault: &impl Serialize) -> Result<(), Error> {
        let call = Call::post(self.address, "/admin/fault").with_json(fault);
        self.send(call).await?.ok()?;
        Ok(())
    }

    /// Reads `GET /admin/stats`.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be read.
    pub async fn stats<T: DeserializeOwned>(&self) -> Result<T, Error> {
        Ok(self.send(Call::get(self.address, "/admin/stats")).await?.ok()?.json()?)
    }

    /// Reads the runs by idempotency key of a plain service.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be read.
    pub async fn runs(&self) -> Result<collections::BTreeMap<String, u64>, Error> {
        Ok(self.send(Call::get(self.address, "/admin/runs")).await?.ok()?.json()?)
    }

    /// Reads a key of the key-value service with its revision; an absent one is `None`.
    ///
    /// # Errors
    ///
    /// Returns why it cannot be read.
    pub async fn get_key(&self, key: &str) -> Result<Option<(Bytes, u64)>, Error> {
        let answer = self.send(Call::get(self.address, &format!("/v1/kv/{key}"))).await?;
        if answer.status == 404 {
            return Ok(None);
        }
        let answer = answer.ok()?;
        let revision = answer.header("x-revision").and_then(|revision| revision.parse().ok());
        let revision = revision.ok_or_else(|| Error::Unexpected("no x-revision".to_owned()))?;
        Ok(Some((answer.body, revision)))
    }

    /// Writes a key of the key-value service; returns the new revision.
    ///
    /// # Errors
    ///
    /// Returns why it is not written, for example because its revision is not the expected one.
    pub async fn put_key(
        &self,
        key: &str,
        value: impl Into<Bytes>,
        expected: u64,
    ) -> Result<u64, Error> {
        let path = format!("/v1/kv/{key}?expected={expected}");
        let answer = self.send(Call::put(self.address, &path).with_body(value)).await?.ok()?;
        let revision = answer.header("x-revision").and_then(|revision| revision.parse().ok());
        revision.ok_or_else(|| Error::Unexpected("no x-revision".to_owned()))
    }
}

fn spawn(
    kind: &str,
    name: &str,
    listen: net::SocketAddr,
    args: &[String],
    folder: &Path,
) -> Result<Process, Error> {
    let listen = listen.to_string();
    let fixed = ["standin", kind, "--listen", &listen];
    let args = fixed.into_iter().chain(args.iter().map(String::as_str));
    Process::start(name, &binary::find(binary::LAB)?, args, folder)
}

/// Waits until a process prints the address on which it listens.
pub(super) async fn ready(process: &mut Process) -> Result<net::SocketAddr, Error> {
    let address = process.wait_for_line(READY_PREFIX, START_LIMIT).await?;
    address
        .trim()
        .parse()
        .map_err(|error| process.unexpected(&format!("printed no address: {error}")))
}
