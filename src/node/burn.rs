//! Stores the counts behind `report burn` in the table, so that they outlast the VM that counted.
//!
//! Each process writes its counts under a ledger of its own, fenced by the version of the ledger's
//! head row. Once the process has ended, another VM folds the ledger: in one transaction, it adds
//! the counts to the sums of the cell and deletes the ledger.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use rustc_hash::{FxHashMap, FxHashSet};
use serde::{Deserialize, Serialize};
use tokio::sync::oneshot;

use super::api::ShardDirectory;
use super::clock::Clock;
use super::commit::commit_fenced;
use super::directory::SnapshotDirectory;
use super::observer::NodeObserver;
use crate::config::CellConfig;
use crate::model::Time;
use crate::port::table::{Condition, Row, SharedTable, TableError, Txn, Write, scan_all};
use crate::report::{BurnReport, HourCounts, RETENTION_HOURS, SeriesCounts, SloTracker};
use crate::shard::commit_queue::CommitOutcome;
use crate::shard::rows::{OwnerRef, decode, encode};

/// Interval between writes of changed counts; a killed VM loses at most the counts of one interval.
pub const STORE_INTERVAL: Duration = Duration::from_secs(30);

/// How long the process of a ledger must not have been live before the ledger is folded.
pub const FOLD_DELAY: Duration = Duration::from_secs(600);

/// Number of hour rows of a ledger and of the sums. They form a ring: a row is reused for the hour
/// this many hours later.
pub const HOUR_ROWS: u64 = 80;

/// Prefix of the keys of all counts. A scan returns sums first and heads last: a fold between two
/// pages then leaves work out of one report, but counts none twice.
const BURN_PREFIX: &str = "burn/";
const SUM_PREFIX: &str = "burn/hour/";
const PARTIAL_PREFIX: &str = "burn/part/";
const HEAD_PREFIX: &str = "burn/vm/";

common! { record
/// `burn/vm/LEDGER`: the process that counts under a ledger.
pub struct LedgerHead {
    /// The process.
    pub owner: OwnerRef,
    /// Number of the write, which identifies it after a lost response.
    pub sequence: u64,
}}

/// The counts of one process, as it reports them to other VMs.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LiveCounts {
    /// The ledger under which the counts are stored.
    pub ledger: u64,
    /// Whether the ledger is known to be in the table, or to have been there.
    pub stored: bool,
    /// All counts of the process.
    pub series: Vec<SeriesCounts>,
}

/// Writes the counts of one process, and folds the ledgers of processes that have ended.
pub struct BurnStore {
    table: SharedTable,
    observer: Arc<NodeObserver>,
    directory: Arc<SnapshotDirectory>,
    me: OwnerRef,
    head_version: u64,
    sequence: u64,
    stale_since: FxHashMap<u64, Time>,
}

impl BurnStore {
    /// Creates a store for the counts of `observer` in the process `me`.
    pub fn new(
        table: SharedTable,
        observer: Arc<NodeObserver>,
        directory: Arc<SnapshotDirectory>,
        me: OwnerRef,
    ) -> Self {
        Self {
            table,
            observer,
            directory,
            me,
            head_version: 0,
            sequence: 0,
            stale_since: FxHashMap::default(),
        }
    }

