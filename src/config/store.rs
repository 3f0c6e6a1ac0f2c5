//! The versions of a configuration in the platform.
//!
//! The row `config/version` names the version in force. Each version has a row under
//! `config/history/` with what it changed, and an object with its whole merged text. The object's
//! name carries the text's digest, so that operators who race for one number never replace each
//! other's text.

use serde::Serialize;
use serde::de::DeserializeOwned;
use xxhash_rust::xxh3::xxh3_128;

use super::CellConfig;
use super::diff::ConfigDiff;
use crate::error::{Error, Result};
use crate::port::object_store::ObjectStore;
use crate::port::table::{Row, Table, TableError, scan_all};

/// The key of the row that names the version in force.
pub const VERSION_KEY: &str = "config/version";

/// The start of the keys of the history's rows.
pub const HISTORY_PREFIX: &str = "config/history/";

/// How many versions the history holds.
pub const MAX_HISTORY_VERSIONS: u64 = 1_000;

/// The most versions that are caught up change by change in place of the whole text.
const MAX_CAUGHT_UP_VERSIONS: u64 = 16;

common! { record
/// What the platform keeps of a version, besides its text.
pub struct VersionRow {
    /// The number, from 1.
    pub version: u64,
    /// The object that holds the merged text.
    pub object: String,
    /// The digest of the merged text.
    pub digest: String,
    /// Who applied it.
    pub author: String,
    /// When, in seconds since 1970 by the operator's clock.
    pub applied_unix_s: u64,
    /// Names the transaction that wrote it.
    #[serde(rename = "txn")]
    pub txn_id: u64,
}}

common! { record
/// A version in the history.
pub struct HistoryRow {
    /// The version.
    #[serde(rename = "head")]
    pub version_row: VersionRow,
    /// What it changed; `None` where that was too much for a row.
    pub changes: Option<ConfigDiff>,
}}

/// The version in force, with the version of its row.
#[derive(Clone, Debug, PartialEq)]
pub struct CurrentVersion {
    /// The version in force.
    pub row: VersionRow,
    /// The version of the table's row, for a condition.
    pub row_version: u64,
}

/// The platform's two stores.
#[derive(Clone, Copy)]
pub struct ConfigStore<'a> {
    /// The table.
    pub table: &'a dyn Table,
    /// The object store.
    pub objects: &'a dyn ObjectStore,
}

/// The digest of a merged text.
///
/// # Examples
///
/// ```
/// assert_eq!(chestnutlug::config::text_digest("").len(), 32);
/// ```
pub fn text_digest(text: &str) -> String {
    format!("{:032x}", xxh3_128(text.as_bytes()))
}

/// The key of a version's row in the history.
pub fn history_key(version: u64) -> String {
    format!("{HISTORY_PREFIX}{version:012}")
}

/// The name of the object that holds a version's text.
pub fn object_name(version: u64, digest: &str) -> String {
    format!("config/{version:012}-{digest}")
}

impl ConfigStore<'_> {
    /// Reads which version is in force; `None` where none was applied.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform.
    pub async fn current_version(&self) -> Result<Option<CurrentVersion>> {
        let row = self.table.read(VERSION_KEY).await.map_err(platform)?;
        row.map(|row| {
            Ok(CurrentVersion {
                row: decoded(&row)?,
                row_version: row.version,
            })
        })
        .transpose()
    }

    /// Reads a version of the history; `None` where it holds none of that number.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform.
    pub async fn history_row(&self, version: u64) -> Result<Option<HistoryRow>> {
        let row = self.table.read(&history_key(version)).await;
        row.map_err(platform)?.map(|row| decoded(&row)).transpose()
    }

    /// Reads the history, the oldest version first.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform.
    pub async fn history(&self) -> Result<Vec<HistoryRow>> {
        let rows = scan_all(self.table, HISTORY_PREFIX).await;
        rows.map_err(platform)?.iter().map(decoded).collect()
    }

    /// Reads the whole text of a version and checks its digest.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform, or where the object is absent or another.
    pub async fn read_text(&self, row: &VersionRow) -> Result<String> {
        let bytes = self.objects.get(&row.object).await.map_err(platform)?;
        let absent = || Error::Platform(format!("object {} is absent", row.object));
        let text = String::from_utf8(bytes.ok_or_else(absent)?);
        let text = text.map_err(|error| Error::Platform(error.to_string()))?;
        if text_digest(&text) != row.digest {
            let text = format!("object {} has another digest than its row", row.object);
            return Err(Error::Platform(text));
        }
        Ok(text)
    }

    /// Reads a version's configuration; version 0 is the empty one.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform, or where the version is unknown.
    pub async fn config(&self, version: u64) -> Result<CellConfig> {
        if version == 0 {
            return Ok(CellConfig::default());
        }
        let row = self.history_row(version).await?;
        let unknown = || Error::Other(format!("the history holds no version {version}"));
        let text = self
            .read_text(&row.ok_or_else(unknown)?.version_row)
            .await?;
        CellConfig::from_text(&text).map_err(|e| Error::Platform(e.to_string()))
    }

    /// Reads the version in force if it is higher than `have`, a version and its text.
    ///
    /// The next few versions are caught up by their changes alone, which spares reading the whole
    /// text; the digest of the result is checked.
    ///
    /// # Errors
    ///
    /// Returns an error of the platform.
    pub async fn newer_than(&self, have: (u64, &str)) -> Result<Option<(u64, String)>> {
        let Some(current) = self.current_version().await? else {
            return Ok(None);
        };
        let (number, text) = have;
        if current.row.version <= number {
            return Ok(None);
        }
        let caught_up = self.caught_up(number, text, &current.row).await;
        let text = match caught_up {
            Some(text) => text,
            None => self.read_text(&current.row).await?,
        };
        Ok(Some((current.row.version, text)))
    }

    /// Applies the changes of the versions after `number` to its text; `None` where that cannot
    /// be done.
    async fn caught_up(&self, number: u64, text: &str, current: &VersionRow) -> Option<String> {
        if number == 0 || current.version - number > MAX_CAUGHT_UP_VERSIONS {
            return None;
        }
        // The digest at the end stands for the checks: the text in force was checked.
        let mut config: CellConfig = toml::from_str(text).ok()?;
        for version in number + 1..=current.version {
            let row = self.history_row(version).await.ok()??;
            config = row.changes?.apply_to(&config).ok()?;
        }
        let text = config.to_text().ok()?;
        (text_digest(&text) == current.digest).then_some(text)
    }
}

/// Encodes a row's value.
///
/// # Errors
///
/// Returns an error where the value has no JSON form.
pub(super) fn encoded(value: &impl Serialize) -> Result<Vec<u8>> {
    serde_json::to_vec(value).map_err(|error| Error::Other(error.to_string()))
}

fn decoded<T: DeserializeOwned>(row: &Row) -> Result<T> {
    serde_json::from_slice(&row.value)
        .map_err(|error| Error::Platform(format!("row {}: {error}", row.key)))
}

/// Wraps an error of the platform.
pub(super) fn platform(error: TableError) -> Error {
    Error::Platform(error.to_string())
}
