//! What steps that wait could use in other shards.

use std::cmp::Reverse;
use std::time::Duration;

use super::{KNOWN_CAPACITY_PERCENT, MAX_WANTED};
use crate::model::{ServiceName, Time, WorkerName};
use crate::port::executor::WorkerListing;
use crate::workflow::active::StepState;
use crate::workflow::engine::Engine;
use crate::workflow::fleet::{Worker, fitting_count};
use crate::workflow::spec::{StepId, StepSpec};

/// How long a step waits before it claims workers of other shards.
const MIN_WAIT: Duration = Duration::from_millis(300);

/// How long a shard that has asked for workers counts as one that has none to spare.
const IN_NEED_FOR: Duration = Duration::from_millis(1_500);

/// The least share of workers assumed to be eligible for a step.
const MIN_GRANTED_SHARE: f64 = 0.05;

/// The number of waiting steps that a round considers.
pub(super) const MAX_CLAIMING_STEPS: usize = 96;

/// The number of claims that a round makes for them.
const MAX_CLAIMS: usize = 16;

/// The claim of a step that waits on the workers that it could use.
#[derive(Clone, Debug)]
pub(super) struct Claim {
    pub(super) step: StepId,
    pub(super) spec: StepSpec,
    pub(super) service: ServiceName,
    pub(super) priority: u8,
    pub(super) waited: Duration,
    /// How many workers it needs if they are empty.
    pub(super) needed: u32,
    /// How many of them it lacks in this shard.
    pub(super) workers: u32,
    /// The workers of other shards that are known to be eligible for it, if it is a gang with permits.
    pub(super) names: Vec<WorkerName>,
    /// How many workers it asks for that are not named. A gang with permits asks for these while it does
    /// not know of enough eligible ones, so that idle workers do not wait for its permit requests.
    pub(super) unnamed: u32,
}

impl Claim {
    /// Whether the claim comes before one of this priority and wait.
    pub(super) fn precedes(&self, priority: u8, waited: Duration) -> bool {
        (self.priority, Reverse(self.waited)) <= (priority, Reverse(waited))
    }
}

impl Engine {
    /// The claims of waiting steps: those that are guaranteed first, then the most urgent, then the
    /// longest wait.
    pub(super) fn claims(&self, now: Time) -> Vec<Claim> {
        let mut waiting: Vec<(u8, Duration, StepId)> = self.waiting_steps(now).collect();
        waiting.sort_by_cached_key(|(priority, waited, step)| {
            let is_excess = self.is_excess(step.workflow, now);
            (is_excess, *priority, Reverse(*waited), *step)
        });
        // The first ones always claim; the others take turns, so that steps that no worker helps keep
        // none from claims.
        let rest = waiting.split_off(waiting.len().min(MAX_CLAIMS / 2));
        let turn = self.exchange.rounds.wrapping_mul(MAX_CLAIMS / 2) % rest.len().max(1);
        let later = rest.iter().cycle().skip(turn).take(rest.len());
        let claiming = waiting.iter().chain(later).take(MAX_CLAIMING_STEPS);
        let claims = claiming.filter_map(|(_, waited, step)| self.claim(*step, *waited, now));
        claims.take(MAX_CLAIMS).collect()
    }

    /// The steps that have waited for a while: priority, how long, and which.
    pub(super) fn waiting_steps(&self, now: Time) -> impl Iterator<Item = (u8, Duration, StepId)> {
        let allowed = self.ready.iter();
        let allowed = allowed.filter(|key| self.accounts.allow(key.account, &key.least));
        let waiting = allowed.filter_map(move |key| {
            let waited = now.since(self.step(key.step)?.waits_since?);
            // The gang of the fleet that starts next precedes all others of its priority.
            let is_next = self.late_gangs.is_next(key.step);
            let waited = if is_next { Duration::MAX } else { waited };
            Some((key.priority, waited, key.step))
        });
        waiting.filter(|(_, waited, _)| *waited >= MIN_WAIT)
    }

