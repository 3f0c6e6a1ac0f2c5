//! Polls of workers: the active and ended runs, and the schedule of polls.

use std::collections::HashSet;
use std::time::Duration;

use super::{Effect, Engine};
use crate::model::Time;
use crate::port::executor::{ActiveRun, ExecutorError, PollRequest, PollResponse, Rejection};
use crate::workflow::active::TaskStatus;
use crate::workflow::ended::{Ended, RunList, RunState};
use crate::workflow::fleet::{ReservedRun, UnadoptedRun, Worker, WorkerKey, as_millis};
use crate::workflow::policy::URGENT_PRIORITY;
use crate::workflow::spec::TaskId;

/// How long a poll waits for a run to end: the maximum that workers allow.
const LONG_POLL_WAIT_MS: u32 = 2_000;

/// The interval between a poll response and the next poll while urgent tasks run, so that one poll
/// reports several ended runs.
const URGENT_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The interval between a poll response and the next poll while no urgent tasks run.
const NON_URGENT_POLL_INTERVAL: Duration = Duration::from_millis(600);

/// The poll interval while the state of a run is not confirmed.
const UNCONFIRMED_POLL_INTERVAL: Duration = Duration::from_millis(100);

/// The poll interval of an unresponsive worker.
const FAILED_POLL_INTERVAL: Duration = Duration::from_millis(300);

/// The poll interval of an unresponsive worker without known runs.
const IDLE_FAILED_POLL_INTERVAL: Duration = Duration::from_secs(1);

/// How long after a stop request without a response, or without effect, it is sent again.
const STOP_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// The maximum number of ended runs in one poll response.
const MAX_ENDED_PER_RESPONSE: usize = 500;

impl Engine {
    /// Sends the polls that are due.
    pub(super) fn poll_workers(&mut self, now: Time) {
        for key in self.fleet.keys() {
            let Some(worker) = self.fleet.get(key) else {
                continue;
            };
            let due = worker.next_poll.is_some_and(|due| due <= now);
            let departs = worker
                .departure
                .is_some_and(|departure| departure.is_being_recorded());
            if due && !worker.poll_in_flight && !departs {
                self.poll_worker(key, true, now);
            }
        }
    }

    /// Polls the worker; only if `may_wait`, the poll may wait there for a run to end.
    pub(super) fn poll_worker(&mut self, key: WorkerKey, may_wait: bool, now: Time) {
        let lease_ms = self.cfg.lease_ms;
        let may_act = self.tenure.permits(now);
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let is_settled = |reserved: &ReservedRun| {
            use RunState::{Assigned, Running, Starting};
            matches!(reserved.state, Assigned | Starting | Running(_))
        };
        let may_wait = may_wait
            && worker.knows_fencing_token
            && worker.unknown_runs == 0
            && !worker.is_unresponsive()
            && worker.runs.values().all(is_settled);
        worker.poll_in_flight = true;
        worker.next_poll = None;
        // The leases of an unresponsive worker are left to expire, so that its runs have certainly
        // ended after that. While it is not known which process responds, its clock is not known
        // either.
        let is_certain = !worker.is_unresponsive() && worker.process_unconfirmed_since.is_none();
        let lease_until_ms = if may_act && is_certain {
            worker.grant_lease(lease_ms, now)
        } else {
            None
        };
        let request = PollRequest {
            acknowledged: worker.acknowledged_sequence(),
            lease_until_ms,
            wait_ms: if may_wait { LONG_POLL_WAIT_MS } else { 0 },
        };
        let request = if may_act {
            request
        } else {
            request.read_only()
        };
        if let Some(worker) = self.fleet.get(key) {
            let target = self.target(worker);
            self.effects.push(Effect::Poll {
                worker: key,
                target,
                request,
            });
        }
    }

    /// Schedules a poll of the worker within [`UNCONFIRMED_POLL_INTERVAL`]; it is sent later if
    /// another poll is in flight.
    pub(super) fn poll_soon(&mut self, key: WorkerKey, now: Time) {
        self.schedule_poll(key, now + UNCONFIRMED_POLL_INTERVAL);
    }

