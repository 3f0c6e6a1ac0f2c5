//! Baseline policies: queues in a fixed order, each first in, first out, on the first worker with
//! enough free resources.

use std::collections::VecDeque;
use std::marker::PhantomData;

use rustc_hash::FxHashMap;
use slotmap::SlotMap;

use super::{
    Action, AttemptEnd, JobKey, KindLimits, Load, Policy, RestoredTask, TaskDisposition,
    TeamLimits, WorkerKey, WorkerState,
};
use crate::error::Refusal;
use crate::model::{JobSpec, KindName, Outcome, Resources, TeamName, Time, WorkerInfo};

/// The queues of a baseline policy and their order.
pub trait QueueOrder: Send {
    /// Number of queues.
    const QUEUES: usize;

    /// Returns the index of the queue for a job; lower indexes are served first.
    fn queue_of(spec: &JobSpec) -> usize;
}

/// Baseline policy: the head of each queue goes to the first worker with enough free resources, or
/// waits.
#[derive(Debug)]
pub struct FirstFit<O> {
    teams: FxHashMap<TeamName, TeamLimits>,
    kinds: FxHashMap<KindName, Kind>,
    workers: SlotMap<WorkerKey, Worker>,
    jobs: SlotMap<JobKey, Job>,
    queues: Vec<VecDeque<(JobKey, u32)>>,
    queued: u64,
    placed: u64,
    order: PhantomData<O>,
}

impl<O: QueueOrder> Default for FirstFit<O> {
    fn default() -> Self {
        Self {
            teams: FxHashMap::default(),
            kinds: FxHashMap::default(),
            workers: SlotMap::default(),
            jobs: SlotMap::default(),
            queues: vec![VecDeque::new(); O::QUEUES],
            queued: 0,
            placed: 0,
            order: PhantomData,
        }
    }
}

#[derive(Debug)]
struct Kind {
    limits: KindLimits,
    queued: u32,
}

#[derive(Debug)]
struct Worker {
    capacity: Resources,
    reserved: Resources,
    state: WorkerState,
}

#[derive(Debug)]
struct Job {
    spec: JobSpec,
    tasks: Vec<Task>,
    cancelled: bool,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Task {
    Queued,
    Placed(WorkerKey, Resources),
    Ended,
}

impl<O: QueueOrder> FirstFit<O> {
    fn free(&self, worker: WorkerKey) -> Resources {
        let worker = &self.workers[worker];
        match worker.state {
            WorkerState::Available => worker.capacity.minus(&worker.reserved),
            _ => Resources::default(),
        }
    }

    fn first_fit(&self, need: &Resources) -> Option<WorkerKey> {
        self.workers.keys().find(|&key| {
            self.workers[key].state == WorkerState::Available && need.fits_in(&self.free(key))
        })
    }

    fn reserve(&mut self, job: JobKey, index: u32, worker: WorkerKey, need: Resources) -> Action {
        self.workers[worker].reserved = self.workers[worker].reserved.plus(&need);
        self.jobs[job].tasks[index as usize] = Task::Placed(worker, need);
        Action::Place {
            job,
            index,
            worker,
            reserved: need,
        }
    }

    fn release(&mut self, worker: WorkerKey, held: &Resources) {
        if let Some(worker) = self.workers.get_mut(worker) {
            worker.reserved = worker.reserved.minus(held);
        }
    }

    fn place_one(&mut self, job: JobKey, index: u32) -> Option<Action> {
        let need = self.jobs[job].spec.resources;
        let worker = self.first_fit(&need)?;
        Some(self.reserve(job, index, worker, need))
    }

    fn place_gang(&mut self, job: JobKey) -> Option<Vec<Action>> {
        let mut actions = Vec::new();
        for index in 0..self.jobs[job].spec.tasks {
            if self.jobs[job].tasks[index as usize] != Task::Queued {
                continue;
            }
            match self.place_one(job, index) {
                Some(action) => actions.push(action),
                None => {
                    self.roll_back(&actions);
                    return None;
                }
            }
        }
        Some(actions)
    }

