//! Callers' side of a shard: submissions, queries and cancellations.

use super::commit_queue::TableChange;
use super::job::{Job, ReplyToken, TaskPhase};
use super::rows::{GangRow, IdempotencyKey, IdempotencyKeyRow, decode, encode, gang_key, job_key};
use super::{OUTAGE_RETRY_MS, OnApplied, Shard};
use crate::decide::{AttemptEnd, JobKey};
use crate::error::Refusal;
use crate::message::Reply;
use crate::model::{JobId, JobSpec, Outcome, Time};
use crate::port::table::{MAX_TXN_ROWS, Write};
use crate::port::worker::Command;

/// The most tasks of one job.
pub const MAX_TASKS: u32 = 10_000;

/// The most tasks of a job whose tasks all start at once, so that one transaction records them.
pub const MAX_GANG_TASKS: u32 = (MAX_TXN_ROWS - 6) as u32;

impl Shard {
    /// Takes a submission; the reply follows once the job is recorded or refused.
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
            self.answer_submitters(id.number);
            return Ok(());
        }
        if let Some(&(number, digest)) = key.as_ref().and_then(|key| self.keys.get(&key.row)) {
            return self.join_keyed(token, number, digest == key.map_or(0, |key| key.digest));
        }
        self.check_accepting(spec, now)?;
        let policy_key = self.enter(id, spec, key.is_some(), now)?;
        let known_as = policy_key.unwrap_or_default();
        let mut job = Job::new(id.clone(), known_as, spec.clone(), key.clone(), now);
        job.submitters.push(token);
        job.add_decision("accepted; to be recorded");
        self.push_acceptance(&job, key.as_ref());
        match policy_key {
            Some(policy_key) => drop(self.numbers.insert(policy_key, id.number)),
            None => job.keys.clear(),
        }
        if let Some(key) = key {
            self.keys.insert(key.row, (id.number, key.digest));
        }
        self.jobs.insert(id.number, job);
        Ok(())
    }

    /// Hands a job to the policy, or keeps it as one over several shards where this shard alone
    /// does not hold it.
    fn enter(
        &mut self,
        id: &JobId,
        spec: &JobSpec,
        is_bound: bool,
        now: Time,
    ) -> Result<Option<JobKey>, Refusal> {
        match self.policy.submit(spec, now) {
            Ok(key) => Ok(Some(key)),
            Err(refusal) => {
                self.admit_span(spec, is_bound, refusal)?;
                self.add_span(id.number, now);
                Ok(None)
            }
        }
    }

    fn join_keyed(&mut self, token: ReplyToken, number: u64, same: bool) -> Result<(), Refusal> {
        if !same {
            return Err(key_reused());
        }
        if let Some(job) = self.jobs.get_mut(&number) {
            job.submitters.push(token);
        }
        self.answer_submitters(number);
        Ok(())
    }

    pub(super) fn check_accepting(&self, spec: &JobSpec, now: Time) -> Result<(), Refusal> {
        if self.stopping {
            let refusal = Refusal::not_run("stopping", "the shard is being handed over");
            return Err(refusal.retry_after(OUTAGE_RETRY_MS));
        }
        if self.table_failed.is_some() || self.is_detached(now) {
            return Err(table_down());
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

    fn push_acceptance(&mut self, job: &Job, key: Option<&IdempotencyKey>) {
        let mut writes = vec![Write::Put {
            key: job_key(&job.id),
            value: encode(&job.row()),
        }];
        if self.gangs.spans.contains_key(&job.id.number) {
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
            absent: key.map(|key| key.row.clone()),
            conditions: Vec::new(),
            writes,
            on_applied: OnApplied::Accepted,
        });
    }

    pub(super) fn accepted(&mut self, number: u64) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.recorded = true;
            job.add_decision("recorded");
        }
        self.answer_submitters(number);
    }

    fn answer_submitters(&mut self, number: u64) {
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

    /// Answers submitters of a job whose key another shard recorded first.
    pub(super) fn key_exists(&mut self, key: &str, value: &[u8], now: Time) {
        let Some((number, digest)) = self.keys.get(key).copied() else {
            return;
        };
        let reply = match decode::<IdempotencyKeyRow>(value) {
            Ok(row) if row.digest == digest => Reply::Submitted { job: row.job },
            Ok(_) => Reply::Refused(key_reused()),
            Err(e) => Reply::Refused(Refusal::not_run("key_unreadable", e.to_string())),
        };
        self.drop_unrecorded(number, &reply, now);
    }

    /// Refuses all submissions that are surely not in the table.
    pub(super) fn refuse_unrecorded(&mut self, now: Time) {
        let waiting = self.commit_queue.pending_changes();
        let unrecorded: Vec<u64> = waiting
            .filter(|change| matches!(change.on_applied, OnApplied::Accepted))
            .map(|change| change.job)
            .collect();
        for number in unrecorded {
            self.drop_unrecorded(number, &Reply::Refused(table_down()), now);
        }
    }

    pub(super) fn drop_unrecorded(&mut self, number: u64, reply: &Reply, now: Time) {
        let dropped = self.commit_queue.take_back(|change| change.job == number);
        for change in dropped {
            if let OnApplied::Cancelled(token) = change.on_applied {
                self.reply(token, reply.clone());
            }
        }
        self.gangs.spans.remove(&number);
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        if let Some(key) = &job.idempotency_key {
            self.keys.remove(&key.row);
        }
        for key in &job.keys {
            self.numbers.remove(key);
        }
        self.withdraw_from_policy(&mut job, now);
        let waiters = job.waiters.iter().map(|&(token, until)| {
            self.deadlines.remove(&(until, token, number));
            token
        });
        let waiters: Vec<ReplyToken> = waiters.collect();
        for token in job.submitters.iter().copied().chain(waiters) {
            self.reply(token, reply.clone());
        }
    }

    pub(super) fn withdraw_from_policy(&mut self, job: &mut Job, now: Time) {
        for &key in &job.keys {
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
                .attempt_ended(task.key, index, task.attempts, end, now);
        }
        for &key in &job.keys {
            self.policy.remove_job(key, now);
        }
    }

    /// Replies with a job's state, once it has ended or `until` has come.
    pub fn query(&mut self, token: ReplyToken, id: &JobId, until: Time, now: Time) {
        match self.jobs.get_mut(&id.number) {
            Some(job) if job.outcome.is_none() && until > now => {
                job.waiters.push((token, until));
                self.deadlines.insert((until, token, id.number));
            }
            Some(job) if job.recorded => self.reply_view(token, id.number, now),
            _ => self.reply(token, Reply::Job(None)),
        }
    }

    pub(super) fn reply_view(&mut self, token: ReplyToken, number: u64, now: Time) {
        let view = self.jobs.get(&number).map(|job| {
            let waiting_for = self.waiting_for(job, now);
            job.view(waiting_for)
        });
        self.reply(token, Reply::Job(view));
    }

    pub(super) fn end_waits(&mut self, now: Time) {
        while let Some(&(until, token, number)) = self.deadlines.first() {
            if until > now {
                return;
            }
            self.deadlines.pop_first();
            if let Some(job) = self.jobs.get_mut(&number) {
                job.waiters.retain(|&(waiter, _)| waiter != token);
            }
            self.reply_view(token, number, now);
        }
    }

    /// Cancels a job; the reply follows once the cancellation is recorded.
    pub fn cancel(&mut self, token: ReplyToken, id: &JobId, now: Time) {
        if self.table_failed.is_some() {
            return self.refuse(token, cancel_unrecorded());
        }
        let reserved = self.gangs.parts.contains_key(&id.number);
        let job = self.jobs.get_mut(&id.number).filter(|_| !reserved);
        let Some(job) = job else {
            return self.reply(token, Reply::Job(None));
        };
        if job.outcome.is_some() {
            return self.reply_view(token, id.number, now);
        }
        if job.open == 0 {
            // All tasks have ended; the reply says how, once that lasts.
            let until = Time(u64::MAX);
            job.waiters.push((token, until));
            self.deadlines.insert((until, token, id.number));
            return;
        }
        job.cancelled = true;
        job.add_decision("cancellation asked for");
        let is_spanned = self.cancel_span(token, id.number, now);
        let job = &self.jobs[&id.number];
        let write = Write::Put {
            key: job_key(&job.id),
            value: encode(&job.row()),
        };
        self.commit_queue.push(TableChange {
            job: id.number,
            absent: None,
            conditions: Vec::new(),
            writes: vec![write],
            on_applied: match is_spanned {
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
        for &key in &job.keys {
            self.policy.cancel(key, now);
        }
        for index in 0..job.spec.tasks {
            let id = job.task_id(index);
            let task = &mut job.tasks[index as usize];
            let session = &mut self.sessions[task.worker_index];
            match task.phase {
                TaskPhase::Queued => {
                    task.phase = TaskPhase::Ended(Outcome::Cancelled);
                    job.open -= 1;
                }
                TaskPhase::StartQueued if session.is_unsent(task.command) => {
                    session.withdraw(task.command, &id);
                    session.tasks.remove(&id);
                    let end = AttemptEnd::NeverRan;
                    self.policy
                        .attempt_ended(task.key, index, task.attempts, end, now);
                    task.phase = TaskPhase::Ended(Outcome::Cancelled);
                    job.open -= 1;
                }
                TaskPhase::StartQueued | TaskPhase::Running | TaskPhase::Inherited => {
                    session.withdraw(task.command, &id);
                    session.command(Command::Stop { task: id });
                }
                TaskPhase::Recording | TaskPhase::OtherShard | TaskPhase::Ended(_) => {}
            }
        }
        if job.open == 0 {
            self.push_job_end(number, Vec::new());
        }
    }
}

fn key_reused() -> Refusal {
    Refusal::not_run(
        "key_reused",
        "the idempotency key was used with a different body",
    )
}

pub(super) fn cancel_unrecorded() -> Refusal {
    let reason = "the cancellation cannot be recorded now; nothing was cancelled";
    Refusal::unknown("table_unavailable", reason).retry_after(OUTAGE_RETRY_MS)
}

fn table_down() -> Refusal {
    Refusal::not_run(
        "table_unavailable",
        "the platform's table is unavailable; new work cannot be recorded",
    )
    .retry_after(OUTAGE_RETRY_MS)
}
