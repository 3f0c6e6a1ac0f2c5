//! A job and its tasks as the shard's owner keeps them.

use super::rows::{IdempotencyKey, JobRow};
use crate::decide::JobKey;
use crate::model::{EndReason, JobId, JobSpec, JobView, Outcome, Resources, TaskId, Time};
use crate::report::JobSummary;

/// The maximum number of decisions kept per job.
const MAX_DECISIONS: usize = 64;

/// Identifies a caller that waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplyToken(pub usize);

/// The phase of a task at its owner; finer than the stored [`TaskState`](crate::model::TaskState).
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// Waits for a worker.
    Queued,
    /// A placement was decided and is being recorded.
    Recording,
    /// The start command was queued for the worker or sent to it.
    StartQueued,
    /// The worker reported the attempt as running.
    Running,
    /// An earlier owner recorded the placement; the worker has not yet reported whether the attempt
    /// runs.
    Inherited,
    /// Belongs to a part in another shard.
    OtherShard,
    /// Ended.
    Ended(Outcome),
}

/// A task of a job.
#[derive(Clone, Debug)]
pub struct Task {
    /// The key under which the policy knows the task; one of [`Job::policy_keys`].
    pub policy_key: JobKey,
    /// The phase.
    pub phase: TaskPhase,
    /// The number of attempts, the current one included.
    pub attempts: u32,
    /// The worker's index in the shard, while placed.
    pub worker_index: usize,
    /// The boot of the worker process that the attempt is meant for.
    pub boot: u64,
    /// The resources reserved on the worker, while placed.
    pub reserved: Resources,
    /// The result, once ended.
    pub result: String,
    /// The number of the command that starts the attempt; 0 where an earlier owner started it.
    pub start_command: u64,
    /// Whether the policy had the attempt stopped or checkpointed, so that the worker is expected
    /// to report it as cancelled.
    pub evicting: bool,
    /// Whether the attempt is evicted because the team's balance no longer pays for it.
    pub unpaid: bool,
    /// Whether a row of the task is or will be in the table.
    pub has_row: bool,
}

impl Task {
    /// A task that waits for its first attempt.
    pub fn queued(policy_key: JobKey) -> Self {
        Self {
            policy_key,
            phase: TaskPhase::Queued,
            attempts: 0,
            worker_index: 0,
            boot: 0,
            reserved: Resources::default(),
            result: String::new(),
            start_command: 0,
            evicting: false,
            unpaid: false,
            has_row: false,
        }
    }

    /// Whether the task is placed on a worker.
    pub fn is_placed(&self) -> bool {
        !matches!(
            self.phase,
            TaskPhase::Queued | TaskPhase::OtherShard | TaskPhase::Ended(_)
        )
    }
}

/// A job of the shard.
#[derive(Debug)]
pub struct Job {
    /// The job's id.
    pub id: JobId,
    /// The keys under which the policy knows tasks of the job. A job taken over from an earlier
    /// owner may have several, since its queued tasks can be given to the policy later than its
    /// placed ones; see [`Job::deferred`].
    pub policy_keys: Vec<JobKey>,
    /// The job as its caller described it.
    pub spec: JobSpec,
    /// The idempotency key that the job was submitted with.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the job's row is in the table.
    pub recorded: bool,
    /// Whether a cancellation was requested.
    pub cancelled: bool,
    /// Whether the policy does not know the queued tasks yet. Queued idempotent tasks are deferred
    /// after a takeover until every worker has responded or its leases have expired, since an
    /// earlier owner may have started them ahead of their rows.
    pub deferred: bool,
    /// The tasks by index.
    pub tasks: Vec<Task>,
    /// The number of tasks that have not ended.
    pub open_tasks: usize,
    /// The outcome, once it is recorded.
    pub outcome: Option<Outcome>,
    /// The reason for the outcome, where the system ended the job.
    pub reason: Option<EndReason>,
    /// When the job was accepted or taken over.
    pub accepted_at: Time,
    /// When the outcome was recorded.
    pub ended_at: Option<Time>,
    /// The callers that wait for the job to be recorded.
    pub submitters: Vec<ReplyToken>,
    /// The callers that wait for the outcome, each with the time when its wait ends.
    pub waiters: Vec<(ReplyToken, Time)>,
    decisions: Vec<String>,
}

