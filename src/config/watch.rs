//! Detects edits of a configuration folder, and records the version that the folder is based on.

use std::fs;
use std::hash::Hasher;
use std::io;
use std::path::Path;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::folder::read_folder;
use crate::model::Time;

/// The file with the number of the version that the folder's content is based on. It is hidden, so
/// it is not part of the configuration.
pub const BASE_VERSION_FILE: &str = ".chestnutlug-base";

/// How long a folder must stay unchanged before an edit is reported, so that a half-written edit is
/// not applied.
const DEBOUNCE: Duration = Duration::from_millis(300);

/// Reads the version that a folder is based on; `None` if it has no [`BASE_VERSION_FILE`].
///
/// # Errors
///
/// Returns an error if the file cannot be read or is malformed.
///
/// # Examples
///
/// ```
/// use chestnutlug::config::{read_base_version, write_base_version};
///
/// # let dir = std::env::temp_dir().join(format!("chestnutlug-doc-{}", std::process::id()));
/// # std::fs::create_dir_all(&dir).unwrap();
/// assert_eq!(read_base_version(&dir).unwrap(), None);
/// write_base_version(&dir, 7).unwrap();
/// assert_eq!(read_base_version(&dir).unwrap(), Some(7));
/// # std::fs::remove_dir_all(&dir).unwrap();
/// ```
pub fn read_base_version(dir: &Path) -> io::Result<Option<u64>> {
    let text = match fs::read_to_string(dir.join(BASE_VERSION_FILE)) {
        Err(error) if error.kind() == io::ErrorKind::NotFound => return Ok(None),
        read => read?,
    };
    let parsed = text.trim().parse();
    parsed
        .map(Some)
        .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error))
}

/// Writes the version that a folder is based on to its [`BASE_VERSION_FILE`].
///
/// # Errors
///
/// Returns an error if the file cannot be written.
pub fn write_base_version(dir: &Path, version: u64) -> io::Result<()> {
    fs::write(dir.join(BASE_VERSION_FILE), format!("{version}\n"))
}

/// Reports each new content of a folder once it has stayed unchanged for a short time.
///
/// # Examples
///
/// ```
/// use chestnutlug::config::FolderWatcher;
/// use chestnutlug::model::Time;
///
/// let mut watcher = FolderWatcher::default();
/// assert!(!watcher.observe(1, Time::from_millis(0)));
/// assert!(watcher.observe(1, Time::from_millis(300)));
/// // The same content is reported once.
/// assert!(!watcher.observe(1, Time::from_millis(600)));
/// ```
#[derive(Clone, Debug, Default)]
pub struct FolderWatcher {
    last_observed: Option<(u64, Time)>,
    reported: Option<u64>,
}

impl FolderWatcher {
    /// Records the digest of the folder's current content. Returns whether the content is new and
    /// has stayed unchanged for long enough.
    pub fn observe(&mut self, digest: u64, now: Time) -> bool {
        let since = match self.last_observed {
            Some((seen, since)) if seen == digest => since,
            _ => now,
        };
        self.last_observed = Some((digest, since));
        let is_stable = now.since(since) >= DEBOUNCE;
        if !is_stable || self.reported == Some(digest) {
            return false;
        }
        self.reported = Some(digest);
        true
    }

    /// Makes the current content be reported again, after applying it failed with a temporary
    /// error.
    pub fn reset(&mut self) {
        self.reported = None;
    }

    /// Computes a digest of the names and contents of the files in `dir`.
    pub fn folder_digest(dir: &Path) -> u64 {
        let mut findings = Vec::new();
        let mut hasher = Xxh3::new();
        for file in read_folder(dir, &mut findings) {
            hasher.write(file.name.as_bytes());
            hasher.write_u8(0);
            hasher.write(file.text.as_bytes());
            hasher.write_u8(0);
        }
        for finding in findings {
            hasher.write(finding.to_string().as_bytes());
        }
        hasher.finish()
    }
}
