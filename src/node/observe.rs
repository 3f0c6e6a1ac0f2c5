//! Turns what owners do into metrics and into counts against service-level objectives.

use std::collections::BTreeSet;
use std::sync::{Mutex, MutexGuard};
use std::time::Duration;

use super::burn::LiveCounts;
use super::clock::Clock;
use super::owner::{Observer, StartedTask};
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
    pub fn counts(&self, unix_now: Time) -> LiveCounts {
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
    pub fn put_back(&self, hours: BTreeSet<u64>) {
        self.counted().burn.put_back(hours);
    }

    /// Notes that the ledger is in the table.
    pub fn stored(&self) {
        self.counted().stored = true;
    }

    /// Begins an empty ledger, after the counts of the last one became others' to keep.
    pub fn begin_ledger(&self) {
        let mut counted = self.counted();
        counted.burn.clear();
        counted.ledger = rand::random();
        counted.stored = false;
    }

    /// Counts work that started at `unix_now` after it had waited.
    pub fn count(&self, task: &StartedTask, unix_now: Time) {
        let burn = &mut self.counted().burn;
        burn.record(&task.team, &task.kind, task.waited, unix_now);
    }

    fn counted(&self) -> MutexGuard<'_, Counted> {
        self.counted.lock().unwrap_or_else(|e| e.into_inner())
    }
}

impl Observer for NodeObserver {
    fn started(&self, task: &StartedTask) {
        self.metrics.count(Counter::TasksPlaced, 1);
        self.metrics.time(Timer::TaskWaiting, task.waited);
        self.count(task, self.clock.unix_now());
    }

    fn counted(&self, tally: &TaskCounts) {
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

    fn decided(&self, took: Duration) {
        self.metrics.time(Timer::DecisionTime, took);
    }

    fn drew(&self, core_ms: u64) {
        self.metrics.count(Counter::BalanceDraws, 1);
        self.metrics.count(Counter::BalanceDrawn, core_ms);
    }

    fn took_over(&self) {
        self.metrics.count(Counter::ShardsTakenOver, 1);
    }

    fn configured(&self, cfg: &CellConfig) {
        self.counted().burn.set_objectives(cfg);
    }
}
