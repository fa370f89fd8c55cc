//! Memory and file descriptors of the machine.

use std::fs;
use std::path;

use damaskdrift_core::limits;
use rustix::process::{self, Resource, Rlimit};

use crate::entry::settings;

/// Folder of the control groups.
const CGROUPS: &str = "/sys/fs/cgroup";
/// Files with the memory limit of a control group, of version 2 and of version 1.
const CGROUP_LIMITS: [&str; 2] = ["memory.max", "memory.limit_in_bytes"];
/// Memory assumed where nothing tells how much there is; that of the smallest machines.
const ASSUMED_MEMORY_BYTES: u64 = 110 << 20;
/// Descriptors assumed where nothing limits them.
const MAX_DESCRIPTORS: u64 = 1 << 20;

/// What the instance may use.
#[derive(Clone, Copy, Debug)]
pub struct Resources {
    memory_bytes: u64,
    descriptors: u32,
}

impl Resources {
    /// Reads the limits of the settings, else those of the process's control group and machine.
    pub fn new(settings: &settings::Settings) -> Self {
        let memory_bytes = settings.memory_bytes.unwrap_or_else(machine_memory);
        let descriptors = descriptor_limit(settings.file_descriptors.map(u64::from));
        let descriptors = u32::try_from(descriptors).unwrap_or(u32::MAX);
        Self { memory_bytes, descriptors }
    }

    /// Returns the size of the account of bytes held for callers.
    pub fn account_bytes(&self) -> usize {
        limits::capacity(self.memory_bytes)
    }

    /// Returns the shares of the file descriptors.
    pub fn shares(&self) -> limits::Descriptors {
        limits::Descriptors::new(self.descriptors)
    }

    /// Logs what the limits are derived from.
    pub fn log(&self) {
        let shares = self.shares();
        log::info!(
            memory_bytes = self.memory_bytes, account_bytes = self.account_bytes(),
            descriptors = self.descriptors, callers = shares.callers,
            readiness = shares.readiness, requests = shares.requests;
            "limits of clients"
        );
    }
}

/// Returns the number of descriptors that the process may open. A lower soft limit is raised as far
/// as the settings and the hard limit allow.
fn descriptor_limit(wanted: Option<u64>) -> u64 {
    let limit = process::getrlimit(Resource::Nofile);
    let soft = limit.current.unwrap_or(MAX_DESCRIPTORS);
    let Some(wanted) = wanted else {
        return soft.min(MAX_DESCRIPTORS);
    };
    if soft >= wanted {
        return wanted;
    }
    let raised = limit.maximum.map_or(wanted, |hard| wanted.min(hard));
    let limit = Rlimit { current: Some(raised), maximum: limit.maximum };
    match process::setrlimit(Resource::Nofile, limit) {
        Ok(()) => raised,
        Err(error) => {
            log::warn!(cause:% = error, soft, raised; "cannot raise the limit on descriptors");
            soft
        }
    }
}

/// Returns the memory of the machine, or of the control group if that is less.
fn machine_memory() -> u64 {
    let limits = [cgroup_memory(), system_memory()];
    limits.into_iter().flatten().min().unwrap_or(ASSUMED_MEMORY_BYTES)
}

/// Returns the smallest limit of the process's control group and those above it.
fn cgroup_memory() -> Option<u64> {
    let groups = fs::read_to_string("/proc/self/cgroup").ok()?;
    let mut smallest: Option<u64> = None;
    for line in groups.lines() {
        let mut parts = line.splitn(3, ':');
        let (_, controllers, group) = (parts.next(), parts.next()?, parts.next()?);
        let root = match controllers {
            "" => path::PathBuf::from(CGROUPS),
            "memory" => path::Path::new(CGROUPS).join("memory"),
            _ => continue,
        };
        // Within a container the group may be named by a path that only the host has; its limit
        // then stands in the root.
        for folder in path::Path::new(group.trim_start_matches('/')).ancestors() {
            for file in CGROUP_LIMITS {
                let text = fs::read_to_string(root.join(folder).join(file));
                let limit = text.ok().and_then(|text| text.trim().parse().ok());
                smallest = smallest.into_iter().chain(limit).min();
            }
        }
    }
    smallest
}

fn system_memory() -> Option<u64> {
    let text = fs::read_to_string("/proc/meminfo").ok()?;
    let line = text.lines().find(|line| line.starts_with("MemTotal:"))?;
    let kilobytes: u64 = line.split_whitespace().nth(1)?.parse().ok()?;
    Some(kilobytes << 10)
}
