//! Results of calls to workers.

use rustc_hash::FxHashSet;

use super::job::TaskPhase;
use super::worker_session::{Reachability, WorkerChannel};
use super::{Effect, Shard};
use crate::decide::WorkerState;
use crate::model::{TaskId, Time};
use crate::port::worker::{RunningAttempt, SyncResponse, WorkerError};

impl Shard {
    /// Handles the result of the call to worker `worker_index` that was in flight on `channel`.
    pub fn handle_worker_result(
        &mut self,
        worker_index: usize,
        channel: WorkerChannel,
        result: Result<SyncResponse, WorkerError>,
        now: Time,
    ) {
        let backoff = self.timings.calls.backoff;
        let answered = result.is_ok();
        let serial = self.sessions[worker_index].call_ended(channel, answered, backoff, now);
        match result {
            Ok(answer) if self.sessions[worker_index].is_stale(&answer, serial) => {}
            Ok(answer) => self.apply_response(worker_index, answer, now),
            Err(WorkerError::Fenced { epoch }) if epoch > self.epoch() => {
                self.closed = true;
                self.effects.push(Effect::Fenced);
            }
            Err(_) => self.mark_unreachable(worker_index, now),
        }
        self.tick(now);
    }

    fn mark_unreachable(&mut self, worker_index: usize, now: Time) {
        let session = &mut self.sessions[worker_index];
        if session.reachability == Reachability::Reachable {
            session.reachability = Reachability::Unreachable;
            self.policy
                .set_worker_state(session.policy_key, WorkerState::Unreachable, now);
        }
    }

    fn apply_response(&mut self, worker_index: usize, answer: SyncResponse, now: Time) {
        let reported_ends = !answer.ended.is_empty();
        let running: FxHashSet<&TaskId> = answer.running.iter().map(|r| &r.task).collect();
        let ended: FxHashSet<&TaskId> = answer.ended.iter().map(|e| &e.task).collect();
        let is_reported = |task: &TaskId| running.contains(task) || ended.contains(task);
        let missing: Vec<TaskId> = self.sessions[worker_index]
            .tasks
            .iter()
            .filter(|task| !is_reported(task))
            .cloned()
            .collect();
        self.end_missing_attempts(worker_index, &answer, missing, now);
        for running in &answer.running {
            self.handle_running_attempt(worker_index, running, now);
        }
        for ended in answer.ended {
            self.handle_ended_attempt(worker_index, ended, now);
        }
        let table_failing = self.table_failed_at.is_some();
        let session = &mut self.sessions[worker_index];
        if reported_ends {
            session.delay_long_poll(table_failing, now);
        }
        session.last_sequence = answer.sequence;
        session.set_worker_clock(answer.clock_ms, now);
        session.remove_accepted_commands(answer.last_command);
        session.reachability = Reachability::Reachable;
        session.leases_expired = false;
        let state = match answer.leaving || session.unlisted {
            true => WorkerState::Draining,
            false => WorkerState::Available,
        };
        self.policy.set_worker_state(session.policy_key, state, now);
    }

    /// Ends the attempts that are placed on the worker but missing in its response, except those
    /// whose start command the worker has not accepted yet.
    fn end_missing_attempts(
        &mut self,
        worker_index: usize,
        answer: &SyncResponse,
        missing: Vec<TaskId>,
        now: Time,
    ) {
        let restarted = self.sessions[worker_index].boot != answer.boot;
        for task in missing {
            let (number, index) = (task.job.number, task.index);
            if self.must_defer_end(number, index) {
                continue;
            }
            let command = self.start_command_number(number, index);
            let not_yet_accepted = command > answer.last_command && !restarted;
            let never_ran = match self.task_phase(number, index) {
                Some(TaskPhase::Inherited) => self.attempt_boot(number, index) == answer.boot,
                Some(TaskPhase::StartQueued) if restarted => {
                    self.sessions[worker_index].is_unsent(command)
                }
                Some(TaskPhase::StartQueued | TaskPhase::Running) if not_yet_accepted => continue,
                Some(TaskPhase::StartQueued | TaskPhase::Running) => false,
                _ => continue,
            };
            let end = match never_ran {
                true => crate::decide::AttemptEnd::NeverRan,
                false => crate::decide::AttemptEnd::Lost,
            };
            self.finish_attempt(number, index, end, String::new(), now);
        }
        if restarted {
            self.sessions[worker_index].reset_for_boot(answer.boot);
        }
    }

    fn handle_running_attempt(&mut self, worker_index: usize, running: &RunningAttempt, now: Time) {
        let (number, index) = (running.task.job.number, running.task.index);
        let task = self
            .jobs
            .get_mut(&number)
            .and_then(|job| Some((job.cancelled, job.tasks.get_mut(index as usize)?)));
        if let Some((cancelled, task)) = task
            && task.is_placed()
            && task.worker_index == worker_index
            && task.attempts == running.attempt
        {
            let inherited = task.phase == TaskPhase::Inherited;
            task.phase = TaskPhase::Running;
            let key = task.policy_key;
            if inherited && cancelled {
                self.stop_unknown_attempt(worker_index, &running.task);
            }
            return self.policy.usage_reported(key, index, running.usage, now);
        }
        if !self.adopt_attempt(worker_index, &running.task, running.attempt, now) {
            self.stop_unknown_attempt(worker_index, &running.task);
        }
    }
}
