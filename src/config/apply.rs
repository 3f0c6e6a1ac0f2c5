//! Applies a configuration as a new version, by compare-and-set on the version it was based on.

use std::fmt;
use std::time::Duration;

use super::CellConfig;
use super::diff::ConfigDiff;
use super::store::{
    ConfigStore, CurrentVersion, HistoryRow, MAX_HISTORY_VERSIONS, VERSION_KEY, VersionRow,
    encoded, history_key, object_name, text_digest,
};
use super::sweep::{noted, taken_back};
use crate::error::Error;
use crate::port::table::{Condition, TableError, Txn, Write};

/// The most bytes of changes that a row of the history holds.
const MAX_CHANGES_BYTES: usize = 16 << 10;

/// How often a call of the platform is made before it is given up.
pub const MAX_TRIES: u32 = 10;

/// The wait after the first failed call; it doubles with each, up to [`MAX_RETRY_MS`].
const FIRST_RETRY_MS: u64 = 100;

/// The longest wait between two calls; an edit is to be in force soon after an outage.
const MAX_RETRY_MS: u64 = 500;

/// Why a configuration was not applied.
#[derive(Debug, thiserror::Error)]
pub enum ApplyError {
    /// Another operator applied a version in between; nothing was written.
    #[error("{0}")]
    Conflict(Box<VersionConflict>),
    /// Whether the version was written cannot be known now.
    #[error("whether version {version} was written is not known; see `config history`: {cause}")]
    OutcomeUnknown {
        /// The version.
        version: u64,
        /// The platform's last error.
        cause: String,
    },
    /// Something failed before anything was written.
    #[error(transparent)]
    Other(#[from] Error),
}

/// Two operators' changes that started from one version.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionConflict {
    /// The version that the edit was based on; `None` where that is not known.
    pub base: Option<u64>,
    /// The version in force.
    pub in_force: u64,
    /// Who applied the version in force.
    pub author: String,
    /// What the other operators changed since the base.
    pub theirs: ConfigDiff,
    /// What the edit changes since the base.
    pub ours: ConfigDiff,
}

impl fmt::Display for VersionConflict {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let in_force = self.in_force;
        let author = &self.author;
        match self.base {
            Some(base) => writeln!(
                f,
                "conflict: the edit is based on version {base}, and version {in_force} by \
                 {author} is in force"
            )?,
            None => writeln!(
                f,
                "conflict: version {in_force} by {author} is in force, and which version the \
                 edit is based on is not known"
            )?,
        }
        if !self.theirs.is_empty() {
            write!(f, "what others changed since:\n{}", self.theirs)?;
        }
        write!(f, "what the edit changes:\n{}", self.ours)?;
        write!(
            f,
            "nothing was written; take their changes into the folder and apply it with --base \
             {in_force}"
        )
    }
}

/// Who applies a version, and when.
#[derive(Clone, Debug, PartialEq)]
pub struct CommitInfo {
    /// Who.
    pub author: String,
    /// When, in seconds since 1970.
    pub applied_unix_s: u64,
    /// Names the transaction; drawn at random.
    pub txn_id: u64,
}

/// A checked edit that is ready to be written.
#[derive(Clone, Debug, PartialEq)]
pub struct ApplyPlan {
    current: Option<CurrentVersion>,
    before: CellConfig,
    after: CellConfig,
    text: String,
    /// What the edit changes.
    pub diff: ConfigDiff,
}

impl ApplyPlan {
    /// The number of the version that the edit is based on, 0 where none was applied.
    pub fn base(&self) -> u64 {
        self.current
            .as_ref()
            .map_or(0, |current| current.row.version)
    }

    /// Compares `config` with the version in force, which has to be the one it is based on.
    ///
    /// A `base` of `None` stands for an edit from scratch; it conflicts with any version.
    ///
    /// # Errors
    ///
    /// Returns a conflict where another version is in force, or an error of the platform.
    pub async fn new(
        store: ConfigStore<'_>,
        config: CellConfig,
        base: Option<u64>,
    ) -> Result<Self, ApplyError> {
        let current = retried(|| store.current_version()).await?;
        let in_force = current.as_ref().map_or(0, |current| current.row.version);
        let before = match &current {
            Some(current) => text_of(store, &current.row).await?,
            None => CellConfig::default(),
        };
        let diff = ConfigDiff::between(&before, &config)?;
        let based_on_head = base.unwrap_or(0) == in_force;
        if let Some(current) = &current
            && !based_on_head
            && !diff.is_empty()
        {
            return Err(conflict(store, &current.row, before, &config, base).await);
        }
        Ok(Self {
            text: config.to_text()?,
            current,
            before,
            after: config,
            diff,
        })
    }

    /// Writes the version and returns its number; where nothing differs, the number in force.
    ///
    /// A lost answer is resolved by reading; the row's version lets at most one of the repeated
    /// transactions through.
    ///
    /// # Errors
    ///
    /// Returns a conflict where another version came in between.
    pub async fn commit(
        &self,
        store: ConfigStore<'_>,
        commit_info: &CommitInfo,
    ) -> Result<u64, ApplyError> {
        if self.diff.is_empty() {
            return Ok(self.base());
        }
        let row = self.row(commit_info);
        let aged = self.aged(store).await?;
        self.note(store, &row).await?;
        let text = self.text.as_bytes();
        retried(|| async {
            let stored = store.objects.put(&row.object, text.to_vec()).await;
            stored.map_err(|error| Error::Platform(error.to_string()))
        })
        .await?;
        let txn = self.transaction(&row, aged.as_ref())?;
        self.write(store, &txn, &row).await
    }

