//! Schedules the tasks of the workflows of one shard on the shard's workers.
//!
//! The engine takes events as method calls and returns effects. It does no input or output and
//! reads no clock. A placement is committed before its start request is sent, so that a new owner
//! knows from the store which tasks may run and where. The new owner polls each worker, which
//! presents the new fencing token and returns the active runs. It starts a task again once the
//! task's worker has responded or the lease has expired.

mod access;
mod account_state;
mod accounts;
mod admission;
mod batch;
mod commit;
mod completion;
mod crashes;
mod deadline_order;
mod exchange;
mod next_gang;
mod order;
mod permit_budget;
mod permits;
mod place;
mod polling;
mod requests;
mod reservation;
mod submission;
mod wait_log;
mod workers;

use std::collections::{BTreeSet, HashMap, HashSet};
use std::time::Duration;

use self::account_state::Accounts;
use self::admission::Admission;
use self::commit::CommitQueue;
use self::exchange::Exchange;
use self::next_gang::LateGangs;
use self::permit_budget::PermitBudget;
use super::account::EnginePolicies;
use super::active::{ActiveWorkflow, StepState};
use super::assignment::ShardId;
use super::exchange::ExchangeMessage;
use super::fleet::{Fleet, WorkerKey};
use super::policy::{EngineConfig, QueuePolicy};
use super::record::{WorkflowState, WorkflowStatus};
use super::run_time::RunTimes;
use super::spec::{StepId, StepSpec, TaskId, WorkflowId};
use super::tenure::Tenure;
use super::urgent_reserve::{RecentUse, UrgentLoad};
use super::wall_clock::WallClock;
use crate::model::{QueueName, Resources, Time, WorkerName};
use crate::port::executor::{PollRequest, StartRequest, WorkerTarget};

pub(in crate::workflow) use self::account_state::AccountKey;
pub use self::batch::{BatchLimits, CommitBatch, EndAck};
pub(in crate::workflow) use self::exchange::Departure;
pub use self::submission::{CancelStatus, SubmitStatus};

/// The number of run numbers that each owner may use; the runs of the next owner are numbered above
/// them.
const RUNS_PER_OWNER: u64 = 1_000;

/// The maximum interval between two attempts to place waiting steps. The delay of a task and the
/// time for which a worker is set aside end without an event.
const MAX_PLACEMENT_INTERVAL: Duration = Duration::from_millis(50);

/// The minimum interval between two rounds that place steps or check all workers. A round takes
/// time for each waiting step and each worker, and no start would gain from a shorter interval.
const MIN_ROUND_INTERVAL: Duration = Duration::from_millis(10);

/// Identifies the caller that waits for a reply of the engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ReplyToken(pub u64);

/// An action for the caller of the engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Poll a worker for active and ended runs, and pass the response to
    /// [`Engine::handle_poll_response`].
    Poll {
        /// The worker.
        worker: WorkerKey,
        /// Where to send the request.
        target: WorkerTarget,
        /// The request.
        request: PollRequest,
    },
    /// Start a run, and pass the response to [`Engine::handle_start_response`].
    Start {
        /// The worker.
        worker: WorkerKey,
        /// Where to send the request.
        target: WorkerTarget,
        /// The request.
        request: StartRequest,
    },
    /// Stop a run, and pass the response to [`Engine::handle_stop_response`].
    Stop {
        /// The worker.
        worker: WorkerKey,
        /// Where to send the request.
        target: WorkerTarget,
        /// The task.
        task: TaskId,
        /// The number of the run.
        run: u32,
    },
    /// Request permits for a step, and pass the response to [`Engine::handle_permit_response`].
    RequestPermits {
        /// The step.
        step: StepId,
        /// The workers to request permits for.
        workers: Vec<WorkerName>,
        /// The expected response time, in milliseconds.
        takes_ms: u64,
        /// The priority of the queue; 0 is the most urgent.
        priority: u8,
        /// Whether the step is a gang.
        gang: bool,
    },
    /// Send a message to the owner of another shard, which may be lost.
    Exchange {
        /// The other shard.
        to: ShardId,
        /// The message.
        message: ExchangeMessage,
    },
    /// Reply that the workflow is accepted and recorded.
    Accepted(ReplyToken),
    /// Reply that the workflow is refused and will never run.
    Refused(ReplyToken),
    /// Reply that the id belongs to a workflow of another account, so that the submission is refused.
    OtherAccount(ReplyToken),
    /// Reply that the workflow is refused because it cannot end in time, and will never run.
    Overloaded {
        /// The caller.
        token: ReplyToken,
        /// When the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
    /// Reply that the workflow is cancelled and that the cancellation is recorded.
    Cancelled(ReplyToken),
}

