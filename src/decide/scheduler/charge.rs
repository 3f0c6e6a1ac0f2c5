//! Balances: run time is taken from a team's balance in slices, in advance.
//!
//! The first slice covers the declared time. Slices of running tasks go before starts.

use std::time::Duration;

use super::super::{BalanceCredit, TeamLimits, TeamSpending};
use super::Scheduler;
use super::state::{Parked, QueueId, Run, RunId, TeamId};
use super::timers::Timer;
use crate::model::{Resources, TeamName, Time};

/// The least slice after the first one that is asked for.
const MIN_SLICE_MS: u64 = 1_000;
/// How long stopping a task may take.
const STOP_MS: u64 = 1_000;
/// A later slice is the time that the task has run by so many parts.
const RENEWED_PARTS: u64 = 5;
/// Paid beyond the declared time at least, for the ways to the worker and back.
const LEAST_MARGIN_MS: u64 = 500;
/// What is paid beyond the declared time is that time by so many parts.
const MARGIN_PARTS: u64 = 10;
/// How long before the paid time ends the next slice is asked for.
const RENEW_BEFORE_MS: u64 = 500;
/// The least by which a slice has to put off the end of the paid time.
const LEAST_EXTENSION_MS: u64 = 100;
/// How long a task that an earlier owner started runs until it has to be paid here.
const RESTORED_MS: u64 = 5_000;

/// What `cpu_milli` thousandths of a core cost for `ms` milliseconds, in core-milliseconds.
fn cost_core_ms(cpu_milli: u32, ms: u64) -> u64 {
    (u64::from(cpu_milli).saturating_mul(ms)).div_ceil(1_000)
}

/// What a slice of `ms` milliseconds costs, with stopping.
fn paid_core_ms(cpu_milli: u32, ms: u64) -> u64 {
    cost_core_ms(cpu_milli, ms.saturating_add(STOP_MS))
}

/// The longest slice that `core_ms` pay, with stopping.
fn payable_ms(cpu_milli: u32, core_ms: u64) -> u64 {
    let ms = core_ms.saturating_mul(1_000) / u64::from(cpu_milli.max(1));
    ms.saturating_sub(STOP_MS)
}

/// What a start takes.
struct Start {
    core_ms: u64,
    cpu_milli: u32,
}

impl Run {
    /// What the run cost until `now`, in core-milliseconds.
    pub fn cost_core_ms(&self, now: Time) -> u64 {
        let ms = now.since(self.charged_from).as_millis() as u64;
        self.accrued_core_ms + cost_core_ms(self.reserved.cpu_milli, ms)
    }
}

impl Scheduler {
    pub(super) fn set_team_limits(&mut self, name: &TeamName, limits: &TeamLimits, now: Time) {
        let id = self.team_id(name);
        let team = &mut self.teams[id];
        if team.active > 0 {
            self.active_weight -= u64::from(team.limits.weight.max(1));
            self.active_weight += u64::from(limits.weight.max(1));
        }
        let balance_core_ms = match team.known {
            true => team.limits.balance_core_ms,
            false => limits.balance_core_ms,
        };
        team.limits = TeamLimits {
            balance_core_ms,
            ..limits.clone()
        };
        team.known = true;
        self.unpark(id, now);
    }

    pub(super) fn add_team_balance(&mut self, name: &TeamName, part: &BalanceCredit, now: Time) {
        let id = self.team_id(name);
        let team = &mut self.teams[id];
        let balance = &mut team.limits.balance_core_ms;
        *balance = balance.saturating_add(part.core_ms);
        team.more_balance = part.more_available;
        let before = team.max_cpu_milli;
        team.max_cpu_milli = part.max_cpu_milli.or(before);
        if part.core_ms > 0 || team.max_cpu_milli > before {
            self.unpark(id, now);
        }
    }

    pub(super) fn take_back_team_balance(&mut self, name: &TeamName) -> u64 {
        let id = self.team_id(name);
        let left = self.balance_left(id);
        self.teams[id].limits.balance_core_ms -= left;
        left
    }

    pub(super) fn spending_of_teams(&self, now: Time) -> Vec<TeamSpending> {
        let mut running = vec![0; self.teams.len()];
        for (_, run) in &self.runs {
            let team = self.queues[self.jobs[run.job].queue].team;
            running[team] += run.cost_core_ms(now);
        }
        let teams = self.team_ids.iter().map(|(name, &id)| TeamSpending {
            team: name.clone(),
            spent_core_ms: self.teams[id].spent_core_ms + running[id],
            left_core_ms: self.balance_left(id),
            held_cpu_milli: self.teams[id].held.cpu_milli,
            has_queued_tasks: self.teams[id].queued > 0,
            renewal_shortfall_core_ms: self.renewals(id, now),
            blocked_start_costs_core_ms: self
                .unpaid_starts(id)
                .map(|start| start.core_ms)
                .collect(),
            max_blocked_start_cpu_milli: self
                .unpaid_starts(id)
                .map(|start| start.cpu_milli)
                .max()
                .unwrap_or(0),
            max_cpu_milli: self.teams[id].max_cpu_milli,
        });
        teams.collect()
    }

