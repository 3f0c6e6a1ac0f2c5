//! Takes shards over beside the heartbeats, since reading a shard's rows may take long.

use super::claim::{ClaimedShard, claim_shard, read_shard_rows};
use super::owner::OwnerPorts;
use crate::model::{ServiceName, ShardName};
use crate::port::table::SharedTable;
use crate::shard::StoredRows;
use crate::shard::rows::OwnerRef;

/// A takeover that has ended.
pub enum TakeoverResult {
    /// A shard of workers.
    WorkerShard {
        /// The shard.
        shard: ShardName,
        /// Its ownership.
        claimed: ClaimedShard,
        /// Its rows.
        rows: StoredRows,
    },
    /// The slots of a service.
    Service {
        /// The service.
        service: ServiceName,
        /// The ownership.
        claimed: ClaimedShard,
    },
    /// The shard was not taken.
    NotTaken {
        /// The shard.
        shard: ShardName,
    },
}

/// Takes `shard` over for `me`, if its row still is at `version`.
pub async fn take_over(
    table: SharedTable,
    shard: ShardName,
    version: u64,
    me: OwnerRef,
) -> TakeoverResult {
    let claimed = match claim_shard(table.as_ref(), &shard, version, &me).await {
        Ok(claimed) => claimed,
        Err(e) => {
            tracing::debug!(%shard, error = %e, "not taken");
            return TakeoverResult::NotTaken { shard };
        }
    };
    if let Some(service) = service_of(&shard) {
        return TakeoverResult::Service { service, claimed };
    }
    match read_shard_rows(table.as_ref(), &shard).await {
        Ok(rows) => TakeoverResult::WorkerShard {
            shard,
            claimed,
            rows,
        },
        Err(e) => {
            tracing::warn!(%shard, error = %e, "the shard's rows could not be read");
            TakeoverResult::NotTaken { shard }
        }
    }
}

/// The service whose slots `shard` keeps; `None` for a shard of workers.
pub fn service_of(shard: &ShardName) -> Option<ServiceName> {
    let name = shard.as_str().strip_prefix("service:")?;
    Some(ServiceName::new(name))
}

/// Counts a takeover from a process that had not given the shard up.
pub fn count_takeover(ports: &OwnerPorts, previous_owner: Option<&OwnerRef>, me: &OwnerRef) {
    if previous_owner.is_some_and(|previous_owner| previous_owner != me) {
        ports.observer.ownership_taken_over();
    }
}
