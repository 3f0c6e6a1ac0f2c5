//! All-at-once jobs: all tasks are placed or none. A job that finds no room collects what becomes
//! free; only one job collects at a time, so that no two hold each other's parts.

use std::time::Duration;

use super::super::index::slots;
use super::super::{Action, JobKey, WorkerKey};
use super::Scheduler;
use super::charge::times;
use super::place::Round;
use super::state::{Head, QueueId};
use super::timers::Timer;
use crate::model::{Resources, Time};

/// How long a job that gave its parts back waits, as a multiple of how long it held them.
const COOLDOWN_HOLDS: u32 = 4;
const MAX_DOUBLINGS: u32 = 6;

/// The parts that one all-at-once job has collected.
#[derive(Debug)]
pub(super) struct GangHold {
    pub job: JobKey,
    pub queue: QueueId,
    pub need: Resources,
    pub wanted: u32,
    pub count: u32,
    parts: Vec<(WorkerKey, u32)>,
    /// Workers that are kept for the job.
    claimed: Vec<(WorkerKey, Time)>,
    since: Time,
    /// When the parts are given back.
    until: Time,
}

impl Scheduler {
    /// Places all waiting tasks of a job, or none.
    pub(super) fn place_gang(
        &mut self,
        head: Head,
        count: u32,
        round: &Round,
        steps: &mut Vec<Action>,
    ) -> Option<usize> {
        let most_cpu = self.free_cpu_for(round);
        if u64::from(head.need.cpu_milli) * u64::from(count) > most_cpu {
            return None;
        }
        let (parts, found) = self.collect(&head.need, count);
        if found < count {
            return None;
        }
        self.place_parts(&head, &parts, round.now, steps);
        Some(count as usize)
    }

    fn free_cpu_for(&self, round: &Round) -> u64 {
        let roomy = self.index.roomy_cpu_milli();
        roomy.saturating_sub(round.headroom_cpu_milli)
    }

    /// Finds room for up to `count` tasks, on the fullest workers first.
    fn collect(&self, need: &Resources, count: u32) -> (Vec<(WorkerKey, u32)>, u32) {
        let mut parts = Vec::new();
        let mut found = 0;
        for (worker, free) in self.index.fitting(need) {
            if found == count {
                break;
            }
            let part = slots(need, free).min(count - found);
            parts.push((worker, part));
            found += part;
        }
        (parts, found)
    }

    fn place_parts(
        &mut self,
        head: &Head,
        parts: &[(WorkerKey, u32)],
        now: Time,
        steps: &mut Vec<Action>,
    ) {
        for &(worker, count) in parts {
            for _ in 0..count {
                let index = self.take_task(head.job);
                self.start_run(head.job, index, worker, head.need, now);
                steps.push(Action::Place {
                    job: head.job,
                    index,
                    worker,
                    reserved: head.need,
                });
            }
        }
        self.rekey(self.jobs[head.job].queue, now);
    }

    /// Lets a job that found no room collect parts, if no other job does.
    pub(super) fn start_hold(&mut self, queue: QueueId, head: Head, wanted: u32, round: &Round) {
        if self.gang.is_some() || self.gang_cooldown.contains_key(&queue) {
            return;
        }
        self.gang = Some(GangHold {
            job: head.job,
            queue,
            need: head.need,
            wanted,
            count: 0,
            parts: Vec::new(),
            claimed: Vec::new(),
            since: round.now,
            until: round.now + self.hold_time(head.job),
        });
        self.collect_more(round);
    }

    /// How long a job may hold parts: it doubles with each time that it gave them back, so that
    /// even a job that needs most workers ends, at a bounded cost to the rest.
    fn hold_time(&self, job: JobKey) -> Duration {
        self.limits.gang_hold * (1 << self.jobs[job].holds.min(MAX_DOUBLINGS))
    }

    /// Collects more parts for the job that does, and places it once it has all.
    pub(super) fn fill_hold(&mut self, round: &mut Round, steps: &mut Vec<Action>) {
        let Some(hold) = &self.gang else {
            return;
        };
        let (job, wanted, until, queue) = (hold.job, hold.wanted, hold.until, hold.queue);
        let ready = self.jobs.get(job).map_or(0, |job| job.ready());
        if ready != wanted || self.queues[queue].head.is_none_or(|head| head.job != job) {
            self.drop_hold();
            return;
        }
        self.drop_late_claims(round.now);
        self.claim_for_hold(round.now);
        self.collect_more(round);
        if self.gang.as_ref().is_some_and(|hold| hold.count == wanted) {
            self.place_hold(round, steps);
        } else if round.now >= until {
            self.drop_hold();
            let due = round.now + self.hold_time(job) * COOLDOWN_HOLDS;
            self.jobs[job].holds += 1;
            self.gang_cooldown.insert(queue, due);
            self.add_timer(due, Timer::Gang(queue));
        }
    }

