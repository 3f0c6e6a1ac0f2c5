//! Journal files, which survive the process of their stand-in.

use std::fs::{File, OpenOptions};
use std::io::Write;
use std::path::PathBuf;
use std::sync::Mutex;

use serde::Serialize;

use crate::error::{Error, Result};

/// File to which a journal is appended, one line of JSON per entry.
pub struct JournalFile(Mutex<File>);

impl JournalFile {
    /// Opens the file at `path` for appending.
    ///
    /// # Errors
    ///
    /// Returns an error if the file cannot be opened.
    pub fn open(path: PathBuf) -> Result<Self> {
        let context = format!("open {}", path.display());
        let file = OpenOptions::new().create(true).append(true).open(path);
        Ok(Self(Mutex::new(file.map_err(Error::io(context))?)))
    }

    /// Appends `entries`. They are handed to the operating system when this returns, so they
    /// survive the end of the process.
    ///
    /// # Panics
    ///
    /// Panics if the file cannot be written: a journal with gaps proves nothing.
    pub fn append<T: Serialize>(&self, entries: &[T]) {
        if entries.is_empty() {
            return;
        }
        let mut lines = Vec::new();
        for entry in entries {
            serde_json::to_writer(&mut lines, entry).expect("journal entries serialize to JSON");
            lines.push(b'\n');
        }
        let mut file = self.0.lock().unwrap_or_else(|e| e.into_inner());
        file.write_all(&lines)
            .expect("the journal file is writable");
    }
}
