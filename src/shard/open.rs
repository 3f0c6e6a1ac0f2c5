//! Taking a shard over from the rows of its earlier owner.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use super::commit_queue::{CommitQueue, TableChange};
use super::finish::DELETE_CHUNK;
use super::gang::Gangs;
use super::job::{Job, Task, TaskPhase};
use super::rows::{
    GangRow, JobRow, RowError, ShardRow, TaskRow, decode, parse_job_key, parse_task_key, task_key,
};
use super::worker_session::Reachability;
use super::{OnApplied, Shard, ShardTimings, TaskCounts};
use crate::config::CellConfig;
use crate::decide::{JobKey, Policy, RestoredTask};
use crate::model::{JobId, Outcome, Resources, ShardName, TaskId, TaskState, Time, WorkerInfo};
use crate::port::table::{Row, Write};

/// Why a shard cannot be opened.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("row {key}: {cause}")]
pub struct OpenError {
    /// The row's key.
    pub key: String,
    /// What is wrong with it.
    pub cause: RowError,
}

/// The rows of a shard, read after its ownership was taken.
#[derive(Clone, Debug, Default)]
pub struct StoredRows {
    /// The rows under `job/SHARD/`.
    pub jobs: Vec<Row>,
    /// The rows under `task/SHARD/`.
    pub tasks: Vec<Row>,
    /// The rows under `gang/SHARD/`.
    pub gangs: Vec<Row>,
}

impl Shard {
    /// Opens a shard whose row was just taken over as `row` at `row_version`.
    ///
    /// # Errors
    ///
    /// Returns [`OpenError`] where a row cannot be read.
    #[allow(clippy::too_many_arguments)]
    pub fn open(
        name: &ShardName,
        row: ShardRow,
        row_version: u64,
        rows: &StoredRows,
        cfg: &CellConfig,
        policy: Box<dyn Policy>,
        times: ShardTimings,
        now: Time,
    ) -> Result<Self, OpenError> {
        let mut shard = Self {
            name: name.clone(),
            times,
            policy,
            commit_queue: CommitQueue::new(name.clone(), row, row_version),
            jobs: FxHashMap::default(),
            numbers: FxHashMap::default(),
            keys: FxHashMap::default(),
            ended: std::collections::VecDeque::new(),
            sessions: Vec::new(),
            session_of: FxHashMap::default(),
            opened: now,
            prior_gone: None,
            held: Vec::new(),
            deadlines: std::collections::BTreeSet::new(),
            table_failed: None,
            began: None,
            proved: None,
            retry_commit: None,
            next_commit: None,
            stopping: false,
            closed: false,
            gangs: Gangs::default(),
            effects: Vec::new(),
            task_counts: TaskCounts::default(),
        };
        shard.configure(cfg, now);
        shard.restore(rows, now)?;
        Ok(shard)
    }

    fn restore(&mut self, rows: &StoredRows, now: Time) -> Result<(), OpenError> {
        let mut tasks: FxHashMap<u64, BTreeMap<u32, TaskRow>> = FxHashMap::default();
        for row in &rows.tasks {
            let (number, index) = at(row, parse_task_key(&row.key))?;
            let task = at(row, decode::<TaskRow>(&row.value))?;
            tasks.entry(number).or_default().insert(index, task);
        }
        let mut gangs: FxHashMap<u64, GangRow> = FxHashMap::default();
        for row in &rows.gangs {
            let number = at(row, parse_job_key(&row.key))?;
            gangs.insert(number, at(row, decode(&row.value))?);
        }
        for row in &rows.jobs {
            let number = at(row, parse_job_key(&row.key))?;
            let job = at(row, decode::<JobRow>(&row.value))?;
            let ended = job.outcome.is_some();
            let rows = match ended {
                true => BTreeMap::new(),
                false => tasks.remove(&number).unwrap_or_default(),
            };
            self.restore_job(number, job, &rows, gangs.get(&number), now);
        }
        self.delete_left(&tasks);
        Ok(())
    }