    pub(super) fn claim(&self, id: StepId, waited: Duration, now: Time) -> Option<Claim> {
        let active = self.active.get(&id.workflow)?;
        let spec = active.spec.steps.get(id.step as usize)?;
        let state = self.step(id)?;
        let is_held_back = |index: u32| {
            let task = &state.tasks[index as usize];
            task.not_before > now || task.unverified.is_some()
        };
        if !active.recorded || active.is_final() {
            return None;
        }
        let held_back = state.waiting().filter(|index| is_held_back(*index)).count();
        let waiting = state.waiting().count() - held_back;
        let waiting = u32::try_from(waiting).unwrap_or(u32::MAX);
        let waiting = waiting.min(self.allowed_tasks(id, spec));
        let (per_worker, in_fleet) = self.room_in_fleet(id, spec, state);
        if waiting == 0 || in_fleet < if spec.gang { spec.tasks } else { 1 } {
            return None;
        }
        let missing = if spec.gang && held_back > 0 {
            0.0
        } else {
            f64::from(waiting) - self.expected_room(id, spec, state, now)
        };
        let is_named = spec.gang && self.needs_permit(id);
        let names = if is_named {
            self.eligible_elsewhere(id, spec, state)
        } else {
            Vec::new()
        };
        let share = self.expected_share(id);
        let per_worker = f64::from(per_worker) * if is_named { 1.0 } else { share };
        // On probation, tasks of a step start one by one.
        let max = if state.is_blamed() && !spec.gang {
            1
        } else {
            MAX_WANTED
        };
        // The number of tasks is limited, so that the quotient is small.
        let workers_for = |tasks: f64| (tasks / per_worker).ceil().max(0.0) as u32;
        let workers = workers_for(missing);
        let unnamed = if !is_named {
            workers
        } else if self.has_unknown_elsewhere(id, spec, state) {
            let unknown = workers.saturating_sub(u32::try_from(names.len()).unwrap_or(u32::MAX));
            (f64::from(unknown) / share).ceil() as u32
        } else {
            0
        };
        Some(Claim {
            step: id,
            spec: spec.clone(),
            service: active.policy.service.clone(),
            priority: active.policy.priority,
            waited,
            needed: workers_for(f64::from(waiting)).min(max),
            workers: workers.min(max),
            names,
            unnamed: unnamed.min(max),
        })
    }

    /// The workers of other shards that are known to be eligible for the step.
    fn eligible_elsewhere(
        &self,
        id: StepId,
        spec: &StepSpec,
        state: &StepState,
    ) -> Vec<WorkerName> {
        let eligibility = &state.permits.eligibility;
        let names = self.elsewhere_for(id, spec).map(|listing| &listing.name);
        let eligible = names.filter(|name| eligibility.get(*name).copied() == Some(true));
        let mut names: Vec<WorkerName> = eligible.cloned().collect();
        names.sort_unstable();
        names
    }

    /// The number of the step's tasks that workers of other shards hold when empty, of those that are known
    /// to be eligible for it.
    pub(in crate::workflow::engine) fn eligible_room_elsewhere(
        &self,
        id: StepId,
        spec: &StepSpec,
    ) -> u32 {
        let needs_permit = self.needs_permit(id);
        let max = spec.max_per_worker.unwrap_or(u32::MAX).min(spec.tasks);
        let Some(state) = self.step(id) else {
            return 0;
        };
        let eligible = self.elsewhere_for(id, spec).filter(|listing| {
            !needs_permit || state.permits.eligibility.get(&listing.name) == Some(&true)
        });
        let room =
            eligible.map(|listing| fitting_count(&spec.reserved(), &listing.capacity).min(max));
        room.fold(0, u32::saturating_add)
    }

    /// Whether it is not known of a worker of another shard if it is eligible for the step.
    fn has_unknown_elsewhere(&self, id: StepId, spec: &StepSpec, state: &StepState) -> bool {
        let eligibility = &state.permits.eligibility;
        let mut elsewhere = self.elsewhere_for(id, spec);
        elsewhere.any(|listing| !eligibility.contains_key(&listing.name))
    }