    /// The version that leaves the history as this one comes in.
    async fn aged(&self, store: ConfigStore<'_>) -> Result<Option<VersionRow>, Error> {
        let version = (self.base() + 1).saturating_sub(MAX_HISTORY_VERSIONS);
        if version == 0 {
            return Ok(None);
        }
        let row = retried(|| store.history_row(version)).await?;
        Ok(row.map(|row| row.version_row))
    }

    /// Names the text's object for a sweep, in case that its version is never written.
    async fn note(&self, store: ConfigStore<'_>, row: &VersionRow) -> Result<(), Error> {
        let txn = Txn {
            conditions: Vec::new(),
            writes: vec![noted(&row.object, row.version)?],
        };
        retried(|| async {
            let written = store.table.commit(&txn).await;
            written.map_err(|error| Error::Platform(error.to_string()))
        })
        .await
    }

    fn row(&self, commit_info: &CommitInfo) -> VersionRow {
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

    fn transaction(&self, row: &VersionRow, aged: Option<&VersionRow>) -> Result<Txn, Error> {
        let changes_bytes = encoded(&self.diff)?.len();
        let small = changes_bytes <= MAX_CHANGES_BYTES;
        let history = HistoryRow {
            version_row: row.clone(),
            changes: small.then(|| self.diff.clone()),
        };
        let mut writes = vec![
            Write::Put {
                key: VERSION_KEY.to_owned(),
                value: encoded(row)?,
            },
            Write::Put {
                key: history_key(row.version),
                value: encoded(&history)?,
            },
            taken_back(&row.object),
        ];
        if let Some(aged) = aged {
            let key = history_key(aged.version);
            writes.push(Write::Delete { key });
            writes.push(noted(&aged.object, aged.version)?);
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

    async fn write(
        &self,
        store: ConfigStore<'_>,
        txn: &Txn,
        row: &VersionRow,
    ) -> Result<u64, ApplyError> {
        let mut effect_open = false;
        let mut cause = String::new();
        for attempt in 0..MAX_TRIES {
            match store.table.commit(txn).await {
                Ok(()) => return Ok(row.version),
                Err(TableError::Conflict { .. }) => return self.settle(store, row).await,
                Err(TableError::Invalid(text)) => return Err(Error::Platform(text).into()),
                Err(TableError::Unavailable(text)) => cause = text,
                Err(TableError::Unanswered(text)) => {
                    effect_open = true;
                    cause = text;
                }
            }
            wait(attempt).await;
        }
        if effect_open {
            return Err(ApplyError::OutcomeUnknown {
                version: row.version,
                cause,
            });
        }
        Err(Error::Platform(cause).into())
    }

    /// Finds out who wrote the version: an earlier try of this edit, or another operator.
    async fn settle(&self, store: ConfigStore<'_>, row: &VersionRow) -> Result<u64, ApplyError> {
        let unknown = |error: Error| ApplyError::OutcomeUnknown {
            version: row.version,
            cause: error.to_string(),
        };
        let written = retried(|| store.history_row(row.version)).await;
        let written = written.map_err(unknown)?;
        if written.is_some_and(|written| written.version_row.txn_id == row.txn_id) {
            return Ok(row.version);
        }
        let current = retried(|| store.current_version()).await.map_err(unknown)?;
        let Some(current) = current else {
            let text = format!("the row {VERSION_KEY} went away");
            return Err(Error::Platform(text).into());
        };
        let in_force = text_of(store, &current.row).await?;
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

async fn conflict(
    store: ConfigStore<'_>,
    current: &VersionRow,
    in_force: CellConfig,
    config: &CellConfig,
    base: Option<u64>,
) -> ApplyError {
    let differences = async {
        // Without the base's text, the edit is compared with what is in force.
        let start = match base {
            Some(base) => store.config(base).await.ok(),
            None => None,
        };
        let start = start.as_ref().unwrap_or(&in_force);
        let theirs = ConfigDiff::between(start, &in_force)?;
        let ours = ConfigDiff::between(start, config)?;
        Ok::<_, Error>((theirs, ours))
    };
    match differences.await {
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

async fn text_of(store: ConfigStore<'_>, row: &VersionRow) -> Result<CellConfig, Error> {
    let text = retried(|| store.read_text(row)).await?;
    CellConfig::from_text(&text).map_err(|e| Error::Platform(e.to_string()))
}

/// Repeats a call that changes nothing, or the same each time, after errors of the platform.
async fn retried<T, F>(mut call: impl FnMut() -> F) -> Result<T, Error>
where
    F: Future<Output = Result<T, Error>>,
{
    let mut attempt = 0;
    loop {
        match call().await {
            Err(Error::Platform(_)) if attempt + 1 < MAX_TRIES => wait(attempt).await,
            result => return result,
        }
        attempt += 1;
    }
}

async fn wait(attempt: u32) {
    let ms = (FIRST_RETRY_MS << attempt).min(MAX_RETRY_MS);
    tokio::time::sleep(Duration::from_millis(ms)).await;
}
