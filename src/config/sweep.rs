//! Deletes text objects that no history row refers to.
//!
//! A row under `config/sweep/` marks each object that may be unreferenced: from before the object
//! is stored until its version is written, and again once its version is evicted from the history.
//! An object name contains the version number, so no other version can refer to the object later.

use super::store::{ConfigStore, encode, platform_error};
use crate::error::{Error, Result};
use crate::port::table::{Condition, Row, Txn, Write};

/// Key prefix of the rows that mark objects for a sweep.
pub const SWEEP_PREFIX: &str = "config/sweep/";

/// Maximum number of objects that one sweep checks.
const MAX_SWEPT_OBJECTS: usize = 64;

common! { record
/// Value of `config/sweep/OBJECT`, which marks an object that may be unreferenced.
pub struct SweepRow {
    /// The version whose text the object contains.
    pub version: u64,
}}

/// Marks `object`, the text of `version`, for a later sweep.
///
/// # Errors
///
/// Returns an error if the row cannot be represented in JSON.
pub(super) fn put_sweep_row(object: &str, version: u64) -> Result<Write> {
    Ok(Write::Put {
        key: format!("{SWEEP_PREFIX}{object}"),
        value: encode(&SweepRow { version })?,
    })
}

/// Removes the mark of `object`: its version is written, or the object is deleted.
pub(super) fn delete_sweep_row(object: &str) -> Write {
    Write::Delete {
        key: format!("{SWEEP_PREFIX}{object}"),
    }
}

impl ConfigStore<'_> {
    /// Deletes marked objects that no version refers to or can refer to later, and returns their
    /// number. Idempotent, and safe to run by several operators at once.
    ///
    /// # Errors
    ///
    /// Returns the first error of the platform; the remaining objects are left to the next sweep.
    pub async fn sweep(&self) -> Result<usize> {
        let Some(current) = self.current_version().await? else {
            return Ok(0);
        };
        let page = self.table.scan(SWEEP_PREFIX, None).await;
        let mut deleted = 0;
        for row in page.map_err(platform_error)?.iter().take(MAX_SWEPT_OBJECTS) {
            let sweep_row: SweepRow = serde_json::from_slice(&row.value)
                .map_err(|error| Error::Platform(format!("invalid row {}: {error}", row.key)))?;
            // A version above the one in force may still be written, so its object is kept.
            if sweep_row.version <= current.row.version {
                deleted += usize::from(self.sweep_object(row, sweep_row.version).await?);
            }
        }
        Ok(deleted)
    }

    async fn sweep_object(&self, row: &Row, version: u64) -> Result<bool> {
        let object = row.key.strip_prefix(SWEEP_PREFIX).unwrap_or_default();
        let written = self.history_row(version).await?;
        let referenced = written.is_some_and(|written| written.version_row.object == object);
        if !referenced {
            self.objects.delete(object).await.map_err(platform_error)?;
        }
        let txn = Txn {
            conditions: vec![Condition {
                key: row.key.clone(),
                version: row.version,
            }],
            writes: vec![delete_sweep_row(object)],
        };
        // A conflict means that a concurrent sweep already removed the mark.
        let _ = self.table.commit(&txn).await;
        Ok(!referenced)
    }
}
