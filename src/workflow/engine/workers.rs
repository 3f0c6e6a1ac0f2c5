//! Workers that are listed, unlisted, restarted or unresponsive.

use std::collections::HashSet;
use std::time::Duration;

use super::Engine;
use super::polling::run_list;
use crate::model::{Time, WorkerName};
use crate::port::executor::{PollResponse, WorkerListing};
use crate::workflow::active::TaskStatus;
use crate::workflow::crash::LostRun;
use crate::workflow::ended::Ended;
use crate::workflow::fleet::WorkerKey;

/// How long an unlisted worker without tasks is kept, so that its state survives an outage after
/// which the platform lists it again within two seconds.
const UNLISTED_RETENTION: Duration = Duration::from_secs(10);

impl Engine {
    /// Adds or updates a worker from the platform's list.
    pub fn set_worker(&mut self, listing: WorkerListing, now: Time) {
        let Some(key) = self.fleet.key(&listing.name) else {
            tracing::info!(worker = %listing.name, boot = listing.boot,
                "worker added from the platform's list; polling it");
            let mut worker = self.new_worker(listing, true, now);
            if let Some(recovery) = &self.recovery {
                worker.inherit_leases(recovery.granted_until, recovery.all_leases_expire_at);
            }
            let key = self.fleet.insert(worker);
            self.mark_stored_part(key);
            return;
        };
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        if listing.boot < worker.listing.boot && worker.process_confirmed {
            return;
        }
        if listing.draining != worker.listing.draining {
            tracing::info!(worker = %listing.name, draining = listing.draining,
                "draining state of worker changed");
        }
        let address_changed = listing.address != worker.listing.address;
        let restarted = listing.boot > worker.listing.boot;
        // Only the worker itself tells which process runs; until it has, the list may be corrected.
        let boot = if worker.process_confirmed {
            worker.listing.boot
        } else {
            listing.boot
        };
        worker.listed = true;
        worker.listing = WorkerListing { boot, ..listing };
        if restarted {
            // Requests sent before now may have reached the new process. Its next poll response
            // tells which runs are active.
            worker.knows_fencing_token = false;
            worker.process_unconfirmed_since = Some(now);
            worker.poll_in_flight = false;
            worker.next_poll = Some(now);
        }
        if address_changed {
            self.mark_stored_part(key);
        }
        self.placement_due = true;
    }

    /// Restores the workers of a stored part of the list, which an earlier owner used and which the
    /// platform may no longer list.
    pub fn restore_workers(&mut self, part: u32, workers: Vec<WorkerListing>, now: Time) {
        for listing in workers {
            if self.fleet.key(&listing.name).is_some() {
                continue;
            }
            let assignments = &self.exchange.assignments;
            if !assignments.holds(&listing.name, assignments.own()) {
                // Assigned to another shard after the part was stored.
                self.commit_queue.workers_changed(part);
                continue;
            }
            let worker = self.new_worker(listing, false, now);
            let key = self.fleet.insert_in(part, worker);
            let moved = self
                .fleet
                .get(key)
                .is_some_and(|worker| worker.part != part);
            if moved {
                self.mark_stored_part(key);
                self.commit_queue.workers_changed(part);
            }
        }
    }

    /// Marks the part of the stored list that holds the worker as changed.
    pub(super) fn mark_stored_part(&mut self, key: WorkerKey) {
        if let Some(worker) = self.fleet.get(key) {
            self.commit_queue.workers_changed(worker.part);
        }
    }

    /// Marks a worker as unlisted by the platform; no new task starts on it.
    pub fn unlist_worker(&mut self, name: &WorkerName) {
        self.unlist_elsewhere(name);
        let key = self.fleet.key(name);
        if let Some(worker) = key.and_then(|key| self.fleet.get_mut(key)) {
            tracing::info!(worker = %name, runs = worker.runs.len(),
                "worker is no longer listed; starting no new tasks on it");
            worker.listed = false;
        }
    }

