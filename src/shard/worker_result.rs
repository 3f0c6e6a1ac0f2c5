//! Workers' answers.

use rustc_hash::FxHashSet;

use super::job::TaskPhase;
use super::worker_session::{Reachability, WorkerChannel};
use super::{Effect, Shard};
use crate::decide::WorkerState;
use crate::model::{TaskId, Time};
use crate::port::worker::{Running, SyncAnswer, WorkerError};

impl Shard {
    /// Takes the end of a call to the worker `worker_index` on `channel`.
    pub fn handle_worker_result(
        &mut self,
        worker_index: usize,
        channel: WorkerChannel,
        result: Result<SyncAnswer, WorkerError>,
        now: Time,
    ) {
        let backoff = self.times.calls.backoff;
        let answered = result.is_ok();
        let serial = self.sessions[worker_index].call_ended(channel, answered, backoff, now);
        match result {
            Ok(answer) if self.sessions[worker_index].is_overtaken(&answer, serial) => {}
            Ok(answer) => self.absorb(worker_index, answer, now),
            Err(WorkerError::Fenced { epoch }) if epoch > self.epoch() => {
                self.closed = true;
                self.effects.push(Effect::Fenced);
            }
            Err(_) => self.silent(worker_index, now),
        }
        self.tick(now);
    }

    fn silent(&mut self, at: usize, now: Time) {
        let session = &mut self.sessions[at];
        if session.reachability == Reachability::Reachable {
            session.reachability = Reachability::Unreachable;
            self.policy
                .set_worker_state(session.key, WorkerState::Unreachable, now);
        }
    }

    fn absorb(&mut self, at: usize, answer: SyncAnswer, now: Time) {
        let reported_ends = !answer.ended.is_empty();
        let running: FxHashSet<&TaskId> = answer.running.iter().map(|r| &r.task).collect();
        let ended: FxHashSet<&TaskId> = answer.ended.iter().map(|e| &e.task).collect();
        let known = |task: &TaskId| running.contains(task) || ended.contains(task);
        let absent: Vec<TaskId> = self.sessions[at]
            .tasks
            .iter()
            .filter(|task| !known(task))
            .cloned()
            .collect();
        self.absent_tasks(at, &answer, absent, now);
        for running in &answer.running {
            self.take_running(at, running, now);
        }
        for ended in answer.ended {
            self.take_end(at, ended, now);
        }
        let failing = self.table_failed.is_some();
        let session = &mut self.sessions[at];
        if reported_ends {
            session.pause_watch(failing, now);
        }
        session.sequence = answer.sequence;
        session.clock_read(answer.clock_ms, now);
        session.commands_taken(answer.last_command);
        session.reachability = Reachability::Reachable;
        session.lapsed = false;
        let state = match answer.leaving || session.removed {
            true => WorkerState::Draining,
            false => WorkerState::Available,
        };
        self.policy.set_worker_state(session.key, state, now);
    }

    /// Decides about the attempts that the worker does not know.
    fn absent_tasks(&mut self, at: usize, answer: &SyncAnswer, absent: Vec<TaskId>, now: Time) {
        let restarted = self.sessions[at].boot != answer.boot;
        for task in absent {
            let (number, index) = (task.job.number, task.index);
            if self.waits_for_others(number, index) {
                continue;
            }
            let command = self.command_of(number, index);
            let not_yet_taken = command > answer.last_command && !restarted;
            let never_ran = match self.phase_of(number, index) {
                Some(TaskPhase::Inherited) => self.boot_of(number, index) == answer.boot,
                Some(TaskPhase::StartQueued) if restarted => self.sessions[at].is_unsent(command),
                Some(TaskPhase::StartQueued | TaskPhase::Running) if not_yet_taken => continue,
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
            self.sessions[at].restarted(answer.boot);
        }
    }

    fn take_running(&mut self, at: usize, running: &Running, now: Time) {
        let (number, index) = (running.task.job.number, running.task.index);
        let task = self
            .jobs
            .get_mut(&number)
            .and_then(|job| Some((job.cancelled, job.tasks.get_mut(index as usize)?)));
        if let Some((cancelled, task)) = task
            && task.is_placed()
            && task.worker_index == at
            && task.attempts == running.attempt
        {
            let inherited = task.phase == TaskPhase::Inherited;
            task.phase = TaskPhase::Running;
            let key = task.key;
            if inherited && cancelled {
                self.stop_stray(at, &running.task);
            }
            return self.policy.usage_reported(key, index, running.usage, now);
        }
        if !self.adopt(at, &running.task, running.attempt, now) {
            self.stop_stray(at, &running.task);
        }
    }
}
