//! The partition of workflows and workers into shards.
//!
//! A shard is a subset of the workflows together with a subset of the workers, and has its own owner.
//! The number of shards, and the part of the workflows that each gets, are determined once, by the first
//! VM that reads the list of workers, and recorded in the store.

use std::sync::{Arc, OnceLock};
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use super::elector::OwnerElector;
use super::fenced_writer::encode;
use super::layout;
use super::reader::{self, CALL_TIMEOUT};
use crate::model::WorkerName;
use crate::port::feeds::{SharedFeeds, WorkerChange};
use crate::port::record_store::{
    SharedRecordStore, StoreCall, StoreError, StoreReply, Transaction,
};
use crate::workflow::WorkflowId;

pub use crate::workflow::ShardId;

/// The target number of workers per shard. With it, an owner needs less than half of the half core that
/// a large VM of the larger deployments has, and wide gangs still find enough permitted workers.
const WORKERS_PER_SHARD: usize = 192;

/// The maximum number of shards. Each costs the store a partition with its own transactions, and each VM
/// a ping per interval.
const MAX_SHARDS: usize = 16;

/// The interval between two tries to determine the number of shards.
const RETRY_INTERVAL: Duration = Duration::from_millis(400);

/// How often an empty list of workers is read before a single shard is created. Workers update their
/// listings every 1.5 s.
const MAX_EMPTY_READS: u32 = 10;

/// Assigns workflows and workers to shards.
///
/// Workers are assigned by a hash of their names, which leaves shards of unequal size. Workflows are
/// assigned in proportion to the number of workers.
///
/// # Examples
///
/// ```
/// use chestnutlug::coordinator::shards::ShardMap;
/// use chestnutlug::model::WorkerName;
///
/// let workers: Vec<WorkerName> = (0..350).map(|i| WorkerName::new(format!("w{i}"))).collect();
/// assert_eq!(ShardMap::for_workers(&workers).shards().count(), 2);
/// assert_eq!(ShardMap::for_workers(&workers[..48]).shards().count(), 1);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardMap {
    count: u16,
    /// The number of workers of each shard when the map was created.
    workers: [u32; MAX_SHARDS],
}

impl ShardMap {
    /// A map with the number of shards that these workers need.
    pub fn for_workers(names: &[WorkerName]) -> Self {
        let count = names.len().div_ceil(WORKERS_PER_SHARD).clamp(1, MAX_SHARDS);
        let mut map = Self {
            count: u16::try_from(count).unwrap_or(1),
            workers: [0; MAX_SHARDS],
        };
        for name in names {
            let shard = map.of_worker(name);
            map.workers[usize::from(shard.0)] += 1;
        }
        map
    }

    /// All shards.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.count.max(1)).map(ShardId)
    }

    /// The shard of a workflow.
    pub fn of_workflow(&self, id: WorkflowId) -> ShardId {
        let hash = xxh3_64(id.to_string().as_bytes());
        let total: u64 = self.workers.iter().map(|count| u64::from(*count)).sum();
        let mut position = hash.checked_rem(total).unwrap_or(0);
        for (shard, workers) in self.shards().zip(self.workers) {
            let workers = u64::from(workers);
            if position < workers {
                return shard;
            }
            position -= workers;
        }
        ShardId::default()
    }

    /// The part of the workflows that a shard gets.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::coordinator::shards::{ShardId, ShardMap};
    /// use chestnutlug::model::WorkerName;
    ///
    /// let workers: Vec<WorkerName> = (0..48).map(|i| WorkerName::new(format!("w{i}"))).collect();
    /// assert_eq!(ShardMap::for_workers(&workers).workflow_share(ShardId(0)), 1.0);
    /// ```
    pub fn workflow_share(&self, shard: ShardId) -> f64 {
        let total: u64 = self.workers.iter().map(|count| u64::from(*count)).sum();
        let workers = self.workers.get(usize::from(shard.0)).copied();
        if total == 0 {
            // All workflows belong to the first shard.
            return if shard == ShardId::default() {
                1.0
            } else {
                0.0
            };
        }
        f64::from(workers.unwrap_or(0)) / total as f64
    }

    /// The shard of a worker.
    pub fn of_worker(&self, name: &WorkerName) -> ShardId {
        let shard = xxh3_64(name.as_str().as_bytes()) % u64::from(self.count.max(1));
        // The remainder is less than `count`, so it fits into 16 bits.
        ShardId(u16::try_from(shard).unwrap_or(0))
    }
}

