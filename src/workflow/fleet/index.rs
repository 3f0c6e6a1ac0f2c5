//! The workers by key and by name, and the parts of their stored list.

use std::collections::HashMap;

use slotmap::SlotMap;

use super::{Worker, WorkerKey};
use crate::model::{ServiceName, WorkerName, ZoneName};
use crate::port::executor::WorkerListing;

/// The maximum number of workers in one part of the stored list. With names of 200 bytes, a part
/// takes up to 33 KB.
const WORKERS_PER_PART: usize = 128;

/// The workers, by key and by name.
#[derive(Clone, Debug, Default)]
pub(in crate::workflow) struct Fleet {
    workers: SlotMap<WorkerKey, Worker>,
    names: HashMap<WorkerName, WorkerKey>,
    /// The number of workers in each part of the stored list.
    part_sizes: Vec<usize>,
}

impl Fleet {
    /// Adds a worker, in the first part of the stored list that has room.
    pub(in crate::workflow) fn insert(&mut self, worker: Worker) -> WorkerKey {
        let mut sizes = self.part_sizes.iter();
        let part = sizes.position(|size| *size < WORKERS_PER_PART);
        let part = part.unwrap_or(self.part_sizes.len());
        self.insert_in(u32::try_from(part).unwrap_or(u32::MAX), worker)
    }

    /// Adds a worker in `part` of the stored list, or in another one if that part is full.
    pub(in crate::workflow) fn insert_in(&mut self, part: u32, mut worker: Worker) -> WorkerKey {
        let index = part as usize;
        if self.part_sizes.len() <= index {
            self.part_sizes.resize(index + 1, 0);
        }
        if self.part_sizes[index] >= WORKERS_PER_PART {
            return self.insert(worker);
        }
        self.part_sizes[index] += 1;
        worker.part = part;
        let name = worker.listing.name.clone();
        let key = self.workers.insert(worker);
        self.names.insert(name, key);
        key
    }

    pub(in crate::workflow) fn remove(&mut self, key: WorkerKey) {
        if let Some(worker) = self.workers.remove(key) {
            self.names.remove(&worker.listing.name);
            if let Some(size) = self.part_sizes.get_mut(worker.part as usize) {
                *size -= 1;
            }
        }
    }

    /// The workers in a part of the stored list, without what is not needed for a worker that gets
    /// no new tasks.
    pub(in crate::workflow) fn stored_part(&self, part: u32) -> Vec<WorkerListing> {
        let workers = self.workers.values().filter(|worker| worker.part == part);
        let stored = workers.map(|worker| WorkerListing {
            service: ServiceName::new(""),
            zone: ZoneName::new(""),
            labels: Vec::new(),
            rack: None,
            ..worker.listing.clone()
        });
        stored.collect()
    }

    pub(in crate::workflow) fn key(&self, name: &WorkerName) -> Option<WorkerKey> {
        self.names.get(name).copied()
    }

    pub(in crate::workflow) fn get(&self, key: WorkerKey) -> Option<&Worker> {
        self.workers.get(key)
    }

    pub(in crate::workflow) fn get_mut(&mut self, key: WorkerKey) -> Option<&mut Worker> {
        self.workers.get_mut(key)
    }

    pub(in crate::workflow) fn iter(&self) -> impl Iterator<Item = (WorkerKey, &Worker)> {
        self.workers.iter()
    }

    pub(in crate::workflow) fn iter_mut(
        &mut self,
    ) -> impl Iterator<Item = (WorkerKey, &mut Worker)> {
        self.workers.iter_mut()
    }

    pub(in crate::workflow) fn keys(&self) -> Vec<WorkerKey> {
        self.workers.keys().collect()
    }
}
