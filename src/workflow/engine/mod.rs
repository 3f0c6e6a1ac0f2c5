//! Decides what of the workflows of one service runs on which worker.
//!
//! The engine is told what happens and answers with effects. It does no input or output and reads no
//! clock. A placement is recorded before its start is sent, so a new owner knows from the store which
//! tasks may run and where. It raises the fence at each worker, learns from the worker's list what
//! runs there, and starts a task again once its worker has answered or the lease is over.

mod asks;
mod commit;
mod ends;
mod intake;
mod looks;
mod orders;
mod place;
mod workers;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use self::commit::CommitQueue;
use super::active::{Active, StepRun};
use super::fleet::{Fleet, WorkerKey};
use super::policy::{EngineConfig, QueuePolicy};
use super::record::WorkflowState;
use super::spec::{StepId, TaskId, WorkflowId};
use crate::model::{QueueName, Time, WorkerName};
use crate::port::executor::{PollRequest, StartRequest, WorkerTarget};

pub use self::commit::{CommitBatch, EndAck};
pub use self::intake::{CancelStatus, SubmitStatus};

/// Runs of a task by one owner; the first run of the next owner is numbered above them.
const RUNS_PER_OWNER: u64 = 1_000;

/// Steps that wait are tried at least so often, since pauses of tasks and workers end by themselves.
const ROUND: Duration = Duration::from_millis(50);

/// Between two rounds that place steps or go through all workers: a round costs time for each step
/// that waits and each worker, and no start gains by less than this.
const ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// Names who waits for an answer of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplyToken(pub u64);

/// What the engine wants done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Ask a worker what runs and has ended, and pass the response to
    /// [`Engine::handle_poll_response`].
    Poll {
        /// The worker.
        worker: WorkerKey,
        /// The process that it is for.
        target: WorkerTarget,
        /// The order.
        request: PollRequest,
    },
    /// Start a task, and feed the answer to [`Engine::handle_start_response`].
    Start {
        /// The worker.
        worker: WorkerKey,
        /// The process that it is for.
        target: WorkerTarget,
        /// The order.
        request: StartRequest,
    },
    /// Stop a task, and feed the answer to [`Engine::handle_stop_response`].
    Stop {
        /// The worker.
        worker: WorkerKey,
        /// The process that it is for.
        target: WorkerTarget,
        /// The task.
        task: TaskId,
        /// The run.
        run: u32,
    },
    /// Ask which workers may run a step, and feed the answer to [`Engine::handle_permit_response`].
    RequestPermits {
        /// The step.
        step: StepId,
        /// The workers to ask about.
        workers: Vec<WorkerName>,
        /// How long the question takes, in milliseconds.
        takes_ms: u64,
        /// The priority of the queue; 0 is the most urgent.
        priority: u8,
    },
    /// Tell a submitter that its workflow is accepted and recorded.
    Accepted(ReplyToken),
    /// Tell a submitter that its workflow was not accepted and never runs.
    Refused(ReplyToken),
    /// Tell a caller that its workflow is cancelled and that this is recorded.
    Cancelled(ReplyToken),
}

/// The order in which steps are placed: by priority, then by the time when they are late.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyKey {
    priority: u8,
    due: Time,
    step: StepId,
}

/// Waits until nothing that an earlier owner started can be unknown.
#[derive(Clone, Debug)]
struct Recovery {
    /// Workers that have not answered yet.
    waiting: HashSet<WorkerKey>,
    /// When each lease of the earlier owner is over.
    until: Time,
}

/// The engine.
#[derive(Debug)]
pub struct Engine {
    cfg: EngineConfig,
    fencing_token: u64,
    fleet: Fleet,
    queues: HashMap<QueueName, QueuePolicy>,
    active: HashMap<WorkflowId, Active>,
    ended: HashMap<WorkflowId, WorkflowState>,
    ready: BTreeSet<ReadyKey>,
    recovery: Option<Recovery>,
    journal: CommitQueue,
    /// Questions about permits that are under way.
    asking: usize,
    /// How many questions may be under way at once.
    max_asking: usize,
    /// The share of workers that were granted, by queue.
    granted_share: HashMap<QueueName, f64>,
    /// Whether something changed that may let a task start.
    place_due: bool,
    /// When steps are placed at the latest, for pauses that end.
    next_round: Time,
    /// When steps were last placed.
    placed_at: Option<Time>,
    /// When all workers were last gone through.
    swept_at: Option<Time>,
    fenced: bool,
    effects: Vec<Effect>,
}

impl Engine {
    /// Creates an engine for the owner with `fencing_token`, which grows from owner to owner and
    /// begins at 1.
    pub fn new(cfg: EngineConfig, fencing_token: u64) -> Self {
        Self {
            cfg,
            fencing_token,
            fleet: Fleet::default(),
            queues: HashMap::new(),
            active: HashMap::new(),
            ended: HashMap::new(),
            ready: BTreeSet::new(),
            recovery: None,
            journal: CommitQueue::default(),
            asking: 0,
            max_asking: 1,
            granted_share: HashMap::new(),
            place_due: false,
            next_round: Time::default(),
            placed_at: None,
            swept_at: None,
            fenced: false,
            effects: Vec::new(),
        }
    }