/// The placement order of steps: by priority, then by deadline.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReadyKey {
    priority: u8,
    deadline: Time,
    step: StepId,
    /// When the submission conforms to the guaranteed rate of its account.
    guaranteed_at: Time,
    account: Option<AccountKey>,
    /// What the step needs at least to start, under the limit of its account.
    least: Resources,
}

/// The recovery after a takeover. It ends once all runs that earlier owners started are known or
/// have expired.
#[derive(Clone, Debug)]
struct Recovery {
    /// The workers that have not responded yet.
    pending_workers: HashSet<WorkerKey>,
    /// Until when earlier owners may have granted leases.
    granted_until: Time,
    /// When all these leases have expired, on any worker.
    all_leases_expire_at: Time,
}

/// The workflow engine of a shard.
#[derive(Debug)]
pub struct Engine {
    cfg: EngineConfig,
    fencing_token: u64,
    tenure: Tenure,
    fleet: Fleet,
    exchange: Exchange,
    queues: HashMap<QueueName, QueuePolicy>,
    accounts: Accounts,
    run_times: RunTimes,
    admission: Admission,
    active: HashMap<WorkflowId, ActiveWorkflow>,
    ended: HashMap<WorkflowId, WorkflowStatus>,
    ready: BTreeSet<ReadyKey>,
    /// The last of the steps that had their turn in a placement round.
    last_later_step: Option<ReadyKey>,
    /// Whether a step waits whose deadline is ahead, as of the last placement round.
    is_timely_step_waiting: bool,
    /// The first late gangs of this shard and of the others.
    late_gangs: LateGangs,
    recovery: Option<Recovery>,
    /// The workers on which a crash may be blamed that did not happen.
    crashed_workers: HashSet<WorkerName>,
    commit_queue: CommitQueue,
    permit_budget: PermitBudget,
    /// The average share of requested workers that got a permit, by queue.
    granted_share: HashMap<QueueName, f64>,
    /// The load of urgent tasks, which determines how much capacity is reserved for them.
    urgent_load: UrgentLoad,
    /// What urgent runs have used lately, which long-running tasks leave to them.
    urgent_use: RecentUse,
    /// When the reserve for urgent tasks was last updated.
    last_urgent_reserve: Time,
    /// Whether something has changed that may allow a task to start.
    placement_due: bool,
    /// When steps are placed at the latest, even if nothing has changed.
    next_placement: Time,
    /// When steps were last placed.
    last_placement: Option<Time>,
    /// When all workers were last checked.
    last_sweep: Option<Time>,
    /// The wall clock at the last tick.
    wall_clock: Option<WallClock>,
    effects: Vec<Effect>,
}

