//! Keeps the counts behind `report burn` in the table, so that they outlast the VM that counted.
//!
//! Each process writes what it counted under a ledger of its own, fenced by the version of the
//! ledger's head. Once the process is gone, another VM adds the ledger to the sums of the cell
//! and deletes it, in one transaction.

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
use crate::report::{Burn, BurnReport, HOURS_KEPT, HourCounts, SeriesCounts};
use crate::shard::commit_queue::CommitOutcome;
use crate::shard::rows::{OwnerRef, decode, encode};

/// How often changed counts are written; a VM that is killed loses those of this time at most.
pub const STORE_INTERVAL: Duration = Duration::from_secs(30);

/// How long the process of a ledger has to be gone until the ledger is added to the sums.
pub const FOLD_AFTER: Duration = Duration::from_secs(600);

/// How many rows hold the hours of a ledger and of the sums; an hour's row is used again for a
/// later hour.
pub const HOUR_ROWS: u64 = 80;

/// The start of the keys of all counts. Sums come first in a scan and heads last: a fold between
/// two pages then leaves work out of one report, and counts none twice.
const PREFIX: &str = "burn/";
const SUMS: &str = "burn/hour/";
const PARTS: &str = "burn/part/";
const HEADS: &str = "burn/vm/";

common! { record
/// `burn/vm/LEDGER`: the process that counts under a ledger.
pub struct LedgerHead {
    /// The process.
    pub owner: OwnerRef,
    /// Counts the writes, which tells them apart after a lost answer.
    pub sequence: u64,
}}

/// What one process counted, as it tells others.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct LiveCounts {
    /// The ledger under which the counts are kept.
    pub ledger: u64,
    /// Whether the ledger is surely in the table, or was.
    pub stored: bool,
    /// All counts of the process.
    pub series: Vec<SeriesCounts>,
}

/// Writes the counts of one process, and folds those of processes that are gone.
pub struct BurnStore {
    table: SharedTable,
    observer: Arc<NodeObserver>,
    directory: Arc<SnapshotDirectory>,
    me: OwnerRef,
    head_version: u64,
    sequence: u64,
    gone_since: FxHashMap<u64, Time>,
}

impl BurnStore {
    /// A store for what `observer` counts in the process `me`.
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
            gone_since: FxHashMap::default(),
        }
    }

    /// Writes at regular intervals, and once more when `stop` says so.
    pub async fn run(mut self, clock: Clock, mut stop: oneshot::Receiver<()>) {
        let mut interval = tokio::time::interval(STORE_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                _ = interval.tick() => {}
                _ = &mut stop => break,
            }
            self.store().await;
            if self.leads() {
                self.fold_stale_ledgers(clock.now(), clock.unix_now()).await;
            }
        }
        self.store().await;
    }

    /// Writes the hours that have changed since the last write.
    ///
    /// Returns whether all is written; where it is not, the counts stay in memory for the next
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
                tracing::warn!("the counts were added to the sums while this process was away");
                self.head_version = 0;
                self.observer.start_new_ledger();
                true
            }
        }
    }

    /// Whether this process is the one that folds: the first by name of those that live.
    fn leads(&self) -> bool {
        let live = self.directory.live_vms();
        let first = live.iter().map(|vm| &vm.vm).min();
        first == Some(&self.me.vm)
    }

    /// Folds each ledger whose process has been gone for [`FOLD_AFTER`].
    pub async fn fold_stale_ledgers(&mut self, now: Time, unix_now: Time) {
        let Ok(heads) = scan_all(self.table.as_ref(), HEADS).await else {
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
        let mut gone_since = FxHashMap::default();
        for row in &heads {
            let head = decode::<LedgerHead>(&row.value);
            let (Some(ledger), Ok(head)) = (ledger_of(row), head) else {
                continue;
            };
            if live.contains(&head.owner) {
                continue;
            }
            let since = *self.gone_since.get(&ledger).unwrap_or(&now);
            gone_since.insert(ledger, since);
            if now.since(since) >= FOLD_AFTER {
                let folded = fold_ledger(self.table.as_ref(), ledger, row, unix_now).await;
                tracing::debug!(ledger, vm = %head.owner.vm, ?folded, "folded counts of a gone VM");
            }
        }
        self.gone_since = gone_since;
    }
}

