//! The in-memory state of a workflow that has not ended.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::ops::Range;
use std::sync::Arc;

use super::engine::AccountKey;
use super::fleet::WorkerKey;
use super::parts::PartMap;
use super::policy::QueuePolicy;
use super::record::{PlacedRun, StepProgress, WorkflowProgress, WorkflowState};
use super::spec::{StepSpec, WorkflowSpec};
use crate::model::{Time, WorkerName};

/// The status of a task.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TaskStatus {
    /// The task waits to be placed.
    Waiting,
    /// Capacity is reserved on the worker for the run with this number.
    Placed(WorkerKey, u32),
    /// The task is done.
    Done,
}

/// The state of a task.
#[derive(Clone, Debug)]
pub(super) struct TaskState {
    pub(super) status: TaskStatus,
    pub(super) checkpoint: Option<String>,
    /// The task is not placed before this time.
    pub(super) not_before: Time,
    /// The run that an earlier owner may have started, until it is known what runs on its worker.
    pub(super) unverified: Option<PlacedRun>,
    /// Whether a start of the task has got no answer.
    pub(super) start_unanswered: bool,
}

/// A permit that was granted to a step.
#[derive(Clone, Debug)]
pub(super) struct GrantedPermit {
    pub(super) token: String,
    pub(super) boot: u64,
    pub(super) expires_at: Time,
}

/// The permits of a step, and which workers are eligible for one.
#[derive(Clone, Debug, Default)]
pub(super) struct StepPermits {
    pub(super) granted: HashMap<WorkerKey, GrantedPermit>,
    /// Whether the permit service granted a permit for the worker. Its decisions do not change.
    pub(super) eligibility: HashMap<WorkerName, bool>,
    /// Whether a permit request is in flight.
    pub(super) request_in_flight: bool,
    /// No permit request is sent before this time.
    pub(super) not_before: Time,
}

/// The state of a step in one occurrence.
#[derive(Clone, Debug)]
pub(super) struct StepState {
    pub(super) tasks: Vec<TaskState>,
    /// The number of tasks that are not done.
    pub(super) remaining: u32,
    pub(super) progress: StepProgress,
    /// The highest run number of the step's tasks.
    pub(super) last_run: u32,
    pub(super) permits: StepPermits,
    /// Since when the step waits for room; `None` if all its tasks have been placed.
    pub(super) waits_since: Option<Time>,
    /// When the occurrence of the step began.
    pub(super) began_at: Time,
    /// When a log line last told why the step waits, at first when the step began.
    pub(super) wait_logged_at: Time,
}

impl StepState {
    fn new(spec: &StepSpec, mut progress: StepProgress, now: Time) -> Self {
        // The members of a gang end together, and the parts of the progress are stored one by one.
        if spec.gang && (0..spec.tasks).any(|index| progress.is_done(index)) {
            (0..spec.tasks).for_each(|index| progress.set_done(index));
        }
        let task = |index| TaskState {
            status: if progress.is_done(index) {
                TaskStatus::Done
            } else {
                TaskStatus::Waiting
            },
            checkpoint: None,
            not_before: now,
            unverified: None,
            start_unanswered: false,
        };
        let mut tasks: Vec<TaskState> = (0..spec.tasks).map(task).collect();
        let mut last_run = 0;
        for placed in &progress.placed {
            last_run = last_run.max(placed.run);
            if let Some(task) = tasks.get_mut(placed.index as usize) {
                task.unverified = Some(placed.clone());
            }
        }
        let remaining = tasks.iter().filter(|task| task.status != TaskStatus::Done);
        let remaining = u32::try_from(remaining.count()).unwrap_or(u32::MAX);
        Self {
            tasks,
            remaining,
            progress,
            last_run,
            permits: StepPermits::default(),
            waits_since: None,
            began_at: now,
            wait_logged_at: now,
        }
    }

    pub(super) fn task_mut(&mut self, index: u32) -> Option<&mut TaskState> {
        self.tasks.get_mut(index as usize)
    }

    /// Whether a crash of a worker is blamed on a task of the step.
    pub(super) fn is_blamed(&self) -> bool {
        !self.progress.crashes.is_empty()
    }

