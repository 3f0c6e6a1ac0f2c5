//! Cancellation and removal of jobs, and the reason why a job waits.

use super::super::{JobKey, WorkerKey};
use super::Scheduler;
use super::state::{BlockReason, TaskStatus};
use crate::model::Time;

impl Scheduler {
    /// Marks a job as cancelled; its queue entry is removed later. Returns the placed tasks.
    pub(super) fn cancel_job(&mut self, key: JobKey, now: Time) -> Vec<(u32, WorkerKey)> {
        let Some(job) = self.jobs.get_mut(key) else {
            return Vec::new();
        };
        if !std::mem::replace(&mut job.cancelled, true) {
            let (queued, in_queue, queue) = (job.queued, job.in_queue, job.queue);
            self.remove_queued(key, queued);
            self.release_hold_of(key);
            self.queues[queue].cancelled_jobs += usize::from(in_queue);
            if self.queues[queue].head.is_some_and(|head| head.job == key) {
                self.reorder(queue, now);
            } else {
                self.compact(queue);
            }
        }
        self.placed_tasks(key)
    }

    fn placed_tasks(&self, key: JobKey) -> Vec<(u32, WorkerKey)> {
        let job = &self.jobs[key];
        let mut placed = Vec::new();
        if job.placed == 0 {
            return placed;
        }
        for (index, task) in (0..).zip(&job.tasks) {
            if let TaskStatus::Placed(attempt) = task.status {
                placed.push((index, self.attempts[attempt].worker));
            }
        }
        placed
    }

    pub(super) fn remove_ended_job(&mut self, key: JobKey, now: Time) {
        if self.jobs.get(key).is_none_or(|job| job.placed > 0) {
            return;
        }
        self.cancel_job(key, now);
        self.jobs.remove(key);
    }

    /// Returns what a job waits for.
    pub(super) fn wait_reason(&self, key: JobKey, _now: Time) -> Option<String> {
        let job = self.jobs.get(key)?;
        if job.queued == 0 {
            return None;
        }
        if job.ready_tasks() == 0 {
            return Some("the backoff before a retry".to_owned());
        }
        if let Some(hold) = self.gang_hold.as_ref().filter(|hold| hold.job == key) {
            let (held, wanted) = (hold.count, hold.wanted);
            return Some(format!("room for all tasks at once: {held} of {wanted}"));
        }
        let queue = &self.queues[job.queue];
        let reason = match queue.blocked_by {
            Some(BlockReason::Quota) => "the team's quota",
            Some(BlockReason::Balance) => "balance_spent: more of the team's balance",
            None if queue.head.is_some_and(|head| head.job != key) => {
                "earlier jobs of the team and kind"
            }
            None if job.spec.all_at_once => "room for all tasks at once",
            None => "room on a worker",
        };
        Some(reason.to_owned())
    }
}
