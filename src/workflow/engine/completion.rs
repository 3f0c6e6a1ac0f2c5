//! The ends of runs, tasks, steps and workflows.

use std::time::Duration;

use super::Engine;
use crate::model::Time;
use crate::port::executor::{EndedRun, RunEnd};
use crate::workflow::active::TaskStatus;
use crate::workflow::fleet::{ReservedRun, WorkerKey};
use crate::workflow::spec::{StepId, TaskId, WorkflowId};

/// The delay before a task starts again after a run ended without success, so that a task that
/// fails immediately does not reach its failure limit during a short disturbance of its worker.
const RETRY_DELAY: Duration = Duration::from_millis(200);

impl Engine {
    /// Handles an ended run that a worker reports.
    pub(super) fn handle_ended_run(&mut self, worker: WorkerKey, ended: &EndedRun, now: Time) {
        let Some(task) = ended.task else {
            tracing::warn!(
                number = ended.sequence,
                "worker reported an ended run with an unknown task id; ignoring it"
            );
            return;
        };
        let reserved = self.release_run(worker, task, ended.run);
        self.update_worker_stats(worker, ended.end, reserved, now);
        tracing::info!(
            request = %task.step.workflow,
            task = %task,
            run = ended.run,
            worker = self.worker_name(worker),
            end = ?ended.end,
            held = reserved.is_some(),
            "run ended"
        );
        match ended.end {
            RunEnd::Done => self.complete_task(task, now),
            RunEnd::Failed => self.handle_failed_run(task, worker, ended, now),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                self.handle_interrupted_run(task, worker, ended, now);
            }
        }
        self.placement_due = true;
    }

    fn release_run(&mut self, worker: WorkerKey, task: TaskId, run: u32) -> Option<ReservedRun> {
        let worker = self.fleet.get_mut(worker)?;
        let reserved = worker
            .runs
            .get(&task)
            .filter(|reserved| reserved.run == run)?;
        let reserved = *reserved;
        worker.release(task);
        Some(reserved)
    }

    fn update_worker_stats(
        &mut self,
        key: WorkerKey,
        end: RunEnd,
        reserved: Option<ReservedRun>,
        now: Time,
    ) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        match (end, reserved) {
            (RunEnd::Done, Some(reserved)) => {
                worker.record_success(now.since(reserved.started_at), reserved.estimate_ms);
            }
            (RunEnd::Failed, Some(_)) => worker.record_failure(now),
            _ => {}
        }
    }

    fn complete_task(&mut self, task: TaskId, now: Time) {
        let id = task.step.workflow;
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let (occurrence, step) = (task.step.occurrence, task.step.step);
        let Some(spec) = active.spec.steps.get(step as usize).cloned() else {
            return;
        };
        active.started = true;
        let Some(state) = active.steps.get_mut(&(occurrence, step)) else {
            return;
        };
        if spec.long_running {
            self.requeue_task(task, None, now + RETRY_DELAY);
            return;
        }
        let placed = state.placed();
        // A gang is done as soon as one member is done.
        let done = if spec.gang {
            0..spec.tasks
        } else {
            task.index..task.index + 1
        };
        let changed: Vec<u32> = done.filter(|index| state.set_done(*index)).collect();
        if changed.is_empty() {
            return;
        }
        let is_step_done = state.remaining == 0;
        if !spec.gang {
            // Another run of the task may have started since the worker last responded; it is not
            // needed.
            for (index, worker, run) in placed {
                if index == task.index {
                    self.stop_run(worker, task, run, now);
                }
            }
        }
        for index in changed {
            self.mark_progress(task.step, index);
        }
        if is_step_done {
            self.complete_step(task.step);
        }
    }

    fn complete_step(&mut self, step: StepId) {
        if let Some(key) = self.ready_key(step) {
            self.ready.remove(&key);
        }
        self.enqueue_steps(step.workflow);
    }

    fn handle_failed_run(&mut self, task: TaskId, worker: WorkerKey, ended: &EndedRun, now: Time) {
        let id = task.step.workflow;
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let Some(spec) = active.spec.steps.get(task.step.step as usize).cloned() else {
            return;
        };
        let max_failures = active.max_failures();
        let key = (task.step.occurrence, task.step.step);
        if let Some(state) = active.steps.get_mut(&key)
            && !state.progress.is_done(task.index)
            && !spec.long_running
        {
            // A gang fails as a whole, so that its failures are counted for its first member.
            let counted = if spec.gang { 0 } else { task.index };
            let failures = state.progress.add_failure(counted, ended.run);
            if failures.is_some() {
                let part = active.parts.part_of(key, counted);
                self.commit_queue.mark_changed(id, part);
            }
            if failures.is_some_and(|failures| failures >= max_failures) {
                tracing::info!(request = %id, task = %task, failures,
                    "workflow failed, a task reached its failure limit; stopping all runs");
                active.failed = true;
                self.stop_all_runs(id, now);
                return;
            }
        }
        self.handle_interrupted_run(task, worker, ended, now);
    }

    /// Handles a run that ended without a result: its task waits again.
    fn handle_interrupted_run(
        &mut self,
        task: TaskId,
        worker: WorkerKey,
        ended: &EndedRun,
        now: Time,
    ) {
        let current = self.task_status(task);
        if current == Some(TaskStatus::Placed(worker, ended.run)) {
            self.requeue_task(task, ended.checkpoint.clone(), now + RETRY_DELAY);
        } else if current == Some(TaskStatus::Waiting) {
            self.store_checkpoint(task, ended.checkpoint.clone());
        }
    }

    pub(super) fn task_status(&self, task: TaskId) -> Option<TaskStatus> {
        let active = self.active.get(&task.step.workflow)?;
        let state = active.steps.get(&(task.step.occurrence, task.step.step))?;
        state.tasks.get(task.index as usize).map(|task| task.status)
    }

    pub(super) fn store_checkpoint(&mut self, task: TaskId, checkpoint: Option<String>) {
        let state = self.step_mut(task.step);
        if let Some(task_state) = state.and_then(|state| state.task_mut(task.index))
            && checkpoint.is_some()
        {
            task_state.checkpoint = checkpoint;
        }
    }

    /// Makes a task wait again. If it belongs to a gang, the other members are stopped.
    pub(super) fn requeue_task(
        &mut self,
        task: TaskId,
        checkpoint: Option<String>,
        not_before: Time,
    ) {
        self.store_checkpoint(task, checkpoint);
        let Some(active) = self.active.get_mut(&task.step.workflow) else {
            return;
        };
        let spec = active.spec.steps.get(task.step.step as usize);
        let is_gang = spec.is_some_and(|spec| spec.gang);
        let Some(state) = active
            .steps
            .get_mut(&(task.step.occurrence, task.step.step))
        else {
            return;
        };
        if let Some(task_state) = state.task_mut(task.index) {
            task_state.status = TaskStatus::Waiting;
            task_state.not_before = not_before;
        }
        let others = if is_gang { state.placed() } else { Vec::new() };
        for (index, worker, run) in others {
            self.stop_run(worker, task.step.task(index), run, not_before);
        }
        self.enqueue_step(task.step);
    }

    /// Stops all runs of a workflow that has failed or was cancelled.
    pub(super) fn stop_all_runs(&mut self, id: WorkflowId, now: Time) {
        self.dequeue_steps(id);
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let mut placed = Vec::new();
        for ((occurrence, step), state) in &active.steps {
            let step = StepId {
                workflow: id,
                occurrence: *occurrence,
                step: *step,
            };
            let runs = state.placed().into_iter();
            placed.extend(runs.map(|(index, worker, run)| (step.task(index), worker, run)));
        }
        for (task, worker, run) in placed {
            self.stop_run(worker, task, run, now);
        }
    }

    pub(super) fn worker_name(&self, worker: WorkerKey) -> &str {
        let worker = self.fleet.get(worker);
        worker.map_or("gone", |worker| worker.listing.name.as_str())
    }
}
