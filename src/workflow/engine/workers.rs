//! Workers that come, go, start again, and fall silent.

use std::time::Duration;

use super::Engine;
use crate::model::{Time, WorkerName};
use crate::port::executor::WorkerListing;
use crate::workflow::fleet::{Worker, WorkerKey};
use crate::workflow::spec::TaskId;

/// How long an unlisted worker without tasks is remembered, so that one that comes back within the
/// platform's two seconds after an outage keeps its place.
const FORGET_UNLISTED: Duration = Duration::from_secs(10);

impl Engine {
    /// Takes up what the platform lists about a worker.
    pub fn set_worker(&mut self, listing: WorkerListing, now: Time) {
        let Some(key) = self.fleet.key(&listing.name) else {
            tracing::info!(worker = %listing.name, boot = listing.boot, "a worker is listed");
            self.fleet.insert(Worker::new(listing, true, now));
            self.journal.workers_changed();
            return;
        };
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        if listing.boot < worker.listing.boot {
            return;
        }
        if listing.draining != worker.listing.draining {
            tracing::info!(worker = %listing.name, draining = listing.draining, "a worker's state changed");
        }
        let moved = listing.address != worker.listing.address;
        let reborn = listing.boot > worker.listing.boot;
        worker.listed = true;
        worker.listing = WorkerListing {
            boot: worker.listing.boot,
            ..listing
        };
        if moved {
            self.journal.workers_changed();
        }
        if reborn {
            // Its own lists tell what it runs: orders sent before now may have reached the new process.
            worker.introduced = false;
            worker.doubted_at = Some(now);
            worker.looking = false;
            worker.next_look = Some(now);
        }
        self.place_due = true;
    }

    /// Takes up a worker that an earlier owner used, and that the platform may no longer list.
    pub fn restore_worker(&mut self, listing: WorkerListing, now: Time) {
        if self.fleet.key(&listing.name).is_none() {
            self.fleet.insert(Worker::new(listing, false, now));
        }
    }

    /// Notes that the platform no longer lists a worker: nothing new starts there.
    pub fn unlist_worker(&mut self, name: &WorkerName) {
        let key = self.fleet.key(name);
        if let Some(worker) = key.and_then(|key| self.fleet.get_mut(key)) {
            tracing::info!(worker = %name, runs = worker.runs.len(), "a worker is no longer listed");
            worker.listed = false;
        }
    }

    /// Notes that the platform lists no workers but these.
    pub fn retain_workers(&mut self, names: &[WorkerName]) {
        let listed = self.fleet.iter().filter(|(_, worker)| worker.listed);
        let gone = listed.map(|(_, worker)| worker.listing.name.clone());
        let gone: Vec<WorkerName> = gone.filter(|name| !names.contains(name)).collect();
        for name in &gone {
            self.unlist_worker(name);
        }
    }

    /// Notes that another process runs on a worker; what the one before ran is gone.
    pub(super) fn worker_reborn(&mut self, key: WorkerKey, boot: u64, now: Time) {
        let Some(worker) = self.fleet.get_mut(key) else {
            return;
        };
        let lost = worker.reborn(boot, now);
        tracing::info!(
            worker = %worker.listing.name,
            boot,
            lost = lost.len(),
            "a worker has started again"
        );
        self.runs_lost(key, &lost, now);
    }

    fn runs_lost(&mut self, key: WorkerKey, lost: &[TaskId], now: Time) {
        for task in lost {
            let on_worker = matches!(
                self.place_of(*task),
                Some(crate::workflow::active::Place::On(at, _)) if at == key
            );
            if on_worker {
                tracing::warn!(request = %task.step.workflow, task = %task,
                    worker = self.worker_name(key), "a run was lost with its worker");
                self.put_back(*task, None, now);
            }
        }
        self.place_due = true;
    }

    /// Gives up the runs of workers that have been silent beyond their leases, and forgets workers
    /// that are gone.
    pub(super) fn drop_lapsed(&mut self, now: Time) {
        for key in self.fleet.keys() {
            let Some(worker) = self.fleet.get_mut(key) else {
                continue;
            };
            let lapsed = worker.is_failing() && now > worker.lease_over;
            if lapsed && !worker.runs.is_empty() {
                let lost: Vec<TaskId> = worker.runs.keys().copied().collect();
                for task in &lost {
                    worker.release(*task);
                }
                worker.introduced = false;
                self.runs_lost(key, &lost, now);
                continue;
            }
            let idle = worker.runs.is_empty() && worker.unknown_runs == 0;
            let silent = now.since(worker.last_look) > FORGET_UNLISTED;
            if !worker.listed && idle && lapsed && silent && self.recovery.is_none() {
                self.fleet.remove(key);
                self.journal.workers_changed();
            }
        }
    }
}
