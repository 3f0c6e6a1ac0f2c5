//! Placement: queues in order, each task on the worker where it fits best.

use super::super::{Action, JobKey, WorkerKey};
use super::Scheduler;
use super::state::{Head, OrderKey, Rank, Run, RunId, Stage, TaskState};
use crate::model::{Lifetime, Resources, Time, Urgency};

/// What is kept over one call of `decide`.
pub(super) struct Round {
    pub now: Time,
    /// Tasks that may still be placed.
    pub left: usize,
    /// Queues that may still be looked at in vain.
    pub scans: usize,
    /// Sizes that fit on no worker.
    failed: Vec<Resources>,
    /// Processors kept free for urgent work, in thousandths of a core.
    pub headroom_cpu_milli: u64,
}

impl Round {
    /// Whether a task of that size or a smaller one was found to fit on no worker.
    fn fits_nowhere(&self, need: &Resources) -> bool {
        self.failed.iter().any(|failed| failed.fits_in(need))
    }
}

/// What came of offering a queue's head.
enum Offer {
    Placed(usize),
    Blocked,
    /// What is free beside the part kept for urgent work does not yet suffice; it adds up if
    /// nothing behind takes it.
    KeptBack,
    /// The queue is out of the order or moved within it.
    Moved,
}

impl Scheduler {
    pub(super) fn place_all(&mut self, now: Time, limit: usize, steps: &mut Vec<Action>) {
        let mut round = Round {
            now,
            left: limit,
            scans: self.limits.max_scan,
            failed: Vec::new(),
            headroom_cpu_milli: self.headroom_cpu_milli(now),
        };
        self.serve(Rank::Urgent, &mut round, steps);
        self.preempt(&round);
        self.serve_claims(&mut round, steps);
        self.fill_hold(&mut round, steps);
        self.serve(Rank::Beyond, &mut round, steps);
    }

    /// What is kept free for urgent work: some standard deviations of what it holds, as if its
    /// tasks arrived independently of each other.
    fn headroom_cpu_milli(&self, now: Time) -> u64 {
        let recent = |seen: Time| now.since(seen) <= self.limits.urgent_memory;
        if !self.urgent_seen.is_some_and(recent) {
            return 0;
        }
        let permille = u64::from(self.limits.urgent_reserve_permille);
        let most = u64::from(self.capacity.cpu_milli) * permille / 1_000;
        let Some(size) = self.urgent_cpu_milli.checked_div(self.urgent_placed) else {
            return most;
        };
        let held = self.urgent_usage.max(self.urgent_cpu_milli as f64);
        let deviation = (held * size as f64).sqrt();
        most.min((deviation * f64::from(self.limits.urgent_safety)) as u64)
    }

    /// Averages what urgent work held until `now`; called before that changes.
    pub(super) fn accrue_urgent(&mut self, now: Time) {
        let half_life_s = self.limits.usage_half_life.as_secs_f64();
        let half_lives = now.since(self.urgent_at).as_secs_f64() / half_life_s;
        let held = self.urgent_cpu_milli as f64;
        self.urgent_usage = held + (self.urgent_usage - held) * (-half_lives).exp2();
        self.urgent_at = now;
    }

    /// Serves queues in order down to `last`.
    fn serve(&mut self, last: Rank, round: &mut Round, steps: &mut Vec<Action>) {
        let mut after: Option<OrderKey> = None;
        while round.left > 0 && round.scans > 0 && self.some_head_may_fit() {
            let Some(key) = self.next_key(after).filter(|key| key.rank <= last) else {
                return;
            };
            match self.offer(key, round, steps) {
                Offer::Placed(count) => round.left = round.left.saturating_sub(count),
                Offer::Moved => {}
                Offer::KeptBack => return,
                Offer::Blocked => {
                    round.scans -= 1;
                    after = Some(key);
                }
            }
        }
    }

