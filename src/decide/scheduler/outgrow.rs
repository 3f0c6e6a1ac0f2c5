//! Tasks that use more than is reserved for them: the reservation grows where there is room; else
//! the task is throttled, then checkpointed, then stopped.

use super::super::{Action, JobKey, WorkerKey};
use super::Scheduler;
use super::state::{RunId, Stage, TaskState, Worker};
use crate::model::{Lifetime, Resources, Time, Urgency};

impl Scheduler {
    pub(super) fn take_usage(&mut self, key: JobKey, index: u32, usage: Resources, now: Time) {
        let state = self
            .jobs
            .get(key)
            .and_then(|job| job.tasks.get(index as usize))
            .map(|task| task.state);
        let Some(TaskState::Placed(id)) = state else {
            return;
        };
        let run = &mut self.runs[id];
        run.peak = Resources::max(&run.peak, &usage);
        if usage.fits_in(&run.reserved) {
            if matches!(run.stage, Stage::Throttled(_)) {
                run.stage = Stage::Calm;
            }
            return;
        }
        self.clear_hold_for(id, &usage);
        self.grow(id, &usage, now);
        if !usage.fits_in(&self.runs[id].reserved) {
            self.note_short(id);
            self.restrain(id, &usage, now);
        }
    }

    /// Gives back what an all-at-once job has collected on a worker where a task needs it.
    fn clear_hold_for(&mut self, id: RunId, usage: &Resources) {
        let run = &self.runs[id];
        let extra = usage.minus(&run.reserved);
        let worker = run.worker;
        let fits = |worker: &Worker| extra.fits_in(&worker.free());
        if self.workers.get(worker).is_some_and(|worker| !fits(worker)) {
            self.drop_hold_on(worker);
        }
    }

    fn note_short(&mut self, id: RunId) {
        let worker = self.workers.get_mut(self.runs[id].worker);
        if let Some(worker) = worker.filter(|worker| !worker.short.contains(&id)) {
            worker.short.push(id);
        }
    }

    /// Gives what became free on a worker first to the tasks there that use more than is reserved
    /// for them, and lets throttled ones go on where it is enough.
    pub(super) fn regrow(&mut self, key: WorkerKey, now: Time) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        for id in std::mem::take(&mut worker.short) {
            let peak = self.runs[id].peak;
            self.grow(id, &peak, now);
            if !peak.fits_in(&self.runs[id].reserved) {
                self.note_short(id);
                continue;
            }
            if matches!(self.runs[id].stage, Stage::Throttled(_)) {
                self.throttle(id, now);
                self.runs[id].stage = Stage::Calm;
            }
        }
    }

    /// Raises a reservation towards `usage`, as far as the worker has room.
    fn grow(&mut self, id: RunId, usage: &Resources, now: Time) {
        let run = self.runs[id];
        let queue_id = self.jobs[run.job].queue;
        let team = self.queues[queue_id].team;
        let Some(worker) = self.workers.get_mut(run.worker) else {
            return;
        };
        let extra = usage.minus(&run.reserved);
        let extra = extra.minus(&extra.minus(&worker.free()));
        if extra == Resources::default() {
            return;
        }
        worker.reserved = worker.reserved.plus(&extra);
        if run.yieldable {
            worker.yieldable = worker.yieldable.plus(&extra);
        }
        if self.jobs[run.job].spec.lifetime == Lifetime::Service {
            worker.pinned = worker.pinned.plus(&extra);
        }
        if run.stage.is_yielding() {
            self.yielding_cpu_milli += u64::from(extra.cpu_milli);
        }
        let run = &mut self.runs[id];
        run.accrued_core_ms = run.cost_core_ms(now);
        run.charged_from = now;
        run.reserved = run.reserved.plus(&extra);
        self.accrue(queue_id, now);
        let queue = &mut self.queues[queue_id];
        queue.held = queue.held.plus(&extra);
        if queue.urgency == Urgency::Urgent {
            self.urgent_cpu_milli += u64::from(extra.cpu_milli);
        }
        let kind = &mut self.kinds[queue.kind];
        kind.held = kind.held.plus(&extra);
        self.teams[team].held = self.teams[team].held.plus(&extra);
        self.reindex(self.runs[id].worker);
        self.rekey(queue_id, now);
    }

    /// Takes the next measure against a task that has no room to grow.
    fn restrain(&mut self, id: RunId, usage: &Resources, now: Time) {
        let run = self.runs[id];
        let can_yield = self.jobs[run.job].can_yield();
        let only_cpu = usage.memory_mib <= run.reserved.memory_mib
            && usage.accelerators <= run.reserved.accelerators;
        let waited = |since: Time| now.since(since) >= self.limits.outgrow_grace;
        match run.stage {
            Stage::Calm if only_cpu => self.throttle(id, now),
            Stage::Throttled(since) if only_cpu && !waited(since) => {}
            Stage::Calm | Stage::Throttled(_) if can_yield => self.checkpoint(id, now),
            Stage::Yielding(since) if !waited(since) => {}
            Stage::Stopping => {}
            _ => self.stop(id),
        }
    }

    /// Appends the steps that still concern a placed task.
    pub(super) fn take_pending(&mut self, steps: &mut Vec<Action>) {
        for step in std::mem::take(&mut self.pending) {
            let (Action::Place { job, index, .. }
            | Action::Checkpoint { job, index, .. }
            | Action::Throttle { job, index, .. }
            | Action::Stop { job, index, .. }) = step;
            let task = self.jobs.get(job).map(|job| job.tasks[index as usize]);
            if task.is_some_and(|task| matches!(task.state, TaskState::Placed(_))) {
                steps.push(step);
            }
        }
    }

    fn throttle(&mut self, id: RunId, now: Time) {
        let run = &mut self.runs[id];
        run.stage = Stage::Throttled(now);
        self.pending.push(Action::Throttle {
            job: run.job,
            index: run.index,
            worker: run.worker,
            allowed: run.reserved,
        });
    }

    pub(super) fn checkpoint(&mut self, id: RunId, now: Time) {
        self.count_yielding(id);
        let run = &mut self.runs[id];
        run.stage = Stage::Yielding(now);
        self.pending.push(Action::Checkpoint {
            job: run.job,
            index: run.index,
            worker: run.worker,
            unpaid: run.ends_unpaid,
        });
    }

    pub(super) fn stop(&mut self, id: RunId) {
        self.count_yielding(id);
        let run = &mut self.runs[id];
        run.stage = Stage::Stopping;
        self.pending.push(Action::Stop {
            job: run.job,
            index: run.index,
            worker: run.worker,
            unpaid: run.ends_unpaid,
        });
    }

    fn count_yielding(&mut self, id: RunId) {
        let run = &mut self.runs[id];
        if run.stage.is_yielding() {
            return;
        }
        self.yielding_cpu_milli += u64::from(run.reserved.cpu_milli);
        if std::mem::take(&mut run.yieldable) {
            let worker = run.worker;
            let reserved = run.reserved;
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.yieldable = worker.yieldable.minus(&reserved);
            }
        }
    }
}
