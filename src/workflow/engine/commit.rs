//! The changes to commit to the store, and the handling of commit results.

use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet, VecDeque};
use std::time::Duration;

use serde::Serialize;

use super::batch::{BatchLimits, CommitBatch, EndAck};
use super::{Effect, Engine, ReplyToken};
use crate::model::{Time, WorkerName};
use crate::workflow::assignment::Assignment;
use crate::workflow::fleet::WorkerKey;
use crate::workflow::record::{self, WorkflowRecord, WorkflowState, WorkflowStatus, text_len};
use crate::workflow::recorded::{CommittedWrite, Recorded, RecordedEnd};
use crate::workflow::spec::{TaskId, WorkflowId};
use crate::workflow::tenure::{LongLeases, TENURE, with_clock_margin};

/// The number of changes in a batch from which on isolating a rejected change has ended.
const MAX_ISOLATED_CHANGES: usize = 128;

/// The size of a record. Values that cannot be encoded are found when the transaction is.
fn record_len<T: Serialize>(record: &T) -> usize {
    record::encoded_len(record).unwrap_or(0)
}

/// The changes that are not committed yet.
#[derive(Debug, Default)]
pub(super) struct CommitQueue {
    added: VecDeque<WorkflowId>,
    /// The changed parts of the progress of workflows; none for one that has only ended.
    changed: HashMap<WorkflowId, BTreeSet<u64>>,
    /// Further parts of the progress of workflows whose end is recorded.
    obsolete: BTreeSet<(WorkflowId, u64)>,
    pub(super) submitters: HashMap<WorkflowId, Vec<ReplyToken>>,
    cancellers: HashMap<WorkflowId, Vec<ReplyToken>>,
    /// The changed parts of the list of workers.
    workers_changed: BTreeSet<u32>,
    assignments: BTreeMap<WorkerName, Assignment>,
    in_flight: bool,
    /// The last write that took effect; the read at the takeover if there is none.
    last_recorded: Recorded,
    assigned: Vec<(WorkerKey, TaskId, u32)>,
    /// The maximum number of changes in the next batch, while one that the store rejects is being
    /// isolated.
    max_changes: Option<usize>,
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

    pub(super) fn add_run(&mut self, worker: WorkerKey, task: TaskId, run: u32, part: u64) {
        self.assigned.push((worker, task, run));
        self.mark_changed(task.step.workflow, part);
    }

    /// Marks a part of the progress of a workflow as changed.
    pub(super) fn mark_changed(&mut self, id: WorkflowId, part: u64) {
        self.changed.entry(id).or_default().insert(part);
    }

    /// Marks a workflow as ended.
    pub(super) fn mark_ended(&mut self, id: WorkflowId) {
        self.changed.entry(id).or_default();
    }

    /// Removes parts of the progress of a workflow. Without the record of its end, a new owner would
    /// start the tasks of these parts again.
    pub(super) fn remove_parts(&mut self, end: &RecordedEnd, parts: &[u64]) {
        if parts.is_empty() {
            return;
        }
        tracing::info!(request = %end.id(), ?parts, recorded_by = %end.by(),
            "the end of a workflow is recorded; removing parts of its progress");
        let removed = parts.iter().map(|part| (end.id(), *part));
        self.obsolete.extend(removed);
    }

    /// Marks a part of the list of workers as changed.
    pub(super) fn workers_changed(&mut self, part: u32) {
        self.workers_changed.insert(part);
    }

    /// Records the assignment of a worker.
    pub(super) fn assign(&mut self, worker: WorkerName, assignment: Assignment) {
        self.assignments.insert(worker, assignment);
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
            || !commit_queue.obsolete.is_empty()
            || !commit_queue.workers_changed.is_empty()
            || !commit_queue.assignments.is_empty()
    }