    /// Deletes rows of tasks that the earlier owner left when it was lost between the end of their
    /// job and the last transaction that deletes them.
    fn delete_left(&mut self, tasks: &FxHashMap<u64, BTreeMap<u32, TaskRow>>) {
        for (&number, rows) in tasks {
            let job = JobId::new(&self.name, number);
            let ids = rows.keys().map(|&index| TaskId {
                job: job.clone(),
                index,
            });
            let keys: Vec<String> = ids.map(|id| task_key(&id)).collect();
            for chunk in keys.chunks(DELETE_CHUNK) {
                let writes = chunk.iter().cloned().map(|key| Write::Delete { key });
                self.commit_queue.push(TableChange {
                    job: number,
                    absent: None,
                    conditions: Vec::new(),
                    writes: writes.collect(),
                    on_applied: OnApplied::Nothing,
                });
            }
        }
    }

    fn restore_job(
        &mut self,
        number: u64,
        row: JobRow,
        rows: &BTreeMap<u32, TaskRow>,
        gang: Option<&GangRow>,
        now: Time,
    ) {
        let id = JobId::new(&self.name, number);
        let cancelled = row.cancelled;
        let mut job = Job::new(id, JobKey::default(), row.spec, row.key, now);
        job.keys.clear();
        job.recorded = true;
        job.cancelled = cancelled;
        if let Some(key) = &job.idempotency_key {
            self.keys.insert(key.row.clone(), (number, key.digest));
        }
        if let Some(outcome) = row.outcome {
            job.reason = row.reason;
            return self.restore_ended(job, outcome, row.results, now);
        }
        for (&index, task) in rows {
            let worker_index = self.session_named(task, now);
            if let Some(slot) = job.tasks.get_mut(index as usize) {
                *slot = restored_task(task, worker_index);
            }
        }
        for task in &mut job.tasks {
            if cancelled && task.phase == TaskPhase::Queued {
                task.phase = TaskPhase::Ended(Outcome::Cancelled);
            }
        }
        job.add_decision("taken over by a new owner");
        if let Some(gang) = gang {
            return self.restore_span(job, gang, now);
        }
        self.insert_restored(job, now);
    }

    fn restore_ended(&mut self, mut job: Job, outcome: Outcome, results: Vec<String>, now: Time) {
        for (task, result) in job.tasks.iter_mut().zip(results) {
            task.phase = TaskPhase::Ended(outcome);
            task.result = result;
        }
        job.open = 0;
        job.outcome = Some(outcome);
        job.ended = Some(now);
        self.ended.push_back(job.id.number);
        self.jobs.insert(job.id.number, job);
    }

    fn insert_restored(&mut self, mut job: Job, now: Time) {
        let number = job.id.number;
        let ended = |task: &&Task| matches!(task.phase, TaskPhase::Ended(_));
        job.open = job.tasks.len() - job.tasks.iter().filter(ended).count();
        for index in 0..job.spec.tasks {
            let task = &job.tasks[index as usize];
            if task.is_placed() {
                self.sessions[task.worker_index]
                    .tasks
                    .insert(job.task_id(index));
            }
        }
        let waits = job.tasks.iter().any(|task| task.phase == TaskPhase::Queued);
        job.held = waits && job.spec.idempotent && !self.all_heard();
        let held = job.held;
        let complete = job.open == 0;
        self.jobs.insert(number, job);
        if held {
            self.held.push(number);
        }
        if complete {
            return self.push_job_end(number, Vec::new());
        }
        self.restore_part(number, now, |_, state| match state {
            RestoredTask::Queued { .. } if held => None,
            RestoredTask::Ended(_) => None,
            state => Some(state),
        });
        self.cancel_restored(number, now);
    }

