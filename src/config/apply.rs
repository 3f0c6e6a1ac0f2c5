//! Applies a configuration as a new version, by compare-and-set on the version that it is based on.

use std::fmt;
use std::time::Duration;

use super::CellConfig;
use super::diff::ConfigDiff;
use super::store::{
    ConfigStore, CurrentVersion, HistoryRow, MAX_HISTORY_VERSIONS, VERSION_KEY, VersionRow, encode,
    history_key, object_name, text_digest,
};
use super::sweep::{delete_sweep_row, put_sweep_row};
use crate::error::Error;
use crate::port::table::{Condition, TableError, Txn, Write};

/// Maximum size of the changes in a history row, in bytes.
const MAX_CHANGES_BYTES: usize = 16 << 10;

/// Maximum number of times that a platform call is tried.
pub const MAX_TRIES: u32 = 10;

/// Delay after the first failed call; it doubles with each failure, up to [`MAX_RETRY_DELAY_MS`].
const MIN_RETRY_DELAY_MS: u64 = 100;

/// Maximum delay between two calls. It is short so that an edit comes into force soon after an
/// outage.
const MAX_RETRY_DELAY_MS: u64 = 500;

/// The reason why a configuration was not applied.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// Another operator applied a version in the meantime; nothing was written.
    #[error("{0}")]
    Conflict(Box<VersionConflict>),
    /// The outcome of the write is unknown.
    #[error("whether version {version} was written is unknown ({cause}); check `config history`")]
    OutcomeUnknown {
        /// The version number.
        version: u64,
        /// The last error of the platform.
        cause: String,
    },
    /// An error before anything was written.
    #[error(transparent)]
    Other(#[from] Error),
}

/// Changes of two operators that are based on the same version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionConflict {
    /// The version that the edit is based on; `None` if unknown.
    pub base: Option<u64>,
    /// The version in force.
    pub in_force: u64,
    /// The author of the version in force.
    pub author: String,
    /// Changes by other operators since the base version.
    pub theirs: ConfigDiff,
    /// Changes of this edit since the base version.
    pub ours: ConfigDiff,
}

impl fmt::Display for VersionConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let in_force = self.in_force;
        let author = &self.author;
        match self.base {
            Some(base) => writeln!(
                f,
                "conflict: the edit is based on version {base}, but version {in_force} by \
                 {author} is in force"
            )?,
            None => writeln!(
                f,
                "conflict: version {in_force} by {author} is in force, but the edit has no known \
                 base version"
            )?,
        }
        if !self.theirs.is_empty() {
            write!(
                f,
                "changes by others since the base version:\n{}",
                self.theirs
            )?;
        }
        write!(f, "changes of this edit:\n{}", self.ours)?;
        write!(
            f,
            "nothing was written; merge their changes into the folder, then apply it with --base \
             {in_force}"
        )
    }
}

/// The author, time and transaction id of a new version.
#[derive(Clone, Debug, PartialEq)]
pub struct CommitInfo {
    /// The operator who applies the version.
    pub author: String,
    /// Time of the apply, in seconds since the Unix epoch.
    pub applied_unix_s: u64,
    /// Random id of the transaction; it tells a retry of this edit from another operator's write.
    pub txn_id: u64,
}

/// A checked edit that is ready to be committed.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyPlan {
    current: Option<CurrentVersion>,
    before: CellConfig,
    after: CellConfig,
    text: String,
    /// The changes of the edit.
    pub diff: ConfigDiff,
}