    /// The listed workers of other shards that could hold a task of the step.
    fn elsewhere_for<'a>(
        &'a self,
        id: StepId,
        spec: &'a StepSpec,
    ) -> impl Iterator<Item = &'a WorkerListing> {
        let active = self.active.get(&id.workflow);
        let service = active.map(|active| &active.policy.service);
        let elsewhere = self.exchange.elsewhere.values();
        let fitting = elsewhere.filter(move |(listing, _)| {
            let label = spec.required_label.as_ref();
            !listing.draining
                && Some(&listing.service) == service
                && label.is_none_or(|label| listing.labels.contains(label))
                && spec.reserved().fits_in(&listing.capacity)
        });
        fitting.map(|(listing, _)| listing)
    }

    /// Up to `max` workers of other shards whose eligibility for a waiting gang is not known, if the
    /// gang may need workers of other shards.
    pub(in crate::workflow::engine) fn workers_to_discover_elsewhere(
        &self,
        id: StepId,
        spec: &StepSpec,
        max: usize,
        now: Time,
    ) -> Vec<WorkerName> {
        let Some(state) = self.step(id) else {
            return Vec::new();
        };
        let waited = state.waits_since.map(|since| now.since(since));
        if waited.is_none_or(|waited| waited < MIN_WAIT) {
            return Vec::new();
        }
        let eligibility = &state.permits.eligibility;
        let is_eligible = |name: &WorkerName| eligibility.get(name).copied() == Some(true);
        let max_per_worker = spec.max_per_worker.unwrap_or(u32::MAX).min(spec.tasks);
        let own = self.fleet.iter().filter(|(_, worker)| {
            is_eligible(&worker.listing.name) && self.matches_step(worker, id, spec)
        });
        let own = own
            .map(|(_, worker)| worker.fitting_tasks_when_empty(&spec.reserved(), max_per_worker));
        let own = own.fold(0, u32::saturating_add);
        let is_too_wide = own < spec.tasks;
        let wanted = if is_too_wide {
            spec.tasks.saturating_mul(KNOWN_CAPACITY_PERCENT) / 100
        } else {
            own.saturating_add(spec.tasks)
        };
        let elsewhere = self.elsewhere_for(id, spec);
        let eligible = elsewhere.filter(|listing| is_eligible(&listing.name));
        let eligible = eligible
            .map(|listing| fitting_count(&spec.reserved(), &listing.capacity).min(max_per_worker));
        if eligible.fold(own, u32::saturating_add) >= wanted {
            return Vec::new();
        }
        // A shard that asks for workers itself has none to spare. A gang that its shard cannot hold waits
        // for theirs, as it can start nowhere else.
        let unknown = self.elsewhere_for(id, spec).filter(|listing| {
            !eligibility.contains_key(&listing.name)
                && (is_too_wide || !self.is_in_need(&listing.name, now))
        });
        let unknown = unknown.map(|listing| &listing.name);
        let mut unknown: Vec<WorkerName> = unknown.cloned().collect();
        unknown.sort_unstable();
        unknown.truncate(max);
        unknown
    }

    /// The number of tasks of the step that are expected to fit on this shard's workers now.
    fn expected_room(&self, id: StepId, spec: &StepSpec, state: &StepState, now: Time) -> f64 {
        let share = self.expected_share(id);
        let needs_permit = self.needs_permit(id);
        let Some(active) = self.active.get(&id.workflow) else {
            return 0.0;
        };
        let workers = self
            .fleet
            .iter()
            .filter(|(_, worker)| worker.is_usable(now) && self.matches_step(worker, id, spec));
        let room = workers.map(|(key, worker)| {
            let probability = match state.permits.eligibility.get(&worker.listing.name) {
                _ if !needs_permit => 1.0,
                Some(true) => 1.0,
                Some(false) => 0.0,
                None => share,
            };
            let max = spec.max_per_worker.unwrap_or(u32::MAX).min(spec.tasks);
            let max = max.saturating_sub(state.count_on(key));
            let fitting = self.fitting_tasks(worker, spec, active.policy.priority, max);
            f64::from(fitting) * probability
        });
        room.sum()
    }

    /// The expected share of workers that are eligible for the step.
    fn expected_share(&self, id: StepId) -> f64 {
        if !self.needs_permit(id) {
            return 1.0;
        }
        let active = self.active.get(&id.workflow);
        let share = active.and_then(|active| self.granted_share.get(&active.policy.name));
        share.copied().unwrap_or(1.0).max(MIN_GRANTED_SHARE)
    }

    /// How many tasks of the step the largest worker of the whole fleet holds, and how many all workers
    /// together that may be eligible, if they were empty.
    fn room_in_fleet(&self, id: StepId, spec: &StepSpec, state: &StepState) -> (u32, u32) {
        let max = spec.max_per_worker.unwrap_or(u32::MAX).min(spec.tasks);
        let own = self.fleet.iter();
        let own = own.filter(|(_, worker)| worker.listed && self.matches_step(worker, id, spec));
        let own = own.map(|(_, worker)| &worker.listing);
        let listings = own.chain(self.elsewhere_for(id, spec));
        let eligible = listings.filter(|listing| {
            let eligible = state.permits.eligibility.get(&listing.name).copied();
            !listing.draining && eligible != Some(false)
        });
        eligible.fold((0, 0), |(largest, total): (u32, u32), listing| {
            let fitting = fitting_count(&spec.reserved(), &listing.capacity).min(max);
            (largest.max(fitting), total.saturating_add(fitting))
        })
    }

    /// Whether the home shard of a worker of another shard has asked for workers recently.
    fn is_in_need(&self, name: &WorkerName, now: Time) -> bool {
        let home = self.exchange.elsewhere.get(name).map(|(_, home)| home);
        let asked = home.and_then(|home| self.exchange.asked_by.get(home));
        asked.is_some_and(|at| now.since(*at) < IN_NEED_FOR)
    }

    /// Whether tasks of the step may start on the worker once it is empty.
    pub(super) fn could_use(&self, claim: &Claim, worker: &Worker) -> bool {
        let state = self.step(claim.step);
        let eligible = state.and_then(|state| {
            let eligibility = &state.permits.eligibility;
            eligibility.get(&worker.listing.name).copied()
        });
        eligible != Some(false)
            && self.matches_step(worker, claim.step, &claim.spec)
            && claim.spec.reserved().fits_in(&worker.listing.capacity)
    }
}
