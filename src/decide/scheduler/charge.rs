//! Charging of run time: slices of it are prepaid from the team's balance.
//!
//! The first slice covers the declared time. Renewals for running tasks take precedence over
//! starts.

use std::time::Duration;

use super::super::{BalanceCredit, TeamLimits, TeamSpending};
use super::Scheduler;
use super::state::{Attempt, AttemptId, BlockReason, QueueId, TeamId};
use super::timers::Timer;
use crate::model::{Resources, TeamName, Time};

/// Minimum length of a renewed slice.
const MIN_SLICE_MS: u64 = 1_000;
/// How long stopping a task may take.
const STOP_TIME_MS: u64 = 1_000;
/// A renewed slice is the time that the task has run, divided by this.
const RENEWAL_DIVISOR: u64 = 5;
/// Minimum time that is prepaid beyond the declared time, for the calls to the worker at start and
/// end.
const MIN_MARGIN_MS: u64 = 500;
/// The declared time, divided by this, is prepaid beyond it.
const MARGIN_DIVISOR: u64 = 10;
/// How long before the end of the paid time the next slice is requested.
const RENEW_MARGIN_MS: u64 = 500;
/// Minimum time by which a slice has to extend the paid time.
const MIN_EXTENSION_MS: u64 = 100;
/// How long a task that an earlier owner started may run before it has to be paid here.
const INHERITED_GRACE_MS: u64 = 5_000;

/// Returns the cost of `cpu_milli` millicores for `ms` milliseconds, in core-milliseconds.
fn cost_core_ms(cpu_milli: u32, ms: u64) -> u64 {
    (u64::from(cpu_milli).saturating_mul(ms)).div_ceil(1_000)
}

/// Returns the cost of a slice of `ms` milliseconds, including the time to stop the task.
fn slice_cost_core_ms(cpu_milli: u32, ms: u64) -> u64 {
    cost_core_ms(cpu_milli, ms.saturating_add(STOP_TIME_MS))
}

/// Returns the longest slice that `core_ms` pays for, including the time to stop the task.
fn payable_ms(cpu_milli: u32, core_ms: u64) -> u64 {
    let ms = core_ms.saturating_mul(1_000) / u64::from(cpu_milli.max(1));
    ms.saturating_sub(STOP_TIME_MS)
}

/// Cost and processors of a start that the balance does not pay for.
struct BlockedStart {
    core_ms: u64,
    cpu_milli: u32,
}

impl Attempt {
    /// Returns the cost of the attempt until `now`, in core-milliseconds.
    pub fn cost_core_ms(&self, now: Time) -> u64 {
        let ms = now.since(self.charged_from).as_millis() as u64;
        self.accrued_core_ms + cost_core_ms(self.reserved.cpu_milli, ms)
    }
}

impl Scheduler {
    pub(super) fn set_team_limits(&mut self, name: &TeamName, limits: &TeamLimits, now: Time) {
        let id = self.team_id(name);
        let team = &mut self.teams[id];
        if team.active_queues > 0 {
            self.active_weight -= u64::from(team.limits.weight.max(1));
            self.active_weight += u64::from(limits.weight.max(1));
        }
        let balance_core_ms = match team.is_configured {
            true => team.limits.balance_core_ms,
            false => limits.balance_core_ms,
        };
        team.limits = TeamLimits {
            balance_core_ms,
            ..limits.clone()
        };
        team.is_configured = true;
        self.unblock(id, now);
    }

    pub(super) fn add_team_credit(&mut self, name: &TeamName, credit: &BalanceCredit, now: Time) {
        let id = self.team_id(name);
        let team = &mut self.teams[id];
        let balance = &mut team.limits.balance_core_ms;
        *balance = balance.saturating_add(credit.core_ms);
        team.more_available = credit.more_available;
        let previous = team.max_cpu_milli;
        team.max_cpu_milli = credit.max_cpu_milli.or(previous);
        if credit.core_ms > 0 || team.max_cpu_milli > previous {
            self.unblock(id, now);
        }
    }

    pub(super) fn reclaim_team_balance(&mut self, name: &TeamName) -> u64 {
        let id = self.team_id(name);
        let left = self.available_balance(id);
        self.teams[id].limits.balance_core_ms -= left;
        left
    }

    pub(super) fn spending_of_teams(&self, now: Time) -> Vec<TeamSpending> {
        let mut running = vec![0; self.teams.len()];
        for (_, attempt) in &self.attempts {
            let team = self.queues[self.jobs[attempt.job].queue].team;
            running[team] += attempt.cost_core_ms(now);
        }
        let teams = self.team_ids.iter().map(|(name, &id)| TeamSpending {
            team: name.clone(),
            spent_core_ms: self.teams[id].spent_core_ms + running[id],
            left_core_ms: self.available_balance(id),
            held_cpu_milli: self.teams[id].held.cpu_milli,
            has_queued_tasks: self.teams[id].queued > 0,
            renewal_shortfall_core_ms: self.renewal_shortfall(id, now),
            blocked_start_costs_core_ms: self
                .blocked_starts(id)
                .map(|start| start.core_ms)
                .collect(),
            max_blocked_start_cpu_milli: self
                .blocked_starts(id)
                .map(|start| start.cpu_milli)
                .max()
                .unwrap_or(0),
            max_cpu_milli: self.teams[id].max_cpu_milli,
        });
        teams.collect()
    }

