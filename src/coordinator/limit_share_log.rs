//! Log lines about the shares of accounts' limits, a bounded number per second.

use std::collections::HashMap;
use std::time::Duration;

use super::limit_share_record::{ShareEntry, ShareRecord};
use super::shards::ShardId;
use crate::model::{AccountName, Time};
use crate::workflow::AccountLoad;

/// The interval between two log lines about the same account.
const ACCOUNT_INTERVAL: Duration = Duration::from_secs(5);

/// The maximum number of lines per second, so that hundreds of accounts do not flood the log.
const MAX_LINES_PER_S: u32 = 10;

/// Why an account has a smaller share in the shard than its work needs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum WaitReason {
    NotRead,
    EpochNotRecorded,
    Unanswered,
    Unreadable,
    Replaced,
    UsedByOtherShards,
}

impl WaitReason {
    fn text(self) -> &'static str {
        match self {
            Self::NotRead => "the records of shares have not been read yet",
            Self::EpochNotRecorded => "the epoch of this owner is not recorded yet",
            Self::Unanswered => "a write of the share has no answer yet",
            Self::Unreadable => "the record of the shares cannot be decoded",
            Self::Replaced => "the shard has a later owner",
            Self::UsedByOtherShards => "the owners of other shards have the rest of the limit",
        }
    }
}

/// Limits the number of log lines.
#[derive(Debug, Default)]
pub(super) struct ShareLog {
    waiting_since: HashMap<AccountName, Time>,
    second: Time,
    lines: u32,
    /// Lines that were left out since the last one.
    left_out: u64,
}

impl ShareLog {
    /// Whether another line may be logged now.
    fn admit(&mut self, now: Time) -> bool {
        if now.since(self.second) >= Duration::from_secs(1) {
            self.second = now;
            self.lines = 0;
        }
        self.lines += 1;
        let admitted = self.lines <= MAX_LINES_PER_S;
        self.left_out += u64::from(!admitted);
        admitted
    }

    /// Logs that the share of the shard has changed.
    pub(super) fn moved(
        &mut self,
        shard: ShardId,
        record: &ShareRecord,
        old: u16,
        new: u16,
        now: Time,
    ) {
        if old == new || !self.admit(now) {
            return;
        }
        let left_out = std::mem::take(&mut self.left_out);
        tracing::info!(shard = shard.0, account = %record.account, old, new, left_out,
            shares = describe(&record.entries),
            "the shard's share of an account's limit has changed");
    }

    /// Logs why the account waits for a share, once in [`ACCOUNT_INTERVAL`].
    pub(super) fn waiting(
        &mut self,
        shard: ShardId,
        load: &AccountLoad,
        usable: u16,
        entries: &[ShareEntry],
        reason: Option<WaitReason>,
        now: Time,
    ) {
        let Some(reason) = reason else {
            self.waiting_since.remove(&load.account);
            return;
        };
        let since = self.waiting_since.entry(load.account.clone());
        let since = *since.or_insert(now);
        if now.since(since) < ACCOUNT_INTERVAL {
            return;
        }
        self.waiting_since.insert(load.account.clone(), now);
        if !self.admit(now) {
            return;
        }
        let left_out = std::mem::take(&mut self.left_out);
        tracing::info!(shard = shard.0, account = %load.account, usable, left_out,
            reason = reason.text(), shares = describe(entries),
            running_cpu_milli = load.running.cpu_milli, waiting_cpu_milli = load.waiting.cpu_milli,
            "an account waits for a larger share of its limit");
    }
}

/// The shares of the shards with an entry, as `shard:share/wanted`.
fn describe(entries: &[ShareEntry]) -> String {
    let entry = |entry: &ShareEntry| {
        let ShareEntry { shard, share, .. } = entry;
        format!("{shard}:{}/{}", share.share, share.wanted)
    };
    entries.iter().map(entry).collect::<Vec<_>>().join(" ")
}