impl Job {
    /// A job whose tasks are all queued.
    pub fn new(
        id: JobId,
        policy_key: JobKey,
        spec: JobSpec,
        idempotency_key: Option<IdempotencyKey>,
        now: Time,
    ) -> Self {
        let tasks = vec![Task::queued(policy_key); spec.tasks as usize];
        Self {
            open_tasks: tasks.len(),
            id,
            policy_keys: vec![policy_key],
            spec,
            idempotency_key,
            recorded: false,
            cancelled: false,
            deferred: false,
            tasks,
            outcome: None,
            reason: None,
            accepted_at: now,
            ended_at: None,
            submitters: Vec::new(),
            waiters: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// The id of task `index`.
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.id.clone(),
            index,
        }
    }

    /// The job's row while the job is open.
    pub fn row(&self) -> JobRow {
        JobRow {
            spec: self.spec.clone(),
            key: self.idempotency_key.clone(),
            cancelled: self.cancelled,
            outcome: None,
            reason: None,
            results: Vec::new(),
        }
    }

    /// The job's row with its outcome. Call it only after every task has ended.
    pub fn final_row(&self) -> JobRow {
        JobRow {
            outcome: Some(self.combined_outcome()),
            reason: self.reason,
            results: self.tasks.iter().map(|task| task.result.clone()).collect(),
            ..self.row()
        }
    }

    /// The outcome of all tasks together: the first of unknown, failed and cancelled that any task
    /// ended with, otherwise succeeded.
    pub fn combined_outcome(&self) -> Outcome {
        let has = |wanted| {
            self.tasks
                .iter()
                .any(|t| t.phase == TaskPhase::Ended(wanted))
        };
        let worst_first = [Outcome::Unknown, Outcome::Failed, Outcome::Cancelled];
        let worst = worst_first.into_iter().find(|&outcome| has(outcome));
        worst.unwrap_or(Outcome::Succeeded)
    }

    /// The job as a caller sees it.
    pub fn view(&self, waiting_for: Option<String>) -> JobView {
        let count = |f: fn(&Task) -> bool| {
            u32::try_from(self.tasks.iter().filter(|t| f(t)).count()).unwrap_or(u32::MAX)
        };
        JobView {
            id: self.id.to_string(),
            outcome: self.outcome,
            reason: self.outcome.and(self.reason),
            queued: count(|task| task.phase == TaskPhase::Queued),
            running: count(|task| task.is_placed() || task.phase == TaskPhase::OtherShard),
            ended: count(|task| matches!(task.phase, TaskPhase::Ended(_))),
            waiting_for,
            results: self.tasks.iter().map(|task| task.result.clone()).collect(),
        }
    }

    /// The job as an entry of the operators' job list.
    pub fn summary(&self, waiting_for: Option<String>, now: Time) -> JobSummary {
        let view = self.view(None);
        JobSummary {
            id: view.id,
            team: self.spec.team.clone(),
            kind: self.spec.kind.clone(),
            urgency: self.spec.urgency,
            age_ms: u64::try_from(now.since(self.accepted_at).as_millis()).unwrap_or(u64::MAX),
            queued: view.queued,
            running: view.running,
            ended: view.ended,
            waiting_for,
        }
    }

    /// Adds a decision to [`Job::decisions`]; ignored after the first 64.
    pub fn add_decision(&mut self, decision: impl Into<String>) {
        if self.decisions.len() < MAX_DECISIONS {
            self.decisions.push(decision.into());
        }
    }

    /// The first 64 decisions taken on the job, in order.
    pub fn decisions(&self) -> &[String] {
        &self.decisions
    }
}
