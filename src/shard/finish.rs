//! Ends of attempts and jobs.

use super::attempt::Attempt;
use super::commit_queue::TableChange;
use super::job::{Job, TaskPhase};
use super::rows::{TaskRow, encode, gang_key, job_key, task_key};
use super::worker_session::Reachability;
use super::{FORGET_LIMIT, OnApplied, Shard};
use crate::decide::{AttemptEnd, TaskDisposition};
use crate::model::{EndReason, Outcome, TaskId, TaskState, Time};
use crate::port::table::{MAX_TXN_ROWS, Write};
use crate::port::worker::{Command, Ended};

/// Task rows deleted by one change.
pub(super) const DELETE_CHUNK: usize = MAX_TXN_ROWS - 8;

impl Shard {
    /// Ends the present attempt of a task.
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
            .attempt_ended(task.key, index, attempt, end, now);
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
            job.open -= 1;
            if task.unpaid && after == TaskDisposition::Ended(Outcome::Cancelled) {
                job.reason = Some(EndReason::BalanceSpent);
            }
        }
        match job.open {
            0 => self.push_job_end(number, ends),
            _ => self.push_task(number, index, ends),
        }
    }

    fn push_task(&mut self, number: u64, index: u32, ends: Vec<(usize, TaskId, u32)>) {
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
            absent: None,
            conditions: Vec::new(),
            writes: vec![write],
            on_applied: OnApplied::Acknowledge(ends),
        });
    }

    /// Records a job's outcome and deletes the rows of its tasks.
    pub(super) fn push_job_end(&mut self, number: u64, ends: Vec<(usize, TaskId, u32)>) {
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
        let mut chunks = deletes.chunks(DELETE_CHUNK);
        let mut writes = vec![put];
        if self.gangs.spans.remove(&number).is_some() {
            writes.push(Write::Delete {
                key: gang_key(&job.id),
            });
        }
        writes.extend_from_slice(chunks.next().unwrap_or_default());
        self.commit_queue.push(TableChange {
            job: number,
            absent: None,
            conditions: Vec::new(),
            writes,
            on_applied: OnApplied::JobEnded(ends),
        });
        for chunk in chunks {
            self.commit_queue.push(TableChange {
                job: number,
                absent: None,
                conditions: Vec::new(),
                writes: chunk.to_vec(),
                on_applied: OnApplied::Nothing,
            });
        }
    }

    pub(super) fn job_ended(&mut self, number: u64, now: Time) {
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        job.outcome = Some(job.combined_outcome());
        job.ended = Some(now);
        job.add_decision("outcome recorded");
        for key in &job.keys {
            self.policy.remove_job(*key, now);
            self.numbers.remove(key);
        }
        self.ended.push_back(number);
        let waiters = std::mem::take(&mut job.waiters);
        for (token, until) in waiters {
            self.deadlines.remove(&(until, token, number));
            self.reply_view(token, number, now);
        }
    }

    pub(super) fn acknowledge(&mut self, ends: Vec<(usize, TaskId, u32)>) {
        for (worker_index, task, attempt) in ends {
            self.sessions[worker_index].acknowledge(task, attempt);
        }
    }

    /// Deletes the rows of jobs that ended longer ago than they are kept.
    pub(super) fn forget_old(&mut self, now: Time) {
        for _ in 0..FORGET_LIMIT {
            let Some(&number) = self.ended.front() else {
                return;
            };
            let ended = self.jobs.get(&number).and_then(|job| job.ended);
            if ended.is_some_and(|at| now.since(at) < self.times.retention) {
                return;
            }
            self.ended.pop_front();
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
            self.keys.remove(&key.row);
            writes.push(Write::Delete {
                key: key.row.clone(),
            });
        }
        self.commit_queue.push(TableChange {
            job: job.id.number,
            absent: None,
            conditions: Vec::new(),
            writes,
            on_applied: OnApplied::Nothing,
        });
    }

    /// Gives up the attempts on silent workers whose leases have surely lapsed.
    pub(super) fn give_up_lapsed(&mut self, now: Time) {
        for at in 0..self.sessions.len() {
            let lapsed = self.lapses_at(at).is_some_and(|end| end <= now);
            if self.sessions[at].reachability == Reachability::Reachable || !lapsed {
                continue;
            }
            self.sessions[at].lapsed = true;
            self.lose_tasks(at, now);
        }
    }

    /// When the leases of a worker's tasks have surely lapsed.
    fn lapses_at(&self, at: usize) -> Option<Time> {
        let calls = &self.times.calls;
        let session = &self.sessions[at];
        if session.may_be_renewing() {
            return None;
        }
        let own = session.renewed.unwrap_or(self.opened);
        let prior = match (session.reachability, self.prior_gone) {
            (Reachability::Unknown, Some(gone)) => gone,
            (Reachability::Unknown, None) => self.opened + self.times.max_detached,
            _ => own,
        };
        Some(own.max(prior) + calls.task_lease + calls.lease_margin)
    }

    /// Ends all attempts on a worker that no longer runs them.
    pub(super) fn lose_tasks(&mut self, at: usize, now: Time) {
        let tasks: Vec<TaskId> = self.sessions[at].tasks.iter().cloned().collect();
        for task in tasks {
            self.lose_task(at, &task, now);
        }
    }

    fn lose_task(&mut self, at: usize, task: &TaskId, now: Time) {
        let (number, index) = (task.job.number, task.index);
        let command = self.command_of(number, index);
        let end = match self.phase_of(number, index) {
            Some(TaskPhase::StartQueued) if self.sessions[at].is_unsent(command) => {
                AttemptEnd::NeverRan
            }
            Some(TaskPhase::Inherited) if self.waits_for_others(number, index) => return,
            Some(TaskPhase::StartQueued | TaskPhase::Running | TaskPhase::Inherited) => {
                AttemptEnd::Lost
            }
            _ => return,
        };
        self.sessions[at].withdraw(command, task);
        self.finish_attempt(number, index, end, String::new(), now);
    }

    /// Takes an end that a worker reported.
    pub(super) fn take_end(&mut self, at: usize, ended: Ended, now: Time) {
        let (number, index) = (ended.task.job.number, ended.task.index);
        let current = self.jobs.get(&number).and_then(|job| {
            let task = job.tasks.get(index as usize)?;
            let here =
                task.is_placed() && task.worker_index == at && task.attempts == ended.attempt;
            here.then_some(job)
        });
        let Some(job) = current else {
            return self.end_of_unknown_attempt(at, ended, now);
        };
        let asked = job.cancelled || job.tasks[index as usize].evicting;
        let stopped_by_worker = ended.outcome == Outcome::Cancelled && !asked;
        let end = match stopped_by_worker {
            true => AttemptEnd::Lost,
            false => AttemptEnd::Reported(ended.outcome),
        };
        if self.waits_for_others(number, index) {
            return;
        }
        self.finish_attempt(number, index, end, ended.result, now);
    }

    /// Takes the end of an attempt that this owner does not count as placed on the worker.
    fn end_of_unknown_attempt(&mut self, at: usize, ended: Ended, now: Time) {
        let (number, index) = (ended.task.job.number, ended.task.index);
        let succeeded = ended.outcome == Outcome::Succeeded;
        if succeeded && self.adopt(at, &ended.task, ended.attempt, now) {
            let end = AttemptEnd::Reported(Outcome::Succeeded);
            return self.finish_attempt(number, index, end, ended.result, now);
        }
        self.count_attempt_ahead(&ended);
        self.end_of_old_attempt(at, &ended);
    }

    /// Counts an attempt that an earlier owner started ahead of its row and that did not succeed,
    /// so that the next one has another number.
    fn count_attempt_ahead(&mut self, ended: &Ended) {
        let Some(job) = self.jobs.get_mut(&ended.task.job.number) else {
            return;
        };
        if let Some(slot) = job.tasks.get_mut(ended.task.index as usize)
            && job.held
            && slot.phase == TaskPhase::Queued
        {
            slot.attempts = slot.attempts.max(ended.attempt);
        }
    }

    /// Lets the worker forget an end that is recorded or no longer matters. An end that waits to
    /// be recorded is acknowledged once it is.
    fn end_of_old_attempt(&mut self, at: usize, ended: &Ended) {
        let waits = self
            .commit_queue
            .pending_or_flying()
            .any(|change| change.job == ended.task.job.number);
        if !waits {
            self.sessions[at].acknowledge(ended.task.clone(), ended.attempt);
        }
    }

    /// Stops an attempt that this owner does not count as placed on the worker.
    pub(super) fn stop_stray(&mut self, at: usize, task: &TaskId) {
        self.sessions[at].command(Command::Stop { task: task.clone() });
    }

    /// Whether the end of an inherited attempt has to wait until every worker has been heard: the
    /// earlier owner may have started the next attempt ahead of its row.
    pub(super) fn waits_for_others(&self, number: u64, index: u32) -> bool {
        let inherited = self.phase_of(number, index) == Some(TaskPhase::Inherited);
        let ahead = |job: &Job| job.spec.idempotent && !job.cancelled;
        inherited && self.jobs.get(&number).is_some_and(ahead) && !self.all_heard()
    }

    /// Ends an inherited attempt that the earlier owner had ended, without recording it, before it
    /// started a later one.
    fn supersede(&mut self, task: &TaskId, now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job.number) else {
            return;
        };
        let slot = &mut job.tasks[task.index as usize];
        let end = AttemptEnd::Reported(Outcome::Succeeded);
        self.policy
            .attempt_ended(slot.key, task.index, slot.attempts, end, now);
        self.sessions[slot.worker_index].tasks.remove(task);
        slot.phase = TaskPhase::Queued;
    }

    /// An attempt that an earlier owner started ahead of its row.
    pub(super) fn adopt(&mut self, at: usize, task: &TaskId, attempt: u32, now: Time) -> bool {
        let inherited = self.waits_for_others(task.job.number, task.index);
        let Some(job) = self.jobs.get(&task.job.number) else {
            return false;
        };
        let Some(slot) = job.tasks.get(task.index as usize) else {
            return false;
        };
        let waits = job.held && !job.cancelled && slot.phase == TaskPhase::Queued;
        if !(waits || inherited) || attempt <= slot.attempts {
            return false;
        }
        if inherited {
            self.supersede(task, now);
        }
        self.take_over_attempt(at, task, attempt, now);
        true
    }

    fn take_over_attempt(&mut self, at: usize, task: &TaskId, attempt: u32, now: Time) {
        let Some(job) = self.jobs.get_mut(&task.job.number) else {
            return;
        };
        let slot = &mut job.tasks[task.index as usize];
        let session = &mut self.sessions[at];
        slot.phase = TaskPhase::Running;
        slot.attempts = attempt;
        slot.worker_index = at;
        slot.boot = session.boot;
        slot.reserved = job.spec.resources;
        slot.has_row = true;
        let reserved = slot.reserved;
        session.tasks.insert(task.clone());
        let adopted = Attempt::new(task.clone(), attempt, at, session.boot, reserved);
        job.add_decision(format!(
            "task {} found running on {}",
            task.index, session.info.name
        ));
        self.restore_part(task.job.number, now, |index, state| {
            (index == task.index).then_some(state)
        });
        let worker = &self.sessions[at].info.name;
        let write = Write::Put {
            key: task_key(task),
            value: encode(&adopted.row(worker)),
        };
        self.commit_queue.push(TableChange {
            job: task.job.number,
            absent: None,
            conditions: Vec::new(),
            writes: vec![write],
            on_applied: OnApplied::Nothing,
        });
    }
}
