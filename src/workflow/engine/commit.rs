//! What has to be recorded, and what follows once it is.

use std::collections::{HashMap, HashSet, VecDeque};

use super::{Effect, Engine, ReplyToken};
use crate::model::Time;
use crate::port::executor::WorkerListing;
use crate::workflow::fleet::WorkerKey;
use crate::workflow::record::{WorkflowProgress, WorkflowRecord, WorkflowState};
use crate::workflow::spec::{TaskId, WorkflowId};

/// Ends of a worker that are taken note of once a batch is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndAck {
    worker: WorkerKey,
    boot: u64,
    sequence: u64,
}

/// Changes that are recorded together.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// Workflows that are new; a record that exists already is left as it is.
    pub added: Vec<(WorkflowId, WorkflowRecord)>,
    /// Progress to write.
    pub progress: Vec<(WorkflowId, WorkflowProgress)>,
    /// Workflows that have ended: their record is replaced, their progress removed.
    pub ended: Vec<(WorkflowId, WorkflowState)>,
    /// All workers that tasks may run on, where that changed.
    pub workers: Option<Vec<WorkerListing>>,
    marks: Vec<EndAck>,
    /// Runs that are placed; their starts follow.
    starts: Vec<(WorkerKey, TaskId, u32)>,
}

impl CommitBatch {
    /// How many entries of a transaction it takes: a new workflow a condition and a record, one that
    /// has ended a record and a removal.
    fn entries(&self) -> usize {
        2 * (self.added.len() + self.ended.len()) + self.progress.len()
    }

    /// Whether there is nothing to record.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
            && self.progress.is_empty()
            && self.ended.is_empty()
            && self.workers.is_none()
    }
}

/// What is not recorded yet.
#[derive(Debug, Default)]
pub(super) struct CommitQueue {
    added: VecDeque<WorkflowId>,
    touched: HashSet<WorkflowId>,
    submitters: HashMap<WorkflowId, Vec<ReplyToken>>,
    cancellers: HashMap<WorkflowId, Vec<ReplyToken>>,
    workers_changed: bool,
    in_flight: bool,
    assigned: Vec<(WorkerKey, TaskId, u32)>,
}

impl CommitQueue {
    pub(super) fn add(&mut self, id: WorkflowId, token: Option<ReplyToken>) {
        self.added.push_back(id);
        if let Some(token) = token {
            self.wait_for_record(id, token);
        }
    }

    pub(super) fn wait_for_record(&mut self, id: WorkflowId, token: ReplyToken) {
        self.submitters.entry(id).or_default().push(token);
    }

    pub(super) fn wait_for_end(&mut self, id: WorkflowId, token: ReplyToken) {
        self.cancellers.entry(id).or_default().push(token);
    }

    pub(super) fn assign(&mut self, worker: WorkerKey, task: TaskId, run: u32) {
        self.assigned.push((worker, task, run));
        self.touch(task.step.workflow);
    }

    pub(super) fn touch(&mut self, id: WorkflowId) {
        self.touched.insert(id);
    }

    pub(super) fn workers_changed(&mut self) {
        self.workers_changed = true;
    }

    /// Takes the new workflows that no batch holds yet, with who waits for them.
    pub(super) fn take_unsent(&mut self) -> Vec<(WorkflowId, Vec<ReplyToken>)> {
        let unsent: Vec<WorkflowId> = self.added.drain(..).collect();
        let tokens = |id| (id, self.submitters.remove(&id).unwrap_or_default());
        unsent.into_iter().map(tokens).collect()
    }
}

impl Engine {
    /// Whether something waits to be recorded.
    pub fn has_changes(&self) -> bool {
        let journal = &self.journal;
        !journal.added.is_empty() || !journal.touched.is_empty() || journal.workers_changed
    }

    /// Takes changes to record together, unless a batch is under way. They take up to `most` entries of
    /// a transaction, and one more where the list of workers changed.
    pub fn take_batch(&mut self, most: usize) -> Option<CommitBatch> {
        if self.journal.in_flight || !self.has_changes() {
            return None;
        }
        let mut batch = CommitBatch::default();
        if std::mem::take(&mut self.journal.workers_changed) {
            let workers = self.fleet.iter().map(|(_, worker)| worker.listing.clone());
            batch.workers = Some(workers.collect());
        }
        // Half is for new workflows, so that a slow store does not keep callers waiting.
        self.take_added(&mut batch, most / 2);
        self.take_touched(&mut batch, most);
        self.take_assigned(&mut batch);
        self.take_added(&mut batch, most);
        if batch.is_empty() {
            return None;
        }
        if self.journal.touched.is_empty() {
            batch.marks = self.marks();
        }
        self.journal.in_flight = true;
        Some(batch)
    }

