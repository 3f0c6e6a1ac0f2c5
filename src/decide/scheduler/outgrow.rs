//! Tasks that use more than their reservation: the reservation grows if the worker has free
//! resources. Otherwise, the task is throttled, then checkpointed, then stopped.

use super::super::{Action, JobKey, WorkerKey};
use super::Scheduler;
use super::state::{AttemptId, Stage, TaskStatus, Worker};
use crate::model::{Lifetime, Resources, Time, Urgency};

impl Scheduler {
    pub(super) fn record_usage(&mut self, key: JobKey, index: u32, usage: Resources, now: Time) {
        let status = self
            .jobs
            .get(key)
            .and_then(|job| job.tasks.get(index as usize))
            .map(|task| task.status);
        let Some(TaskStatus::Placed(id)) = status else {
            return;
        };
        let attempt = &mut self.attempts[id];
        attempt.peak_usage = Resources::max(&attempt.peak_usage, &usage);
        if usage.fits_in(&attempt.reserved) {
            if matches!(attempt.stage, Stage::Throttled(_)) {
                attempt.stage = Stage::Running;
            }
            return;
        }
        self.release_hold_if_needed(id, &usage);
        self.grow_reservation(id, &usage, now);
        if !usage.fits_in(&self.attempts[id].reserved) {
            self.add_overusing(id);
            self.escalate(id, &usage, now);
        }
    }

    /// Releases what a gang holds on a worker if a task there needs it.
    fn release_hold_if_needed(&mut self, id: AttemptId, usage: &Resources) {
        let attempt = &self.attempts[id];
        let extra = usage.minus(&attempt.reserved);
        let worker = attempt.worker;
        let fits = |worker: &Worker| extra.fits_in(&worker.free());
        if self.workers.get(worker).is_some_and(|worker| !fits(worker)) {
            self.release_hold_on(worker);
        }
    }

    fn add_overusing(&mut self, id: AttemptId) {
        let worker = self.workers.get_mut(self.attempts[id].worker);
        if let Some(worker) = worker.filter(|worker| !worker.overusing.contains(&id)) {
            worker.overusing.push(id);
        }
    }

