//! Requests of callers: submissions, queries and cancellations.

use super::commit_queue::TableChange;
use super::job::{Job, ReplyToken, TaskPhase};
use super::rows::{GangRow, IdempotencyKey, IdempotencyKeyRow, decode, encode, gang_key, job_key};
use super::{OUTAGE_RETRY_MS, OnApplied, Shard};
use crate::decide::{AttemptEnd, JobKey};
use crate::error::Refusal;
use crate::message::Reply;
use crate::model::{JobId, JobSpec, Outcome, Time};
use crate::port::table::{MAX_TXN_ROWS, Write};
use crate::port::worker::WorkerCommand;

/// The maximum number of tasks of a job.
pub const MAX_TASKS: u32 = 10_000;

/// The maximum number of tasks of a gang, so that one transaction records all placements.
pub const MAX_GANG_TASKS: u32 = (MAX_TXN_ROWS - 6) as u32;

impl Shard {
    /// Handles a submission. The reply follows once the job is recorded or refused.
    pub fn submit(
        &mut self,
        token: ReplyToken,
        id: &JobId,
        spec: &JobSpec,
        key: Option<IdempotencyKey>,
        now: Time,
    ) {
        match self.admit(token, id, spec, key, now) {
            Ok(()) => self.tick(now),
            Err(refusal) => {
                tracing::debug!(
                    shard = %self.name,
                    epoch = self.commit_queue.epoch(),
                    job = %id,
                    code = refusal.code,
                    decision = "refuse"
                );
                self.task_counts.refused += u64::from(spec.tasks);
                self.refuse(token, refusal);
            }
        }
    }

    fn admit(
        &mut self,
        token: ReplyToken,
        id: &JobId,
        spec: &JobSpec,
        key: Option<IdempotencyKey>,
        now: Time,
    ) -> Result<(), Refusal> {
        if let Some(job) = self.jobs.get_mut(&id.number) {
            job.submitters.push(token);
            self.reply_to_submitters(id.number);
            return Ok(());
        }
        if let Some(&(number, digest)) = key
            .as_ref()
            .and_then(|key| self.idempotency_keys.get(&key.row))
        {
            return self.join_by_key(token, number, digest == key.map_or(0, |key| key.digest));
        }
        self.check_accepting(spec, now)?;
        let policy_key = self.submit_to_policy(id, spec, key.is_some(), now)?;
        let initial_key = policy_key.unwrap_or_default();
        let mut job = Job::new(id.clone(), initial_key, spec.clone(), key.clone(), now);
        job.submitters.push(token);
        job.add_decision("accepted; to be recorded");
        self.push_job(&job, key.as_ref());
        match policy_key {
            Some(policy_key) => drop(self.job_numbers.insert(policy_key, id.number)),
            None => job.policy_keys.clear(),
        }
        if let Some(key) = key {
            self.idempotency_keys
                .insert(key.row, (id.number, key.digest));
        }
        self.jobs.insert(id.number, job);
        Ok(())
    }

    /// Submits a job to the policy, or keeps it as a cross-shard gang where it does not fit into
    /// this shard alone. Returns the policy's key of the job, if the policy took it.
    fn submit_to_policy(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        is_bound_by_key: bool,
        now: Time,
    ) -> Result<Option<JobKey>, Refusal> {
        match self.policy.submit(spec, now) {
            Ok(key) => Ok(Some(key)),
            Err(refusal) => {
                self.admit_cross_shard_gang(spec, is_bound_by_key, refusal)?;
                self.add_cross_shard_gang(id.number, now);
                Ok(None)
            }
        }
    }

    fn join_by_key(
        &mut self,
        token: ReplyToken,
        number: u64,
        same_digest: bool,
    ) -> Result<(), Refusal> {
        if !same_digest {
            return Err(key_reused());
        }
        if let Some(job) = self.jobs.get_mut(&number) {
            job.submitters.push(token);
        }
        self.reply_to_submitters(number);
        Ok(())
    }

    pub(super) fn check_accepting(&self, spec: &JobSpec, now: Time) -> Result<(), Refusal> {
        if self.stopping {
            let refusal = Refusal::not_run("stopping", "the shard is being handed over");
            return Err(refusal.retry_after(OUTAGE_RETRY_MS));
        }
        if self.table_failed_at.is_some() || self.is_detached(now) {
            return Err(table_unavailable());
        }
        if spec.tasks == 0 || spec.tasks > MAX_TASKS {
            let reason = format!("a job has 1 to {MAX_TASKS} tasks, not {}", spec.tasks);
            return Err(Refusal::not_run("task_count", reason));
        }
        if spec.all_at_once && spec.tasks > MAX_GANG_TASKS {
            let reason = format!(
                "at most {MAX_GANG_TASKS} tasks can start at once, not {}",
                spec.tasks
            );
            return Err(Refusal::not_run("gang_too_large", reason));
        }
        Ok(())
    }