    /// What the tasks of a team lack that are asked to be paid for longer.
    fn renewals(&self, team: TeamId, now: Time) -> u64 {
        let lacks = |&id: &RunId| {
            let run = &self.runs[id];
            let ms = self.next_slice_ms(run, now) + STOP_MS;
            cost_core_ms(run.reserved.cpu_milli, ms).saturating_sub(run.committed_core_ms)
        };
        self.teams[team].unpaid.iter().map(lacks).sum()
    }

    /// The next start of each queue that the team's balance holds back.
    fn unpaid_starts(&self, team: TeamId) -> impl Iterator<Item = Start> {
        let start = |&id: &QueueId| {
            let queue = &self.queues[id];
            let head = queue.head?;
            let job = self.jobs.get(head.job)?;
            let count = match job.spec.all_at_once {
                true => job.ready(),
                false => 1,
            };
            let cost = self.first_slice(&head.need, job.spec.expected_ms);
            let waits = queue.parked == Some(Parked::Balance) && job.ready() > 0;
            waits.then_some(Start {
                core_ms: cost.saturating_mul(u64::from(count)),
                cpu_milli: head.need.cpu_milli.saturating_mul(count),
            })
        };
        self.teams[team].queues.iter().filter_map(start)
    }

    /// Pays longer for running tasks that ask for it, then lets the queues of a team take part
    /// again, after its limits, its balance or what it holds changed.
    pub(super) fn unpark(&mut self, team: TeamId, now: Time) {
        for id in self.teams[team].unpaid.clone() {
            self.renew(id, now);
        }
        for i in 0..self.teams[team].queues.len() {
            let queue = self.teams[team].queues[i];
            if self.queues[queue].parked.take().is_some() {
                self.rekey(queue, now);
            }
        }
    }

    fn first_slice_ms(&self, expected_ms: u64) -> u64 {
        let ms = match expected_ms {
            0 => self.limits.slice.as_millis() as u64,
            ms => ms,
        };
        ms.saturating_add(LEAST_MARGIN_MS.max(ms / MARGIN_PARTS))
    }

    /// What the next slice of a run should last: that of a run which was never paid for here is
    /// its first.
    fn next_slice_ms(&self, run: &Run, now: Time) -> u64 {
        if run.is_inherited {
            return self.first_slice_ms(self.jobs[run.job].spec.expected_ms);
        }
        let ran_ms = now.since(run.started).as_millis() as u64;
        let longest = self.limits.slice.as_millis() as u64;
        (ran_ms / RENEWED_PARTS).clamp(MIN_SLICE_MS, longest.max(MIN_SLICE_MS))
    }

    /// What the first slice of a task costs, in core-milliseconds.
    pub(super) fn first_slice(&self, need: &Resources, expected_ms: u64) -> u64 {
        paid_core_ms(need.cpu_milli, self.first_slice_ms(expected_ms))
    }

    pub(super) fn balance_left(&self, team: TeamId) -> u64 {
        let team = &self.teams[team];
        team.limits
            .balance_core_ms
            .saturating_sub(team.committed_core_ms)
    }

    /// What keeps a team from holding `count` more tasks that need `need` each.
    pub(super) fn parked_by(
        &self,
        team: TeamId,
        need: &Resources,
        count: u32,
        expected_ms: u64,
    ) -> Option<Parked> {
        let more = times(need, count);
        let limits = &self.teams[team].limits;
        if !self.teams[team].held.plus(&more).fits_in(&limits.quota) {
            return Some(Parked::Quota);
        }
        let cost = self.first_slice(need, expected_ms);
        let cost = cost.saturating_mul(u64::from(count));
        let max_cpu_milli = self.teams[team].max_cpu_milli.unwrap_or(u32::MAX);
        let held = self.teams[team].held.plus(&more);
        let held_back = !self.teams[team].unpaid.is_empty() || held.cpu_milli > max_cpu_milli;
        (held_back || cost > self.balance_left(team)).then_some(Parked::Balance)
    }

