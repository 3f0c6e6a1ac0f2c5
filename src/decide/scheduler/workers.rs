//! Workers: capacity, state and failure tracking.

use super::super::health::failure_threshold;
use super::super::{JobKey, SetAsideWorker, WorkerKey, WorkerState};
use super::Scheduler;
use super::state::{KindId, Worker};
use super::timers::Timer;
use crate::model::{Resources, Time, WorkerInfo};

/// Number of counted attempts above which the counts are halved.
const MAX_COUNTED_OUTCOMES: u32 = 512;
/// Minimum number of counted attempts of a kind before its failures may be attributed to the kind
/// itself.
const MIN_KIND_OUTCOMES: u32 = 32;
/// Number of workers on which a job has to fail before it counts as bad.
const BAD_JOB_WORKERS: usize = 3;

impl Scheduler {
    pub(super) fn insert_worker(&mut self, info: &WorkerInfo) -> WorkerKey {
        let next_rack = self.rack_ids.len() as u32;
        let rack = *self.rack_ids.entry(info.rack.clone()).or_insert(next_rack);
        let next_zone = self.zone_ids.len() as u32;
        let zone = *self.zone_ids.entry(info.zone.clone()).or_insert(next_zone);
        *self.workers_by_capacity.entry(info.capacity).or_default() += 1;
        self.workers.insert(Worker {
            capacity: info.capacity,
            reserved: Resources::default(),
            state: WorkerState::Unreachable,
            rack,
            zone,
            attempts: Vec::new(),
            overusing: Vec::new(),
            preemptible: Resources::default(),
            service_reserved: Resources::default(),
            claimed_for: None,
            health: Default::default(),
        })
    }

