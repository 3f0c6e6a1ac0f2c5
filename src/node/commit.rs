//! Commits an owner's transaction and resolves lost answers.

use std::time::Duration;

use crate::port::table::{Table, TableError, Txn, Write};
use crate::shard::commit_queue::CommitOutcome;

/// How long to wait before the table is asked again after a lost answer.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What reading the fencing row told about a transaction whose answer was lost.
enum Fate {
    Applied,
    Pending,
    Overtaken,
}

/// Commits `txn`, whose first condition and first write are on the fencing row.
///
/// Returns only once the end is certain: after a lost answer the fencing row is read until it tells
/// whether the transaction took effect. The condition on the row's version lets at most one of
/// several copies of the transaction through.
pub async fn commit_fenced(table: &dyn Table, txn: &Txn) -> CommitOutcome {
    let mut open = false;
    loop {
        match table.commit(txn).await {
            Ok(()) => return CommitOutcome::Applied,
            Err(TableError::Conflict { key }) if key == fence_key(txn) => {
                return match open {
                    true => resolved(table, txn).await,
                    false => CommitOutcome::Fenced,
                };
            }
            Err(TableError::Conflict { key }) if is_of_version(txn, &key) => {
                return CommitOutcome::Conflict { key };
            }
            Err(TableError::Conflict { key }) => {
                if let Some(end) = exists(table, &key).await {
                    return end;
                }
            }
            Err(TableError::Unavailable(_)) if !open => return CommitOutcome::Unavailable,
            Err(TableError::Invalid(cause)) => {
                tracing::error!(cause, "the table rejected a transaction");
                return CommitOutcome::Unavailable;
            }
            Err(TableError::Unavailable(_)) => tokio::time::sleep(RETRY_PAUSE).await,
            Err(TableError::Unanswered(_)) => {
                open = true;
                match fate(table, txn).await {
                    Fate::Applied => return CommitOutcome::Applied,
                    Fate::Overtaken => return CommitOutcome::Fenced,
                    Fate::Pending => {}
                }
            }
        }
    }
}

async fn resolved(table: &dyn Table, txn: &Txn) -> CommitOutcome {
    match fate(table, txn).await {
        Fate::Applied => CommitOutcome::Applied,
        Fate::Pending | Fate::Overtaken => CommitOutcome::Fenced,
    }
}

async fn fate(table: &dyn Table, txn: &Txn) -> Fate {
    let expected = txn.conditions.first().map_or(0, |c| c.version);
    loop {
        match table.read(fence_key(txn)).await {
            Ok(Some(row)) if Some(row.value.as_slice()) == fence_value(txn) => {
                return Fate::Applied;
            }
            Ok(row) if row.as_ref().map_or(0, |row| row.version) == expected => {
                return Fate::Pending;
            }
            Ok(_) => return Fate::Overtaken,
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Reads the row that had to be absent; `None` where it has gone since.
async fn exists(table: &dyn Table, key: &str) -> Option<CommitOutcome> {
    loop {
        match table.read(key).await {
            Ok(row) => {
                return row.map(|row| CommitOutcome::Exists {
                    key: row.key,
                    value: row.value,
                });
            }
            Err(_) => tokio::time::sleep(RETRY_PAUSE).await,
        }
    }
}

/// Whether the condition on `key` names a version that the row must have.
fn is_of_version(txn: &Txn, key: &str) -> bool {
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