impl Engine {
    /// Creates an engine for the owner with `fencing_token`, which starts at 1 and increases with
    /// each owner. The owner acts within `tenure`.
    pub fn new(cfg: EngineConfig, fencing_token: u64, tenure: Tenure) -> Self {
        Self {
            cfg,
            fencing_token,
            tenure,
            fleet: Fleet::default(),
            exchange: Exchange::default(),
            queues: HashMap::new(),
            accounts: Accounts::new(cfg.account_burst),
            run_times: RunTimes::default(),
            admission: Admission::default(),
            active: HashMap::new(),
            ended: HashMap::new(),
            ready: BTreeSet::new(),
            last_later_step: None,
            is_timely_step_waiting: false,
            late_gangs: LateGangs::default(),
            recovery: None,
            crashed_workers: HashSet::new(),
            commit_queue: CommitQueue::default(),
            permit_budget: PermitBudget::default(),
            granted_share: HashMap::new(),
            urgent_load: UrgentLoad::default(),
            urgent_use: RecentUse::default(),
            last_urgent_reserve: Time::default(),
            placement_due: false,
            next_placement: Time::default(),
            last_placement: None,
            last_sweep: None,
            wall_clock: None,
            effects: Vec::new(),
        }
    }

    /// The time for which the owner may act.
    pub fn tenure(&self) -> Tenure {
        self.tenure
    }

    /// Renews the tenure after a write took effect, see [`Tenure::renew`].
    pub fn renew_tenure(&mut self, sent_at: Time) {
        self.tenure.renew(sent_at);
    }

    /// Ends the tenure because the release of the shard is being sent.
    pub fn begin_release(&mut self, now: Time) {
        self.tenure.revoke(now);
    }

    /// Ends the tenure because a worker knows the fencing token of a later owner.
    fn handle_fenced(&mut self, key: WorkerKey, now: Time) {
        if self.tenure.permits(now) {
            tracing::warn!(
                worker = self.worker_name(key),
                token = self.fencing_token,
                "a worker has seen a later owner's fencing token; acting no more until a write takes effect"
            );
        }
        self.tenure.revoke(now);
    }

    /// Takes the effects since the last call.
    pub fn take_effects(&mut self) -> Vec<Effect> {
        std::mem::take(&mut self.effects)
    }

    /// Sets the number of VMs that can send permit requests.
    pub fn set_permit_requesters(&mut self, vms: usize) {
        self.permit_budget.set_vms(vms);
    }

    /// Applies the queues and client accounts of a configuration.
    pub fn set_policies(&mut self, policies: EnginePolicies) {
        self.accounts.set_policies(policies.accounts);
        self.set_queues(policies.queues);
    }

    /// Applies the queues of a configuration. Workflows of a queue that is not configured keep
    /// their current policy.
    pub fn set_queues(&mut self, queues: Vec<QueuePolicy>) {
        let queues = queues.into_iter().map(|queue| (queue.name.clone(), queue));
        self.queues = queues.collect();
        let changed = self.active.iter().filter(|(_, active)| {
            let queue = self.queues.get(&active.spec.queue.name);
            queue.is_some_and(|queue| *queue != active.policy)
        });
        let changed: Vec<WorkflowId> = changed.map(|(id, _)| *id).collect();
        for id in changed {
            // The placement order of the steps may change with the policy.
            self.dequeue_steps(id);
            if let Some(active) = self.active.get_mut(&id)
                && let Some(queue) = self.queues.get(&active.spec.queue.name)
            {
                active.set_policy(queue);
            }
            self.enqueue_steps(id);
        }
        self.placement_due = true;
    }

    /// The state of a recorded workflow; `None` if the workflow is unknown.
    pub fn state(&self, id: WorkflowId) -> Option<WorkflowState> {
        if let Some(status) = self.ended.get(&id) {
            return Some(status.state);
        }
        let active = self.active.get(&id).filter(|active| active.recorded)?;
        Some(if active.started {
            WorkflowState::Running
        } else {
            WorkflowState::Queued
        })
    }

    /// The number of recorded workflows of a queue that have not started, without recurring ones.
    pub fn pending(&self, queue: &QueueName) -> u64 {
        let is_pending = |active: &&ActiveWorkflow| {
            let waits = active.recorded && !active.started && !active.is_final();
            waits && active.spec.recurrence.is_none() && active.spec.queue.name == *queue
        };
        self.active.values().filter(is_pending).count() as u64
    }

