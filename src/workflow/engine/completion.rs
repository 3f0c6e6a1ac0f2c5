//! The ends of runs, tasks, steps and workflows.

use std::time::Duration;

use super::Engine;
use crate::model::Time;
use crate::port::executor::{EndedRun, RunEnd};
use crate::workflow::active::TaskStatus;
use crate::workflow::ended::Ended;
use crate::workflow::fleet::{ReservedRun, Worker, WorkerKey};
use crate::workflow::run_end::{EndAction, Standing, StepKind, action, counts_as_failure};
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
        self.mark_started(task.step.workflow);
        let reserved = self.release_run(worker, task, ended.run);
        self.update_worker_stats(worker, ended.end, reserved, now);
        if let Some(reserved) = reserved.filter(|_| ended.end == RunEnd::Done) {
            self.learn_run_time(worker, task, &reserved, now);
        }
        tracing::info!(
            request = %task.step.workflow,
            task = %task,
            run = ended.run,
            worker = self.worker_name(worker),
            end = ?ended.end,
            held = reserved.is_some(),
            "run ended"
        );
        self.apply_end(worker, task, ended, now);
        self.placement_due = true;
    }

    /// Changes the state of the task as the end of its run requires.
    fn apply_end(&mut self, worker: WorkerKey, task: TaskId, ended: &EndedRun, now: Time) {
        let Some((kind, standing)) = self.standing(worker, task, ended.run) else {
            return;
        };
        if counts_as_failure(kind, ended.end, standing) && self.add_failure(task, ended.run, now) {
            return;
        }
        // A long-running task that is done starts from the beginning.
        let checkpoint = ended.checkpoint.clone();
        let checkpoint = checkpoint.filter(|_| ended.end != RunEnd::Done);
        match action(kind, ended.end, standing) {
            EndAction::Complete => self.complete_task(task, ended.run, now),
            EndAction::Requeue => {
                self.requeue_task(task, checkpoint, now + RETRY_DELAY, Ended::reported());
            }
            EndAction::KeepCheckpoint => self.store_checkpoint(task, checkpoint),
            EndAction::Ignore => {}
        }
    }

    /// How the run on `worker` relates to its task, with the kind of its step. The members of a gang
    /// are stopped and requeued one by one, so that an end without success concerns the member alone.
    fn standing(&self, worker: WorkerKey, task: TaskId, run: u32) -> Option<(StepKind, Standing)> {
        let active = self.active.get(&task.step.workflow)?;
        let spec = active.spec.steps.get(task.step.step as usize)?;
        let key = (task.step.occurrence, task.step.step);
        let status = active
            .steps
            .get(&key)?
            .tasks
            .get(task.index as usize)?
            .status;
        let standing = match status {
            TaskStatus::Done => Standing::Done,
            TaskStatus::Waiting => Standing::Waiting,
            TaskStatus::Placed(at, current) if (at, current) == (worker, run) => Standing::Current,
            TaskStatus::Placed(..) => Standing::Superseded,
        };
        let kind = match (spec.long_running, spec.gang) {
            (true, _) => StepKind::Lasting,
            (false, true) => StepKind::Gang,
            (false, false) => StepKind::Ordinary,
        };
        Some((kind, standing))
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

    /// Records the run time of a task that is done. One that resumed from a checkpoint says nothing
    /// about the others.
    fn learn_run_time(&mut self, key: WorkerKey, task: TaskId, run: &ReservedRun, now: Time) {
        let Some(active) = self.active.get(&task.step.workflow) else {
            return;
        };
        let Some(spec) = active.spec.steps.get(task.step.step as usize) else {
            return;
        };
        let state = active.steps.get(&(task.step.occurrence, task.step.step));
        let state = state.and_then(|state| state.tasks.get(task.index as usize));
        let is_whole = state.is_some_and(|state| state.checkpoint.is_none());
        let speed = self.fleet.get(key).map(Worker::speed);
        if let Some(speed) = speed
            && is_whole
            && !spec.long_running
        {
            let duration = now.since(run.started_at);
            let queue = &active.policy.name;
            self.run_times
                .record(queue, run.estimate_ms, duration, speed, spec.tasks);
        }
    }

    /// Marks the task, or all tasks of its gang, as done after `run` is, and stops their other runs.
    fn complete_task(&mut self, task: TaskId, run: u32, now: Time) {
        let id = task.step.workflow;
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let Some(spec) = active.spec.steps.get(task.step.step as usize).cloned() else {
            return;
        };
        let key = (task.step.occurrence, task.step.step);
        let Some(state) = active.steps.get_mut(&key) else {
            return;
        };
        let placed = state.placed();
        let done = if spec.gang {
            0..spec.tasks
        } else {
            task.index..task.index + 1
        };
        let changed: Vec<u32> = done.filter(|index| state.set_done(*index)).collect();
        let is_step_done = state.remaining == 0;
        for (index, worker, other) in placed {
            // The members of one run of a gang end together.
            if changed.contains(&index) && !(spec.gang && other == run) {
                self.stop_run(worker, task.step.task(index), other, now);
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

    /// Counts a failure of the task; true if the workflow has failed with it.
    fn add_failure(&mut self, task: TaskId, run: u32, now: Time) -> bool {
        let id = task.step.workflow;
        let Some(active) = self.active.get_mut(&id) else {
            return false;
        };
        let spec = active.spec.steps.get(task.step.step as usize);
        let is_gang = spec.is_some_and(|spec| spec.gang);
        let max_failures = active.max_failures();
        let key = (task.step.occurrence, task.step.step);
        let Some(state) = active.steps.get_mut(&key) else {
            return false;
        };
        // A gang fails as a whole, so that its failures are counted for its first member.
        let counted = if is_gang { 0 } else { task.index };
        let Some(failures) = state.progress.add_failure(counted, run) else {
            return false;
        };
        let part = active.parts.part_of(key, counted);
        self.commit_queue.mark_changed(id, part);
        if failures < max_failures {
            return false;
        }
        tracing::info!(request = %id, task = %task, failures,
            "workflow failed, a task reached its failure limit; stopping all runs");
        active.failed = true;
        self.stop_all_runs(id, now);
        true
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

    /// Makes a task wait again whose run has ended. If it belongs to a gang, the other members are
    /// stopped.
    pub(super) fn requeue_task(
        &mut self,
        task: TaskId,
        checkpoint: Option<String>,
        not_before: Time,
        proof: Ended,
    ) {
        tracing::debug!(request = %task.step.workflow, task = %task, evidence = %proof.evidence(),
            "the run of a task has ended; the task waits");
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