impl ApplyPlan {
    /// The number of the version that the edit is based on; 0 if none was applied yet.
    pub fn base(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |current| current.row.version)
    }

    /// Compares `config` with the version in force, which must be its `base` version.
    ///
    /// `None` means an edit without a base version; it conflicts with any version in force.
    ///
    /// # Errors
    ///
    /// Returns a conflict if another version is in force, or an error of the platform.
    pub async fn new(
        store: ConfigStore<'_>,
        config: CellConfig,
        base: Option<u64>,
    ) -> Result<Self, ApplyError> {
        let current = with_retries(|| store.current_version()).await?;
        let in_force = current.as_ref().map_or(0, |current| current.row.version);
        let before = match &current {
            Some(current) => read_config(store, &current.row).await?,
            None => CellConfig::default(),
        };
        let diff = ConfigDiff::between(&before, &config)?;
        let based_on_current = base.unwrap_or(0) == in_force;
        if let Some(current) = &current
            && !based_on_current
            && !diff.is_empty()
        {
            return Err(conflict_error(store, &current.row, before, &config, base).await);
        }
        Ok(Self {
            text: config.to_text()?,
            current,
            before,
            after: config,
            diff,
        })
    }

    /// Writes the version and returns its number. Without changes, nothing is written and the
    /// number of the version in force is returned.
    ///
    /// After a lost response the stored version is read to find the outcome. The condition on the
    /// row version lets at most one of the repeated transactions commit.
    ///
    /// # Errors
    ///
    /// Returns a conflict if another version was written in the meantime,
    /// [`ApplyError::OutcomeUnknown`] if the outcome cannot be read, or an error of the platform.
    pub async fn commit(
        &self,
        store: ConfigStore<'_>,
        commit_info: &CommitInfo,
    ) -> Result<u64, ApplyError> {
        if self.diff.is_empty() {
            return Ok(self.base());
        }
        let row = self.version_row(commit_info);
        let evicted = self.version_to_evict(store).await?;
        self.mark_for_sweep(store, &row).await?;
        let text = self.text.as_bytes();
        with_retries(|| async {
            let stored = store.objects.put(&row.object, text.to_vec()).await;
            stored.map_err(|error| Error::Platform(error.to_string()))
        })
        .await?;
        let txn = self.transaction(&row, evicted.as_ref())?;
        self.write_version(store, &txn, &row).await
    }

    /// The version that the new one evicts from the history.
    async fn version_to_evict(&self, store: ConfigStore<'_>) -> Result<Option<VersionRow>, Error> {
        let version = (self.base() + 1).saturating_sub(MAX_HISTORY_VERSIONS);
        if version == 0 {
            return Ok(None);
        }
        let row = with_retries(|| store.history_row(version)).await?;
        Ok(row.map(|row| row.version_row))
    }

    /// Marks the text object for a sweep, in case its version is never written.
    async fn mark_for_sweep(&self, store: ConfigStore<'_>, row: &VersionRow) -> Result<(), Error> {
        let txn = Txn {
            conditions: Vec::new(),
            writes: vec![put_sweep_row(&row.object, row.version)?],
        };
        with_retries(|| async {
            let written = store.table.commit(&txn).await;
            written.map_err(|error| Error::Platform(error.to_string()))
        })
        .await
    }

    fn version_row(&self, commit_info: &CommitInfo) -> VersionRow {
        let version = self.base() + 1;
        let digest = text_digest(&self.text);
        VersionRow {
            version,
            object: object_name(version, &digest),
            digest,
            author: commit_info.author.clone(),
            applied_unix_s: commit_info.applied_unix_s,
            txn_id: commit_info.txn_id,
        }
    }

    fn transaction(&self, row: &VersionRow, evicted: Option<&VersionRow>) -> Result<Txn, Error> {
        let changes_bytes = encode(&self.diff)?.len();
        let fits = changes_bytes <= MAX_CHANGES_BYTES;
        let history = HistoryRow {
            version_row: row.clone(),
            changes: fits.then(|| self.diff.clone()),
        };
        let mut writes = vec![
            Write::Put {
                key: VERSION_KEY.to_owned(),
                value: encode(row)?,
            },
            Write::Put {
                key: history_key(row.version),
                value: encode(&history)?,
            },
            delete_sweep_row(&row.object),
        ];
        if let Some(evicted) = evicted {
            let key = history_key(evicted.version);
            writes.push(Write::Delete { key });
            writes.push(put_sweep_row(&evicted.object, evicted.version)?);
        }
        let version = self
            .current
            .as_ref()
            .map_or(0, |current| current.row_version);
        let condition = Condition {
            key: VERSION_KEY.to_owned(),
            version,
        };
        Ok(Txn {
            conditions: vec![condition],
            writes,
        })
    }

    async fn write_version(
        &self,
        store: ConfigStore<'_>,
        txn: &Txn,
        row: &VersionRow,
    ) -> Result<u64, ApplyError> {
        let mut outcome_unknown = false;
        let mut cause = String::new();
        for tries in 0..MAX_TRIES {
            match store.table.commit(txn).await {
                Ok(()) => return Ok(row.version),
                Err(TableError::Conflict { .. }) => return self.resolve_conflict(store, row).await,
                Err(TableError::Invalid(text)) => return Err(Error::Platform(text).into()),
                Err(TableError::Unavailable(text)) => cause = text,
                Err(TableError::Unanswered(text)) => {
                    outcome_unknown = true;
                    cause = text;
                }
            }
            back_off(tries).await;
        }
        if outcome_unknown {
            return Err(ApplyError::OutcomeUnknown {
                version: row.version,
                cause,
            });
        }
        Err(Error::Platform(cause).into())
    }

    /// Determines whether an earlier try of this edit or another operator wrote the version.
    async fn resolve_conflict(
        &self,
        store: ConfigStore<'_>,
        row: &VersionRow,
    ) -> Result<u64, ApplyError> {
        let unknown = |error: Error| ApplyError::OutcomeUnknown {
            version: row.version,
            cause: error.to_string(),
        };
        let written = with_retries(|| store.history_row(row.version)).await;
        let written = written.map_err(unknown)?;
        if written.is_some_and(|written| written.version_row.txn_id == row.txn_id) {
            return Ok(row.version);
        }
        let current = with_retries(|| store.current_version())
            .await
            .map_err(unknown)?;
        let Some(current) = current else {
            let text = format!("row {VERSION_KEY} is missing after a conflicting write");
            return Err(Error::Platform(text).into());
        };
        let in_force = read_config(store, &current.row).await?;
        let theirs = ConfigDiff::between(&self.before, &in_force)?;
        Err(ApplyError::Conflict(Box::new(VersionConflict {
            base: Some(self.base()),
            in_force: current.row.version,
            author: current.row.author,
            theirs,
            ours: ConfigDiff::between(&self.before, &self.after)?,
        })))
    }
}