    /// Takes the next batch of changes, unless another batch is in flight.
    pub fn take_batch(&mut self, limits: BatchLimits) -> Option<CommitBatch> {
        if self.commit_queue.in_flight || !self.has_changes() {
            return None;
        }
        let mut batch = CommitBatch::default();
        self.take_workers(&mut batch, &limits);
        self.take_assignments(&mut batch, &limits);
        // Runs are placed only on workers that are recorded.
        if self.commit_queue.workers_changed.is_empty() {
            // Up to half of the entries are for new workflows, so that callers do not wait long
            // while the store is slow.
            let half = BatchLimits {
                entries: limits.entries / 2,
                bytes: limits.bytes / 2,
            };
            self.take_added(&mut batch, &half);
            self.take_changed(&mut batch, &limits);
            self.take_assigned(&mut batch);
        }
        self.take_added(&mut batch, &limits);
        self.take_obsolete(&mut batch, &limits);
        if batch.is_empty() {
            return None;
        }
        if self.commit_queue.changed.is_empty() {
            batch.end_acks = self.end_acks();
        }
        self.commit_queue.in_flight = true;
        Some(batch)
    }

    /// Whether another change may be added to the batch.
    fn may_add(&self, batch: &CommitBatch) -> bool {
        let max = self.commit_queue.max_changes;
        max.is_none_or(|max| batch.changes() < max)
    }

    fn take_workers(&mut self, batch: &mut CommitBatch, limits: &BatchLimits) {
        while self.may_add(batch)
            && let Some(part) = self.commit_queue.workers_changed.first().copied()
        {
            let workers = self.fleet.stored_part(part);
            let len = record_len(&workers);
            if !batch.is_empty() && !batch.has_room(limits, 1, len) {
                return;
            }
            batch.bytes += text_len(len);
            batch.workers.push((part, workers));
            self.commit_queue.workers_changed.remove(&part);
        }
    }

    fn take_changed(&mut self, batch: &mut CommitBatch, limits: &BatchLimits) {
        let changed: Vec<WorkflowId> = self.commit_queue.changed.keys().copied().collect();
        for id in changed {
            if !self.may_add(batch) || !batch.has_room(limits, 2, 0) {
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
            match active.final_state() {
                Some(state) => {
                    self.commit_queue.changed.remove(&id);
                    let account = active.spec.account.clone();
                    batch.ended.push((id, WorkflowStatus { state, account }));
                }
                None => self.take_progress(id, batch, limits),
            }
        }
    }

    /// Takes the changed parts of the progress of a workflow. The first part comes last, because in a
    /// record of an earlier program it holds the progress of all tasks.
    fn take_progress(&mut self, id: WorkflowId, batch: &mut CommitBatch, limits: &BatchLimits) {
        let parts = self.commit_queue.changed.get(&id);
        let parts: Vec<u64> = parts.into_iter().flatten().rev().copied().collect();
        for part in parts {
            let Some(active) = self.active.get(&id) else {
                return;
            };
            let process = |key| Some(self.fleet.get(key)?.process());
            let progress = active.progress(part, process);
            let len = record_len(&progress);
            let fits = batch.is_empty() || batch.has_room(limits, 1, len);
            if !fits || !self.may_add(batch) {
                return;
            }
            if let Some(active) = self.active.get_mut(&id) {
                active.stored_parts.insert(part);
            }
            batch.bytes += text_len(len);
            batch.progress.push((id, part, progress));
            if let Some(parts) = self.commit_queue.changed.get_mut(&id) {
                parts.remove(&part);
            }
        }
        self.commit_queue.changed.remove(&id);
    }

    /// Takes the runs whose placement is part of the batch.
    fn take_assigned(&mut self, batch: &mut CommitBatch) {
        let progress = batch.progress.iter();
        let in_batch: HashSet<(WorkflowId, u64)> =
            progress.map(|(id, part, _)| (*id, *part)).collect();
        // No runs start for a workflow that has ended or was refused.
        let active = &self.active;
        let mut assigned = std::mem::take(&mut self.commit_queue.assigned);
        assigned.retain(|(_, task, _)| active.contains_key(&task.step.workflow));
        let is_taken = |(_, task, _): &(WorkerKey, TaskId, u32)| {
            let id = task.step.workflow;
            let active = active.get(&id);
            active.is_some_and(|active| in_batch.contains(&(id, active.parts.part_of_task(*task))))
        };
        (batch.starts, self.commit_queue.assigned) = assigned.into_iter().partition(is_taken);
    }

    fn take_added(&mut self, batch: &mut CommitBatch, limits: &BatchLimits) {
        while self.may_add(batch)
            && let Some(id) = self.commit_queue.added.front().copied()
        {
            let Some(active) = self.active.get(&id) else {
                self.commit_queue.added.pop_front();
                continue;
            };
            let accepted_at = active.accepted_at;
            let record = WorkflowRecord::Active {
                spec: active.spec.as_ref().clone(),
                accepted_unix_ms: self.wall_clock.map(|clock| clock.unix_ms_of(accepted_at)),
            };
            let len = record_len(&record);
            if !batch.is_empty() && !batch.has_room(limits, 2, len) {
                return;
            }
            batch.bytes += text_len(len);
            batch.added.push((id, record));
            self.commit_queue.added.pop_front();
        }
    }

    fn take_obsolete(&mut self, batch: &mut CommitBatch, limits: &BatchLimits) {
        while self.may_add(batch)
            && batch.has_room(limits, 1, 0)
            && let Some((id, part)) = self.commit_queue.obsolete.pop_first()
        {
            batch.obsolete.push((id, part));
        }
    }

    fn take_assignments(&mut self, batch: &mut CommitBatch, limits: &BatchLimits) {
        while self.may_add(batch)
            && let Some((name, assignment)) = self.commit_queue.assignments.pop_first()
        {
            let len = record_len(&(&name, assignment));
            if !batch.is_empty() && !batch.has_room(limits, 1, len) {
                self.commit_queue.assignments.insert(name, assignment);
                return;
            }
            batch.bytes += text_len(len);
            batch.assignments.push((name, assignment));
        }
    }

    /// Where leases may be long if this owner is replaced after a write at `now`, including the workers
    /// on which runs start once `batch` is committed.
    pub fn long_leases(&self, batch: &CommitBatch, now: Time) -> LongLeases {
        let lease = Duration::from_millis(self.cfg.lease_ms);
        // A successor waits for the tenure first, unless this owner releases the shard.
        let acts_until = self.tenure.ends_at().min(now + TENURE).max(now);
        let ordinary_until = acts_until + with_clock_margin(lease);
        let starting: HashSet<WorkerKey> = batch.starts.iter().map(|(key, ..)| *key).collect();
        let workers = self.fleet.iter();
        let long = workers.filter(|(key, worker)| {
            starting.contains(key) || worker.may_have_lease_after(ordinary_until)
        });
        let names = long.map(|(_, worker)| worker.listing.name.clone());
        LongLeases::Workers(names.collect())
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
            self.acknowledge(&end_acks, self.commit_queue.last_recorded);
        }
    }

