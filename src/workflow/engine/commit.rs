//! The changes to commit to the store, and the handling of commit results.

use std::collections::{HashMap, HashSet, VecDeque};

use super::{Effect, Engine, ReplyToken};
use crate::model::Time;
use crate::port::executor::WorkerListing;
use crate::workflow::fleet::WorkerKey;
use crate::workflow::record::{WorkflowProgress, WorkflowRecord, WorkflowState};
use crate::workflow::spec::{TaskId, WorkflowId};

/// The acknowledgement of a worker's ended runs, which is sent once a batch is committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EndAck {
    worker: WorkerKey,
    boot: u64,
    sequence: u64,
}

/// Changes that are committed in one transaction.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CommitBatch {
    /// New workflows. A record that already exists is not overwritten.
    pub added: Vec<(WorkflowId, WorkflowRecord)>,
    /// The progress of workflows, to be written.
    pub progress: Vec<(WorkflowId, WorkflowProgress)>,
    /// Workflows that have ended: their record is replaced, and their progress is removed.
    pub ended: Vec<(WorkflowId, WorkflowState)>,
    /// All workers that tasks may run on, if they changed.
    pub workers: Option<Vec<WorkerListing>>,
    end_acks: Vec<EndAck>,
    /// Placed runs whose start requests are sent after the commit.
    starts: Vec<(WorkerKey, TaskId, u32)>,
}

impl CommitBatch {
    /// The number of entries in the transaction: a precondition and a record for a new workflow, a
    /// record and a removal for one that has ended.
    fn entries(&self) -> usize {
        2 * (self.added.len() + self.ended.len()) + self.progress.len()
    }

    /// Whether the batch contains no changes.
    pub fn is_empty(&self) -> bool {
        self.added.is_empty()
            && self.progress.is_empty()
            && self.ended.is_empty()
            && self.workers.is_none()
    }
}

/// The changes that are not committed yet.
#[derive(Debug, Default)]
pub(super) struct CommitQueue {
    added: VecDeque<WorkflowId>,
    changed: HashSet<WorkflowId>,
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
            self.await_commit(id, token);
        }
    }

    pub(super) fn await_commit(&mut self, id: WorkflowId, token: ReplyToken) {
        self.submitters.entry(id).or_default().push(token);
    }

    pub(super) fn await_cancellation(&mut self, id: WorkflowId, token: ReplyToken) {
        self.cancellers.entry(id).or_default().push(token);
    }

    pub(super) fn add_run(&mut self, worker: WorkerKey, task: TaskId, run: u32) {
        self.assigned.push((worker, task, run));
        self.mark_changed(task.step.workflow);
    }

    pub(super) fn mark_changed(&mut self, id: WorkflowId) {
        self.changed.insert(id);
    }

    pub(super) fn workers_changed(&mut self) {
        self.workers_changed = true;
    }

    /// Takes the new workflows that are not in a batch yet, with the callers that wait for them.
    pub(super) fn take_unsent(&mut self) -> Vec<(WorkflowId, Vec<ReplyToken>)> {
        let unsent: Vec<WorkflowId> = self.added.drain(..).collect();
        let tokens = |id| (id, self.submitters.remove(&id).unwrap_or_default());
        unsent.into_iter().map(tokens).collect()
    }
}

impl Engine {
    /// Whether there are changes to commit.
    pub fn has_changes(&self) -> bool {
        let commit_queue = &self.commit_queue;
        !commit_queue.added.is_empty()
            || !commit_queue.changed.is_empty()
            || commit_queue.workers_changed
    }

    /// Takes the next batch of changes, unless another batch is in flight. The batch takes up to
    /// `max_entries` entries of a transaction, and one more if the list of workers changed.
    pub fn take_batch(&mut self, max_entries: usize) -> Option<CommitBatch> {
        if self.commit_queue.in_flight || !self.has_changes() {
            return None;
        }
        let mut batch = CommitBatch::default();
        if std::mem::take(&mut self.commit_queue.workers_changed) {
            let workers = self.fleet.iter().map(|(_, worker)| worker.listing.clone());
            batch.workers = Some(workers.collect());
        }
        // Up to half of the entries are for new workflows, so that callers do not wait long while
        // the store is slow.
        self.take_added(&mut batch, max_entries / 2);
        self.take_changed(&mut batch, max_entries);
        self.take_assigned(&mut batch);
        self.take_added(&mut batch, max_entries);
        if batch.is_empty() {
            return None;
        }
        if self.commit_queue.changed.is_empty() {
            batch.end_acks = self.end_acks();
        }
        self.commit_queue.in_flight = true;
        Some(batch)
    }

