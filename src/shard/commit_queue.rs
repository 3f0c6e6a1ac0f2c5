//! Group commit: pending changes are written together, by one conditional transaction at a time.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use super::attempt::CommitProof;
use super::rows::{OwnerRef, ShardRow, encode, shard_key};
use crate::model::ShardName;
use crate::port::table::{Condition, MAX_TXN_ROWS, Txn, Write};

/// A change of the table that belongs to one job.
#[derive(Debug)]
pub struct TableChange<A> {
    /// The number of the job that the change belongs to.
    pub job: u64,
    /// The key of a row that must not exist.
    pub absent_key: Option<String>,
    /// Conditions on rows of other shards. A change with such conditions is written by a
    /// transaction of its own, so that a conflict delays no other change.
    pub conditions: Vec<Condition>,
    /// The rows to write.
    pub writes: Vec<Write>,
    /// What to do once the change is applied.
    pub on_applied: A,
}

/// The outcome of a commit. Commits without a response are resolved before their outcome is
/// reported.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// The transaction took effect.
    Applied,
    /// The transaction never takes effect: the table refused it.
    Unavailable,
    /// The transaction never takes effect: a row that had to be absent exists.
    Exists {
        /// The row's key.
        key: String,
        /// The row's value.
        value: Vec<u8>,
    },
    /// The transaction never takes effect: a condition on a row of another shard did not hold.
    Conflict {
        /// The row's key.
        key: String,
    },
    /// Another owner claimed the shard. Whether the transaction took effect before is unknown.
    Fenced,
}

/// The changes of one shard that are pending or in flight.
#[derive(Debug)]
pub struct CommitQueue<A> {
    shard: ShardName,
    row: ShardRow,
    row_version: u64,
    pending: VecDeque<TableChange<A>>,
    in_flight_changes: Vec<TableChange<A>>,
    is_commit_in_flight: bool,
}

impl<A> CommitQueue<A> {
    /// Creates an empty queue for the owner that the shard's row names at `row_version`.
    pub fn new(shard: ShardName, row: ShardRow, row_version: u64) -> Self {
        Self {
            shard,
            row,
            row_version,
            pending: VecDeque::new(),
            in_flight_changes: Vec::new(),
            is_commit_in_flight: false,
        }
    }

    /// The epoch of the ownership.
    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// How many earlier owners may still renew leases; see [`ShardRow::unfenced_owners`].
    pub fn unfenced_owners(&self) -> u32 {
        self.row.unfenced_owners
    }

    /// Notes that no earlier owner can run anything any more. Written with the next transaction.
    pub fn clear_unfenced_owners(&mut self) {
        self.row.unfenced_owners = 0;
    }

    /// The owner that the queue commits for; `None` once a release has begun.
    pub fn owner(&self) -> Option<&OwnerRef> {
        self.row.owner.as_ref()
    }

    /// Adds a change.
    pub fn push(&mut self, change: TableChange<A>) {
        self.pending.push_back(change);
    }

    /// Whether nothing is pending or in flight.
    pub fn is_idle(&self) -> bool {
        !self.is_commit_in_flight && self.pending.is_empty()
    }

    /// Whether a transaction is in flight.
    pub fn is_commit_in_flight(&self) -> bool {
        self.is_commit_in_flight
    }

    /// The number of pending changes.
    pub fn pending_count(&self) -> usize {
        self.pending.len()
    }

    /// The pending changes, in order.
    pub fn pending_changes(&self) -> impl Iterator<Item = &TableChange<A>> {
        self.pending.iter()
    }

    /// The changes that are in flight or pending.
    pub fn unapplied_changes(&self) -> impl Iterator<Item = &TableChange<A>> {
        self.in_flight_changes.iter().chain(&self.pending)
    }

    /// Removes the pending changes that match `drop` and returns them. Changes in flight stay.
    pub fn remove_pending(
        &mut self,
        drop: impl Fn(&TableChange<A>) -> bool,
    ) -> Vec<TableChange<A>> {
        let (taken, kept): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(drop);
        self.pending = kept.into();
        taken
    }

    /// Starts a transaction of pending changes; `None` while one is in flight or nothing is
    /// pending.
    pub fn begin(&mut self) -> Option<Txn> {
        if self.is_commit_in_flight || self.pending.is_empty() {
            return None;
        }
        self.fill_transaction();
        self.row.txn += 1;
        self.is_commit_in_flight = true;
        Some(self.build())
    }

    /// Starts a transaction that writes only the shard's row, to learn whether the table is
    /// available and still names this owner; `None` unless the queue is idle.
    pub fn begin_ownership_check(&mut self) -> Option<Txn> {
        if !self.is_idle() {
            return None;
        }
        self.row.txn += 1;
        self.is_commit_in_flight = true;
        Some(self.build())
    }

    /// Starts the transaction that releases the shard; `None` unless the queue is idle.
    pub fn begin_release(&mut self) -> Option<Txn> {
        if !self.is_idle() {
            return None;
        }
        self.row.owner = None;
        self.row.txn += 1;
        self.is_commit_in_flight = true;
        Some(self.build())
    }

    fn fill_transaction(&mut self) {
        let mut rows = 1;
        while let Some(change) = self.pending.front() {
            rows += change.writes.len();
            let needs_own_txn = !change.conditions.is_empty();
            if rows > MAX_TXN_ROWS || (needs_own_txn && !self.in_flight_changes.is_empty()) {
                return;
            }
            self.in_flight_changes.extend(self.pending.pop_front());
            if needs_own_txn {
                return;
            }
        }
    }

    fn build(&self) -> Txn {
        let shard = shard_key(&self.shard);
        let mut conditions = vec![Condition {
            key: shard.clone(),
            version: self.row_version,
        }];
        let absent = self
            .in_flight_changes
            .iter()
            .filter_map(|c| c.absent_key.clone());
        conditions.extend(absent.map(|key| Condition { key, version: 0 }));
        conditions.extend(
            self.in_flight_changes
                .iter()
                .flat_map(|c| c.conditions.clone()),
        );
        let row = Write::Put {
            key: shard,
            value: encode(&self.row),
        };
        let mut writes = vec![row];
        let mut row_positions: FxHashMap<&str, usize> = FxHashMap::default();
        for write in self.in_flight_changes.iter().flat_map(|c| &c.writes) {
            match row_positions.get(write.key()) {
                Some(&at) => writes[at] = write.clone(),
                None => {
                    row_positions.insert(write.key(), writes.len());
                    writes.push(write.clone());
                }
            }
        }
        Txn { conditions, writes }
    }

    /// Notes that the transaction in flight took effect. Returns its changes and the proof.
    pub fn applied(&mut self) -> (Vec<TableChange<A>>, CommitProof) {
        self.is_commit_in_flight = false;
        self.row_version += 1;
        (std::mem::take(&mut self.in_flight_changes), CommitProof(()))
    }

    /// Notes that the transaction in flight never takes effect. Its changes become pending again,
    /// in front of all others.
    pub fn rolled_back(&mut self) {
        self.is_commit_in_flight = false;
        self.row.txn -= 1;
        for change in std::mem::take(&mut self.in_flight_changes)
            .into_iter()
            .rev()
        {
            self.pending.push_front(change);
        }
    }
}