    /// Returns the missing balance for the requested slices of a team's running tasks.
    fn renewal_shortfall(&self, team: TeamId, now: Time) -> u64 {
        let shortfall = |&id: &AttemptId| {
            let attempt = &self.attempts[id];
            let ms = self.next_slice_ms(attempt, now) + STOP_TIME_MS;
            cost_core_ms(attempt.reserved.cpu_milli, ms).saturating_sub(attempt.prepaid_core_ms)
        };
        self.teams[team].unpaid_attempts.iter().map(shortfall).sum()
    }

    /// Returns the next start of each queue that is blocked by the team's balance.
    fn blocked_starts(&self, team: TeamId) -> impl Iterator<Item = BlockedStart> {
        let start = |&id: &QueueId| {
            let queue = &self.queues[id];
            let head = queue.head?;
            let job = self.jobs.get(head.job)?;
            let count = match job.spec.all_at_once {
                true => job.ready_tasks(),
                false => 1,
            };
            let cost = self.first_slice_core_ms(&head.need, job.spec.expected_ms);
            let is_blocked =
                queue.blocked_by == Some(BlockReason::Balance) && job.ready_tasks() > 0;
            is_blocked.then_some(BlockedStart {
                core_ms: cost.saturating_mul(u64::from(count)),
                cpu_milli: head.need.cpu_milli.saturating_mul(count),
            })
        };
        self.teams[team].queues.iter().filter_map(start)
    }

    /// Renews the requested slices of running tasks and then unblocks the queues of a team, after
    /// its limits, its balance or its held resources have changed.
    pub(super) fn unblock(&mut self, team: TeamId, now: Time) {
        for id in self.teams[team].unpaid_attempts.clone() {
            self.renew_slice(id, now);
        }
        for i in 0..self.teams[team].queues.len() {
            let queue = self.teams[team].queues[i];
            if self.queues[queue].blocked_by.take().is_some() {
                self.reorder(queue, now);
            }
        }
    }

    fn first_slice_ms(&self, expected_ms: u64) -> u64 {
        let ms = match expected_ms {
            0 => self.config.balance_slice.as_millis() as u64,
            ms => ms,
        };
        ms.saturating_add(MIN_MARGIN_MS.max(ms / MARGIN_DIVISOR))
    }

    /// Returns the length of the next slice of an attempt. An attempt that was never paid for here
    /// gets a first slice.
    fn next_slice_ms(&self, attempt: &Attempt, now: Time) -> u64 {
        if attempt.is_inherited {
            return self.first_slice_ms(self.jobs[attempt.job].spec.expected_ms);
        }
        let ran_ms = now.since(attempt.started).as_millis() as u64;
        let max_ms = self.config.balance_slice.as_millis() as u64;
        (ran_ms / RENEWAL_DIVISOR).clamp(MIN_SLICE_MS, max_ms.max(MIN_SLICE_MS))
    }

    /// Returns the cost of a task's first slice, in core-milliseconds.
    pub(super) fn first_slice_core_ms(&self, need: &Resources, expected_ms: u64) -> u64 {
        slice_cost_core_ms(need.cpu_milli, self.first_slice_ms(expected_ms))
    }

    pub(super) fn available_balance(&self, team: TeamId) -> u64 {
        let team = &self.teams[team];
        team.limits
            .balance_core_ms
            .saturating_sub(team.prepaid_core_ms)
    }

    /// Returns what prevents a team from holding `count` more tasks that need `need` each.
    pub(super) fn block_reason(
        &self,
        team: TeamId,
        need: &Resources,
        count: u32,
        expected_ms: u64,
    ) -> Option<BlockReason> {
        let added = multiply(need, count);
        let limits = &self.teams[team].limits;
        if !self.teams[team].held.plus(&added).fits_in(&limits.quota) {
            return Some(BlockReason::Quota);
        }
        let cost = self.first_slice_core_ms(need, expected_ms);
        let cost = cost.saturating_mul(u64::from(count));
        let max_cpu_milli = self.teams[team].max_cpu_milli.unwrap_or(u32::MAX);
        let held = self.teams[team].held.plus(&added);
        let is_blocked =
            !self.teams[team].unpaid_attempts.is_empty() || held.cpu_milli > max_cpu_milli;
        (is_blocked || cost > self.available_balance(team)).then_some(BlockReason::Balance)
    }

    /// Prepays the first slice of an attempt. An attempt of an earlier owner may be restored before
    /// that owner's drawn balance is taken over; its slice is then requested.
    pub(super) fn prepay_first_slice(&mut self, id: AttemptId, now: Time) {
        let attempt = self.attempts[id];
        let slice_ms = self.first_slice_ms(self.jobs[attempt.job].spec.expected_ms);
        let team = self.queues[self.jobs[attempt.job].queue].team;
        if slice_cost_core_ms(attempt.reserved.cpu_milli, slice_ms) <= self.available_balance(team)
        {
            return self.prepay_slice(id, team, slice_ms, now);
        }
        let attempt = &mut self.attempts[id];
        attempt.is_inherited = true;
        attempt.paid_until = now + Duration::from_millis(INHERITED_GRACE_MS);
        self.request_slice(id, team);
    }

