//! Order of the queues: weighted fair sharing by recent usage, and by urgency among the queues
//! within their fair share.

use std::time::Duration;

use super::super::JobKey;
use super::Scheduler;
use super::state::{Head, KindId, OrderKey, QueueId, Rank};
use crate::model::{Resources, Time, Urgency};

/// The total capacity, as a share in billionths.
const FULL_SHARE: u64 = 1_000_000_000;
/// The currently held share, divided by this, is added to the usage, so that a burst takes effect
/// at once.
const BURST_DIVISOR: u64 = 24;
/// Time without usage that is assumed before the history of a kind, in seconds.
const HISTORY_PRIOR_S: f64 = 300.0;
/// Interval between two refreshes of queues.
const REFRESH_INTERVAL: Duration = Duration::from_millis(20);
/// Number of queues per refresh.
const REFRESH_BATCH: usize = 16;

impl Scheduler {
    /// Returns the dominant share of `held`: its largest fraction of the capacity in any dimension,
    /// in billionths.
    pub(super) fn dominant_share(&self, held: &Resources) -> u64 {
        let share = |held: u32, all: u32| u64::from(held) * FULL_SHARE / u64::from(all.max(1));
        share(held.cpu_milli, self.capacity.cpu_milli)
            .max(share(held.memory_mib, self.capacity.memory_mib))
            .max(share(held.accelerators, self.capacity.accelerators))
    }

    /// Updates the average usage of a queue; has to be called before its held resources change.
    pub(super) fn update_usage(&mut self, id: QueueId, now: Time) {
        let usage = self.current_usage(id, now);
        self.update_history(self.queues[id].kind, now);
        let queue = &mut self.queues[id];
        queue.usage = usage;
        queue.usage_at = now;
    }

    /// Adds what a kind held until `now` to its history, unless it has more queued than placed
    /// tasks.
    fn update_history(&mut self, id: KindId, now: Time) {
        let held = self.dominant_share(&self.kinds[id].held) as f64;
        let half_life_s = self.config.history_half_life.as_secs_f64();
        let kind = &mut self.kinds[id];
        let elapsed_s = now.since(kind.history_at).as_secs_f64();
        kind.history_at = now;
        if kind.queued > kind.placed {
            return;
        }
        let kept = (-elapsed_s / half_life_s).exp2();
        kind.history_share_s = kind.history_share_s * kept + held * elapsed_s;
        kind.history_s = kind.history_s * kept + elapsed_s;
    }

    /// Returns whether a kind holds less than it is entitled to by its history.
    fn is_within_history(&self, id: KindId) -> bool {
        let kind = &self.kinds[id];
        let average = kind.history_share_s / (kind.history_s + HISTORY_PRIOR_S);
        let entitled = average as u64 * u64::from(self.config.history_share_factor);
        self.dominant_share(&kind.held) < entitled
    }

    /// Returns the decayed average of a queue's dominant share, in billionths.
    fn current_usage(&self, id: QueueId, now: Time) -> f64 {
        let queue = &self.queues[id];
        let half_life_s = self.config.usage_half_life.as_secs_f64();
        let half_lives = now.since(queue.usage_at).as_secs_f64() / half_life_s;
        let held = self.dominant_share(&queue.held) as f64;
        held + (queue.usage - held) * (-half_lives).exp2()
    }

    /// Refreshes some queues, since their usage decays and their heads age without any event.
    pub(super) fn refresh_queues(&mut self, now: Time) {
        if now.since(self.last_refresh) < REFRESH_INTERVAL || self.queues.is_empty() {
            return;
        }
        self.last_refresh = now;
        for _ in 0..REFRESH_BATCH.min(self.queues.len()) {
            self.next_refresh = (self.next_refresh + 1) % self.queues.len();
            if self.queues[self.next_refresh].order_key.is_some() {
                self.reorder(self.next_refresh, now);
            }
        }
    }

    /// Updates the head of a queue and its position in the order.
    pub(super) fn reorder(&mut self, id: QueueId, now: Time) {
        if let Some(key) = self.queues[id].order_key.take() {
            self.queue_order.remove(&key);
        }
        self.pop_finished_jobs(id);
        self.update_active(id);
        let head = self.find_head(id);
        self.set_head(id, head);
        if head.is_some() && self.queues[id].blocked_by.is_none() {
            let key = self.order_key_of(id, now);
            self.queues[id].order_key = Some(key);
            self.queue_order.insert(key);
        }
    }

    fn pop_finished_jobs(&mut self, id: QueueId) {
        while let Some(&key) = self.queues[id].jobs.front() {
            let queue = &mut self.queues[id];
            match self.jobs.get_mut(key) {
                Some(job) if job.ready_tasks() > 0 => return,
                Some(job) => {
                    job.in_queue = false;
                    queue.cancelled_jobs -= usize::from(job.cancelled);
                }
                None => queue.cancelled_jobs = queue.cancelled_jobs.saturating_sub(1),
            }
            queue.jobs.pop_front();
        }
    }

