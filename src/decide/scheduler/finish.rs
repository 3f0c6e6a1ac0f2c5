//! End of attempts: frees the resources, records usage and failures, and decides about a retry.

use super::super::backoff::backoff;
use super::super::{AttemptEnd, JobKey, TaskDisposition};
use super::Scheduler;
use super::state::{Attempt, AttemptId, Stage, Task, TaskStatus};
use super::timers::Timer;
use crate::model::{Lifetime, Outcome, Resources, Time, Urgency};

impl Scheduler {
    pub(super) fn finish_attempt(
        &mut self,
        key: JobKey,
        index: u32,
        end: AttemptEnd,
        now: Time,
    ) -> TaskDisposition {
        if !self.jobs.contains_key(key) {
            return TaskDisposition::Ended(final_outcome(end));
        }
        if let TaskStatus::Placed(id) = self.jobs[key].tasks[index as usize].status {
            let attempt = self.end_attempt(id, now);
            self.record_end(&attempt, end, now);
        }
        match self.task_outcome(key, index, end) {
            Some(outcome) => {
                self.jobs[key].tasks[index as usize].status = TaskStatus::Ended;
                TaskDisposition::Ended(outcome)
            }
            None => {
                self.requeue(key, index, end, now);
                TaskDisposition::Queued
            }
        }
    }

    /// Removes an attempt and frees its resources.
    fn end_attempt(&mut self, id: AttemptId, now: Time) -> Attempt {
        let job = self.attempts[id].job;
        let queue_id = self.jobs[job].queue;
        let team = self.queues[queue_id].team;
        self.charge(id, team, now);
        self.teams[team]
            .unpaid_attempts
            .retain(|&other| other != id);
        let attempt = self.attempts.remove(id);
        self.jobs[job].placed -= 1;
        self.update_usage(queue_id, now);
        let queue = &mut self.queues[queue_id];
        queue.held = queue.held.minus(&attempt.reserved);
        queue.placed -= 1;
        if queue.urgency == Urgency::Urgent {
            self.update_urgent_mean(now);
            self.urgent_cpu_milli -= u64::from(attempt.reserved.cpu_milli);
            self.urgent_placed -= 1;
        }
        let queue = &self.queues[queue_id];
        let kind = &mut self.kinds[queue.kind];
        kind.held = kind.held.minus(&attempt.reserved);
        kind.placed -= 1;
        self.teams[team].held = self.teams[team].held.minus(&attempt.reserved);
        if attempt.stage.is_ending() {
            self.ending_cpu_milli -= u64::from(attempt.reserved.cpu_milli);
        }
        self.release_reservation(&attempt, id);
        self.grow_overusing(attempt.worker, now);
        self.unblock(team, now);
        self.reorder(queue_id, now);
        attempt
    }

    fn release_reservation(&mut self, attempt: &Attempt, id: AttemptId) {
        let Some(worker) = self.workers.get_mut(attempt.worker) else {
            return;
        };
        worker.reserved = worker.reserved.minus(&attempt.reserved);
        worker.attempts.retain(|&other| other != id);
        worker.overusing.retain(|&other| other != id);
        if attempt.preemptible {
            worker.preemptible = worker.preemptible.minus(&attempt.reserved);
        }
        if self.jobs[attempt.job].spec.lifetime == Lifetime::Service {
            worker.service_reserved = worker.service_reserved.minus(&attempt.reserved);
        }
        self.reindex(attempt.worker);
    }

    fn record_end(&mut self, attempt: &Attempt, end: AttemptEnd, now: Time) {
        let kind = self.queues[self.jobs[attempt.job].queue].kind;
        if attempt.peak_usage != Resources::default() {
            let declared = self.jobs[attempt.job].spec.resources;
            self.kinds[kind]
                .usage_estimator
                .record_usage(&attempt.peak_usage, &declared);
        }
        match end {
            AttemptEnd::Reported(Outcome::Succeeded) => {
                let run_ms = now.since(attempt.started).as_millis() as u64;
                self.kinds[kind].usage_estimator.record_run_time(run_ms);
                self.record_success(attempt.worker, kind);
            }
            AttemptEnd::Reported(Outcome::Failed) => {
                self.record_failure(attempt.worker, attempt.job, kind, now);
            }
            _ if attempt.is_probe => self.probe_aborted(attempt.worker, now),
            _ => {}
        }
    }

    /// Returns the outcome of the task; `None` if it runs again.
    fn task_outcome(&mut self, key: JobKey, index: u32, end: AttemptEnd) -> Option<Outcome> {
        let job = &mut self.jobs[key];
        let max_attempts = self.kinds[self.queues[job.queue].kind].limits.max_attempts;
        let task = &mut job.tasks[index as usize];
        let may_retry = job.spec.idempotent && !job.cancelled;
        match end {
            AttemptEnd::NeverRan if job.cancelled => Some(Outcome::Cancelled),
            AttemptEnd::NeverRan => None,
            AttemptEnd::Reported(Outcome::Succeeded) => Some(Outcome::Succeeded),
            AttemptEnd::Reported(Outcome::Cancelled) if may_retry => None,
            AttemptEnd::Reported(outcome) if !may_retry => Some(outcome),
            AttemptEnd::Lost if !may_retry => Some(Outcome::Unknown),
            AttemptEnd::Reported(_) | AttemptEnd::Lost => {
                task.failures += 1;
                let is_service = job.spec.lifetime == Lifetime::Service;
                let has_retries = is_service || task.failures < max_attempts;
                (!has_retries).then_some(final_outcome(end))
            }
        }
    }

    fn requeue(&mut self, key: JobKey, index: u32, end: AttemptEnd, now: Time) {
        self.add_queued(key, 1);
        let has_failed = !matches!(
            end,
            AttemptEnd::NeverRan | AttemptEnd::Reported(Outcome::Cancelled)
        );
        if !has_failed {
            self.make_ready(key, index, now);
            return;
        }
        let task = &mut self.jobs[key].tasks[index as usize];
        task.status = TaskStatus::Backoff;
        let (base, max) = (self.config.retry_base, self.config.retry_max);
        let wait = backoff(task.failures, base, max, &mut self.rng);
        self.add_timer(now + wait, Timer::Retry(key, index));
    }

    /// Makes a queued task ready to be placed again.
    pub(super) fn make_ready(&mut self, key: JobKey, index: u32, now: Time) {
        let job = &mut self.jobs[key];
        let task: &mut Task = &mut job.tasks[index as usize];
        task.status = TaskStatus::Queued;
        job.requeued.push(index);
        if !job.in_queue {
            self.push_to_queue(key, now);
            return;
        }
        let queue = job.queue;
        self.reorder(queue, now);
    }
}

fn final_outcome(end: AttemptEnd) -> Outcome {
    match end {
        AttemptEnd::Reported(outcome) => outcome,
        AttemptEnd::NeverRan | AttemptEnd::Lost => Outcome::Unknown,
    }
}

impl Stage {
    pub fn is_ending(self) -> bool {
        matches!(self, Self::Checkpointing(_) | Self::Stopping)
    }
}
