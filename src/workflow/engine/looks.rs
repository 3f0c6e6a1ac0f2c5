//! Looks at workers: what runs, what has ended, and when to look next.

use std::collections::HashSet;
use std::time::Duration;

use super::{Effect, Engine};
use crate::model::Time;
use crate::port::executor::{ActiveRun, ExecutorError, PollRequest, PollResponse, Rejection};
use crate::workflow::active::Place;
use crate::workflow::fleet::{HeldRun, RunState, Worker, WorkerKey};
use crate::workflow::spec::TaskId;

/// How long a look waits for an end: the most that workers allow.
const WAIT_MS: u32 = 2_000;

/// Between an answered look and the next while urgent tasks run, so that several ends share one.
const URGENT_GAP: Duration = Duration::from_millis(250);

/// Between an answered look and the next while only patient tasks run.
const PATIENT_GAP: Duration = Duration::from_millis(600);

/// Until the next look where the state of a run is open.
const UNCLEAR_GAP: Duration = Duration::from_millis(100);

/// Until the next look at a worker that did not answer.
const FAILED_GAP: Duration = Duration::from_millis(300);

/// Until the next look at a worker that no longer answers anything, nor runs anything known.
const IDLE_FAILED_GAP: Duration = Duration::from_secs(1);

/// A stop without an answer is sent again after so long.
const STOP_AGAIN: Duration = Duration::from_millis(500);

/// The most ends that a worker lists at once.
const ENDS_PER_PAGE: usize = 500;

/// The priority of work for which someone waits.
const URGENT: u8 = 0;

impl Engine {
    /// Sends the looks that are due.
    pub(super) fn look_at_workers(&mut self, now: Time) {
        for key in self.fleet.keys() {
            let Some(worker) = self.fleet.get(key) else {
                continue;
            };
            let due = worker.next_look.is_some_and(|due| due <= now);
            if due && !worker.looking {
                self.look(key, now);
            }
        }
    }

    fn look(&mut self, key: WorkerKey, now: Time) {
        let lease_ms = self.cfg.lease_ms;
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let settled = |held: &HeldRun| {
            use RunState::{Assigned, Running, Starting};
            matches!(held.state, Assigned | Starting | Running(_))
        };
        let may_wait = worker.introduced
            && worker.unknown_runs == 0
            && !worker.is_failing()
            && worker.runs.values().all(settled);
        worker.looking = true;
        worker.next_look = None;
        // While a worker is silent its leases are left to run out, so that it becomes certain that
        // its tasks have ended.
        // The clock of a process that is not known yet is not known either.
        let lease_until_ms = if worker.is_failing() || worker.doubted_at.is_some() {
            None
        } else {
            worker.lease_until(lease_ms, now)
        };
        let request = PollRequest {
            acknowledged: worker.may_forget(),
            lease_until_ms,
            wait_ms: if may_wait { WAIT_MS } else { 0 },
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

    /// Looks at the worker at once, or as soon as the look under way has ended.
    pub(super) fn look_soon(&mut self, key: WorkerKey, now: Time) {
        self.look_by(key, now + UNCLEAR_GAP);
    }

    /// Makes sure that a look follows while something runs on the worker.
    pub(super) fn plan_look(&mut self, key: WorkerKey, now: Time) {
        let Some(worker) = self.fleet.get(key) else {
            return;
        };
        if worker.next_look.is_none() && !worker.looking {
            let gap = look_gap(worker);
            self.look_by(key, now + gap);
        }
    }

    fn look_by(&mut self, key: WorkerKey, due: Time) {
        if let Some(worker) = self.fleet.get_mut(key) {
            let planned = worker.next_look.map_or(due, |planned| planned.min(due));
            worker.next_look = Some(planned);
        }
    }

    /// Takes the answer to a look that was sent at `sent`.
    pub fn handle_poll_response(
        &mut self,
        key: WorkerKey,
        sent: Time,
        answer: Result<PollResponse, ExecutorError>,
        now: Time,
    ) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        if worker.last_look > sent && answer.is_err() {
            // A later look was answered.
            return;
        }
        worker.looking = false;
        match answer {
            Ok(report) => self.take_report(key, sent, &report, now),
            Err(ExecutorError::Rejected(Rejection::Fenced)) => self.fenced = true,
            Err(error) => {
                worker.suspend(now);
                if worker.listed {
                    tracing::warn!(worker = %worker.listing.name, %error, "a look has no result");
                }
                let needed = !worker.runs.is_empty();
                let gap = if needed { FAILED_GAP } else { IDLE_FAILED_GAP };
                self.look_by(key, now + gap);
            }
        }
        self.mark_unchanged();
    }

    fn take_report(&mut self, key: WorkerKey, sent: Time, report: &PollResponse, now: Time) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        if report.boot < worker.listing.boot {
            self.look_by(key, now + FAILED_GAP);
            return;
        }
        if report.boot > worker.listing.boot {
            self.worker_reborn(key, report.boot, now);
        }
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        worker.read_clock(report.clock_ms, now);
        // The report tells its process, so it settles a doubt from before its look was sent.
        worker.doubted_at = worker.doubted_at.filter(|at| *at > sent);
        let was_silent = worker.is_failing();
        worker.answered();
        worker.last_look = sent;
        let seen = worker.seen_end;
        for ended in report.ended.iter().filter(|ended| ended.sequence > seen) {
            self.task_ended(key, ended, now);
            if let Some(worker) = self.fleet.get_mut(key) {
                worker.seen_end = worker.seen_end.max(ended.sequence);
            }
        }
        self.compare_running(key, sent, report, now);
        if let Some(worker) = self.fleet.get_mut(key)
            && !worker.introduced
        {
            worker.introduced = true;
            self.place_due = true;
        }
        self.recovered(key);
        self.plan_after_report(key, now);
        if was_silent {
            // The look that found it carried no lease.
            self.look_by(key, now);
        }
    }

