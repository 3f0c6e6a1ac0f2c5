//! The records that divide the limits of accounts among shards.

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_128;

use super::shards::ShardId;
use crate::decide::limit_share::ShardShare;
use crate::model::AccountName;
use crate::port::record_store::RecordKey;

/// The table of the records.
pub const TABLE: &str = "limit_shares";

/// The partition of the records.
pub const PARTITION: &str = "accounts";

/// The entry of a shard in the record of an account.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareEntry {
    /// The shard.
    pub shard: ShardId,
    /// The epoch of the owner that wrote the entry.
    pub epoch: u64,
    /// What the shard has and wants.
    pub share: ShardShare,
}

/// The record of an account.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ShareRecord {
    /// The account.
    pub account: AccountName,
    /// The entries of the shards whose owners have written one.
    pub entries: Vec<ShareEntry>,
}

impl ShareRecord {
    /// The entry of a shard.
    pub fn entry(&self, shard: ShardId) -> Option<&ShareEntry> {
        self.entries.iter().find(|entry| entry.shard == shard)
    }

    /// The record with this entry in place of the shard's previous one.
    pub(super) fn with(&self, entry: ShareEntry) -> Self {
        let mut record = self.clone();
        record.entries.retain(|other| other.shard != entry.shard);
        record.entries.push(entry);
        record.entries.sort_by_key(|entry| entry.shard);
        record
    }
}

common! { value
/// The hash of the name of an account, which is the key of its record. Names may have any characters and
/// lengths.
pub(super) struct AccountHash(u128);
}

impl AccountHash {
    pub(super) fn of(account: &AccountName) -> Self {
        Self(xxh3_128(account.as_str().as_bytes()))
    }

    pub(super) fn record_key(self) -> RecordKey {
        RecordKey::new(TABLE, PARTITION, format!("{:032x}", self.0))
    }

    pub(super) fn from_key(key: &RecordKey) -> Option<Self> {
        u128::from_str_radix(&key.key, 16).ok().map(Self)
    }
}
