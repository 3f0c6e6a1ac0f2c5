//! The subcommands of `config` that read and write configuration versions in the platform.

use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use clap::ArgMatches;
use tokio::signal::unix::{SignalKind, signal};

use super::output::{Format, print_json, print_text, render_table, report_findings};
use crate::adapter::object_store::HttpObjectStore;
use crate::adapter::table::HttpTable;
use crate::config::{
    self, ApplyError, ApplyPlan, CommitInfo, ConfigDiff, ConfigStore, FolderWatcher, HistoryRow,
    LoadedConfig, VersionConflict,
};
use crate::error::{Error, Result};
use crate::node::clock::Clock;

/// The timeout of one request to the platform.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// The interval between two reads of a watched folder.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The delay before an edit is applied again after a transient error.
const RETRY_DELAY: Duration = Duration::from_secs(1);

/// The clients of the platform's table and object store.
struct PlatformClients {
    table: HttpTable,
    objects: HttpObjectStore,
}

impl PlatformClients {
    fn from_args(args: &ArgMatches) -> Result<Self> {
        let address = args.get_one::<SocketAddr>("platform").copied();
        let address =
            address.ok_or_else(|| Error::Other("missing argument --platform".to_owned()))?;
        Ok(Self {
            table: HttpTable::new(address, REQUEST_TIMEOUT),
            objects: HttpObjectStore::new(address, REQUEST_TIMEOUT),
        })
    }

    fn store(&self) -> ConfigStore<'_> {
        ConfigStore {
            table: &self.table,
            objects: &self.objects,
        }
    }
}

/// Applies a folder as a new version.
pub fn apply(dir: &Path, args: &ArgMatches) -> Result<()> {
    let format = Format::from_args(args);
    let loaded = match config::load(dir) {
        Ok(loaded) => loaded,
        Err(findings) => return report_findings(&findings, format),
    };
    let platform = PlatformClients::from_args(args)?;
    let applier = FolderApplier {
        dir,
        base: args.get_one::<u64>("base").copied(),
        author: author(args),
        dry_run: args.get_flag("dry-run"),
        format,
    };
    runtime()?.block_on(applier.apply(&platform, loaded))
}

/// Applies a folder after each edit, until SIGINT or SIGTERM.
pub fn watch(dir: &Path, args: &ArgMatches) -> Result<()> {
    let platform = PlatformClients::from_args(args)?;
    let applier = FolderApplier {
        dir,
        base: None,
        author: author(args),
        dry_run: false,
        format: Format::from_args(args),
    };
    runtime()?.block_on(async {
        let mut terminate = signal(SignalKind::terminate())
            .map_err(Error::io("cannot install the SIGTERM handler"))?;
        tokio::select! {
            result = applier.watch(&platform) => result,
            _ = terminate.recv() => Ok(()),
            _ = tokio::signal::ctrl_c() => Ok(()),
        }
    })
}

/// Prints the versions in the history with their authors and times.
pub fn history(args: &ArgMatches) -> Result<()> {
    let platform = PlatformClients::from_args(args)?;
    let rows = runtime()?.block_on(platform.store().history())?;
    match Format::from_args(args) {
        Format::Json => print_json(&serde_json::json!({ "versions": rows })),
        Format::Text => print_text(&history_table(&rows)),
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
    render_table(["version", "applied", "author", "changes"], rows)
}

/// Prints the differences between two versions.
pub fn diff(args: &ArgMatches) -> Result<()> {
    let platform = PlatformClients::from_args(args)?;
    let version = |id| args.get_one::<u64>(id).copied().unwrap_or(0);
    let (before, after) = (version("before"), version("after"));
    let diff = runtime()?.block_on(async {
        let store = platform.store();
        let before = store.config(before).await?;
        ConfigDiff::between(&before, &store.config(after).await?)
    })?;
    match Format::from_args(args) {
        Format::Json => print_json(&serde_json::json!({
            "before": before,
            "after": after,
            "changes": diff,
        })),
        Format::Text => print_text(&diff.to_string()),
    }
}

/// Applies a folder to the platform.
struct FolderApplier<'a> {
    dir: &'a Path,
    base: Option<u64>,
    author: String,
    dry_run: bool,
    format: Format,
}

impl FolderApplier<'_> {
    async fn apply(&self, platform: &PlatformClients, loaded: LoadedConfig) -> Result<()> {
        let result = self.write(platform.store(), loaded).await;
        let outcome_known = matches!(result, Ok(()) | Err(ApplyError::Conflict(_)));
        if outcome_known && !self.dry_run {
            // Objects that cannot be deleted now are left to the sweep after the next edit.
            let _ = platform.store().sweep().await;
        }
        match result {
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
        let stored_base =
            config::read_base_version(self.dir).map_err(Error::io(config::BASE_VERSION_FILE))?;
        let base = self.base.or(stored_base);
        let plan = ApplyPlan::new(store, loaded.config, base).await?;
        if self.dry_run {
            self.print_plan(&plan, None)?;
            return Ok(());
        }
        if self.format == Format::Text {
            print_text(&plan.diff.to_string())?;
        }
        let version = plan.commit(store, &self.commit_info()?).await?;
        let written = config::write_base_version(self.dir, version);
        written.map_err(Error::io(config::BASE_VERSION_FILE))?;
        self.print_plan(&plan, Some(version))?;
        Ok(())
    }

    fn commit_info(&self) -> Result<CommitInfo> {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
        let since_epoch = since_epoch.map_err(|error| Error::Other(error.to_string()))?;
        Ok(CommitInfo {
            author: self.author.clone(),
            applied_unix_s: since_epoch.as_secs(),
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
            (Format::Text, None) => print_text(&format!("{}nothing was written\n", plan.diff)),
            (Format::Text, Some(version)) if unchanged => {
                print_text(&format!("unchanged: version {version} is in force\n"))
            }
            (Format::Text, Some(version)) => print_text(&format!("applied as version {version}\n")),
        }
    }

    fn print_conflict(&self, conflict: &VersionConflict) -> Result<()> {
        match self.format {
            Format::Text => print_text(&format!("{conflict}\n")),
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

    async fn watch(&self, platform: &PlatformClients) -> Result<()> {
        let clock = Clock::start();
        let mut watcher = FolderWatcher::default();
        loop {
            if watcher.observe(FolderWatcher::folder_digest(self.dir), clock.now()) {
                self.apply_edit(platform, &mut watcher).await?;
            }
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    }

    /// Applies one edit. Only an I/O error, such as of the output, is returned and ends the watch.
    async fn apply_edit(
        &self,
        platform: &PlatformClients,
        watcher: &mut FolderWatcher,
    ) -> Result<()> {
        let loaded = match config::load(self.dir) {
            Ok(loaded) => loaded,
            Err(findings) => {
                let reported: Result<()> = report_findings(&findings, self.format);
                return match reported {
                    Err(Error::Findings { .. }) => Ok(()),
                    other => other,
                };
            }
        };
        match self.apply(platform, loaded).await {
            Ok(()) | Err(Error::Conflict) => Ok(()),
            Err(error @ Error::Io { .. }) => Err(error),
            Err(error) => {
                eprintln!("chestnutlug: {error}; applying the edit again in {RETRY_DELAY:?}");
                watcher.reset();
                tokio::time::sleep(RETRY_DELAY).await;
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
        .map_err(Error::io("cannot start the async runtime"))
}
