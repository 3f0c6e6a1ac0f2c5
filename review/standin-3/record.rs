//! The record of a run: what was sent, answered and run, with the seconds since its start.

use std::fs::File;
use std::io::{self, Write};
use std::sync::Mutex;
use std::time::Instant;

pub struct Log {
    start: Instant,
    file: Mutex<File>,
}

impl Log {
    pub fn create(path: &str) -> io::Result<&'static Log> {
        let file = Mutex::new(File::create(path)?);
        Ok(Box::leak(Box::new(Log {
            start: Instant::now(),
            file,
        })))
    }

    pub fn seconds(&self) -> f64 {
        self.start.elapsed().as_secs_f64()
    }

    /// Writes a line to the record only.
    pub fn detail(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.seconds());
        let _ = self.file.lock().unwrap().write_all(line.as_bytes());
    }

    /// Writes a line to the record and to standard output.
    pub fn line(&self, text: &str) {
        println!("{:8.3} {text}", self.seconds());
        self.detail(text);
    }
}
