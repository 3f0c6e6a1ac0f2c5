//! The order in which waiting steps are placed, see [`crate::decide::least_cost`].

use std::collections::HashMap;
use std::ops::Bound::{Excluded, Included, Unbounded};
use std::time::Duration;

use super::admission::Admission;
use super::{Engine, ReadyKey};
use crate::decide::admission_estimate::Backlog;
use crate::decide::least_cost::{LATE_FACTOR, Pool, Timing, WaitingStep, order};
use crate::model::{Resources, ServiceName, Time};
use crate::workflow::active::ActiveWorkflow;
use crate::workflow::fleet::{Worker, fitting_count};
use crate::workflow::spec::{StepId, StepSpec, WorkflowId};

/// The maximum number of steps that a round sorts by what is left of their objective: those that may
/// still be in time, by priority and deadline.
const TIMELY_STEPS_PER_ROUND: usize = 1_024;

/// The maximum number of these of one priority, so that none hides the others.
const TIMELY_STEPS_PER_PRIORITY: usize = 512;

/// The number of steps of each priority whose deadline has just passed that a round sorts.
const LATE_STEPS_PER_PRIORITY: usize = 256;

/// The number of steps of each priority whose deadline passed first that a round sorts.
const OLDEST_STEPS_PER_PRIORITY: usize = 32;

/// The maximum number of further steps in a round. Rounds take turns with these, so that steps that
/// fit nowhere hold up none behind them.
const LATER_STEPS_PER_ROUND: usize = 128;

/// The number of steps at the head of the order that a round tries to place.
const FIRST_STEPS_PER_ROUND: usize = 256;

/// The part of the processors, in percent, that overdue steps may use ahead of others. If they could
/// use all, each step would wait until it is worth nothing once a backlog has built up.
const MAX_OVERDUE_PERCENT: u64 = 20;

/// The lowest id of a step.
const FIRST_STEP_ID: StepId = StepId {
    workflow: WorkflowId(0),
    occurrence: 0,
    step: 0,
};

/// The workers of a service in a placement round.
#[derive(Clone, Copy, Debug, Default)]
struct ServicePool {
    pool: Pool,
    total: Resources,
    /// The largest capacity of a worker, separately for each resource.
    largest: Resources,
}

/// The workers of all services in a placement round.
#[derive(Clone, Debug, Default)]
pub(super) struct Pools {
    services: HashMap<ServiceName, usize>,
    pools: Vec<ServicePool>,
    /// The processors that overdue steps use, in thousandths of a core.
    overdue_milli: u64,
}

impl Pools {
    fn add(&mut self, worker: &Worker, now: Time) {
        let next = self.pools.len();
        let service = worker.listing.service.clone();
        let index = *self.services.entry(service).or_insert(next);
        if index == next {
            self.pools.push(ServicePool::default());
        }
        self.overdue_milli += u64::from(worker.overdue_milli());
        let Some(service) = self.pools.get_mut(index).filter(|_| worker.is_usable(now)) else {
            return;
        };
        let capacity = &worker.listing.capacity;
        service.total = service.total.plus(capacity);
        service.largest = Resources::max(&service.largest, capacity);
        let load = worker.load(now);
        service.pool.cpu_milli += load.cpu_milli;
        service.pool.busy_milli += load.busy_milli;
        service.pool.running_work += load.running_work;
    }

    /// The index of a service in [`Self::list`]; beyond its end if the service has no workers.
    pub(super) fn index(&self, service: &ServiceName) -> usize {
        let index = self.services.get(service).copied();
        index.unwrap_or(self.pools.len())
    }

    fn list(&self) -> Vec<Pool> {
        self.pools.iter().map(|service| service.pool).collect()
    }

