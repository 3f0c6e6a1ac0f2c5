//! The workers of a service as the owner of its workflows sees them.

use std::collections::HashMap;
use std::time::Duration;

use slotmap::{SlotMap, new_key_type};

use super::spec::TaskId;
use crate::model::{Resources, Time, WorkerName};
use crate::port::executor::WorkerListing;

new_key_type! {
    /// A worker in the fleet.
    pub struct WorkerKey;
}

/// How much slower a worker's clock may run, in percent; the platform bounds it at 2.
const CLOCK_LAG_PERCENT: u64 = 2;

/// Added to the end of a lease for the granularity of both clocks, in milliseconds.
const LEASE_MARGIN_MS: u64 = 100;

/// After the first failed call a worker gets no new tasks for so long; each further one doubles it.
const SUSPEND_MIN: Duration = Duration::from_millis(500);

/// The longest time without new tasks after a failed call, short enough that a worker that
/// recovers serves again within the platform's bound for recovery of 12 s.
const SUSPEND_MAX: Duration = Duration::from_secs(4);

/// Failures of tasks in a row after which a worker is taken to fail everything it starts.
const FAILURES_SUSPECT: u32 = 3;

/// An answer's clock is off by no more than this: the longest time that an answer is waited for, and the
/// granularity of both clocks, in milliseconds.
const CLOCK_TOLERANCE_MS: u64 = 1_000;

/// A reading of a worker's clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct ClockReading {
    worker_ms: u64,
    at: Time,
}

/// How a run on a worker stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RunState {
    /// It is not recorded yet, and its start is not sent.
    Assigned,
    /// The start is on its way.
    Starting,
    /// The worker has said that it runs; the time is when it said so.
    Running(Time),
    /// The start was not answered; the time is when it was sent.
    Unclear(Time),
    /// It is to be stopped.
    Stopping {
        /// When the order was last sent.
        sent: Time,
        /// When the worker first answered it; then the run does not begin any more.
        answered: Option<Time>,
    },
}

/// A run that takes room on a worker.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct HeldRun {
    pub(super) run: u32,
    pub(super) reserved: Resources,
    pub(super) state: RunState,
    /// The priority of its queue; 0 is the most urgent.
    pub(super) priority: u8,
    pub(super) estimate_ms: u32,
    pub(super) started: Time,
}

/// A worker.
#[derive(Clone, Debug)]
pub(super) struct Worker {
    pub(super) listing: WorkerListing,
    /// Whether the platform still lists it.
    pub(super) listed: bool,
    /// Whether the present process has answered a look, and so knows the owner's fence.
    pub(super) introduced: bool,
    pub(super) runs: HashMap<TaskId, HeldRun>,
    pub(super) reserved: Resources,
    /// Runs there of which nothing is known; they have to end before it is used.
    pub(super) unknown_runs: usize,
    /// The highest number of an end that was taken note of.
    pub(super) seen_end: u64,
    /// The highest number of an end up to which all are recorded in the store.
    pub(super) recorded_end: u64,
    /// When an order was answered as if another process had answered it, whose ends are numbered anew.
    pub(super) doubted_at: Option<Time>,
    pub(super) looking: bool,
    pub(super) next_look: Option<Time>,
    /// When the last look that was answered was sent.
    pub(super) last_look: Time,
    /// When each lease that may have been granted is over.
    pub(super) lease_over: Time,
    clock: Option<ClockReading>,
    suspended_until: Time,
    failed_calls: u32,
    /// Tasks that failed there in a row.
    failed_tasks: u32,
    /// How fast it works beside the estimates, as a share of them; 1.0 until known.
    speed: f64,
}

impl Worker {
    pub(super) fn new(listing: WorkerListing, listed: bool, now: Time) -> Self {
        Self {
            listing,
            listed,
            introduced: false,
            runs: HashMap::new(),
            reserved: Resources::default(),
            unknown_runs: 0,
            seen_end: 0,
            recorded_end: 0,
            doubted_at: None,
            looking: false,
            next_look: Some(now),
            last_look: now,
            lease_over: now,
            clock: None,
            suspended_until: now,
            failed_calls: 0,
            failed_tasks: 0,
            speed: 1.0,
        }
    }

