//! Entry instance processes and their settings files.

use std::fs;
use std::net;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::time::{self, Instant};

use crate::error::Error;
use crate::harness::address;
use crate::harness::binary;
use crate::harness::http::{Call, Client, Response};
use crate::harness::process::Process;

/// Operator token in every settings file of the harness.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Time limit for a started instance to become ready, where a test sets no other.
pub const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Pause between two readiness checks.
const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Addresses on which an instance listens.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listeners {
    /// Listener for callers' requests.
    pub callers: net::SocketAddr,
    /// Listener for operators' commands, `/readyz` and metrics.
    pub operators: net::SocketAddr,
    /// Listener for messages from other instances.
    pub peers: net::SocketAddr,
}

/// Values from which an instance's settings file is written.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Instance id, such as `entry-0`.
    pub id: String,
    /// Failure domain in which the instance runs.
    pub failure_domain: String,
    /// Addresses for the section `listen`.
    pub listen: Listeners,
    /// Address of the key-value service, or of the proxy link to it.
    pub key_value: net::SocketAddr,
    /// Address of the stand-in that serves the instance list.
    pub instance_list: net::SocketAddr,
    /// Further settings as section, key and value, such as `("drain", "accept_ms", 100.into())`.
    pub extra: Vec<(String, String, toml::Value)>,
}

/// An entry instance process, `damaskdrift serve`.
#[derive(Debug)]
pub struct Instance {
    /// The running process, or the last one after it has ended.
    pub process: Process,
    /// Instance id, such as `entry-0`; also the name of the log file.
    pub id: String,
    /// Failure domain in which the instance runs.
    pub failure_domain: String,
    /// Addresses on which the instance listens, unchanged by restarts.
    pub listen: Listeners,
    dir: PathBuf,
    settings_path: PathBuf,
    http: Client,
}

impl Listeners {
    /// Chooses three free ports at a loopback address that no other process uses.
    ///
    /// # Errors
    ///
    /// Returns an error if no free port was found.
    pub fn choose() -> Result<Self, Error> {
        let ip = address::unique_ip();
        let mut ports = [address::free_port(ip)?; 3];
        for index in 1..ports.len() {
            while ports[..index].contains(&ports[index]) {
                ports[index] = address::free_port(ip)?;
            }
        }
        let [callers, operators, peers] = ports;
        Ok(Self { callers, operators, peers })
    }
}

impl Instance {
    /// Writes the settings file and starts the instance, without waiting until it is ready.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or the process cannot be started.
    pub fn start(settings: &Settings, dir: &Path, http: &Client) -> Result<Self, Error> {
        let settings_path = dir.join(format!("{}.toml", settings.id));
        // Each instance has its own token file, because others may be reading theirs meanwhile.
        let token_path = dir.join(format!("{}-operator-token", settings.id));
        write(&token_path, OPERATOR_TOKEN)?;
        write(&settings_path, &settings.to_toml(&token_path)?)?;
        Ok(Self {
            process: spawn(&settings.id, &settings_path, dir)?,
            id: settings.id.clone(),
            failure_domain: settings.failure_domain.clone(),
            listen: settings.listen,
            dir: dir.to_owned(),
            settings_path,
            http: http.clone(),
        })
    }

    /// Kills the process if it still runs and starts it again with the same settings file.
    ///
    /// # Errors
    ///
    /// Returns an error if a file cannot be written or the process cannot be started.
    pub fn restart(&mut self) -> Result<(), Error> {
        self.process.kill()?;
        self.process = spawn(&self.id, &self.settings_path, &self.dir)?;
        Ok(())
    }

    /// Returns the path of the settings file, which a test may rewrite before a reload.
    pub fn settings_path(&self) -> &Path {
        &self.settings_path
    }

    /// Waits until `/readyz` responds with 200.
    ///
    /// # Errors
    ///
    /// Returns an error if the process ends or `timeout` passes first.
    pub async fn wait_ready(&mut self, timeout: Duration) -> Result<(), Error> {
        self.wait_readiness(true, timeout).await
    }

    /// Waits until `/readyz` responds with a status other than 200.
    ///
    /// # Errors
    ///
    /// Returns an error if the process ends or `timeout` passes first.
    pub async fn wait_unready(&mut self, timeout: Duration) -> Result<(), Error> {
        self.wait_readiness(false, timeout).await
    }

    /// Returns whether `/readyz` responds with 200.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no response within 500 ms.
    pub async fn is_ready(&self) -> Result<bool, Error> {
        let call = Call::get(self.listen.operators, "/readyz").with_timeout(POLL_INTERVAL * 50);
        Ok(self.http.send(call).await?.status == 200)
    }

    /// Returns a call to the callers' listener with `key` as bearer key.
    pub fn call(&self, method: hyper::Method, path: &str, key: &str) -> Call {
        Call::new(method, self.listen.callers, path).with_bearer(key)
    }

    /// Returns a call to the operators' listener with the operator token.
    pub fn operator_call(&self, method: hyper::Method, path: &str) -> Call {
        Call::new(method, self.listen.operators, path).with_bearer(OPERATOR_TOKEN)
    }

    /// Sends a call and reads the whole response.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no complete response.
    pub async fn send(&self, call: Call) -> Result<Response, Error> {
        Ok(self.http.send(call).await?)
    }

    async fn wait_readiness(&mut self, ready: bool, timeout: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + timeout;
        loop {
            if matches!(self.is_ready().await, Ok(is_ready) if is_ready == ready) {
                return Ok(());
            }
            if let Some(status) = self.process.status()? {
                return Err(self
                    .process
                    .error_with_log(&format!("ended before the expected readiness ({status})")));
            }
            if Instant::now() >= deadline {
                let what = if ready { "is not ready" } else { "is still ready" };
                return Err(self.process.error_with_log(&format!("{what} after {timeout:?}")));
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }
}

impl Settings {
    fn to_toml(&self, token_path: &Path) -> Result<String, Error> {
        let mut root = toml::Table::new();
        let mut set = |section: &str, key: &str, value: toml::Value| {
            let table = root.entry(section).or_insert_with(|| toml::Table::new().into());
            if let toml::Value::Table(table) = table {
                table.insert(key.to_owned(), value);
            }
        };
        set("instance", "id", self.id.clone().into());
        set("instance", "failure_domain", self.failure_domain.clone().into());
        set("listen", "callers", self.listen.callers.to_string().into());
        set("listen", "operators", self.listen.operators.to_string().into());
        set("listen", "peers", self.listen.peers.to_string().into());
        set("platform", "key_value", self.key_value.to_string().into());
        set("platform", "instance_list", self.instance_list.to_string().into());
        set("operators", "token_file", token_path.to_string_lossy().into_owned().into());
        for (section, key, value) in &self.extra {
            set(section, key, value.clone());
        }
        toml::to_string(&root).map_err(|error| {
            Error::Unexpected(format!("cannot encode the settings of {}: {error}", self.id))
        })
    }
}

fn spawn(id: &str, settings_path: &Path, dir: &Path) -> Result<Process, Error> {
    let args = ["serve".as_ref(), "--config".as_ref(), settings_path.as_os_str()];
    Process::start(id, &binary::find(binary::DAMASKDRIFT)?, args, dir)
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text)
        .map_err(|error| Error::Io(format!("cannot write {}", path.display()), error))
}