    fn push_job(&mut self, job: &Job, key: Option<&IdempotencyKey>) {
        let mut writes = vec![Write::Put {
            key: job_key(&job.id),
            value: encode(&job.row()),
        }];
        if self.gangs.cross_shard.contains_key(&job.id.number) {
            writes.push(Write::Put {
                key: gang_key(&job.id),
                value: encode(&GangRow { parts: Vec::new() }),
            });
        }
        if let Some(key) = key {
            let row = IdempotencyKeyRow {
                job: job.id.clone(),
                digest: key.digest,
            };
            writes.push(Write::Put {
                key: key.row.clone(),
                value: encode(&row),
            });
        }
        self.commit_queue.push(TableChange {
            job: job.id.number,
            absent_key: key.map(|key| key.row.clone()),
            conditions: Vec::new(),
            writes,
            on_applied: OnApplied::Accepted,
        });
    }

    pub(super) fn job_recorded(&mut self, number: u64) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.recorded = true;
            job.add_decision("recorded");
        }
        self.reply_to_submitters(number);
    }

    fn reply_to_submitters(&mut self, number: u64) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        if !job.recorded {
            return;
        }
        let id = job.id.clone();
        for token in std::mem::take(&mut job.submitters) {
            let reply = Reply::Submitted { job: id.clone() };
            self.reply(token, reply);
        }
    }

    /// Replies to the submitters of a job whose idempotency key another shard recorded first, and
    /// drops the job.
    pub(super) fn handle_existing_key(&mut self, key: &str, value: &[u8], now: Time) {
        let Some((number, digest)) = self.idempotency_keys.get(key).copied() else {
            return;
        };
        let reply = match decode::<IdempotencyKeyRow>(value) {
            Ok(row) if row.digest == digest => Reply::Submitted { job: row.job },
            Ok(_) => Reply::Refused(key_reused()),
            Err(e) => Reply::Refused(Refusal::not_run("key_unreadable", e.to_string())),
        };
        self.drop_unrecorded(number, &reply, now);
    }

    /// Refuses all submissions that are certainly not in the table.
    pub(super) fn refuse_unrecorded(&mut self, now: Time) {
        let pending = self.commit_queue.pending_changes();
        let unrecorded: Vec<u64> = pending
            .filter(|change| matches!(change.on_applied, OnApplied::Accepted))
            .map(|change| change.job)
            .collect();
        for number in unrecorded {
            self.drop_unrecorded(number, &Reply::Refused(table_unavailable()), now);
        }
    }

    pub(super) fn drop_unrecorded(&mut self, number: u64, reply: &Reply, now: Time) {
        let dropped = self
            .commit_queue
            .remove_pending(|change| change.job == number);
        for change in dropped {
            if let OnApplied::Cancelled(token) = change.on_applied {
                self.reply(token, reply.clone());
            }
        }
        self.gangs.cross_shard.remove(&number);
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        if let Some(key) = &job.idempotency_key {
            self.idempotency_keys.remove(&key.row);
        }
        for key in &job.policy_keys {
            self.job_numbers.remove(key);
        }
        self.remove_from_policy(&mut job, now);
        let waiters = job.waiters.iter().map(|&(token, deadline)| {
            self.query_deadlines.remove(&(deadline, token, number));
            token
        });
        let waiters: Vec<ReplyToken> = waiters.collect();
        for token in job.submitters.iter().copied().chain(waiters) {
            self.reply(token, reply.clone());
        }
    }

    pub(super) fn remove_from_policy(&mut self, job: &mut Job, now: Time) {
        for &key in &job.policy_keys {
            self.policy.cancel(key, now);
        }
        for index in 0..job.spec.tasks {
            let task = &job.tasks[index as usize];
            if !task.is_placed() {
                continue;
            }
            self.sessions[task.worker_index]
                .tasks
                .remove(&job.task_id(index));
            let end = AttemptEnd::NeverRan;
            self.policy
                .attempt_ended(task.policy_key, index, task.attempts, end, now);
        }
        for &key in &job.policy_keys {
            self.policy.remove_job(key, now);
        }
    }

    /// Replies with a job's state once it has ended, or at `deadline`.
    pub fn query(&mut self, token: ReplyToken, id: &JobId, deadline: Time, now: Time) {
        match self.jobs.get_mut(&id.number) {
            Some(job) if job.outcome.is_none() && deadline > now => {
                job.waiters.push((token, deadline));
                self.query_deadlines.insert((deadline, token, id.number));
            }
            Some(job) if job.recorded => self.reply_job_view(token, id.number, now),
            _ => self.reply(token, Reply::Job(None)),
        }
    }

    pub(super) fn reply_job_view(&mut self, token: ReplyToken, number: u64, now: Time) {
        let view = self.jobs.get(&number).map(|job| {
            let waiting_for = self.waiting_for(job, now);
            job.view(waiting_for)
        });
        self.reply(token, Reply::Job(view));
    }

    pub(super) fn expire_queries(&mut self, now: Time) {
        while let Some(&(deadline, token, number)) = self.query_deadlines.first() {
            if deadline > now {
                return;
            }
            self.query_deadlines.pop_first();
            if let Some(job) = self.jobs.get_mut(&number) {
                job.waiters.retain(|&(waiter, _)| waiter != token);
            }
            self.reply_job_view(token, number, now);
        }
    }

    /// Cancels a job. The reply follows once the cancellation is recorded or, for a cross-shard
    /// gang whose parts may be recorded, once all parts have ended.
    pub fn cancel(&mut self, token: ReplyToken, id: &JobId, now: Time) {
        if self.table_failed_at.is_some() {
            return self.refuse(token, cancel_unavailable());
        }
        let is_reserved_part = self.gangs.parts.contains_key(&id.number);
        let job = self.jobs.get_mut(&id.number).filter(|_| !is_reserved_part);
        let Some(job) = job else {
            return self.reply(token, Reply::Job(None));
        };
        if job.outcome.is_some() {
            return self.reply_job_view(token, id.number, now);
        }
        if job.open_tasks == 0 {
            // All tasks have ended; the reply follows once the outcome is recorded.
            let deadline = Time(u64::MAX);
            job.waiters.push((token, deadline));
            self.query_deadlines.insert((deadline, token, id.number));
            return;
        }
        job.cancelled = true;
        job.add_decision("cancellation asked for");
        let parts_may_be_recorded = self.cancel_cross_shard_gang(token, id.number, now);
        let job = &self.jobs[&id.number];
        let write = Write::Put {
            key: job_key(&job.id),
            value: encode(&job.row()),
        };
        self.commit_queue.push(TableChange {
            job: id.number,
            absent_key: None,
            conditions: Vec::new(),
            writes: vec![write],
            on_applied: match parts_may_be_recorded {
                true => OnApplied::Nothing,
                false => OnApplied::Cancelled(token),
            },
        });
        self.cancel_tasks(id.number, now);
        self.tick(now);
    }

    fn cancel_tasks(&mut self, number: u64, now: Time) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        for &key in &job.policy_keys {
            self.policy.cancel(key, now);
        }
        for index in 0..job.spec.tasks {
            let id = job.task_id(index);
            let task = &mut job.tasks[index as usize];
            let session = &mut self.sessions[task.worker_index];
            match task.phase {
                TaskPhase::Queued => {
                    task.phase = TaskPhase::Ended(Outcome::Cancelled);
                    job.open_tasks -= 1;
                }
                TaskPhase::StartQueued if session.is_unsent(task.start_command) => {
                    session.replace_start_with_stop(task.start_command, &id);
                    session.tasks.remove(&id);
                    let end = AttemptEnd::NeverRan;
                    self.policy
                        .attempt_ended(task.policy_key, index, task.attempts, end, now);
                    task.phase = TaskPhase::Ended(Outcome::Cancelled);
                    job.open_tasks -= 1;
                }
                TaskPhase::StartQueued | TaskPhase::Running | TaskPhase::Inherited => {
                    session.replace_start_with_stop(task.start_command, &id);
                    session.queue_command(WorkerCommand::Stop { task: id });
                }
                TaskPhase::Recording | TaskPhase::OtherShard | TaskPhase::Ended(_) => {}
            }
        }
        if job.open_tasks == 0 {
            self.push_job_outcome(number, Vec::new());
        }
    }
}

fn key_reused() -> Refusal {
    Refusal::not_run(
        "key_reused",
        "the idempotency key was used with a different body",
    )
}

pub(super) fn cancel_unavailable() -> Refusal {
    let reason = "the cancellation cannot be recorded now; nothing was cancelled";
    Refusal::unknown("table_unavailable", reason).retry_after(OUTAGE_RETRY_MS)
}

fn table_unavailable() -> Refusal {
    Refusal::not_run(
        "table_unavailable",
        "the platform's table is unavailable; new work cannot be recorded",
    )
    .retry_after(OUTAGE_RETRY_MS)
}
