//! Placement of waiting tasks on workers, the most urgent first.

use std::cmp::Reverse;
use std::collections::HashSet;
use std::time::Duration;

use super::{Engine, ReadyKey};
use crate::model::{Resources, Time};
use crate::workflow::fleet::{Worker, WorkerKey};
use crate::workflow::policy::URGENT_PRIORITY;
use crate::workflow::spec::{StepId, StepSpec};

/// The interval between two choices of the workers on which capacity is reserved for urgent tasks.
const URGENT_RESERVE_INTERVAL: Duration = Duration::from_millis(250);

/// A worker that can run tasks of a step.
#[derive(Clone, Copy, Debug)]
pub(super) struct Candidate {
    worker: WorkerKey,
    /// The number of tasks that fit.
    fitting: u32,
    /// Lower is better.
    rank: (bool, Rank),
}

/// The rank of a worker for a step; lower is better.
type Rank = (bool, i64, bool, u32);

impl Engine {
    /// Tries to place the steps that may start.
    pub(super) fn place_ready_steps(&mut self, now: Time) {
        if self.ready.is_empty() {
            self.admission.backlog = None;
            return;
        }
        self.clear_reservations();
        self.update_urgent_reserve(now);
        let max_free = self.max_free_capacity(now);
        self.count_running();
        self.is_timely_step_waiting = self.ready.iter().any(|key| key.deadline >= now);
        let mut steps = self.steps_of_round(now);
        if let Some(gang) = self.next_gang(now) {
            steps.retain(|key| *key != gang);
            let ahead = steps.iter();
            let ahead = ahead.take_while(|key| key.priority < gang.priority);
            steps.insert(ahead.count(), gang);
        }
        for key in steps {
            self.place_step(key, &max_free, now);
        }
    }

    /// Records the urgent load, and chooses the workers on which capacity is reserved for it.
    fn update_urgent_reserve(&mut self, now: Time) {
        if now.since(self.last_urgent_reserve) < URGENT_RESERVE_INTERVAL {
            return;
        }
        self.last_urgent_reserve = now;
        let (mut used, mut total) = (Resources::default(), Resources::default());
        for (_, worker) in self.fleet.iter() {
            used = used.plus(worker.urgent());
            total = total.plus(&worker.listing.capacity);
        }
        let urgent = used.plus(&self.urgent_tasks_without_room(now));
        self.urgent_load.record(&urgent, &total, now);
        self.urgent_use.record(used, now);
        self.keep_room_for_urgent(&used, now);
        let usable = self
            .fleet
            .iter()
            .filter(|(_, worker)| worker.is_usable(now));
        let usable = usable.map(|(key, worker)| (key, worker.speed()));
        let reserved = self.urgent_load.choose_workers(usable.collect());
        let reserved: HashSet<WorkerKey> = reserved.into_iter().collect();
        for (key, worker) in self.fleet.iter_mut() {
            worker.in_urgent_reserve = reserved.contains(&key);
        }
    }

    /// Chooses what long-running tasks leave to urgent ones, which use `used` now: the rest of their
    /// recent peak. It lies on the fastest workers, among these on those with the most free capacity,
    /// so that its parts hold whole tasks.
    fn keep_room_for_urgent(&mut self, used: &Resources, now: Time) {
        let mut missing = self.urgent_use.peak().minus(used);
        let mut workers: Vec<_> = self.fleet.iter_mut().collect();
        workers.sort_by_key(|(key, worker)| {
            let free_cpu_milli = worker.free_capacity().cpu_milli;
            (Reverse((speed_class(worker), free_cpu_milli)), *key)
        });
        for (_, worker) in workers {
            worker.kept_for_urgent = *worker.urgent();
            if worker.is_usable(now) {
                let free = worker.free_capacity();
                worker.kept_for_urgent = worker
                    .kept_for_urgent
                    .plus(&Resources::min(&missing, &free));
                missing = missing.minus(&free);
            }
        }
    }

    /// The resources of the urgent tasks that only lack room. Those that wait for their record or for a
    /// permit would not start on free capacity either, nor would those that limits hold back. Excess
    /// submissions reserve none.
    fn urgent_tasks_without_room(&self, now: Time) -> Resources {
        let urgent = self.ready.iter();
        let urgent = urgent.take_while(|key| key.priority == URGENT_PRIORITY);
        let urgent = urgent
            .filter(|key| key.guaranteed_at <= now && self.accounts.allow(key.account, &key.least));
        urgent.fold(Resources::default(), |sum, key| {
            let step = key.step;
            let active = self.active.get(&step.workflow);
            let Some(active) = active.filter(|active| active.recorded) else {
                return sum;
            };
            let state = active.steps.get(&(step.occurrence, step.step));
            let spec = active.spec.steps.get(step.step as usize);
            let (Some(state), Some(spec)) = (state, spec) else {
                return sum;
            };
            if self.needs_permit(step) && state.permits.granted.is_empty() {
                return sum;
            }
            let waiting = u32::try_from(state.waiting().count()).unwrap_or(u32::MAX);
            sum.plus(&spec.reserved().times(waiting))
        })
    }

