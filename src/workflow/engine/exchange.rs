//! The exchange of workers with other shards.
//!
//! Steps that wait claim workers of other shards, the most urgent first, then the longest wait. An owner
//! gives away idle workers, and those at home in the other shard, that none of its own earlier claims
//! could use, keeps a part of its home workers, and returns what it no longer needs.

use std::cmp::Reverse;
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use super::{Effect, Engine};
use crate::model::{ServiceName, Time, WorkerName};
use crate::port::executor::WorkerListing;
use crate::workflow::active::StepState;
use crate::workflow::assignment::{Assignment, Assignments, ShardId};
use crate::workflow::exchange::{ExchangeMessage, WantedWorkers};
use crate::workflow::fleet::{Worker, WorkerKey, as_millis, fitting_count};
use crate::workflow::spec::{StepId, StepSpec};

/// The interval between two rounds of requests for workers.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// How long a step waits before it claims workers of other shards.
const MIN_WAIT: Duration = Duration::from_millis(300);

/// A step claims workers for this long, and then for as long not, so that a step that no number of
/// workers helps does not keep them from other shards.
const CLAIM_PERIOD: Duration = Duration::from_secs(20);

/// How long a gang waits that its shard would hold before it looks for eligible workers elsewhere.
const MIN_WAIT_IN_FULL_SHARD: Duration = Duration::from_secs(2);

/// The capacity of the known eligible workers at which a gang that its shard cannot hold looks for no
/// more, in percent of what it needs.
const KNOWN_CAPACITY_PERCENT: u32 = 150;

/// How long a shard that has asked for workers counts as one that has none to spare.
const IN_NEED_FOR: Duration = Duration::from_millis(1_500);

/// The maximum number of workers that a round asks for by name.
const MAX_NAMES: usize = 100;

/// The number of waiting steps that a round considers, and the number of claims that it makes for them.
const MAX_CLAIMING_STEPS: usize = 96;
const MAX_CLAIMS: usize = 16;

/// The maximum number of workers in one request, for all shards together.
const MAX_WANTED: u32 = 400;

/// The part of its home workers, in percent, that a shard keeps, for work that arrives later.
const KEPT_PERCENT: usize = 50;

/// How long a shard has had no claims when it returns workers.
const RETURN_AFTER: Duration = Duration::from_secs(2);

/// How many workers a shard returns in a round.
const MAX_RETURNED: usize = 16;

/// How long a worker that is to leave may take until it is vacant.
const MAX_LEAVING: Duration = Duration::from_secs(10);

/// The maximum number of workers in one announcement.
const MAX_ANNOUNCED: usize = 200;

/// The least share of workers assumed to be eligible for a step.
const MIN_GRANTED_SHARE: f64 = 0.05;

/// A worker that is about to be assigned to another shard.
#[derive(Clone, Copy, Debug)]
pub(in crate::workflow) struct Departure {
    to: ShardId,
    since: Time,
    /// Whether the assignment is being recorded, so that this owner sends nothing more to the worker.
    recording: bool,
}

impl Departure {
    pub(in crate::workflow) fn is_being_recorded(&self) -> bool {
        self.recording
    }
}

/// The claim of a step that waits on the workers that it could use.
#[derive(Clone, Debug)]
struct Claim {
    step: StepId,
    spec: StepSpec,
    service: ServiceName,
    priority: u8,
    waited: Duration,
    /// How many workers it lacks in this shard.
    workers: u32,
    /// The workers of other shards that are known to be eligible for it, if it is a gang with permits.
    names: Option<Vec<WorkerName>>,
}

impl Claim {
    /// Whether the claim comes before one of this priority and wait.
    fn precedes(&self, priority: u8, waited: Duration) -> bool {
        (self.priority, Reverse(self.waited)) <= (priority, Reverse(waited))
    }
}

/// The state of the exchange.
#[derive(Clone, Debug, Default)]
pub(super) struct Exchange {
    pub(super) assignments: Assignments,
    /// The number of shards; 0 or 1 if there is no exchange.
    shards: u16,
    /// The listed workers that other shards hold, with their home.
    elsewhere: HashMap<WorkerName, (WorkerListing, ShardId)>,
    /// Recorded assignments to other shards that these have not confirmed.
    unconfirmed: BTreeMap<WorkerName, Assignment>,
    /// Assignments to this shard that are being recorded, with the shard that announced them.
    arriving: BTreeMap<WorkerName, ShardId>,
    /// The workers that are to leave and are not vacant yet.
    departing: Vec<WorkerKey>,
    /// When the other shards last asked for workers.
    asked_by: HashMap<ShardId, Time>,
    next_round: Time,
    /// When a step last had a claim.
    last_claim: Time,
}

