//! Ends of attempts and jobs, and the removal of ended jobs.

use super::attempt::Attempt;
use super::commit_queue::TableChange;
use super::job::{Job, TaskPhase};
use super::rows::{TaskRow, encode, gang_key, job_key, task_key};
use super::worker_session::Reachability;
use super::{MAX_REMOVED_JOBS_PER_TICK, OnApplied, Shard};
use crate::decide::{AttemptEnd, TaskDisposition};
use crate::model::{EndReason, Outcome, TaskId, TaskState, Time};
use crate::port::table::{MAX_TXN_ROWS, Write};
use crate::port::worker::{EndedAttempt, WorkerCommand};

/// The maximum number of task rows that one change deletes; leaves room in the transaction for the
/// rows of the shard, the job and the gang.
pub(super) const MAX_DELETES_PER_CHANGE: usize = MAX_TXN_ROWS - 8;

impl Shard {
    /// Ends the current attempt of a task: tells the policy, records the new state of the task and,
    /// where this was the last open task, the outcome of the job.
    pub(super) fn finish_attempt(
        &mut self,
        number: u64,
        index: u32,
        end: AttemptEnd,
        result: String,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let id = job.task_id(index);
        let task = &mut job.tasks[index as usize];
        let attempt = task.attempts;
        let worker_index = task.worker_index;
        self.sessions[worker_index].tasks.remove(&id);
        let after = self
            .policy
            .attempt_ended(task.policy_key, index, attempt, end, now);
        tracing::debug!(
            shard = %self.name,
            epoch = self.commit_queue.epoch(),
            task = %id,
            attempt,
            ?end,
            ?after,
            decision = "end"
        );
        job.add_decision(format!(
            "task {index} attempt {attempt}: {end:?}, then {after:?}"
        ));
        let task = &mut job.tasks[index as usize];
        task.phase = match after {
            TaskDisposition::Queued => {
                self.task_counts.retried += u64::from(end != AttemptEnd::NeverRan);
                TaskPhase::Queued
            }
            TaskDisposition::Ended(outcome) => {
                self.task_counts.count_end(outcome);
                TaskPhase::Ended(outcome)
            }
        };
        let mut ends = Vec::new();
        if matches!(end, AttemptEnd::Reported(_)) {
            ends.push((worker_index, id, attempt));
        }
        if matches!(after, TaskDisposition::Ended(_)) {
            task.result = result;
            job.open_tasks -= 1;
            if task.unpaid && after == TaskDisposition::Ended(Outcome::Cancelled) {
                job.reason = Some(EndReason::BalanceSpent);
            }
        }
        match job.open_tasks {
            0 => self.push_job_outcome(number, ends),
            _ => self.push_task_row(number, index, ends),
        }
    }

    fn push_task_row(&mut self, number: u64, index: u32, ends: Vec<(usize, TaskId, u32)>) {
        let job = &self.jobs[&number];
        let task = &job.tasks[index as usize];
        let row = TaskRow {
            state: match task.phase {
                TaskPhase::Ended(outcome) => TaskState::Ended(outcome),
                TaskPhase::Queued => TaskState::Queued,
                _ => TaskState::Placed,
            },
            attempt: task.attempts,
            worker: self.sessions[task.worker_index].info.name.clone(),
            boot: task.boot,
            reserved: task.reserved,
            result: task.result.clone(),
        };
        let write = Write::Put {
            key: task_key(&job.task_id(index)),
            value: encode(&row),
        };
        self.commit_queue.push(TableChange {
            job: number,
            absent_key: None,
            conditions: Vec::new(),
            writes: vec![write],
            on_applied: OnApplied::AcknowledgeEnds(ends),
        });
    }

