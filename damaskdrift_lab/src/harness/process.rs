//! Child processes whose output goes to a log file.

use std::ffi::OsStr;
use std::fs;
use std::os::unix::process::ExitStatusExt as _;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use rustix::process::{Pid, Signal};
use tokio::time::{self, Instant};

use crate::error::Error;

/// Pause between two checks of a process or its log.
const POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Maximum length of the log excerpt in an error message.
const LOG_TAIL_BYTES: usize = 2_000;

/// A child process that is killed on drop.
#[derive(Debug)]
pub struct Process {
    name: String,
    child: Child,
    log_path: PathBuf,
    /// Length of the log in bytes when the process started; earlier output is from previous processes.
    log_offset: usize,
}

impl Process {
    /// Starts a binary whose standard output and error are appended to `dir/NAME.log`.
    ///
    /// # Errors
    ///
    /// Returns an error if the log cannot be opened or the process cannot be started.
    pub fn start<A: AsRef<OsStr>>(
        name: &str,
        binary: &Path,
        args: impl IntoIterator<Item = A>,
        dir: &Path,
    ) -> Result<Self, Error> {
        let log_path = dir.join(format!("{name}.log"));
        let to_error = |error| Error::Io(format!("cannot start {name}"), error);
        let log =
            fs::File::options().create(true).append(true).open(&log_path).map_err(to_error)?;
        let log_offset = log.metadata().map_err(to_error)?.len() as usize;
        let child = Command::new(binary)
            .args(args)
            .stdin(Stdio::null())
            .stdout(log.try_clone().map_err(to_error)?)
            .stderr(log)
            .spawn()
            .map_err(to_error)?;
        Ok(Self { name: name.to_owned(), child, log_path, log_offset })
    }

    /// Returns the name under which the process was started.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the process id, also after the process has ended.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Returns the output of this process so far, without that of earlier processes of the same name.
    pub fn log(&self) -> String {
        let log = fs::read(&self.log_path).unwrap_or_default();
        String::from_utf8_lossy(log.get(self.log_offset..).unwrap_or_default()).into_owned()
    }

    /// Kills the process with SIGKILL and reaps it; does nothing if it has already been reaped.
    ///
    /// # Errors
    ///
    /// Returns an error if the process cannot be killed or waited for.
    pub fn kill(&mut self) -> Result<(), Error> {
        let to_error = |error| Error::Io(format!("cannot kill {}", self.name), error);
        self.child.kill().map_err(to_error)?;
        self.child.wait().map_err(to_error)?;
        Ok(())
    }

    /// Suspends the process with SIGSTOP until [`Self::thaw`].
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn freeze(&mut self) -> Result<(), Error> {
        self.signal(Signal::STOP)
    }

    /// Resumes a frozen process with SIGCONT.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn thaw(&mut self) -> Result<(), Error> {
        self.signal(Signal::CONT)
    }

    /// Requests a graceful stop with SIGTERM.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent.
    pub fn terminate(&mut self) -> Result<(), Error> {
        self.signal(Signal::TERM)
    }

    /// Sends a signal to the process.
    ///
    /// # Errors
    ///
    /// Returns an error if the signal cannot be sent, for example because the process has ended.
    pub fn signal(&mut self, signal: Signal) -> Result<(), Error> {
        if let Some(status) = self.status()? {
            return Err(self
                .error_with_log(&format!("cannot be signalled because it has ended ({status})")));
        }
        // The child is not reaped between the check and the call, so its id cannot have been reused.
        let pid = Pid::from_child(&self.child);
        rustix::process::kill_process(pid, signal)
            .map_err(|error| Error::Io(format!("cannot signal {}", self.name), error.into()))
    }

    /// Returns the exit status once the process has ended.
    ///
    /// # Errors
    ///
    /// Returns an error if the status cannot be read.
    pub fn status(&mut self) -> Result<Option<ExitStatus>, Error> {
        let status = self.child.try_wait();
        status.map_err(|error| Error::Io(format!("cannot wait for {}", self.name), error))
    }

    /// Waits until the process has ended and returns its exit code, or the negated number of the signal
    /// that ended it.
    ///
    /// # Errors
    ///
    /// Returns an error if the process still runs after `timeout`.
    pub async fn wait(&mut self, timeout: Duration) -> Result<i32, Error> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.status()? {
                return Ok(status.code().unwrap_or_else(|| -status.signal().unwrap_or_default()));
            }
            if Instant::now() >= deadline {
                return Err(self.error_with_log(&format!("still runs after {timeout:?}")));
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Waits until a complete line of the log starts with `prefix` and returns the rest of that line.
    ///
    /// # Errors
    ///
    /// Returns an error if the process ends or `timeout` passes first.
    pub async fn wait_for_line(
        &mut self,
        prefix: &str,
        timeout: Duration,
    ) -> Result<String, Error> {
        let deadline = Instant::now() + timeout;
        loop {
            let log = self.log();
            let complete = log.rsplit_once('\n').map_or("", |(lines, _)| lines);
            if let Some(rest) = complete.lines().find_map(|line| line.strip_prefix(prefix)) {
                return Ok(rest.to_owned());
            }
            if let Some(status) = self.status()? {
                return Err(
                    self.error_with_log(&format!("ended before it printed {prefix:?} ({status})"))
                );
            }
            if Instant::now() >= deadline {
                return Err(
                    self.error_with_log(&format!("did not print {prefix:?} within {timeout:?}"))
                );
            }
            time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Returns the resident set size in bytes.
    ///
    /// # Errors
    ///
    /// Returns an error if the process has ended or `/proc` does not give the value.
    pub fn resident_bytes(&self) -> Result<u64, Error> {
        let path = format!("/proc/{}/status", self.id());
        let status = fs::read_to_string(&path)
            .map_err(|error| Error::Io(format!("cannot read {path}"), error))?;
        let kib = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB"))
            .and_then(|kib| kib.trim().parse::<u64>().ok());
        kib.map(|kib| kib << 10).ok_or_else(|| self.error_with_log("has no VmRSS in /proc"))
    }

    /// Returns an error that names this process, what went wrong, and the end of its log.
    pub fn error_with_log(&self, what: &str) -> Error {
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
        // Both fail only if the process has already ended.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}
