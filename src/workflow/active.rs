//! A workflow that has not ended, in the memory of its owner.

use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

use super::fleet::WorkerKey;
use super::policy::QueuePolicy;
use super::record::{PlacedRun, StepProgress, WorkflowProgress, WorkflowState};
use super::spec::{StepSpec, WorkflowSpec};
use crate::model::{Time, WorkerName};

/// Where a task stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Place {
    /// It does not run.
    Waiting,
    /// This run of it holds room on a worker.
    On(WorkerKey, u32),
    /// It is done.
    Done,
}

/// A task.
#[derive(Clone, Debug)]
pub(super) struct TaskRun {
    pub(super) place: Place,
    pub(super) checkpoint: Option<String>,
    /// It is not started again before this time.
    pub(super) not_before: Time,
    /// The worker on which an earlier owner may have started it, until it is known what runs there.
    pub(super) suspect: Option<WorkerName>,
}

/// A permit that was granted to a step.
#[derive(Clone, Debug)]
pub(super) struct HeldPermit {
    pub(super) token: String,
    pub(super) boot: u64,
    pub(super) until: Time,
}

/// What is known about the workers that may run a step.
#[derive(Clone, Debug, Default)]
pub(super) struct StepPermits {
    pub(super) held: HashMap<WorkerKey, HeldPermit>,
    /// The answers so far; they do not change.
    pub(super) verdicts: HashMap<WorkerName, bool>,
    /// Whether a question is under way.
    pub(super) asking: bool,
    /// No question is asked before this time.
    pub(super) not_before: Time,
}

/// A step of one occurrence.
#[derive(Clone, Debug)]
pub(super) struct StepRun {
    pub(super) tasks: Vec<TaskRun>,
    /// Tasks that are not done.
    pub(super) left: u32,
    pub(super) progress: StepProgress,
    /// The highest number of a run of its tasks.
    pub(super) last_run: u32,
    pub(super) permits: StepPermits,
}

impl StepRun {
    fn new(spec: &StepSpec, progress: StepProgress, now: Time) -> Self {
        let task = |index| TaskRun {
            place: if progress.is_done(index) {
                Place::Done
            } else {
                Place::Waiting
            },
            checkpoint: None,
            not_before: now,
            suspect: None,
        };
        let mut tasks: Vec<TaskRun> = (0..spec.tasks).map(task).collect();
        let mut last_run = 0;
        for placed in &progress.placed {
            last_run = last_run.max(placed.run);
            if let Some(task) = tasks.get_mut(placed.index as usize) {
                task.suspect = Some(placed.worker.clone());
            }
        }
        let left = tasks.iter().filter(|task| task.place != Place::Done);
        let left = u32::try_from(left.count()).unwrap_or(u32::MAX);
        Self {
            tasks,
            left,
            progress,
            last_run,
            permits: StepPermits::default(),
        }
    }

    pub(super) fn task_mut(&mut self, index: u32) -> Option<&mut TaskRun> {
        self.tasks.get_mut(index as usize)
    }

    /// The tasks that wait, by index.
    pub(super) fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| task.place == Place::Waiting)
            .filter_map(|(index, _)| u32::try_from(index).ok())
    }

    /// The tasks that hold room, by index, with the worker and the run.
    pub(super) fn placed(&self) -> Vec<(u32, WorkerKey, u32)> {
        let tasks = self.tasks.iter().zip(0u32..);
        tasks
            .filter_map(|(task, index)| match task.place {
                Place::On(worker, run) => Some((index, worker, run)),
                Place::Waiting | Place::Done => None,
            })
            .collect()
    }

    /// How many of its tasks hold room on `worker`.
    pub(super) fn count_on(&self, worker: WorkerKey) -> u32 {
        let on = self.tasks.iter();
        let on = on.filter(|task| matches!(task.place, Place::On(at, _) if at == worker));
        u32::try_from(on.count()).unwrap_or(u32::MAX)
    }

    /// Notes that the task is done; returns whether it was not before.
    pub(super) fn set_done(&mut self, index: u32) -> bool {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return false;
        };
        if task.place == Place::Done {
            return false;
        }
        task.place = Place::Done;
        self.left -= 1;
        self.progress.set_done(index);
        true
    }
}

