//! What an owner knows of one job.

use super::rows::{IdempotencyKey, JobRow};
use crate::decide::JobKey;
use crate::model::{EndReason, JobId, JobSpec, JobView, Outcome, Resources, TaskId, Time};
use crate::report::JobSummary;

/// The most decisions that are kept of a job.
const MAX_DECISIONS: usize = 64;

/// Names a caller that waits for a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ReplyToken(pub usize);

/// Where a task stands at its owner.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TaskPhase {
    /// It waits for a worker.
    Queued,
    /// A placement was decided and is being recorded.
    Recording,
    /// The start was queued for the worker.
    StartQueued,
    /// The worker reported it as running.
    Running,
    /// An earlier owner recorded the placement; the worker has not yet said whether it runs.
    Inherited,
    /// It is a task of a part in another shard.
    OtherShard,
    /// It ended.
    Ended(Outcome),
}

/// One task.
#[derive(Clone, Debug)]
pub struct Task {
    /// The job's key in the policy that knows the task.
    pub key: JobKey,
    /// Where it stands.
    pub phase: TaskPhase,
    /// Attempts made, the present one included.
    pub attempts: u32,
    /// The worker's index, while placed.
    pub worker_index: usize,
    /// The worker's boot that the attempt was meant for.
    pub boot: u64,
    /// What it holds, while placed.
    pub reserved: Resources,
    /// What it returned.
    pub result: String,
    /// The command that started the attempt; 0 where an earlier owner did.
    pub command: u64,
    /// Whether the policy had the attempt stopped, so that it is queued again.
    pub evicting: bool,
    /// Whether that was because the balance paid the attempt no longer.
    pub unpaid: bool,
    /// Whether a row of the task is or will be in the table.
    pub has_row: bool,
}

impl Task {
    /// A task that waits for its first attempt.
    pub fn waiting(key: JobKey) -> Self {
        Self {
            key,
            phase: TaskPhase::Queued,
            attempts: 0,
            worker_index: 0,
            boot: 0,
            reserved: Resources::default(),
            result: String::new(),
            command: 0,
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

/// One job.
#[derive(Debug)]
pub struct Job {
    /// The job's name.
    pub id: JobId,
    /// The keys under which the policy knows tasks of the job. A job taken over from an earlier
    /// owner may be known to it in parts, since its waiting tasks are held back at first.
    pub keys: Vec<JobKey>,
    /// The job as its caller described it.
    pub spec: JobSpec,
    /// The idempotency key that the job was submitted with.
    pub idempotency_key: Option<IdempotencyKey>,
    /// Whether the job's row is in the table.
    pub recorded: bool,
    /// Whether a cancellation was asked for.
    pub cancelled: bool,
    /// Whether waiting tasks are not yet told to the policy, until all workers have been heard.
    pub held: bool,
    /// The tasks by index.
    pub tasks: Vec<Task>,
    /// How many tasks have not ended.
    pub open: usize,
    /// The outcome, once it is recorded.
    pub outcome: Option<Outcome>,
    /// Why it ended that way, where we ended it.
    pub reason: Option<EndReason>,
    /// When the job was accepted, or taken over.
    pub accepted: Time,
    /// When the outcome was recorded.
    pub ended: Option<Time>,
    /// Callers that wait for the job to be recorded.
    pub submitters: Vec<ReplyToken>,
    /// Callers that wait for the outcome, each with the end of its wait.
    pub waiters: Vec<(ReplyToken, Time)>,
    decisions: Vec<String>,
}

impl Job {
    /// A job whose tasks all wait.
    pub fn new(
        id: JobId,
        key: JobKey,
        spec: JobSpec,
        idempotency_key: Option<IdempotencyKey>,
        now: Time,
    ) -> Self {
        let tasks = vec![Task::waiting(key); spec.tasks as usize];
        Self {
            open: tasks.len(),
            id,
            keys: vec![key],
            spec,
            idempotency_key,
            recorded: false,
            cancelled: false,
            held: false,
            tasks,
            outcome: None,
            reason: None,
            accepted: now,
            ended: None,
            submitters: Vec::new(),
            waiters: Vec::new(),
            decisions: Vec::new(),
        }
    }

    /// The name of task `index`.
    pub fn task_id(&self, index: u32) -> TaskId {
        TaskId {
            job: self.id.clone(),
            index,
        }
    }

    /// The job's row.
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

    /// The job's row with its outcome; only once every task has ended.
    pub fn final_row(&self) -> JobRow {
        JobRow {
            outcome: Some(self.combined_outcome()),
            reason: self.reason,
            results: self.tasks.iter().map(|task| task.result.clone()).collect(),
            ..self.row()
        }
    }

    /// The outcome of all tasks together: the least certain, then the worst.
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

    /// The job as operators see it in a list.
    pub fn summary(&self, waiting_for: Option<String>, now: Time) -> JobSummary {
        let view = self.view(None);
        JobSummary {
            id: view.id,
            team: self.spec.team.clone(),
            kind: self.spec.kind.clone(),
            urgency: self.spec.urgency,
            age_ms: u64::try_from(now.since(self.accepted).as_millis()).unwrap_or(u64::MAX),
            queued: view.queued,
            running: view.running,
            ended: view.ended,
            waiting_for,
        }
    }

    /// Keeps a decision for [`Job::decisions`].
    pub fn add_decision(&mut self, decision: impl Into<String>) {
        if self.decisions.len() < MAX_DECISIONS {
            self.decisions.push(decision.into());
        }
    }

    /// The decisions taken on the job, in order; the first 64.
    pub fn decisions(&self) -> &[String] {
        &self.decisions
    }
}
