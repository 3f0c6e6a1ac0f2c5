//! Reservations of free capacity for waiting gangs.
//!
//! All tasks of a gang start together, on the few workers that are eligible for the step. On a busy
//! fleet, capacity becomes free one task at a time, and tasks of other steps take it before it is
//! enough for a gang. A gang that cannot start therefore reserves free capacity on eligible workers
//! against the steps that come later in the placement order. A reservation lasts for one placement
//! round, and the next round makes it again, so that none outlives its gang. A gang whose eligible
//! workers run tasks that are not expected to end reserves none if it lacks their capacity.

use std::cmp::Reverse;

use super::Engine;
use crate::model::{Resources, Time};
use crate::workflow::fleet::{WorkerKey, fitting_count};
use crate::workflow::spec::{StepId, StepSpec};

/// The part of the shard's processors, in percent, that is reserved before a further gang reserves
/// any, while other steps can be in time. Gangs that reserve at the same time share the capacity that
/// becomes free, and leave it unused for longer than one after the other.
const MAX_RESERVED_PERCENT: u64 = 15;

/// A worker that is eligible for a gang.
#[derive(Clone, Copy, Debug)]
struct EligibleWorker {
    key: WorkerKey,
    /// The number of the gang's tasks that fit now.
    fitting: u32,
    /// The number that would fit once the runs have ended that are expected to end.
    fitting_later: u32,
    free: Resources,
}

impl Engine {
    /// Removes the reservations of the previous placement round.
    pub(super) fn clear_reservations(&mut self) {
        for (_, worker) in self.fleet.iter_mut() {
            worker.clear_reservation();
        }
    }

    /// Reserves capacity for a gang that cannot start yet, if its eligible workers hold it once the runs
    /// have ended that are expected to end. Otherwise it would keep capacity from others that it could
    /// not use.
    pub(super) fn reserve_for_gang(&mut self, id: StepId, spec: &StepSpec, now: Time) {
        let is_next = self.late_gangs.is_next(id);
        let is_at_limit = || self.reserved_percent() >= MAX_RESERVED_PERCENT;
        if !is_next && self.is_timely_step_waiting && is_at_limit() {
            return;
        }
        let workers = self.eligible_workers(id, spec, now);
        // Workers of other shards are on their way to the gang that is next.
        if !is_next && room_later(&workers) < spec.tasks {
            return;
        }
        for (key, reserved) in reservations(workers, &spec.reserved(), spec.tasks) {
            if let Some(worker) = self.fleet.get_mut(key) {
                worker.reserve_for_gang(&reserved);
            }
        }
    }

    /// The part of the processors of all workers that gangs reserve, in percent.
    pub(super) fn reserved_percent(&self) -> u64 {
        let (mut total, mut reserved) = (0, 0);
        for (_, worker) in self.fleet.iter() {
            total += u64::from(worker.listing.capacity.cpu_milli);
            reserved += u64::from(worker.reserved_for_gangs().cpu_milli);
        }
        reserved * 100 / total.max(1)
    }

    /// The number of the gang's tasks that fit on its eligible workers once the runs have ended that are
    /// expected to end, with those of other shards if its own has too few.
    pub(super) fn room_in_reach(&self, id: StepId, spec: &StepSpec, now: Time) -> u32 {
        let own = room_later(&self.eligible_workers(id, spec, now));
        if own >= spec.tasks {
            return own;
        }
        own.saturating_add(self.eligible_room_elsewhere(id, spec))
    }

    fn eligible_workers(&self, id: StepId, spec: &StepSpec, now: Time) -> Vec<EligibleWorker> {
        let needs_permit = self.needs_permit(id);
        let Some(active) = self.active.get(&id.workflow) else {
            return Vec::new();
        };
        let Some(state) = active.steps.get(&(id.occurrence, id.step)) else {
            return Vec::new();
        };
        let max = spec.max_per_worker.unwrap_or(u32::MAX).min(spec.tasks);
        let mut workers = Vec::new();
        for (key, worker) in self.fleet.iter() {
            let has_eligibility = || {
                let eligible = state.permits.eligibility.get(&worker.listing.name);
                eligible.copied().unwrap_or(false)
            };
            let is_eligible = worker.is_usable(now)
                && (!needs_permit || has_eligibility())
                && self.matches_step(worker, id, spec);
            if !is_eligible {
                continue;
            }
            let capacity = worker.capacity_once_ended(now);
            let fitting_later = fitting_count(&spec.reserved(), &capacity).min(max);
            if fitting_later > 0 {
                workers.push(EligibleWorker {
                    key,
                    fitting: self.fitting_tasks(worker, spec, active.policy.priority, max),
                    fitting_later,
                    free: worker.free_capacity(),
                });
            }
        }
        workers
    }
}

fn room_later(workers: &[EligibleWorker]) -> u32 {
    let later = workers.iter().map(|worker| worker.fitting_later);
    later.fold(0, u32::saturating_add)
}

/// The capacity to reserve for a gang of `tasks` that need `need` each: first where tasks fit now,
/// then, for one task a worker, all free capacity of the workers that lack the least of it.
fn reservations(
    mut workers: Vec<EligibleWorker>,
    need: &Resources,
    tasks: u32,
) -> Vec<(WorkerKey, Resources)> {
    workers.sort_by_key(|worker| Reverse((worker.fitting, worker.free.cpu_milli)));
    let mut missing = tasks;
    let mut reserved = Vec::new();
    for worker in workers {
        if missing == 0 {
            break;
        }
        let covered = worker.fitting.min(missing);
        let capacity = if covered > 0 {
            need.times(covered)
        } else {
            need.min(&worker.free)
        };
        reserved.push((worker.key, capacity));
        missing -= covered.max(1);
    }
    reserved
}