impl Engine {
    /// Makes the engine part of a fleet of `shards` shards. Must be called before workers are added.
    pub fn join_shards(&mut self, own: ShardId, shards: u16) {
        self.exchange.assignments = Assignments::new(own);
        self.exchange.shards = shards;
    }

    /// Loads a recorded assignment. Must be called before workers are added.
    pub fn load_assignment(&mut self, worker: WorkerName, assignment: Assignment) {
        if assignment.holder != self.exchange.assignments.own() {
            self.exchange.unconfirmed.insert(worker.clone(), assignment);
        }
        self.exchange.assignments.record(worker, assignment);
    }

    /// Adds or updates a worker from the platform's list, if this shard holds it.
    pub fn list_worker(&mut self, listing: WorkerListing, home: ShardId, now: Time) {
        let name = listing.name.clone();
        if !self.exchange.assignments.holds(&name, home) {
            self.exchange.elsewhere.insert(name, (listing, home));
            return;
        }
        self.set_worker(listing, now);
        let key = self.fleet.key(&name);
        if let Some(worker) = key.and_then(|key| self.fleet.get_mut(key)) {
            worker.home = Some(home);
        }
    }

    /// Forgets a worker of another shard that is no longer listed.
    pub(super) fn unlist_elsewhere(&mut self, name: &WorkerName) {
        self.exchange.elsewhere.remove(name);
    }

    /// Forgets the workers of other shards that are no longer listed.
    pub(super) fn retain_elsewhere(&mut self, is_listed: impl Fn(&WorkerName) -> bool) {
        self.exchange.elsewhere.retain(|name, _| is_listed(name));
    }

    /// A worker that is new to this owner.
    pub(super) fn new_worker(&self, listing: WorkerListing, listed: bool, now: Time) -> Worker {
        let assignment = self.exchange.assignments.get(&listing.name).copied();
        let mut worker = Worker::new(listing, listed, now);
        if let Some(assignment) = assignment {
            worker.fence_base = assignment.fence_base;
            worker.inherit_leases(now, now + Duration::from_millis(assignment.lease_left_ms));
        }
        worker
    }

    /// Asks for workers, returns them and announces assignments, when that is due.
    pub(super) fn exchange_workers(&mut self, now: Time) {
        if self.exchange.shards < 2 {
            return;
        }
        self.record_departures(now);
        if now < self.exchange.next_round {
            return;
        }
        self.exchange.next_round = now + ROUND_INTERVAL;
        let unconfirmed = self.exchange.unconfirmed.clone();
        self.announce(unconfirmed);
        if self.recovery.is_some() || !self.tenure.permits(now) {
            return;
        }
        let claims = self.claims(now);
        if claims.is_empty() {
            self.return_workers(now);
        } else {
            self.exchange.last_claim = now;
            self.ask_for_workers(&claims);
        }
    }

    /// Handles a message from the owner of the shard `from`.
    pub fn handle_exchange(&mut self, from: ShardId, message: ExchangeMessage, now: Time) {
        match message {
            ExchangeMessage::Wanted(wanted) => {
                self.exchange.asked_by.insert(from, now);
                if self.recovery.is_none() && self.tenure.permits(now) {
                    let claims = self.claims(now);
                    for wanted in wanted {
                        self.spare_workers(from, &wanted, &claims, now);
                    }
                }
            }
            ExchangeMessage::Assigned(assigned) => self.receive_workers(from, assigned),
            ExchangeMessage::Recorded(recorded) => {
                for (worker, generation) in recorded {
                    let unconfirmed = self.exchange.unconfirmed.get(&worker);
                    if unconfirmed.is_some_and(|assigned| assigned.generation <= generation) {
                        self.exchange.unconfirmed.remove(&worker);
                    }
                }
            }
        }
    }

    /// The claims of waiting steps, the most urgent first, then the longest wait.
    fn claims(&self, now: Time) -> Vec<Claim> {
        let waiting = self.waiting_steps(now).filter(|(_, waited, _)| {
            (waited.as_millis() / CLAIM_PERIOD.as_millis()).is_multiple_of(2)
        });
        let mut waiting: Vec<(u8, Duration, StepId)> = waiting.collect();
        waiting.sort_by_key(|(priority, waited, step)| (*priority, Reverse(*waited), *step));
        let claims = waiting.into_iter().take(MAX_CLAIMING_STEPS);
        let claims = claims.filter_map(|(_, waited, step)| self.claim(step, waited, now));
        claims.take(MAX_CLAIMS).collect()
    }