    fn roll_back(&mut self, actions: &[Action]) {
        for action in actions {
            if let Action::Place {
                job,
                index,
                worker,
                reserved,
            } = action
            {
                self.release(*worker, reserved);
                self.jobs[*job].tasks[*index as usize] = Task::Queued;
            }
        }
    }

    /// Places the tasks of one queue in order, until the head does not fit.
    fn place_queue(&mut self, queue: usize, limit: usize, actions: &mut Vec<Action>) {
        while actions.len() < limit {
            let Some(&(job, index)) = self.queues[queue].front() else {
                return;
            };
            if !self.is_queued(job, index) {
                self.queues[queue].pop_front();
                continue;
            }
            let placed = if self.jobs[job].spec.all_at_once {
                self.place_gang(job)
            } else {
                self.place_one(job, index).map(|action| vec![action])
            };
            let Some(placed) = placed else {
                return;
            };
            let kind = self.jobs[job].spec.kind.clone();
            self.remove_queued(&kind, placed.len() as u32);
            self.placed += placed.len() as u64;
            actions.extend(placed);
            self.queues[queue].pop_front();
        }
    }

    fn add_queued(&mut self, kind: &KindName, tasks: u32) {
        self.queued += u64::from(tasks);
        if let Some(kind) = self.kinds.get_mut(kind) {
            kind.queued += tasks;
        }
    }

    fn remove_queued(&mut self, kind: &KindName, tasks: u32) {
        self.queued -= u64::from(tasks);
        if let Some(kind) = self.kinds.get_mut(kind) {
            kind.queued -= tasks.min(kind.queued);
        }
    }

    fn is_queued(&self, job: JobKey, index: u32) -> bool {
        self.jobs
            .get(job)
            .is_some_and(|job| job.tasks[index as usize] == Task::Queued)
    }
}

impl<O: QueueOrder> Policy for FirstFit<O> {
    fn set_team(&mut self, team: &TeamName, limits: &TeamLimits, _now: Time) {
        self.teams.insert(team.clone(), limits.clone());
    }

    fn set_kind(&mut self, kind: &KindName, limits: &KindLimits, _now: Time) {
        let queued = self.kinds.get(kind).map_or(0, |kind| kind.queued);
        let limits = limits.clone();
        self.kinds.insert(kind.clone(), Kind { limits, queued });
    }

    fn add_worker(&mut self, info: &WorkerInfo, _now: Time) -> WorkerKey {
        self.workers.insert(Worker {
            capacity: info.capacity,
            reserved: Resources::default(),
            state: WorkerState::Unreachable,
        })
    }

    fn set_worker_capacity(&mut self, worker: WorkerKey, capacity: Resources, _now: Time) {
        self.workers[worker].capacity = capacity;
    }

    fn set_worker_state(&mut self, worker: WorkerKey, state: WorkerState, _now: Time) {
        self.workers[worker].state = state;
    }

    fn submit(&mut self, spec: &JobSpec, _now: Time) -> Result<JobKey, Refusal> {
        if !self.teams.contains_key(&spec.team) {
            return Err(Refusal::not_run("unknown_team", "the team is not known"));
        }
        let Some(kind) = self.kinds.get(&spec.kind) else {
            return Err(Refusal::not_run("unknown_kind", "the kind is not known"));
        };
        if kind.queued.saturating_add(spec.tasks) > kind.limits.max_queued {
            return Err(Refusal::not_run("queue_full", "the queue is full").retry_after(1_000));
        }
        let job = self.jobs.insert(Job {
            spec: spec.clone(),
            tasks: vec![Task::Queued; spec.tasks as usize],
            cancelled: false,
        });
        self.queues[O::queue_of(spec)].extend((0..spec.tasks).map(|index| (job, index)));
        self.add_queued(&spec.kind, spec.tasks);
        Ok(job)
    }

