//! The record of a run.

use std::fs::File;
use std::io::Write as _;
use std::path::Path;

pub struct Record(File);

impl Record {
    pub fn create(path: &Path) -> Self {
        Self(File::create(path).expect("the folder of the case is writable"))
    }

    /// Adds a line, which is also printed.
    pub fn line(&mut self, text: &str) {
        println!("{text}");
        writeln!(self.0, "{text}").expect("the record is writable");
    }
}
