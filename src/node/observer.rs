//! Turns what owners do into metrics and into counts against service-level objectives.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use super::burn::LiveCounts;
use super::clock::Clock;
use super::owner::{OwnerObserver, StartedTask};
use crate::config::CellConfig;
use crate::metrics::{Counter, Metrics, Timer};
use crate::model::Time;
use crate::report::{Burn, HourCounts};
use crate::shard::TaskCounts;

/// Takes note of what the owners of one node do.
pub struct NodeObserver {
    metrics: Metrics,
    clock: Clock,
    counted: Mutex<Counted>,
}

/// What was counted, and the ledger under which it is kept.
struct Counted {
    burn: Burn,
    ledger: u64,
    stored: bool,
}

/// Hours whose counts have changed, and the ledger under which they are to be kept.
pub struct ChangedHours {
    /// The ledger.
    pub ledger: u64,
    /// The counts of each hour.
    pub hours: Vec<HourCounts>,
}

impl NodeObserver {
    /// An observer that sends to `metrics`.
    pub fn new(metrics: Metrics, clock: Clock) -> Self {
        let counted = Counted {
            burn: Burn::default(),
            ledger: rand::random(),
            stored: false,
        };
        Self {
            metrics,
            clock,
            counted: Mutex::new(counted),
        }
    }

    /// The work that was counted against its objectives; `unix_now` counts from 1970.
    pub fn live_counts(&self, unix_now: Time) -> LiveCounts {
        let counted = self.counted();
        LiveCounts {
            ledger: counted.ledger,
            stored: counted.stored,
            series: counted.burn.counts(unix_now),
        }
    }

    /// Takes the hours that have changed since the last call.
    pub fn take_changed(&self) -> ChangedHours {
        let mut counted = self.counted();
        let hours = counted.burn.take_changed();
        ChangedHours {
            ledger: counted.ledger,
            hours: hours.iter().map(|hour| counted.burn.hour(*hour)).collect(),
        }
    }

    /// Puts back hours that could not be kept.
    pub fn restore_changed(&self, hours: BTreeSet<u64>) {
        self.counted().burn.put_back(hours);
    }

    /// Notes that the ledger is in the table.
    pub fn mark_stored(&self) {
        self.counted().stored = true;
    }

    /// Begins an empty ledger, after the counts of the last one became others' to keep.
    pub fn start_new_ledger(&self) {
        let mut counted = self.counted();
        counted.burn.clear();
        counted.ledger = rand::random();
        counted.stored = false;
    }

    /// Counts work that started at `unix_now` after it had waited.
    pub fn count_start(&self, task: &StartedTask, unix_now: Time) {
        let burn = &mut self.counted().burn;
        burn.record(&task.team, &task.kind, task.waited, unix_now);
    }

    fn counted(&self) -> MutexGuard<'_, Counted> {
        self.counted.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl OwnerObserver for NodeObserver {
    fn task_started(&self, task: &StartedTask) {
        self.metrics.count(Counter::TasksPlaced, 1);
        self.metrics.time(Timer::TaskWaiting, task.waited);
        self.count_start(task, self.clock.unix_now());
    }

    fn tasks_counted(&self, tally: &TaskCounts) {
        let counts = [
            (Counter::TasksRefused, tally.refused),
            (Counter::TasksRetried, tally.retried),
            (Counter::TasksEnded, tally.ended),
            (Counter::TasksFailed, tally.failed),
        ];
        for (counter, n) in counts.into_iter().filter(|(_, n)| *n > 0) {
            self.metrics.count(counter, n);
        }
    }

    fn decision_timed(&self, took: Duration) {
        self.metrics.time(Timer::DecisionTime, took);
    }

    fn balance_drawn(&self, core_ms: u64) {
        self.metrics.count(Counter::BalanceDraws, 1);
        self.metrics.count(Counter::BalanceDrawn, core_ms);
    }

    fn ownership_taken_over(&self) {
        self.metrics.count(Counter::ShardsTakenOver, 1);
    }

    fn config_applied(&self, cfg: &CellConfig) {
        self.counted().burn.set_objectives(cfg);
    }
}
