//! The subcommands of `config` that read and write versions in the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::ArgMatches;
use tokio::signal::unix::{SignalKind, signal};

use super::output::{Format, aligned, print, print_json, reject};
use crate::adapter::object_store::HttpObjectStore;
use crate::adapter::table::HttpTable;
use crate::config::{
    self, ApplyError, ApplyPlan, CommitInfo, ConfigDiff, ConfigStore, FolderWatcher, HistoryRow,
    LoadedConfig, VersionConflict,
};
use crate::error::{Error, Result};
use crate::node::clock::Clock;

/// How long one call of the platform may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(5);

/// How often a watched folder is looked at.
const POLL: Duration = Duration::from_millis(100);

/// The wait after an edit could not be written for a passing reason.
const RETRY: Duration = Duration::from_secs(1);

/// The platform as a command reaches it.
struct Platform {
    table: HttpTable,
    objects: HttpObjectStore,
}

impl Platform {
    fn of(args: &ArgMatches) -> Result<Self> {
        let address = args.get_one::<SocketAddr>("platform").copied();
        let address = address.ok_or_else(|| Error::Other("name the platform".to_owned()))?;
        Ok(Self {
            table: HttpTable::new(address, CALL_TIMEOUT),
            objects: HttpObjectStore::new(address, CALL_TIMEOUT),
        })
    }

    fn store(&self) -> ConfigStore<'_> {
        ConfigStore {
            table: &self.table,
            objects: &self.objects,
        }
    }
}

/// Writes the folder as a new version.
pub fn apply(dir: &Path, args: &ArgMatches) -> Result<()> {
    let format = Format::of(args);
    let loaded = match config::load(dir) {
        Ok(loaded) => loaded,
        Err(findings) => return reject(&findings, format),
    };
    let platform = Platform::of(args)?;
    let edit = Edit {
        dir,
        base: args.get_one::<u64>("base").copied(),
        author: author(args),
        dry_run: args.get_flag("dry-run"),
        format,
    };
    runtime()?.block_on(edit.apply(&platform, loaded))
}

/// Applies the folder on each edit, until SIGINT or SIGTERM.
pub fn watch(dir: &Path, args: &ArgMatches) -> Result<()> {
    let platform = Platform::of(args)?;
    let edit = Edit {
        dir,
        base: None,
        author: author(args),
        dry_run: false,
        format: Format::of(args),
    };
    runtime()?.block_on(async {
        let mut terminated = signal(SignalKind::terminate()).map_err(Error::io("SIGTERM"))?;
        tokio::select! {
            ended = edit.watch(&platform) => ended,
            _ = terminated.recv() => Ok(()),
            _ = tokio::signal::ctrl_c() => Ok(()),
        }
    })
}

/// Prints who applied which version, and when.
pub fn history(args: &ArgMatches) -> Result<()> {
    let platform = Platform::of(args)?;
    let rows = runtime()?.block_on(platform.store().history())?;
    match Format::of(args) {
        Format::Json => print_json(&serde_json::json!({ "versions": rows })),
        Format::Text => print(&history_table(&rows)),
    }
}

fn history_table(rows: &[HistoryRow]) -> String {
    let rows = rows.iter().map(|row| {
        let applied = UNIX_EPOCH + Duration::from_secs(row.version_row.applied_unix_s);
        let changes = row.changes.as_ref().map(|d| d.changes().len());
        [
            row.version_row.version.to_string(),
            humantime::format_rfc3339_seconds(applied).to_string(),
            row.version_row.author.clone(),
            changes.map_or("many".to_owned(), |n| n.to_string()),
        ]
    });
    aligned(["version", "applied", "author", "changes"], rows)
}

/// Prints what differs between two versions.
pub fn diff(args: &ArgMatches) -> Result<()> {
    let platform = Platform::of(args)?;
    let version = |id| args.get_one::<u64>(id).copied().unwrap_or(0);
    let (before, after) = (version("before"), version("after"));
    let diff = runtime()?.block_on(async {
        let store = platform.store();
        let before = store.config(before).await?;
        ConfigDiff::between(&before, &store.config(after).await?)
    })?;
    match Format::of(args) {
        Format::Json => print_json(&serde_json::json!({
            "before": before,
            "after": after,
            "changes": diff,
        })),
        Format::Text => print(&diff.to_string()),
    }
}

/// How a folder is applied.
struct Edit<'a> {
    dir: &'a Path,
    base: Option<u64>,
    author: String,
    dry_run: bool,
    format: Format,
}

