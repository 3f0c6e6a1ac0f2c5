//! How workflows and workers are shared out over owners.
//!
//! A shard is a part of the workflows and a part of the workers, with an owner of its own. How many
//! there are is decided once, by the first VM that reads the list of workers, and recorded.

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

/// How many workers one owner is to have, so that it needs less than half of the half core that a large
/// VM of the grown deployments has, and wide gangs still find enough workers that are permitted to them.
const WORKERS_PER_SHARD: usize = 192;

/// The most shards: each costs the store a partition with its own transactions, and each VM a ping.
const MAX_SHARDS: u16 = 16;

/// Between two reads of the list of workers while it is not known how many there are.
const SETTLE_INTERVAL: Duration = Duration::from_millis(400);

/// How often a list without workers is read before one shard is taken to be enough; workers tell of
/// themselves each 1.5 s.
const EMPTY_READS: u32 = 10;

/// One of the shards, counted from 0.
#[derive(
    Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize, Default,
)]
pub struct ShardId(pub u16);

impl std::fmt::Display for ShardId {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        self.0.fmt(f)
    }
}

/// Which shard has what.
///
/// # Examples
///
/// ```
/// use chestnutlug::coordinator::shards::ShardMap;
///
/// let map = ShardMap::for_workers(350);
/// assert_eq!(map.shards().count(), 2);
/// assert_eq!(ShardMap::for_workers(48).shards().count(), 1);
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShardMap {
    count: u16,
}

impl ShardMap {
    /// As many shards as `workers` need.
    pub fn for_workers(workers: usize) -> Self {
        let count = workers.div_ceil(WORKERS_PER_SHARD);
        let count = u16::try_from(count).unwrap_or(MAX_SHARDS);
        Self {
            count: count.clamp(1, MAX_SHARDS),
        }
    }

    /// All shards.
    pub fn shards(&self) -> impl Iterator<Item = ShardId> + use<> {
        (0..self.count.max(1)).map(ShardId)
    }

    /// The shard of a workflow.
    pub fn of_workflow(&self, id: WorkflowId) -> ShardId {
        self.of(id.to_string().as_bytes())
    }

    /// The shard of a worker.
    pub fn of_worker(&self, name: &WorkerName) -> ShardId {
        self.of(name.as_str().as_bytes())
    }

    fn of(&self, key: &[u8]) -> ShardId {
        let shard = xxh3_64(key) % u64::from(self.count.max(1));
        // The remainder is below a count of 16 bits.
        ShardId(u16::try_from(shard).unwrap_or(0))
    }
}

/// Reads how many shards there are, or decides it; repeats until the store tells.
pub(super) async fn settle(records: &SharedRecordStore, feeds: &SharedFeeds) -> ShardMap {
    let mut before = 0;
    let mut empty_reads = 0;
    loop {
        match try_settle(records, feeds, &mut before, &mut empty_reads).await {
            Ok(Some(map)) => return map,
            Ok(None) => {}
            Err(error) => tracing::warn!(%error, "how many shards there are is not known yet"),
        }
        tokio::time::sleep(SETTLE_INTERVAL).await;
    }
}

/// One try; `None` where the list of workers is not complete yet.
async fn try_settle(
    records: &SharedRecordStore,
    feeds: &SharedFeeds,
    before: &mut usize,
    empty_reads: &mut u32,
) -> Result<Option<ShardMap>, StoreError> {
    let key = layout::shards_key();
    if let Some(row) = reader::read_one(records, &key).await? {
        return Ok(reader::decode(&row));
    }
    let listed = feeds.workers(None, Duration::ZERO).await?;
    let listed = listed.items.iter();
    let workers = listed
        .filter(|change| matches!(change, WorkerChange::Listed(_)))
        .count();
    *empty_reads += u32::from(workers == 0);
    let complete = (workers > 0 && workers == *before) || *empty_reads >= EMPTY_READS;
    *before = workers;
    if !complete {
        return Ok(None);
    }
    let map = ShardMap::for_workers(workers);
    let call = StoreCall::Commit(Transaction {
        expected: vec![(key.clone(), 0)],
        puts: vec![(key, encode(&map)?)],
        removals: Vec::new(),
    });
    match records.call(&call, CALL_TIMEOUT).await? {
        StoreReply::Committed { .. } => {
            tracing::info!(workers, shards = map.count, "the shards are decided");
            Ok(Some(map))
        }
        // Another VM was faster; its record is read next.
        _ => Ok(None),
    }
}

/// The seats of this VM, one for each shard, once it is known how many there are.
#[derive(Default)]
pub(super) struct OwnerElectors {
    known: OnceLock<(ShardMap, Vec<Arc<OwnerElector>>)>,
}

impl OwnerElectors {
    /// Sets the seats, in the order of their shards.
    pub(super) fn set(&self, map: ShardMap, seats: Vec<Arc<OwnerElector>>) {
        if self.known.set((map, seats)).is_err() {
            tracing::error!("the shards were decided twice");
        }
    }

    /// Which shard has what.
    pub(super) fn map(&self) -> Option<ShardMap> {
        self.known.get().map(|(map, _)| *map)
    }

    /// The seat of one shard.
    pub(super) fn get(&self, shard: ShardId) -> Option<&Arc<OwnerElector>> {
        self.known.get()?.1.get(usize::from(shard.0))
    }

    /// All seats.
    pub(super) fn all(&self) -> &[Arc<OwnerElector>] {
        self.known.get().map_or(&[], |(_, seats)| seats)
    }
}