async fn conflict_error(
    store: ConfigStore<'_>,
    current: &VersionRow,
    in_force: CellConfig,
    config: &CellConfig,
    base: Option<u64>,
) -> ApplyError {
    let diffs = async {
        // Without the text of the base version, the edit is compared with the version in force.
        let base_config = match base {
            Some(base) => store.config(base).await.ok(),
            None => None,
        };
        let base_config = base_config.as_ref().unwrap_or(&in_force);
        let theirs = ConfigDiff::between(base_config, &in_force)?;
        let ours = ConfigDiff::between(base_config, config)?;
        Ok::<_, Error>((theirs, ours))
    };
    match diffs.await {
        Err(error) => error.into(),
        Ok((theirs, ours)) => ApplyError::Conflict(Box::new(VersionConflict {
            base,
            in_force: current.version,
            author: current.author.clone(),
            theirs,
            ours,
        })),
    }
}

async fn read_config(store: ConfigStore<'_>, row: &VersionRow) -> Result<CellConfig, Error> {
    let text = with_retries(|| store.read_text(row)).await?;
    CellConfig::from_text(&text).map_err(|e| Error::Platform(e.to_string()))
}

/// Retries an idempotent call after errors of the platform.
async fn with_retries<T, F>(mut call: impl FnMut() -> F) -> Result<T, Error>
where
    F: Future<Output = Result<T, Error>>,
{
    let mut tries = 0;
    loop {
        match call().await {
            Err(Error::Platform(_)) if tries + 1 < MAX_TRIES => back_off(tries).await,
            result => return result,
        }
        tries += 1;
    }
}

async fn back_off(tries: u32) {
    let ms = (MIN_RETRY_DELAY_MS << tries).min(MAX_RETRY_DELAY_MS);
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