    pub(super) fn change_worker_state(&mut self, key: WorkerKey, state: WorkerState, _now: Time) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut worker.state, state);
        if before == state {
            return;
        }
        let capacity = worker.capacity;
        if before == WorkerState::Available {
            self.capacity = self.capacity.minus(&capacity);
            self.release_hold_on(key);
            self.release_claim_on(key);
        }
        if state == WorkerState::Available {
            self.capacity = self.capacity.plus(&capacity);
        }
        self.count_capacity(&capacity, before, state);
        self.reindex(key);
    }

    pub(super) fn change_worker_capacity(&mut self, key: WorkerKey, capacity: Resources) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut worker.capacity, capacity);
        if before == capacity {
            return;
        }
        let state = worker.state;
        if state == WorkerState::Available {
            self.capacity = self.capacity.minus(&before).plus(&capacity);
        }
        if state != WorkerState::Draining {
            self.count_capacity(&before, state, WorkerState::Draining);
            self.count_capacity(&capacity, WorkerState::Draining, state);
        }
        self.release_hold_on(key);
        self.release_claim_on(key);
        self.reindex(key);
    }

    pub(super) fn list_set_aside(&self) -> Vec<SetAsideWorker> {
        let set_aside = self.workers.iter().filter(|(_, w)| w.health.is_set_aside());
        let rows = set_aside.map(|(key, worker)| SetAsideWorker {
            worker: key,
            reason: "what it starts fails, while the same work succeeds elsewhere".to_owned(),
            retry_at: Some(worker.health.next_probe_at()),
        });
        rows.collect()
    }

    fn count_capacity(&mut self, capacity: &Resources, before: WorkerState, state: WorkerState) {
        let draining = WorkerState::Draining;
        let count = self.workers_by_capacity.entry(*capacity).or_default();
        if state == draining {
            *count -= 1;
        } else if before == draining {
            *count += 1;
        }
        if *count == 0 {
            self.workers_by_capacity.remove(capacity);
        }
    }

    /// Updates the entry of a worker in the index.
    pub(super) fn reindex(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let is_usable = worker.state == WorkerState::Available && !worker.health.is_set_aside();
        if is_usable && worker.claimed_for.is_none() {
            self.free_capacity.set(key, worker.free());
        } else {
            self.free_capacity.remove(key);
        }
    }

    pub(super) fn record_success(&mut self, key: WorkerKey, kind: KindId) {
        self.count_outcome(kind, false);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let was_set_aside = worker.health.is_set_aside();
        worker.health.record_success();
        if was_set_aside {
            self.set_aside_count -= 1;
            self.due_probes.retain(|&probe| probe != key);
            self.reindex(key);
        }
    }

    pub(super) fn record_failure(&mut self, key: WorkerKey, job: JobKey, kind: KindId, now: Time) {
        self.count_outcome(kind, true);
        if !self.workers.contains_key(key) {
            return;
        }
        if self.is_set_aside(key) {
            self.set_aside(key, now);
            return;
        }
        if !self.counts_against_worker(key, job) || self.is_failing_kind(kind) {
            return;
        }
        let threshold = failure_threshold(self.outcomes.failed, self.outcomes.succeeded);
        let failures = self.workers[key].health.record_failure(job);
        if failures >= threshold && self.may_set_aside() {
            self.set_aside_count += 1;
            self.set_aside(key, now);
            self.release_hold_on(key);
            self.release_claim_on(key);
            self.reindex(key);
        }
    }

    fn set_aside(&mut self, key: WorkerKey, now: Time) {
        let health = &mut self.workers[key].health;
        health.set_aside(now, self.config.probe_after);
        let due = health.next_probe_at();
        self.add_timer(due, Timer::Probe(key));
    }

    fn may_set_aside(&self) -> bool {
        let permille = u64::from(self.config.max_set_aside_permille);
        u64::from(self.set_aside_count + 1) * 1_000 <= self.workers.len() as u64 * permille
    }

    fn count_outcome(&mut self, kind: KindId, failed: bool) {
        self.kinds[kind].outcomes.add(failed, MAX_COUNTED_OUTCOMES);
        self.outcomes.add(failed, MAX_COUNTED_OUTCOMES);
    }

    /// Returns whether most attempts of a kind fail, on any worker.
    fn is_failing_kind(&self, kind: KindId) -> bool {
        let ends = &self.kinds[kind].outcomes;
        ends.succeeded + ends.failed >= MIN_KIND_OUTCOMES && ends.failed > 2 * ends.succeeded
    }

    /// Records a failure of a job on a worker and returns whether it counts against the worker.
    /// Only the first failure of a job does, since a job that has failed before may be bad itself.
    /// A job that failed on several workers is bad, and its failure on the first worker is
    /// discarded.
    fn counts_against_worker(&mut self, key: WorkerKey, job: JobKey) -> bool {
        let failed_workers = &mut self.jobs[job].failed_workers;
        let is_first = failed_workers.is_empty();
        if !failed_workers.contains(&key) && failed_workers.len() < BAD_JOB_WORKERS {
            failed_workers.push(key);
        }
        if failed_workers.len() == BAD_JOB_WORKERS
            && let Some(first) = self.workers.get_mut(failed_workers[0])
        {
            first.health.discard_failure(job);
        }
        is_first
    }

    pub(super) fn probe_due(&mut self, key: WorkerKey, now: Time) {
        let is_due = self
            .workers
            .get(key)
            .is_some_and(|worker| worker.health.is_probe_due(now));
        if is_due && !self.due_probes.contains(&key) {
            self.due_probes.push(key);
        }
    }

    /// Makes the probe of a worker due again after it ended without a result.
    pub(super) fn probe_aborted(&mut self, key: WorkerKey, now: Time) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.health.probe_aborted();
            self.probe_due(key, now);
        }
    }

    /// Returns a worker whose probe is due and that can hold `need`.
    pub(super) fn worker_to_probe(&self, need: &Resources) -> Option<WorkerKey> {
        let fits = |&&key: &&WorkerKey| {
            let worker = &self.workers[key];
            worker.state == WorkerState::Available && need.fits_in(&worker.free())
        };
        self.due_probes.iter().find(fits).copied()
    }
}