    /// Prepays a slice of an attempt, including the cost of stopping it, and sets the timer for its
    /// renewal.
    fn prepay_slice(&mut self, id: AttemptId, team: TeamId, slice_ms: u64, now: Time) {
        self.prepay(id, team, slice_ms);
        let attempt = &mut self.attempts[id];
        attempt.is_inherited = false;
        attempt.paid_until = now + Duration::from_millis(slice_ms);
        let due = now + Duration::from_millis(slice_ms.saturating_sub(RENEW_MARGIN_MS));
        let timer = Timer::Slice(id, attempt.serial);
        self.teams[team]
            .unpaid_attempts
            .retain(|&other| other != id);
        self.add_timer(due, timer);
    }

    /// Requests the next slice of an attempt and sets the timer for the end of the paid time.
    fn request_slice(&mut self, id: AttemptId, team: TeamId) {
        let unpaid_attempts = &mut self.teams[team].unpaid_attempts;
        if !unpaid_attempts.contains(&id) {
            unpaid_attempts.push(id);
            let attempt = &self.attempts[id];
            self.add_timer(attempt.paid_until, Timer::Slice(id, attempt.serial));
        }
    }

    /// Prepays the cost of `slice_ms` and of stopping from the balance, or as much as is available.
    fn prepay(&mut self, id: AttemptId, team: TeamId, slice_ms: u64) {
        let cost = slice_cost_core_ms(self.attempts[id].reserved.cpu_milli, slice_ms);
        let cost = cost.min(self.available_balance(team));
        self.attempts[id].prepaid_core_ms += cost;
        self.teams[team].prepaid_core_ms += cost;
    }

    pub(super) fn slice_due(&mut self, id: AttemptId, serial: u64, now: Time) {
        let renew_by = now + Duration::from_millis(RENEW_MARGIN_MS);
        let is_due = |a: &Attempt| a.serial == serial && !a.ends_unpaid && a.paid_until <= renew_by;
        let Some(attempt) = self.attempts.get(id).copied().filter(is_due) else {
            return;
        };
        let team = self.queues[self.jobs[attempt.job].queue].team;
        let was_requested = self.teams[team].unpaid_attempts.contains(&id);
        match self.renew_slice(id, now) {
            true if was_requested => self.unblock(team, now),
            true => {}
            false if attempt.paid_until <= now => self.stop_unpaid(id, team, now),
            false => self.request_slice(id, team),
        }
    }

    /// Prepays the next slice of an attempt, or a shorter one if the balance does not suffice.
    /// Returns whether this extends the paid time.
    fn renew_slice(&mut self, id: AttemptId, now: Time) -> bool {
        let attempt = self.attempts[id];
        let team = self.queues[self.jobs[attempt.job].queue].team;
        self.charge(id, team, now);
        let paid_ms = attempt.paid_until.since(now).as_millis() as u64;
        let payable_ms = payable_ms(attempt.reserved.cpu_milli, self.available_balance(team));
        let slice_ms = self.next_slice_ms(&attempt, now).min(payable_ms);
        if slice_ms >= paid_ms + MIN_EXTENSION_MS {
            self.prepay_slice(id, team, slice_ms, now);
            return true;
        }
        self.prepay(id, team, paid_ms);
        false
    }

    /// Charges the accrued cost of an attempt and releases what was prepaid for it.
    pub(super) fn charge(&mut self, id: AttemptId, team: TeamId, now: Time) {
        let attempt = &mut self.attempts[id];
        let cost = attempt.cost_core_ms(now);
        let prepaid = std::mem::take(&mut attempt.prepaid_core_ms);
        attempt.accrued_core_ms = 0;
        attempt.charged_from = now;
        let team = &mut self.teams[team];
        team.prepaid_core_ms = team.prepaid_core_ms.saturating_sub(prepaid);
        team.spent_core_ms += cost;
        team.limits.balance_core_ms = team.limits.balance_core_ms.saturating_sub(cost);
    }

    /// Checkpoints or stops an attempt that can no longer be paid for, within the prepaid stop
    /// time.
    fn stop_unpaid(&mut self, id: AttemptId, team: TeamId, now: Time) {
        self.teams[team]
            .unpaid_attempts
            .retain(|&other| other != id);
        self.attempts[id].ends_unpaid = true;
        if self.jobs[self.attempts[id].job].is_interruptible() {
            self.checkpoint(id, now);
        } else {
            self.stop(id);
        }
    }
}

/// Returns `need` times `count`, saturating.
pub(super) fn multiply(need: &Resources, count: u32) -> Resources {
    Resources {
        cpu_milli: need.cpu_milli.saturating_mul(count),
        memory_mib: need.memory_mib.saturating_mul(count),
        accelerators: need.accelerators.saturating_mul(count),
    }
}
