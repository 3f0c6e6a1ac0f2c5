//! Placement: serves the queues in order and places each task on the best fitting worker.

use super::super::{Action, JobKey, WorkerKey};
use super::Scheduler;
use super::state::{Attempt, AttemptId, Head, OrderKey, Rank, Stage, TaskStatus};
use crate::model::{Lifetime, Resources, Time, Urgency};

/// State of one call of `decide`.
pub(super) struct Round {
    pub now: Time,
    /// Number of tasks that may still be placed.
    pub remaining: usize,
    /// Number of queues that may still be tried without a placement.
    pub scans_left: usize,
    /// Task sizes that fit on no worker.
    unplaceable: Vec<Resources>,
    /// Processors kept free for urgent work, in millicores.
    pub headroom_cpu_milli: u64,
}

impl Round {
    /// Returns whether a task of that size or a smaller one was found to fit on no worker.
    fn fits_nowhere(&self, need: &Resources) -> bool {
        self.unplaceable.iter().any(|size| size.fits_in(need))
    }
}

/// Result of offering a queue's head.
enum Offer {
    Placed(usize),
    NoCapacity,
    /// The free resources do not suffice beside the headroom for urgent work. They add up if no
    /// queue further back takes them.
    HeadroomReached,
    /// The queue was removed from the order or moved within it.
    Reordered,
}

impl Scheduler {
    pub(super) fn place_all(&mut self, now: Time, limit: usize, actions: &mut Vec<Action>) {
        let mut round = Round {
            now,
            remaining: limit,
            scans_left: self.config.max_scan,
            unplaceable: Vec::new(),
            headroom_cpu_milli: self.headroom_cpu_milli(now),
        };
        self.serve_queues(Rank::Urgent, &mut round, actions);
        self.preempt(&round);
        self.serve_claims(&mut round, actions);
        self.fill_hold(&mut round, actions);
        self.serve_queues(Rank::OverShare, &mut round, actions);
    }

    /// Returns the headroom for urgent work: some standard deviations of what it holds, assuming
    /// that its tasks arrive independently of each other.
    fn headroom_cpu_milli(&self, now: Time) -> u64 {
        let is_recent = |seen: Time| now.since(seen) <= self.config.urgent_headroom_period;
        if !self.last_urgent_submit.is_some_and(is_recent) {
            return 0;
        }
        let permille = u64::from(self.config.urgent_reserve_permille);
        let max = u64::from(self.capacity.cpu_milli) * permille / 1_000;
        let Some(size) = self.urgent_cpu_milli.checked_div(self.urgent_placed) else {
            return max;
        };
        let held = self.urgent_mean_cpu_milli.max(self.urgent_cpu_milli as f64);
        let deviation = (held * size as f64).sqrt();
        max.min((deviation * f64::from(self.config.urgent_headroom_deviations)) as u64)
    }

    /// Updates the average of what urgent work holds; has to be called before that changes.
    pub(super) fn update_urgent_mean(&mut self, now: Time) {
        let half_life_s = self.config.usage_half_life.as_secs_f64();
        let half_lives = now.since(self.urgent_averaged_at).as_secs_f64() / half_life_s;
        let held = self.urgent_cpu_milli as f64;
        self.urgent_mean_cpu_milli =
            held + (self.urgent_mean_cpu_milli - held) * (-half_lives).exp2();
        self.urgent_averaged_at = now;
    }

    /// Serves the queues in order, down to rank `last`.
    fn serve_queues(&mut self, last: Rank, round: &mut Round, actions: &mut Vec<Action>) {
        let mut after: Option<OrderKey> = None;
        while round.remaining > 0 && round.scans_left > 0 && self.any_head_may_fit() {
            let Some(key) = self.next_key(after).filter(|key| key.rank <= last) else {
                return;
            };
            match self.offer_head(key, round, actions) {
                Offer::Placed(count) => round.remaining = round.remaining.saturating_sub(count),
                Offer::Reordered => {}
                Offer::HeadroomReached => return,
                Offer::NoCapacity => {
                    round.scans_left -= 1;
                    after = Some(key);
                }
            }
        }
    }

    fn any_head_may_fit(&self) -> bool {
        let smallest = self.heads_by_cpu_milli.first_key_value();
        let may_fit = smallest.is_some_and(|(&cpu, _)| cpu <= self.free_capacity.max_cpu_milli());
        may_fit || (smallest.is_some() && !self.due_probes.is_empty())
    }

