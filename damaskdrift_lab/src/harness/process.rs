//! A child process with its log.

use std::ffi::OsStr;
use std::fs;
use std::os::unix::process::ExitStatusExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal};
use tokio::time::{self, Instant};

use crate::error::Error;

/// Pause between two looks at a process or its log.
const POLL_PAUSE: Duration = Duration::from_millis(5);
/// Most bytes of a log that an error shows.
const LOG_TAIL_BYTES: usize = 2_000;

/// A child process; it is killed when this is dropped.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log_path: PathBuf,
    /// Length of the log when the process started; earlier lines belong to a predecessor.
    log_start: usize,
}

impl Process {
    /// Starts a binary whose output is appended to `NAME.log` in a folder.
    ///
    /// # Errors
    ///
    /// Returns why it could not be started.
    pub fn start<A: AsRef<OsStr>>(
        name: &str,
        binary: &Path,
        args: impl IntoIterator<Item = A>,
        folder: &Path,
    ) -> Result<Self, Error> {
        let log_path = folder.join(format!("{name}.log"));
        let fault = |error| Error::Io(format!("cannot start {name}"), error);
        let log = fs::File::options().create(true).append(true).open(&log_path).map_err(fault)?;
        let log_start = log.metadata().map_err(fault)?.len() as usize;
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(fault)?)
            .stderr(log)
            .spawn()
            .map_err(fault)?;
        Ok(Self { name: name.to_owned(), child, log_path, log_start })
    }

    /// Returns the name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns what the process has printed so far.
    pub fn log(&self) -> String {
        let log = fs::read(&self.log_path).unwrap_or_default();
        String::from_utf8_lossy(log.get(self.log_start..).unwrap_or_default()).into_owned()
    }

    /// Kills the process with SIGKILL and waits until it is gone.
    ///
    /// # Errors
    ///
    /// Returns why it could not be killed.
    pub fn kill(&mut self) -> Result<(), Error> {
        let fault = |error| Error::Io(format!("cannot kill {}", self.name), error);
        self.child.kill().map_err(fault)?;
        self.child.wait().map_err(fault)?;
        Ok(())
    }

    /// Stops the process with SIGSTOP until [`Self::thaw`].
    ///
    /// # Errors
    ///
    /// Returns why the signal could not be sent.
    pub fn freeze(&mut self) -> Result<(), Error> {
        self.signal(Signal::STOP)
    }

    /// Lets a frozen process continue.
    ///
    /// # Errors
    ///
    /// Returns why the signal could not be sent.
    pub fn thaw(&mut self) -> Result<(), Error> {
        self.signal(Signal::CONT)
    }

    /// Asks the process to stop with SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns why the signal could not be sent.
    pub fn terminate(&mut self) -> Result<(), Error> {
        self.signal(Signal::TERM)
    }

    /// Sends a signal.
    ///
    /// # Errors
    ///
    /// Returns why the signal could not be sent, for example because the process is gone.
    pub fn signal(&mut self, signal: Signal) -> Result<(), Error> {
        if let Some(status) = self.status()? {
            return Err(self.unexpected(&format!("is gone ({status})")));
        }
        // The child is not reaped between the check and the call, so the id is still its own.
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal)
            .map_err(|error| Error::Io(format!("cannot signal {}", self.name), error.into()))
    }

    /// Returns the exit status once the process has ended.
    ///
    /// # Errors
    ///
    /// Returns why the status is not known.
    pub fn status(&mut self) -> Result<Option<ExitStatus>, Error> {
        let status = self.child.try_wait();
        status.map_err(|error| Error::Io(format!("cannot wait for {}", self.name), error))
    }

    /// Waits until the process has ended and returns its exit code, or the negated signal.
    ///
    /// # Errors
    ///
    /// Returns that it still runs after the time limit.
    pub async fn wait(&mut self, limit: Duration) -> Result<i32, Error> {
        let deadline = Instant::now() + limit;
        loop {
            if let Some(status) = self.status()? {
                return Ok(status.code().unwrap_or_else(|| -status.signal().unwrap_or_default()));
            }
            if Instant::now() >= deadline {
                return Err(self.unexpected(&format!("still runs after {limit:?}")));
            }
            time::sleep(POLL_PAUSE).await;
        }
    }

    /// Waits until a line of the log starts with `prefix` and returns the rest of the line.
    ///
    /// # Errors
    ///
    /// Returns that the process ended or the time limit passed first.
    pub async fn wait_for_line(&mut self, prefix: &str, limit: Duration) -> Result<String, Error> {
        let deadline = Instant::now() + limit;
        loop {
            let log = self.log();
            let complete = log.rsplit_once('\n').map_or("", |(lines, _)| lines);
            if let Some(rest) = complete.lines().find_map(|line| line.strip_prefix(prefix)) {
                return Ok(rest.to_owned());
            }
            if let Some(status) = self.status()? {
                return Err(self.unexpected(&format!("ended early ({status})")));
            }
            if Instant::now() >= deadline {
                return Err(self.unexpected(&format!("printed no {prefix:?} in {limit:?}")));
            }
            time::sleep(POLL_PAUSE).await;
        }
    }

    /// Returns the resident memory, in bytes.
    ///
    /// # Errors
    ///
    /// Returns why it is not known.
    pub fn resident_bytes(&self) -> Result<u64, Error> {
        let path = format!("/proc/{}/status", self.id());
        let status = fs::read_to_string(&path)
            .map_err(|error| Error::Io(format!("cannot read {path}"), error))?;
        let kib = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"))
            .and_then(|kib| kib.trim().parse::<u64>().ok());
        kib.map(|kib| kib << 10).ok_or_else(|| self.unexpected("has no resident memory"))
    }

    /// Returns an error about this process with the end of its log.
    pub fn unexpected(&self, what: &str) -> Error {
        let log = self.log();
        let mut start = log.len().saturating_sub(LOG_TAIL_BYTES);
        while !log.is_char_boundary(start) {
            start += 1;
        }
        Error::Unexpected(format!("{} {what}; end of its log:\n{}", self.name, &log[start..]))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        // Both fail only when the process is already gone.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