    /// The maximum free capacity of a usable worker, separately for each resource. The free
    /// capacity only shrinks within a round, so that the result remains an upper bound.
    fn max_free_capacity(&self, now: Time) -> Resources {
        let workers = self.fleet.iter().map(|(_, worker)| worker);
        let usable = workers.filter(|worker| worker.is_usable(now));
        usable.fold(Resources::default(), |max, worker| {
            Resources::max(&max, &worker.free_capacity())
        })
    }

    fn place_step(&mut self, key: ReadyKey, max_free: &Resources, now: Time) {
        let id = key.step;
        let Some(active) = self.active.get(&id.workflow) else {
            self.ready.remove(&key);
            return;
        };
        let waits = active
            .steps
            .get(&(id.occurrence, id.step))
            .is_some_and(|state| state.waiting().next().is_some());
        if active.is_final() || !waits {
            self.ready.remove(&key);
            return;
        }
        let Some(spec) = active.spec.clone().steps.get(id.step as usize).cloned() else {
            return;
        };
        let recorded = active.recorded;
        if self.allowed_tasks(id, &spec) == 0 {
            self.wait_for_limit(id, &spec, now);
            return;
        }
        let may_fit = recorded && spec.reserved().fits_in(max_free);
        if may_fit && self.place_tasks(id, &spec, now) {
            self.set_waits_since(id, None);
            return;
        }
        if recorded {
            self.set_waits_since(id, Some(now));
        }
        if self.allowed_tasks(id, &spec) == 0 {
            // The limit allowed only the tasks that were just placed.
            return;
        }
        // Permits are requested even while no worker has free capacity.
        if self.needs_permit(id) {
            self.request_permits(id, &spec, now);
        }
        self.log_waiting_step(id, &spec, now);
        if spec.gang && recorded {
            self.reserve_for_gang(id, &spec, now);
            self.hold_limit_for_gang(id, &spec, now);
        }
    }

    /// Leaves a step waiting that the limit of its account holds back. It requests no permits and
    /// reserves no capacity.
    fn wait_for_limit(&mut self, id: StepId, spec: &StepSpec, now: Time) {
        // It does not wait for capacity, so that it claims no workers of other shards.
        self.set_waits_since(id, None);
        self.log_limited_step(id, now);
        if spec.gang {
            self.hold_limit_for_gang(id, spec, now);
        }
    }

    /// Records that the step waits, or that it does not.
    fn set_waits_since(&mut self, id: StepId, since: Option<Time>) {
        if let Some(state) = self.step_mut(id) {
            state.waits_since = since.map(|now| state.waits_since.unwrap_or(now));
        }
    }

    /// Places the tasks of the step that fit, a gang only as a whole. Returns whether all waiting
    /// tasks were placed.
    fn place_tasks(&mut self, id: StepId, spec: &StepSpec, now: Time) -> bool {
        let Some(active) = self.active.get(&id.workflow) else {
            return false;
        };
        let Some(state) = active.steps.get(&(id.occurrence, id.step)) else {
            return false;
        };
        let all_waiting = state.waiting();
        let ready = all_waiting.filter(|index| {
            let task = &state.tasks[*index as usize];
            task.not_before <= now && task.unverified.is_none()
        });
        let mut ready: Vec<u32> = ready.collect();
        let waiting = state.waiting().count();
        if spec.gang && ready.len() < state.tasks.len() {
            return false;
        }
        let allowed = self.allowed_tasks(id, spec);
        ready.truncate(allowed as usize);
        if ready.is_empty() {
            return false;
        }
        let run = state.last_run.max(self.first_run() - 1) + 1;
        let mut candidates = self.candidates(id, spec, active.policy.priority, now);
        if spec.gang && spec.same_rack {
            candidates = self.restrict_to_one_rack(candidates, ready.len());
        }
        if state.is_blamed() && !spec.gang {
            // The tasks that are blamed go first, so that the others need no probation.
            ready.sort_by_key(|index| Reverse(state.progress.crashes_of(*index).count()));
            self.restrict_to_probation(id, state, &mut candidates);
        }
        let workers = assign_workers(&candidates, ready.len());
        if workers.is_empty() || (spec.gang && workers.len() < ready.len()) {
            return false;
        }
        let placed = workers.len();
        for (index, worker) in ready.into_iter().zip(workers) {
            self.assign_run(worker, id.task(index), run, spec, now);
        }
        placed == waiting
    }

