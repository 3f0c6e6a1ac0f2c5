//! Places the tasks that wait, the most urgent first.

use super::{Engine, ReadyKey};
use crate::model::{Resources, Time};
use crate::workflow::fleet::{Worker, WorkerKey};
use crate::workflow::spec::{StepId, StepSpec};

/// The most steps that one round tries to place; the rest waits for what the first ones leave.
const STEPS_PER_ROUND: usize = 256;

/// The priority of work for which someone waits.
const URGENT: u8 = 0;

/// The part of each worker's processors that only urgent tasks use, in percent: the share that they
/// bring of the work on the users' sites, 86 of 768 cores.
const URGENT_SHARE_PERCENT: u32 = 11;

/// A worker that may take tasks of a step, and how many.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    worker: WorkerKey,
    fits: u32,
    /// Lower is better.
    rank: (bool, i64, u32),
}

impl Engine {
    /// Tries to place each step that may start.
    pub(super) fn place_ready(&mut self, now: Time) {
        if self.ready.is_empty() {
            return;
        }
        let most = self.most_room(now);
        let first = self.ready.iter().take(STEPS_PER_ROUND);
        let keys: Vec<ReadyKey> = first.copied().collect();
        for key in keys {
            self.place_step(key, &most, now);
        }
    }

    /// At least the room of the emptiest worker, in each resource; it only shrinks within a round.
    fn most_room(&self, now: Time) -> Resources {
        let workers = self.fleet.iter().map(|(_, worker)| worker);
        let usable = workers.filter(|worker| worker.is_usable(now));
        usable.fold(Resources::default(), |most, worker| {
            Resources::max(&most, &worker.room())
        })
    }

    fn place_step(&mut self, key: ReadyKey, most: &Resources, now: Time) {
        let id = key.step;
        let Some(active) = self.active.get(&id.workflow) else {
            self.ready.remove(&key);
            return;
        };
        let waits = active
            .steps
            .get(&(id.occurrence, id.step))
            .is_some_and(|run| run.waiting().next().is_some());
        if active.is_over() || !waits {
            self.ready.remove(&key);
            return;
        }
        let Some(spec) = active.spec.clone().steps.get(id.step as usize).cloned() else {
            return;
        };
        let recorded = active.recorded;
        // A gang may ask which workers may run it though none has room.
        if !spec.gang && !spec.reserved().fits_in(most) {
            return;
        }
        let placed = recorded && self.place_tasks(id, &spec, now);
        if !placed && self.needs_permit(id) {
            self.ask_permits(id, &spec, now);
        }
    }

    /// Starts the tasks of the step that fit; returns whether all that waited have started.
    fn place_tasks(&mut self, id: StepId, spec: &StepSpec, now: Time) -> bool {
        let Some(active) = self.active.get(&id.workflow) else {
            return false;
        };
        let Some(run) = active.steps.get(&(id.occurrence, id.step)) else {
            return false;
        };
        let all_waiting = run.waiting();
        let ready = all_waiting.filter(|index| {
            let task = &run.tasks[*index as usize];
            task.not_before <= now && task.suspect.is_none()
        });
        let ready: Vec<u32> = ready.collect();
        let waiting = run.waiting().count();
        if spec.gang && ready.len() < run.tasks.len() {
            return false;
        }
        if ready.is_empty() {
            return false;
        }
        let number = run.last_run.max(self.first_run() - 1) + 1;
        let mut candidates = self.candidates(id, spec, active.policy.priority, now);
        if spec.gang && spec.same_rack {
            candidates = self.on_one_rack(candidates, ready.len());
        }
        let slots = spread(&candidates, ready.len());
        if slots.is_empty() || (spec.gang && slots.len() < ready.len()) {
            return false;
        }
        let started = slots.len();
        for (index, worker) in ready.into_iter().zip(slots) {
            self.assign_run(worker, id.task(index), number, spec, now);
        }
        started == waiting
    }