    /// Records a job's outcome and deletes the rows of its tasks.
    pub(super) fn push_job_outcome(&mut self, number: u64, ends: Vec<(usize, TaskId, u32)>) {
        let Some(job) = self.jobs.get(&number) else {
            return;
        };
        let put = Write::Put {
            key: job_key(&job.id),
            value: encode(&job.final_row()),
        };
        let rows = (0..job.spec.tasks).filter(|&index| job.tasks[index as usize].has_row);
        let deletes: Vec<Write> = rows
            .map(|index| Write::Delete {
                key: task_key(&job.task_id(index)),
            })
            .collect();
        let mut chunks = deletes.chunks(MAX_DELETES_PER_CHANGE);
        let mut writes = vec![put];
        if self.gangs.cross_shard.remove(&number).is_some() {
            writes.push(Write::Delete {
                key: gang_key(&job.id),
            });
        }
        writes.extend_from_slice(chunks.next().unwrap_or_default());
        self.commit_queue.push(TableChange {
            job: number,
            absent_key: None,
            conditions: Vec::new(),
            writes,
            on_applied: OnApplied::JobEnded(ends),
        });
        for chunk in chunks {
            self.commit_queue.push(TableChange {
                job: number,
                absent_key: None,
                conditions: Vec::new(),
                writes: chunk.to_vec(),
                on_applied: OnApplied::Nothing,
            });
        }
    }