    /// Compares what the worker runs with what it should run.
    fn compare_running(&mut self, key: WorkerKey, sent: Time, report: &PollResponse, now: Time) {
        let mut listed = HashSet::new();
        let mut unknown = 0;
        for running in &report.running {
            let Some(task) = running.task else {
                unknown += 1;
                continue;
            };
            listed.insert((task, running.run));
            if !self.confirm(key, task, running, now) && !self.adopt(key, task, running, now) {
                unknown += 1;
                self.send_stop(key, task, running.run, now);
            }
        }
        if let Some(worker) = self.fleet.get_mut(key) {
            worker.unknown_runs = unknown;
        }
        // A full page of ends may hide the end of a run that is no longer listed.
        if report.ended.len() < ENDS_PER_PAGE {
            self.find_missing(key, sent, &listed, now);
        }
    }

    /// Notes that a run that was started runs; false where none is held.
    fn confirm(&mut self, key: WorkerKey, task: TaskId, running: &ActiveRun, now: Time) -> bool {
        let Some(worker) = self.fleet.get_mut(key) else {
            return false;
        };
        let held = worker.runs.get_mut(&task);
        let Some(held) = held.filter(|held| held.run == running.run) else {
            return false;
        };
        match held.state {
            RunState::Assigned | RunState::Starting | RunState::Unclear(_) => {
                held.state = RunState::Running(now);
            }
            RunState::Running(_) => {}
            RunState::Stopping { sent, .. } if now.since(sent) >= STOP_AGAIN => {
                held.state = RunState::Stopping {
                    sent: now,
                    answered: None,
                };
                self.send_stop(key, task, running.run, now);
            }
            RunState::Stopping { .. } => {}
        }
        self.keep_checkpoint(task, running.checkpoint.clone());
        true
    }