/// A workflow that has not ended.
#[derive(Clone, Debug)]
pub(super) struct Active {
    pub(super) spec: Arc<WorkflowSpec>,
    pub(super) payload: Arc<str>,
    /// How its queue is served.
    pub(super) policy: QueuePolicy,
    pub(super) accepted: Time,
    /// When it is late.
    pub(super) due: Time,
    /// Whether its record is in the store.
    pub(super) recorded: bool,
    /// Whether another VM has stored it for the owner, so that it must not be refused.
    pub(super) handed_in: bool,
    pub(super) started: bool,
    pub(super) cancelled: bool,
    pub(super) failed: bool,
    /// Steps of the occurrences that have come due, by occurrence and step.
    pub(super) steps: BTreeMap<(u32, u32), StepRun>,
    /// Occurrences that have come due.
    pub(super) occurrences: u32,
}

impl Active {
    pub(super) fn new(spec: WorkflowSpec, policy: &QueuePolicy, now: Time) -> Self {
        Self {
            payload: spec.payload.as_str().into(),
            policy: policy.clone(),
            accepted: now,
            due: now + policy.latency_objective(spec.critical_path_ms()),
            spec: Arc::new(spec),
            recorded: false,
            handed_in: false,
            started: false,
            cancelled: false,
            failed: false,
            steps: BTreeMap::new(),
            occurrences: 0,
        }
    }

    /// Takes up how its queue is served now.
    pub(super) fn set_policy(&mut self, policy: &QueuePolicy) {
        self.policy = policy.clone();
        self.due = self.accepted + policy.latency_objective(self.spec.critical_path_ms());
    }

    /// How often a task may fail.
    pub(super) fn attempts(&self) -> u32 {
        self.policy.attempts.max(1)
    }

    /// Adds the steps of the next occurrence.
    pub(super) fn begin_occurrence(&mut self, progress: &WorkflowProgress, now: Time) {
        let occurrence = self.occurrences;
        self.occurrences += 1;
        for (spec, step) in self.spec.clone().steps.iter().zip(0u32..) {
            let key = (occurrence, step);
            let known = progress.steps.iter().find(|(at, _)| *at == key);
            let known = known.map(|(_, progress)| progress.clone());
            let run = StepRun::new(spec, known.unwrap_or_default(), now);
            self.steps.insert(key, run);
        }
    }

    /// Whether the step may start: all steps before it are done and it is not done itself.
    pub(super) fn is_ready(&self, occurrence: u32, step: u32) -> bool {
        let done = |step: u32| {
            let run = self.steps.get(&(occurrence, step));
            run.is_some_and(|run| run.left == 0)
        };
        let Some(spec) = self.spec.steps.get(step as usize) else {
            return false;
        };
        !done(step) && spec.depends_on.iter().all(|after| done(*after))
    }

    /// Whether every task of every occurrence is done.
    pub(super) fn is_done(&self) -> bool {
        self.occurrences == self.spec.occurrences() && self.steps.values().all(|run| run.left == 0)
    }

    /// Whether nothing of it may start any more.
    pub(super) fn is_over(&self) -> bool {
        self.cancelled || self.failed || self.is_done()
    }

    /// The end that it has come to, if it has.
    pub(super) fn end(&self) -> Option<WorkflowState> {
        if self.cancelled {
            return Some(WorkflowState::Cancelled);
        }
        if self.failed {
            return Some(WorkflowState::Failed);
        }
        self.is_done().then_some(WorkflowState::Complete)
    }

    /// What the store is told about it; `name` gives the names of workers.
    pub(super) fn progress(
        &self,
        name: impl Fn(WorkerKey) -> Option<WorkerName>,
    ) -> WorkflowProgress {
        let steps = self.steps.iter().map(|(key, run)| {
            let placed = run.placed().into_iter().filter_map(|(index, worker, run)| {
                let worker = name(worker)?;
                Some(PlacedRun { index, run, worker })
            });
            let suspect = run.tasks.iter().zip(0u32..).filter_map(|(task, index)| {
                let worker = task.suspect.clone()?;
                let run = run.last_run;
                Some(PlacedRun { index, run, worker })
            });
            let placed = placed.chain(suspect).collect();
            let progress = run.progress.clone();
            (*key, StepProgress { placed, ..progress })
        });
        WorkflowProgress {
            cancelled: self.cancelled,
            failed: self.failed,
            steps: steps
                .filter(|(_, step)| *step != StepProgress::default())
                .collect(),
        }
    }
}
