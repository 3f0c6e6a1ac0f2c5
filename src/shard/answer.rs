//! Workers' answers.

use rustc_hash::FxHashSet;

use super::job::Phase;
use super::seat::{Contact, Lane};
use super::{Effect, Shard};
use crate::decide::WorkerState;
use crate::model::{TaskId, Time};
use crate::port::worker::{Running, SyncAnswer, WorkerError};

impl Shard {
    /// Takes the end of a call to the worker of `seat` on `lane`.
    pub fn answered(
        &mut self,
        seat: usize,
        lane: Lane,
        result: Result<SyncAnswer, WorkerError>,
        now: Time,
    ) {
        let backoff = self.times.calls.backoff;
        let answered = result.is_ok();
        let serial = self.seats[seat].call_ended(lane, answered, backoff, now);
        match result {
            Ok(answer) if self.seats[seat].is_overtaken(&answer, serial) => {}
            Ok(answer) => self.absorb(seat, answer, now),
            Err(WorkerError::Fenced { epoch }) if epoch > self.epoch() => {
                self.closed = true;
                self.effects.push(Effect::Overtaken);
            }
            Err(_) => self.silent(seat, now),
        }
        self.tick(now);
    }

    fn silent(&mut self, at: usize, now: Time) {
        let seat = &mut self.seats[at];
        if seat.contact == Contact::Answering {
            seat.contact = Contact::Silent;
            self.policy
                .set_worker_state(seat.key, WorkerState::Unreachable, now);
        }
    }

    fn absorb(&mut self, at: usize, answer: SyncAnswer, now: Time) {
        let reported_ends = !answer.ended.is_empty();
        let running: FxHashSet<&TaskId> = answer.running.iter().map(|r| &r.task).collect();
        let ended: FxHashSet<&TaskId> = answer.ended.iter().map(|e| &e.task).collect();
        let known = |task: &TaskId| running.contains(task) || ended.contains(task);
        let absent: Vec<TaskId> = self.seats[at]
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
        let seat = &mut self.seats[at];
        if reported_ends {
            seat.pause_watch(failing, now);
        }
        seat.sequence = answer.sequence;
        seat.clock_read(answer.clock_ms, now);
        seat.commands_taken(answer.last_command);
        seat.contact = Contact::Answering;
        seat.lapsed = false;
        let state = match answer.leaving || seat.removed {
            true => WorkerState::Draining,
            false => WorkerState::Available,
        };
        self.policy.set_worker_state(seat.key, state, now);
    }

    /// Decides about the attempts that the worker does not know.
    fn absent_tasks(&mut self, at: usize, answer: &SyncAnswer, absent: Vec<TaskId>, now: Time) {
        let restarted = self.seats[at].boot != answer.boot;
        for task in absent {
            let (number, index) = (task.job.number, task.index);
            if self.waits_for_others(number, index) {
                continue;
            }
            let command = self.command_of(number, index);
            let not_yet_taken = command > answer.last_command && !restarted;
            let never_ran = match self.phase_of(number, index) {
                Some(Phase::Inherited) => self.boot_of(number, index) == answer.boot,
                Some(Phase::Sent) if restarted => self.seats[at].is_unsent(command),
                Some(Phase::Sent | Phase::Running) if not_yet_taken => continue,
                Some(Phase::Sent | Phase::Running) => false,
                _ => continue,
            };
            let end = match never_ran {
                true => crate::decide::AttemptEnd::NeverRan,
                false => crate::decide::AttemptEnd::Lost,
            };
            self.finish_attempt(number, index, end, String::new(), now);
        }
        if restarted {
            self.seats[at].restarted(answer.boot);
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
            && task.seat == at
            && task.attempts == running.attempt
        {
            let inherited = task.phase == Phase::Inherited;
            task.phase = Phase::Running;
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