    /// The steps that have waited for a while: priority, how long, and which.
    fn waiting_steps(&self, now: Time) -> impl Iterator<Item = (u8, Duration, StepId)> {
        let waiting = self.ready.iter().filter_map(move |key| {
            let waited = now.since(self.step(key.step)?.waits_since?);
            Some((key.priority, waited, key.step))
        });
        waiting.filter(|(_, waited, _)| *waited >= MIN_WAIT)
    }

    fn claim(&self, id: StepId, waited: Duration, now: Time) -> Option<Claim> {
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
        let (per_worker, in_fleet) = self.room_in_fleet(id, spec, state);
        if waiting == 0 || in_fleet < if spec.gang { spec.tasks } else { 1 } {
            return None;
        }
        let missing = if spec.gang && held_back > 0 {
            0.0
        } else {
            f64::from(waiting) - self.expected_room(id, spec, state, now)
        };
        let names = (spec.gang && self.needs_permit(id)).then(|| {
            let names = self.elsewhere_for(id, spec).map(|listing| &listing.name);
            let eligible =
                names.filter(|name| state.permits.eligibility.get(*name).copied() == Some(true));
            let mut names: Vec<WorkerName> = eligible.cloned().collect();
            names.sort_unstable();
            names
        });
        let share = if names.is_some() {
            1.0
        } else {
            self.expected_share(id)
        };
        let per_worker = f64::from(per_worker) * share;
        // On probation, tasks of a step start one by one.
        let max = if state.is_blamed() && !spec.gang {
            1
        } else {
            MAX_WANTED
        };
        // The number of tasks is limited, so that the quotient is small.
        let workers = (missing / per_worker).ceil().max(0.0) as u32;
        Some(Claim {
            step: id,
            spec: spec.clone(),
            service: active.policy.service.clone(),
            priority: active.policy.priority,
            waited,
            workers: workers.min(max),
            names,
        })
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
    pub(super) fn workers_to_discover_elsewhere(
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
        let Some(waited) = waited.filter(|waited| *waited >= MIN_WAIT) else {
            return Vec::new();
        };
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
        } else if waited >= MIN_WAIT_IN_FULL_SHARD {
            own.saturating_add(spec.tasks)
        } else {
            return Vec::new();
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

    /// Asks the other shards for the workers that the claims need.
    fn ask_for_workers(&mut self, claims: &[Claim]) {
        let own = self.exchange.assignments.own();
        let others = u32::from(self.exchange.shards - 1);
        let mut names_left = MAX_NAMES;
        let mut wanted: Vec<WantedWorkers> = Vec::new();
        for claim in claims.iter().filter(|claim| claim.workers > 0) {
            let names = claim.names.as_ref().map(|names| {
                let wanted = claim.workers.saturating_mul(KNOWN_CAPACITY_PERCENT) / 100;
                let names = names.iter().take(wanted as usize);
                names.take(names_left).cloned().collect::<Vec<WorkerName>>()
            });
            if names.as_ref().is_some_and(Vec::is_empty) {
                continue;
            }
            names_left -= names.as_ref().map_or(0, Vec::len);
            wanted.push(WantedWorkers {
                service: claim.service.clone(),
                label: claim.spec.required_label.clone(),
                capacity: claim.spec.reserved(),
                workers: match names {
                    Some(_) => claim.workers,
                    None => claim.workers.div_ceil(others),
                },
                names: names.unwrap_or_default(),
                priority: claim.priority,
                waited_ms: as_millis(claim.waited),
            });
        }
        if wanted.is_empty() {
            return;
        }
        for to in (0..self.exchange.shards).map(ShardId) {
            if to != own {
                let message = ExchangeMessage::Wanted(wanted.clone());
                self.effects.push(Effect::Exchange { to, message });
            }
        }
    }

    /// Gives workers to the shard `to`: idle ones, those that it names or up to half of them, and then
    /// its home workers, which leave once their runs have ended.
    fn spare_workers(&mut self, to: ShardId, wanted: &WantedWorkers, claims: &[Claim], now: Time) {
        let waited = Duration::from_millis(wanted.waited_ms);
        let earlier = claims.iter();
        let earlier = earlier.filter(|claim| claim.precedes(wanted.priority, waited));
        let earlier: Vec<&Claim> = earlier.collect();
        let useful = self.fleet.iter().filter(|(_, worker)| {
            let label = wanted.label.as_ref();
            worker.is_usable(now)
                && worker.listing.service == wanted.service
                && label.is_none_or(|label| worker.listing.labels.contains(label))
                && wanted.capacity.fits_in(&worker.listing.capacity)
                && (wanted.names.is_empty() || wanted.names.contains(&worker.listing.name))
                && !earlier.iter().any(|claim| self.could_use(claim, worker))
        });
        let useful: Vec<(WorkerKey, &Worker)> = useful.collect();
        let idle = useful
            .iter()
            .filter(|(_, worker)| self.is_idle(worker, now));
        let mut idle: Vec<&(WorkerKey, &Worker)> = idle.collect();
        idle.sort_by_key(|(key, worker)| (worker.home != Some(to), *key));
        let spared = if wanted.names.is_empty() {
            idle.len().div_ceil(2)
        } else {
            idle.len()
        };
        let recalled = useful
            .iter()
            .filter(|(_, worker)| worker.home == Some(to) && !self.is_idle(worker, now));
        let given = idle.iter().take(spared).copied().chain(recalled);
        let given = given.take((wanted.workers as usize).min(self.removable_workers()));
        let keys: Vec<WorkerKey> = given.map(|(key, _)| *key).collect();
        self.begin_departures(&keys, to, now);
    }

    /// How many workers this shard may give away so that it keeps a part of its home workers.
    fn removable_workers(&self) -> usize {
        let own = self.exchange.assignments.own();
        let home = self.fleet.iter().filter_map(|(_, worker)| worker.home);
        let home = home.filter(|home| *home == own).count();
        let away = self.exchange.elsewhere.values();
        let away = away.filter(|(_, home)| *home == own).count();
        let kept = (home + away) * KEPT_PERCENT / 100;
        let staying = self.fleet.iter();
        let staying = staying.filter(|(_, worker)| worker.departure.is_none());
        staying.count().saturating_sub(kept)
    }

    /// Whether the worker could be assigned to another shard: nothing runs there, and it is not part
    /// of the reserve for urgent tasks.
    fn is_idle(&self, worker: &Worker, now: Time) -> bool {
        worker.is_usable(now) && worker.runs.is_empty() && !worker.in_urgent_reserve
    }

    /// Whether tasks of the step may start on the worker once it is empty.
    fn could_use(&self, claim: &Claim, worker: &Worker) -> bool {
        let state = self.step(claim.step);
        let eligible = state.and_then(|state| {
            let eligibility = &state.permits.eligibility;
            eligibility.get(&worker.listing.name).copied()
        });
        eligible != Some(false)
            && self.matches_step(worker, claim.step, &claim.spec)
            && claim.spec.reserved().fits_in(&worker.listing.capacity)
    }

    /// Returns idle workers to their home shards.
    fn return_workers(&mut self, now: Time) {
        if now.since(self.exchange.last_claim) < RETURN_AFTER {
            return;
        }
        let own = self.exchange.assignments.own();
        let waiting = self.waiting_steps(now).take(MAX_CLAIMING_STEPS);
        let resting: Vec<Claim> = waiting
            .filter_map(|(_, waited, step)| self.claim(step, waited, now))
            .collect();
        let idle = self.fleet.iter().filter_map(|(key, worker)| {
            let home = worker.home.filter(|home| *home != own)?;
            let is_unused = !resting.iter().any(|claim| self.could_use(claim, worker));
            (is_unused && self.is_idle(worker, now)).then_some((home, key))
        });
        let idle: Vec<(ShardId, WorkerKey)> = idle.take(MAX_RETURNED).collect();
        for (home, key) in idle {
            self.begin_departures(&[key], home, now);
        }
    }

    fn begin_departures(&mut self, keys: &[WorkerKey], to: ShardId, now: Time) {
        if keys.is_empty() {
            return;
        }
        tracing::info!(
            to = to.0,
            workers = keys.len(),
            "assigning workers to another shard"
        );
        for key in keys {
            if let Some(worker) = self.fleet.get_mut(*key) {
                worker.departure = Some(Departure {
                    to,
                    since: now,
                    recording: false,
                });
                self.exchange.departing.push(*key);
            }
        }
        self.record_departures(now);
    }

    /// Records the assignments of departing workers that are vacant. Those that do not become vacant
    /// stay.
    fn record_departures(&mut self, now: Time) {
        let max_lease_ms = self.cfg.max_lease_ms;
        for key in std::mem::take(&mut self.exchange.departing) {
            let Some(worker) = self.fleet.get_mut(key) else {
                continue;
            };
            let Some(departure) = worker.departure else {
                continue;
            };
            let token = worker.fence_base.saturating_add(self.fencing_token);
            if let Some(vacant) = worker.vacant(token, max_lease_ms, now) {
                worker.departure = Some(Departure {
                    recording: true,
                    ..departure
                });
                let name = worker.listing.name.clone();
                let assignments = &self.exchange.assignments;
                let assignment = assignments.assign(&name, departure.to, vacant);
                self.commit_queue.assign(name, assignment);
            } else if now.since(departure.since) > MAX_LEAVING {
                worker.departure = None;
            } else {
                self.exchange.departing.push(key);
            }
        }
    }

    /// Records the workers that another shard has assigned to this one.
    fn receive_workers(&mut self, from: ShardId, assigned: Vec<(WorkerName, Assignment)>) {
        let mut recorded = Vec::new();
        for (name, assignment) in assigned {
            let assignments = &self.exchange.assignments;
            if assignment.holder != assignments.own() {
                continue;
            }
            if assignments.is_news(&name, &assignment) {
                self.exchange.arriving.insert(name.clone(), from);
                self.commit_queue.assign(name, assignment);
            } else {
                recorded.push((name, assignment.generation));
            }
        }
        self.confirm(from, recorded);
    }

    /// Applies an assignment that is recorded in the store.
    pub(super) fn handle_recorded_assignments(
        &mut self,
        recorded: &[(WorkerName, Assignment)],
        now: Time,
    ) {
        let own = self.exchange.assignments.own();
        let mut departed = BTreeMap::new();
        let mut arrived: BTreeMap<ShardId, Vec<(WorkerName, u64)>> = BTreeMap::new();
        for (name, assignment) in recorded {
            let assignments = &mut self.exchange.assignments;
            assignments.record(name.clone(), *assignment);
            if assignment.holder != own {
                self.remove_departed(name);
                departed.insert(name.clone(), *assignment);
                continue;
            }
            if let Some(from) = self.exchange.arriving.remove(name) {
                let names = arrived.entry(from).or_default();
                names.push((name.clone(), assignment.generation));
            }
            if let Some((listing, home)) = self.exchange.elsewhere.remove(name) {
                self.list_worker(listing, home, now);
            }
        }
        for (from, names) in arrived {
            tracing::info!(
                from = from.0,
                workers = names.len(),
                "workers of another shard have been assigned to this one"
            );
            self.confirm(from, names);
        }
        self.exchange.unconfirmed.extend(departed.clone());
        self.announce(departed);
    }

    fn remove_departed(&mut self, name: &WorkerName) {
        let Some(key) = self.fleet.key(name) else {
            return;
        };
        self.mark_stored_part(key);
        if let Some(worker) = self.fleet.get(key)
            && worker.listed
            && let Some(home) = worker.home
        {
            let elsewhere = (worker.listing.clone(), home);
            self.exchange.elsewhere.insert(name.clone(), elsewhere);
        }
        self.fleet.remove(key);
    }

    /// Keeps a worker whose assignment the store rejects.
    pub(super) fn give_up_assignment(&mut self, name: &WorkerName) {
        self.exchange.arriving.remove(name);
        let key = self.fleet.key(name);
        if let Some(worker) = key.and_then(|key| self.fleet.get_mut(key)) {
            worker.departure = None;
        }
    }

    fn announce(&mut self, assigned: BTreeMap<WorkerName, Assignment>) {
        let mut by_holder: BTreeMap<ShardId, Vec<(WorkerName, Assignment)>> = BTreeMap::new();
        for (name, assignment) in assigned {
            let names = by_holder.entry(assignment.holder).or_default();
            names.push((name, assignment));
        }
        for (to, assigned) in by_holder {
            for assigned in assigned.chunks(MAX_ANNOUNCED) {
                let message = ExchangeMessage::Assigned(assigned.to_vec());
                self.effects.push(Effect::Exchange { to, message });
            }
        }
    }

    fn confirm(&mut self, to: ShardId, recorded: Vec<(WorkerName, u64)>) {
        if !recorded.is_empty() {
            let message = ExchangeMessage::Recorded(recorded);
            self.effects.push(Effect::Exchange { to, message });
        }
    }

    fn step(&self, id: StepId) -> Option<&StepState> {
        let active = self.active.get(&id.workflow)?;
        active.steps.get(&(id.occurrence, id.step))
    }
}

impl Engine {
    /// Whether this shard holds the worker, and its owner uses it.
    pub fn holds_worker(&self, name: &WorkerName) -> bool {
        let worker = self.fleet.key(name).and_then(|key| self.fleet.get(key));
        worker.is_some_and(|worker| worker.departure.is_none())
    }
}