/// Reads the shard map from the store, or creates it. Retries until it is known.
pub(super) async fn determine_shard_map(
    store: &SharedRecordStore,
    feeds: &SharedFeeds,
) -> ShardMap {
    let mut last_count = 0;
    let mut empty_reads = 0;
    loop {
        match try_determine_shard_map(store, feeds, &mut last_count, &mut empty_reads).await {
            Ok(Some(map)) => return map,
            Ok(None) => {}
            Err(error) => tracing::warn!(%error, "cannot determine the number of shards; retrying"),
        }
        tokio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Reads or creates the shard map. Returns `None` if it is not known yet: the list of workers may be
/// incomplete, or another VM has created the map at the same time.
async fn try_determine_shard_map(
    store: &SharedRecordStore,
    feeds: &SharedFeeds,
    last_count: &mut usize,
    empty_reads: &mut u32,
) -> Result<Option<ShardMap>, StoreError> {
    let key = layout::shards_key();
    if let Some(record) = reader::read_one(store, &key).await? {
        return Ok(reader::decode(&record));
    }
    let listed = feeds.workers(None, Duration::ZERO).await?;
    let listed = listed.items.iter().filter_map(|change| match change {
        WorkerChange::Listed(listing) => Some(listing.name.clone()),
        WorkerChange::Unlisted(_) => None,
    });
    let names: Vec<WorkerName> = listed.collect();
    let workers = names.len();
    *empty_reads += u32::from(workers == 0);
    let complete = (workers > 0 && workers == *last_count) || *empty_reads >= MAX_EMPTY_READS;
    *last_count = workers;
    if !complete {
        return Ok(None);
    }
    let map = ShardMap::for_workers(&names);
    let call = StoreCall::Commit(Transaction {
        expected: vec![(key.clone(), 0)],
        puts: vec![(key, encode(&map)?)],
        removals: Vec::new(),
    });
    match store.call(&call, CALL_TIMEOUT).await? {
        StoreReply::Committed { .. } => {
            tracing::info!(
                workers,
                shards = map.count,
                "the number of shards is determined and recorded"
            );
            Ok(Some(map))
        }
        // Another VM has created the map; its record is read by the next try.
        _ => Ok(None),
    }
}

/// The electors of this VM, one for each shard; empty until the shard map is known.
#[derive(Default)]
pub(super) struct OwnerElectors {
    shards: OnceLock<(ShardMap, Vec<Arc<OwnerElector>>)>,
}

impl OwnerElectors {
    /// Sets the shard map and the electors, in the order of their shards.
    pub(super) fn set(&self, map: ShardMap, electors: Vec<Arc<OwnerElector>>) {
        if self.shards.set((map, electors)).is_err() {
            tracing::error!("the shard map is set twice; keeping the first");
        }
    }

    /// The shard map, if it is known.
    pub(super) fn map(&self) -> Option<ShardMap> {
        self.shards.get().map(|(map, _)| *map)
    }

    /// The elector of one shard.
    pub(super) fn get(&self, shard: ShardId) -> Option<&Arc<OwnerElector>> {
        self.shards.get()?.1.get(usize::from(shard.0))
    }

    /// All electors.
    pub(super) fn all(&self) -> &[Arc<OwnerElector>] {
        self.shards.get().map_or(&[], |(_, electors)| electors)
    }
}