    fn next_key(&self, after: Option<OrderKey>) -> Option<OrderKey> {
        use std::ops::Bound::{Excluded, Unbounded};
        match after {
            None => self.queue_order.first().copied(),
            Some(after) => self
                .queue_order
                .range((Excluded(after), Unbounded))
                .next()
                .copied(),
        }
    }

    fn offer_head(&mut self, key: OrderKey, round: &mut Round, actions: &mut Vec<Action>) -> Offer {
        let id = key.queue;
        let head = self.queues[id].head;
        let current = head.filter(|head| self.is_current(head));
        let Some(head) = current else {
            self.reorder(id, round.now);
            return Offer::Reordered;
        };
        let job = &self.jobs[head.job];
        if job.spec.all_at_once {
            return self.offer_gang(key, head, round, actions);
        }
        let (expected_ms, team) = (job.spec.expected_ms, self.queues[id].team);
        if let Some(blocked_by) = self.block_reason(team, &head.need, 1, expected_ms) {
            self.queues[id].blocked_by = Some(blocked_by);
            self.reorder(id, round.now);
            return Offer::Reordered;
        }
        if key.rank > Rank::UrgentReserve && self.must_keep_headroom(&head, round) {
            return Offer::HeadroomReached;
        }
        let Some(worker) = self.find_worker(&head, round) else {
            if round.fits_nowhere(&head.need) {
                self.claim_for(id, head, round.now);
            }
            return Offer::NoCapacity;
        };
        actions.push(self.place_next(head, worker, round.now));
        Offer::Placed(1)
    }

    fn is_current(&self, head: &Head) -> bool {
        self.jobs
            .get(head.job)
            .is_some_and(|job| job.ready_tasks() > 0)
    }

    fn offer_gang(
        &mut self,
        key: OrderKey,
        head: Head,
        round: &mut Round,
        actions: &mut Vec<Action>,
    ) -> Offer {
        let id = key.queue;
        let count = self.jobs[head.job].ready_tasks();
        let expected_ms = self.jobs[head.job].spec.expected_ms;
        let team = self.queues[id].team;
        if let Some(blocked_by) = self.block_reason(team, &head.need, count, expected_ms) {
            self.queues[id].blocked_by = Some(blocked_by);
            self.reorder(id, round.now);
            return Offer::Reordered;
        }
        match self.place_gang(head, count, round, actions) {
            Some(placed) => Offer::Placed(placed),
            None => {
                self.start_hold(id, head, count, round);
                Offer::NoCapacity
            }
        }
    }

    /// Returns whether placing a queue's head would use the headroom for urgent work. A head that
    /// cannot be placed otherwise, because it is very large or has waited very long, may use it.
    fn must_keep_headroom(&self, head: &Head, round: &Round) -> bool {
        let wanted = round.headroom_cpu_milli + u64::from(head.need.cpu_milli);
        if self.free_capacity.usable_cpu_milli() >= wanted || !self.due_probes.is_empty() {
            return false;
        }
        let job = &self.jobs[head.job];
        let waited = round.now.since(job.since);
        let is_starving = self.queues[job.queue].placed == 0 && waited >= self.config.aging;
        let is_large = wanted * 2 > u64::from(self.capacity.cpu_milli);
        !is_starving && !is_large
    }

    fn find_worker(&self, head: &Head, round: &mut Round) -> Option<WorkerKey> {
        let need = &head.need;
        let spec = &self.jobs[head.job].spec;
        let may_probe = spec.idempotent && spec.urgency != Urgency::Urgent;
        if may_probe && let Some(worker) = self.worker_to_probe(need) {
            return Some(worker);
        }
        if round.fits_nowhere(need) {
            return None;
        }
        let worker = match spec.lifetime {
            Lifetime::Service => self.least_crowded_worker(head.job, need),
            Lifetime::Batch => self.free_capacity.best_fit(need),
        };
        if worker.is_none() {
            round.unplaceable.push(*need);
        }
        worker
    }