    /// The indexes of the waiting tasks.
    pub(super) fn waiting(&self) -> impl Iterator<Item = u32> + '_ {
        let tasks = self.tasks.iter().enumerate();
        tasks
            .filter(|(_, task)| task.status == TaskStatus::Waiting)
            .filter_map(|(index, _)| u32::try_from(index).ok())
    }

    /// The placed tasks: index, worker and run number.
    pub(super) fn placed(&self) -> Vec<(u32, WorkerKey, u32)> {
        let tasks = self.tasks.iter().zip(0u32..);
        tasks
            .filter_map(|(task, index)| match task.status {
                TaskStatus::Placed(worker, run) => Some((index, worker, run)),
                TaskStatus::Waiting | TaskStatus::Done => None,
            })
            .collect()
    }

    /// The progress of the tasks in `range`; `process` looks up the names and processes of workers.
    fn progress_of(
        &self,
        range: &Range<u32>,
        process: impl Fn(WorkerKey) -> Option<(WorkerName, u64)>,
    ) -> StepProgress {
        let mut progress = self.progress.of_tasks(range);
        progress.placed.clear();
        for index in range.clone() {
            let Some(task) = self.tasks.get(index as usize) else {
                break;
            };
            if let TaskStatus::Placed(worker, run) = task.status
                && let Some((worker, boot)) = process(worker)
            {
                progress.placed.push(PlacedRun {
                    index,
                    run,
                    worker,
                    boot,
                });
            }
            progress.placed.extend(task.unverified.clone());
        }
        progress
    }

    /// The number of tasks placed on `worker`.
    pub(super) fn count_on(&self, worker: WorkerKey) -> u32 {
        let tasks = self.tasks.iter();
        let placed =
            tasks.filter(|task| matches!(task.status, TaskStatus::Placed(at, _) if at == worker));
        u32::try_from(placed.count()).unwrap_or(u32::MAX)
    }

    /// Marks the task as done; returns false if it was done before or does not exist.
    pub(super) fn set_done(&mut self, index: u32) -> bool {
        let Some(task) = self.tasks.get_mut(index as usize) else {
            return false;
        };
        if task.status == TaskStatus::Done {
            return false;
        }
        task.status = TaskStatus::Done;
        self.remaining -= 1;
        self.progress.set_done(index);
        true
    }
}

/// A workflow that has not ended.
#[derive(Clone, Debug)]
pub(super) struct ActiveWorkflow {
    pub(super) spec: Arc<WorkflowSpec>,
    /// The client account that the workflow belongs to.
    pub(super) account: Option<AccountKey>,
    pub(super) payload: Arc<str>,
    /// The policy of the workflow's queue.
    pub(super) policy: QueuePolicy,
    /// When the workflow was accepted, possibly by an earlier owner.
    pub(super) accepted_at: Time,
    /// The time that the steps on the critical path are expected to take, in milliseconds.
    pub(super) critical_path_ms: u64,
    /// When the latency objective is missed.
    pub(super) deadline: Time,
    /// When the submission conforms to the guaranteed rate of its account.
    pub(super) guaranteed_at: Time,
    /// Whether the record of the workflow is committed.
    pub(super) recorded: bool,
    /// Whether the workflow is also in an inbox: another VM has accepted and stored it, so that it
    /// must not be refused.
    pub(super) from_inbox: bool,
    /// Whether a worker has begun a run of the workflow. A start request that was only sent may
    /// have begun none.
    pub(super) started: bool,
    pub(super) cancelled: bool,
    pub(super) failed: bool,
    /// The steps of the occurrences that have begun, by occurrence and step.
    pub(super) steps: BTreeMap<(u32, u32), StepState>,
    /// The number of occurrences that have begun.
    pub(super) occurrences: u32,
    pub(super) parts: PartMap,
    /// The parts of the progress that may be in the store.
    pub(super) stored_parts: BTreeSet<u64>,
}

impl ActiveWorkflow {
    pub(super) fn new(
        spec: WorkflowSpec,
        policy: &QueuePolicy,
        critical_path_ms: u64,
        accepted_at: Time,
    ) -> Self {
        Self {
            payload: spec.payload.as_str().into(),
            policy: policy.clone(),
            accepted_at,
            critical_path_ms,
            deadline: accepted_at + policy.latency_objective(critical_path_ms),
            parts: PartMap::new(&spec.steps),
            stored_parts: BTreeSet::new(),
            spec: Arc::new(spec),
            account: None,
            guaranteed_at: accepted_at,
            recorded: false,
            from_inbox: false,
            started: false,
            cancelled: false,
            failed: false,
            steps: BTreeMap::new(),
            occurrences: 0,
        }
    }