    /// Acknowledges ends of runs that are recorded, as `proof` shows.
    fn acknowledge(&mut self, end_acks: &[EndAck], proof: Recorded) {
        for ack in end_acks {
            let worker = self.fleet.get_mut(ack.worker);
            let same_process = worker.filter(|worker| worker.listing.boot == ack.boot);
            if let Some(worker) = same_process {
                tracing::debug!(worker = %worker.listing.name, boot = ack.boot, number = ack.sequence,
                    recorded_by = %proof, "ends of runs are recorded; acknowledging them");
                worker.committed_sequence = worker.committed_sequence.max(ack.sequence);
            }
        }
    }

    /// Handles the commit of the batch by `write`. `existing` lists the new workflows that already had
    /// a record.
    pub fn handle_commit(
        &mut self,
        batch: &CommitBatch,
        write: CommittedWrite,
        existing: &[(WorkflowId, WorkflowRecord)],
        now: Time,
    ) {
        batch.log_committed(write);
        self.commit_queue.in_flight = false;
        self.commit_queue.last_recorded = Recorded::Written(write);
        let max_changes = self.commit_queue.max_changes.map(|max| 2 * max);
        self.commit_queue.max_changes = max_changes.filter(|max| *max < MAX_ISOLATED_CHANGES);
        self.send_starts(&batch.starts, now);
        for (id, _) in &batch.added {
            self.handle_recorded(*id, existing);
        }
        for (id, status) in &batch.ended {
            self.set_ended(&RecordedEnd::by_write(*id, write), status.clone());
            self.reply_cancelled(*id);
        }
        self.handle_recorded_assignments(&batch.assignments, now);
        if !batch.workers.is_empty() {
            self.placement_due = true;
        }
        self.acknowledge(&batch.end_acks, Recorded::Written(write));
    }