impl Edit<'_> {
    async fn apply(&self, platform: &Platform, loaded: LoadedConfig) -> Result<()> {
        let written = self.write(platform.store(), loaded).await;
        let ended = matches!(written, Ok(()) | Err(ApplyError::Conflict(_)));
        if ended && !self.dry_run {
            // What cannot be deleted now is left for the next edit.
            let _ = platform.store().sweep().await;
        }
        match written {
            Ok(()) => Ok(()),
            Err(ApplyError::Conflict(conflict)) => {
                self.print_conflict(&conflict)?;
                Err(Error::Conflict)
            }
            Err(ApplyError::Other(error)) => Err(error),
            Err(error @ ApplyError::OutcomeUnknown { .. }) => {
                Err(Error::Platform(error.to_string()))
            }
        }
    }

    async fn write(&self, store: ConfigStore<'_>, loaded: LoadedConfig) -> Result<(), ApplyError> {
        let noted =
            config::read_base_version(self.dir).map_err(Error::io(config::BASE_VERSION_FILE))?;
        let base = self.base.or(noted);
        let plan = ApplyPlan::new(store, loaded.config, base).await?;
        if self.dry_run {
            self.print_plan(&plan, None)?;
            return Ok(());
        }
        if self.format == Format::Text {
            print(&plan.diff.to_string())?;
        }
        let version = plan.commit(store, &self.commit_info()?).await?;
        let written = config::write_base_version(self.dir, version);
        written.map_err(Error::io(config::BASE_VERSION_FILE))?;
        self.print_plan(&plan, Some(version))?;
        Ok(())
    }

    fn commit_info(&self) -> Result<CommitInfo> {
        let since = SystemTime::now().duration_since(UNIX_EPOCH);
        let since = since.map_err(|error| Error::Other(error.to_string()))?;
        Ok(CommitInfo {
            author: self.author.clone(),
            applied_unix_s: since.as_secs(),
            txn_id: rand::random(),
        })
    }

    fn print_plan(&self, plan: &ApplyPlan, version: Option<u64>) -> Result<()> {
        let unchanged = plan.diff.is_empty();
        match (self.format, version) {
            (Format::Json, _) => print_json(&serde_json::json!({
                "version": version,
                "base": plan.base(),
                "unchanged": unchanged,
                "changes": plan.diff,
            })),
            (Format::Text, None) => print(&format!("{}nothing was written\n", plan.diff)),
            (Format::Text, Some(version)) if unchanged => {
                print(&format!("unchanged: version {version} is in force\n"))
            }
            (Format::Text, Some(version)) => print(&format!("applied as version {version}\n")),
        }
    }

    fn print_conflict(&self, conflict: &VersionConflict) -> Result<()> {
        match self.format {
            Format::Text => print(&format!("{conflict}\n")),
            Format::Json => print_json(&serde_json::json!({
                "conflict": {
                    "base": conflict.base,
                    "in_force": conflict.in_force,
                    "author": conflict.author,
                    "theirs": conflict.theirs,
                    "ours": conflict.ours,
                },
            })),
        }
    }

    async fn watch(&self, platform: &Platform) -> Result<()> {
        let clock = Clock::start();
        let mut watcher = FolderWatcher::default();
        loop {
            if watcher.observe(FolderWatcher::folder_digest(self.dir), clock.now()) {
                self.take_up(platform, &mut watcher).await?;
            }
            tokio::time::sleep(POLL).await;
        }
    }

    /// Applies one edit; only an error of the output ends the watch.
    async fn take_up(&self, platform: &Platform, watcher: &mut FolderWatcher) -> Result<()> {
        let loaded = match config::load(self.dir) {
            Ok(loaded) => loaded,
            Err(findings) => {
                let rejected: Result<()> = reject(&findings, self.format);
                return match rejected {
                    Err(Error::Findings { .. }) => Ok(()),
                    other => other,
                };
            }
        };
        match self.apply(platform, loaded).await {
            Ok(()) | Err(Error::Conflict) => Ok(()),
            Err(error @ Error::Io { .. }) => Err(error),
            Err(error) => {
                eprintln!("chestnutlug: {error}; trying again");
                watcher.reset();
                tokio::time::sleep(RETRY).await;
                Ok(())
            }
        }
    }
}

fn author(args: &ArgMatches) -> String {
    let author = args.get_one::<String>("author").cloned();
    author.unwrap_or_default()
}

fn runtime() -> Result<tokio::runtime::Runtime> {
    tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build()
        .map_err(Error::io("start the runtime"))
}
