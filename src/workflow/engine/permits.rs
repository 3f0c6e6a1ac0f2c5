//! Requests for permits to run a step on workers.

use std::time::Duration;

use super::permit_budget::RequestKind;
use super::{Effect, Engine};
use crate::model::{Time, WorkerName};
use crate::port::executor::{PermitError, Permits};
use crate::workflow::active::{GrantedPermit, StepPermits};
use crate::workflow::fleet::{WorkerKey, as_millis};
use crate::workflow::spec::{StepId, StepSpec};

/// The maximum number of workers in one permit request.
const MAX_WORKERS_PER_REQUEST: usize = 100;

/// How long before it expires a permit is no longer used, to allow for the transit of the start
/// request.
const PERMIT_MARGIN: Duration = Duration::from_millis(200);

/// The delay between a response, or a failed request, and the next permit request for the same
/// step.
const REQUEST_INTERVAL: Duration = Duration::from_millis(250);

/// The delay between two checks whether a step needs further permits.
const RECHECK_INTERVAL: Duration = Duration::from_millis(100);

/// The share of workers assumed to get a permit before a queue's first response.
const INITIAL_GRANTED_SHARE: f64 = 0.5;

/// The weight of a response in the average share of workers that get a permit.
const GRANTED_SHARE_WEIGHT: f64 = 0.2;

/// The requested capacity, as a multiple of the capacity that the step needs: other steps take some
/// of it before the response arrives.
const CAPACITY_FACTOR: f64 = 3.0;

/// The minimum number of workers in a permit request, if there are that many.
const MIN_WORKERS_PER_REQUEST: usize = 4;

/// A worker for which a permit may be requested.
#[derive(Clone, Copy, Debug)]
struct PermitCandidate<'a> {
    name: &'a WorkerName,
    /// Whether the worker is eligible for a permit, if that is known.
    eligible: Option<bool>,
    /// Whether the step has a permit for the worker that outlasts another permit request.
    permitted: bool,
    /// The number of the step's tasks that fit now.
    fitting: u32,
    free_cpu_milli: u32,
    /// The number of the step's tasks that would fit if the worker were empty.
    fitting_when_empty: u32,
}

impl PermitCandidate<'_> {
    /// The number of tasks that are expected to fit once one more run has ended on the worker.
    fn fitting_soon(&self) -> u32 {
        self.fitting.max(1)
    }
}

impl Engine {
    /// Requests permits for a step if the response is likely to be useful now.
    pub(super) fn request_permits(&mut self, step: StepId, spec: &StepSpec, now: Time) {
        let Some(active) = self.active.get(&step.workflow) else {
            return;
        };
        let Some(state) = active.steps.get(&(step.occurrence, step.step)) else {
            return;
        };
        let Some(latency) = active.policy.permits else {
            return;
        };
        let kind = RequestKind::of(spec, &latency, MAX_WORKERS_PER_REQUEST);
        if !self.permit_budget.allows(kind) {
            return;
        }
        if state.permits.request_in_flight || now < state.permits.not_before {
            return;
        }
        let share = self.granted_share.get(&active.policy.name);
        let share = share.copied().unwrap_or(INITIAL_GRANTED_SHARE);
        let candidates = self.permit_candidates(step, spec, &state.permits, now);
        let workers = if spec.gang {
            let is_next = self.late_gangs.is_next(step);
            let workers = workers_to_request_for_gang(candidates, state.remaining, is_next);
            if workers.is_empty() {
                self.workers_to_discover_elsewhere(step, spec, MAX_WORKERS_PER_REQUEST, now)
            } else {
                workers
            }
        } else {
            let waiting = u32::try_from(state.waiting().count()).unwrap_or(u32::MAX);
            let waiting = waiting.min(self.allowed_tasks(step, spec));
            workers_to_request(candidates, f64::from(waiting), share)
        };
        if workers.is_empty() {
            if let Some(permits) = self.permits_mut(step) {
                permits.not_before = now + RECHECK_INTERVAL;
            }
            return;
        }
        let takes_ms = as_millis(latency.estimate(workers.len()));
        let priority = active.policy.priority;
        if let Some(permits) = self.permits_mut(step) {
            permits.request_in_flight = true;
        }
        self.permit_budget.begin(step, kind);
        self.effects.push(Effect::RequestPermits {
            step,
            workers,
            takes_ms,
            priority,
            gang: spec.gang,
        });
    }

