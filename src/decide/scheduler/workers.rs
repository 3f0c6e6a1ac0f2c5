//! Workers: capacity, states and the evidence against them.

use super::super::health::enough_failures;
use super::super::{JobKey, SetAsideWorker, WorkerKey, WorkerState};
use super::Scheduler;
use super::state::{KindId, Worker};
use super::timers::Timer;
use crate::model::{Resources, Time, WorkerInfo};

/// Ends of attempts that are kept in count.
const MAX_ENDS: u32 = 512;
/// Ends of attempts of a kind before its failures may be blamed on the kind itself.
const MIN_ENDS: u32 = 32;
/// Workers on which one job has to fail before it is known as bad.
const BAD_JOB_WORKERS: usize = 3;

impl Scheduler {
    pub(super) fn insert_worker(&mut self, info: &WorkerInfo) -> WorkerKey {
        let racks = self.racks.len() as u32;
        let rack = *self.racks.entry(info.rack.clone()).or_insert(racks);
        let zones = self.zones.len() as u32;
        let zone = *self.zones.entry(info.zone.clone()).or_insert(zones);
        *self.classes.entry(info.capacity).or_default() += 1;
        self.workers.insert(Worker {
            capacity: info.capacity,
            reserved: Resources::default(),
            state: WorkerState::Unreachable,
            rack,
            zone,
            runs: Vec::new(),
            short: Vec::new(),
            yieldable: Resources::default(),
            pinned: Resources::default(),
            claimed: None,
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
            self.drop_hold_on(key);
            self.drop_claim_on(key);
        }
        if state == WorkerState::Available {
            self.capacity = self.capacity.plus(&capacity);
        }
        self.count_class(&capacity, before, state);
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
            self.count_class(&before, state, WorkerState::Draining);
            self.count_class(&capacity, WorkerState::Draining, state);
        }
        self.drop_hold_on(key);
        self.drop_claim_on(key);
        self.reindex(key);
    }

    pub(super) fn workers_aside(&self) -> Vec<SetAsideWorker> {
        let aside = self.workers.iter().filter(|(_, w)| w.health.is_aside());
        let listed = aside.map(|(key, worker)| SetAsideWorker {
            worker: key,
            reason: "what it starts fails, while the same work succeeds elsewhere".to_owned(),
            retry_at: Some(worker.health.probe_due()),
        });
        listed.collect()
    }

    fn count_class(&mut self, capacity: &Resources, before: WorkerState, state: WorkerState) {
        let leaving = WorkerState::Draining;
        let count = self.classes.entry(*capacity).or_default();
        if state == leaving {
            *count -= 1;
        } else if before == leaving {
            *count += 1;
        }
        if *count == 0 {
            self.classes.remove(capacity);
        }
    }

    /// Brings the index up to date with a worker.
    pub(super) fn reindex(&mut self, key: WorkerKey) {
        let worker = &self.workers[key];
        let usable = worker.state == WorkerState::Available && !worker.health.is_aside();
        if usable && worker.claimed.is_none() {
            self.index.set(key, worker.free());
        } else {
            self.index.remove(key);
        }
    }

    pub(super) fn note_success(&mut self, key: WorkerKey, kind: KindId) {
        self.count_end(kind, false);
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let was_aside = worker.health.is_aside();
        worker.health.succeeded();
        if was_aside {
            self.aside -= 1;
            self.probes.retain(|&probe| probe != key);
            self.reindex(key);
        }
    }

    pub(super) fn note_failure(&mut self, key: WorkerKey, job: JobKey, kind: KindId, now: Time) {
        self.count_end(kind, true);
        if !self.workers.contains_key(key) {
            return;
        }
        if self.is_aside(key) {
            self.set_aside(key, now);
            return;
        }
        if !self.is_evidence(key, job) || self.is_bad_kind(kind) {
            return;
        }
        let enough = enough_failures(self.ends.failed, self.ends.succeeded);
        let failures = self.workers[key].health.failed(job);
        if failures >= enough && self.may_set_aside() {
            self.aside += 1;
            self.set_aside(key, now);
            self.drop_hold_on(key);
            self.drop_claim_on(key);
            self.reindex(key);
        }
    }

    fn set_aside(&mut self, key: WorkerKey, now: Time) {
        let health = &mut self.workers[key].health;
        health.set_aside(now, self.limits.probe_after);
        let due = health.probe_due();
        self.add_timer(due, Timer::Probe(key));
    }

    fn may_set_aside(&self) -> bool {
        let permille = u64::from(self.limits.aside_permille);
        u64::from(self.aside + 1) * 1_000 <= self.workers.len() as u64 * permille
    }

    fn count_end(&mut self, kind: KindId, failed: bool) {
        self.kinds[kind].ends.add(failed, MAX_ENDS);
        self.ends.add(failed, MAX_ENDS);
    }

    /// Whether most tasks of a kind fail, wherever they run.
    fn is_bad_kind(&self, kind: KindId) -> bool {
        let ends = &self.kinds[kind].ends;
        ends.succeeded + ends.failed >= MIN_ENDS && ends.failed > 2 * ends.succeeded
    }

    /// Whether a failure speaks against the worker: only the first one of a job does, since a job
    /// that has failed before may be bad itself. A job that failed on several workers is bad, and
    /// the first worker is cleared of it.
    fn is_evidence(&mut self, key: WorkerKey, job: JobKey) -> bool {
        let failed_on = &mut self.jobs[job].failed_on;
        let is_first = failed_on.is_empty();
        if !failed_on.contains(&key) && failed_on.len() < BAD_JOB_WORKERS {
            failed_on.push(key);
        }
        if failed_on.len() == BAD_JOB_WORKERS
            && let Some(first) = self.workers.get_mut(failed_on[0])
        {
            first.health.absolve(job);
        }
        is_first
    }

    pub(super) fn probe_is_due(&mut self, key: WorkerKey, now: Time) {
        let due = self
            .workers
            .get(key)
            .is_some_and(|worker| worker.health.can_probe(now));
        if due && !self.probes.contains(&key) {
            self.probes.push(key);
        }
    }

    /// Sets a probe without a result up again.
    pub(super) fn probe_is_void(&mut self, key: WorkerKey, now: Time) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.health.probe_void();
            self.probe_is_due(key, now);
        }
    }

    /// A worker that is set aside, has a probe due and fits `need`.
    pub(super) fn probe_for(&self, need: &Resources) -> Option<WorkerKey> {
        let fits = |&&key: &&WorkerKey| {
            let worker = &self.workers[key];
            worker.state == WorkerState::Available && need.fits_in(&worker.free())
        };
        self.probes.iter().find(fits).copied()
    }
}