    /// Whether a worker has seen the fence of a later owner.
    pub fn is_fenced(&self) -> bool {
        self.fenced
    }

    /// Takes the effects that have come up.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Says how many VMs can ask for permits.
    pub fn set_permit_requesters(&mut self, vms: usize) {
        /// One question under way and one that waits, so that no VM idles between two.
        const QUESTIONS_PER_VM: usize = 2;
        self.max_asking = vms.max(1) * QUESTIONS_PER_VM;
    }

    /// Takes up the queues of a configuration; workflows of a queue that it lacks are served as
    /// before.
    pub fn set_queues(&mut self, queues: Vec<QueuePolicy>) {
        let queues = queues.into_iter().map(|queue| (queue.name.clone(), queue));
        self.queues = queues.collect();
        let changed = self.active.iter().filter(|(_, active)| {
            let queue = self.queues.get(&active.spec.queue.name);
            queue.is_some_and(|queue| *queue != active.policy)
        });
        let changed: Vec<WorkflowId> = changed.map(|(id, _)| *id).collect();
        for id in changed {
            // The order of its steps may change with the policy.
            self.unqueue(id);
            if let Some(active) = self.active.get_mut(&id)
                && let Some(queue) = self.queues.get(&active.spec.queue.name)
            {
                active.set_policy(queue);
            }
            self.queue_steps(id);
        }
        self.place_due = true;
    }

    /// How a workflow stands, as recorded; `None` where it is not known here.
    pub fn state(&self, id: WorkflowId) -> Option<WorkflowState> {
        if let Some(state) = self.ended.get(&id) {
            return Some(*state);
        }
        let active = self.active.get(&id).filter(|active| active.recorded)?;
        Some(if active.started {
            WorkflowState::Running
        } else {
            WorkflowState::Queued
        })
    }

    /// How many recorded workflows of a queue have started nothing; recurring ones do not count.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let waits = |active: &&Active| {
            let counts = active.recorded && !active.started && !active.is_over();
            counts && active.spec.recurrence.is_none() && active.spec.queue.name == *queue
        };
        self.active.values().filter(waits).count() as u64
    }

    /// Lets time pass: begins due occurrences, looks at workers, places tasks.
    ///
    /// `unix_ms` is the time of day, which only recurring workflows go by.
    pub fn tick(&mut self, now: Time, unix_ms: u64) {
        let rested = |last: Option<Time>| last.is_none_or(|at| now.since(at) >= ROUND_INTERVAL);
        if rested(self.swept_at) {
            self.swept_at = Some(now);
            self.begin_occurrences(now, unix_ms);
            self.end_recovery(now);
            self.drop_lapsed(now);
            self.look_at_workers(now);
        }
        if (self.place_due || now >= self.next_round) && rested(self.placed_at) {
            self.place_due = false;
            self.next_round = now + ROUND;
            self.placed_at = Some(now);
            self.place_ready(now);
        }
    }

    /// The first run that this owner gives to a task whose earlier runs are not known.
    fn first_run(&self) -> u32 {
        let before = self
            .fencing_token
            .saturating_sub(1)
            .saturating_mul(RUNS_PER_OWNER);
        u32::try_from(before + 1).unwrap_or(u32::MAX)
    }

    fn step_mut(&mut self, step: StepId) -> Option<&mut StepRun> {
        let active = self.active.get_mut(&step.workflow)?;
        active.steps.get_mut(&(step.occurrence, step.step))
    }

    fn ready_key(&self, step: StepId) -> Option<ReadyKey> {
        let active = self.active.get(&step.workflow)?;
        Some(ReadyKey {
            priority: active.policy.priority,
            due: active.due,
            step,
        })
    }

    /// Queues the step if tasks of it wait and may start.
    fn queue_step(&mut self, step: StepId) {
        let Some(active) = self.active.get(&step.workflow) else {
            return;
        };
        let waits = active
            .steps
            .get(&(step.occurrence, step.step))
            .is_some_and(|run| run.waiting().next().is_some());
        if !waits || active.is_over() || !active.is_ready(step.occurrence, step.step) {
            return;
        }
        if let Some(key) = self.ready_key(step) {
            self.ready.insert(key);
            self.place_due = true;
        }
    }

    /// Queues each step of the workflow that may start.
    fn queue_steps(&mut self, id: WorkflowId) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let steps: Vec<(u32, u32)> = active.steps.keys().copied().collect();
        for (occurrence, step) in steps {
            self.queue_step(StepId {
                workflow: id,
                occurrence,
                step,
            });
        }
    }
}