/// Adds a ledger to the sums and deletes it, or does nothing where it has changed meanwhile.
///
/// # Errors
///
/// Returns an error of the table. After a lost answer the next try finds the ledger gone, or does
/// the same again.
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
    for part in scan_all(table, &parts_prefix(ledger)).await? {
        txn.writes.push(Write::Delete { key: part.key });
        let Ok(part) = decode::<HourCounts>(&part.value) else {
            continue;
        };
        if !is_kept(part.hour, unix_now) {
            continue;
        }
        let key = sum_key(part.hour);
        let row = table.read(&key).await?;
        let version = row.as_ref().map_or(0, |row| row.version);
        let sum = folded(row.as_ref(), part, unix_now);
        txn.conditions.push(Condition {
            key: key.clone(),
            version,
        });
        let value = encode(&sum);
        txn.writes.push(Write::Put { key, value });
    }
    table.commit(&txn).await
}

/// The sum of an hour with `part` added; a row of another hour is replaced.
fn folded(row: Option<&Row>, part: HourCounts, unix_now: Time) -> HourCounts {
    let sum = row.and_then(|row| decode::<HourCounts>(&row.value).ok());
    let mut sum = match sum {
        Some(mut sum) if sum.hour == part.hour => {
            sum.merge(&part);
            sum
        }
        _ => part,
    };
    sum.coarsen(unix_now);
    sum
}

/// Works the report out from what live processes told and the rows that were read after that;
/// without rows, from the live ones alone.
///
/// The counts of a process come from itself where it told them, or else from its ledger. A
/// process whose ledger was folded is in the sums already.
pub fn burn_report(
    live: &[LiveCounts],
    rows: Option<&[Row]>,
    cfg: &CellConfig,
    unix_now: Time,
) -> BurnReport {
    let Some(rows) = rows else {
        let live: Vec<_> = live.iter().map(|live| live.series.clone()).collect();
        return BurnReport::of(&live);
    };
    let heads: FxHashSet<u64> = rows.iter().filter_map(ledger_of).collect();
    let told: FxHashSet<u64> = live.iter().map(|live| live.ledger).collect();
    let is_folded = |live: &&LiveCounts| live.stored && !heads.contains(&live.ledger);
    let mut counts: Vec<Vec<SeriesCounts>> = live
        .iter()
        .filter(|live| !is_folded(live))
        .map(|live| live.series.clone())
        .collect();
    let mut kept = Burn::default();
    kept.set_objectives(cfg);
    let part_counts = |row: &Row| match part_ledger(row) {
        Some(ledger) => heads.contains(&ledger) && !told.contains(&ledger),
        None => row.key.starts_with(SUMS),
    };
    let mut hours: BTreeMap<u64, Vec<HourCounts>> = BTreeMap::new();
    for row in rows.iter().filter(|row| part_counts(row)) {
        if let Ok(part) = decode::<HourCounts>(&row.value)
            && is_kept(part.hour, unix_now)
        {
            hours.entry(part.hour).or_default().push(part);
        }
    }
    for part in hours.values().flatten() {
        kept.absorb(part, unix_now);
    }
    counts.push(kept.counts(unix_now));
    BurnReport::of(&counts)
}

/// Reads all rows of counts.
///
/// # Errors
///
/// Returns an error of the table.
pub async fn read_burn_rows(table: &dyn crate::port::table::Table) -> Result<Vec<Row>, TableError> {
    scan_all(table, PREFIX).await
}

fn store_txn(ledger: u64, version: u64, head: &LedgerHead, hours: &[HourCounts]) -> Txn {
    let key = format!("{HEADS}{ledger:016x}");
    let head = Write::Put {
        key: key.clone(),
        value: encode(head),
    };
    let parts = hours.iter().map(|hour| Write::Put {
        key: format!("{}{:02}", parts_prefix(ledger), hour.hour % HOUR_ROWS),
        value: encode(hour),
    });
    Txn {
        conditions: vec![Condition { key, version }],
        writes: std::iter::once(head).chain(parts).collect(),
    }
}

fn parts_prefix(ledger: u64) -> String {
    format!("{PARTS}{ledger:016x}/")
}

fn sum_key(hour: u64) -> String {
    format!("{SUMS}{:02}", hour % HOUR_ROWS)
}

fn ledger_of(row: &Row) -> Option<u64> {
    let text = row.key.strip_prefix(HEADS)?;
    u64::from_str_radix(text, 16).ok()
}

fn part_ledger(row: &Row) -> Option<u64> {
    let (text, _) = row.key.strip_prefix(PARTS)?.split_once('/')?;
    u64::from_str_radix(text, 16).ok()
}

/// Whether a window still reaches into `hour`.
fn is_kept(hour: u64, unix_now: Time) -> bool {
    const HOUR_US: u64 = 3_600_000_000;
    hour + HOURS_KEPT >= unix_now.0 / HOUR_US
}