    /// Takes over a run that an earlier owner started; false where its task is not to run there.
    fn adopt(&mut self, key: WorkerKey, task: TaskId, running: &ActiveRun, now: Time) -> bool {
        let Some(active) = self.active.get_mut(&task.step.workflow) else {
            return false;
        };
        if active.is_over() {
            return false;
        }
        let Some(spec) = active.spec.steps.get(task.step.step as usize).cloned() else {
            return false;
        };
        let priority = active.policy.priority;
        let Some(step) = active
            .steps
            .get_mut(&(task.step.occurrence, task.step.step))
        else {
            return false;
        };
        let Some(known) = step.tasks.get_mut(task.index as usize) else {
            return false;
        };
        if known.place != Place::Waiting {
            return false;
        }
        known.place = Place::On(key, running.run);
        known.suspect = None;
        known.checkpoint.clone_from(&running.checkpoint);
        step.last_run = step.last_run.max(running.run);
        active.started = true;
        let held = HeldRun {
            run: running.run,
            reserved: spec.reserved(),
            state: RunState::Running(now),
            priority,
            estimate_ms: 0,
            started: now,
        };
        if let Some(worker) = self.fleet.get_mut(key) {
            worker.hold(task, held);
        }
        tracing::info!(
            request = %task.step.workflow,
            task = %task,
            run = running.run,
            worker = self.worker_name(key),
            "a run of an earlier owner goes on"
        );
        true
    }

    /// Finds runs that should be there and are not.
    fn find_missing(
        &mut self,
        key: WorkerKey,
        sent: Time,
        listed: &HashSet<(TaskId, u32)>,
        now: Time,
    ) {
        let Some(worker) = self.fleet.get(key) else {
            return;
        };
        let missing = worker.runs.iter();
        let missing = missing.filter(|(task, held)| !listed.contains(&(**task, held.run)));
        let missing: Vec<(TaskId, HeldRun)> = missing.map(|(task, held)| (*task, *held)).collect();
        for (task, held) in missing {
            match held.state {
                // The look may have overtaken the start.
                RunState::Assigned | RunState::Starting => {}
                RunState::Running(since) if since >= sent => {}
                RunState::Unclear(since) if since >= sent => {}
                RunState::Unclear(_) => self.stop_run(key, task, held.run, now),
                RunState::Stopping { answered, .. }
                    if answered.is_some_and(|answered| answered < sent) =>
                {
                    self.withdraw(key, task, now);
                }
                RunState::Stopping {
                    sent: asked,
                    answered: None,
                } if now.since(asked) >= STOP_AGAIN => {
                    self.stop_again(key, task, held.run, now);
                }
                RunState::Stopping { .. } => {}
                RunState::Running(_) => {
                    tracing::warn!(
                        request = %task.step.workflow,
                        task = %task,
                        run = held.run,
                        worker = self.worker_name(key),
                        "a run is gone without an end"
                    );
                    self.withdraw(key, task, now);
                }
            }
        }
    }

    fn stop_again(&mut self, key: WorkerKey, task: TaskId, run: u32, now: Time) {
        if let Some(worker) = self.fleet.get_mut(key)
            && let Some(held) = worker.runs.get_mut(&task)
        {
            held.state = RunState::Stopping {
                sent: now,
                answered: None,
            };
        }
        self.send_stop(key, task, run, now);
    }

    fn plan_after_report(&mut self, key: WorkerKey, now: Time) {
        let Some(worker) = self.fleet.get(key) else {
            return;
        };
        let has_ends = worker.seen_end > worker.recorded_end;

        if !worker.runs.is_empty() || worker.unknown_runs > 0 || has_ends {
            let gap = look_gap(worker);
            self.look_by(key, now + gap);
        }
    }
}

/// How long the ends on a worker may gather before the next look.
fn look_gap(worker: &Worker) -> Duration {
    let open =
        |held: &HeldRun| matches!(held.state, RunState::Unclear(_) | RunState::Stopping { .. });
    if worker.unknown_runs > 0 || worker.runs.values().any(open) {
        return UNCLEAR_GAP;
    }
    let urgent = worker.runs.values().any(|held| held.priority == URGENT);
    if urgent { URGENT_GAP } else { PATIENT_GAP }
}