    fn collect_more(&mut self, round: &Round) {
        let Some(hold) = &self.gang else {
            return;
        };
        let (need, missing) = (hold.need, hold.wanted - hold.count);
        let (mut parts, mut found) = self.collect_claimed(&need, missing);
        let cpu = self.free_cpu_for(round) / u64::from(need.cpu_milli.max(1));
        let most = (missing - found).min(u32::try_from(cpu).unwrap_or(u32::MAX));
        let (more, more_found) = self.collect(&need, most);
        parts.extend(more);
        found += more_found;
        for &(worker, count) in &parts {
            let held = times(&need, count);
            self.workers[worker].reserved = self.workers[worker].reserved.plus(&held);
            self.reindex(worker);
        }
        let Some(hold) = &mut self.gang else {
            return;
        };
        hold.parts.extend(parts);
        hold.count += found;
    }

    /// Finds room for up to `count` tasks on the workers kept for the job.
    fn collect_claimed(&self, need: &Resources, count: u32) -> (Vec<(WorkerKey, u32)>, u32) {
        let claimed = self.gang.as_ref().map(|hold| hold.claimed.as_slice());
        let mut parts = Vec::new();
        let mut found = 0;
        for &(worker, _) in claimed.unwrap_or_default() {
            let part = slots(need, &self.workers[worker].free()).min(count - found);
            if part > 0 {
                parts.push((worker, part));
                found += part;
            }
        }
        (parts, found)
    }

    /// Keeps workers no longer on which nothing became free in time.
    fn drop_late_claims(&mut self, now: Time) {
        let Some(hold) = &mut self.gang else {
            return;
        };
        let is_late = |claim: &mut (WorkerKey, Time)| claim.1 <= now;
        let late: Vec<_> = hold.claimed.extract_if(.., is_late).collect();
        for (worker, _) in late {
            self.set_claim(worker, None);
        }
    }

    /// Claims workers for the job, so that what becomes free there adds up.
    fn claim_for_hold(&mut self, now: Time) {
        let Some(hold) = &self.gang else {
            return;
        };
        let missing = (hold.wanted - hold.count) as usize;
        let waited = now.since(hold.since);
        let is_early = waited < self.limits.claim_after;
        let need = hold.need;
        if is_early || hold.claimed.len() >= missing || !self.may_claim(&need) {
            return;
        }
        let room = self.nearest_room(&need, now);
        let Some((worker, wait)) = room.filter(|room| self.is_soon(room.1, waited)) else {
            return;
        };
        self.set_claim(worker, Some(need));
        let until = now + self.claim_time(wait);
        if let Some(hold) = &mut self.gang {
            hold.claimed.push((worker, until));
        }
    }

    fn place_hold(&mut self, round: &mut Round, steps: &mut Vec<Action>) {
        let Some(hold) = self.drop_hold() else {
            return;
        };
        let head = Head {
            job: hold.job,
            need: hold.need,
        };
        self.place_parts(&head, &hold.parts, round.now, steps);
        round.left = round.left.saturating_sub(hold.wanted as usize);
    }

    /// Gives the collected parts back.
    fn drop_hold(&mut self) -> Option<GangHold> {
        let hold = self.gang.take()?;
        for &(worker, count) in &hold.parts {
            self.give_back(worker, &times(&hold.need, count));
        }
        for &(worker, _) in &hold.claimed {
            self.set_claim(worker, None);
        }
        Some(hold)
    }

    fn give_back(&mut self, key: WorkerKey, held: &Resources) {
        if let Some(worker) = self.workers.get_mut(key) {
            worker.reserved = worker.reserved.minus(held);
            self.reindex(key);
        }
    }

    /// Gives back what a job has collected.
    pub(super) fn drop_hold_of(&mut self, job: JobKey) {
        if self.gang.as_ref().is_some_and(|hold| hold.job == job) {
            self.drop_hold();
        }
    }

    /// Gives back what was collected on a worker that gets no new work.
    pub(super) fn drop_hold_on(&mut self, key: WorkerKey) {
        let Some(hold) = &mut self.gang else {
            return;
        };
        let mut lost = 0;
        hold.parts.retain(|&(worker, count)| {
            lost += if worker == key { count } else { 0 };
            worker != key
        });
        hold.count -= lost;
        let claims = hold.claimed.len();
        hold.claimed.retain(|&(worker, _)| worker != key);
        let was_claimed = hold.claimed.len() < claims;
        let held = times(&hold.need, lost);
        self.give_back(key, &held);
        if was_claimed {
            self.set_claim(key, None);
        }
    }
}
