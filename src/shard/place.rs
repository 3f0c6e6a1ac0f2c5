//! From the policy's steps to recorded attempts and their starts.

use super::attempt::{Attempt, Decided, Recorded};
use super::commit_queue::TableChange;
use super::job::TaskPhase;
use super::rows::{encode, task_key};
use super::{Effect, MAX_PENDING, OnApplied, STEP_LIMIT, Shard};
use crate::decide::{Action, AttemptEnd, JobKey, WorkerKey};
use crate::model::{Resources, Time};
use crate::port::table::Write;
use crate::port::worker::Command;

impl Shard {
    pub(super) fn decide(&mut self, now: Time) {
        if self.stopping || self.commit_queue.pending() >= MAX_PENDING {
            return;
        }
        let mut steps = Vec::new();
        self.policy.decide(now, STEP_LIMIT, &mut steps);
        let mut gang: Option<(u64, Vec<Attempt<Decided>>)> = None;
        for step in steps {
            match step {
                Action::Place {
                    job,
                    index,
                    worker,
                    reserved,
                } => self.placed(job, index, worker, reserved, &mut gang),
                Action::Checkpoint {
                    job,
                    index,
                    worker,
                    unpaid,
                } => {
                    self.note_unpaid(job, index, unpaid);
                    self.command_task(job, index, worker, |task| Command::Checkpoint { task })
                }
                Action::Stop {
                    job,
                    index,
                    worker,
                    unpaid,
                } => {
                    self.note_unpaid(job, index, unpaid);
                    self.command_task(job, index, worker, |task| Command::Stop { task })
                }
                Action::Throttle {
                    job,
                    index,
                    worker,
                    allowed,
                } => self.command_task(job, index, worker, |task| Command::Throttle {
                    task,
                    resources: allowed,
                }),
            }
        }
        self.push_gang(gang);
    }

    fn placed(
        &mut self,
        key: JobKey,
        index: u32,
        worker: WorkerKey,
        reserved: Resources,
        gang: &mut Option<(u64, Vec<Attempt<Decided>>)>,
    ) {
        self.task_counts.placed += 1;
        let number = self.numbers[&key];
        let at = self.session_of[&worker];
        let session = &mut self.sessions[at];
        let job = self.jobs.get_mut(&number).expect("numbers name known jobs");
        let id = job.task_id(index);
        let task = &mut job.tasks[index as usize];
        task.phase = TaskPhase::Recording;
        task.attempts += 1;
        task.worker_index = at;
        task.boot = session.boot;
        task.reserved = reserved;
        task.command = 0;
        task.evicting = false;
        task.unpaid = false;
        task.has_row = true;
        session.tasks.insert(id.clone());
        let attempt = Attempt::new(id, task.attempts, at, session.boot, reserved);
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
        match gang {
            Some((of, attempts)) if is_gang && *of == number => attempts.push(attempt),
            _ => {
                self.push_gang(gang.take());
                *gang = Some((number, vec![attempt]));
                if !is_gang {
                    self.push_gang(gang.take());
                }
            }
        }
    }

    fn push_gang(&mut self, gang: Option<(u64, Vec<Attempt<Decided>>)>) {
        let Some((job, attempts)) = gang else {
            return;
        };
        let Some(attempts) = self.keep_reserved(job, attempts) else {
            return;
        };
        let writes = attempts.iter().map(|attempt| Write::Put {
            key: task_key(&attempt.task),
            value: encode(&attempt.row(&self.sessions[attempt.worker_index].info.name)),
        });
        self.commit_queue.push(TableChange {
            job,
            absent: None,
            conditions: Vec::new(),
            writes: writes.collect(),
            on_applied: OnApplied::Start(attempts),
        });
    }

    /// Notes that a task is ended because the balance pays it no longer.
    fn note_unpaid(&mut self, key: JobKey, index: u32, unpaid: bool) {
        let number = self.numbers[&key];
        if let Some(job) = self.jobs.get_mut(&number) {
            job.tasks[index as usize].unpaid |= unpaid;
        }
    }

    fn command_task(
        &mut self,
        key: JobKey,
        index: u32,
        worker: WorkerKey,
        command: impl FnOnce(crate::model::TaskId) -> Command,
    ) {
        let number = self.numbers[&key];
        if self.end_reservation(number) {
            return;
        }
        let Some(job) = self.jobs.get_mut(&number) else {
            return;
        };
        let command = command(job.task_id(index));
        let evicts = !matches!(command, Command::Throttle { .. });
        let task = &mut job.tasks[index as usize];
        task.evicting |= evicts;
        let why = describe(&command, task.unpaid);
        tracing::debug!(
            shard = %self.name,
            epoch = self.commit_queue.epoch(),
            task = %job.task_id(index),
            decision = why
        );
        job.add_decision(format!("task {index}: {why}"));
        self.sessions[self.session_of[&worker]].command(command);
    }

    pub(super) fn start(&mut self, attempt: &Attempt<Recorded>, now: Time) {
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
        let command = session.command(attempt.start(&job.spec.payload));
        task.phase = TaskPhase::StartQueued;
        task.command = command;
        if attempt.number == 1 {
            self.effects.push(Effect::TaskStarted {
                team: job.spec.team.clone(),
                kind: job.spec.kind.clone(),
                waited: now.since(job.accepted),
            });
        }
    }

    /// Starts recorded idempotent tasks whose placement waits for a table that has failed for
    /// long.
    pub(super) fn start_ahead(&mut self, now: Time) {
        if !self.is_detached(now) {
            return;
        }
        let jobs = &self.jobs;
        let taken = self.commit_queue.take_back(|change| {
            let job = jobs.get(&change.job);
            let ahead = job.is_some_and(|job| job.recorded && job.spec.idempotent);
            ahead && matches!(change.on_applied, OnApplied::Start(_))
        });
        for change in taken {
            let OnApplied::Start(attempts) = change.on_applied else {
                continue;
            };
            // The row comes first: a start that is not made any more writes a later one.
            self.commit_queue.push(TableChange {
                on_applied: OnApplied::Nothing,
                ..change
            });
            for attempt in attempts {
                self.start(&attempt.ahead_of_record(), now);
            }
        }
    }
}

fn describe(command: &Command, unpaid: bool) -> &'static str {
    match command {
        Command::Start { .. } => "started",
        Command::Stop { .. } if unpaid => "stopped: balance_spent",
        Command::Checkpoint { .. } if unpaid => "checkpointed: balance_spent",
        Command::Stop { .. } => "stopped, so that its worker is not overloaded",
        Command::Checkpoint { .. } => "checkpointed for more urgent work",
        Command::Throttle { .. } => "throttled to what it was allowed",
    }
}
