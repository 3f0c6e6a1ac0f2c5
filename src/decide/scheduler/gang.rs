//! Gangs: all tasks of a job are placed or none. A gang that does not fit holds the resources that
//! become free until all of its tasks fit. Only one gang holds resources at a time, so that two
//! gangs cannot block each other.

use std::time::Duration;

use super::super::index::fitting_tasks;
use super::super::{Action, JobKey, WorkerKey};
use super::Scheduler;
use super::charge::multiply;
use super::place::Round;
use super::state::{Head, QueueId};
use super::timers::Timer;
use crate::model::{Resources, Time};

/// How long a gang waits after its hold has expired, as a multiple of the hold timeout.
const COOLDOWN_FACTOR: u32 = 4;
const MAX_DOUBLINGS: u32 = 6;

/// Resources that one gang holds until all of its tasks fit.
#[derive(Debug)]
pub(super) struct GangHold {
    pub job: JobKey,
    pub queue: QueueId,
    pub need: Resources,
    pub wanted: u32,
    pub count: u32,
    reservations: Vec<(WorkerKey, u32)>,
    /// Workers that are claimed for the gang, with the end of each claim.
    claimed_workers: Vec<(WorkerKey, Time)>,
    since: Time,
    /// Time at which the hold expires.
    until: Time,
}

impl Scheduler {
    /// Places all ready tasks of a gang, or none.
    pub(super) fn place_gang(
        &mut self,
        head: Head,
        count: u32,
        round: &Round,
        actions: &mut Vec<Action>,
    ) -> Option<usize> {
        let max_cpu_milli = self.free_cpu_milli(round);
        if u64::from(head.need.cpu_milli) * u64::from(count) > max_cpu_milli {
            return None;
        }
        let (reservations, found) = self.find_capacity(&head.need, count);
        if found < count {
            return None;
        }
        self.place_reserved(&head, &reservations, round.now, actions);
        Some(count as usize)
    }

    fn free_cpu_milli(&self, round: &Round) -> u64 {
        let usable = self.free_capacity.usable_cpu_milli();
        usable.saturating_sub(round.headroom_cpu_milli)
    }

    /// Finds workers for up to `count` tasks, those with the fewest free processors first.
    fn find_capacity(&self, need: &Resources, count: u32) -> (Vec<(WorkerKey, u32)>, u32) {
        let mut reservations = Vec::new();
        let mut found = 0;
        for (worker, free) in self.free_capacity.fitting(need) {
            if found == count {
                break;
            }
            let tasks = fitting_tasks(need, free).min(count - found);
            reservations.push((worker, tasks));
            found += tasks;
        }
        (reservations, found)
    }

    fn place_reserved(
        &mut self,
        head: &Head,
        reservations: &[(WorkerKey, u32)],
        now: Time,
        actions: &mut Vec<Action>,
    ) {
        for &(worker, count) in reservations {
            for _ in 0..count {
                let index = self.take_task(head.job);
                self.start_attempt(head.job, index, worker, head.need, now);
                actions.push(Action::Place {
                    job: head.job,
                    index,
                    worker,
                    reserved: head.need,
                });
            }
        }
        self.reorder(self.jobs[head.job].queue, now);
    }

    /// Starts a hold for a gang that does not fit, unless there is one already.
    pub(super) fn start_hold(&mut self, queue: QueueId, head: Head, wanted: u32, round: &Round) {
        if self.gang_hold.is_some() || self.gang_cooldowns.contains_key(&queue) {
            return;
        }
        self.gang_hold = Some(GangHold {
            job: head.job,
            queue,
            need: head.need,
            wanted,
            count: 0,
            reservations: Vec::new(),
            claimed_workers: Vec::new(),
            since: round.now,
            until: round.now + self.hold_timeout(head.job),
        });
        self.reserve_more(round);
    }

    /// Returns the timeout of a gang's hold. It doubles with each expired hold, so that even a gang
    /// that needs most workers is placed eventually, at a bounded cost to other work.
    fn hold_timeout(&self, job: JobKey) -> Duration {
        self.config.gang_hold_timeout * (1 << self.jobs[job].expired_holds.min(MAX_DOUBLINGS))
    }

    /// Adds free resources to the current hold, and places the gang once all of its tasks fit.
    pub(super) fn fill_hold(&mut self, round: &mut Round, actions: &mut Vec<Action>) {
        let Some(hold) = &self.gang_hold else {
            return;
        };
        let (job, wanted, until, queue) = (hold.job, hold.wanted, hold.until, hold.queue);
        let ready_tasks = self.jobs.get(job).map_or(0, |job| job.ready_tasks());
        if ready_tasks != wanted || self.queues[queue].head.is_none_or(|head| head.job != job) {
            self.release_hold();
            return;
        }
        self.release_expired_claims(round.now);
        self.claim_for_hold(round.now);
        self.reserve_more(round);
        if self
            .gang_hold
            .as_ref()
            .is_some_and(|hold| hold.count == wanted)
        {
            self.place_hold(round, actions);
        } else if round.now >= until {
            self.release_hold();
            let due = round.now + self.hold_timeout(job) * COOLDOWN_FACTOR;
            self.jobs[job].expired_holds += 1;
            self.gang_cooldowns.insert(queue, due);
            self.add_timer(due, Timer::Gang(queue));
        }
    }

