//! Tasks that crash their workers.

use std::collections::HashSet;

use super::Engine;
use super::place::Candidate;
use crate::model::{Time, WorkerName};
use crate::workflow::active::StepState;
use crate::workflow::crash::{LostRun, MAX_CRASHES, PROBATION, blamed, max_workers_on_probation};
use crate::workflow::fleet::{ReservedRun, WorkerKey};
use crate::workflow::record::PlacedRun;
use crate::workflow::spec::{StepId, TaskId};

impl Engine {
    /// Blames the crash of a worker process on the runs that it had just started.
    pub(super) fn blame_crash(&mut self, process: &(WorkerName, u64), lost: &[LostRun], now: Time) {
        let (worker, boot) = process;
        for LostRun { task, run, .. } in blamed(lost) {
            let placed = PlacedRun {
                index: task.index,
                run,
                worker: worker.clone(),
                boot: *boot,
            };
            self.add_crash(task.step, placed, now);
        }
    }

    /// Blames the crash of an earlier worker process on a run that has ended with it.
    pub(super) fn blame_suspect(
        &mut self,
        key: WorkerKey,
        task: TaskId,
        reserved: &ReservedRun,
        now: Time,
    ) {
        let worker = self.fleet.get(key);
        if let (Some(worker), Some(boot)) = (worker, reserved.suspected_of) {
            let placed = PlacedRun {
                index: task.index,
                run: reserved.run,
                worker: worker.listing.name.clone(),
                boot,
            };
            self.add_crash(task.step, placed, now);
        }
    }

    /// Counts a crash under a task, and gives the task up after [`MAX_CRASHES`].
    pub(super) fn add_crash(&mut self, step: StepId, run: PlacedRun, now: Time) {
        let Some(active) = self.active.get_mut(&step.workflow) else {
            return;
        };
        if active.is_final() {
            return;
        }
        let Some(state) = active.steps.get_mut(&(step.occurrence, step.step)) else {
            return;
        };
        let task = step.task(run.index);
        if state.progress.is_done(run.index) {
            return;
        }
        let worker = run.worker.clone();
        let number = run.run;
        let Some(crashes) = state.progress.add_crash(run) else {
            return;
        };
        let part = active.parts.part_of_task(task);
        self.commit_queue.mark_changed(step.workflow, part);
        tracing::warn!(request = %step.workflow, %task, run = number, %worker, crashes,
            "worker crashed or fell silent soon after the start of a task; the task may be the cause");
        self.crashed_workers.insert(worker);
        if crashes < MAX_CRASHES {
            return;
        }
        let workers = state.progress.crashes_of(task.index);
        let workers: Vec<&str> = workers.map(|crash| crash.worker.as_str()).collect();
        tracing::warn!(request = %step.workflow, %task, ?workers,
            "workflow failed, workers crashed under a task; stopping all runs");
        active.failed = true;
        self.stop_all_runs(step.workflow, now);
    }

    /// Retracts the crashes of a worker process that responds after all.
    pub(super) fn retract_crashes(&mut self, key: WorkerKey) {
        let Some(worker) = self.fleet.get(key) else {
            return;
        };
        let (name, boot) = worker.process();
        if !self.crashed_workers.remove(&name) {
            return;
        }
        for (id, active) in &mut self.active {
            for (step, state) in &mut active.steps {
                for index in state.progress.remove_crashes(&name, boot) {
                    let part = active.parts.part_of(*step, index);
                    self.commit_queue.mark_changed(*id, part);
                }
            }
        }
    }

    /// Leaves as many candidates as the blamed step may use for runs on probation.
    pub(super) fn restrict_to_probation(
        &self,
        id: StepId,
        state: &StepState,
        candidates: &mut Vec<Candidate>,
    ) {
        let mut settled = 0;
        let mut on_probation = HashSet::new();
        for (index, key, _) in state.placed() {
            let lasted = self.fleet.get(key).and_then(|worker| {
                let reserved = worker.runs.get(&id.task(index))?;
                Some(worker.lasted(reserved))
            });
            if lasted.is_some_and(|lasted| lasted >= PROBATION) {
                settled += 1;
            } else {
                on_probation.insert(key);
            }
        }
        let max = max_workers_on_probation(settled);
        candidates.truncate(max.saturating_sub(on_probation.len()));
    }
}
