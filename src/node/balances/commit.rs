//! Commits changes of balances, and resolves unknown outcomes.

use std::time::Duration;

use super::stored_balance::StoredBalance;
use crate::model::ShardName;
use crate::port::table::{Row, Table, TableError, Txn};
use crate::shard::rows::decode;

/// Delay before the table is called again while the outcome is unknown.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The state of a transaction whose outcome was unknown, according to its first row.
enum TxnState {
    Applied,
    Pending,
    NotApplied,
}

/// Commits the changes of `shard` in transaction `txn_id`; returns whether they took effect.
///
/// Returns only once the outcome is certain. Since other shards change the same rows, each row
/// records the last transaction of every shard.
pub async fn commit_balances(table: &dyn Table, txn: &Txn, shard: &ShardName, txn_id: u64) -> bool {
    let mut is_unknown = false;
    loop {
        match table.commit(txn).await {
            Ok(()) => return true,
            Err(TableError::Unanswered(_)) => is_unknown = true,
            Err(TableError::Unavailable(_)) if is_unknown => {}
            Err(TableError::Conflict { .. }) if is_unknown => {
                // Versions only grow: after a conflict, no copy can take effect any more.
                return matches!(
                    read_txn_state(table, txn, shard, txn_id).await,
                    TxnState::Applied
                );
            }
            Err(_) => return false,
        }
        match read_txn_state(table, txn, shard, txn_id).await {
            TxnState::Applied => return true,
            TxnState::NotApplied => return false,
            TxnState::Pending => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

async fn read_txn_state(table: &dyn Table, txn: &Txn, shard: &ShardName, txn_id: u64) -> TxnState {
    let Some(first) = txn.conditions.first() else {
        return TxnState::NotApplied;
    };
    loop {
        match table.read(&first.key).await {
            Ok(Some(row)) if last_txn_id(&row, shard) == Some(txn_id) => return TxnState::Applied,
            Ok(row) if row.as_ref().map_or(0, |row| row.version) == first.version => {
                return TxnState::Pending;
            }
            Ok(_) => return TxnState::NotApplied,
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// The id of the shard's last transaction that changed a row.
fn last_txn_id(row: &Row, shard: &ShardName) -> Option<u64> {
    let stored: StoredBalance = decode(&row.value).ok()?;
    stored.balance.drawn.get(shard).map(|draw| draw.txn)
}
