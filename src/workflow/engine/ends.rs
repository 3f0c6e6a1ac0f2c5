//! How tasks, steps and workflows end.

use std::time::Duration;

use super::Engine;
use crate::model::Time;
use crate::port::executor::{EndedRun, RunEnd};
use crate::workflow::active::Place;
use crate::workflow::fleet::{HeldRun, WorkerKey};
use crate::workflow::spec::{StepId, TaskId, WorkflowId};

/// How long a task that failed waits before it starts again, so that one that fails at once does
/// not use up its attempts within one disturbance of its worker.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

impl Engine {
    /// Takes note of an end that a worker lists.
    pub(super) fn task_ended(&mut self, worker: WorkerKey, ended: &EndedRun, now: Time) {
        let Some(task) = ended.task else {
            tracing::warn!(
                number = ended.sequence,
                "a worker lists the end of an unknown task"
            );
            return;
        };
        let held = self.release_run(worker, task, ended.run);
        self.rate_worker(worker, ended.end, held, now);
        tracing::info!(
            request = %task.step.workflow,
            task = %task,
            run = ended.run,
            worker = self.worker_name(worker),
            end = ?ended.end,
            held = held.is_some(),
            "a run ended"
        );
        match ended.end {
            RunEnd::Done => self.task_done(task, now),
            RunEnd::Failed => self.task_failed(task, worker, ended, now),
            RunEnd::Stopped | RunEnd::Lapsed | RunEnd::Broken | RunEnd::Alone => {
                self.task_interrupted(task, worker, ended, now);
            }
        }
        self.place_due = true;
    }

    fn release_run(&mut self, worker: WorkerKey, task: TaskId, run: u32) -> Option<HeldRun> {
        let worker = self.fleet.get_mut(worker)?;
        let held = worker.runs.get(&task).filter(|held| held.run == run)?;
        let held = *held;
        worker.release(task);
        Some(held)
    }

    fn rate_worker(&mut self, key: WorkerKey, end: RunEnd, held: Option<HeldRun>, now: Time) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        match (end, held) {
            (RunEnd::Done, Some(held)) => {
                worker.task_done(now.since(held.started), held.estimate_ms);
            }
            (RunEnd::Failed, Some(_)) => worker.task_failed(now),
            _ => {}
        }
    }

    fn task_done(&mut self, task: TaskId, now: Time) {
        let id = task.step.workflow;
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let (occurrence, step) = (task.step.occurrence, task.step.step);
        let Some(spec) = active.spec.steps.get(step as usize).cloned() else {
            return;
        };
        active.started = true;
        let Some(run) = active.steps.get_mut(&(occurrence, step)) else {
            return;
        };
        if spec.long_running {
            self.put_back(task, None, now + RETRY_PAUSE);
            return;
        }
        let placed = run.placed();
        // One member's end stands for its whole gang.
        let changed = if spec.gang {
            (0..spec.tasks).filter(|index| run.set_done(*index)).count() > 0
        } else {
            run.set_done(task.index)
        };
        if !changed {
            return;
        }
        let step_done = run.left == 0;
        if !spec.gang {
            // Another run of the task, started since the worker was last heard, is of no use.
            for (index, worker, number) in placed {
                if index == task.index {
                    self.stop_run(worker, task, number, now);
                }
            }
        }
        self.journal.touch(id);
        if step_done {
            self.step_done(task.step);
        }
    }

    fn step_done(&mut self, step: StepId) {
        if let Some(key) = self.ready_key(step) {
            self.ready.remove(&key);
        }
        self.queue_steps(step.workflow);
    }

    fn task_failed(&mut self, task: TaskId, worker: WorkerKey, ended: &EndedRun, now: Time) {
        let id = task.step.workflow;
        let Some(active) = self.active.get_mut(&id) else {
            return;
        };
        let Some(spec) = active.spec.steps.get(task.step.step as usize).cloned() else {
            return;
        };
        let attempts = active.attempts();
        let key = (task.step.occurrence, task.step.step);
        if let Some(run) = active.steps.get_mut(&key)
            && !run.progress.is_done(task.index)
            && !spec.long_running
        {
            // A gang fails as a whole, so its failures are counted with its first member.
            let counted = if spec.gang { 0 } else { task.index };
            let failures = run.progress.add_failure(counted, ended.run);
            if failures.is_some() {
                self.journal.touch(id);
            }
            if failures.is_some_and(|failures| failures >= attempts) {
                tracing::info!(request = %id, task = %task, failures, "a workflow failed");
                active.failed = true;
                self.wind_down(id, now);
                return;
            }
        }
        self.task_interrupted(task, worker, ended, now);
    }

    /// A run ended without a result: the task waits again.
    fn task_interrupted(&mut self, task: TaskId, worker: WorkerKey, ended: &EndedRun, now: Time) {
        let current = self.place_of(task);
        if current == Some(Place::On(worker, ended.run)) {
            self.put_back(task, ended.checkpoint.clone(), now + RETRY_PAUSE);
        } else if current == Some(Place::Waiting) {
            self.keep_checkpoint(task, ended.checkpoint.clone());
        }
    }

    pub(super) fn place_of(&self, task: TaskId) -> Option<Place> {
        let active = self.active.get(&task.step.workflow)?;
        let run = active.steps.get(&(task.step.occurrence, task.step.step))?;
        run.tasks.get(task.index as usize).map(|task| task.place)
    }

    pub(super) fn keep_checkpoint(&mut self, task: TaskId, checkpoint: Option<String>) {
        let run = self.step_mut(task.step);
        if let Some(known) = run.and_then(|run| run.task_mut(task.index))
            && checkpoint.is_some()
        {
            known.checkpoint = checkpoint;
        }
    }

    /// Makes a task wait again; where it belongs to a gang, the others are stopped.
    pub(super) fn put_back(&mut self, task: TaskId, checkpoint: Option<String>, not_before: Time) {
        self.keep_checkpoint(task, checkpoint);
        let Some(active) = self.active.get_mut(&task.step.workflow) else {
            return;
        };
        let gang = active.spec.steps.get(task.step.step as usize);
        let gang = gang.is_some_and(|spec| spec.gang);
        let Some(run) = active
            .steps
            .get_mut(&(task.step.occurrence, task.step.step))
        else {
            return;
        };
        if let Some(known) = run.task_mut(task.index) {
            known.place = Place::Waiting;
            known.not_before = not_before;
        }
        let others = if gang { run.placed() } else { Vec::new() };
        for (index, worker, number) in others {
            self.stop_run(worker, task.step.task(index), number, not_before);
        }
        self.queue_step(task.step);
    }

    /// Stops everything of a workflow that is over.
    pub(super) fn wind_down(&mut self, id: WorkflowId, now: Time) {
        self.unqueue(id);
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let mut placed = Vec::new();
        for ((occurrence, step), run) in &active.steps {
            let step = StepId {
                workflow: id,
                occurrence: *occurrence,
                step: *step,
            };
            let of_step = run.placed().into_iter();
            placed.extend(of_step.map(|(index, worker, run)| (step.task(index), worker, run)));
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
