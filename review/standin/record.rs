//! What was sent, answered and run, in the order of its times.

use std::fs;
use std::io;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(Duration, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self { started: Instant::now(), lines: Arc::default() }
    }

    /// Adds a line with the time since the start of the case.
    pub fn add(&self, line: String) {
        let at = self.started.elapsed();
        self.lines.lock().expect("no thread panics with the lock").push((at, line));
    }

    pub fn write(&self, path: &Path) -> io::Result<()> {
        let mut lines = self.lines.lock().expect("no thread panics with the lock").clone();
        lines.sort_by_key(|(at, _)| *at);
        let mut text = String::new();
        for (at, line) in lines {
            text += &format!("{:9.3} s  {line}\n", at.as_secs_f64());
        }
        fs::write(path, text)
    }
}