    /// Writes at regular intervals, and a last time on `stop`.
    pub async fn run(mut self, clock: Clock, mut stop: oneshot::Receiver<()>) {
        let mut interval = tokio::time::interval(STORE_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                _ = &mut stop => break,
            }
            self.store().await;
            if self.is_folding_vm() {
                self.fold_stale_ledgers(clock.now(), clock.unix_now()).await;
            }
        }
        self.store().await;
    }

    /// Writes the hours that have changed since the last write.
    ///
    /// Returns `false` if the table is unavailable; the counts then stay in memory for the next
    /// call.
    pub async fn store(&mut self) -> bool {
        let changed = self.observer.take_changed();
        if changed.hours.is_empty() {
            return true;
        }
        let hours = changed.hours.iter().map(|hour| hour.hour).collect();
        let head = LedgerHead {
            owner: self.me.clone(),
            sequence: self.sequence + 1,
        };
        let txn = store_txn(changed.ledger, self.head_version, &head, &changed.hours);
        match commit_fenced(self.table.as_ref(), &txn).await {
            CommitOutcome::Applied => {
                self.head_version += 1;
                self.sequence += 1;
                self.observer.mark_stored();
                true
            }
            CommitOutcome::Unavailable => {
                self.observer.restore_changed(hours);
                false
            }
            CommitOutcome::Fenced
            | CommitOutcome::Exists { .. }
            | CommitOutcome::Conflict { .. } => {
                tracing::warn!(
                    "another VM has folded the burn counts of this process; counts that were not \
                     yet written are lost, and a new ledger begins"
                );
                self.head_version = 0;
                self.observer.start_new_ledger();
                true
            }
        }
    }

    /// Whether this VM folds ledgers: the first by name of the live VMs.
    fn is_folding_vm(&self) -> bool {
        let live = self.directory.live_vms();
        let first = live.iter().map(|vm| &vm.vm).min();
        first == Some(&self.me.vm)
    }

    /// Folds each ledger whose process has not been live for [`FOLD_DELAY`].
    pub async fn fold_stale_ledgers(&mut self, now: Time, unix_now: Time) {
        let Ok(heads) = scan_all(self.table.as_ref(), HEAD_PREFIX).await else {
            return;
        };
        let live: FxHashSet<OwnerRef> = self
            .directory
            .live_vms()
            .into_iter()
            .map(|vm| OwnerRef {
                vm: vm.vm,
                incarnation: vm.incarnation,
            })
            .collect();
        let mut stale_since = FxHashMap::default();
        for row in &heads {
            let head = decode::<LedgerHead>(&row.value);
            let (Some(ledger), Ok(head)) = (ledger_of_head(row), head) else {
                continue;
            };
            if live.contains(&head.owner) {
                continue;
            }
            let since = *self.stale_since.get(&ledger).unwrap_or(&now);
            stale_since.insert(ledger, since);
            if now.since(since) >= FOLD_DELAY {
                let folded = fold_ledger(self.table.as_ref(), ledger, row, unix_now).await;
                tracing::debug!(
                    ledger,
                    vm = %head.owner.vm,
                    ?folded,
                    "tried to fold the burn counts of a VM that is no longer live"
                );
            }
        }
        self.stale_since = stale_since;
    }
}

/// Adds a ledger to the sums and deletes it; does nothing if it has changed since `head` was read.
///
/// # Errors
///
/// Returns an error of the table. If the outcome is unknown, a later call finds the ledger deleted
/// or folds it.
pub async fn fold_ledger(
    table: &dyn crate::port::table::Table,
    ledger: u64,
    head: &Row,
    unix_now: Time,
) -> Result<(), TableError> {
    let mut txn = Txn {
        conditions: vec![Condition {
            key: head.key.clone(),
            version: head.version,
        }],
        writes: vec![Write::Delete {
            key: head.key.clone(),
        }],
    };
    for partial in scan_all(table, &partial_rows_prefix(ledger)).await? {
        txn.writes.push(Write::Delete { key: partial.key });
        let Ok(partial) = decode::<HourCounts>(&partial.value) else {
            continue;
        };
        if !is_in_longest_window(partial.hour, unix_now) {
            continue;
        }
        let key = sum_key(partial.hour);
        let row = table.read(&key).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let sum = added_to_sum(row.as_ref(), partial, unix_now);
        txn.conditions.push(Condition {
            key: key.clone(),
            version,
        });
        let value = encode(&sum);
        txn.writes.push(Write::Put { key, value });
    }
    table.commit(&txn).await
}

/// The sum of an hour with `partial` added; replaces the row if it holds another hour.
fn added_to_sum(row: Option<&Row>, partial: HourCounts, unix_now: Time) -> HourCounts {
    let sum = row.and_then(|row| decode::<HourCounts>(&row.value).ok());
    let mut sum = match sum {
        Some(mut sum) if sum.hour == partial.hour => {
            sum.merge(&partial);
            sum
        }
        _ => partial,
    };
    sum.downsample(unix_now);
    sum
}