    /// The processors that a task of the step keeps from others, in thousandths of a core: those in the
    /// proportion of its scarcest resource, with what its tasks leave unused on a worker.
    fn cost_milli(&self, pool: usize, need: &Resources) -> u64 {
        let Some(service) = self.pools.get(pool) else {
            return u64::from(need.cpu_milli);
        };
        let total = &service.total;
        let in_cpu = |need: u32, of: u32| {
            let product = u64::from(need) * u64::from(total.cpu_milli);
            product.checked_div(u64::from(of)).unwrap_or(0)
        };
        let memory = in_cpu(need.memory_mib, total.memory_mib);
        let accelerators = in_cpu(need.accelerators, total.accelerators);
        let cost = u64::from(need.cpu_milli).max(memory).max(accelerators);
        let fitting = u64::from(fitting_count(need, &service.largest));
        let in_turn = u64::from(service.largest.cpu_milli).checked_div(fitting);
        cost.max(in_turn.unwrap_or(cost))
    }
}

impl Engine {
    /// The steps that this round tries to place, in order.
    pub(super) fn steps_of_round(&mut self, now: Time) -> Vec<ReadyKey> {
        if !self.cfg.overload_control {
            return self.steps_by_deadline(now);
        }
        let mut keys = self.leading_steps(now);
        let later = self.later_steps();
        let is_later = |key: &ReadyKey| later.binary_search(key).is_ok();
        keys.extend(&later);
        keys.sort_unstable();
        keys.dedup();
        self.compare_with_weights(&keys);
        let mut ordered = self.sort_for_placement(&keys, now);
        let mut position = 0;
        ordered.retain(|key| {
            position += 1;
            position <= FIRST_STEPS_PER_ROUND || is_later(key)
        });
        ordered
    }

    /// The steps of each priority that may be first in the order: those whose deadline is ahead, and
    /// of the others the newest and the oldest. Expired steps, of which there may be many, hide none.
    fn leading_steps(&self, now: Time) -> Vec<ReadyKey> {
        let mut keys = Vec::new();
        let mut timely_left = TIMELY_STEPS_PER_ROUND;
        let mut next = self.ready.first();
        while let Some(first) = next {
            let at = |deadline| ReadyKey {
                deadline,
                step: FIRST_STEP_ID,
                ..*first
            };
            let is_same = |key: &&ReadyKey| key.priority == first.priority;
            let may_start = |key: &&ReadyKey| self.accounts.allow(key.account, &key.least);
            let timely = self.ready.range(at(now)..).take_while(is_same);
            let timely = timely.filter(may_start);
            let timely = timely.take(timely_left.min(TIMELY_STEPS_PER_PRIORITY));
            let before = keys.len();
            keys.extend(timely.copied());
            timely_left -= keys.len() - before;
            let passed = self.ready.range(first..).take_while(is_same);
            let passed = passed.filter(may_start);
            keys.extend(passed.take(OLDEST_STEPS_PER_PRIORITY).copied());
            let passed = self.ready.range(..at(now)).rev().take_while(is_same);
            let passed = passed.filter(may_start);
            keys.extend(passed.take(LATE_STEPS_PER_PRIORITY).copied());
            let priority = first.priority.checked_add(1);
            next = priority.and_then(|priority| {
                let start = ReadyKey {
                    priority,
                    ..at(Time::default())
                };
                self.ready.range(start..).next()
            });
        }
        keys
    }

    /// The steps that have their turn in this round, in ascending order.
    fn later_steps(&mut self) -> Vec<ReadyKey> {
        let Some(first) = self.ready.first().copied() else {
            return Vec::new();
        };
        let start = self.last_later_step.unwrap_or(first);
        let later = self.ready.range((Excluded(start), Unbounded));
        let later = later.chain(self.ready.range((Unbounded, Included(start))));
        let mut later: Vec<ReadyKey> = later.take(LATER_STEPS_PER_ROUND).copied().collect();
        self.last_later_step = later.last().copied();
        later.sort_unstable();
        later
    }