    fn restore(&mut self, spec: &JobSpec, tasks: &[RestoredTask], _now: Time) -> JobKey {
        let restored = tasks.iter().map(|task| match *task {
            RestoredTask::Queued { .. } => Task::Queued,
            RestoredTask::Placed {
                worker, reserved, ..
            } => Task::Placed(worker, reserved),
            RestoredTask::Ended(_) => Task::Ended,
        });
        let job = self.jobs.insert(Job {
            spec: spec.clone(),
            tasks: restored.collect(),
            cancelled: false,
        });
        for (index, task) in (0..).zip(tasks) {
            match *task {
                RestoredTask::Queued { .. } => {
                    self.queues[O::queue_of(spec)].push_back((job, index));
                    self.add_queued(&spec.kind, 1);
                }
                RestoredTask::Placed {
                    worker, reserved, ..
                } => {
                    self.workers[worker].reserved = self.workers[worker].reserved.plus(&reserved);
                    self.placed += 1;
                }
                RestoredTask::Ended(_) => {}
            }
        }
        job
    }

    fn decide(&mut self, _now: Time, limit: usize, actions: &mut Vec<Action>) {
        for queue in 0..O::QUEUES {
            self.place_queue(queue, limit, actions);
        }
    }

    fn attempt_ended(
        &mut self,
        job: JobKey,
        index: u32,
        attempts: u32,
        end: AttemptEnd,
        _now: Time,
    ) -> TaskDisposition {
        if let Task::Placed(worker, held) = self.jobs[job].tasks[index as usize] {
            self.release(worker, &held);
            self.placed -= 1;
        }
        let spec = &self.jobs[job].spec;
        let max_attempts = self
            .kinds
            .get(&spec.kind)
            .map_or(1, |k| k.limits.max_attempts);
        let may_retry = spec.idempotent && attempts < max_attempts && !self.jobs[job].cancelled;
        let outcome = match end {
            AttemptEnd::NeverRan if !self.jobs[job].cancelled => None,
            AttemptEnd::NeverRan => Some(Outcome::Cancelled),
            AttemptEnd::Reported(Outcome::Failed) | AttemptEnd::Lost if may_retry => None,
            AttemptEnd::Reported(outcome) => Some(outcome),
            AttemptEnd::Lost => Some(Outcome::Unknown),
        };
        let Some(outcome) = outcome else {
            let (queue, kind) = (O::queue_of(spec), spec.kind.clone());
            self.jobs[job].tasks[index as usize] = Task::Queued;
            self.queues[queue].push_back((job, index));
            self.add_queued(&kind, 1);
            return TaskDisposition::Queued;
        };
        self.jobs[job].tasks[index as usize] = Task::Ended;
        TaskDisposition::Ended(outcome)
    }

    fn usage_reported(&mut self, _job: JobKey, _index: u32, _usage: Resources, _now: Time) {}

    fn cancel(&mut self, job: JobKey, _now: Time) -> Vec<(u32, WorkerKey)> {
        self.jobs[job].cancelled = true;
        let mut placed = Vec::new();
        let mut ended = 0;
        for (index, task) in (0..).zip(&mut self.jobs[job].tasks) {
            match *task {
                Task::Queued => {
                    *task = Task::Ended;
                    ended += 1;
                }
                Task::Placed(worker, _) => placed.push((index, worker)),
                Task::Ended => {}
            }
        }
        let kind = self.jobs[job].spec.kind.clone();
        self.remove_queued(&kind, ended);
        placed
    }

    fn remove_job(&mut self, job: JobKey, _now: Time) {
        self.jobs.remove(job);
    }

    fn waiting_for(&self, job: JobKey, _now: Time) -> Option<String> {
        let is_queued = self.jobs.get(job)?.tasks.contains(&Task::Queued);
        is_queued.then(|| "room on a worker".to_owned())
    }

    fn load(&self) -> Load {
        let free = self
            .workers
            .keys()
            .fold(Resources::default(), |sum, key| sum.plus(&self.free(key)));
        Load {
            queued: self.queued,
            placed: self.placed,
            free,
        }
    }
}