    /// The workers that may get a permit for the step, those with the most free capacity first.
    fn permit_candidates<'a>(
        &'a self,
        step: StepId,
        spec: &StepSpec,
        permits: &StepPermits,
        now: Time,
    ) -> Vec<PermitCandidate<'a>> {
        let active = self.active.get(&step.workflow);
        let state = active.and_then(|active| active.steps.get(&(step.occurrence, step.step)));
        let priority = active.map_or(u8::MAX, |active| active.policy.priority);
        let latency = active.and_then(|active| active.policy.permits);
        let next_response = now
            + latency.map_or(Duration::ZERO, |latency| {
                latency.estimate(spec.tasks as usize)
            });
        let mut candidates = Vec::new();
        for (key, worker) in self.fleet.iter() {
            let name = &worker.listing.name;
            let permit = permits.granted.get(&key);
            let permitted = permit.is_some_and(|permit| {
                permit.boot == worker.listing.boot && permit.expires_at > next_response
            });
            let eligible = permits.eligibility.get(name).copied();
            let stays = !worker.listing.draining && worker.departure.is_none();
            let possible = worker.listed && stays && eligible != Some(false);
            let left = |max: u32| max.saturating_sub(state.map_or(0, |state| state.count_on(key)));
            let max = spec.max_per_worker.map_or(u32::MAX, left);
            let max = max.min(spec.tasks);
            let fitting_when_empty = worker.fitting_tasks_when_empty(&spec.reserved(), max);
            if !possible || fitting_when_empty == 0 || !self.matches_step(worker, step, spec) {
                continue;
            }
            let fitting = if worker.is_usable(now) {
                self.fitting_tasks(worker, spec, priority, max)
            } else {
                0
            };
            candidates.push(PermitCandidate {
                name,
                eligible,
                permitted,
                fitting,
                free_cpu_milli: worker.free_capacity().cpu_milli,
                fitting_when_empty,
            });
        }
        candidates.sort_by_key(|worker| std::cmp::Reverse((worker.fitting, worker.free_cpu_milli)));
        candidates
    }

    pub(super) fn permits_mut(&mut self, step: StepId) -> Option<&mut StepPermits> {
        self.step_mut(step).map(|state| &mut state.permits)
    }

    /// Handles the response to a permit request for the workers `requested`.
    pub fn handle_permit_response(
        &mut self,
        step: StepId,
        requested: &[WorkerName],
        response: Result<Permits, PermitError>,
        now: Time,
    ) {
        self.permit_budget.finish(step);
        self.placement_due = true;
        let response = match response {
            Ok(permits) => permits,
            Err(error) => {
                tracing::warn!(request = %step.workflow, %step, %error,
                    "permit request failed; repeating it while the step waits");
                if let Some(permits) = self.permits_mut(step) {
                    permits.request_in_flight = false;
                    permits.not_before = now + REQUEST_INTERVAL;
                }
                return;
            }
        };
        self.update_granted_share(step, requested.len(), response.granted.len());
        let expires_at =
            now + Duration::from_millis(response.valid_ms).saturating_sub(PERMIT_MARGIN);
        let granted: Vec<(WorkerKey, GrantedPermit)> = response
            .granted
            .iter()
            .filter_map(|permit| {
                let key = self.fleet.key(&permit.worker)?;
                let boot = self.fleet.get(key)?.listing.boot;
                let token = permit.token.clone();
                Some((
                    key,
                    GrantedPermit {
                        token,
                        boot,
                        expires_at,
                    },
                ))
            })
            .collect();
        let Some(permits) = self.permits_mut(step) else {
            return;
        };
        permits.request_in_flight = false;
        let known = permits.eligibility.len();
        for name in requested {
            permits.eligibility.insert(name.clone(), false);
        }
        // A request that finds out which workers are eligible is one of several.
        let is_discovery = permits.eligibility.len() > known;
        permits.not_before = if is_discovery {
            now
        } else {
            now + REQUEST_INTERVAL
        };
        for permit in &response.granted {
            permits.eligibility.insert(permit.worker.clone(), true);
        }
        permits.granted.extend(granted);
    }

    fn update_granted_share(&mut self, step: StepId, requested: usize, granted: usize) {
        let Some(active) = self.active.get(&step.workflow) else {
            return;
        };
        if requested == 0 {
            return;
        }
        let share = granted as f64 / requested as f64;
        let average = self.granted_share.entry(active.policy.name.clone());
        let average = average.or_insert(share);
        *average += (share - *average) * GRANTED_SHARE_WEIGHT;
    }

    /// Whether the step's queue requires permits.
    pub(super) fn needs_permit(&self, step: StepId) -> bool {
        let active = self.active.get(&step.workflow);
        active.is_some_and(|active| active.policy.permits.is_some())
    }
}

