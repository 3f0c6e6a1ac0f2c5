//! Notices edits of a configuration folder, and remembers the version that it is based on.

use std::fs;
use std::hash::Hasher;
use std::io;
use std::path::Path;
use std::time::Duration;

use xxhash_rust::xxh3::Xxh3;

use super::folder::read_folder;
use crate::model::Time;

/// The file in the folder that names the version on which the folder's content is based. It is
/// hidden, so it is no part of the configuration.
pub const BASE_VERSION_FILE: &str = ".chestnutlug-base";

/// How long a folder must stay unchanged before an edit counts as complete.
const SETTLE: Duration = Duration::from_millis(300);

/// Reads the version that a folder is based on; `None` where the folder does not say.
///
/// # Errors
///
/// Returns an error where the file cannot be read or is malformed.
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

/// Notes the version that a folder is based on.
///
/// # Errors
///
/// Returns an error where the file cannot be written.
pub fn write_base_version(dir: &Path, version: u64) -> io::Result<()> {
    fs::write(dir.join(BASE_VERSION_FILE), format!("{version}\n"))
}

/// Notices edits, and waits until they are complete.
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
    seen: Option<(u64, Time)>,
    reported: Option<u64>,
}

impl FolderWatcher {
    /// Takes a digest of the folder's content; whether it is new and has stayed unchanged.
    pub fn observe(&mut self, digest: u64, now: Time) -> bool {
        let since = match self.seen {
            Some((seen, since)) if seen == digest => since,
            _ => now,
        };
        self.seen = Some((digest, since));
        let settled = now.since(since) >= SETTLE;
        if !settled || self.reported == Some(digest) {
            return false;
        }
        self.reported = Some(digest);
        true
    }

    /// Reports the content again, after an attempt to apply it failed for a passing reason.
    pub fn reset(&mut self) {
        self.reported = None;
    }

    /// A digest of the names and contents of the files in `dir`.
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
