//! Submissions, cancellations, what is read from the store, and occurrences.

use std::time::Duration;

use super::{Effect, Engine, Recovery, ReplyToken};
use crate::model::{Time, WorkerName};
use crate::workflow::active::Active;
use crate::workflow::fleet::{WorkerKey, as_millis};
use crate::workflow::record::{WorkflowProgress, WorkflowRecord, WorkflowState};
use crate::workflow::spec::{StepId, WorkflowId, WorkflowSpec};

/// Added to the longest lease of an earlier owner, in percent, for slow clocks of workers.
const RECOVERY_MARGIN_PERCENT: u64 = 5;

/// What became of a submission at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitStatus {
    /// It is recorded already.
    Recorded,
    /// The answer comes as an effect, once it is recorded or refused.
    AwaitingCommit,
}

/// What became of a cancellation at once.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelStatus {
    /// The workflow has ended, or its cancellation is recorded already.
    Ended,
    /// The answer comes as an effect, once it is recorded.
    AwaitingCommit,
    /// No such workflow is known here.
    Unknown,
}

impl Engine {
    /// Takes a workflow; one that is known already stays as it is.
    pub fn submit(
        &mut self,
        id: WorkflowId,
        spec: WorkflowSpec,
        token: ReplyToken,
        now: Time,
    ) -> SubmitStatus {
        if self.ended.contains_key(&id) {
            return SubmitStatus::Recorded;
        }
        if let Some(active) = self.active.get(&id) {
            if active.recorded {
                return SubmitStatus::Recorded;
            }
            self.journal.wait_for_record(id, token);
            return SubmitStatus::AwaitingCommit;
        }
        self.add(id, spec, &WorkflowProgress::default(), now);
        self.journal.add(id, Some(token));
        // Permits are asked for while the record is being written.
        self.queue_steps(id);
        SubmitStatus::AwaitingCommit
    }

    /// Takes a workflow that another VM has accepted and stored; returns whether it is recorded, until
    /// which it is not refused.
    pub fn submit_from_inbox(
        &mut self,
        id: WorkflowId,
        spec: WorkflowSpec,
        now: Time,
    ) -> SubmitStatus {
        if self.ended.contains_key(&id) {
            return SubmitStatus::Recorded;
        }
        if let Some(active) = self.active.get_mut(&id) {
            active.handed_in = true;
            if active.recorded {
                return SubmitStatus::Recorded;
            }
            return SubmitStatus::AwaitingCommit;
        }
        tracing::info!(request = %id, "a workflow was handed over through the store");
        self.add(id, spec, &WorkflowProgress::default(), now);
        if let Some(active) = self.active.get_mut(&id) {
            active.handed_in = true;
        }
        self.journal.add(id, None);
        self.queue_steps(id);
        SubmitStatus::AwaitingCommit
    }

    /// Cancels a workflow; nothing of it starts from now on. `token` is answered once that is
    /// recorded.
    pub fn cancel(&mut self, id: WorkflowId, token: Option<ReplyToken>, now: Time) -> CancelStatus {
        if self.ended.contains_key(&id) {
            return CancelStatus::Ended;
        }
        let Some(active) = self.active.get_mut(&id) else {
            return CancelStatus::Unknown;
        };
        if active.end().is_none() {
            active.cancelled = true;
            self.wind_down(id, now);
        }
        self.journal.touch(id);
        if let Some(token) = token {
            self.journal.wait_for_end(id, token);
        }
        CancelStatus::AwaitingCommit
    }

    /// Refuses the submissions whose record has not been sent to the store, since it does not answer.
    pub fn refuse_unsent_submissions(&mut self) {
        for (id, tokens) in self.journal.take_unsent() {
            self.refuse(id, tokens);
        }
    }

    /// Refuses a workflow, unless another VM has accepted it meanwhile.
    pub(super) fn refuse(&mut self, id: WorkflowId, tokens: Vec<ReplyToken>) {
        let recorded = self.active.get(&id).is_some_and(|active| active.recorded);
        if recorded || self.ended.contains_key(&id) {
            self.effects
                .extend(tokens.into_iter().map(Effect::Accepted));
            return;
        }
        if self.active.get(&id).is_some_and(|active| active.handed_in) {
            self.journal.add(id, None);
            self.effects
                .extend(tokens.into_iter().map(Effect::Accepted));
            return;
        }
        self.unqueue(id);
        self.active.remove(&id);
        self.effects.extend(tokens.into_iter().map(Effect::Refused));
    }

    /// Takes up a workflow that the store holds.
    pub fn load_workflow(
        &mut self,
        id: WorkflowId,
        record: WorkflowRecord,
        progress: &WorkflowProgress,
        now: Time,
    ) {
        match record {
            WorkflowRecord::Ended(state) => {
                if !self.active.contains_key(&id) {
                    self.ended.insert(id, state);
                }
            }
            WorkflowRecord::Active(spec) => self.load_active(id, spec, progress, now),
        }
    }

    fn load_active(
        &mut self,
        id: WorkflowId,
        spec: WorkflowSpec,
        progress: &WorkflowProgress,
        now: Time,
    ) {
        if self.ended.contains_key(&id) {
            return;
        }
        if let Some(active) = self.active.get_mut(&id) {
            active.recorded = true;
            return;
        }
        self.add(id, spec, progress, now);
        if let Some(active) = self.active.get_mut(&id) {
            active.recorded = true;
            active.cancelled = progress.cancelled;
            active.failed = progress.failed;
            if active.end().is_some() {
                self.journal.touch(id);
            }
        }
        self.queue_steps(id);
    }

