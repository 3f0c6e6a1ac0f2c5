//! Commits changes of balances and resolves lost answers.

use std::time::Duration;

use super::stored::StoredBalance;
use crate::model::ShardName;
use crate::port::table::{Row, Table, TableError, Txn};
use crate::shard::rows::decode;

/// How long to wait before the table is asked again after a lost answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What reading the first row told about a transaction whose answer was lost.
enum Fate {
    Applied,
    Pending,
    Refused,
}

/// Commits the changes that `shard` makes under the name `number`; whether they took effect.
///
/// Returns only once that is certain. Other shards change the same rows, so that a row tells by
/// what it holds of the shard which transaction of the shard was the last.
pub async fn commit_balances(table: &dyn Table, txn: &Txn, shard: &ShardName, number: u64) -> bool {
    let mut open = false;
    loop {
        match table.commit(txn).await {
            Ok(()) => return true,
            Err(TableError::Unanswered(_)) => open = true,
            Err(TableError::Unavailable(_)) if open => {}
            Err(TableError::Conflict { .. }) if open => {
                // A version that has passed does not come back: no copy takes effect any more.
                return matches!(fate(table, txn, shard, number).await, Fate::Applied);
            }
            Err(_) => return false,
        }
        match fate(table, txn, shard, number).await {
            Fate::Applied => return true,
            Fate::Refused => return false,
            Fate::Pending => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

async fn fate(table: &dyn Table, txn: &Txn, shard: &ShardName, number: u64) -> Fate {
    let Some(first) = txn.conditions.first() else {
        return Fate::Refused;
    };
    loop {
        match table.read(&first.key).await {
            Ok(Some(row)) if names(&row, shard) == Some(number) => return Fate::Applied,
            Ok(row) if row.as_ref().map_or(0, |row| row.version) == first.version => {
                return Fate::Pending;
            }
            Ok(_) => return Fate::Refused,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// The last transaction of the shard that changed a row.
fn names(row: &Row, shard: &ShardName) -> Option<u64> {
    let stored: StoredBalance = decode(&row.value).ok()?;
    stored.balance.drawn.get(shard).map(|draw| draw.txn)
}