    fn take_changed(&mut self, batch: &mut CommitBatch, max_entries: usize) {
        let changed: Vec<WorkflowId> = self.commit_queue.changed.iter().copied().collect();
        for id in changed {
            if batch.entries() + 2 > max_entries {
                return;
            }
            let Some(active) = self.active.get(&id) else {
                self.commit_queue.changed.remove(&id);
                continue;
            };
            // Changes of a workflow are committed only after its record.
            if !active.recorded {
                continue;
            }
            self.commit_queue.changed.remove(&id);
            match active.final_state() {
                Some(state) => batch.ended.push((id, state)),
                None => {
                    let process = |key| Some(self.fleet.get(key)?.process());
                    batch.progress.push((id, active.progress(process)));
                }
            }
        }
    }

    /// Takes the runs whose placement is part of the batch.
    fn take_assigned(&mut self, batch: &mut CommitBatch) {
        let in_batch: HashSet<WorkflowId> = batch.progress.iter().map(|(id, _)| *id).collect();
        let assigned = std::mem::take(&mut self.commit_queue.assigned).into_iter();
        let (taken, remaining) =
            assigned.partition(|(_, task, _)| in_batch.contains(&task.step.workflow));
        batch.starts = taken;
        self.commit_queue.assigned = remaining;
        // No runs start for a workflow that has ended or was refused.
        let active = &self.active;
        let is_active = |task: &TaskId| active.contains_key(&task.step.workflow);
        self.commit_queue
            .assigned
            .retain(|(_, task, _)| is_active(task));
    }

    fn take_added(&mut self, batch: &mut CommitBatch, max_entries: usize) {
        while batch.entries() + 2 <= max_entries {
            let Some(id) = self.commit_queue.added.pop_front() else {
                return;
            };
            if let Some(active) = self.active.get(&id) {
                let record = WorkflowRecord::Active(active.spec.as_ref().clone());
                batch.added.push((id, record));
            }
        }
    }

    /// The acknowledgements to send to workers once all changes so far are committed.
    fn end_acks(&self) -> Vec<EndAck> {
        let workers = self.fleet.iter();
        workers
            .filter(|(_, worker)| worker.processed_sequence > worker.committed_sequence)
            .map(|(key, worker)| EndAck {
                worker: key,
                boot: worker.listing.boot,
                sequence: worker.processed_sequence,
            })
            .collect()
    }

    /// Acknowledges the ended runs that changed nothing, if no changes wait to be committed.
    pub(super) fn acknowledge_if_unchanged(&mut self) {
        if !self.commit_queue.in_flight && self.commit_queue.changed.is_empty() {
            let end_acks = self.end_acks();
            self.acknowledge(&end_acks);
        }
    }

    fn acknowledge(&mut self, end_acks: &[EndAck]) {
        for ack in end_acks {
            let worker = self.fleet.get_mut(ack.worker);
            let same_process = worker.filter(|worker| worker.listing.boot == ack.boot);
            if let Some(worker) = same_process {
                worker.committed_sequence = worker.committed_sequence.max(ack.sequence);
            }
        }
    }

    /// Handles the commit of the batch. `existing` lists the new workflows that already had a
    /// record.
    pub fn handle_commit(
        &mut self,
        batch: &CommitBatch,
        existing: &[(WorkflowId, WorkflowRecord)],
        now: Time,
    ) {
        self.commit_queue.in_flight = false;
        self.send_starts(&batch.starts, now);
        for (id, _) in &batch.added {
            self.handle_recorded(*id, existing);
        }
        for (id, state) in &batch.ended {
            self.set_ended(*id, *state);
            self.reply_cancelled(*id);
        }
        if batch.workers.is_some() {
            self.placement_due = true;
        }
        self.acknowledge(&batch.end_acks);
    }

    /// Handles a batch that was not committed: its new workflows are refused, and the other changes
    /// are committed later.
    pub fn handle_commit_failure(&mut self, batch: &CommitBatch) {
        self.commit_queue.in_flight = false;
        for (id, _) in &batch.added {
            let tokens = self.commit_queue.submitters.remove(id).unwrap_or_default();
            self.refuse(*id, tokens);
        }
        for (id, _) in &batch.progress {
            self.commit_queue.mark_changed(*id);
        }
        self.commit_queue.assigned.extend(&batch.starts);
        for (id, _) in &batch.ended {
            self.commit_queue.mark_changed(*id);
        }
        if batch.workers.is_some() {
            self.commit_queue.workers_changed();
        }
    }

    fn handle_recorded(&mut self, id: WorkflowId, existing: &[(WorkflowId, WorkflowRecord)]) {
        let existing = existing.iter().find(|(existing, _)| *existing == id);
        if let Some((_, WorkflowRecord::Ended(state))) = existing {
            self.set_ended(id, *state);
        } else if let Some(active) = self.active.get_mut(&id) {
            active.recorded = true;
        }
        let tokens = self.commit_queue.submitters.remove(&id).unwrap_or_default();
        self.effects
            .extend(tokens.into_iter().map(Effect::Accepted));
        self.enqueue_steps(id);
        self.placement_due = true;
    }

    fn reply_cancelled(&mut self, id: WorkflowId) {
        let tokens = self.commit_queue.cancellers.remove(&id).unwrap_or_default();
        self.effects
            .extend(tokens.into_iter().map(Effect::Cancelled));
    }
}