    fn take_touched(&mut self, batch: &mut CommitBatch, most: usize) {
        let touched: Vec<WorkflowId> = self.journal.touched.iter().copied().collect();
        for id in touched {
            if batch.entries() + 2 > most {
                return;
            }
            // A workflow whose own record is not written yet waits for that.
            let Some(active) = self.active.get(&id) else {
                self.journal.touched.remove(&id);
                continue;
            };
            if !active.recorded {
                continue;
            }
            self.journal.touched.remove(&id);
            match active.end() {
                Some(state) => batch.ended.push((id, state)),
                None => {
                    let name = |key| {
                        let worker = self.fleet.get(key);
                        worker.map(|worker| worker.listing.name.clone())
                    };
                    batch.progress.push((id, active.progress(name)));
                }
            }
        }
    }

    /// Takes the runs whose placement the batch records.
    fn take_assigned(&mut self, batch: &mut CommitBatch) {
        let recorded: HashSet<WorkflowId> = batch.progress.iter().map(|(id, _)| *id).collect();
        let assigned = std::mem::take(&mut self.journal.assigned).into_iter();
        let (taken, left) =
            assigned.partition(|(_, task, _)| recorded.contains(&task.step.workflow));
        batch.starts = taken;
        self.journal.assigned = left;
        // A workflow that has ended or is gone starts nothing more.
        let active = &self.active;
        let waits = |task: &TaskId| active.contains_key(&task.step.workflow);
        self.journal.assigned.retain(|(_, task, _)| waits(task));
    }

    fn take_added(&mut self, batch: &mut CommitBatch, most: usize) {
        while batch.entries() + 2 <= most {
            let Some(id) = self.journal.added.pop_front() else {
                return;
            };
            if let Some(active) = self.active.get(&id) {
                let record = WorkflowRecord::Active(active.spec.as_ref().clone());
                batch.added.push((id, record));
            }
        }
    }

    /// Up to which end each worker may forget once all changes so far are recorded.
    fn marks(&self) -> Vec<EndAck> {
        let workers = self.fleet.iter();
        workers
            .filter(|(_, worker)| worker.seen_end > worker.recorded_end)
            .map(|(key, worker)| EndAck {
                worker: key,
                boot: worker.listing.boot,
                sequence: worker.seen_end,
            })
            .collect()
    }

    /// Lets workers forget the ends that changed nothing, where nothing waits to be recorded.
    pub(super) fn mark_unchanged(&mut self) {
        if !self.journal.in_flight && self.journal.touched.is_empty() {
            let marks = self.marks();
            self.acknowledge(&marks);
        }
    }

    fn acknowledge(&mut self, marks: &[EndAck]) {
        for mark in marks {
            let worker = self.fleet.get_mut(mark.worker);
            let same = worker.filter(|worker| worker.listing.boot == mark.boot);
            if let Some(worker) = same {
                worker.recorded_end = worker.recorded_end.max(mark.sequence);
            }
        }
    }

    /// Notes that the batch is recorded. `existing` are the new workflows that had a record before.
    pub fn handle_commit(
        &mut self,
        batch: &CommitBatch,
        existing: &[(WorkflowId, WorkflowRecord)],
        now: Time,
    ) {
        self.journal.in_flight = false;
        self.send_starts(&batch.starts, now);
        for (id, _) in &batch.added {
            self.recorded(*id, existing);
        }
        for (id, state) in &batch.ended {
            self.set_ended(*id, *state);
            self.tell_cancelled(*id);
        }
        if batch.workers.is_some() {
            self.place_due = true;
        }
        self.acknowledge(&batch.marks);
    }

    /// Notes that the store did not take the batch: its new workflows are refused, the rest is
    /// recorded later.
    pub fn handle_commit_failure(&mut self, batch: &CommitBatch) {
        self.journal.in_flight = false;
        for (id, _) in &batch.added {
            let tokens = self.journal.submitters.remove(id).unwrap_or_default();
            self.refuse(*id, tokens);
        }
        for (id, _) in &batch.progress {
            self.journal.touch(*id);
        }
        self.journal.assigned.extend(&batch.starts);
        for (id, _) in &batch.ended {
            self.journal.touch(*id);
        }
        if batch.workers.is_some() {
            self.journal.workers_changed();
        }
    }

    fn recorded(&mut self, id: WorkflowId, existing: &[(WorkflowId, WorkflowRecord)]) {
        let before = existing.iter().find(|(known, _)| *known == id);
        if let Some((_, WorkflowRecord::Ended(state))) = before {
            self.set_ended(id, *state);
        } else if let Some(active) = self.active.get_mut(&id) {
            active.recorded = true;
        }
        let tokens = self.journal.submitters.remove(&id).unwrap_or_default();
        self.effects
            .extend(tokens.into_iter().map(Effect::Accepted));
        self.queue_steps(id);
        self.place_due = true;
    }

    fn tell_cancelled(&mut self, id: WorkflowId) {
        let tokens = self.journal.cancellers.remove(&id).unwrap_or_default();
        self.effects
            .extend(tokens.into_iter().map(Effect::Cancelled));
    }
}
