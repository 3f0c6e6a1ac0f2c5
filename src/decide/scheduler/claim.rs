//! Claims on workers: if a task needs more resources than become free at once, a worker is kept
//! free of other work until the task fits, so that small tasks do not starve it.

use std::time::Duration;

use super::super::{Action, WorkerKey};
use super::Scheduler;
use super::place::Round;
use super::state::{AttemptId, Head, QueueId, Rank};
use crate::model::{Lifetime, Resources, Time};

/// Maximum number of workers that are compared for a claim.
const MAX_CLAIM_CANDIDATES: usize = 64;
/// Maximum duration of a claim, as a multiple of the minimum.
const MAX_CLAIM_FACTOR: u32 = 12;

/// A worker that is kept free for the head of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub queue: QueueId,
    pub worker: WorkerKey,
    head: Head,
    until: Time,
}

/// What to do with a claim in a round.
enum ClaimAction {
    Keep,
    Drop,
    Place,
}

impl Scheduler {
    /// Claims a worker for a queue's head that fits on no worker, if it has waited long enough.
    pub(super) fn claim_for(&mut self, queue: QueueId, head: Head, now: Time) {
        let waited = now.since(self.jobs[head.job].since);
        let is_early = waited < self.config.claim_after;
        let has_claim = self.claims.iter().any(|claim| claim.queue == queue);
        if is_early || has_claim || !self.may_claim(&head.need) {
            return;
        }
        let fit = self.earliest_fit(&head.need, now);
        if let Some((worker, wait)) = fit.filter(|fit| self.is_claim_worthwhile(fit.1, waited)) {
            self.set_claim(worker, Some(head.need));
            self.claims.push(Claim {
                queue,
                worker,
                head,
                until: now + self.claim_duration(wait),
            });
        }
    }

    /// Returns whether a fit after `wait` justifies a claim for a job that has waited for `waited`.
    pub(super) fn is_claim_worthwhile(&self, wait: Duration, waited: Duration) -> bool {
        wait <= self.config.min_claim_time || waited >= self.config.claim_any_after
    }

    /// Returns the duration of a claim if the fit is expected after `wait`.
    pub(super) fn claim_duration(&self, wait: Duration) -> Duration {
        let max = self.config.min_claim_time * MAX_CLAIM_FACTOR;
        (wait * 2).clamp(self.config.min_claim_time, max)
    }

    /// Returns whether the limit on claimed processors allows one more claim of that size.
    pub(super) fn may_claim(&self, need: &Resources) -> bool {
        let permille = u64::from(self.config.max_claimed_permille);
        let max_claimed = u64::from(self.capacity.cpu_milli) * permille / 1_000;
        let claimed = self.claimed_cpu_milli + u64::from(need.cpu_milli);
        self.free_capacity.len() > 1 && (self.claimed_cpu_milli == 0 || claimed <= max_claimed)
    }

    /// Returns the worker on which `need` is expected to fit first, and after how long.
    pub(super) fn earliest_fit(
        &self,
        need: &Resources,
        now: Time,
    ) -> Option<(WorkerKey, Duration)> {
        let candidates = self
            .free_capacity
            .most_free_first()
            .take(MAX_CLAIM_CANDIDATES);
        let waits = candidates.filter_map(|key| Some((key, self.time_until_fit(key, need, now)?)));
        waits.min_by_key(|&(key, wait)| (wait, key))
    }

    /// Returns the time after which `need` is expected to fit on a worker; `None` if services
    /// prevent it.
    fn time_until_fit(&self, key: WorkerKey, need: &Resources, now: Time) -> Option<Duration> {
        let worker = &self.workers[key];
        let mut free = worker.free();
        let ends = worker
            .attempts
            .iter()
            .filter_map(|&attempt| Some((self.expected_end(attempt)?, attempt)));
        let mut ends: Vec<_> = ends.collect();
        ends.sort_unstable();
        let mut end = now;
        for (next, attempt) in ends {
            if need.fits_in(&free) {
                break;
            }
            free = free.plus(&self.attempts[attempt].reserved);
            end = next;
        }
        need.fits_in(&free).then(|| end.since(now))
    }

    /// Returns the expected end of an attempt; `None` for a service.
    fn expected_end(&self, id: AttemptId) -> Option<Time> {
        let attempt = &self.attempts[id];
        let job = &self.jobs[attempt.job];
        if job.spec.lifetime == Lifetime::Service {
            return None;
        }
        let estimated = self.kinds[self.queues[job.queue].kind]
            .usage_estimator
            .run_time_ms();
        let run_ms = estimated.unwrap_or(job.spec.expected_ms);
        Some(attempt.started + Duration::from_millis(run_ms))
    }

    /// Claims a worker for work that needs `need`, or releases the claim if that is `None`.
    pub(super) fn set_claim(&mut self, key: WorkerKey, need: Option<Resources>) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut worker.claimed_for, need);
        let cpu = |need: Option<Resources>| need.map_or(0, |need| u64::from(need.cpu_milli));
        self.claimed_cpu_milli = self.claimed_cpu_milli + cpu(need) - cpu(before);
        self.reindex(key);
    }

    /// Places the tasks that fit on their claimed workers and releases expired claims.
    pub(super) fn serve_claims(&mut self, round: &mut Round, actions: &mut Vec<Action>) {
        let mut i = 0;
        while i < self.claims.len() {
            let claim = self.claims[i];
            match self.claim_action(&claim, round.now) {
                ClaimAction::Keep => i += 1,
                ClaimAction::Drop => self.release_claim(i),
                ClaimAction::Place if round.remaining == 0 => return,
                ClaimAction::Place => {
                    actions.push(self.place_next(claim.head, claim.worker, round.now));
                    round.remaining -= 1;
                    self.claims[i].until = round.now + self.config.min_claim_time;
                    let key = self.queues[claim.queue].order_key;
                    if key.is_some_and(|key| key.rank == Rank::OverShare) {
                        self.release_claim(i);
                    }
                }
            }
        }
    }

    fn claim_action(&self, claim: &Claim, now: Time) -> ClaimAction {
        let queue = &self.queues[claim.queue];
        let is_first = queue.head.is_some_and(|head| head.job == claim.head.job);
        let has_task = is_first && self.jobs[claim.head.job].ready_tasks() > 0;
        if !has_task || now >= claim.until {
            return ClaimAction::Drop;
        }
        let need = &claim.head.need;
        if !need.fits_in(&self.workers[claim.worker].free()) {
            return ClaimAction::Keep;
        }
        let expected_ms = self.jobs[claim.head.job].spec.expected_ms;
        match self.block_reason(queue.team, need, 1, expected_ms) {
            Some(_) => ClaimAction::Drop,
            None => ClaimAction::Place,
        }
    }

    fn release_claim(&mut self, i: usize) {
        let claim = self.claims.swap_remove(i);
        self.set_claim(claim.worker, None);
    }

    /// Releases the claim on a worker that gets no new work.
    pub(super) fn release_claim_on(&mut self, key: WorkerKey) {
        if let Some(i) = self.claims.iter().position(|claim| claim.worker == key) {
            self.release_claim(i);
        }
    }
}