    fn reserve_more(&mut self, round: &Round) {
        let Some(hold) = &self.gang_hold else {
            return;
        };
        let (need, missing) = (hold.need, hold.wanted - hold.count);
        let (mut reservations, mut found) = self.find_on_claimed(&need, missing);
        let cpu = self.free_cpu_milli(round) / u64::from(need.cpu_milli.max(1));
        let max_tasks = (missing - found).min(u32::try_from(cpu).unwrap_or(u32::MAX));
        let (more, more_found) = self.find_capacity(&need, max_tasks);
        reservations.extend(more);
        found += more_found;
        for &(worker, count) in &reservations {
            let held = multiply(&need, count);
            self.workers[worker].reserved = self.workers[worker].reserved.plus(&held);
            self.reindex(worker);
        }
        let Some(hold) = &mut self.gang_hold else {
            return;
        };
        hold.reservations.extend(reservations);
        hold.count += found;
    }

    /// Finds capacity for up to `count` tasks on the workers that are claimed for the gang.
    fn find_on_claimed(&self, need: &Resources, count: u32) -> (Vec<(WorkerKey, u32)>, u32) {
        let claimed_workers = self
            .gang_hold
            .as_ref()
            .map(|hold| hold.claimed_workers.as_slice());
        let mut reservations = Vec::new();
        let mut found = 0;
        for &(worker, _) in claimed_workers.unwrap_or_default() {
            let tasks = fitting_tasks(need, &self.workers[worker].free()).min(count - found);
            if tasks > 0 {
                reservations.push((worker, tasks));
                found += tasks;
            }
        }
        (reservations, found)
    }

    /// Releases the claims on workers on which nothing became free in time.
    fn release_expired_claims(&mut self, now: Time) {
        let Some(hold) = &mut self.gang_hold else {
            return;
        };
        let is_expired = |claim: &mut (WorkerKey, Time)| claim.1 <= now;
        let expired: Vec<_> = hold.claimed_workers.extract_if(.., is_expired).collect();
        for (worker, _) in expired {
            self.set_claim(worker, None);
        }
    }

    /// Claims a worker for the gang, so that the resources that become free there add up.
    fn claim_for_hold(&mut self, now: Time) {
        let Some(hold) = &self.gang_hold else {
            return;
        };
        let missing = (hold.wanted - hold.count) as usize;
        let waited = now.since(hold.since);
        let is_early = waited < self.config.claim_after;
        let need = hold.need;
        if is_early || hold.claimed_workers.len() >= missing || !self.may_claim(&need) {
            return;
        }
        let fit = self.earliest_fit(&need, now);
        let Some((worker, wait)) = fit.filter(|fit| self.is_claim_worthwhile(fit.1, waited)) else {
            return;
        };
        self.set_claim(worker, Some(need));
        let until = now + self.claim_duration(wait);
        if let Some(hold) = &mut self.gang_hold {
            hold.claimed_workers.push((worker, until));
        }
    }

    fn place_hold(&mut self, round: &mut Round, actions: &mut Vec<Action>) {
        let Some(hold) = self.release_hold() else {
            return;
        };
        let head = Head {
            job: hold.job,
            need: hold.need,
        };
        self.place_reserved(&head, &hold.reservations, round.now, actions);
        round.remaining = round.remaining.saturating_sub(hold.wanted as usize);
    }

    /// Releases the current hold.
    fn release_hold(&mut self) -> Option<GangHold> {
        let hold = self.gang_hold.take()?;
        for &(worker, count) in &hold.reservations {
            self.release_reserved(worker, &multiply(&hold.need, count));
        }
        for &(worker, _) in &hold.claimed_workers {
            self.set_claim(worker, None);
        }
        Some(hold)
    }

    fn release_reserved(&mut self, key: WorkerKey, held: &Resources) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.reserved = worker.reserved.minus(held);
            self.reindex(key);
        }
    }

    /// Releases the hold of a job.
    pub(super) fn release_hold_of(&mut self, job: JobKey) {
        if self.gang_hold.as_ref().is_some_and(|hold| hold.job == job) {
            self.release_hold();
        }
    }

    /// Releases what is held on a worker, such as one that gets no new work.
    pub(super) fn release_hold_on(&mut self, key: WorkerKey) {
        let Some(hold) = &mut self.gang_hold else {
            return;
        };
        let mut released = 0;
        hold.reservations.retain(|&(worker, count)| {
            released += if worker == key { count } else { 0 };
            worker != key
        });
        hold.count -= released;
        let claims = hold.claimed_workers.len();
        hold.claimed_workers.retain(|&(worker, _)| worker != key);
        let was_claimed = hold.claimed_workers.len() < claims;
        let held = multiply(&hold.need, released);
        self.release_reserved(key, &held);
        if was_claimed {
            self.set_claim(key, None);
        }
    }
}
