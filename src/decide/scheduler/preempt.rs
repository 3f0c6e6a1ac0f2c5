//! Preemption: checkpoints patient tasks to free resources for urgent work.

use std::cmp::Reverse;

use super::super::WorkerKey;
use super::Scheduler;
use super::place::Round;
use super::state::{AttemptId, Rank, Stage};
use crate::model::{Resources, Time};

/// Maximum number of urgent queues per round for which resources are freed.
const MAX_PREEMPTING_QUEUES: usize = 32;

impl Scheduler {
    /// Checkpoints patient tasks for urgent ones that fit on no worker, within the share of the
    /// capacity that is reserved for urgent work.
    pub(super) fn preempt(&mut self, round: &Round) {
        let candidates = self.queue_order.iter().take(MAX_PREEMPTING_QUEUES);
        let candidates = candidates.take_while(|key| key.rank == Rank::UrgentReserve);
        let blocked: Vec<_> = candidates.map(|key| key.queue).collect();
        let mut wanted_cpu_milli = 0;
        for id in blocked {
            let Some(head) = self.queues[id].head else {
                continue;
            };
            let job = self.jobs.get(head.job);
            let is_late = |since: Time| round.now.since(since) >= self.config.preempt_after;
            if !job.is_some_and(|job| job.ready_tasks() > 0 && is_late(job.since)) {
                continue;
            }
            wanted_cpu_milli += u64::from(head.need.cpu_milli);
            if self.ending_cpu_milli < wanted_cpu_milli {
                self.free_capacity_for(&head.need, round.now);
            }
        }
    }

    fn free_capacity_for(&mut self, need: &Resources, now: Time) {
        let Some(worker) = self.cheapest_worker(need) else {
            return;
        };
        let mut missing = need.minus(&self.workers[worker].free());
        for id in self.newest_preemptible(worker) {
            if missing == Resources::default() {
                return;
            }
            missing = missing.minus(&self.attempts[id].reserved);
            self.checkpoint(id, now);
        }
    }

    /// Returns the worker on which the least has to be freed for `need`.
    fn cheapest_worker(&self, need: &Resources) -> Option<WorkerKey> {
        let mut best: Option<(u32, WorkerKey)> = None;
        for (key, worker) in &self.workers {
            let Some(free) = self.free_capacity.free(key) else {
                continue;
            };
            if !need.fits_in(&free.plus(&worker.preemptible)) {
                continue;
            }
            let missing = need.minus(free).cpu_milli;
            if best.is_none_or(|(min, _)| missing < min) {
                best = Some((missing, key));
            }
        }
        best.map(|(_, key)| key)
    }

    /// Returns the preemptible attempts on a worker, those with the least work to lose first.
    fn newest_preemptible(&self, worker: WorkerKey) -> Vec<AttemptId> {
        let attempts = &self.workers[worker].attempts;
        let is_candidate = |&&id: &&AttemptId| {
            let attempt = &self.attempts[id];
            attempt.preemptible && attempt.stage == Stage::Running
        };
        let mut ids: Vec<_> = attempts.iter().filter(is_candidate).copied().collect();
        ids.sort_by_key(|&id| Reverse(self.attempts[id].started));
        ids
    }
}
