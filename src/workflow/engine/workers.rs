//! Workers that are listed, unlisted, restarted or unresponsive.

use std::time::Duration;

use super::Engine;
use crate::model::{Time, WorkerName};
use crate::port::executor::{PollResponse, WorkerListing};
use crate::workflow::crash::LostRun;
use crate::workflow::fleet::{Worker, WorkerKey};

/// How long an unlisted worker without tasks is kept, so that its state survives an outage after
/// which the platform lists it again within two seconds.
const UNLISTED_RETENTION: Duration = Duration::from_secs(10);

impl Engine {
    /// Adds or updates a worker from the platform's list.
    pub fn set_worker(&mut self, listing: WorkerListing, now: Time) {
        let Some(key) = self.fleet.key(&listing.name) else {
            tracing::info!(worker = %listing.name, boot = listing.boot,
                "worker added from the platform's list; polling it");
            let key = self.fleet.insert(Worker::new(listing, true, now));
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
            let key = self.fleet.insert_in(part, Worker::new(listing, false, now));
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
    fn mark_stored_part(&mut self, key: WorkerKey) {
        if let Some(worker) = self.fleet.get(key) {
            self.commit_queue.workers_changed(worker.part);
        }
    }

    /// Marks a worker as unlisted by the platform; no new task starts on it.
    pub fn unlist_worker(&mut self, name: &WorkerName) {
        let key = self.fleet.key(name);
        if let Some(worker) = key.and_then(|key| self.fleet.get_mut(key)) {
            tracing::info!(worker = %name, runs = worker.runs.len(),
                "worker is no longer listed; starting no new tasks on it");
            worker.listed = false;
        }
    }

    /// Marks all workers except these as unlisted.
    pub fn retain_workers(&mut self, names: &[WorkerName]) {
        let listed = self.fleet.iter().filter(|(_, worker)| worker.listed);
        let listed = listed.map(|(_, worker)| worker.listing.name.clone());
        let unlisted: Vec<WorkerName> = listed.filter(|name| !names.contains(name)).collect();
        for name in &unlisted {
            self.unlist_worker(name);
        }
    }

    /// Handles a restart of the worker process; the runs of the old process are lost.
    pub(super) fn worker_restarted(&mut self, key: WorkerKey, response: &PollResponse, now: Time) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let process = worker.process();
        let lost = worker.reset_for_process(response.boot, now);
        tracing::info!(
            worker = %worker.listing.name,
            boot = response.boot,
            earlier_boot = process.1,
            lost = lost.len(),
            token = self.fencing_token,
            "worker process restarted; requeuing the tasks of its lost runs"
        );
        // A start request may have reached the new process.
        let is_on_new_process = |lost: &LostRun| response.names_run(lost.task, lost.run);
        let mut crashed = lost.clone();
        crashed.retain(|lost| !is_on_new_process(lost));
        self.blame_crash(&process, &crashed, now);
        self.requeue_lost_runs(key, &lost, "its process was replaced", now);
    }

    fn requeue_lost_runs(&mut self, key: WorkerKey, lost: &[LostRun], evidence: &str, now: Time) {
        for LostRun { task, run, .. } in lost {
            let on_worker = matches!(
                self.task_status(*task),
                Some(crate::workflow::active::TaskStatus::Placed(at, _)) if at == key
            );
            if on_worker {
                tracing::warn!(request = %task.step.workflow, task = %task, run,
                    worker = self.worker_name(key), evidence, token = self.fencing_token,
                    "run lost by a restart or an expired lease of its worker; requeuing task");
                self.requeue_task(*task, None, now);
            }
        }
        self.placement_due = true;
    }

    /// Requeues the runs of workers that were unresponsive until their leases expired, and removes
    /// unlisted workers.
    pub(super) fn drop_expired(&mut self, now: Time) {
        for key in self.fleet.keys() {
            let Some(worker) = self.fleet.get_mut(key) else {
                continue;
            };
            let expired = worker.is_unresponsive() && now > worker.lease_expires_at;
            if expired && !worker.runs.is_empty() {
                let process = worker.process();
                let lost = worker.take_lost_runs();
                worker.knows_fencing_token = false;
                // A worker that was about to leave has not crashed.
                if !worker.listing.draining {
                    self.blame_crash(&process, &lost, now);
                }
                self.requeue_lost_runs(key, &lost, "its lease has expired", now);
                continue;
            }
            let idle = worker.runs.is_empty() && worker.unknown_runs == 0;
            let outdated = now.since(worker.last_poll) > UNLISTED_RETENTION;
            if !worker.listed && idle && expired && outdated && self.recovery.is_none() {
                self.mark_stored_part(key);
                self.fleet.remove(key);
            }
        }
    }
}