    pub(super) fn finish_job(&mut self, number: u64, now: Time) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.outcome = Some(job.combined_outcome());
        job.ended_at = Some(now);
        job.add_decision("outcome recorded");
        for key in &job.policy_keys {
            self.policy.remove_job(*key, now);
            self.job_numbers.remove(key);
        }
        self.ended_jobs.push_back(number);
        let waiters = std::mem::take(&mut job.waiters);
        for (token, until) in waiters {
            self.query_deadlines.remove(&(until, token, number));
            self.reply_job_view(token, number, now);
        }
    }

    pub(super) fn acknowledge_ends(&mut self, ends: Vec<(usize, TaskId, u32)>) {
        for (worker_index, task, attempt) in ends {
            self.sessions[worker_index].queue_ack(task, attempt);
        }
    }

    /// Removes the jobs whose retention has passed, and their rows.
    pub(super) fn remove_expired_jobs(&mut self, now: Time) {
        for _ in 0..MAX_REMOVED_JOBS_PER_TICK {
            let Some(&number) = self.ended_jobs.front() else {
                return;
            };
            let ended_at = self.jobs.get(&number).and_then(|job| job.ended_at);
            if ended_at.is_some_and(|ended_at| now.since(ended_at) < self.timings.retention) {
                return;
            }
            self.ended_jobs.pop_front();
            if let Some(job) = self.jobs.remove(&number) {
                self.delete_rows(&job);
            }
        }
    }

    fn delete_rows(&mut self, job: &Job) {
        let mut writes = vec![Write::Delete {
            key: job_key(&job.id),
        }];
        if let Some(key) = &job.idempotency_key {
            self.idempotency_keys.remove(&key.row);
            writes.push(Write::Delete {
                key: key.row.clone(),
            });
        }
        self.commit_queue.push(TableChange {
            job: job.id.number,
            absent_key: None,
            conditions: Vec::new(),
            writes,
            on_applied: OnApplied::Nothing,
        });
    }

    /// Ends the attempts on workers that do not respond and whose leases have certainly expired.
    pub(super) fn expire_unreachable_workers(&mut self, now: Time) {
        for worker_index in 0..self.sessions.len() {
            let has_expired = self
                .leases_expire_at(worker_index)
                .is_some_and(|end| end <= now);
            if self.sessions[worker_index].reachability == Reachability::Reachable || !has_expired {
                continue;
            }
            self.sessions[worker_index].leases_expired = true;
            self.lose_attempts(worker_index, now);
        }
    }

    /// The time at which a worker's leases have certainly expired; `None` while a call that may
    /// renew them is in flight.
    ///
    /// A worker that has not responded to this owner may still receive renewals from an earlier
    /// owner: until the previous owner is known to be gone, or until `max_detached` after the
    /// takeover, by which time an earlier owner has stopped by itself.
    fn leases_expire_at(&self, worker_index: usize) -> Option<Time> {
        let calls = &self.timings.calls;
        let session = &self.sessions[worker_index];
        if session.has_renewal_in_flight() {
            return None;
        }
        let own_renewal = session.last_renewal.unwrap_or(self.opened_at);
        let earlier_renewal = match (session.reachability, self.previous_owner_gone_at) {
            (Reachability::Unknown, Some(gone)) => gone,
            (Reachability::Unknown, None) => self.opened_at + self.timings.max_detached,
            _ => own_renewal,
        };
        Some(own_renewal.max(earlier_renewal) + calls.task_lease + calls.lease_margin)
    }

    /// Ends all attempts on a worker whose leases have expired.
    pub(super) fn lose_attempts(&mut self, worker_index: usize, now: Time) {
        let tasks: Vec<TaskId> = self.sessions[worker_index].tasks.iter().cloned().collect();
        for task in tasks {
            self.lose_attempt(worker_index, &task, now);
        }
    }

    fn lose_attempt(&mut self, worker_index: usize, task: &TaskId, now: Time) {
        let (number, index) = (task.job.number, task.index);
        let command = self.start_command_number(number, index);
        let end = match self.task_phase(number, index) {
            Some(TaskPhase::StartQueued) if self.sessions[worker_index].is_unsent(command) => {
                AttemptEnd::NeverRan
            }
            Some(TaskPhase::Inherited) if self.must_defer_end(number, index) => return,
            Some(TaskPhase::StartQueued | TaskPhase::Running | TaskPhase::Inherited) => {
                AttemptEnd::Lost
            }
            _ => return,
        };
        self.sessions[worker_index].replace_start_with_stop(command, task);
        self.finish_attempt(number, index, end, String::new(), now);
    }

    /// Handles the end of an attempt that a worker reported.
    pub(super) fn handle_ended_attempt(
        &mut self,
        worker_index: usize,
        ended: EndedAttempt,
        now: Time,
    ) {
        let (number, index) = (ended.task.job.number, ended.task.index);
        let current = self.jobs.get(&number).and_then(|job| {
            let task = job.tasks.get(index as usize)?;
            let is_current = task.is_placed()
                && task.worker_index == worker_index
                && task.attempts == ended.attempt;
            is_current.then_some(job)
        });
        let Some(job) = current else {
            return self.handle_unknown_attempt_end(worker_index, ended, now);
        };
        let was_requested = job.cancelled || job.tasks[index as usize].evicting;
        let stopped_by_worker = ended.outcome == Outcome::Cancelled && !was_requested;
        let end = match stopped_by_worker {
            true => AttemptEnd::Lost,
            false => AttemptEnd::Reported(ended.outcome),
        };
        if self.must_defer_end(number, index) {
            return;
        }
        self.finish_attempt(number, index, end, ended.result, now);
    }

    /// Handles the end of an attempt that this owner does not count as placed on the worker. A
    /// success counts where an earlier owner may have started the attempt ahead of its row.
    fn handle_unknown_attempt_end(&mut self, worker_index: usize, ended: EndedAttempt, now: Time) {
        let (number, index) = (ended.task.job.number, ended.task.index);
        let succeeded = ended.outcome == Outcome::Succeeded;
        if succeeded && self.adopt_attempt(worker_index, &ended.task, ended.attempt, now) {
            let end = AttemptEnd::Reported(Outcome::Succeeded);
            return self.finish_attempt(number, index, end, ended.result, now);
        }
        self.count_unrecorded_attempt(&ended);
        self.acknowledge_old_attempt(worker_index, &ended);
    }

    /// Counts an attempt that an earlier owner started ahead of its row and that did not succeed,
    /// so that its number is not used again.
    fn count_unrecorded_attempt(&mut self, ended: &EndedAttempt) {
        let Some(job) = self.jobs.get_mut(&ended.task.job.number) else {
            return;
        };
        if let Some(entry) = job.tasks.get_mut(ended.task.index as usize)
            && job.deferred
            && entry.phase == TaskPhase::Queued
        {
            entry.attempts = entry.attempts.max(ended.attempt);
        }
    }

    /// Acknowledges an end that is recorded or of no further use. An end whose job has pending
    /// changes may still have to be recorded; it is acknowledged once that is done.
    fn acknowledge_old_attempt(&mut self, worker_index: usize, ended: &EndedAttempt) {
        let may_be_pending = self
            .commit_queue
            .unapplied_changes()
            .any(|change| change.job == ended.task.job.number);
        if !may_be_pending {
            self.sessions[worker_index].queue_ack(ended.task.clone(), ended.attempt);
        }
    }

    /// Stops an attempt that this owner does not count as placed on the worker.
    pub(super) fn stop_unknown_attempt(&mut self, worker_index: usize, task: &TaskId) {
        self.sessions[worker_index].queue_command(WorkerCommand::Stop { task: task.clone() });
    }

    /// Whether the end of an inherited attempt must not be handled before every worker has
    /// responded or its leases have expired: the earlier owner may have started the next attempt
    /// ahead of its row.
    pub(super) fn must_defer_end(&self, number: u64, index: u32) -> bool {
        let inherited = self.task_phase(number, index) == Some(TaskPhase::Inherited);
        let may_start_ahead = |job: &Job| job.spec.idempotent && !job.cancelled;
        inherited
            && self.jobs.get(&number).is_some_and(may_start_ahead)
            && !self.all_workers_accounted_for()
    }

    /// Ends an inherited attempt in favour of a later one: the earlier owner handled the end of the
    /// inherited attempt without recording it before it started the later one.
    fn supersede_inherited_attempt(&mut self, task: &TaskId, now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job.number) else {
            return;
        };
        let entry = &mut job.tasks[task.index as usize];
        let end = AttemptEnd::Reported(Outcome::Succeeded);
        self.policy
            .attempt_ended(entry.policy_key, task.index, entry.attempts, end, now);
        self.sessions[entry.worker_index].tasks.remove(task);
        entry.phase = TaskPhase::Queued;
    }

    /// Takes over an attempt that an earlier owner started ahead of its row and that a worker
    /// reports. Returns whether the attempt is one.
    pub(super) fn adopt_attempt(
        &mut self,
        worker_index: usize,
        task: &TaskId,
        attempt: u32,
        now: Time,
    ) -> bool {
        let inherited = self.must_defer_end(task.job.number, task.index);
        let Some(job) = self.jobs.get(&task.job.number) else {
            return false;
        };
        let Some(entry) = job.tasks.get(task.index as usize) else {
            return false;
        };
        let is_deferred = job.deferred && !job.cancelled && entry.phase == TaskPhase::Queued;
        if !(is_deferred || inherited) || attempt <= entry.attempts {
            return false;
        }
        if inherited {
            self.supersede_inherited_attempt(task, now);
        }
        self.record_adopted_attempt(worker_index, task, attempt, now);
        true
    }

    fn record_adopted_attempt(
        &mut self,
        worker_index: usize,
        task: &TaskId,
        attempt: u32,
        now: Time,
    ) {
        let Some(job) = self.jobs.get_mut(&task.job.number) else {
            return;
        };
        let entry = &mut job.tasks[task.index as usize];
        let session = &mut self.sessions[worker_index];
        entry.phase = TaskPhase::Running;
        entry.attempts = attempt;
        entry.worker_index = worker_index;
        entry.boot = session.boot;
        entry.reserved = job.spec.resources;
        entry.has_row = true;
        let reserved = entry.reserved;
        session.tasks.insert(task.clone());
        let adopted = Attempt::new(task.clone(), attempt, worker_index, session.boot, reserved);
        job.add_decision(format!(
            "task {} found running on {}",
            task.index, session.info.name
        ));
        self.restore_to_policy(task.job.number, now, |index, state| {
            (index == task.index).then_some(state)
        });
        let worker = &self.sessions[worker_index].info.name;
        let write = Write::Put {
            key: task_key(task),
            value: encode(&adopted.row(worker)),
        };
        self.commit_queue.push(TableChange {
            job: task.job.number,
            absent_key: None,
            conditions: Vec::new(),
            writes: vec![write],
            on_applied: OnApplied::Nothing,
        });
    }
}
