//! Start and stop requests to workers, and their responses.

use std::collections::BTreeSet;
use std::time::Duration;

use super::{Effect, Engine};
use crate::model::Time;
use crate::port::executor::{ExecutorError, Rejection, StartRequest, WorkerTarget};
use crate::workflow::active::TaskStatus;
use crate::workflow::ended::{Ended, RunState};
use crate::workflow::fleet::{ReservedRun, Worker, WorkerKey};
use crate::workflow::spec::{StepSpec, TaskId};

/// The delay before a task is placed again after its start failed.
const REJECTED_DELAY: Duration = Duration::from_millis(50);

/// The delay before a task is placed again after its worker could not read the start request.
const MALFORMED_DELAY: Duration = Duration::from_secs(5);

impl Engine {
    pub(super) fn target(&self, worker: &Worker) -> WorkerTarget {
        WorkerTarget {
            name: worker.listing.name.clone(),
            address: worker.listing.address,
            fencing_token: worker.fence_base.saturating_add(self.fencing_token),
        }
    }

    /// Reserves capacity for a run on a worker, which the caller must have checked. The start
    /// request is sent once the placement is committed.
    pub(super) fn assign_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        spec: &StepSpec,
        now: Time,
    ) {
        let is_overdue = self.is_overdue(task.step, now);
        let Some(active) = self.active.get_mut(&task.step.workflow) else {
            return;
        };
        let run_time = self
            .run_times
            .predict(&active.policy.name, spec.estimate_ms);
        let Some(state) = active
            .steps
            .get_mut(&(task.step.occurrence, task.step.step))
        else {
            return;
        };
        state.last_run = state.last_run.max(run);
        let Some(task_state) = state.tasks.get_mut(task.index as usize) else {
            return;
        };
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        task_state.status = TaskStatus::Placed(key, run);
        let (priority, account) = (active.policy.priority, active.account);
        if state.is_blamed() {
            worker.begin_probation(task.step.workflow, now);
        }
        worker.reserve(
            task,
            ReservedRun {
                run,
                reserved: spec.reserved(),
                need: spec.need,
                account,
                state: RunState::Assigned,
                process: None,
                suspected_of: None,
                priority,
                estimate_ms: spec.estimate_ms,
                expected_ms: run_time.expected_ms,
                is_overdue,
                is_long_running: spec.long_running,
                started_at: now,
            },
        );
        self.accounts.add_running(account, &spec.need);
        let part = active.parts.part_of_task(task);
        self.commit_queue.add_run(key, task, run, part);
    }

    /// Sends the start requests of runs whose placement is committed. Those that were released in the
    /// meantime or do not fit any more are not sent.
    pub(super) fn send_starts(&mut self, starts: &[(WorkerKey, TaskId, u32)], now: Time) {
        if self.are_limits_lowered() {
            self.count_running();
        }
        let mut in_doubt = BTreeSet::new();
        for (key, task, run) in starts {
            let worker = self.fleet.get(*key);
            let reserved = worker.and_then(|worker| worker.runs.get(task));
            let is_assigned = reserved.is_some_and(|reserved| {
                reserved.run == *run && reserved.state == RunState::Assigned
            });
            if !is_assigned {
                continue;
            }
            // The capacity may have shrunk since the placement.
            let may_start =
                worker.is_some_and(|worker| worker.is_usable(now) && !worker.is_over_capacity());
            let may_start = may_start && self.tenure.permits(now);
            let counted = reserved.map(|reserved| (reserved.account, reserved.need));
            let is_over_limit =
                counted.is_some_and(|(account, need)| self.refuse_over_limit(account, &need));
            let may_start = may_start && !is_over_limit;
            if !may_start || !self.start_run(*key, *task, *run, now) {
                self.release_and_requeue(*key, *task, now + REJECTED_DELAY, Ended::not_sent());
            } else if self.has_unanswered_start(*task) {
                in_doubt.insert(*key);
            }
        }
        // If these starts get no answer either, a response to the poll tells that their worker was
        // alive when they were sent.
        for key in in_doubt {
            self.poll_worker(key, false, now);
        }
    }

    fn has_unanswered_start(&mut self, task: TaskId) -> bool {
        let state = self.step_mut(task.step);
        let task = state.and_then(|state| state.task_mut(task.index));
        task.is_some_and(|task| task.start_unanswered)
    }

    /// Sends the start request of one run; false if it cannot be sent any more.
    fn start_run(&mut self, key: WorkerKey, task: TaskId, run: u32, now: Time) -> bool {
        let lease_ms = self.cfg.lease_ms;
        let needs_permit = self.needs_permit(task.step);
        let Some(active) = self.active.get(&task.step.workflow) else {
            return false;
        };
        let state = active.steps.get(&(task.step.occurrence, task.step.step));
        let Some(state) = state else {
            return false;
        };
        let Some(worker) = self.fleet.get_mut(key) else {
            return false;
        };
        let is_blamed = state.is_blamed();
        let permit = state.permits.granted.get(&key);
        let permit =
            permit.filter(|permit| permit.expires_at > now && permit.boot == worker.listing.boot);
        let permit = permit.map(|permit| permit.token.clone());
        let task_state = state.tasks.get(task.index as usize);
        let lease_until_ms = worker.grant_lease(lease_ms, now);
        let (Some(task_state), Some(lease_until_ms)) = (task_state, lease_until_ms) else {
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
            checkpoint: task_state.checkpoint.clone(),
            permit,
        };
        if let Some(reserved) = worker.runs.get_mut(&task) {
            reserved.state = RunState::Starting;
            reserved.started_at = now;
        }
        worker.last_start = Some(now);
        if is_blamed {
            worker.begin_probation(task.step.workflow, now);
        }
        let name = worker.listing.name.clone();
        tracing::info!(
            request = %task.step.workflow,
            task = %task,
            run,
            worker = %name,
            resumed = request.checkpoint.is_some(),
            lease_until_ms,
            "sending start request to worker"
        );
        self.ensure_poll_scheduled(key, now);
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

    /// Stops a run for which capacity is reserved on the worker, including one whose start request
    /// may not have arrived yet.
    pub(super) fn stop_run(&mut self, key: WorkerKey, task: TaskId, run: u32, now: Time) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let Some(reserved) = worker
            .runs
            .get_mut(&task)
            .filter(|reserved| reserved.run == run)
        else {
            return;
        };
        if matches!(reserved.state, RunState::Stopping { .. }) {
            return;
        }
        if reserved.state == RunState::Assigned {
            self.release_and_requeue(key, task, now, Ended::not_sent());
            return;
        }
        reserved.state = RunState::Stopping {
            sent_at: now,
            response_at: None,
        };
        self.send_stop(key, task, run, now);
    }

    pub(super) fn send_stop(&mut self, key: WorkerKey, task: TaskId, run: u32, now: Time) {
        let Some(worker) = self.fleet.get(key) else {
            return;
        };
        if !self.tenure.permits(now) {
            // Repeated after later polls, if the tenure is renewed.
            self.ensure_poll_scheduled(key, now);
            return;
        }
        tracing::info!(
            request = %task.step.workflow,
            task = %task,
            run,
            worker = %worker.listing.name,
            "sending stop request to worker"
        );
        let target = self.target(worker);
        self.effects.push(Effect::Stop {
            worker: key,
            target,
            task,
            run,
        });
        self.ensure_poll_scheduled(key, now);
    }

    /// Handles the response to a start request.
    pub fn handle_start_response(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        response: Result<u64, ExecutorError>,
        now: Time,
    ) {
        if response.is_ok() {
            self.mark_started(task.step.workflow);
        }
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let boot = worker.listing.boot;
        let mut by_known_process = false;
        if let Ok(clock_ms) = response {
            by_known_process = worker.check_clock(clock_ms, now);
            worker.record_response(now);
        }
        let name = worker.listing.name.clone();
        let reserved = worker
            .runs
            .get_mut(&task)
            .filter(|reserved| reserved.run == run);
        let Some(reserved) = reserved else {
            return;
        };
        match response {
            Ok(_) => {
                if matches!(
                    reserved.state,
                    RunState::Starting | RunState::OutcomeUnknown(_)
                ) {
                    reserved.state = RunState::Running(now);
                }
                // A run that is suspected of a crash may have been on the earlier process.
                if by_known_process && reserved.suspected_of.is_none() {
                    reserved.process = Some(boot);
                }
            }
            Err(ExecutorError::NoAnswer(reason)) => {
                if reserved.state == RunState::Starting {
                    reserved.state = RunState::OutcomeUnknown(now);
                }
                tracing::warn!(request = %task.step.workflow, task = %task, run, worker = %name,
                    reason,
                    "start request got no response; setting worker aside and polling it for the run");
                worker.set_aside(now);
                self.poll_soon(key, now);
                let state = self.step_mut(task.step);
                if let Some(task) = state.and_then(|state| state.task_mut(task.index)) {
                    task.start_unanswered = true;
                }
            }
            Err(ExecutorError::NotSent(reason)) => {
                tracing::warn!(request = %task.step.workflow, task = %task, run, worker = %name,
                    reason,
                    "start request was not sent; setting worker aside and requeuing task");
                worker.set_aside(now);
                self.release_and_requeue(key, task, now + REJECTED_DELAY, Ended::not_sent());
            }
            Err(ExecutorError::Rejected(rejection)) => {
                tracing::warn!(request = %task.step.workflow, task = %task, run, worker = %name,
                    ?rejection, "worker rejected start request; requeuing task");
                self.handle_rejected_start(key, task, run, rejection, now);
            }
        }
    }

    fn handle_rejected_start(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        rejection: Rejection,
        now: Time,
    ) {
        let mut delay = REJECTED_DELAY;
        match rejection {
            Rejection::Fenced => self.handle_fenced(key, now),
            Rejection::Outdated | Rejection::Late | Rejection::OtherBoot | Rejection::NoRoom => {
                if rejection != Rejection::Outdated
                    && let Some(worker) = self.fleet.get_mut(key)
                {
                    worker.set_aside(now);
                    worker.knows_fencing_token = false;
                }
                self.poll_soon(key, now);
            }
            Rejection::NoPermit => self.drop_permit(key, task),
            Rejection::Busy => {
                if let Some(worker) = self.fleet.get_mut(key) {
                    worker.set_aside(now);
                }
            }
            Rejection::Malformed => delay = MALFORMED_DELAY,
        }
        if let Some(state) = self.step_mut(task.step) {
            state.last_run = state.last_run.max(run);
        }
        self.release_and_requeue(key, task, now + delay, Ended::rejected());
    }

    fn drop_permit(&mut self, key: WorkerKey, task: TaskId) {
        if let Some(state) = self.step_mut(task.step) {
            state.permits.granted.remove(&key);
        }
    }

    /// Releases the capacity of a run that did not start or is gone; its task waits again.
    pub(super) fn release_and_requeue(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        not_before: Time,
        proof: Ended,
    ) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let Some(reserved) = worker.release(task) else {
            return;
        };
        if self.task_status(task) == Some(TaskStatus::Placed(key, reserved.run)) {
            self.requeue_task(task, None, not_before, proof);
        }
        self.placement_due = true;
    }

    /// Handles the response to a stop request.
    pub fn handle_stop_response(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        run: u32,
        response: Result<u64, ExecutorError>,
        now: Time,
    ) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        match response {
            Ok(clock_ms) => {
                worker.check_clock(clock_ms, now);
                worker.record_response(now);
                // Another process may have responded than that which has the run.
                let is_in_doubt = worker.process_unconfirmed_since.is_some();
                if let Some(reserved) = worker.runs.get_mut(&task)
                    && reserved.run == run
                    && let RunState::Stopping { response_at, .. } = &mut reserved.state
                    && !is_in_doubt
                {
                    response_at.get_or_insert(now);
                }
            }
            Err(ExecutorError::Rejected(Rejection::Fenced)) => self.handle_fenced(key, now),
            Err(error) => {
                tracing::warn!(request = %task.step.workflow, task = %task, run,
                    worker = %worker.listing.name, %error,
                    "stop request failed; polling worker and repeating the request if needed");
            }
        }
        self.poll_soon(key, now);
    }
}