/// Computes the report from the counts that live processes reported and from rows read after
/// that; without rows, from the live counts alone.
///
/// The counts of a process come from its own report if there is one, otherwise from its ledger. A
/// process whose ledger was folded is already counted in the sums.
pub fn burn_report(
    live: &[LiveCounts],
    rows: Option<&[Row]>,
    cfg: &CellConfig,
    unix_now: Time,
) -> BurnReport {
    let Some(rows) = rows else {
        let live: Vec<_> = live.iter().map(|live| live.series.clone()).collect();
        return BurnReport::from_counts(&live);
    };
    let heads: FxHashSet<u64> = rows.iter().filter_map(ledger_of_head).collect();
    let reported: FxHashSet<u64> = live.iter().map(|live| live.ledger).collect();
    let already_folded = |live: &&LiveCounts| live.stored && !heads.contains(&live.ledger);
    let mut counts: Vec<Vec<SeriesCounts>> = live
        .iter()
        .filter(|live| !already_folded(live))
        .map(|live| live.series.clone())
        .collect();
    let mut stored = SloTracker::default();
    stored.set_objectives(cfg);
    let is_counted = |row: &Row| match ledger_of_partial(row) {
        Some(ledger) => heads.contains(&ledger) && !reported.contains(&ledger),
        None => row.key.starts_with(SUM_PREFIX),
    };
    let mut hours: BTreeMap<u64, Vec<HourCounts>> = BTreeMap::new();
    for row in rows.iter().filter(|row| is_counted(row)) {
        if let Ok(partial) = decode::<HourCounts>(&row.value)
            && is_in_longest_window(partial.hour, unix_now)
        {
            hours.entry(partial.hour).or_default().push(partial);
        }
    }
    for partial in hours.values().flatten() {
        stored.add_hour(partial, unix_now);
    }
    counts.push(stored.counts(unix_now));
    BurnReport::from_counts(&counts)
}

/// Reads all rows of the burn counts.
///
/// # Errors
///
/// Returns an error of the table.
pub async fn read_burn_rows(table: &dyn crate::port::table::Table) -> Result<Vec<Row>, TableError> {
    scan_all(table, BURN_PREFIX).await
}

fn store_txn(ledger: u64, version: u64, head: &LedgerHead, hours: &[HourCounts]) -> Txn {
    let key = format!("{HEAD_PREFIX}{ledger:016x}");
    let head = Write::Put {
        key: key.clone(),
        value: encode(head),
    };
    let partials = hours.iter().map(|hour| Write::Put {
        key: format!(
            "{}{:02}",
            partial_rows_prefix(ledger),
            hour.hour % HOUR_ROWS
        ),
        value: encode(hour),
    });
    Txn {
        conditions: vec![Condition { key, version }],
        writes: std::iter::once(head).chain(partials).collect(),
    }
}

fn partial_rows_prefix(ledger: u64) -> String {
    format!("{PARTIAL_PREFIX}{ledger:016x}/")
}

fn sum_key(hour: u64) -> String {
    format!("{SUM_PREFIX}{:02}", hour % HOUR_ROWS)
}

fn ledger_of_head(row: &Row) -> Option<u64> {
    let text = row.key.strip_prefix(HEAD_PREFIX)?;
    u64::from_str_radix(text, 16).ok()
}

fn ledger_of_partial(row: &Row) -> Option<u64> {
    let (text, _) = row.key.strip_prefix(PARTIAL_PREFIX)?.split_once('/')?;
    u64::from_str_radix(text, 16).ok()
}

/// Whether the longest report window still reaches into `hour`.
fn is_in_longest_window(hour: u64, unix_now: Time) -> bool {
    const HOUR_US: u64 = 3_600_000_000;
    hour + RETENTION_HOURS >= unix_now.0 / HOUR_US
}