    /// Starts over for a new process on the worker; what ran there is gone and returned.
    pub(super) fn reborn(&mut self, boot: u64, now: Time) -> Vec<TaskId> {
        let lost = self.runs.keys().copied().collect();
        let mut listing = self.listing.clone();
        listing.boot = boot;
        let speed = self.speed;
        let looking = self.looking;
        *self = Self::new(listing, self.listed, now);
        self.speed = speed;
        self.looking = looking;
        lost
    }

    /// Whether new tasks may start there.
    pub(super) fn is_usable(&self, now: Time) -> bool {
        self.listed
            && self.introduced
            && !self.listing.draining
            && self.unknown_runs == 0
            && self.clock.is_some()
            && !self.is_failing()
            && now >= self.suspended_until
    }

    /// What is free there.
    pub(super) fn room(&self) -> Resources {
        self.listing.capacity.minus(&self.reserved)
    }

    /// How many tasks of this size fit, up to `most`, if a part of the processors is kept free; a
    /// task that is too large for the rest may use the whole worker.
    pub(super) fn fits(&self, need: &Resources, kept_percent: u32, most: u32) -> u32 {
        let whole = self.listing.capacity.cpu_milli;
        let kept = whole / 100 * kept_percent;
        let kept = if need.cpu_milli > whole - kept {
            0
        } else {
            kept
        };
        let room = self.room().minus(&Resources {
            cpu_milli: kept,
            ..Resources::default()
        });
        times(need, &room).min(most)
    }

    /// How many tasks of this size it would hold if it were empty, up to `most`.
    pub(super) fn holds(&self, need: &Resources, most: u32) -> u32 {
        times(need, &self.listing.capacity).min(most)
    }

    pub(super) fn hold(&mut self, task: TaskId, held: HeldRun) {
        if let Some(before) = self.runs.insert(task, held) {
            self.reserved = self.reserved.minus(&before.reserved);
        }
        self.reserved = self.reserved.plus(&held.reserved);
    }

    pub(super) fn release(&mut self, task: TaskId) -> Option<HeldRun> {
        let held = self.runs.remove(&task)?;
        self.reserved = self.reserved.minus(&held.reserved);
        Some(held)
    }

    /// Notes what the clock showed in the answer to an order, which does not tell which process gave
    /// it: a clock that jumped means that the worker may have started again.
    pub(super) fn read_order_clock(&mut self, worker_ms: u64, now: Time) {
        let Some(reading) = self.clock else {
            return;
        };
        let passed = as_millis(now.since(reading.at));
        let earliest = self.clock_at(now).unwrap_or(0);
        let is_behind = worker_ms + CLOCK_TOLERANCE_MS < earliest;
        let is_ahead = worker_ms > reading.worker_ms + passed + CLOCK_TOLERANCE_MS;
        if is_behind || is_ahead {
            tracing::info!(worker = %self.listing.name, worker_ms, expected_ms = earliest,
                "a worker's clock jumped; it may have started again");
            self.doubted_at = Some(now);
        } else {
            self.read_clock(worker_ms, now);
        }
    }

    /// Up to which end the worker may forget, if that is certain to be one of the present process: an
    /// order that is under way may have reached another.
    pub(super) fn may_forget(&self) -> u64 {
        let open = |held: &HeldRun| matches!(held.state, RunState::Starting | RunState::Unclear(_));
        if self.doubted_at.is_some() || self.runs.values().any(open) {
            return 0;
        }
        self.recorded_end
    }

    /// Notes what the worker's clock showed at `now`.
    pub(super) fn read_clock(&mut self, worker_ms: u64, now: Time) {
        let behind = self.clock_at(now).is_some_and(|known| known > worker_ms);
        // An answer that was held up on the way shows an older time; the newer reading is kept.
        if !behind {
            self.clock = Some(ClockReading { worker_ms, at: now });
        }
    }