    fn some_head_may_fit(&self) -> bool {
        let least = self.head_cpu_milli.first_key_value();
        let may_fit = least.is_some_and(|(&cpu, _)| cpu <= self.index.max_cpu_milli());
        may_fit || (least.is_some() && !self.probes.is_empty())
    }

    fn next_key(&self, after: Option<OrderKey>) -> Option<OrderKey> {
        use std::ops::Bound::{Excluded, Unbounded};
        match after {
            None => self.order.first().copied(),
            Some(after) => self
                .order
                .range((Excluded(after), Unbounded))
                .next()
                .copied(),
        }
    }

    fn offer(&mut self, key: OrderKey, round: &mut Round, steps: &mut Vec<Action>) -> Offer {
        let id = key.queue;
        let head = self.queues[id].head;
        let current = head.filter(|head| self.is_current(head));
        let Some(head) = current else {
            self.rekey(id, round.now);
            return Offer::Moved;
        };
        let job = &self.jobs[head.job];
        if job.spec.all_at_once {
            return self.offer_gang(key, head, round, steps);
        }
        let (expected_ms, team) = (job.spec.expected_ms, self.queues[id].team);
        if let Some(parked) = self.parked_by(team, &head.need, 1, expected_ms) {
            self.queues[id].parked = Some(parked);
            self.rekey(id, round.now);
            return Offer::Moved;
        }
        if key.rank > Rank::Reserved && self.keeps_back(&head, round) {
            return Offer::KeptBack;
        }
        let Some(worker) = self.find_worker(&head, round) else {
            if round.fits_nowhere(&head.need) {
                self.claim_for(id, head, round.now);
            }
            return Offer::Blocked;
        };
        steps.push(self.place_next(head, worker, round.now));
        Offer::Placed(1)
    }

    fn is_current(&self, head: &Head) -> bool {
        self.jobs.get(head.job).is_some_and(|job| job.ready() > 0)
    }

    fn offer_gang(
        &mut self,
        key: OrderKey,
        head: Head,
        round: &mut Round,
        steps: &mut Vec<Action>,
    ) -> Offer {
        let id = key.queue;
        let count = self.jobs[head.job].ready();
        let expected_ms = self.jobs[head.job].spec.expected_ms;
        let team = self.queues[id].team;
        if let Some(parked) = self.parked_by(team, &head.need, count, expected_ms) {
            self.queues[id].parked = Some(parked);
            self.rekey(id, round.now);
            return Offer::Moved;
        }
        match self.place_gang(head, count, round, steps) {
            Some(placed) => Offer::Placed(placed),
            None => {
                self.start_hold(id, head, count, round);
                Offer::Blocked
            }
        }
    }

    /// Whether a queue's head would take what is kept free for urgent work. A head that nothing
    /// else can help, since it is very large or has waited very long, may take it.
    fn keeps_back(&self, head: &Head, round: &Round) -> bool {
        let wanted = round.headroom_cpu_milli + u64::from(head.need.cpu_milli);
        if self.index.roomy_cpu_milli() >= wanted || !self.probes.is_empty() {
            return false;
        }
        let job = &self.jobs[head.job];
        let waited = round.now.since(job.since);
        let starves = self.queues[job.queue].placed == 0 && waited >= self.limits.aging;
        let is_large = wanted * 2 > u64::from(self.capacity.cpu_milli);
        !starves && !is_large
    }

    fn find_worker(&self, head: &Head, round: &mut Round) -> Option<WorkerKey> {
        let need = &head.need;
        let spec = &self.jobs[head.job].spec;
        let may_probe = spec.idempotent && spec.urgency != Urgency::Urgent;
        if may_probe && let Some(worker) = self.probe_for(need) {
            return Some(worker);
        }
        if round.fits_nowhere(need) {
            return None;
        }
        let worker = match spec.lifetime {
            Lifetime::Service => self.spread(head.job, need),
            Lifetime::Batch => self.index.best_fit(need),
        };
        if worker.is_none() {
            round.failed.push(*need);
        }
        worker
    }