    /// Takes the first slice for a run. A run of an earlier owner may start before what that owner
    /// had drawn is taken over; it then asks to be paid.
    pub(super) fn take_first_slice(&mut self, id: RunId, now: Time) {
        let run = self.runs[id];
        let slice_ms = self.first_slice_ms(self.jobs[run.job].spec.expected_ms);
        let team = self.queues[self.jobs[run.job].queue].team;
        if paid_core_ms(run.reserved.cpu_milli, slice_ms) <= self.balance_left(team) {
            return self.take_slice(id, team, slice_ms, now);
        }
        let run = &mut self.runs[id];
        run.is_inherited = true;
        run.paid_until = now + Duration::from_millis(RESTORED_MS);
        self.ask_for_slice(id, team);
    }

    /// Takes a slice for a run, with what stopping it costs, and sets the timer at which the next
    /// one is asked for.
    fn take_slice(&mut self, id: RunId, team: TeamId, slice_ms: u64, now: Time) {
        self.commit(id, team, slice_ms);
        let run = &mut self.runs[id];
        run.is_inherited = false;
        run.paid_until = now + Duration::from_millis(slice_ms);
        let due = now + Duration::from_millis(slice_ms.saturating_sub(RENEW_BEFORE_MS));
        let timer = Timer::Slice(id, run.serial);
        self.teams[team].unpaid.retain(|&other| other != id);
        self.add_timer(due, timer);
    }

    /// Notes that a run asks for its next slice, and sets the timer for the end of the paid time.
    fn ask_for_slice(&mut self, id: RunId, team: TeamId) {
        let unpaid = &mut self.teams[team].unpaid;
        if !unpaid.contains(&id) {
            unpaid.push(id);
            let run = &self.runs[id];
            self.add_timer(run.paid_until, Timer::Slice(id, run.serial));
        }
    }

    /// Takes what `slice_ms` and stopping cost from the balance, or what is left.
    fn commit(&mut self, id: RunId, team: TeamId, slice_ms: u64) {
        let cost = paid_core_ms(self.runs[id].reserved.cpu_milli, slice_ms);
        let cost = cost.min(self.balance_left(team));
        self.runs[id].committed_core_ms += cost;
        self.teams[team].committed_core_ms += cost;
    }

    pub(super) fn slice_is_used(&mut self, id: RunId, serial: u64, now: Time) {
        let ask_by = now + Duration::from_millis(RENEW_BEFORE_MS);
        let concerns =
            |run: &Run| run.serial == serial && !run.ends_unpaid && run.paid_until <= ask_by;
        let Some(run) = self.runs.get(id).copied().filter(concerns) else {
            return;
        };
        let team = self.queues[self.jobs[run.job].queue].team;
        let asked = self.teams[team].unpaid.contains(&id);
        match self.renew(id, now) {
            true if asked => self.unpark(team, now),
            true => {}
            false if run.paid_until <= now => self.end_unpaid(id, team, now),
            false => self.ask_for_slice(id, team),
        }
    }

    /// Takes the next slice for a run, a smaller one where less is left; returns whether it puts
    /// off the end of the paid time.
    fn renew(&mut self, id: RunId, now: Time) -> bool {
        let run = self.runs[id];
        let team = self.queues[self.jobs[run.job].queue].team;
        self.settle(id, team, now);
        let kept_ms = run.paid_until.since(now).as_millis() as u64;
        let payable_ms = payable_ms(run.reserved.cpu_milli, self.balance_left(team));
        let slice_ms = self.next_slice_ms(&run, now).min(payable_ms);
        if slice_ms >= kept_ms + LEAST_EXTENSION_MS {
            self.take_slice(id, team, slice_ms, now);
            return true;
        }
        self.commit(id, team, kept_ms);
        false
    }

    /// Books what a run cost so far and gives back what was taken in advance.
    pub(super) fn settle(&mut self, id: RunId, team: TeamId, now: Time) {
        let run = &mut self.runs[id];
        let cost = run.cost_core_ms(now);
        let committed = std::mem::take(&mut run.committed_core_ms);
        run.accrued_core_ms = 0;
        run.charged_from = now;
        let team = &mut self.teams[team];
        team.committed_core_ms = team.committed_core_ms.saturating_sub(committed);
        team.spent_core_ms += cost;
        team.limits.balance_core_ms = team.limits.balance_core_ms.saturating_sub(cost);
    }

    /// Has a run that cannot be paid any longer stopped within what is still paid.
    fn end_unpaid(&mut self, id: RunId, team: TeamId, now: Time) {
        self.teams[team].unpaid.retain(|&other| other != id);
        self.runs[id].ends_unpaid = true;
        if self.jobs[self.runs[id].job].can_yield() {
            self.checkpoint(id, now);
        } else {
            self.stop(id);
        }
    }
}

/// `count` times `need`, saturating.
pub(super) fn times(need: &Resources, count: u32) -> Resources {
    Resources {
        cpu_milli: need.cpu_milli.saturating_mul(count),
        memory_mib: need.memory_mib.saturating_mul(count),
        accelerators: need.accelerators.saturating_mul(count),
    }
}
