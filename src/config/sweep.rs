//! Deletes the texts of versions that no row of the history names.
//!
//! A row under `config/sweep/` names each object that may be without a version: from before it is
//! stored until its version is written, and again once its version leaves the history. An object's
//! name carries the number of its version, so no other version can come to name it.

use super::store::{ConfigStore, encoded, platform};
use crate::error::{Error, Result};
use crate::port::table::{Condition, Row, Txn, Write};

/// The start of the keys of rows that name objects to look at.
pub const SWEEP_PREFIX: &str = "config/sweep/";

/// The most objects that one sweep looks at.
const MAX_SWEPT: usize = 64;

common! { record
/// `config/sweep/OBJECT`: an object that may be without a version.
pub struct SweepRow {
    /// The version that the object is the text of.
    pub version: u64,
}}

/// Names `object`, the text of `version`, for a later sweep.
///
/// # Errors
///
/// Returns an error where the row has no JSON form.
pub(super) fn noted(object: &str, version: u64) -> Result<Write> {
    Ok(Write::Put {
        key: format!("{SWEEP_PREFIX}{object}"),
        value: encoded(&SweepRow { version })?,
    })
}

/// Takes the name of `object` back, as its version is written.
pub(super) fn taken_back(object: &str) -> Write {
    Write::Delete {
        key: format!("{SWEEP_PREFIX}{object}"),
    }
}

impl ConfigStore<'_> {
    /// Deletes objects that no version of the history names and none can come to name; returns how
    /// many. Doing it again, or by two operators at once, is the same.
    ///
    /// # Errors
    ///
    /// Returns the first error of the platform; what is left is for the next sweep.
    pub async fn sweep(&self) -> Result<usize> {
        let Some(current) = self.current_version().await? else {
            return Ok(0);
        };
        let page = self.table.scan(SWEEP_PREFIX, None).await;
        let mut deleted = 0;
        for row in page.map_err(platform)?.iter().take(MAX_SWEPT) {
            let swept: SweepRow = serde_json::from_slice(&row.value)
                .map_err(|error| Error::Platform(format!("row {}: {error}", row.key)))?;
            // A version above the one in force may still be written.
            if swept.version <= current.row.version {
                deleted += usize::from(self.sweep_one(row, swept.version).await?);
            }
        }
        Ok(deleted)
    }

    async fn sweep_one(&self, row: &Row, version: u64) -> Result<bool> {
        let object = row.key.strip_prefix(SWEEP_PREFIX).unwrap_or_default();
        let written = self.history_row(version).await?;
        let named = written.is_some_and(|written| written.version_row.object == object);
        if !named {
            self.objects.delete(object).await.map_err(platform)?;
        }
        let txn = Txn {
            conditions: vec![Condition {
                key: row.key.clone(),
                version: row.version,
            }],
            writes: vec![taken_back(object)],
        };
        // A conflict means that another operator has done the same.
        let _ = self.table.commit(&txn).await;
        Ok(!named)
    }
}
