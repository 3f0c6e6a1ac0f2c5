//! Commits an owner's transaction, and resolves unknown outcomes.

use std::time::Duration;

use crate::port::table::{Table, TableError, Txn, Write};
use crate::shard::commit_queue::CommitOutcome;

/// Delay before the table is called again while the outcome is unknown.
const RETRY_INTERVAL: Duration = Duration::from_millis(100);

/// The state of a transaction whose outcome was unknown, according to the fencing row.
enum TxnState {
    Applied,
    Pending,
    Fenced,
}

/// Commits `txn`, whose first condition and first write are on the fencing row.
///
/// Returns only once the outcome is certain. After a lost response, the fencing row is read to find
/// out whether the transaction took effect, and a transaction that has not is sent again. The
/// condition on the row's version lets at most one of the copies take effect.
pub async fn commit_fenced(table: &dyn Table, txn: &Txn) -> CommitOutcome {
    let mut is_unknown = false;
    loop {
        match table.commit(txn).await {
            Ok(()) => return CommitOutcome::Applied,
            Err(TableError::Conflict { key }) if key == fence_key(txn) => {
                return match is_unknown {
                    true => resolve_conflict(table, txn).await,
                    false => CommitOutcome::Fenced,
                };
            }
            Err(TableError::Conflict { key }) if expects_version(txn, &key) => {
                return CommitOutcome::Conflict { key };
            }
            Err(TableError::Conflict { key }) => {
                if let Some(outcome) = read_existing(table, &key).await {
                    return outcome;
                }
            }
            Err(TableError::Unavailable(_)) if !is_unknown => return CommitOutcome::Unavailable,
            Err(TableError::Invalid(cause)) => {
                tracing::error!(
                    cause,
                    "the table rejected a transaction as invalid; nothing is written"
                );
                return CommitOutcome::Unavailable;
            }
            Err(TableError::Unavailable(_)) => tokio::time::sleep(RETRY_INTERVAL).await,
            Err(TableError::Unanswered(_)) => {
                is_unknown = true;
                match read_txn_state(table, txn).await {
                    TxnState::Applied => return CommitOutcome::Applied,
                    TxnState::Fenced => return CommitOutcome::Fenced,
                    TxnState::Pending => {}
                }
            }
        }
    }
}

async fn resolve_conflict(table: &dyn Table, txn: &Txn) -> CommitOutcome {
    match read_txn_state(table, txn).await {
        TxnState::Applied => CommitOutcome::Applied,
        TxnState::Pending | TxnState::Fenced => CommitOutcome::Fenced,
    }
}

async fn read_txn_state(table: &dyn Table, txn: &Txn) -> TxnState {
    let expected = txn.conditions.first().map_or(0, |c| c.version);
    loop {
        match table.read(fence_key(txn)).await {
            Ok(Some(row)) if Some(row.value.as_slice()) == fence_value(txn) => {
                return TxnState::Applied;
            }
            Ok(row) if row.as_ref().map_or(0, |row| row.version) == expected => {
                return TxnState::Pending;
            }
            Ok(_) => return TxnState::Fenced,
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Reads the row that the transaction expected to be absent; `None` if it was deleted since.
async fn read_existing(table: &dyn Table, key: &str) -> Option<CommitOutcome> {
    loop {
        match table.read(key).await {
            Ok(row) => {
                return row.map(|row| CommitOutcome::Exists {
                    key: row.key,
                    value: row.value,
                });
            }
            Err(_) => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Whether the condition on `key` requires a row with a certain version, not an absent row.
fn expects_version(txn: &Txn, key: &str) -> bool {
    let mut conditions = txn.conditions.iter();
    conditions.any(|condition| condition.key == key && condition.version > 0)
}

fn fence_key(txn: &Txn) -> &str {
    txn.conditions.first().map_or("", |c| &c.key)
}

fn fence_value(txn: &Txn) -> Option<&[u8]> {
    match txn.writes.first() {
        Some(Write::Put { value, .. }) => Some(value),
        _ => None,
    }
}
