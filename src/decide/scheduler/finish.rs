//! The ends of attempts: what is freed, what is learned and what becomes of the task.

use super::super::backoff::backoff;
use super::super::{AttemptEnd, JobKey, TaskDisposition};
use super::Scheduler;
use super::state::{Run, RunId, Stage, Task, TaskState};
use super::timers::Timer;
use crate::model::{Lifetime, Outcome, Resources, Time, Urgency};

impl Scheduler {
    pub(super) fn finish(
        &mut self,
        key: JobKey,
        index: u32,
        end: AttemptEnd,
        now: Time,
    ) -> TaskDisposition {
        if !self.jobs.contains_key(key) {
            return TaskDisposition::Ended(last_outcome(end));
        }
        if let TaskState::Placed(id) = self.jobs[key].tasks[index as usize].state {
            let run = self.end_run(id, now);
            self.learn(&run, end, now);
        }
        match self.outcome_of(key, index, end) {
            Some(outcome) => {
                self.jobs[key].tasks[index as usize].state = TaskState::Ended;
                TaskDisposition::Ended(outcome)
            }
            None => {
                self.queue_again(key, index, end, now);
                TaskDisposition::Queued
            }
        }
    }

    /// Frees what a run holds.
    fn end_run(&mut self, id: RunId, now: Time) -> Run {
        let job = self.runs[id].job;
        let queue_id = self.jobs[job].queue;
        let team = self.queues[queue_id].team;
        self.settle(id, team, now);
        self.teams[team].unpaid.retain(|&other| other != id);
        let run = self.runs.remove(id);
        self.jobs[job].placed -= 1;
        self.accrue(queue_id, now);
        let queue = &mut self.queues[queue_id];
        queue.held = queue.held.minus(&run.reserved);
        queue.placed -= 1;
        if queue.urgency == Urgency::Urgent {
            self.accrue_urgent(now);
            self.urgent_cpu_milli -= u64::from(run.reserved.cpu_milli);
            self.urgent_placed -= 1;
        }
        let queue = &self.queues[queue_id];
        let kind = &mut self.kinds[queue.kind];
        kind.held = kind.held.minus(&run.reserved);
        kind.placed -= 1;
        self.teams[team].held = self.teams[team].held.minus(&run.reserved);
        if run.stage.is_yielding() {
            self.yielding_cpu_milli -= u64::from(run.reserved.cpu_milli);
        }
        self.release(&run, id);
        self.regrow(run.worker, now);
        self.unpark(team, now);
        self.rekey(queue_id, now);
        run
    }

    fn release(&mut self, run: &Run, id: RunId) {
        let Some(worker) = self.workers.get_mut(run.worker) else {
            return;
        };
        worker.reserved = worker.reserved.minus(&run.reserved);
        worker.runs.retain(|&other| other != id);
        worker.short.retain(|&other| other != id);
        if run.yieldable {
            worker.yieldable = worker.yieldable.minus(&run.reserved);
        }
        if self.jobs[run.job].spec.lifetime == Lifetime::Service {
            worker.pinned = worker.pinned.minus(&run.reserved);
        }
        self.reindex(run.worker);
    }

    fn learn(&mut self, run: &Run, end: AttemptEnd, now: Time) {
        let kind = self.queues[self.jobs[run.job].queue].kind;
        if run.peak != Resources::default() {
            let declared = self.jobs[run.job].spec.resources;
            self.kinds[kind].sizes.used(&run.peak, &declared);
        }
        match end {
            AttemptEnd::Reported(Outcome::Succeeded) => {
                let run_ms = now.since(run.started).as_millis() as u64;
                self.kinds[kind].sizes.ran(run_ms);
                self.note_success(run.worker, kind);
            }
            AttemptEnd::Reported(Outcome::Failed) => {
                self.note_failure(run.worker, run.job, kind, now);
            }
            _ if run.probe => self.probe_is_void(run.worker, now),
            _ => {}
        }
    }

    /// How the task ended; `None` where it is to run again.
    fn outcome_of(&mut self, key: JobKey, index: u32, end: AttemptEnd) -> Option<Outcome> {
        let job = &mut self.jobs[key];
        let max_attempts = self.kinds[self.queues[job.queue].kind].limits.max_attempts;
        let task = &mut job.tasks[index as usize];
        let again = job.spec.idempotent && !job.cancelled;
        match end {
            AttemptEnd::NeverRan if job.cancelled => Some(Outcome::Cancelled),
            AttemptEnd::NeverRan => None,
            AttemptEnd::Reported(Outcome::Succeeded) => Some(Outcome::Succeeded),
            AttemptEnd::Reported(Outcome::Cancelled) if again => None,
            AttemptEnd::Reported(outcome) if !again => Some(outcome),
            AttemptEnd::Lost if !again => Some(Outcome::Unknown),
            AttemptEnd::Reported(_) | AttemptEnd::Lost => {
                task.failures += 1;
                let service = job.spec.lifetime == Lifetime::Service;
                let more = service || task.failures < max_attempts;
                (!more).then_some(last_outcome(end))
            }
        }
    }

    fn queue_again(&mut self, key: JobKey, index: u32, end: AttemptEnd, now: Time) {
        self.count_queued(key, 1);
        let failed = !matches!(
            end,
            AttemptEnd::NeverRan | AttemptEnd::Reported(Outcome::Cancelled)
        );
        if !failed {
            self.return_task(key, index, now);
            return;
        }
        let task = &mut self.jobs[key].tasks[index as usize];
        task.state = TaskState::Backoff;
        let (base, max) = (self.limits.retry_base, self.limits.retry_max);
        let wait = backoff(task.failures, base, max, &mut self.rng);
        self.add_timer(now + wait, Timer::Retry(key, index));
    }

    /// Offers a task again.
    pub(super) fn return_task(&mut self, key: JobKey, index: u32, now: Time) {
        let job = &mut self.jobs[key];
        let task: &mut Task = &mut job.tasks[index as usize];
        task.state = TaskState::Queued;
        job.returned.push(index);
        if !job.listed {
            self.list(key, now);
            return;
        }
        let queue = job.queue;
        self.rekey(queue, now);
    }
}

fn last_outcome(end: AttemptEnd) -> Outcome {
    match end {
        AttemptEnd::Reported(outcome) => outcome,
        AttemptEnd::NeverRan | AttemptEnd::Lost => Outcome::Unknown,
    }
}

impl Stage {
    pub fn is_yielding(self) -> bool {
        matches!(self, Self::Yielding(_) | Self::Stopping)
    }
}
