//! Carries out the policy's decisions: records placements, starts attempts and sends commands.

use super::attempt::{Attempt, Decided, Recorded};
use super::commit_queue::TableChange;
use super::job::TaskPhase;
use super::rows::{encode, task_key};
use super::{Effect, MAX_PENDING_CHANGES, MAX_PLACEMENTS_PER_TICK, OnApplied, Shard};
use crate::decide::{Action, AttemptEnd, JobKey, WorkerKey};
use crate::model::{Resources, Time};
use crate::port::table::Write;
use crate::port::worker::WorkerCommand;

impl Shard {
    pub(super) fn decide(&mut self, now: Time) {
        if self.stopping || self.commit_queue.pending_count() >= MAX_PENDING_CHANGES {
            return;
        }
        let mut actions = Vec::new();
        self.policy
            .decide(now, MAX_PLACEMENTS_PER_TICK, &mut actions);
        let mut batch: Option<(u64, Vec<Attempt<Decided>>)> = None;
        for action in actions {
            match action {
                Action::Place {
                    job,
                    index,
                    worker,
                    reserved,
                } => self.add_placement(job, index, worker, reserved, &mut batch),
                Action::Checkpoint {
                    job,
                    index,
                    worker,
                    unpaid,
                } => {
                    self.mark_unpaid(job, index, unpaid);
                    self.send_command(job, index, worker, |task| WorkerCommand::Checkpoint {
                        task,
                    })
                }
                Action::Stop {
                    job,
                    index,
                    worker,
                    unpaid,
                } => {
                    self.mark_unpaid(job, index, unpaid);
                    self.send_command(job, index, worker, |task| WorkerCommand::Stop { task })
                }
                Action::Throttle {
                    job,
                    index,
                    worker,
                    allowed,
                } => self.send_command(job, index, worker, |task| WorkerCommand::Throttle {
                    task,
                    resources: allowed,
                }),
            }
        }
        self.push_attempts(batch);
    }

    fn add_placement(
        &mut self,
        key: JobKey,
        index: u32,
        worker: WorkerKey,
        reserved: Resources,
        batch: &mut Option<(u64, Vec<Attempt<Decided>>)>,
    ) {
        self.task_counts.placed += 1;
        let number = self.job_numbers[&key];
        let worker_index = self.worker_indices[&worker];
        let session = &mut self.sessions[worker_index];
        let job = self
            .jobs
            .get_mut(&number)
            .expect("job_numbers refers to known jobs");
        let id = job.task_id(index);
        let task = &mut job.tasks[index as usize];
        task.phase = TaskPhase::Recording;
        task.attempts += 1;
        task.worker_index = worker_index;
        task.boot = session.boot;
        task.reserved = reserved;
        task.start_command = 0;
        task.evicting = false;
        task.unpaid = false;
        task.has_row = true;
        session.tasks.insert(id.clone());
        let attempt = Attempt::new(id, task.attempts, worker_index, session.boot, reserved);
        tracing::debug!(
            shard = %self.name,
            epoch = self.commit_queue.epoch(),
            task = %attempt.task,
            attempt = attempt.number,
            worker = %session.info.name,
            decision = "place"
        );
        job.add_decision(format!("task {index} placed on {}", session.info.name));
        let is_gang = job.spec.all_at_once;
        match batch {
            Some((batch_job, attempts)) if is_gang && *batch_job == number => {
                attempts.push(attempt)
            }
            _ => {
                self.push_attempts(batch.take());
                *batch = Some((number, vec![attempt]));
                if !is_gang {
                    self.push_attempts(batch.take());
                }
            }
        }
    }

    fn push_attempts(&mut self, batch: Option<(u64, Vec<Attempt<Decided>>)>) {
        let Some((job, attempts)) = batch else {
            return;
        };
        let Some(attempts) = self.hold_part_attempts(job, attempts) else {
            return;
        };
        let writes = attempts.iter().map(|attempt| Write::Put {
            key: task_key(&attempt.task),
            value: encode(&attempt.row(&self.sessions[attempt.worker_index].info.name)),
        });
        self.commit_queue.push(TableChange {
            job,
            absent_key: None,
            conditions: Vec::new(),
            writes: writes.collect(),
            on_applied: OnApplied::StartAttempts(attempts),
        });
    }