    /// What its clock shows at the earliest at `now`, in milliseconds.
    fn clock_at(&self, now: Time) -> Option<u64> {
        let reading = self.clock?;
        let passed = as_millis(now.since(reading.at));
        Some(reading.worker_ms + passed - passed * CLOCK_LAG_PERCENT / 100)
    }

    /// The end of a lease of `lease_ms` from now, on the worker's clock; notes when it is over.
    pub(super) fn lease_until(&mut self, lease_ms: u64, now: Time) -> Option<u64> {
        let until = self.clock_at(now)? + lease_ms;
        let reading = self.clock?;
        let span_ms = until.saturating_sub(reading.worker_ms);
        let longest = span_ms + span_ms * CLOCK_LAG_PERCENT / (100 - CLOCK_LAG_PERCENT);
        let over = reading.at + Duration::from_millis(longest + LEASE_MARGIN_MS);
        self.lease_over = self.lease_over.max(over);
        Some(until)
    }

    /// Notes a call without a result: no new tasks for a while.
    pub(super) fn suspend(&mut self, now: Time) {
        let factor = 1 << self.failed_calls.min(8);
        let pause = (SUSPEND_MIN * factor).min(SUSPEND_MAX);
        self.failed_calls += 1;
        self.suspended_until = self.suspended_until.max(now + pause);
    }

    /// Whether calls to it have failed since the last that was answered.
    pub(super) fn is_failing(&self) -> bool {
        self.failed_calls > 0
    }

    /// Notes an answered call.
    pub(super) fn answered(&mut self) {
        self.failed_calls = 0;
    }

    /// Notes that a task failed there.
    pub(super) fn task_failed(&mut self, now: Time) {
        self.failed_tasks += 1;
        if self.failed_tasks >= FAILURES_SUSPECT {
            self.suspended_until = self.suspended_until.max(now + SUSPEND_MAX);
        }
    }

    /// Notes that a task ended there in `took` beside its estimate.
    pub(super) fn task_done(&mut self, took: Duration, estimate_ms: u32) {
        /// The weight of one run in the average; estimates are off by up to a factor of two.
        const WEIGHT: f64 = 0.1;
        self.failed_tasks = 0;
        let took = took.as_secs_f64() * 1_000.0;
        if took > 0.0 && estimate_ms > 0 {
            let speed = (f64::from(estimate_ms) / took).clamp(0.1, 10.0);
            self.speed += (speed - self.speed) * WEIGHT;
        }
    }

    /// How fast it works; higher is faster.
    pub(super) fn speed(&self) -> f64 {
        self.speed
    }
}

/// The workers, by key and by name.
#[derive(Clone, Debug, Default)]
pub(super) struct Fleet {
    workers: SlotMap<WorkerKey, Worker>,
    names: HashMap<WorkerName, WorkerKey>,
}

impl Fleet {
    pub(super) fn insert(&mut self, worker: Worker) -> WorkerKey {
        let name = worker.listing.name.clone();
        let key = self.workers.insert(worker);
        self.names.insert(name, key);
        key
    }

    pub(super) fn remove(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.names.remove(&worker.listing.name);
        }
    }

    pub(super) fn key(&self, name: &WorkerName) -> Option<WorkerKey> {
        self.names.get(name).copied()
    }

    pub(super) fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    pub(super) fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    pub(super) fn keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }
}

/// A duration in whole milliseconds.
pub(super) fn as_millis(duration: Duration) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// How many times `need` fits in `room`.
fn times(need: &Resources, room: &Resources) -> u32 {
    let share = |room: u32, need: u32| room.checked_div(need).unwrap_or(u32::MAX);
    let cpu = share(room.cpu_milli, need.cpu_milli);
    let memory = share(room.memory_mib, need.memory_mib);
    let accelerators = share(room.accelerators, need.accelerators);
    cpu.min(memory).min(accelerators)
}