    /// Marks all workers except these as unlisted.
    pub fn retain_workers(&mut self, names: &[WorkerName]) {
        let names: HashSet<&WorkerName> = names.iter().collect();
        self.retain_elsewhere(|name| names.contains(name));
        let listed = self.fleet.iter().filter(|(_, worker)| worker.listed);
        let listed = listed.map(|(_, worker)| worker.listing.name.clone());
        let unlisted: Vec<WorkerName> = listed.filter(|name| !names.contains(name)).collect();
        for name in &unlisted {
            self.unlist_worker(name);
        }
    }

    /// Handles the response of a worker process that has replaced the known one. `sent_at` is when the
    /// poll was sent.
    pub(super) fn worker_restarted(
        &mut self,
        key: WorkerKey,
        sent_at: Time,
        response: &PollResponse,
        now: Time,
    ) {
        let max_lease_ms = self.cfg.max_lease_ms;
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let process = worker.process();
        let list = run_list(response, sent_at);
        let is_named = |task, run| response.names_run(task, run);
        let lost = worker.reset_for_process(&list, max_lease_ms, is_named, now);
        tracing::info!(
            worker = %worker.listing.name,
            boot = response.boot,
            earlier_boot = process.1,
            lost = lost.len(),
            kept = worker.runs.len(),
            token = self.fencing_token,
            "worker process restarted; requeuing the tasks of its lost runs"
        );
        let crashed: Vec<LostRun> = lost.iter().map(|(lost, _)| *lost).collect();
        self.blame_crash(&process, &crashed, now);
        self.requeue_lost_runs(key, &lost, now);
    }

    fn requeue_lost_runs(&mut self, key: WorkerKey, lost: &[(LostRun, Ended)], now: Time) {
        for (LostRun { task, run, .. }, proof) in lost {
            if self.task_status(*task) == Some(TaskStatus::Placed(key, *run)) {
                tracing::warn!(request = %task.step.workflow, task = %task, run,
                    worker = self.worker_name(key), evidence = %proof.evidence(),
                    token = self.fencing_token,
                    "run lost by a restart or an expired lease of its worker; requeuing task");
                self.requeue_task(*task, None, now, *proof);
            }
        }
        self.placement_due = true;
    }

    /// Requeues the runs of workers that were unresponsive until their leases expired, and removes
    /// unlisted workers.
    pub(super) fn drop_expired(&mut self, now: Time) {
        let max_lease_ms = self.cfg.max_lease_ms;
        for key in self.fleet.keys() {
            let Some(worker) = self.fleet.get_mut(key) else {
                continue;
            };
            if !worker.is_unresponsive() {
                continue;
            }
            let process = worker.process();
            let is_draining = worker.listing.draining;
            let lost = worker.take_expired_runs(max_lease_ms, now);
            if now > worker.lease_ends(max_lease_ms).any_process {
                worker.unadopted.clear();
            }
            if !lost.is_empty() {
                let has_lapsed = lost.iter().any(|(lost, _)| lost.may_have_started);
                worker.knows_fencing_token &= !has_lapsed;
                let crashed: Vec<LostRun> = lost.iter().map(|(lost, _)| *lost).collect();
                // A worker that was about to leave has not crashed.
                if !is_draining {
                    self.blame_crash(&process, &crashed, now);
                }
                self.requeue_lost_runs(key, &lost, now);
                continue;
            }
            let expired = now > worker.lease_expires_at;
            let idle = worker.runs.is_empty() && worker.unknown_runs == 0;
            let outdated = now.since(worker.last_poll) > UNLISTED_RETENTION;
            // An assignment that is being recorded still concerns this worker.
            let stays = worker.departure.is_none();
            if !worker.listed && idle && expired && outdated && stays && self.recovery.is_none() {
                self.mark_stored_part(key);
                self.fleet.remove(key);
            }
        }
    }
}
