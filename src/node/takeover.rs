//! Takes over shards concurrently with the heartbeats, since reading a shard's rows may take long.

use super::claim::{ClaimedShard, claim_shard, read_shard_rows};
use super::owner::OwnerPorts;
use crate::model::{ServiceName, ShardName};
use crate::port::table::SharedTable;
use crate::shard::StoredRows;
use crate::shard::rows::OwnerRef;

/// The result of a takeover.
pub enum TakeoverResult {
    /// A shard of workers.
    WorkerShard {
        /// The shard.
        shard: ShardName,
        /// The claim.
        claimed: ClaimedShard,
        /// The shard's rows.
        rows: StoredRows,
    },
    /// The slots of a service.
    Service {
        /// The service.
        service: ServiceName,
        /// The claim.
        claimed: ClaimedShard,
    },
    /// The shard was not taken over.
    NotTaken {
        /// The shard.
        shard: ShardName,
    },
}

/// Takes over `shard` for `me` if its row still has `version`.
pub async fn take_over(
    table: SharedTable,
    shard: ShardName,
    version: u64,
    me: OwnerRef,
) -> TakeoverResult {
    let claimed = match claim_shard(table.as_ref(), &shard, version, &me).await {
        Ok(claimed) => claimed,
        Err(e) => {
            tracing::debug!(
                %shard,
                error = %e,
                "the shard was not claimed; the next heartbeat decides again"
            );
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
            tracing::warn!(
                %shard,
                error = %e,
                "cannot read the rows of the claimed shard; a later heartbeat claims it again"
            );
            TakeoverResult::NotTaken { shard }
        }
    }
}

/// The service whose slots `shard` stands for; `None` for a shard of workers.
pub fn service_of(shard: &ShardName) -> Option<ServiceName> {
    let name = shard.as_str().strip_prefix("service:")?;
    Some(ServiceName::new(name))
}

/// Counts a takeover from another process that had not released the shard.
pub fn count_takeover(ports: &OwnerPorts, previous_owner: Option<&OwnerRef>, me: &OwnerRef) {
    if previous_owner.is_some_and(|previous_owner| previous_owner != me) {
        ports.observer.ownership_taken_over();
    }
}