    /// Sorts steps into the order in which they are placed, and keeps what the admission of further ones
    /// depends on.
    fn sort_for_placement(&mut self, keys: &[ReadyKey], now: Time) -> Vec<ReadyKey> {
        let pools = self.pools(now);
        let steps = keys.iter().filter_map(|key| {
            let step = self.waiting_step(key, &pools, now)?;
            Some((*key, step))
        });
        let (keys, steps): (Vec<ReadyKey>, Vec<WaitingStep>) = steps.unzip();
        let list = pools.list();
        let total_milli: u64 = list.iter().map(|pool| pool.cpu_milli).sum();
        let overdue_may_go = pools.overdue_milli * 100 < total_milli * MAX_OVERDUE_PERCENT;
        let order = order(&steps, &list, overdue_may_go, now);
        let in_order = order.iter().map(|(index, place)| (&steps[*index], *place));
        self.admission = Admission {
            backlog: Some(Backlog::new(list, in_order, now)),
            pools,
            at: now,
        };
        order.into_iter().map(|(index, _)| keys[index]).collect()
    }

    /// The workers by service.
    fn pools(&self, now: Time) -> Pools {
        let mut pools = Pools::default();
        for (_, worker) in self.fleet.iter() {
            pools.add(worker, now);
        }
        pools
    }

    fn waiting_step(&self, key: &ReadyKey, pools: &Pools, now: Time) -> Option<WaitingStep> {
        let id = key.step;
        let active = self.active.get(&id.workflow)?;
        let spec = active.spec.steps.get(id.step as usize)?;
        let state = active.steps.get(&(id.occurrence, id.step))?;
        let pool = pools.index(&active.policy.service);
        let tasks = state.waiting().count() as u64;
        let run_time = self
            .run_times
            .predict(&active.policy.name, spec.estimate_ms);
        let need = spec.reserved();
        let (work, least_work) = if spec.long_running {
            (0, 0)
        } else {
            let work = pools.cost_milli(pool, &need) * run_time.expected_ms * tasks;
            let least_work = u64::from(need.cpu_milli) * run_time.lowest_ms * tasks;
            (work, least_work)
        };
        Some(WaitingStep {
            is_excess: self.is_excess(id.workflow, now),
            priority: key.priority,
            exceeds_weight: self.exceeds_weight(id.workflow),
            timing: self.timing(key, active, spec),
            deadline: key.deadline,
            work,
            least_work,
            is_large: self.run_times.is_large(&active.policy.name, spec.size()),
            pool,
            hash: xxhash_rust::xxh3::xxh3_64(&id.workflow.0.to_le_bytes()),
        })
    }

    /// The time left for a step; `None` for long-running tasks, which have no end that could be late.
    fn timing(&self, key: &ReadyKey, active: &ActiveWorkflow, spec: &StepSpec) -> Option<Timing> {
        if spec.long_running {
            return None;
        }
        let run_time = |spec: &StepSpec| {
            self.run_times
                .predict(&active.policy.name, spec.estimate_ms)
        };
        let path = |run_ms: &dyn Fn(&StepSpec) -> u64| {
            let after_ms = active.spec.path_after(key.step.step, run_ms);
            Duration::from_millis(run_ms(spec) + after_ms)
        };
        let objective = active.policy.latency_objective(active.critical_path_ms);
        Some(Timing {
            deadline: key.deadline,
            expires_at: key.deadline + objective.saturating_mul(LATE_FACTOR - 1),
            path: path(&|spec| run_time(spec).lowest_ms),
            expected_path: path(&|spec| run_time(spec).expected_ms),
        })
    }

    /// Whether the step goes ahead of others because it has been expired for long.
    pub(super) fn is_overdue(&self, step: StepId, now: Time) -> bool {
        let Some(key) = self.ready_key(step) else {
            return false;
        };
        let Some(active) = self.active.get(&step.workflow) else {
            return false;
        };
        let spec = active.spec.steps.get(step.step as usize);
        let timing = spec.and_then(|spec| self.timing(&key, active, spec));
        timing.is_some_and(|timing| timing.is_overdue(now))
    }
}