    /// Schedules a poll of the worker unless one is in flight.
    pub(super) fn ensure_poll_scheduled(&mut self, key: WorkerKey, now: Time) {
        let Some(worker) = self.fleet.get(key) else {
            return;
        };
        if !worker.poll_in_flight {
            let interval = poll_interval(worker);
            self.schedule_poll(key, now + interval);
        }
    }

    fn schedule_poll(&mut self, key: WorkerKey, due: Time) {
        if let Some(worker) = self.fleet.get_mut(key) {
            let next_poll = worker.next_poll.map_or(due, |planned| planned.min(due));
            worker.next_poll = Some(next_poll);
        }
    }

    /// Handles the response to a poll that was sent at `sent_at`.
    pub fn handle_poll_response(
        &mut self,
        key: WorkerKey,
        sent_at: Time,
        response: Result<PollResponse, ExecutorError>,
        now: Time,
    ) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        if worker.last_poll > sent_at && response.is_err() {
            // A later poll has succeeded.
            return;
        }
        worker.poll_in_flight = false;
        match response {
            Ok(response) => self.apply_poll_response(key, sent_at, &response, now),
            Err(ExecutorError::Rejected(Rejection::Fenced)) => {
                self.handle_fenced(key, now);
                self.schedule_poll(key, now + FAILED_POLL_INTERVAL);
            }
            Err(error) => {
                worker.set_aside(now);
                if worker.listed {
                    tracing::warn!(worker = %worker.listing.name, %error,
                        "poll of worker failed; setting it aside and polling it again");
                }
                let has_runs = !worker.runs.is_empty();
                let interval = if has_runs {
                    FAILED_POLL_INTERVAL
                } else {
                    IDLE_FAILED_POLL_INTERVAL
                };
                self.schedule_poll(key, now + interval);
            }
        }
        self.acknowledge_if_unchanged();
    }

    fn apply_poll_response(
        &mut self,
        key: WorkerKey,
        sent_at: Time,
        response: &PollResponse,
        now: Time,
    ) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        // The start time of a process may be earlier than that of its predecessor, if the wall clock was
        // set back; but no predecessor answers a poll that was sent after a response of the process.
        let is_of_predecessor = !worker.process_confirmed || sent_at <= worker.last_response();
        if response.boot < worker.listing.boot && is_of_predecessor {
            self.schedule_poll(key, now + FAILED_POLL_INTERVAL);
            return;
        }
        if response.boot != worker.listing.boot {
            self.worker_restarted(key, sent_at, response, now);
        }
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        worker.process_confirmed = true;
        worker.first_listed_end = response.ended.first().map(|ended| ended.sequence);
        worker.list_complete = run_list(response, sent_at).is_complete;
        worker.update_clock(response.clock_ms, now);
        // The response names its process, which confirms the process unless an indication of
        // another one is newer than the poll.
        worker.process_unconfirmed_since =
            worker.process_unconfirmed_since.filter(|at| *at > sent_at);
        let was_unresponsive = worker.is_unresponsive();
        worker.record_response(now);
        worker.last_poll = sent_at;
        let processed = worker.processed_sequence;
        for ended in response
            .ended
            .iter()
            .filter(|ended| ended.sequence > processed)
        {
            self.handle_ended_run(key, ended, now);
            if let Some(worker) = self.fleet.get_mut(key) {
                worker.processed_sequence = worker.processed_sequence.max(ended.sequence);
            }
        }
        self.reconcile_runs(key, sent_at, response, now);
        if let Some(worker) = self.fleet.get_mut(key)
            && !worker.knows_fencing_token
        {
            worker.knows_fencing_token = true;
            self.placement_due = true;
        }
        self.retract_crashes(key);
        self.worker_recovered(key, &run_list(response, sent_at), now);
        self.schedule_next_poll(key, now);
        if was_unresponsive {
            // The poll that reached the worker carried no lease, so that the next one is due at
            // once.
            self.schedule_poll(key, now);
        }
    }

    /// Compares the active runs on the worker with the reserved ones: confirms or adopts those that
    /// may go on and stops the others.
    fn reconcile_runs(
        &mut self,
        key: WorkerKey,
        sent_at: Time,
        response: &PollResponse,
        now: Time,
    ) {
        let mut listed = HashSet::new();
        let mut unknown = 0;
        let mut unadopted = Vec::new();
        for active_run in &response.running {
            let Some(task) = active_run.task else {
                unknown += 1;
                continue;
            };
            listed.insert((task, active_run.run));
            self.mark_started(task.step.workflow);
            if !self.confirm_run(key, task, active_run, now)
                && !self.adopt_run(key, task, active_run, now)
            {
                unknown += 1;
                unadopted.extend(self.unadopted_run(task, active_run.run));
                self.send_stop(key, task, active_run.run, now);
            }
        }
        if let Some(worker) = self.fleet.get_mut(key) {
            worker.unknown_runs = unknown;
            worker.unadopted = unadopted;
        }
        self.handle_missing_runs(key, &run_list(response, sent_at), &listed, now);
    }

    /// Confirms a reserved run as active; false if no capacity is reserved for it.
    fn confirm_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        active_run: &ActiveRun,
        now: Time,
    ) -> bool {
        let Some(worker) = self.fleet.get_mut(key) else {
            return false;
        };
        let reserved = worker.runs.get_mut(&task);
        let Some(reserved) = reserved.filter(|reserved| reserved.run == active_run.run) else {
            return false;
        };
        reserved.process = Some(worker.listing.boot);
        reserved.suspected_of = None;
        match reserved.state {
            RunState::Assigned | RunState::Starting | RunState::OutcomeUnknown(_) => {
                reserved.state = RunState::Running(now);
            }
            RunState::Running(_) => {}
            RunState::Stopping { sent_at, .. } if now.since(sent_at) >= STOP_RETRY_INTERVAL => {
                reserved.state = RunState::Stopping {
                    sent_at: now,
                    response_at: None,
                };
                self.send_stop(key, task, active_run.run, now);
            }
            RunState::Stopping { .. } => {}
        }
        self.store_checkpoint(task, active_run.checkpoint.clone());
        true
    }

    /// A run of an active workflow that is neither confirmed nor adopted.
    fn unadopted_run(&self, task: TaskId, run: u32) -> Option<UnadoptedRun> {
        let active = self.active.get(&task.step.workflow)?;
        let spec = active.spec.steps.get(task.step.step as usize)?;
        Some(UnadoptedRun {
            task,
            run,
            need: spec.need,
            account: active.account,
        })
    }

    /// Adopts a run that an earlier owner started; false if its task does not wait for a run.
    fn adopt_run(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        active_run: &ActiveRun,
        now: Time,
    ) -> bool {
        let Some(active) = self.active.get_mut(&task.step.workflow) else {
            return false;
        };
        if active.is_final() {
            return false;
        }
        let Some(spec) = active.spec.steps.get(task.step.step as usize).cloned() else {
            return false;
        };
        let (priority, account) = (active.policy.priority, active.account);
        let Some(state) = active
            .steps
            .get_mut(&(task.step.occurrence, task.step.step))
        else {
            return false;
        };
        let Some(task_state) = state.tasks.get_mut(task.index as usize) else {
            return false;
        };
        if task_state.status != TaskStatus::Waiting {
            return false;
        }
        task_state.status = TaskStatus::Placed(key, active_run.run);
        task_state.unverified = None;
        task_state.checkpoint.clone_from(&active_run.checkpoint);
        state.last_run = state.last_run.max(active_run.run);
        let reserved = ReservedRun {
            run: active_run.run,
            reserved: spec.reserved(),
            need: spec.need,
            account,
            state: RunState::Running(now),
            process: self.fleet.get(key).map(|worker| worker.listing.boot),
            suspected_of: None,
            priority,
            estimate_ms: 0,
            expected_ms: 0,
            is_overdue: false,
            is_long_running: spec.long_running,
            started_at: now,
        };
        if let Some(worker) = self.fleet.get_mut(key) {
            worker.reserve(task, reserved);
        }
        tracing::info!(
            request = %task.step.workflow,
            task = %task,
            run = active_run.run,
            worker = self.worker_name(key),
            "adopted a run that an earlier owner started; it continues on its worker"
        );
        true
    }

    /// Handles the reserved runs that are not `listed` as active by the worker.
    fn handle_missing_runs(
        &mut self,
        key: WorkerKey,
        list: &RunList,
        listed: &HashSet<(TaskId, u32)>,
        now: Time,
    ) {
        let Some(worker) = self.fleet.get(key) else {
            return;
        };
        let missing = worker.runs.iter();
        let missing = missing.filter(|(task, reserved)| !listed.contains(&(**task, reserved.run)));
        let missing: Vec<(TaskId, ReservedRun)> =
            missing.map(|(task, reserved)| (*task, *reserved)).collect();
        for (task, reserved) in missing {
            match (reserved.state, Ended::by_list(&reserved.known(), list)) {
                // The placement is being committed.
                (RunState::Assigned, _) => {}
                (state, Some(proof)) => {
                    if matches!(state, RunState::Running(_)) {
                        tracing::warn!(
                            request = %task.step.workflow,
                            task = %task,
                            run = reserved.run,
                            worker = self.worker_name(key),
                            boot = list.process,
                            poll_age_ms = as_millis(now.since(list.polled_at)),
                            token = self.fencing_token,
                            "run is missing on its worker without a reported end; requeuing its task"
                        );
                    }
                    self.blame_suspect(key, task, &reserved, now);
                    self.release_and_requeue(key, task, now, proof);
                }
                (RunState::OutcomeUnknown(since), None) if since < list.polled_at => {
                    self.stop_run(key, task, reserved.run, now);
                }
                (
                    RunState::Stopping {
                        sent_at,
                        response_at: None,
                    },
                    None,
                ) if now.since(sent_at) >= STOP_RETRY_INTERVAL => {
                    self.resend_stop(key, task, reserved.run, now);
                }
                (_, None) if reserved.known().can_no_longer_start(list) => {
                    // Its end is in the rest of the list.
                    self.set_process(key, task, list.process);
                }
                (_, None) => {}
            }
        }
    }

    fn set_process(&mut self, key: WorkerKey, task: TaskId, process: u64) {
        let worker = self.fleet.get_mut(key);
        if let Some(reserved) = worker.and_then(|worker| worker.runs.get_mut(&task)) {
            reserved.process = Some(process);
        }
    }

    fn resend_stop(&mut self, key: WorkerKey, task: TaskId, run: u32, now: Time) {
        if let Some(worker) = self.fleet.get_mut(key)
            && let Some(reserved) = worker.runs.get_mut(&task)
        {
            reserved.state = RunState::Stopping {
                sent_at: now,
                response_at: None,
            };
        }
        self.send_stop(key, task, run, now);
    }

    fn schedule_next_poll(&mut self, key: WorkerKey, now: Time) {
        let Some(worker) = self.fleet.get(key) else {
            return;
        };
        let has_unacknowledged = worker.processed_sequence > worker.committed_sequence;
        let identified_at = worker.identifiable_at();
        if !worker.runs.is_empty() || worker.unknown_runs > 0 || has_unacknowledged {
            let interval = poll_interval(worker);
            self.schedule_poll(key, now + interval);
        } else if let Some(at) = identified_at {
            self.schedule_poll(key, at);
        }
    }
}

/// The list of runs in the response to a poll that was sent at `sent_at`.
pub(super) fn run_list(response: &PollResponse, sent_at: Time) -> RunList {
    RunList {
        process: response.boot,
        polled_at: sent_at,
        // A full list may lack a run that has ended.
        is_complete: response.ended.len() < MAX_ENDED_PER_RESPONSE,
    }
}

/// The interval until the next poll of a worker, during which ended runs accumulate on it.
fn poll_interval(worker: &Worker) -> Duration {
    let is_unconfirmed = |reserved: &ReservedRun| {
        matches!(
            reserved.state,
            RunState::OutcomeUnknown(_) | RunState::Stopping { .. }
        )
    };
    if worker.unknown_runs > 0 || worker.runs.values().any(is_unconfirmed) {
        return UNCONFIRMED_POLL_INTERVAL;
    }
    let has_urgent_run = worker
        .runs
        .values()
        .any(|reserved| reserved.priority == URGENT_PRIORITY);
    if has_urgent_run {
        URGENT_POLL_INTERVAL
    } else {
        NON_URGENT_POLL_INTERVAL
    }
}
