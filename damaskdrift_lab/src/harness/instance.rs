//! An entry instance process.

use std::fs;
use std::net;
use std::path::{Path, PathBuf};
use std::time::Duration;

use tokio::time::{self, Instant};

use crate::error::Error;
use crate::harness::address;
use crate::harness::binary;
use crate::harness::http::{Answer, Call, Client};
use crate::harness::process::Process;

/// Token of the operators in every settings file of the harness.
pub const OPERATOR_TOKEN: &str = "operator-token";
/// Longest time until an instance is ready, unless the caller sets its own.
pub const READY_LIMIT: Duration = Duration::from_secs(15);
/// Pause between two looks at the readiness of an instance.
const POLL_PAUSE: Duration = Duration::from_millis(10);

/// Addresses of an instance's listeners.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Listeners {
    /// Callers' listener.
    pub callers: net::SocketAddr,
    /// Operators' listener.
    pub operators: net::SocketAddr,
    /// Peers' listener.
    pub peers: net::SocketAddr,
}

/// What an instance's settings file says.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of the instance.
    pub id: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its listeners.
    pub listen: Listeners,
    /// Address of the key-value service.
    pub key_value: net::SocketAddr,
    /// Address of the instance list.
    pub instance_list: net::SocketAddr,
    /// Further values by section and key, such as `("drain", "accept_ms", 100.into())`.
    pub extra: Vec<(String, String, toml::Value)>,
}

/// An entry instance process, `damaskdrift serve`.
#[derive(Debug)]
pub struct Instance {
    /// The process.
    pub process: Process,
    /// Name of the instance.
    pub id: String,
    /// Its failure domain.
    pub failure_domain: String,
    /// Its listeners, which stay the same over restarts.
    pub listen: Listeners,
    folder: PathBuf,
    config: PathBuf,
    http: Client,
}

impl Listeners {
    /// Chooses free ports at a loopback address of their own.
    ///
    /// # Errors
    ///
    /// Returns why no port is free.
    pub fn choose() -> Result<Self, Error> {
        let ip = address::own_ip();
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
    /// Returns why it could not be started.
    pub fn start(settings: &Settings, folder: &Path, http: &Client) -> Result<Self, Error> {
        let config = folder.join(format!("{}.toml", settings.id));
        // A file of its own: another instance may be reading its file while this one is written.
        let token = folder.join(format!("{}-operator-token", settings.id));
        write(&token, OPERATOR_TOKEN)?;
        write(&config, &settings.to_toml(&token)?)?;
        Ok(Self {
            process: spawn(&settings.id, &config, folder)?,
            id: settings.id.clone(),
            failure_domain: settings.failure_domain.clone(),
            listen: settings.listen,
            folder: folder.to_owned(),
            config,
            http: http.clone(),
        })
    }

    /// Kills the process if it still runs and starts it again with the same settings file.
    ///
    /// # Errors
    ///
    /// Returns why it could not be started.
    pub fn restart(&mut self) -> Result<(), Error> {
        self.process.kill()?;
        self.process = spawn(&self.id, &self.config, &self.folder)?;
        Ok(())
    }

    /// Returns the path of the settings file.
    pub fn config(&self) -> &Path {
        &self.config
    }

    /// Waits until the instance is ready.
    ///
    /// # Errors
    ///
    /// Returns that the process ended or the time limit passed first.
    pub async fn wait_ready(&mut self, limit: Duration) -> Result<(), Error> {
        self.wait_readiness(true, limit).await
    }

    /// Waits until the instance runs but is not ready.
    ///
    /// # Errors
    ///
    /// Returns that the process ended or the time limit passed first.
    pub async fn wait_unready(&mut self, limit: Duration) -> Result<(), Error> {
        self.wait_readiness(false, limit).await
    }

    /// Returns whether `/readyz` answers 200.
    ///
    /// # Errors
    ///
    /// Returns why there is no answer.
    pub async fn is_ready(&self) -> Result<bool, Error> {
        let call = Call::get(self.listen.operators, "/readyz").with_timeout(POLL_PAUSE * 50);
        Ok(self.http.send(call).await?.status == 200)
    }

    /// Returns a call to the callers' listener.
    pub fn call(&self, method: hyper::Method, path: &str, key: &str) -> Call {
        Call::new(method, self.listen.callers, path).with_bearer(key)
    }

    /// Returns a call to the operators' listener.
    pub fn operator_call(&self, method: hyper::Method, path: &str) -> Call {
        Call::new(method, self.listen.operators, path).with_bearer(OPERATOR_TOKEN)
    }

    /// Sends a call.
    ///
    /// # Errors
    ///
    /// Returns why there is no complete answer.
    pub async fn send(&self, call: Call) -> Result<Answer, Error> {
        Ok(self.http.send(call).await?)
    }

    async fn wait_readiness(&mut self, ready: bool, limit: Duration) -> Result<(), Error> {
        let deadline = Instant::now() + limit;
        loop {
            if matches!(self.is_ready().await, Ok(is_ready) if is_ready == ready) {
                return Ok(());
            }
            if let Some(status) = self.process.status()? {
                return Err(self.process.unexpected(&format!("ended early ({status})")));
            }
            if Instant::now() >= deadline {
                let what = if ready { "is not ready" } else { "is not unready" };
                return Err(self.process.unexpected(&format!("{what} after {limit:?}")));
            }
            time::sleep(POLL_PAUSE).await;
        }
    }
}

impl Settings {
    fn to_toml(&self, token: &Path) -> Result<String, Error> {
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
        set("operators", "token_file", token.to_string_lossy().into_owned().into());
        for (section, key, value) in &self.extra {
            set(section, key, value.clone());
        }
        toml::to_string(&root).map_err(|error| Error::Unexpected(error.to_string()))
    }
}

fn spawn(id: &str, config: &Path, folder: &Path) -> Result<Process, Error> {
    let args = ["serve".as_ref(), "--config".as_ref(), config.as_os_str()];
    Process::start(id, &binary::find(binary::DAMASKDRIFT)?, args, folder)
}

fn write(path: &Path, text: &str) -> Result<(), Error> {
    fs::write(path, text)
        .map_err(|error| Error::Io(format!("cannot write {}", path.display()), error))
}