    /// The workers that may take a task of the step now, the best first.
    fn candidates(&self, id: StepId, spec: &StepSpec, priority: u8, now: Time) -> Vec<Candidate> {
        let needs_permit = self.needs_permit(id);
        let Some(run) = self
            .active
            .get(&id.workflow)
            .and_then(|active| active.steps.get(&(id.occurrence, id.step)))
        else {
            return Vec::new();
        };
        let permitted = |key: WorkerKey, worker: &Worker| {
            let held = run.permits.held.get(&key);
            held.is_some_and(|held| held.until > now && held.boot == worker.listing.boot)
        };
        let mut candidates = Vec::new();
        for (key, worker) in self.fleet.iter() {
            if needs_permit && !permitted(key, worker) {
                continue;
            }
            if !worker.is_usable(now) || !self.suits(worker, id, spec) {
                continue;
            }
            let most = spec
                .max_per_worker
                .map_or(u32::MAX, |most| most.saturating_sub(run.count_on(key)));
            let fits = self.fits(worker, spec, priority, most.min(spec.tasks));
            if fits > 0 {
                let rank = rank(worker, spec, priority);
                candidates.push(Candidate {
                    worker: key,
                    fits,
                    rank,
                });
            }
        }
        candidates.sort_by_key(|candidate| candidate.rank);
        candidates
    }

    /// How many tasks of the step fit on the worker, up to `most`. Where a queue is urgent, other
    /// queues leave a part of each worker to it; gangs do not, since few workers may be permitted
    /// for them.
    pub(super) fn fits(&self, worker: &Worker, spec: &StepSpec, priority: u8, most: u32) -> u32 {
        let urgent = self.queues.values().any(|queue| queue.priority == URGENT);
        let kept = if urgent && priority != URGENT && !spec.gang {
            URGENT_SHARE_PERCENT
        } else {
            0
        };
        worker.fits(&spec.reserved(), kept, most)
    }

    /// Whether the worker belongs to the step's service and has the label that it requires.
    pub(super) fn suits(&self, worker: &Worker, id: StepId, spec: &StepSpec) -> bool {
        let Some(active) = self.active.get(&id.workflow) else {
            return false;
        };
        let label = spec.required_label.as_ref();
        worker.listing.service == active.policy.service
            && label.is_none_or(|label| worker.listing.labels.contains(label))
    }

    /// The candidates of the first rack that holds the whole gang, or all where none does.
    fn on_one_rack(&self, candidates: Vec<Candidate>, tasks: usize) -> Vec<Candidate> {
        let rack = |candidate: &Candidate| {
            let worker = self.fleet.get(candidate.worker);
            worker.and_then(|worker| worker.listing.rack.as_deref())
        };
        for first in &candidates {
            let same = candidates.iter().filter(|other| rack(other) == rack(first));
            let same: Vec<Candidate> = same.copied().collect();
            let room: usize = same.iter().map(|candidate| candidate.fits as usize).sum();
            if room >= tasks {
                return same;
            }
        }
        candidates
    }
}

/// Ranks a worker for a step; lower is better.
///
/// Data locality goes first. Urgent tasks go to fast workers, patient ones to slow workers, and both
/// to the fuller ones among workers alike, which keeps room together for gangs.
fn rank(worker: &Worker, spec: &StepSpec, priority: u8) -> (bool, i64, u32) {
    /// Workers whose speeds differ by less are alike, as a share of the estimates.
    const SPEED_STEP: f64 = 0.2;
    let far = spec.data_rack.is_some() && spec.data_rack != worker.listing.rack;
    let step = (worker.speed() / SPEED_STEP).round() as i64;
    let speed = if priority == URGENT { -step } else { step };
    (far, speed, worker.room().cpu_milli)
}

/// Gives each of up to `tasks` tasks a worker, filling one candidate after the other.
fn spread(candidates: &[Candidate], tasks: usize) -> Vec<WorkerKey> {
    let slots = candidates
        .iter()
        .flat_map(|candidate| std::iter::repeat_n(candidate.worker, candidate.fits as usize));
    slots.take(tasks).collect()
}