    /// Handles a batch that was not committed: its new workflows are refused, and the other changes
    /// are committed later.
    pub fn handle_commit_failure(&mut self, batch: &CommitBatch) {
        for (id, _) in &batch.added {
            let tokens = self.commit_queue.submitters.remove(id).unwrap_or_default();
            self.refuse(*id, tokens);
        }
        self.put_back(batch);
    }

    /// Handles a batch that the store will never take. Its changes are committed again in smaller
    /// batches; a single change that is rejected is given up, so that it does not hold up the others.
    pub fn handle_commit_rejection(&mut self, batch: &CommitBatch, now: Time) {
        if batch.changes() > 1 {
            for (id, _) in batch.added.iter().rev() {
                self.commit_queue.added.push_front(*id);
            }
            self.put_back(batch);
            self.commit_queue.max_changes = Some(batch.changes() / 2);
            return;
        }
        self.commit_queue.in_flight = false;
        for (id, _) in &batch.added {
            self.give_up_record(*id);
        }
        for (id, part, _) in &batch.progress {
            tracing::error!(request = %id, part,
                "workflow failed, the store rejects the record of its progress; stopping all runs");
            self.commit_queue.assigned.extend(&batch.starts);
            if let Some(active) = self.active.get_mut(id) {
                active.failed = true;
            }
            self.stop_all_runs(*id, now);
            self.commit_queue.mark_ended(*id);
        }
        for (id, status) in &batch.ended {
            tracing::error!(request = %id, state = ?status.state,
                "the store rejects the record of an ended workflow; its end is not recorded");
            self.set_ended_without_record(*id, status.clone());
        }
        for (part, workers) in &batch.workers {
            tracing::error!(
                part,
                workers = workers.len(),
                "the store rejects a part of the list of workers; using these workers without a record"
            );
        }
        for (name, assignment) in &batch.assignments {
            tracing::error!(worker = %name, holder = assignment.holder.0,
                "the store rejects the assignment of a worker; it stays where it is");
            self.give_up_assignment(name);
        }
        for (id, part) in &batch.obsolete {
            tracing::error!(request = %id, part,
                "the store rejects the removal of a part of an ended workflow's progress; it stays");
        }
    }

    /// Gives up a new workflow whose record the store rejects.
    fn give_up_record(&mut self, id: WorkflowId) {
        let tokens = self.commit_queue.submitters.remove(&id).unwrap_or_default();
        let active = self.active.get(&id);
        let from_inbox = active.is_some_and(|active| active.from_inbox);
        let account = active.and_then(|active| active.spec.account.clone());
        tracing::error!(request = %id, from_inbox,
            "the store rejects the record of a new workflow; it will never run");
        if from_inbox {
            // Its caller was told that it is accepted, so it ends visibly and without a record.
            let state = WorkflowState::Failed;
            self.set_ended_without_record(id, WorkflowStatus { state, account });
            self.effects
                .extend(tokens.into_iter().map(Effect::Accepted));
        } else {
            self.refuse(id, tokens);
        }
    }

    /// Puts the changes of a batch back that was not committed, except for new workflows.
    fn put_back(&mut self, batch: &CommitBatch) {
        self.commit_queue.in_flight = false;
        for (id, part, _) in &batch.progress {
            self.commit_queue.mark_changed(*id, *part);
        }
        self.commit_queue.assigned.extend(&batch.starts);
        for (id, _) in &batch.ended {
            self.commit_queue.mark_ended(*id);
        }
        self.commit_queue.obsolete.extend(&batch.obsolete);
        for (part, _) in &batch.workers {
            self.commit_queue.workers_changed(*part);
        }
        for (name, assignment) in &batch.assignments {
            let queued = self.commit_queue.assignments.entry(name.clone());
            queued.or_insert(*assignment);
        }
    }

    fn handle_recorded(&mut self, id: WorkflowId, existing: &[(WorkflowId, WorkflowRecord)]) {
        let existing = existing.iter().find(|(existing, _)| *existing == id);
        if let Some((_, record)) = existing
            && self.is_of_other_account(id, record.account())
        {
            self.give_up_to_other_account(id, record);
            return;
        }
        if let Some((_, record)) = existing
            && let Some(end) = RecordedEnd::by_read(id, record)
            && let Some(status) = record.ended()
        {
            self.set_ended(&end, status);
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
