//! Orders to workers and their answers.

use std::time::Duration;

use super::{Effect, Engine};
use crate::model::Time;
use crate::port::executor::{ExecutorError, Rejection, StartRequest, WorkerTarget};
use crate::workflow::active::Place;
use crate::workflow::fleet::{HeldRun, RunState, Worker, WorkerKey};
use crate::workflow::spec::{StepSpec, TaskId};

/// How long a rejected task waits before it starts again elsewhere.
const REJECTED_PAUSE: Duration = Duration::from_millis(50);

/// How long a task waits whose order its worker could not read.
const MALFORMED_PAUSE: Duration = Duration::from_secs(5);

impl Engine {
    pub(super) fn target(&self, worker: &Worker) -> WorkerTarget {
        WorkerTarget {
            name: worker.listing.name.clone(),
            address: worker.listing.address,
            fencing_token: self.fencing_token,
        }
    }

    /// Gives a run its room, which must have been checked; its start is sent once that is recorded.
    pub(super) fn assign_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        spec: &StepSpec,
        now: Time,
    ) {
        let Some(active) = self.active.get_mut(&task.step.workflow) else {
            return;
        };
        let Some(step) = active
            .steps
            .get_mut(&(task.step.occurrence, task.step.step))
        else {
            return;
        };
        step.last_run = step.last_run.max(run);
        let Some(known) = step.tasks.get_mut(task.index as usize) else {
            return;
        };
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        known.place = Place::On(key, run);
        let priority = active.policy.priority;
        worker.hold(
            task,
            HeldRun {
                run,
                reserved: spec.reserved(),
                state: RunState::Assigned,
                priority,
                estimate_ms: spec.estimate_ms,
                started: now,
            },
        );
        self.journal.assign(key, task, run);
    }

    /// Sends the starts of runs that are recorded now, unless they were given up meanwhile.
    pub(super) fn send_starts(&mut self, starts: &[(WorkerKey, TaskId, u32)], now: Time) {
        for (key, task, run) in starts {
            let worker = self.fleet.get(*key);
            let held = worker.and_then(|worker| worker.runs.get(task));
            let assigned =
                held.is_some_and(|held| held.run == *run && held.state == RunState::Assigned);
            if !assigned {
                continue;
            }
            let usable = worker.is_some_and(|worker| worker.is_usable(now));
            if !usable || !self.start_run(*key, *task, *run, now) {
                self.withdraw(*key, *task, now + REJECTED_PAUSE);
            }
        }
    }

    /// Sends the start of one run; false where it cannot be sent any more.
    fn start_run(&mut self, key: WorkerKey, task: TaskId, run: u32, now: Time) -> bool {
        let lease_ms = self.cfg.lease_ms;
        let needs_permit = self.needs_permit(task.step);
        let Some(active) = self.active.get_mut(&task.step.workflow) else {
            return false;
        };
        let step = active.steps.get(&(task.step.occurrence, task.step.step));
        let Some(step) = step else {
            return false;
        };
        let Some(worker) = self.fleet.get_mut(key) else {
            return false;
        };
        let permit = step.permits.held.get(&key);
        let permit = permit.filter(|held| held.until > now && held.boot == worker.listing.boot);
        let permit = permit.map(|held| held.token.clone());
        let known = step.tasks.get(task.index as usize);
        let lease_until_ms = worker.lease_until(lease_ms, now);
        let (Some(known), Some(lease_until_ms)) = (known, lease_until_ms) else {
            return false;
        };
        if needs_permit && permit.is_none() {
            return false;
        }
        let request = StartRequest {
            task,
            run,
            payload: active.payload.clone(),
            lease_until_ms,
            checkpoint: known.checkpoint.clone(),
            permit,
        };
        active.started = true;
        if let Some(held) = worker.runs.get_mut(&task) {
            held.state = RunState::Starting;
            held.started = now;
        }
        let name = worker.listing.name.clone();
        tracing::info!(
            request = %task.step.workflow,
            task = %task,
            run,
            worker = %name,
            resumed = request.checkpoint.is_some(),
            lease_until_ms,
            "a run starts"
        );
        self.plan_look(key, now);
        if let Some(worker) = self.fleet.get(key) {
            let target = self.target(worker);
            self.effects.push(Effect::Start {
                worker: key,
                target,
                request,
            });
        }
        true
    }

    /// Orders the stop of a run that holds room on the worker; also of one that may still arrive.
    pub(super) fn stop_run(&mut self, key: WorkerKey, task: TaskId, run: u32, now: Time) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let Some(held) = worker.runs.get_mut(&task).filter(|held| held.run == run) else {
            return;
        };
        if matches!(held.state, RunState::Stopping { .. }) {
            return;
        }
        if held.state == RunState::Assigned {
            self.withdraw(key, task, now);
            return;
        }
        held.state = RunState::Stopping {
            sent: now,
            answered: None,
        };
        self.send_stop(key, task, run, now);
    }

    pub(super) fn send_stop(&mut self, key: WorkerKey, task: TaskId, run: u32, now: Time) {
        let Some(worker) = self.fleet.get(key) else {
            return;
        };
        tracing::info!(
            request = %task.step.workflow,
            task = %task,
            run,
            worker = %worker.listing.name,
            "a run is stopped"
        );
        let target = self.target(worker);
        self.effects.push(Effect::Stop {
            worker: key,
            target,
            task,
            run,
        });
        self.plan_look(key, now);
    }

    /// Takes the answer to a start.
    pub fn handle_start_response(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        answer: Result<u64, ExecutorError>,
        now: Time,
    ) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        if let Ok(clock_ms) = answer {
            worker.read_order_clock(clock_ms, now);
            worker.answered();
        }
        let name = worker.listing.name.clone();
        let held = worker.runs.get_mut(&task).filter(|held| held.run == run);
        let Some(held) = held else {
            return;
        };
        match answer {
            Ok(_) => {
                if matches!(held.state, RunState::Starting | RunState::Unclear(_)) {
                    held.state = RunState::Running(now);
                }
            }
            Err(ExecutorError::NoAnswer(reason)) => {
                if held.state == RunState::Starting {
                    held.state = RunState::Unclear(now);
                }
                tracing::warn!(request = %task.step.workflow, task = %task, run, worker = %name, reason,
                    "a start was not answered; the worker is asked whether it runs");
                worker.suspend(now);
                self.look_soon(key, now);
            }
            Err(ExecutorError::NotSent(reason)) => {
                tracing::warn!(request = %task.step.workflow, task = %task, run, worker = %name, reason,
                    "a start did not reach its worker");
                worker.suspend(now);
                self.withdraw(key, task, now + REJECTED_PAUSE);
            }
            Err(ExecutorError::Rejected(rejection)) => {
                tracing::warn!(request = %task.step.workflow, task = %task, run, worker = %name,
                    ?rejection, "a worker rejected a start");
                self.start_rejected(key, task, run, rejection, now);
            }
        }
    }

    fn start_rejected(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        rejection: Rejection,
        now: Time,
    ) {
        let mut pause = REJECTED_PAUSE;
        match rejection {
            Rejection::Fenced => self.fenced = true,
            Rejection::Outdated | Rejection::Late | Rejection::OtherBoot | Rejection::NoRoom => {
                if rejection != Rejection::Outdated
                    && let Some(worker) = self.fleet.get_mut(key)
                {
                    worker.suspend(now);
                    worker.introduced = false;
                }
                self.look_soon(key, now);
            }
            Rejection::NoPermit => self.drop_permit(key, task),
            Rejection::Busy => {
                if let Some(worker) = self.fleet.get_mut(key) {
                    worker.suspend(now);
                }
            }
            Rejection::Malformed => pause = MALFORMED_PAUSE,
        }
        if let Some(step) = self.step_mut(task.step) {
            step.last_run = step.last_run.max(run);
        }
        self.withdraw(key, task, now + pause);
    }

    fn drop_permit(&mut self, key: WorkerKey, task: TaskId) {
        if let Some(step) = self.step_mut(task.step) {
            step.permits.held.remove(&key);
        }
    }

    /// Gives back the room of a run that never began; its task waits again.
    pub(super) fn withdraw(&mut self, key: WorkerKey, task: TaskId, not_before: Time) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let Some(held) = worker.release(task) else {
            return;
        };
        if self.place_of(task) == Some(Place::On(key, held.run)) {
            self.put_back(task, None, not_before);
        }
        self.place_due = true;
    }

    /// Takes the answer to a stop.
    pub fn handle_stop_response(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        answer: Result<u64, ExecutorError>,
        now: Time,
    ) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        match answer {
            Ok(clock_ms) => {
                worker.read_order_clock(clock_ms, now);
                worker.answered();
                if let Some(held) = worker.runs.get_mut(&task)
                    && held.run == run
                    && let RunState::Stopping { answered, .. } = &mut held.state
                {
                    answered.get_or_insert(now);
                }
            }
            Err(ExecutorError::Rejected(Rejection::Fenced)) => self.fenced = true,
            Err(error) => {
                tracing::warn!(request = %task.step.workflow, task = %task, run,
                    worker = %worker.listing.name, %error, "a stop has no result and is repeated");
            }
        }
        self.look_soon(key, now);
    }
}
