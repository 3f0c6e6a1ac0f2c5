//! Records the events of shard owners as metrics and as counts against service-level objectives.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use super::burn::LiveCounts;
use super::clock::Clock;
use super::owner::{OwnerObserver, StartedTask};
use crate::config::CellConfig;
use crate::metrics::{Counter, Metrics, Timer};
use crate::model::Time;
use crate::report::{HourCounts, SloTracker};
use crate::shard::TaskCounts;

/// Records the events of the shard owners of one node.
pub struct NodeObserver {
    metrics: Metrics,
    clock: Clock,
    state: Mutex<BurnState>,
}

/// The burn counts, and the ledger under which they are stored.
struct BurnState {
    burn: SloTracker,
    ledger: u64,
    stored: bool,
}

/// Hours whose counts have changed, and the ledger under which to store them.
pub struct ChangedHours {
    /// The ledger.
    pub ledger: u64,
    /// The counts of each hour.
    pub hours: Vec<HourCounts>,
}

impl NodeObserver {
    /// Creates an observer that sends to `metrics`.
    pub fn new(metrics: Metrics, clock: Clock) -> Self {
        let state = BurnState {
            burn: SloTracker::default(),
            ledger: rand::random(),
            stored: false,
        };
        Self {
            metrics,
            clock,
            state: Mutex::new(state),
        }
    }

    /// The counts against the objectives at `unix_now`, the time since the Unix epoch.
    pub fn live_counts(&self, unix_now: Time) -> LiveCounts {
        let state = self.state();
        LiveCounts {
            ledger: state.ledger,
            stored: state.stored,
            series: state.burn.counts(unix_now),
        }
    }

    /// Takes the hours that have changed since the last call.
    pub fn take_changed(&self) -> ChangedHours {
        let mut state = self.state();
        let hours = state.burn.take_changed();
        ChangedHours {
            ledger: state.ledger,
            hours: hours
                .iter()
                .map(|hour| state.burn.hour_counts(*hour))
                .collect(),
        }
    }

    /// Marks hours that could not be written as changed again.
    pub fn restore_changed(&self, hours: BTreeSet<u64>) {
        self.state().burn.restore_changed(hours);
    }

    /// Records that the ledger is in the table.
    pub fn mark_stored(&self) {
        self.state().stored = true;
    }

    /// Starts an empty ledger, after another VM has folded the current one.
    pub fn start_new_ledger(&self) {
        let mut state = self.state();
        state.burn.clear_counts();
        state.ledger = rand::random();
        state.stored = false;
    }

    /// Counts a task that started at `unix_now`, by how long it had waited.
    pub fn count_start(&self, task: &StartedTask, unix_now: Time) {
        let burn = &mut self.state().burn;
        burn.record(&task.team, &task.kind, task.waited, unix_now);
    }

    fn state(&self) -> MutexGuard<'_, BurnState> {
        self.state.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl OwnerObserver for NodeObserver {
    fn task_started(&self, task: &StartedTask) {
        self.metrics.count(Counter::TasksPlaced, 1);
        self.metrics.time(Timer::TaskWaitingTime, task.waited);
        self.count_start(task, self.clock.unix_now());
    }

    fn tasks_counted(&self, counts: &TaskCounts) {
        let counts = [
            (Counter::TasksRefused, counts.refused),
            (Counter::TasksRetried, counts.retried),
            (Counter::TasksEnded, counts.ended),
            (Counter::TasksFailed, counts.failed),
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
        self.state().burn.set_objectives(cfg);
    }
}
