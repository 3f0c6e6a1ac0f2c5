//! Submissions, cancellations, workflows loaded from the store, recovery, and occurrences.

use std::collections::{BTreeSet, HashMap};
use std::time::Duration;

use super::{Effect, Engine, Recovery, ReplyToken};
use crate::model::Time;
use crate::workflow::active::ActiveWorkflow;
use crate::workflow::ended::{Ended, Evidence, MAX_DELIVERY, RunList};
use crate::workflow::fleet::{WorkerKey, as_millis};
use crate::workflow::record::{PlacedRun, WorkflowProgress, WorkflowRecord, WorkflowStatus};
use crate::workflow::recorded::RecordedEnd;
use crate::workflow::spec::{StepId, WorkflowId, WorkflowSpec};
use crate::workflow::tenure::{Predecessor, with_clock_margin};
use crate::workflow::wall_clock::WallClock;

/// The immediate status of a submission.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SubmitStatus {
    /// The workflow is already recorded.
    Recorded,
    /// The reply follows as an effect once the workflow is recorded or refused.
    AwaitingCommit,
}

/// The immediate status of a cancellation.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelStatus {
    /// The workflow has ended, or its cancellation is already recorded.
    Ended,
    /// The reply follows as an effect once the cancellation is recorded.
    AwaitingCommit,
    /// The workflow is unknown.
    Unknown,
}

