//! The fault proxy process.

use std::net;
use std::path::Path;

use crate::error::Error;
use crate::harness::address;
use crate::harness::binary;
use crate::harness::http::{Call, Client};
use crate::harness::process::Process;
use crate::harness::standin;
use crate::proxy::{Mode, Stats};

/// A fault proxy process with its links.
#[derive(Debug)]
pub struct Proxy {
    /// The process.
    pub process: Process,
    /// The links, in the order of their targets.
    pub links: Vec<LinkHandle>,
    admin: net::SocketAddr,
    http: Client,
}

/// Controls one link of a proxy.
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
    /// Returns why it does not listen.
    pub async fn start(
        name: &str,
        targets: &[net::SocketAddr],
        folder: &Path,
        http: &Client,
    ) -> Result<Self, Error> {
        let listen = net::SocketAddr::from((address::own_ip(), 0)).to_string();
        let mut args = vec!["proxy".to_owned(), "--admin".to_owned(), listen.clone()];
        for target in targets {
            args.extend(["--listen".to_owned(), listen.clone()]);
            args.extend(["--to".to_owned(), target.to_string()]);
        }
        let mut process = Process::start(name, &binary::find(binary::LAB)?, args, folder)?;
        let admin = standin::ready(&mut process).await?;
        let http = http.clone();
        let mut proxy = Self { process, links: Vec::new(), admin, http };
        for (index, stats) in proxy.stats().await?.into_iter().enumerate() {
            let http = proxy.http.clone();
            proxy.links.push(LinkHandle { address: stats.listen, admin, index, http });
        }
        Ok(proxy)
    }

    /// Sets the mode of every link.
    ///
    /// # Errors
    ///
    /// Returns why it is not set.
    pub async fn set_mode(&self, mode: Mode) -> Result<(), Error> {
        self.http.send(Call::put(self.admin, "/mode").with_json(&mode)).await?.ok()?;
        Ok(())
    }

    /// Returns the state and counts of every link.
    ///
    /// # Errors
    ///
    /// Returns why they cannot be read.
    pub async fn stats(&self) -> Result<Vec<Stats>, Error> {
        Ok(self.http.send(Call::get(self.admin, "/links")).await?.ok()?.json()?)
    }
}

impl LinkHandle {
    /// Sets the mode.
    ///
    /// # Errors
    ///
    /// Returns why it is not set.
    pub async fn set_mode(&self, mode: Mode) -> Result<(), Error> {
        let path = format!("/links/{}/mode", self.index);
        self.http.send(Call::put(self.admin, &path).with_json(&mode)).await?.ok()?;
        Ok(())
    }
}