    /// Does the periodic work: begins due occurrences, polls workers and places tasks.
    ///
    /// `unix_ms` is the wall-clock time, which is used only for the schedules of recurring
    /// workflows, and recorded for later owners, see [`Engine::load_workflow`].
    pub fn tick(&mut self, now: Time, unix_ms: u64) {
        self.wall_clock = Some(WallClock { at: now, unix_ms });
        let is_due = |last: Option<Time>| last.is_none_or(|at| now.since(at) >= MIN_ROUND_INTERVAL);
        if is_due(self.last_sweep) {
            self.last_sweep = Some(now);
            self.begin_occurrences(now, unix_ms);
            self.end_recovery(now);
            self.drop_expired(now);
            self.poll_workers(now);
        }
        if (self.placement_due || now >= self.next_placement) && is_due(self.last_placement) {
            self.placement_due = false;
            self.next_placement = now + MAX_PLACEMENT_INTERVAL;
            self.last_placement = Some(now);
            self.apply_rates(now);
            self.place_ready_steps(now);
        }
        self.exchange_workers(now);
    }

    /// The lowest run number of this owner, used for a task whose earlier runs are not known.
    fn first_run(&self) -> u32 {
        let last_of_earlier_owners = self
            .fencing_token
            .saturating_sub(1)
            .saturating_mul(RUNS_PER_OWNER);
        u32::try_from(last_of_earlier_owners + 1).unwrap_or(u32::MAX)
    }

    /// Marks a workflow as started, because a worker has confirmed or listed a run of it.
    fn mark_started(&mut self, id: WorkflowId) {
        if let Some(active) = self.active.get_mut(&id) {
            active.started = true;
        }
    }

    /// Marks the progress of a task as changed.
    fn mark_progress(&mut self, step: StepId, index: u32) {
        if let Some(active) = self.active.get(&step.workflow) {
            let part = active.parts.part_of_task(step.task(index));
            self.commit_queue.mark_changed(step.workflow, part);
        }
    }

    fn step(&self, step: StepId) -> Option<&StepState> {
        let active = self.active.get(&step.workflow)?;
        active.steps.get(&(step.occurrence, step.step))
    }

    fn spec_of(&self, step: StepId) -> Option<&StepSpec> {
        let active = self.active.get(&step.workflow)?;
        active.spec.steps.get(step.step as usize)
    }

    fn step_mut(&mut self, step: StepId) -> Option<&mut StepState> {
        let active = self.active.get_mut(&step.workflow)?;
        active.steps.get_mut(&(step.occurrence, step.step))
    }

    fn ready_key(&self, step: StepId) -> Option<ReadyKey> {
        let active = self.active.get(&step.workflow)?;
        let spec = active.spec.steps.get(step.step as usize)?;
        let tasks = if spec.gang { spec.tasks } else { 1 };
        Some(ReadyKey {
            priority: active.policy.priority,
            deadline: active.deadline_of(step.occurrence, step.step),
            step,
            guaranteed_at: active.guaranteed_at,
            account: active.account,
            least: spec.need.times(tasks),
        })
    }

    /// Enqueues the step for placement if it may start and has waiting tasks.
    fn enqueue_step(&mut self, step: StepId) {
        let Some(active) = self.active.get(&step.workflow) else {
            return;
        };
        let waits = active
            .steps
            .get(&(step.occurrence, step.step))
            .is_some_and(|state| state.waiting().next().is_some());
        if !waits || active.is_final() || !active.is_ready(step.occurrence, step.step) {
            return;
        }
        if let Some(key) = self.ready_key(step) {
            self.ready.insert(key);
            self.placement_due = true;
        }
    }

    /// Enqueues all steps of the workflow that may start.
    fn enqueue_steps(&mut self, id: WorkflowId) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let steps: Vec<(u32, u32)> = active.steps.keys().copied().collect();
        for (occurrence, step) in steps {
            self.enqueue_step(StepId {
                workflow: id,
                occurrence,
                step,
            });
        }
    }
}