    /// The worker whose zone, rack and self have the fewest tasks of the job.
    fn spread(&self, key: JobKey, need: &Resources) -> Option<WorkerKey> {
        let mut placed = Vec::new();
        for task in &self.jobs[key].tasks {
            if let TaskState::Placed(run) = task.state {
                let worker = self.runs[run].worker;
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
        let best = self.index.fitting(need).min_by_key(crowding);
        best.map(|(worker, _)| worker)
    }

    /// Places the next task of a queue's head.
    pub(super) fn place_next(&mut self, head: Head, worker: WorkerKey, now: Time) -> Action {
        let index = self.take_task(head.job);
        self.start_run(head.job, index, worker, head.need, now);
        self.rekey(self.jobs[head.job].queue, now);
        Action::Place {
            job: head.job,
            index,
            worker,
            reserved: head.need,
        }
    }

    /// Takes the next task of a job that has one out of its waiting tasks.
    pub(super) fn take_task(&mut self, key: JobKey) -> u32 {
        self.uncount_queued(key, 1);
        let job = &mut self.jobs[key];
        let index = job.take_ready().expect("the job has a task to place");
        let first = job.tasks[index as usize].failures == 0;
        let kind = self.queues[job.queue].kind;
        if first {
            self.kinds[kind].budget.started();
        }
        index
    }

    /// Reserves what a task needs on a worker and notes that it runs there.
    pub(super) fn start_run(
        &mut self,
        key: JobKey,
        index: u32,
        worker_key: WorkerKey,
        reserved: Resources,
        now: Time,
    ) {
        self.served += 1;
        let id = self.insert_run(key, index, worker_key, reserved, now);
        let job = &mut self.jobs[key];
        job.placed += 1;
        job.tasks[index as usize].state = TaskState::Placed(id);
        let queue_id = job.queue;
        self.accrue(queue_id, now);
        let queue = &mut self.queues[queue_id];
        queue.held = queue.held.plus(&reserved);
        queue.placed += 1;
        queue.served = self.served;
        let team = &mut self.teams[queue.team];
        team.held = team.held.plus(&reserved);
        if queue.urgency == Urgency::Urgent {
            self.accrue_urgent(now);
            self.urgent_cpu_milli += u64::from(reserved.cpu_milli);
            self.urgent_placed += 1;
        }
        let queue = &self.queues[queue_id];
        let kind = &mut self.kinds[queue.kind];
        kind.held = kind.held.plus(&reserved);
        kind.placed += 1;
        kind.starts.add(1, now);
        self.count_active(queue_id);
        self.take_first_slice(id, now);
        if self.workers.contains_key(worker_key) {
            self.reindex(worker_key);
        }
    }

    fn insert_run(
        &mut self,
        key: JobKey,
        index: u32,
        worker_key: WorkerKey,
        reserved: Resources,
        now: Time,
    ) -> RunId {
        let job = &self.jobs[key];
        let yieldable = job.spec.urgency == Urgency::Patient && job.can_yield();
        let id = self.runs.vacant_key();
        let mut probe = false;
        if let Some(worker) = self.workers.get_mut(worker_key) {
            worker.reserved = worker.reserved.plus(&reserved);
            worker.runs.push(id);
            if yieldable {
                worker.yieldable = worker.yieldable.plus(&reserved);
            }
            if job.spec.lifetime == Lifetime::Service {
                worker.pinned = worker.pinned.plus(&reserved);
            }
            probe = worker.health.is_aside();
            worker.health.probe();
        }
        if probe {
            self.probes.retain(|&due| due != worker_key);
        }
        self.runs.insert(Run {
            serial: self.served,
            job: key,
            index,
            worker: worker_key,
            reserved,
            started: now,
            stage: Stage::Calm,
            probe,
            peak: Resources::default(),
            committed_core_ms: 0,
            accrued_core_ms: 0,
            charged_from: now,
            paid_until: now,
            is_inherited: false,
            ends_unpaid: false,
            yieldable,
        })
    }
}
