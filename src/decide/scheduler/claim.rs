//! Claims on workers: a task that is larger than what becomes free at a time gets a worker that no
//! other work is placed on until the task fits, so that small work does not starve it.

use std::time::Duration;

use super::super::{Action, WorkerKey};
use super::Scheduler;
use super::place::Round;
use super::state::{Head, QueueId, Rank, RunId};
use crate::model::{Lifetime, Resources, Time};

/// Workers that are compared for a claim.
const COMPARED: usize = 64;
/// The longest time of a claim, as a multiple of the least.
const LONGEST_HOLDS: u32 = 12;

/// A worker that is kept for the head of a queue.
#[derive(Clone, Copy, Debug)]
pub(super) struct Claim {
    pub queue: QueueId,
    pub worker: WorkerKey,
    head: Head,
    until: Time,
}

/// What becomes of a claim in a round.
enum Due {
    Keep,
    Drop,
    Place,
}

impl Scheduler {
    /// Claims a worker for a queue's head that found no room, if it has waited long enough.
    pub(super) fn claim_for(&mut self, queue: QueueId, head: Head, now: Time) {
        let waited = now.since(self.jobs[head.job].since);
        let is_early = waited < self.limits.claim_after;
        let has_claim = self.claims.iter().any(|claim| claim.queue == queue);
        if is_early || has_claim || !self.may_claim(&head.need) {
            return;
        }
        let room = self.nearest_room(&head.need, now);
        if let Some((worker, wait)) = room.filter(|room| self.is_soon(room.1, waited)) {
            self.set_claim(worker, Some(head.need));
            self.claims.push(Claim {
                queue,
                worker,
                head,
                until: now + self.claim_time(wait),
            });
        }
    }

    /// Whether room after `wait` is worth a claim for work that has waited for `waited`.
    pub(super) fn is_soon(&self, wait: Duration, waited: Duration) -> bool {
        wait <= self.limits.claim_hold || waited >= self.limits.claim_any_after
    }

    /// How long a claim lasts where the room is expected after `wait`.
    pub(super) fn claim_time(&self, wait: Duration) -> Duration {
        let longest = self.limits.claim_hold * LONGEST_HOLDS;
        (wait * 2).clamp(self.limits.claim_hold, longest)
    }

    /// Whether one more claim of that size may wait.
    pub(super) fn may_claim(&self, need: &Resources) -> bool {
        let permille = u64::from(self.limits.claim_permille);
        let most = u64::from(self.capacity.cpu_milli) * permille / 1_000;
        let claimed = self.claimed_cpu_milli + u64::from(need.cpu_milli);
        self.index.len() > 1 && (self.claimed_cpu_milli == 0 || claimed <= most)
    }

    /// The worker on which `need` is expected to fit first, and when.
    pub(super) fn nearest_room(
        &self,
        need: &Resources,
        now: Time,
    ) -> Option<(WorkerKey, Duration)> {
        let candidates = self.index.fullest_last().take(COMPARED);
        let waits = candidates.filter_map(|key| Some((key, self.room_after(key, need, now)?)));
        waits.min_by_key(|&(key, wait)| (wait, key))
    }

    /// After how long `need` is expected to fit on a worker; `None` where services stand in its
    /// way.
    fn room_after(&self, key: WorkerKey, need: &Resources, now: Time) -> Option<Duration> {
        let worker = &self.workers[key];
        let mut free = worker.free();
        let ends = worker
            .runs
            .iter()
            .filter_map(|&run| Some((self.end_of(run)?, run)));
        let mut ends: Vec<_> = ends.collect();
        ends.sort_unstable();
        let mut end = now;
        for (next, run) in ends {
            if need.fits_in(&free) {
                break;
            }
            free = free.plus(&self.runs[run].reserved);
            end = next;
        }
        need.fits_in(&free).then(|| end.since(now))
    }

    /// When a run is expected to end; `None` for a service.
    fn end_of(&self, id: RunId) -> Option<Time> {
        let run = &self.runs[id];
        let job = &self.jobs[run.job];
        if job.spec.lifetime == Lifetime::Service {
            return None;
        }
        let learned = self.kinds[self.queues[job.queue].kind].sizes.run_ms();
        let run_ms = learned.unwrap_or(job.spec.expected_ms);
        Some(run.started + Duration::from_millis(run_ms))
    }

    /// Keeps a worker for work that needs `need`, or keeps it no more.
    pub(super) fn set_claim(&mut self, key: WorkerKey, need: Option<Resources>) {
        let Some(worker) = self.workers.get_mut(key) else {
            return;
        };
        let before = std::mem::replace(&mut worker.claimed, need);
        let cpu = |need: Option<Resources>| need.map_or(0, |need| u64::from(need.cpu_milli));
        self.claimed_cpu_milli = self.claimed_cpu_milli + cpu(need) - cpu(before);
        self.reindex(key);
    }

    /// Places what fits on the claimed workers and drops the claims that lapsed.
    pub(super) fn serve_claims(&mut self, round: &mut Round, steps: &mut Vec<Action>) {
        let mut i = 0;
        while i < self.claims.len() {
            let claim = self.claims[i];
            match self.due(&claim, round.now) {
                Due::Keep => i += 1,
                Due::Drop => self.drop_claim(i),
                Due::Place if round.left == 0 => return,
                Due::Place => {
                    steps.push(self.place_next(claim.head, claim.worker, round.now));
                    round.left -= 1;
                    self.claims[i].until = round.now + self.limits.claim_hold;
                    let key = self.queues[claim.queue].key;
                    if key.is_some_and(|key| key.rank == Rank::Beyond) {
                        self.drop_claim(i);
                    }
                }
            }
        }
    }

    fn due(&self, claim: &Claim, now: Time) -> Due {
        let queue = &self.queues[claim.queue];
        let is_first = queue.head.is_some_and(|head| head.job == claim.head.job);
        let has_task = is_first && self.jobs[claim.head.job].ready() > 0;
        if !has_task || now >= claim.until {
            return Due::Drop;
        }
        let need = &claim.head.need;
        if !need.fits_in(&self.workers[claim.worker].free()) {
            return Due::Keep;
        }
        let expected_ms = self.jobs[claim.head.job].spec.expected_ms;
        match self.parked_by(queue.team, need, 1, expected_ms) {
            Some(_) => Due::Drop,
            None => Due::Place,
        }
    }

    fn drop_claim(&mut self, i: usize) {
        let claim = self.claims.swap_remove(i);
        self.set_claim(claim.worker, None);
    }

    /// Drops the claim on a worker that gets no new work.
    pub(super) fn drop_claim_on(&mut self, key: WorkerKey) {
        if let Some(i) = self.claims.iter().position(|claim| claim.worker == key) {
            self.drop_claim(i);
        }
    }
}