    /// The workers that can run a task of the step now, the best first.
    fn candidates(&self, id: StepId, spec: &StepSpec, priority: u8, now: Time) -> Vec<Candidate> {
        let needs_permit = self.needs_permit(id);
        let Some(state) = self
            .active
            .get(&id.workflow)
            .and_then(|active| active.steps.get(&(id.occurrence, id.step)))
        else {
            return Vec::new();
        };
        let permitted = |key: WorkerKey, worker: &Worker| {
            let permit = state.permits.granted.get(&key);
            permit
                .is_some_and(|permit| permit.expires_at > now && permit.boot == worker.listing.boot)
        };
        let of_permits = state.permits.granted.keys();
        let of_permits = of_permits.filter_map(|key| Some((*key, self.fleet.get(*key)?)));
        let workers: Vec<(WorkerKey, &Worker)> = if needs_permit {
            let mut workers: Vec<_> = of_permits.collect();
            workers.retain(|(key, worker)| permitted(*key, worker));
            // The permits are in no fixed order.
            workers.sort_unstable_by_key(|(key, _)| *key);
            workers
        } else {
            self.fleet.iter().collect()
        };
        let mut candidates = Vec::new();
        for (key, worker) in workers {
            if !worker.is_usable(now) || !self.matches_step(worker, id, spec) {
                continue;
            }
            if worker.is_on_probation_for_other(id.workflow, now) {
                continue;
            }
            let max = spec
                .max_per_worker
                .map_or(u32::MAX, |max| max.saturating_sub(state.count_on(key)));
            let fitting = self.fitting_tasks(worker, spec, priority, max.min(spec.tasks));
            if fitting > 0 {
                let would_share_blame = state.is_blamed() && worker.has_recent_start(now);
                let rank = (would_share_blame, rank(worker, spec, priority));
                candidates.push(Candidate {
                    worker: key,
                    fitting,
                    rank,
                });
            }
        }
        candidates.sort_by_key(|candidate| candidate.rank);
        candidates
    }

    /// How many tasks of the step fit on the worker, up to `max`. Tasks that are not urgent leave the
    /// reserve to urgent ones, long-running ones only their recent peak. Gangs may use the whole
    /// worker, since only few workers may have a permit for them.
    pub(super) fn fitting_tasks(
        &self,
        worker: &Worker,
        spec: &StepSpec,
        priority: u8,
        max: u32,
    ) -> u32 {
        if priority == URGENT_PRIORITY || spec.gang {
            return worker.fitting_tasks(&spec.reserved(), max);
        }
        if spec.long_running {
            return worker.fitting_long_running_tasks(&spec.reserved(), max);
        }
        worker.fitting_tasks_beside_reserve(&spec.reserved(), max)
    }

    /// Whether the worker belongs to the service of the step's queue and has the required label.
    pub(super) fn matches_step(&self, worker: &Worker, id: StepId, spec: &StepSpec) -> bool {
        let Some(active) = self.active.get(&id.workflow) else {
            return false;
        };
        let label = spec.required_label.as_ref();
        worker.listing.service == active.policy.service
            && label.is_none_or(|label| worker.listing.labels.contains(label))
    }

    /// The candidates on the first rack on which the whole gang fits, or all candidates if there is
    /// none.
    fn restrict_to_one_rack(&self, candidates: Vec<Candidate>, tasks: usize) -> Vec<Candidate> {
        let rack = |candidate: &Candidate| {
            let worker = self.fleet.get(candidate.worker);
            worker.and_then(|worker| worker.listing.rack.as_deref())
        };
        for first in &candidates {
            let on_rack = candidates.iter().filter(|other| rack(other) == rack(first));
            let on_rack: Vec<Candidate> = on_rack.copied().collect();
            let fitting: usize = on_rack
                .iter()
                .map(|candidate| candidate.fitting as usize)
                .sum();
            if fitting >= tasks {
                return on_rack;
            }
        }
        candidates
    }
}

/// Ranks a worker for a step; lower is better.
///
/// Data locality takes precedence. Urgent tasks prefer fast workers, other tasks slow ones. Among
/// workers of similar speed, all tasks prefer those that no gang waits for, then those with less free
/// capacity, which keeps whole workers free for gangs.
fn rank(worker: &Worker, spec: &StepSpec, priority: u8) -> Rank {
    let is_remote = spec.data_rack.is_some() && spec.data_rack != worker.listing.rack;
    let speed_class = speed_class(worker);
    let speed_rank = if priority == URGENT_PRIORITY {
        -speed_class
    } else {
        speed_class
    };
    let disturbs_gang = !spec.gang && worker.is_wanted_by_gang();
    let free_cpu_milli = worker.free_capacity().cpu_milli;
    (is_remote, speed_rank, disturbs_gang, free_cpu_milli)
}

/// The class of workers of similar speed that this one belongs to; higher is faster.
fn speed_class(worker: &Worker) -> i64 {
    /// The width of a class; the speed of a worker is relative to estimates.
    const SPEED_CLASS_WIDTH: f64 = 0.2;
    (worker.speed() / SPEED_CLASS_WIDTH).round() as i64
}

/// Assigns workers to up to `tasks` tasks and fills one candidate after the other.
fn assign_workers(candidates: &[Candidate], tasks: usize) -> Vec<WorkerKey> {
    let workers = candidates
        .iter()
        .flat_map(|candidate| std::iter::repeat_n(candidate.worker, candidate.fitting as usize));
    workers.take(tasks).collect()
}