/// The workers to request permits for, for `waiting` tasks that do not form a gang: those with the
/// most free capacity, as many as are expected to suffice together with the permits that the step
/// has. Busy workers count with one task each, so that tasks start as soon as a run ends there.
/// `share` is the expected share of workers that get a permit, among those whose eligibility is not
/// known.
fn workers_to_request(
    candidates: Vec<PermitCandidate>,
    waiting: f64,
    share: f64,
) -> Vec<WorkerName> {
    let permitted = candidates.iter().filter(|worker| worker.permitted);
    let permitted: u32 = permitted.map(PermitCandidate::fitting_soon).sum();
    let mut expected = f64::from(permitted);
    let mut requested = Vec::new();
    if expected >= waiting * CAPACITY_FACTOR {
        return requested;
    }
    for worker in candidates.iter().filter(|worker| !worker.permitted) {
        let is_enough =
            expected >= waiting * CAPACITY_FACTOR && requested.len() >= MIN_WORKERS_PER_REQUEST;
        if is_enough || requested.len() >= MAX_WORKERS_PER_REQUEST {
            break;
        }
        let probability = if worker.eligible.is_some() {
            1.0
        } else {
            share
        };
        expected += f64::from(worker.fitting_soon()) * probability;
        requested.push(worker.name.clone());
    }
    requested
}

/// The workers to request permits for, for a gang of `tasks`. Permit requests for a gang take long.
/// The first ones find out which workers are eligible, including busy ones, until the gang fits. Later
/// ones renew permits once the gang, which reserves capacity on its eligible workers, is likely to
/// start soon, or as long as it collects room ahead of others, so that it can start as soon as it fits.
fn workers_to_request_for_gang(
    candidates: Vec<PermitCandidate>,
    tasks: u32,
    is_next: bool,
) -> Vec<WorkerName> {
    /// Permits are renewed once this part of the gang fits, as the rest of the capacity becomes free
    /// while the request is in flight.
    const RENEWAL_FITTING_PERCENT: u32 = 50;
    let eligible = candidates.iter().filter(|worker| worker.eligible.is_some());
    let eligible: Vec<&PermitCandidate> = eligible.collect();
    let fitting = eligible.iter().map(|worker| worker.fitting);
    let fitting = fitting.fold(0, u32::saturating_add);
    let when_empty = eligible.iter().map(|worker| worker.fitting_when_empty);
    let when_empty = when_empty.fold(0, u32::saturating_add);
    let starts_soon =
        is_next || fitting.saturating_mul(100) >= tasks.saturating_mul(RENEWAL_FITTING_PERCENT);
    let mut requested = Vec::new();
    if when_empty >= tasks && starts_soon {
        // Before the others, so that permits do not expire while new workers are found out.
        requested = workers_to_renew(&eligible, tasks);
    }
    if fitting < tasks && eligible.len() < candidates.len() {
        let discovered = workers_to_discover(&candidates);
        let further = discovered
            .into_iter()
            .filter(|name| !requested.contains(name));
        requested = requested.iter().cloned().chain(further).collect();
        requested.truncate(MAX_WORKERS_PER_REQUEST);
    }
    requested
}

/// Workers whose eligibility is not known, then those on which tasks of the gang fit now.
fn workers_to_discover(candidates: &[PermitCandidate]) -> Vec<WorkerName> {
    let unknown = candidates.iter().filter(|worker| worker.eligible.is_none());
    let fitting = candidates
        .iter()
        .filter(|worker| worker.eligible.is_some() && worker.fitting > 0);
    let requested = unknown.chain(fitting).map(|worker| worker.name.clone());
    requested.take(MAX_WORKERS_PER_REQUEST).collect()
}

/// The eligible workers whose permits a gang of `tasks` needs, if it does not have them all.
fn workers_to_renew(eligible: &[&PermitCandidate], tasks: u32) -> Vec<WorkerName> {
    /// The capacity of the workers in a renewal, in percent of what the gang needs: urgent tasks take
    /// some of it before the response arrives.
    const RENEWED_CAPACITY_PERCENT: u32 = 200;
    let mut missing = tasks;
    let mut wanted = eligible
        .iter()
        .take_while(|worker| take_capacity(&mut missing, worker));
    if wanted.all(|worker| worker.permitted) {
        return Vec::new();
    }
    let mut missing = tasks.saturating_mul(RENEWED_CAPACITY_PERCENT) / 100;
    let renewed = eligible
        .iter()
        .take_while(|worker| take_capacity(&mut missing, worker));
    let mut renewed: Vec<&&PermitCandidate> = renewed.collect();
    // One request may not cover all; those that expire first come first.
    renewed.sort_by_key(|worker| worker.permitted);
    let renewed = renewed.into_iter().take(MAX_WORKERS_PER_REQUEST);
    renewed.map(|worker| worker.name.clone()).collect()
}

/// Takes the tasks that soon fit on `worker` from the `missing` ones; false if none was missing.
fn take_capacity(missing: &mut u32, worker: &PermitCandidate) -> bool {
    let is_needed = *missing > 0;
    *missing = missing.saturating_sub(worker.fitting_soon());
    is_needed
}
