//! Fault proxy processes and the control of their links.

use std::net;
use std::path::Path;

use crate::error::Error;
use crate::harness::address;
use crate::harness::binary;
use crate::harness::http::{Call, Client};
use crate::harness::process::Process;
use crate::harness::standin;
use crate::proxy::{Mode, Stats};

/// A process of the fault proxy.
#[derive(Debug)]
pub struct Proxy {
    /// The running process; its links close when it is dropped.
    pub process: Process,
    /// One link for each target, in the order of the targets.
    pub links: Vec<LinkHandle>,
    admin: net::SocketAddr,
    http: Client,
}

/// Handle that sets the mode of one link of a proxy.
#[derive(Clone, Debug)]
pub struct LinkHandle {
    /// Address on which the link accepts connections.
    pub address: net::SocketAddr,
    admin: net::SocketAddr,
    index: usize,
    http: Client,
}

impl Proxy {
    /// Starts a proxy with one link for each target.
    ///
    /// # Errors
    ///
    /// Returns an error if the process does not start or does not report its address in time.
    pub async fn start(
        name: &str,
        targets: &[net::SocketAddr],
        dir: &Path,
        http: &Client,
    ) -> Result<Self, Error> {
        let listen = net::SocketAddr::from((address::unique_ip(), 0)).to_string();
        let mut args = vec!["proxy".to_owned(), "--admin".to_owned(), listen.clone()];
        for target in targets {
            args.extend(["--listen".to_owned(), listen.clone()]);
            args.extend(["--to".to_owned(), target.to_string()]);
        }
        let mut process = Process::start(name, &binary::find(binary::LAB)?, args, dir)?;
        let admin = standin::wait_until_listening(&mut process).await?;
        let http = http.clone();
        let mut proxy = Self { process, links: Vec::new(), admin, http };
        for (index, stats) in proxy.stats().await?.into_iter().enumerate() {
            let http = proxy.http.clone();
            proxy.links.push(LinkHandle { address: stats.listen, admin, index, http });
        }
        Ok(proxy)
    }

    /// Sets the mode of every link and waits until the links apply it.
    ///
    /// # Errors
    ///
    /// Returns an error if the admin listener does not accept the mode.
    pub async fn set_mode(&self, mode: Mode) -> Result<(), Error> {
        self.http.send(Call::put(self.admin, "/mode").with_json(&mode)).await?.ok()?;
        Ok(())
    }

    /// Returns the state and traffic counters of every link.
    ///
    /// # Errors
    ///
    /// Returns an error if the admin listener does not respond with them.
    pub async fn stats(&self) -> Result<Vec<Stats>, Error> {
        Ok(self.http.send(Call::get(self.admin, "/links")).await?.ok()?.json()?)
    }
}

impl LinkHandle {
    /// Sets the mode of this link and waits until the link applies it.
    ///
    /// # Errors
    ///
    /// Returns an error if the admin listener does not accept the mode.
    pub async fn set_mode(&self, mode: Mode) -> Result<(), Error> {
        let path = format!("/links/{}/mode", self.index);
        self.http.send(Call::put(self.admin, &path).with_json(&mode)).await?.ok()?;
        Ok(())
    }
}