    /// Begins the recovery of what an earlier owner left; to be called before workflows are loaded.
    pub fn begin_recovery(&mut self, now: Time) {
        let lease = self.cfg.lease_ms;
        let longest = lease + lease * RECOVERY_MARGIN_PERCENT / 100;
        let waiting = self.fleet.keys().into_iter().collect();
        self.recovery = Some(Recovery {
            waiting,
            until: now + Duration::from_millis(longest),
        });
    }

    /// Whether the recovery has ended.
    pub fn has_recovered(&self) -> bool {
        self.recovery.is_none()
    }

    /// Notes that what runs on the worker is known.
    pub(super) fn recovered(&mut self, key: WorkerKey) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if !recovery.waiting.remove(&key) {
            return;
        }
        if let Some(worker) = self.fleet.get(key) {
            let name = worker.listing.name.clone();
            self.clear_suspects(Some(&name));
            self.place_due = true;
        }
    }

    /// Notes that an earlier owner's starts on the worker, or on any, have shown or are over.
    fn clear_suspects(&mut self, worker: Option<&WorkerName>) {
        let runs = self.active.values_mut();
        let tasks = runs.flat_map(|active| active.steps.values_mut());
        for task in tasks.flat_map(|run| run.tasks.iter_mut()) {
            if worker.is_none() || task.suspect.as_ref() == worker {
                task.suspect = None;
            }
        }
    }

    pub(super) fn end_recovery(&mut self, now: Time) {
        let Some(recovery) = &self.recovery else {
            return;
        };
        if !recovery.waiting.is_empty() && now < recovery.until {
            return;
        }
        tracing::info!(
            unanswered = recovery.waiting.len(),
            workflows = self.active.len(),
            time_left_ms = as_millis(recovery.until.since(now)),
            "what an earlier owner started is known"
        );
        self.recovery = None;
        self.clear_suspects(None);
        self.stop_broken_gangs(now);
        self.place_due = true;
    }

    /// Stops the gangs of which only some members run, as their owner was lost while it started them.
    fn stop_broken_gangs(&mut self, now: Time) {
        let mut broken = Vec::new();
        for (id, active) in &self.active {
            for ((occurrence, step), run) in &active.steps {
                let gang = active.spec.steps.get(*step as usize);
                let placed = run.placed();
                let part = !placed.is_empty() && run.waiting().next().is_some();
                if part && gang.is_some_and(|spec| spec.gang) {
                    let step = StepId {
                        workflow: *id,
                        occurrence: *occurrence,
                        step: *step,
                    };
                    broken.extend(placed.into_iter().map(|at| (step, at)));
                }
            }
        }
        for (step, (index, worker, run)) in broken {
            self.stop_run(worker, step.task(index), run, now);
        }
    }

    fn add(&mut self, id: WorkflowId, spec: WorkflowSpec, progress: &WorkflowProgress, now: Time) {
        let policy = self.queues.get(&spec.queue.name).unwrap_or(&spec.queue);
        let policy = policy.clone();
        let mut active = Active::new(spec, &policy, now);
        match active.spec.recurrence {
            None => active.begin_occurrence(progress, now),
            Some(_) => {
                // Occurrences with progress were due before.
                let begun = progress
                    .steps
                    .iter()
                    .map(|((occurrence, _), _)| occurrence + 1);
                for _ in 0..begun.max().unwrap_or(0) {
                    active.begin_occurrence(progress, now);
                }
            }
        }
        active.started = progress.steps.iter().any(|(_, step)| !step.done.is_empty());
        self.active.insert(id, active);
    }

    /// Takes all steps of a workflow from the queue.
    pub(super) fn unqueue(&mut self, id: WorkflowId) {
        let Some(active) = self.active.get(&id) else {
            return;
        };
        let steps: Vec<(u32, u32)> = active.steps.keys().copied().collect();
        for (occurrence, step) in steps {
            let step = StepId {
                workflow: id,
                occurrence,
                step,
            };
            if let Some(key) = self.ready_key(step) {
                self.ready.remove(&key);
            }
        }
    }

    /// Begins the occurrences of recurring workflows that have come due.
    pub(super) fn begin_occurrences(&mut self, now: Time, unix_ms: u64) {
        let mut begun = Vec::new();
        for (id, active) in &mut self.active {
            let Some(recurrence) = active.spec.recurrence else {
                continue;
            };
            while active.recorded && active.occurrences < recurrence.count && !active.is_over() {
                let passed = u64::from(active.occurrences) * recurrence.interval_ms;
                if recurrence.first_unix_ms + passed > unix_ms {
                    break;
                }
                active.begin_occurrence(&WorkflowProgress::default(), now);
                begun.push(*id);
            }
        }
        for id in begun {
            self.queue_steps(id);
        }
    }

    /// The end of a workflow as recorded, for a workflow that has one.
    pub(super) fn set_ended(&mut self, id: WorkflowId, state: WorkflowState) {
        self.unqueue(id);
        self.active.remove(&id);
        self.ended.insert(id, state);
    }
}