    /// Notes whether an attempt is evicted because the team's balance no longer pays for it.
    fn mark_unpaid(&mut self, key: JobKey, index: u32, unpaid: bool) {
        let number = self.job_numbers[&key];
        if let Some(job) = self.jobs.get_mut(&number) {
            job.tasks[index as usize].unpaid |= unpaid;
        }
    }

    fn send_command(
        &mut self,
        key: JobKey,
        index: u32,
        worker: WorkerKey,
        command: impl FnOnce(crate::model::TaskId) -> WorkerCommand,
    ) {
        let number = self.job_numbers[&key];
        if self.expire_reservation(number) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let command = command(job.task_id(index));
        let evicts = !matches!(command, WorkerCommand::Throttle { .. });
        let task = &mut job.tasks[index as usize];
        task.evicting |= evicts;
        let text = decision_text(&command, task.unpaid);
        tracing::debug!(
            shard = %self.name,
            epoch = self.commit_queue.epoch(),
            task = %job.task_id(index),
            decision = text
        );
        job.add_decision(format!("task {index}: {text}"));
        self.sessions[self.worker_indices[&worker]].queue_command(command);
    }

    pub(super) fn start_attempt(&mut self, attempt: &Attempt<Recorded>, now: Time) {
        let number = attempt.task.job.number;
        let index = attempt.task.index;
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let task = &mut job.tasks[index as usize];
        if task.phase != TaskPhase::Recording || task.attempts != attempt.number {
            return;
        }
        let session = &mut self.sessions[attempt.worker_index];
        if job.cancelled || session.boot != attempt.boot {
            return self.finish_attempt(number, index, AttemptEnd::NeverRan, String::new(), now);
        }
        let command = session.queue_command(attempt.start_command(&job.spec.payload));
        task.phase = TaskPhase::StartQueued;
        task.start_command = command;
        if attempt.number == 1 {
            self.effects.push(Effect::TaskStarted {
                team: job.spec.team.clone(),
                kind: job.spec.kind.clone(),
                waited: now.since(job.accepted_at),
            });
        }
    }

    /// While the owner is detached from the table, starts the idempotent tasks of recorded jobs
    /// whose placements are decided but cannot be recorded.
    pub(super) fn start_ahead_of_rows(&mut self, now: Time) {
        if !self.is_detached(now) {
            return;
        }
        let jobs = &self.jobs;
        let taken = self.commit_queue.remove_pending(|change| {
            let job = jobs.get(&change.job);
            let may_start_ahead = job.is_some_and(|job| job.recorded && job.spec.idempotent);
            may_start_ahead && matches!(change.on_applied, OnApplied::StartAttempts(_))
        });
        for change in taken {
            let OnApplied::StartAttempts(attempts) = change.on_applied else {
                continue;
            };
            // The row of the placement is queued before the start: an attempt that can no longer
            // start ends at once and queues a later row of the task.
            self.commit_queue.push(TableChange {
                on_applied: OnApplied::Nothing,
                ..change
            });
            for attempt in attempts {
                self.start_attempt(&attempt.ahead_of_row(), now);
            }
        }
    }
}

fn decision_text(command: &WorkerCommand, unpaid: bool) -> &'static str {
    match command {
        WorkerCommand::Start { .. } => "started",
        WorkerCommand::Stop { .. } if unpaid => "stopped: balance_spent",
        WorkerCommand::Checkpoint { .. } if unpaid => "checkpointed: balance_spent",
        WorkerCommand::Stop { .. } => "stopped, so that its worker is not overloaded",
        WorkerCommand::Checkpoint { .. } => "checkpointed for more urgent work",
        WorkerCommand::Throttle { .. } => "throttled to what it was allowed",
    }
}
