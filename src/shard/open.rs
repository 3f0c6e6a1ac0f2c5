//! Opens a shard from the rows that its earlier owners stored.

use std::collections::BTreeMap;

use rustc_hash::FxHashMap;

use super::commit_queue::{CommitQueue, TableChange};
use super::finish::MAX_DELETES_PER_CHANGE;
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

/// A row that prevents a shard from being opened.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("row {key}: {cause}")]
pub struct OpenError {
    /// The row's key.
    pub key: String,
    /// Why the row cannot be read.
    pub cause: RowError,
}

/// The rows of a shard, read after the shard was claimed.
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
    /// Opens a shard that was just claimed by writing `row`, which got the version `row_version`.
    ///
    /// # Errors
    ///
    /// Returns [`OpenError`] if a row cannot be read.
    #[allow(clippy::too_many_arguments)]
    pub fn open(
        name: &ShardName,
        row: ShardRow,
        row_version: u64,
        rows: &StoredRows,
        cfg: &CellConfig,
        policy: Box<dyn Policy>,
        timings: ShardTimings,
        now: Time,
    ) -> Result<Self, OpenError> {
        let mut shard = Self {
            name: name.clone(),
            timings,
            policy,
            commit_queue: CommitQueue::new(name.clone(), row, row_version),
            jobs: FxHashMap::default(),
            job_numbers: FxHashMap::default(),
            idempotency_keys: FxHashMap::default(),
            ended_jobs: std::collections::VecDeque::new(),
            sessions: Vec::new(),
            worker_indices: FxHashMap::default(),
            opened_at: now,
            previous_owner_gone_at: None,
            deferred_jobs: Vec::new(),
            query_deadlines: std::collections::BTreeSet::new(),
            table_failed_at: None,
            commit_started_at: None,
            verified_at: None,
            commit_retry_at: None,
            next_commit_at: None,
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
            let (number, index) = with_key(row, parse_task_key(&row.key))?;
            let task = with_key(row, decode::<TaskRow>(&row.value))?;
            tasks.entry(number).or_default().insert(index, task);
        }
        let mut gangs: FxHashMap<u64, GangRow> = FxHashMap::default();
        for row in &rows.gangs {
            let number = with_key(row, parse_job_key(&row.key))?;
            gangs.insert(number, with_key(row, decode(&row.value))?);
        }
        for row in &rows.jobs {
            let number = with_key(row, parse_job_key(&row.key))?;
            let job = with_key(row, decode::<JobRow>(&row.value))?;
            let ended = job.outcome.is_some();
            let rows = match ended {
                true => BTreeMap::new(),
                false => tasks.remove(&number).unwrap_or_default(),
            };
            self.restore_job(number, job, &rows, gangs.get(&number), now);
        }
        self.delete_leftover_tasks(&tasks);
        Ok(())
    }

    /// Deletes the task rows of ended jobs. An earlier owner leaves them if it stops between the
    /// transaction that records the job's outcome and the last one that deletes its task rows.
    fn delete_leftover_tasks(&mut self, tasks: &FxHashMap<u64, BTreeMap<u32, TaskRow>>) {
        for (&number, rows) in tasks {
            let job = JobId::new(&self.name, number);
            let ids = rows.keys().map(|&index| TaskId {
                job: job.clone(),
                index,
            });
            let keys: Vec<String> = ids.map(|id| task_key(&id)).collect();
            for chunk in keys.chunks(MAX_DELETES_PER_CHANGE) {
                let writes = chunk.iter().cloned().map(|key| Write::Delete { key });
                self.commit_queue.push(TableChange {
                    job: number,
                    absent_key: None,
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
        job.policy_keys.clear();
        job.recorded = true;
        job.cancelled = cancelled;
        if let Some(key) = &job.idempotency_key {
            self.idempotency_keys
                .insert(key.row.clone(), (number, key.digest));
        }
        if let Some(outcome) = row.outcome {
            job.reason = row.reason;
            return self.restore_ended(job, outcome, row.results, now);
        }
        for (&index, task) in rows {
            let worker_index = self.session_index_for(task, now);
            if let Some(entry) = job.tasks.get_mut(index as usize) {
                *entry = restored_task(task, worker_index);
            }
        }
        for task in &mut job.tasks {
            if cancelled && task.phase == TaskPhase::Queued {
                task.phase = TaskPhase::Ended(Outcome::Cancelled);
            }
        }
        job.add_decision("taken over by a new owner");
        if let Some(gang) = gang {
            return self.restore_cross_shard_gang(job, gang, now);
        }
        self.insert_restored(job, now);
    }

    fn restore_ended(&mut self, mut job: Job, outcome: Outcome, results: Vec<String>, now: Time) {
        for (task, result) in job.tasks.iter_mut().zip(results) {
            task.phase = TaskPhase::Ended(outcome);
            task.result = result;
        }
        job.open_tasks = 0;
        job.outcome = Some(outcome);
        job.ended_at = Some(now);
        self.ended_jobs.push_back(job.id.number);
        self.jobs.insert(job.id.number, job);
    }

    fn insert_restored(&mut self, mut job: Job, now: Time) {
        let number = job.id.number;
        let ended = |task: &&Task| matches!(task.phase, TaskPhase::Ended(_));
        job.open_tasks = job.tasks.len() - job.tasks.iter().filter(ended).count();
        for index in 0..job.spec.tasks {
            let task = &job.tasks[index as usize];
            if task.is_placed() {
                self.sessions[task.worker_index]
                    .tasks
                    .insert(job.task_id(index));
            }
        }
        let has_queued = job.tasks.iter().any(|task| task.phase == TaskPhase::Queued);
        job.deferred = has_queued && job.spec.idempotent && !self.all_workers_accounted_for();
        let deferred = job.deferred;
        let has_ended = job.open_tasks == 0;
        self.jobs.insert(number, job);
        if deferred {
            self.deferred_jobs.push(number);
        }
        if has_ended {
            return self.push_job_outcome(number, Vec::new());
        }
        self.restore_to_policy(number, now, |_, state| match state {
            RestoredTask::Queued { .. } if deferred => None,
            RestoredTask::Ended(_) => None,
            state => Some(state),
        });
        self.cancel_restored(number, now);
    }

    /// Cancels a job in the policy that was cancelled under an earlier owner. Its running attempts
    /// are stopped when their workers report them.
    fn cancel_restored(&mut self, number: u64, now: Time) {
        let cancelled = self.jobs.get(&number).filter(|job| job.cancelled);
        for &key in cancelled.map_or(&[][..], |job| &job.policy_keys) {
            self.policy.cancel(key, now);
        }
    }

    /// Restores the tasks for which `choose` returns a state to the policy, as one job of the
    /// policy. The others count as ended in that job: the policy knows them under another key, or
    /// not yet.
    pub(super) fn restore_to_policy(
        &mut self,
        number: u64,
        now: Time,
        choose: impl Fn(u32, RestoredTask) -> Option<RestoredTask>,
    ) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let not_chosen = RestoredTask::Ended(Outcome::Cancelled);
        let states: Vec<(u32, Option<RestoredTask>)> = (0..)
            .zip(&job.tasks)
            .map(|(index, task)| (index, choose(index, self.policy_state(task))))
            .collect();
        if states.iter().all(|(_, state)| state.is_none()) {
            return;
        }
        let restored: Vec<RestoredTask> = states
            .iter()
            .map(|(_, state)| state.unwrap_or(not_chosen))
            .collect();
        let key = self.policy.restore(&job.spec, &restored, now);
        self.job_numbers.insert(key, number);
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.policy_keys.push(key);
        for (index, _) in states.iter().filter(|(_, state)| state.is_some()) {
            job.tasks[*index as usize].policy_key = key;
        }
    }

    fn policy_state(&self, task: &Task) -> RestoredTask {
        match task.phase {
            TaskPhase::Queued => RestoredTask::Queued {
                attempts: task.attempts,
            },
            TaskPhase::Ended(outcome) => RestoredTask::Ended(outcome),
            _ => RestoredTask::Placed {
                worker: self.sessions[task.worker_index].policy_key,
                reserved: task.reserved,
                attempt: task.attempts,
            },
        }
    }

    /// The index of the worker that the row names. For a worker that the configuration no longer
    /// names, adds a session that takes no new work, so that its attempts can end or expire.
    fn session_index_for(&mut self, row: &TaskRow, now: Time) -> usize {
        let known = self.sessions.iter().position(|s| s.info.name == row.worker);
        known.unwrap_or_else(|| {
            let info = WorkerInfo {
                name: row.worker.clone(),
                rack: "removed".into(),
                zone: "removed".into(),
                capacity: Resources::default(),
                address: std::net::SocketAddr::from(([0, 0, 0, 0], 0)),
            };
            let worker_index = self.add_session(&info, now);
            self.sessions[worker_index].unlisted = true;
            worker_index
        })
    }

    /// Whether each worker has responded to this owner or its leases have expired.
    pub(super) fn all_workers_accounted_for(&self) -> bool {
        self.sessions
            .iter()
            .all(|session| session.reachability != Reachability::Unknown || session.leases_expired)
    }

    /// Gives the queued tasks of deferred jobs to the policy, once every worker has responded or
    /// its leases have expired.
    pub(super) fn queue_deferred_jobs(&mut self, now: Time) {
        if self.deferred_jobs.is_empty() || !self.all_workers_accounted_for() {
            return;
        }
        for number in std::mem::take(&mut self.deferred_jobs) {
            let Some(job) = self.jobs.get_mut(&number) else {
                continue;
            };
            job.deferred = false;
            // The policy knows a queued task already if its inherited attempt has ended meanwhile.
            let is_unknown = job
                .tasks
                .iter()
                .map(|task| task.policy_key == JobKey::default());
            let is_unknown: Vec<bool> = is_unknown.collect();
            self.restore_to_policy(number, now, |index, state| {
                let is_queued = matches!(state, RestoredTask::Queued { .. });
                (is_queued && is_unknown[index as usize]).then_some(state)
            });
        }
    }
}

fn restored_task(row: &TaskRow, worker_index: usize) -> Task {
    Task {
        policy_key: JobKey::default(),
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
        start_command: 0,
        evicting: false,
        unpaid: false,
        has_row: true,
    }
}

fn with_key<T>(row: &Row, read: Result<T, RowError>) -> Result<T, OpenError> {
    read.map_err(|cause| OpenError {
        key: row.key.clone(),
        cause,
    })
}