    /// Returns the worker with the fewest tasks of the job in its zone, then in its rack, then on
    /// itself.
    fn least_crowded_worker(&self, key: JobKey, need: &Resources) -> Option<WorkerKey> {
        let mut placed = Vec::new();
        for task in &self.jobs[key].tasks {
            if let TaskStatus::Placed(attempt) = task.status {
                let worker = self.attempts[attempt].worker;
                placed.extend(self.workers.get(worker).map(|known| (worker, known)));
            }
        }
        let crowding = |(key, free): &(WorkerKey, &Resources)| {
            let here = &self.workers[*key];
            let count = |same: &dyn Fn(&(WorkerKey, &super::state::Worker)) -> bool| {
                placed.iter().filter(|other| same(other)).count()
            };
            let zone = count(&|other| other.1.zone == here.zone);
            let rack = count(&|other| other.1.rack == here.rack);
            let own = count(&|other| other.0 == *key);
            (zone, rack, own, free.cpu_milli)
        };
        let best = self.free_capacity.fitting(need).min_by_key(crowding);
        best.map(|(worker, _)| worker)
    }

    /// Places the next task of a queue's head.
    pub(super) fn place_next(&mut self, head: Head, worker: WorkerKey, now: Time) -> Action {
        let index = self.take_task(head.job);
        self.start_attempt(head.job, index, worker, head.need, now);
        self.reorder(self.jobs[head.job].queue, now);
        Action::Place {
            job: head.job,
            index,
            worker,
            reserved: head.need,
        }
    }

    /// Takes the next ready task of a job, which must have one.
    pub(super) fn take_task(&mut self, key: JobKey) -> u32 {
        self.remove_queued(key, 1);
        let job = &mut self.jobs[key];
        let index = job.take_ready().expect("the job has a task to place");
        let is_first_attempt = job.tasks[index as usize].failures == 0;
        let kind = self.queues[job.queue].kind;
        if is_first_attempt {
            self.kinds[kind].retry_budget.deposit();
        }
        index
    }

    /// Reserves the resources for a task on a worker and records the attempt.
    pub(super) fn start_attempt(
        &mut self,
        key: JobKey,
        index: u32,
        worker_key: WorkerKey,
        reserved: Resources,
        now: Time,
    ) {
        self.placement_count += 1;
        let id = self.insert_attempt(key, index, worker_key, reserved, now);
        let job = &mut self.jobs[key];
        job.placed += 1;
        job.tasks[index as usize].status = TaskStatus::Placed(id);
        let queue_id = job.queue;
        self.update_usage(queue_id, now);
        let queue = &mut self.queues[queue_id];
        queue.held = queue.held.plus(&reserved);
        queue.placed += 1;
        queue.last_placement = self.placement_count;
        let team = &mut self.teams[queue.team];
        team.held = team.held.plus(&reserved);
        if queue.urgency == Urgency::Urgent {
            self.update_urgent_mean(now);
            self.urgent_cpu_milli += u64::from(reserved.cpu_milli);
            self.urgent_placed += 1;
        }
        let queue = &self.queues[queue_id];
        let kind = &mut self.kinds[queue.kind];
        kind.held = kind.held.plus(&reserved);
        kind.placed += 1;
        kind.start_rate.record(1, now);
        self.update_active(queue_id);
        self.prepay_first_slice(id, now);
        if self.workers.contains_key(worker_key) {
            self.reindex(worker_key);
        }
    }

    fn insert_attempt(
        &mut self,
        key: JobKey,
        index: u32,
        worker_key: WorkerKey,
        reserved: Resources,
        now: Time,
    ) -> AttemptId {
        let job = &self.jobs[key];
        let preemptible = job.spec.urgency == Urgency::Patient && job.is_interruptible();
        let id = self.attempts.vacant_key();
        let mut is_probe = false;
        if let Some(worker) = self.workers.get_mut(worker_key) {
            worker.reserved = worker.reserved.plus(&reserved);
            worker.attempts.push(id);
            if preemptible {
                worker.preemptible = worker.preemptible.plus(&reserved);
            }
            if job.spec.lifetime == Lifetime::Service {
                worker.service_reserved = worker.service_reserved.plus(&reserved);
            }
            is_probe = worker.health.is_set_aside();
            worker.health.probe_started();
        }
        if is_probe {
            self.due_probes.retain(|&due| due != worker_key);
        }
        self.attempts.insert(Attempt {
            serial: self.placement_count,
            job: key,
            index,
            worker: worker_key,
            reserved,
            started: now,
            stage: Stage::Running,
            is_probe,
            peak_usage: Resources::default(),
            prepaid_core_ms: 0,
            accrued_core_ms: 0,
            charged_from: now,
            paid_until: now,
            is_inherited: false,
            ends_unpaid: false,
            preemptible,
        })
    }
}