    /// When the step misses the latency objective. That of a recurring workflow applies to each
    /// occurrence.
    pub(super) fn deadline_of(&self, occurrence: u32, step: u32) -> Time {
        let state = self.steps.get(&(occurrence, step));
        match state.filter(|_| self.spec.recurrence.is_some()) {
            Some(state) => state.began_at + self.policy.latency_objective(self.critical_path_ms),
            None => self.deadline,
        }
    }

    /// Applies the current policy of the workflow's queue.
    pub(super) fn set_policy(&mut self, policy: &QueuePolicy) {
        self.policy = policy.clone();
        self.deadline = self.accepted_at + policy.latency_objective(self.critical_path_ms);
    }

    /// The number of failures of a task after which the workflow fails.
    pub(super) fn max_failures(&self) -> u32 {
        self.policy.attempts.max(1)
    }

    /// Begins the next occurrence: adds its steps, with their stored progress.
    pub(super) fn begin_occurrence(&mut self, progress: &WorkflowProgress, now: Time) {
        let occurrence = self.occurrences;
        self.occurrences += 1;
        for (spec, step) in self.spec.clone().steps.iter().zip(0u32..) {
            let key = (occurrence, step);
            let stored = progress.step(key).cloned().unwrap_or_default();
            let state = StepState::new(spec, stored, now);
            self.steps.insert(key, state);
        }
    }

    /// Whether the step may start: it is not done, and all steps that it depends on are.
    pub(super) fn is_ready(&self, occurrence: u32, step: u32) -> bool {
        let done = |step: u32| {
            let state = self.steps.get(&(occurrence, step));
            state.is_some_and(|state| state.remaining == 0)
        };
        let Some(spec) = self.spec.steps.get(step as usize) else {
            return false;
        };
        !done(step) && spec.depends_on.iter().all(|index| done(*index))
    }

    /// Whether a task of the workflow has been placed.
    pub(super) fn has_begun(&self) -> bool {
        let tasks = self.steps.values().flat_map(|state| &state.tasks);
        let mut begun = tasks.map(|task| {
            let is_placed = task.status != TaskStatus::Waiting;
            is_placed || task.unverified.is_some()
        });
        self.started || begun.any(|begun| begun)
    }

    /// Whether every task of every occurrence is done.
    pub(super) fn is_done(&self) -> bool {
        self.occurrences == self.spec.occurrences()
            && self.steps.values().all(|state| state.remaining == 0)
    }

    /// Whether no task of the workflow may start any more.
    pub(super) fn is_final(&self) -> bool {
        self.cancelled || self.failed || self.is_done()
    }

    /// The state in which the workflow has ended, or `None` if it has not ended.
    pub(super) fn final_state(&self) -> Option<WorkflowState> {
        if self.cancelled {
            return Some(WorkflowState::Cancelled);
        }
        if self.failed {
            return Some(WorkflowState::Failed);
        }
        self.is_done().then_some(WorkflowState::Complete)
    }

    /// The progress to store in a part; `process` looks up the names and processes of workers.
    pub(super) fn progress(
        &self,
        part: u64,
        process: impl Fn(WorkerKey) -> Option<(WorkerName, u64)>,
    ) -> WorkflowProgress {
        let steps = self.parts.ranges(part).filter_map(|(key, range)| {
            let state = self.steps.get(&key)?;
            Some((key, state.progress_of(&range, &process)))
        });
        WorkflowProgress {
            cancelled: self.cancelled,
            failed: self.failed,
            steps: steps
                .filter(|(_, step)| *step != StepProgress::default())
                .collect(),
        }
    }

    /// The parts that hold any of the progress.
    pub(super) fn parts_of(&self, progress: &WorkflowProgress) -> BTreeSet<u64> {
        let steps = progress.steps.iter();
        let parts = steps.flat_map(|(key, step)| {
            let indexes = step.indexes();
            indexes.map(|index| self.parts.part_of(*key, index))
        });
        parts.collect()
    }
}
