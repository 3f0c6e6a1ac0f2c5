//! Takes shards over beside the heartbeats, since reading a shard's rows may take long.

use super::claim::{Claimed, claim, read_rows};
use super::owner::OwnerPorts;
use crate::model::{ServiceName, ShardName};
use crate::port::table::SharedTable;
use crate::shard::StoredRows;
use crate::shard::rows::OwnerRef;

/// A takeover that has ended.
pub enum Taken {
    /// A shard of workers.
    Workers {
        /// The shard.
        shard: ShardName,
        /// Its ownership.
        claimed: Claimed,
        /// Its rows.
        rows: StoredRows,
    },
    /// The slots of a service.
    Service {
        /// The service.
        service: ServiceName,
        /// The ownership.
        claimed: Claimed,
    },
    /// The shard was not taken.
    Nothing {
        /// The shard.
        shard: ShardName,
    },
}

/// Takes `shard` over for `me`, if its row still is at `version`.
pub async fn take(table: SharedTable, shard: ShardName, version: u64, me: OwnerRef) -> Taken {
    let claimed = match claim(table.as_ref(), &shard, version, &me).await {
        Ok(claimed) => claimed,
        Err(e) => {
            tracing::debug!(%shard, error = %e, "not taken");
            return Taken::Nothing { shard };
        }
    };
    if let Some(service) = service_of(&shard) {
        return Taken::Service { service, claimed };
    }
    match read_rows(table.as_ref(), &shard).await {
        Ok(rows) => Taken::Workers {
            shard,
            claimed,
            rows,
        },
        Err(e) => {
            tracing::warn!(%shard, error = %e, "the shard's rows could not be read");
            Taken::Nothing { shard }
        }
    }
}

/// The service whose slots `shard` keeps; `None` for a shard of workers.
pub fn service_of(shard: &ShardName) -> Option<ServiceName> {
    let name = shard.as_str().strip_prefix("service:")?;
    Some(ServiceName::new(name))
}

/// Counts a takeover from a process that had not given the shard up.
pub fn count_takeover(ports: &OwnerPorts, prior: Option<&OwnerRef>, me: &OwnerRef) {
    if prior.is_some_and(|prior| prior != me) {
        ports.observer.took_over();
    }
}
