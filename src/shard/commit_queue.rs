//! Group commit: changes are gathered and written by one conditional transaction at a time.

use std::collections::VecDeque;

use rustc_hash::FxHashMap;

use super::attempt::CommitProof;
use super::rows::{OwnerRef, ShardRow, encode, shard_key};
use crate::model::ShardName;
use crate::port::table::{Condition, MAX_TXN_ROWS, Txn, Write};

/// A change that waits to be written, with what follows once it is.
#[derive(Debug)]
pub struct TableChange<A> {
    /// The job that the change belongs to.
    pub job: u64,
    /// The row that must be absent.
    pub absent: Option<String>,
    /// What else must hold of rows of other shards; a change with such conditions is written by a
    /// transaction of its own, so that it holds nothing else up.
    pub conditions: Vec<Condition>,
    /// The rows to write.
    pub writes: Vec<Write>,
    /// What follows.
    pub on_applied: A,
}

/// How a transaction ended, after a lost answer was resolved.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum CommitOutcome {
    /// It took effect.
    Applied,
    /// It did not, and will not: the table refused it.
    Unavailable,
    /// It did not, and will not: the row that had to be absent is there.
    Exists {
        /// The row's key.
        key: String,
        /// The row's value.
        value: Vec<u8>,
    },
    /// It did not, and will not: a condition on a row of another shard did not hold.
    Conflict {
        /// The row's key.
        key: String,
    },
    /// Another owner has the shard. Whether the transaction took effect before is open.
    Fenced,
}

/// The changes of one shard on their way into the table.
#[derive(Debug)]
pub struct CommitQueue<A> {
    shard: ShardName,
    row: ShardRow,
    row_version: u64,
    pending: VecDeque<TableChange<A>>,
    flight: Vec<TableChange<A>>,
    in_flight: bool,
}

impl<A> CommitQueue<A> {
    /// A queue for the ownership that `row` records at `row_version`.
    pub fn new(shard: ShardName, row: ShardRow, row_version: u64) -> Self {
        Self {
            shard,
            row,
            row_version,
            pending: VecDeque::new(),
            flight: Vec::new(),
            in_flight: false,
        }
    }

    /// The epoch of the ownership.
    pub fn epoch(&self) -> u64 {
        self.row.epoch
    }

    /// How many earlier owners may still have renewed leases when the ownership was taken.
    pub fn earlier_owners(&self) -> u32 {
        self.row.unfenced_owners
    }

    /// Notes that no earlier owner can run anything any more; written with the next transaction.
    pub fn settle(&mut self) {
        self.row.unfenced_owners = 0;
    }

    /// The owner that the queue commits for.
    pub fn owner(&self) -> Option<&OwnerRef> {
        self.row.owner.as_ref()
    }

    /// Adds a change.
    pub fn push(&mut self, change: TableChange<A>) {
        self.pending.push_back(change);
    }

    /// Whether nothing waits and nothing is under way.
    pub fn is_idle(&self) -> bool {
        !self.in_flight && self.pending.is_empty()
    }

    /// Whether a transaction is under way.
    pub fn in_flight(&self) -> bool {
        self.in_flight
    }

    /// How many changes wait.
    pub fn pending(&self) -> usize {
        self.pending.len()
    }

    /// The changes that wait.
    pub fn pending_changes(&self) -> impl Iterator<Item = &TableChange<A>> {
        self.pending.iter()
    }

    /// The changes that wait or are under way.
    pub fn pending_or_flying(&self) -> impl Iterator<Item = &TableChange<A>> {
        self.flight.iter().chain(&self.pending)
    }

    /// Takes back the waiting changes for which `drop` holds.
    pub fn take_back(&mut self, drop: impl Fn(&TableChange<A>) -> bool) -> Vec<TableChange<A>> {
        let (taken, kept): (Vec<_>, Vec<_>) = self.pending.drain(..).partition(drop);
        self.pending = kept.into();
        taken
    }

    /// Makes the next transaction of what waits; `None` while one is under way or nothing waits.
    pub fn begin(&mut self) -> Option<Txn> {
        if self.in_flight || self.pending.is_empty() {
            return None;
        }
        self.take_flight();
        self.row.txn += 1;
        self.in_flight = true;
        Some(self.build())
    }

    /// Makes a transaction that writes nothing but the shard's row, to learn whether the table
    /// answers and the shard still is this owner's; only while the queue is idle.
    pub fn begin_proof(&mut self) -> Option<Txn> {
        if !self.is_idle() {
            return None;
        }
        self.row.txn += 1;
        self.in_flight = true;
        Some(self.build())
    }

    /// Makes the transaction that gives the shard up; only while the queue is idle.
    pub fn begin_release(&mut self) -> Option<Txn> {
        if !self.is_idle() {
            return None;
        }
        self.row.owner = None;
        self.row.txn += 1;
        self.in_flight = true;
        Some(self.build())
    }

    fn take_flight(&mut self) {
        let mut rows = 1;
        while let Some(change) = self.pending.front() {
            rows += change.writes.len();
            let alone = !change.conditions.is_empty();
            if rows > MAX_TXN_ROWS || (alone && !self.flight.is_empty()) {
                return;
            }
            self.flight.extend(self.pending.pop_front());
            if alone {
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
        let absent = self.flight.iter().filter_map(|c| c.absent.clone());
        conditions.extend(absent.map(|key| Condition { key, version: 0 }));
        conditions.extend(self.flight.iter().flat_map(|c| c.conditions.clone()));
        let row = Write::Put {
            key: shard,
            value: encode(&self.row),
        };
        let mut writes = vec![row];
        let mut position: FxHashMap<&str, usize> = FxHashMap::default();
        for write in self.flight.iter().flat_map(|c| &c.writes) {
            match position.get(write.key()) {
                Some(&at) => writes[at] = write.clone(),
                None => {
                    position.insert(write.key(), writes.len());
                    writes.push(write.clone());
                }
            }
        }
        Txn { conditions, writes }
    }

    /// Notes that the transaction under way took effect; returns its changes and the proof.
    pub fn applied(&mut self) -> (Vec<TableChange<A>>, CommitProof) {
        self.in_flight = false;
        self.row_version += 1;
        (std::mem::take(&mut self.flight), CommitProof(()))
    }

    /// Notes that the transaction under way did not take effect; its changes wait again, in front.
    pub fn refused(&mut self) {
        self.in_flight = false;
        self.row.txn -= 1;
        for change in std::mem::take(&mut self.flight).into_iter().rev() {
            self.pending.push_front(change);
        }
    }
}