    /// Tells the policy that a job was cancelled under an earlier owner. Its tasks are stopped
    /// when their workers report them.
    fn cancel_restored(&mut self, number: u64, now: Time) {
        let cancelled = self.jobs.get(&number).filter(|job| job.cancelled);
        for &key in cancelled.map_or(&[][..], |job| &job.keys) {
            self.policy.cancel(key, now);
        }
    }

    /// Tells the policy of the tasks that `choose` names, as a job of their own.
    pub(super) fn restore_part(
        &mut self,
        number: u64,
        now: Time,
        choose: impl Fn(u32, RestoredTask) -> Option<RestoredTask>,
    ) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let elsewhere = RestoredTask::Ended(Outcome::Cancelled);
        let states: Vec<(u32, Option<RestoredTask>)> = (0..)
            .zip(&job.tasks)
            .map(|(index, task)| (index, choose(index, self.restored(task))))
            .collect();
        if states.iter().all(|(_, state)| state.is_none()) {
            return;
        }
        let told: Vec<RestoredTask> = states
            .iter()
            .map(|(_, state)| state.unwrap_or(elsewhere))
            .collect();
        let key = self.policy.restore(&job.spec, &told, now);
        self.numbers.insert(key, number);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.keys.push(key);
        for (index, _) in states.iter().filter(|(_, state)| state.is_some()) {
            job.tasks[*index as usize].key = key;
        }
    }

    fn restored(&self, task: &Task) -> RestoredTask {
        match task.phase {
            TaskPhase::Queued => RestoredTask::Queued {
                attempts: task.attempts,
            },
            TaskPhase::Ended(outcome) => RestoredTask::Ended(outcome),
            _ => RestoredTask::Placed {
                worker: self.sessions[task.worker_index].key,
                reserved: task.reserved,
                attempt: task.attempts,
            },
        }
    }

    /// The session of the worker that the row names; a worker that is not configured gets a session that
    /// takes no new work, until its tasks' leases have lapsed.
    fn session_named(&mut self, row: &TaskRow, now: Time) -> usize {
        let known = self.sessions.iter().position(|s| s.info.name == row.worker);
        known.unwrap_or_else(|| {
            let info = WorkerInfo {
                name: row.worker.clone(),
                rack: "removed".into(),
                zone: "removed".into(),
                capacity: Resources::default(),
                address: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
            };
            let at = self.add_session(&info, now);
            self.sessions[at].removed = true;
            at
        })
    }

    pub(super) fn all_heard(&self) -> bool {
        self.sessions
            .iter()
            .all(|session| session.reachability != Reachability::Unknown || session.lapsed)
    }

    /// Lets held jobs go on once every worker has been heard or its leases have lapsed.
    pub(super) fn release_held(&mut self, now: Time) {
        if self.held.is_empty() || !self.all_heard() {
            return;
        }
        for number in std::mem::take(&mut self.held) {
            let Some(job) = self.jobs.get_mut(&number) else {
                continue;
            };
            job.held = false;
            // A task whose inherited attempt has ended since is queued in the policy already.
            let untold = job.tasks.iter().map(|task| task.key == JobKey::default());
            let untold: Vec<bool> = untold.collect();
            self.restore_part(number, now, |index, state| {
                let waits = matches!(state, RestoredTask::Queued { .. });
                (waits && untold[index as usize]).then_some(state)
            });
        }
    }
}

fn restored_task(row: &TaskRow, worker_index: usize) -> Task {
    Task {
        key: JobKey::default(),
        phase: match row.state {
            TaskState::Queued => TaskPhase::Queued,
            TaskState::Placed => TaskPhase::Inherited,
            TaskState::Ended(outcome) => TaskPhase::Ended(outcome),
        },
        attempts: row.attempt,
        worker_index,
        boot: row.boot,
        reserved: row.reserved,
        result: row.result.clone(),
        command: 0,
        evicting: false,
        unpaid: false,
        has_row: true,
    }
}

fn at<T>(row: &Row, read: Result<T, RowError>) -> Result<T, OpenError> {
    read.map_err(|cause| OpenError {
        key: row.key.clone(),
        cause,
    })
}