    /// Grows the reservations of tasks on a worker that use more than is reserved for them, before
    /// the free resources are offered to others. Lifts the throttling of a task whose reservation
    /// now suffices.
    pub(super) fn grow_overusing(&mut self, key: WorkerKey, now: Time) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        for id in std::mem::take(&mut worker.overusing) {
            let peak_usage = self.attempts[id].peak_usage;
            self.grow_reservation(id, &peak_usage, now);
            if !peak_usage.fits_in(&self.attempts[id].reserved) {
                self.add_overusing(id);
                continue;
            }
            if matches!(self.attempts[id].stage, Stage::Throttled(_)) {
                self.throttle(id, now);
                self.attempts[id].stage = Stage::Running;
            }
        }
    }

    /// Raises a reservation towards `usage`, as far as the worker has free resources.
    fn grow_reservation(&mut self, id: AttemptId, usage: &Resources, now: Time) {
        let attempt = self.attempts[id];
        let queue_id = self.jobs[attempt.job].queue;
        let team = self.queues[queue_id].team;
        let Some(worker) = self.workers.get_mut(attempt.worker) else {
            return;
        };
        let extra = usage.minus(&attempt.reserved);
        let extra = extra.minus(&extra.minus(&worker.free()));
        if extra == Resources::default() {
            return;
        }
        worker.reserved = worker.reserved.plus(&extra);
        if attempt.preemptible {
            worker.preemptible = worker.preemptible.plus(&extra);
        }
        if self.jobs[attempt.job].spec.lifetime == Lifetime::Service {
            worker.service_reserved = worker.service_reserved.plus(&extra);
        }
        if attempt.stage.is_ending() {
            self.ending_cpu_milli += u64::from(extra.cpu_milli);
        }
        let attempt = &mut self.attempts[id];
        attempt.accrued_core_ms = attempt.cost_core_ms(now);
        attempt.charged_from = now;
        attempt.reserved = attempt.reserved.plus(&extra);
        self.update_usage(queue_id, now);
        let queue = &mut self.queues[queue_id];
        queue.held = queue.held.plus(&extra);
        if queue.urgency == Urgency::Urgent {
            self.urgent_cpu_milli += u64::from(extra.cpu_milli);
        }
        let kind = &mut self.kinds[queue.kind];
        kind.held = kind.held.plus(&extra);
        self.teams[team].held = self.teams[team].held.plus(&extra);
        self.reindex(self.attempts[id].worker);
        self.reorder(queue_id, now);
    }

    /// Takes the next escalation step against a task whose reservation cannot grow.
    fn escalate(&mut self, id: AttemptId, usage: &Resources, now: Time) {
        let attempt = self.attempts[id];
        let is_interruptible = self.jobs[attempt.job].is_interruptible();
        let only_cpu = usage.memory_mib <= attempt.reserved.memory_mib
            && usage.accelerators <= attempt.reserved.accelerators;
        let waited = |since: Time| now.since(since) >= self.config.overuse_grace;
        match attempt.stage {
            Stage::Running if only_cpu => self.throttle(id, now),
            Stage::Throttled(since) if only_cpu && !waited(since) => {}
            Stage::Running | Stage::Throttled(_) if is_interruptible => self.checkpoint(id, now),
            Stage::Checkpointing(since) if !waited(since) => {}
            Stage::Stopping => {}
            _ => self.stop(id),
        }
    }

    /// Appends the pending actions whose task is still placed.
    pub(super) fn take_pending_actions(&mut self, actions: &mut Vec<Action>) {
        for action in std::mem::take(&mut self.pending_actions) {
            let (Action::Place { job, index, .. }
            | Action::Checkpoint { job, index, .. }
            | Action::Throttle { job, index, .. }
            | Action::Stop { job, index, .. }) = action;
            let task = self.jobs.get(job).map(|job| job.tasks[index as usize]);
            if task.is_some_and(|task| matches!(task.status, TaskStatus::Placed(_))) {
                actions.push(action);
            }
        }
    }

    fn throttle(&mut self, id: AttemptId, now: Time) {
        let attempt = &mut self.attempts[id];
        attempt.stage = Stage::Throttled(now);
        self.pending_actions.push(Action::Throttle {
            job: attempt.job,
            index: attempt.index,
            worker: attempt.worker,
            allowed: attempt.reserved,
        });
    }

    pub(super) fn checkpoint(&mut self, id: AttemptId, now: Time) {
        self.count_ending(id);
        let attempt = &mut self.attempts[id];
        attempt.stage = Stage::Checkpointing(now);
        self.pending_actions.push(Action::Checkpoint {
            job: attempt.job,
            index: attempt.index,
            worker: attempt.worker,
            unpaid: attempt.ends_unpaid,
        });
    }

    pub(super) fn stop(&mut self, id: AttemptId) {
        self.count_ending(id);
        let attempt = &mut self.attempts[id];
        attempt.stage = Stage::Stopping;
        self.pending_actions.push(Action::Stop {
            job: attempt.job,
            index: attempt.index,
            worker: attempt.worker,
            unpaid: attempt.ends_unpaid,
        });
    }

    fn count_ending(&mut self, id: AttemptId) {
        let attempt = &mut self.attempts[id];
        if attempt.stage.is_ending() {
            return;
        }
        self.ending_cpu_milli += u64::from(attempt.reserved.cpu_milli);
        if std::mem::take(&mut attempt.preemptible) {
            let worker = attempt.worker;
            let reserved = attempt.reserved;
            if let Some(worker) = self.workers.get_mut(worker) {
                worker.preemptible = worker.preemptible.minus(&reserved);
            }
        }
    }
}