impl Engine {
    /// Submits a workflow. A workflow that is already known is not changed.
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
            self.commit_queue.await_commit(id, token);
            return SubmitStatus::AwaitingCommit;
        }
        self.add_active(id, spec, &WorkflowProgress::default(), now, now);
        if self.cfg.overload_control && self.refuse_overload(id, token, now) {
            return SubmitStatus::AwaitingCommit;
        }
        self.commit_queue.add(id, Some(token));
        // Permits are requested while the record is being committed.
        self.enqueue_steps(id);
        SubmitStatus::AwaitingCommit
    }

    /// Submits a workflow from an inbox, which another VM has accepted and stored. Such a workflow
    /// is not refused. Its inbox entry is needed until this returns [`SubmitStatus::Recorded`].
    pub fn submit_from_inbox(
        &mut self,
        id: WorkflowId,
        spec: WorkflowSpec,
        now: Time,
    ) -> SubmitStatus {
        let known = self.known_account(id).flatten();
        let is_other = known.is_some_and(|known| spec.account.as_ref() != Some(known));
        if is_other {
            // The VM that wrote the entry could not see the workflow of the other account.
            tracing::warn!(request = %id, account = ?spec.account, rule = "workflow id",
                "an inbox entry has the id of another account's workflow; it will not run");
        }
        if self.ended.contains_key(&id) {
            return SubmitStatus::Recorded;
        }
        if let Some(active) = self.active.get_mut(&id) {
            active.from_inbox |= !is_other;
            if active.recorded {
                return SubmitStatus::Recorded;
            }
            return SubmitStatus::AwaitingCommit;
        }
        tracing::info!(request = %id, "workflow found in an inbox; committing its record");
        self.add_active(id, spec, &WorkflowProgress::default(), now, now);
        if let Some(active) = self.active.get_mut(&id) {
            active.from_inbox = true;
        }
        self.commit_queue.add(id, None);
        self.enqueue_steps(id);
        SubmitStatus::AwaitingCommit
    }

    /// Cancels a workflow; no task of it starts from now on. `token` gets its reply once the
    /// cancellation is recorded.
    pub fn cancel(&mut self, id: WorkflowId, token: Option<ReplyToken>, now: Time) -> CancelStatus {
        if self.ended.contains_key(&id) {
            return CancelStatus::Ended;
        }
        let Some(active) = self.active.get_mut(&id) else {
            return CancelStatus::Unknown;
        };
        if active.final_state().is_none() {
            active.cancelled = true;
            self.stop_all_runs(id, now);
        }
        self.commit_queue.mark_ended(id);
        if let Some(token) = token {
            self.commit_queue.await_cancellation(id, token);
        }
        CancelStatus::AwaitingCommit
    }

    /// Refuses the submissions whose record has not been sent to the store, while the store is
    /// failing.
    pub fn refuse_unsent_submissions(&mut self) {
        for (id, tokens) in self.commit_queue.take_unsent() {
            self.refuse(id, tokens);
        }
    }

    /// Refuses a workflow, unless it is recorded or another VM has accepted it in the meantime.
    pub(super) fn refuse(&mut self, id: WorkflowId, tokens: Vec<ReplyToken>) {
        let recorded = self.active.get(&id).is_some_and(|active| active.recorded);
        if recorded || self.ended.contains_key(&id) {
            self.effects
                .extend(tokens.into_iter().map(Effect::Accepted));
            return;
        }
        if self.active.get(&id).is_some_and(|active| active.from_inbox) {
            self.commit_queue.add(id, None);
            self.effects
                .extend(tokens.into_iter().map(Effect::Accepted));
            return;
        }
        self.dequeue_steps(id);
        self.refund_rate(id);
        self.active.remove(&id);
        self.effects.extend(tokens.into_iter().map(Effect::Refused));
    }

    /// Loads a workflow from its record and the parts of its progress in the store.
    ///
    /// Its age counts from when an earlier owner accepted it, so that the order of waiting steps stays.
    /// That is found with `wall_clock`, since the times of processes cannot be compared. A workflow whose
    /// record has no time counts as accepted now.
    pub fn load_workflow(
        &mut self,
        id: WorkflowId,
        record: WorkflowRecord,
        parts: Vec<(u64, WorkflowProgress)>,
        wall_clock: WallClock,
    ) {
        match record {
            WorkflowRecord::Active {
                spec,
                accepted_unix_ms,
            } => {
                let now = wall_clock.at;
                let accepted_at = accepted_unix_ms.map_or(now, |ms| wall_clock.time_of(ms));
                self.load_active(id, spec, parts, accepted_at, now);
            }
            ended @ (WorkflowRecord::Ended(_) | WorkflowRecord::EndedOf(..)) => {
                if let Some(status) = ended.ended()
                    && !self.active.contains_key(&id)
                {
                    self.ended.insert(id, status);
                }
                let Some(end) = RecordedEnd::by_read(id, &ended) else {
                    return;
                };
                let parts: Vec<u64> = parts.iter().map(|(part, _)| *part).collect();
                self.commit_queue.remove_parts(&end, &parts);
            }
        }
    }

    fn load_active(
        &mut self,
        id: WorkflowId,
        spec: WorkflowSpec,
        parts: Vec<(u64, WorkflowProgress)>,
        accepted_at: Time,
        now: Time,
    ) {
        if self.ended.contains_key(&id) {
            return;
        }
        if let Some(active) = self.active.get_mut(&id) {
            active.recorded = true;
            return;
        }
        let stored_parts: BTreeSet<u64> = parts.iter().map(|(part, _)| *part).collect();
        let progress = &WorkflowProgress::merge(parts.into_iter().map(|(_, part)| part));
        self.add_active(id, spec, progress, accepted_at, now);
        if let Some(active) = self.active.get_mut(&id) {
            active.recorded = true;
            // A record of an earlier program holds the progress of all tasks.
            let moved = active.parts_of(progress);
            for part in moved.difference(&stored_parts) {
                self.commit_queue.mark_changed(id, *part);
            }
            active.stored_parts = stored_parts;
            active.cancelled = progress.cancelled;
            active.failed = progress.failed;
            let crashes = progress.steps.iter().flat_map(|(_, step)| &step.crashes);
            let workers = crashes.map(|crash| crash.worker.clone());
            self.crashed_workers.extend(workers);
            if active.final_state().is_some() {
                self.commit_queue.mark_ended(id);
            }
        }
        self.enqueue_steps(id);
    }

    /// Begins the recovery of the runs that earlier owners started. Must be called before workflows are
    /// loaded.
    pub fn begin_recovery(&mut self, predecessor: &Predecessor) {
        let granted_until = predecessor.ends_at;
        let lease = Duration::from_millis(self.cfg.lease_ms);
        let max_lease = Duration::from_millis(self.cfg.max_lease_ms);
        let leases_expire_at = granted_until + with_clock_margin(lease);
        let all_leases_expire_at = granted_until + MAX_DELIVERY + with_clock_margin(max_lease);
        for (_, worker) in self.fleet.iter_mut() {
            let expires_at = if predecessor.long_leases.include(&worker.listing.name) {
                all_leases_expire_at
            } else {
                leases_expire_at
            };
            worker.inherit_leases(granted_until, expires_at);
        }
        self.recovery = Some(Recovery {
            pending_workers: self.fleet.keys().into_iter().collect(),
            granted_until,
            all_leases_expire_at,
        });
    }

    /// Whether the recovery has ended.
    pub fn has_recovered(&self) -> bool {
        self.recovery.is_none()
    }

    /// Marks the worker as recovered if all runs on it are known.
    pub(super) fn worker_recovered(&mut self, key: WorkerKey, list: &RunList, now: Time) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        if !list.is_complete || !recovery.pending_workers.remove(&key) {
            return;
        }
        if let Some(worker) = self.fleet.get(key) {
            let name = worker.listing.name.clone();
            let ended = |run: &PlacedRun| {
                let is_on_worker = run.worker == name;
                is_on_worker.then(|| Ended::by_fenced_list(run.boot, list))?
            };
            self.clear_unverified(ended, now);
            self.placement_due = true;
        }
    }

    /// Clears the mark of tasks that an earlier owner may have started if `ended` proves that their
    /// runs have ended. Those of a process that is gone or silent count as crashed.
    fn clear_unverified(&mut self, ended: impl Fn(&PlacedRun) -> Option<Ended>, now: Time) {
        let mut cleared = Vec::new();
        for (id, active) in &mut self.active {
            for ((occurrence, step), state) in &mut active.steps {
                let step = StepId {
                    workflow: *id,
                    occurrence: *occurrence,
                    step: *step,
                };
                for task in &mut state.tasks {
                    if let Some(proof) = task.unverified.as_ref().and_then(&ended)
                        && let Some(run) = task.unverified.take()
                    {
                        cleared.push((step, run, proof));
                    }
                }
            }
        }
        for (step, run, proof) in cleared {
            tracing::info!(request = %step.workflow, task = %step.task(run.index), run = run.run,
                worker = %run.worker, boot = run.boot, evidence = %proof.evidence(),
                token = self.fencing_token,
                "a run that an earlier owner placed has ended; its task may start again");
            if proof.evidence() == Evidence::Absent {
                continue;
            }
            let worker = self.fleet.key(&run.worker);
            let worker = worker.and_then(|key| self.fleet.get(key));
            if worker.is_some_and(|worker| worker.listing.draining) {
                // The worker has left and did not crash.
                continue;
            }
            self.add_crash(step, run, now);
        }
    }

    fn has_unverified_run(&self) -> bool {
        let steps = self
            .active
            .values()
            .flat_map(|active| active.steps.values());
        let mut tasks = steps.flat_map(|state| &state.tasks);
        tasks.any(|task| task.unverified.is_some())
    }

    /// Gives up the pending workers whose leases have expired, and ends the recovery if none is left.
    pub(super) fn end_recovery(&mut self, now: Time) {
        let Some(recovery) = &mut self.recovery else {
            return;
        };
        let all_leases_expire_at = recovery.all_leases_expire_at;
        let mut silent = HashMap::new();
        recovery.pending_workers.retain(|key| {
            let Some(worker) = self.fleet.get(*key) else {
                return false;
            };
            let expires_at = worker.lease_expires_at;
            if now > expires_at {
                silent.insert(worker.listing.name.clone(), expires_at);
            }
            now <= expires_at
        });
        let is_complete = recovery.pending_workers.is_empty();
        if !silent.is_empty() {
            tracing::info!(
                unanswered = silent.len(),
                "workers have not responded to a new owner until their leases expired"
            );
            let ended = |run: &PlacedRun| Ended::by_lease(*silent.get(&run.worker)?, now);
            self.clear_unverified(ended, now);
            self.placement_due = true;
        }
        if !is_complete || (now <= all_leases_expire_at && self.has_unverified_run()) {
            return;
        }
        tracing::info!(
            workflows = self.active.len(),
            time_left_ms = as_millis(all_leases_expire_at.since(now)),
            "recovery after takeover is complete; placing the tasks that do not run"
        );
        self.recovery = None;
        self.clear_unverified(|_| Ended::by_lease(all_leases_expire_at, now), now);
        self.stop_incomplete_gangs(now);
        self.placement_due = true;
    }

    /// Stops the gangs of which only some members run because their owner was lost while it started
    /// them.
    fn stop_incomplete_gangs(&mut self, now: Time) {
        let mut incomplete = Vec::new();
        for (id, active) in &self.active {
            for ((occurrence, step), state) in &active.steps {
                let spec = active.spec.steps.get(*step as usize);
                let placed = state.placed();
                let is_incomplete = !placed.is_empty() && state.waiting().next().is_some();
                if is_incomplete && spec.is_some_and(|spec| spec.gang) {
                    let step = StepId {
                        workflow: *id,
                        occurrence: *occurrence,
                        step: *step,
                    };
                    incomplete.extend(placed.into_iter().map(|member| (step, member)));
                }
            }
        }
        for (step, (index, worker, run)) in incomplete {
            self.stop_run(worker, step.task(index), run, now);
        }
    }

    fn add_active(
        &mut self,
        id: WorkflowId,
        spec: WorkflowSpec,
        progress: &WorkflowProgress,
        accepted_at: Time,
        now: Time,
    ) {
        let policy = self.queues.get(&spec.queue.name).unwrap_or(&spec.queue);
        let policy = policy.clone();
        let account = spec.account.as_ref().map(|name| self.accounts.key(name));
        let has_begun = !progress.steps.is_empty();
        let critical_path_ms = if self.cfg.overload_control {
            spec.critical_path_by(|step| {
                let run_time = self.run_times.predict(&policy.name, step.estimate_ms);
                run_time.expected_ms
            })
        } else {
            spec.critical_path_ms()
        };
        for step in &spec.steps {
            self.run_times.record_size(&policy.name, step.size());
        }
        let mut active = ActiveWorkflow::new(spec, &policy, critical_path_ms, accepted_at);
        active.account = account;
        active.guaranteed_at = self.rate_submission(account, has_begun, now);
        match active.spec.recurrence {
            None => active.begin_occurrence(progress, now),
            Some(_) => {
                // Occurrences with progress have begun under an earlier owner.
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

    /// Removes all steps of a workflow from the placement queue.
    pub(super) fn dequeue_steps(&mut self, id: WorkflowId) {
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

    /// Begins the due occurrences of recurring workflows.
    pub(super) fn begin_occurrences(&mut self, now: Time, unix_ms: u64) {
        let mut begun = Vec::new();
        for (id, active) in &mut self.active {
            let Some(recurrence) = active.spec.recurrence else {
                continue;
            };
            while active.recorded && active.occurrences < recurrence.count && !active.is_final() {
                let offset_ms = u64::from(active.occurrences) * recurrence.interval_ms;
                if recurrence.first_unix_ms + offset_ms > unix_ms {
                    break;
                }
                active.begin_occurrence(&WorkflowProgress::default(), now);
                begun.push(*id);
            }
        }
        for id in begun {
            self.enqueue_steps(id);
        }
    }

    /// Sets the recorded final state of a workflow, whose progress is not needed any more. The first part
    /// is removed with the record of the end.
    pub(super) fn set_ended(&mut self, end: &RecordedEnd, status: WorkflowStatus) {
        let active = self.active.get(&end.id());
        let stored = active.into_iter().flat_map(|active| &active.stored_parts);
        let further: Vec<u64> = stored.copied().filter(|part| *part > 0).collect();
        self.commit_queue.remove_parts(end, &further);
        self.set_ended_without_record(end.id(), status);
    }

    /// Sets the final state of a workflow whose end the store does not record. What it has recorded of
    /// its progress stays.
    pub(super) fn set_ended_without_record(&mut self, id: WorkflowId, status: WorkflowStatus) {
        self.dequeue_steps(id);
        self.refund_if_excess(id);
        self.active.remove(&id);
        self.ended.insert(id, status);
    }
}