    fn find_head(&self, id: QueueId) -> Option<Head> {
        let job = *self.queues[id].jobs.front()?;
        let need = self.reservation_of(job);
        Some(Head { job, need })
    }

    /// Returns the resources to reserve for a task of a job: the declared ones, or the estimated
    /// ones if they fit into the quota and on a worker.
    pub(super) fn reservation_of(&self, key: JobKey) -> Resources {
        let job = &self.jobs[key];
        let declared = job.spec.resources;
        let queue = &self.queues[job.queue];
        let estimated = self.kinds[queue.kind]
            .usage_estimator
            .reservation(&declared);
        let quota = &self.teams[queue.team].limits.quota;
        let is_possible = estimated.fits_in(quota)
            && self
                .workers_by_capacity
                .keys()
                .any(|c| estimated.fits_in(c));
        if is_possible { estimated } else { declared }
    }

    fn set_head(&mut self, id: QueueId, head: Option<Head>) {
        let before = std::mem::replace(&mut self.queues[id].head, head);
        if let Some(before) = before {
            self.remove_head_cpu(before.need.cpu_milli);
        }
        if let Some(head) = head {
            *self
                .heads_by_cpu_milli
                .entry(head.need.cpu_milli)
                .or_default() += 1;
        }
    }

    fn remove_head_cpu(&mut self, cpu_milli: u32) {
        if let Some(count) = self.heads_by_cpu_milli.get_mut(&cpu_milli) {
            *count -= 1;
            if *count == 0 {
                self.heads_by_cpu_milli.remove(&cpu_milli);
            }
        }
    }

    /// Updates whether a queue counts as active in fair sharing.
    pub(super) fn update_active(&mut self, id: QueueId) {
        let queue = &mut self.queues[id];
        let active = queue.placed > 0 || !queue.jobs.is_empty();
        if active == queue.active {
            return;
        }
        queue.active = active;
        let urgent = u64::from(queue.urgency == Urgency::Urgent);
        let team = &mut self.teams[queue.team];
        let weight = u64::from(team.limits.weight.max(1));
        if active {
            team.active_queues += 1;
            self.active_urgent_queues += urgent;
            self.active_weight += if team.active_queues == 1 { weight } else { 0 };
        } else {
            team.active_queues -= 1;
            self.active_urgent_queues -= urgent;
            self.active_weight -= if team.active_queues == 0 { weight } else { 0 };
        }
    }

    fn order_key_of(&self, id: QueueId, now: Time) -> OrderKey {
        let queue = &self.queues[id];
        let team = &self.teams[queue.team];
        let held = self.dominant_share(&queue.held);
        let weight = u64::from(team.limits.weight.max(1));
        let usage = self.current_usage(id, now) as u64 + held / BURST_DIVISOR;
        let per_weight = |share: u64| share * u64::from(team.active_queues.max(1)) / weight;
        OrderKey {
            rank: self.rank_of(id, held, per_weight(held), now),
            share: per_weight(usage),
            last_placement: queue.last_placement,
            queue: id,
        }
    }

    fn rank_of(&self, id: QueueId, held: u64, share: u64, now: Time) -> Rank {
        let queue = &self.queues[id];
        let reserved = FULL_SHARE / 1_000 * u64::from(self.config.urgent_reserve_permille);
        let reserved = reserved * u64::from(self.config.urgent_burst_factor)
            / self.active_urgent_queues.max(1);
        if queue.urgency == Urgency::Urgent && (queue.placed == 0 || held < reserved) {
            return Rank::UrgentReserve;
        }
        let has_aged = self.has_aged(queue.head, now);
        let is_within_history = queue.placed == 0 || has_aged || self.is_within_history(queue.kind);
        let is_fair = share < FULL_SHARE / self.active_weight.max(1);
        match (queue.urgency, is_within_history, is_fair) {
            (Urgency::Urgent, true, _) => Rank::Urgent,
            (Urgency::Normal, true, _) => Rank::Normal,
            (Urgency::Patient, true, _) if has_aged => Rank::Normal,
            (Urgency::Patient, true, _) => Rank::Patient,
            (Urgency::Urgent, false, true) => Rank::FairUrgent,
            (Urgency::Normal, false, true) => Rank::FairNormal,
            (Urgency::Patient, false, true) => Rank::FairPatient,
            (_, false, false) => Rank::OverShare,
        }
    }

    fn has_aged(&self, head: Option<Head>, now: Time) -> bool {
        head.is_some_and(|head| now.since(self.jobs[head.job].since) >= self.config.aging)
    }
}
