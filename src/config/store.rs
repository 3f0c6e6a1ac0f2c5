//! Stores the versions of a configuration in the platform.
//!
//! The row `config/version` contains the version in force. Each version has a row under
//! `config/history/` with its changes, and an object with its merged text. The object name contains
//! the digest of the text, so that operators who race for the same version number never overwrite
//! each other's text.

use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_128;

use super::CellConfig;
use super::diff::ConfigDiff;
use crate::error::{Error, Result};
use crate::port::object_store::ObjectStore;
use crate::port::table::{Row, Table, TableError, scan_all};

/// Key of the row with the version in force.
pub const VERSION_KEY: &str = "config/version";

/// Key prefix of the history rows.
pub const HISTORY_PREFIX: &str = "config/history/";

/// Maximum number of versions in the history.
pub const MAX_HISTORY_VERSIONS: u64 = 1_000;

/// Maximum number of versions whose changes are replayed; beyond it the full text is read.
const MAX_REPLAYED_VERSIONS: u64 = 16;

common! { record
/// The stored metadata of a version.
pub struct VersionRow {
    /// The version number, from 1.
    pub version: u64,
    /// The name of the object with the merged text.
    pub object: String,
    /// The digest of the merged text.
    pub digest: String,
    /// The operator who applied the version.
    pub author: String,
    /// Time of the apply by the operator's clock, in seconds since the Unix epoch.
    pub applied_unix_s: u64,
    /// Id of the transaction that wrote the version.
    #[serde(rename = "txn")]
    pub txn_id: u64,
}}

common! { record
/// A version in the history.
pub struct HistoryRow {
    /// The metadata of the version.
    #[serde(rename = "head")]
    pub version_row: VersionRow,
    /// The changes; `None` if they were too large for a row.
    pub changes: Option<ConfigDiff>,
}}

/// The version in force, with the row version of `config/version`.
#[derive(Clone, Debug, PartialEq)]
pub struct CurrentVersion {
    /// The metadata of the version in force.
    pub row: VersionRow,
    /// The version of the row in the table, for the condition of a transaction.
    pub row_version: u64,
}

/// The table and the object store that hold the versions.
#[derive(Clone, Copy)]
pub struct ConfigStore<'a> {
    /// The table.
    pub table: &'a dyn Table,
    /// The object store.
    pub objects: &'a dyn ObjectStore,
}

/// Returns the digest of a merged text.
///
/// # Examples
///
/// ```
/// assert_eq!(chestnutlug::config::text_digest("").len(), 32);
/// ```
pub fn text_digest(text: &str) -> String {
    format!("{:032x}", xxh3_128(text.as_bytes()))
}

/// Returns the key of a version's history row.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:012}")
}

/// Returns the name of the object with a version's text.
pub fn object_name(version: u64, digest: &str) -> String {
    format!("config/{version:012}-{digest}")
}

impl ConfigStore<'_> {
    /// Reads the version in force; `None` if none was applied yet.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform.
    pub async fn current_version(&self) -> Result<Option<CurrentVersion>> {
        let row = self.table.read(VERSION_KEY).await.map_err(platform_error)?;
        row.map(|row| {
            Ok(CurrentVersion {
                row: decode(&row)?,
                row_version: row.version,
            })
        })
        .transpose()
    }

    /// Reads the history row of a version; `None` if the history does not contain it.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform.
    pub async fn history_row(&self, version: u64) -> Result<Option<HistoryRow>> {
        let row = self.table.read(&history_key(version)).await;
        row.map_err(platform_error)?
            .map(|row| decode(&row))
            .transpose()
    }

    /// Reads all history rows, oldest version first.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform.
    pub async fn history(&self) -> Result<Vec<HistoryRow>> {
        let rows = scan_all(self.table, HISTORY_PREFIX).await;
        rows.map_err(platform_error)?.iter().map(decode).collect()
    }

    /// Reads the merged text of a version and verifies its digest.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform, or an error if the object is missing or its digest
    /// differs.
    pub async fn read_text(&self, row: &VersionRow) -> Result<String> {
        let bytes = self
            .objects
            .get(&row.object)
            .await
            .map_err(platform_error)?;
        let missing = || Error::Platform(format!("object {} is missing", row.object));
        let text = String::from_utf8(bytes.ok_or_else(missing)?);
        let text = text.map_err(|error| Error::Platform(error.to_string()))?;
        if text_digest(&text) != row.digest {
            let text = format!("the digest of object {} does not match its row", row.object);
            return Err(Error::Platform(text));
        }
        Ok(text)
    }

    /// Reads the configuration of a version; version 0 is the empty configuration.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform, or an error if the history does not contain the version.
    pub async fn config(&self, version: u64) -> Result<CellConfig> {
        if version == 0 {
            return Ok(CellConfig::default());
        }
        let row = self.history_row(version).await?;
        let unknown = || Error::Other(format!("the history contains no version {version}"));
        let text = self
            .read_text(&row.ok_or_else(unknown)?.version_row)
            .await?;
        CellConfig::from_text(&text).map_err(|e| Error::Platform(e.to_string()))
    }

    /// Reads the version in force if it is higher than `held`, which is a version number and its
    /// text.
    ///
    /// If only a few versions are missing, their changes are replayed, which avoids reading the
    /// full text. The digest of the result is verified.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform.
    pub async fn newer_than(&self, held: (u64, &str)) -> Result<Option<(u64, String)>> {
        let Some(current) = self.current_version().await? else {
            return Ok(None);
        };
        let (number, text) = held;
        if current.row.version <= number {
            return Ok(None);
        }
        let replayed = self.replay_changes(number, text, &current.row).await;
        let text = match replayed {
            Some(text) => text,
            None => self.read_text(&current.row).await?,
        };
        Ok(Some((current.row.version, text)))
    }

    /// Applies the changes of all versions after `number` to its text; `None` if that is not
    /// possible.
    async fn replay_changes(
        &self,
        number: u64,
        text: &str,
        current: &VersionRow,
    ) -> Option<String> {
        if number == 0 || current.version - number > MAX_REPLAYED_VERSIONS {
            return None;
        }
        // The result is not validated again: its digest must equal that of the validated text in
        // force.
        let mut config: CellConfig = toml::from_str(text).ok()?;
        for version in number + 1..=current.version {
            let row = self.history_row(version).await.ok()??;
            config = row.changes?.apply_to(&config).ok()?;
        }
        let text = config.to_text().ok()?;
        (text_digest(&text) == current.digest).then_some(text)
    }
}

/// Encodes the value of a row as JSON.
///
/// # Errors
///
/// Returns an error if the value cannot be represented in JSON.
pub(super) fn encode(value: &impl Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| Error::Other(error.to_string()))
}

fn decode<T: DeserializeOwned>(row: &Row) -> Result<T> {
    serde_json::from_slice(&row.value)
        .map_err(|error| Error::Platform(format!("invalid row {}: {error}", row.key)))
}

/// Converts a table or object error to an error of the platform.
pub(super) fn platform_error(error: TableError) -> Error {
    Error::Platform(error.to_string())
}
