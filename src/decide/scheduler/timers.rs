//! Timers of the scheduler.

use std::cmp::Reverse;

use super::super::{JobKey, WorkerKey};
use super::Scheduler;
use super::state::{AttemptId, QueueId, TaskStatus};
use crate::model::Time;

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Timer {
    /// The backoff of a task is over.
    Retry(JobKey, u32),
    /// The prepaid slice of an attempt ends or is about to end; with the attempt's serial number.
    Slice(AttemptId, u64),
    /// The probe of a worker that is set aside is due.
    Probe(WorkerKey),
    /// The cooldown of a queue after an expired gang hold is over.
    Gang(QueueId),
}

impl Scheduler {
    pub(super) fn add_timer(&mut self, due: Time, timer: Timer) {
        self.timers.push(Reverse((due, timer)));
    }

    pub(super) fn run_timers(&mut self, now: Time) {
        while let Some(&Reverse((due, timer))) = self.timers.peek() {
            if due > now {
                return;
            }
            self.timers.pop();
            self.run_timer(timer, now);
        }
    }

    fn run_timer(&mut self, timer: Timer, now: Time) {
        match timer {
            Timer::Retry(job, index) => self.retry_due(job, index, now),
            Timer::Slice(attempt, serial) => self.slice_due(attempt, serial, now),
            Timer::Probe(worker) => self.probe_due(worker, now),
            Timer::Gang(queue) => {
                self.gang_cooldowns.remove(&queue);
            }
        }
    }

    fn retry_due(&mut self, key: JobKey, index: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(key) else {
            return;
        };
        if job.cancelled || job.tasks[index as usize].status != TaskStatus::Backoff {
            return;
        }
        if !self.kinds[self.queues[job.queue].kind]
            .retry_budget
            .try_withdraw()
        {
            let wait = self
                .config
                .retry_base
                .max(std::time::Duration::from_secs(1));
            self.add_timer(now + wait, Timer::Retry(key, index));
            return;
        }
        self.make_ready(key, index, now);
    }
}
