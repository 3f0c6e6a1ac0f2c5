//! The shares of accounts' limits that the owner of a shard uses: what it knows of the records, and
//! which changes it writes. It does no input or output and reads no clock.
//!
//! Each account has one record with an entry for each shard. An owner changes only the entry of its
//! shard, on the condition that the record still has the version that the owner knows. A shard without
//! an entry has its default share, the fraction of the workflows that it gets. The first owner of a
//! shard may use that at once. A later owner uses nothing until its own epoch is in the record, so that
//! no late write of its predecessor can take effect any more.

use std::collections::HashMap;
use std::time::Duration;

use super::limit_share_log::{ShareLog, WaitReason};
use super::limit_share_record::{AccountHash, ShareEntry, ShareRecord, TABLE};
use super::shards::{ShardId, ShardMap};
use crate::decide::limit_share::{self, ShardShare, WHOLE};
use crate::model::{AccountName, Resources, Time};
use crate::port::record_store::{Record, RecordKey, StoreError, StoreReply, Transaction};
use crate::workflow::record;
use crate::workflow::{AccountLoad, LimitShare};

/// The maximum number of accounts whose records are written in one transaction, which holds at most 100
/// entries.
pub const MAX_WRITES: usize = 98;

/// After this long, work that waits although the shard has its fair part and half of that is unused gets
/// precedence over other shards: it needs more than the part. Ordinary work starts within a few rounds.
const BLOCKED_AFTER: Duration = Duration::from_secs(2);

/// A wanted share is rounded up to a multiple of this, so that small changes of the load need no write.
const WANTED_STEP: u16 = 50;

/// What the owner knows of one account.
#[derive(Debug, Default)]
struct AccountState {
    entries: Vec<ShareEntry>,
    /// The version of the record; 0 if there is none.
    version: u64,
    /// Whether the record cannot be decoded. It is not overwritten then.
    unreadable: bool,
    /// The entry in the write without an answer.
    pending: Option<ShareEntry>,
    /// What the engine was last told.
    usable: Option<u16>,
    /// Since when work has waited although half of the usable share is unused.
    blocked_since: Option<Time>,
}

/// A write without an answer. It is repeated until its outcome is known, because it may take effect
/// at any time until the version of a record changes.
#[derive(Debug)]
struct PendingWrite {
    transaction: Transaction,
    records: Vec<ShareRecord>,
    /// Whether an earlier try may still take effect.
    uncertain: bool,
}

/// What the owner has to do.
#[derive(Debug, Default)]
pub struct ShareUpdate {
    /// The shares to set in the engine, before the write is sent.
    pub usable: Vec<(AccountName, LimitShare)>,
    /// The transaction to send.
    pub write: Option<Transaction>,
}

/// The effect of a write, for the metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct WriteSummary {
    /// How many shares were raised.
    pub raised: u64,
    /// How many shares were lowered.
    pub lowered: u64,
}

/// What is planned for one account.
struct Plan {
    usable: u16,
    entry: ShareEntry,
    write: bool,
    reason: Option<WaitReason>,
}

/// The shares of the limits of all accounts that the owner of one shard uses.
#[derive(Debug)]
pub struct LimitShares {
    shard: ShardId,
    epoch: u64,
    /// The default shares of all shards.
    defaults: Vec<u16>,
    accounts: HashMap<AccountHash, AccountState>,
    /// Whether all records have been read once.
    loaded: bool,
    /// Whether a record shows a later owner of the shard.
    replaced: bool,
    pending: Option<PendingWrite>,
    log: ShareLog,
}

impl LimitShares {
    /// The state of the owner of `shard` with `epoch`, which has read nothing yet.
    pub fn new(shard: ShardId, map: &ShardMap, epoch: u64) -> Self {
        Self {
            shard,
            epoch,
            defaults: map
                .shards()
                .map(|shard| map.workflow_share(shard))
                .collect(),
            accounts: HashMap::new(),
            loaded: false,
            replaced: false,
            pending: None,
            log: ShareLog::default(),
        }
    }

    /// Applies records that were read. `complete` if these are all records of the table.
    pub fn apply_records(&mut self, records: &[Record], complete: bool) {
        for record in records.iter().filter(|record| record.key.table == TABLE) {
            self.apply_record(record);
        }
        self.loaded |= complete;
    }

    fn apply_record(&mut self, record: &Record) {
        let Some(account) = AccountHash::from_key(&record.key) else {
            return;
        };
        let state = self.accounts.entry(account).or_default();
        if record.version <= state.version {
            return;
        }
        state.version = record.version;
        let decoded = record.value.as_deref().map(record::decode::<ShareRecord>);
        match decoded {
            Some(Ok(decoded)) => {
                state.entries = decoded.entries;
                state.unreadable = false;
            }
            Some(Err(error)) => {
                state.unreadable = true;
                tracing::error!(key = %record.key.key, %error,
                    "cannot decode the shares of an account's limit; keeping the lower of the last and the default share");
            }
            None => {
                // Only operators remove records. The next write creates the record again.
                state.entries.clear();
                state.version = 0;
                state.unreadable = false;
            }
        }
        let own = state.entries.iter().find(|entry| entry.shard == self.shard);
        if own.is_some_and(|own| own.epoch > self.epoch) && !self.replaced {
            self.replaced = true;
            tracing::warn!(
                shard = self.shard.0,
                epoch = self.epoch,
                "a later owner of the shard has recorded shares of accounts' limits; this owner uses none any more"
            );
        }
    }

    /// Makes the next update return the shares of all accounts.
    pub fn resend_usable(&mut self) {
        for state in self.accounts.values_mut() {
            state.usable = None;
        }
    }

    /// Whether the owner still has to record its epoch for an account in `loads`.
    pub fn is_fencing(&self, loads: &[AccountLoad]) -> bool {
        let unfenced = |load: &AccountLoad| {
            let state = self.accounts.get(&AccountHash::of(&load.account));
            !state.is_some_and(|state| state.unreadable || self.is_fenced(state))
        };
        self.loaded && !self.replaced && loads.iter().any(unfenced)
    }

    /// Decides what the shard uses of each account's limit and, if `may_write`, which records change.
    pub fn update(&mut self, loads: &[AccountLoad], now: Time, may_write: bool) -> ShareUpdate {
        let mut plans = Vec::with_capacity(loads.len());
        for load in loads {
            let account = AccountHash::of(&load.account);
            self.note_blocked(account, load, now);
            let plan = self.plan(self.accounts.get(&account), load, now);
            plans.push((load, account, plan));
        }
        if may_write && self.pending.is_none() {
            self.begin_write(&plans);
        }
        let uncertain = self.pending.as_ref().is_some_and(|write| write.uncertain);
        let mut update = ShareUpdate::default();
        for (load, account, plan) in plans {
            let state = self.accounts.entry(account).or_default();
            let pending = state.pending.map_or(WHOLE, |entry| entry.share.share);
            let usable = plan.usable.min(pending);
            if state.usable != Some(usable) {
                state.usable = Some(usable);
                update
                    .usable
                    .push((load.account.clone(), LimitShare(usable)));
            }
            let reason = match (uncertain && state.pending.is_some(), plan.reason) {
                (true, Some(_)) => Some(WaitReason::Unanswered),
                (_, reason) => reason,
            };
            self.log
                .waiting(self.shard, load, usable, &state.entries, reason, now);
        }
        if may_write {
            update.write = self.pending.as_ref().map(|write| write.transaction.clone());
        }
        update
    }

    /// Records since when work has waited although half of the usable share is unused. This begins when
    /// the shard has its fair part, and goes on while it gives that up for a shard with a lower ticket.
    fn note_blocked(&mut self, account: AccountHash, load: &AccountLoad, now: Time) {
        let state = self.accounts.get(&account);
        let shares = self.shares(state);
        let own = usize::from(self.shard.0);
        let (wanted, usable) = (
            wanted_by(load),
            state.and_then(|state| state.usable).unwrap_or(0),
        );
        let running = limit_share::part_of(&load.running, &load.limit);
        let since = state.and_then(|state| state.blocked_since);
        let is_blocked = load.waiting != Resources::default()
            && wanted > usable
            && u32::from(running) * 2 <= u32::from(usable)
            && (since.is_some() || usable >= fair_part(shares, own, wanted));
        let state = self.accounts.entry(account).or_default();
        state.blocked_since = is_blocked.then(|| since.unwrap_or(now));
    }

    fn own_default(&self) -> u16 {
        let own = self.defaults.get(usize::from(self.shard.0));
        own.copied().unwrap_or(0)
    }

    /// Whether the owner may use the share of its shard.
    fn is_fenced(&self, state: &AccountState) -> bool {
        let own = state.entries.iter().find(|entry| entry.shard == self.shard);
        own.map_or(self.epoch == 1, |own| own.epoch == self.epoch)
    }

    /// The shares of all shards, by number.
    fn shares(&self, state: Option<&AccountState>) -> Vec<ShardShare> {
        let mut shares: Vec<ShardShare> = self.defaults.iter().map(|d| default_share(*d)).collect();
        for entry in state.iter().flat_map(|state| &state.entries) {
            if let Some(share) = shares.get_mut(usize::from(entry.shard.0)) {
                *share = entry.share;
            }
        }
        shares
    }

    fn plan(&self, state: Option<&AccountState>, load: &AccountLoad, now: Time) -> Plan {
        let mut shares = self.shares(state);
        let own = usize::from(self.shard.0);
        let recorded = shares.get(own).copied().unwrap_or_default();
        let wanted = wanted_by(load);
        let running = limit_share::part_of(&load.running, &load.limit);
        let blocked_since = state.and_then(|state| state.blocked_since);
        let is_blocked = blocked_since.is_some_and(|since| now.since(since) >= BLOCKED_AFTER);
        let ticket = match (is_blocked, recorded.ticket) {
            (false, _) => 0,
            (true, 0) => shares.iter().map(|shard| shard.ticket).max().unwrap_or(0) + 1,
            (true, ticket) => ticket,
        };
        if let Some(share) = shares.get_mut(own) {
            *share = ShardShare {
                wanted,
                ticket,
                ..recorded
            };
        }
        let decision = limit_share::decide(&shares, own, running);
        let share = ShardShare {
            share: decision.share,
            wanted: wanted_to_record(wanted, decision.share, recorded.wanted),
            ticket,
        };
        let entry = ShareEntry {
            shard: self.shard,
            epoch: self.epoch,
            share,
        };
        let is_fenced = state.map_or(self.epoch == 1, |state| self.is_fenced(state));
        let unreadable = state.is_some_and(|state| state.unreadable);
        let lacks = wanted > decision.usable;
        let reason = match () {
            () if !lacks => None,
            () if self.replaced => Some(WaitReason::Replaced),
            () if unreadable => Some(WaitReason::Unreadable),
            () if !self.loaded => Some(WaitReason::NotRead),
            () if !is_fenced => Some(WaitReason::EpochNotRecorded),
            () => Some(WaitReason::UsedByOtherShards),
        };
        let usable = match () {
            () if self.replaced || !is_fenced => 0,
            () if unreadable => recorded.share.min(self.own_default()),
            () => decision.usable,
        };
        Plan {
            usable,
            entry,
            write: !unreadable && (!is_fenced || share != recorded),
            reason,
        }
    }

    /// Collects the changes of the next transaction; those of accounts with waiting work come first.
    fn begin_write(&mut self, plans: &[(&AccountLoad, AccountHash, Plan)]) {
        if !self.loaded || self.replaced {
            return;
        }
        let mut changed: Vec<_> = plans.iter().filter(|(.., plan)| plan.write).collect();
        changed.sort_by_key(|(load, ..)| load.waiting == Resources::default());
        changed.truncate(MAX_WRITES);
        let mut write = PendingWrite {
            transaction: Transaction::default(),
            records: Vec::new(),
            uncertain: false,
        };
        for (load, account, plan) in changed {
            let state = self.accounts.entry(*account).or_default();
            let record = ShareRecord {
                account: load.account.clone(),
                entries: state.entries.clone(),
            }
            .with(plan.entry);
            let encoded = match record::encode(&record) {
                Ok(encoded) => encoded,
                Err(error) => {
                    tracing::error!(account = %load.account, %error, "cannot encode the shares of an account's limit");
                    continue;
                }
            };
            let key = account.record_key();
            write
                .transaction
                .expected
                .push((key.clone(), state.version));
            write.transaction.puts.push((key, encoded));
            write.records.push(record);
            state.pending = Some(plan.entry);
        }
        if !write.records.is_empty() {
            self.pending = Some(write);
        }
    }

    /// Handles the result of a write. Without a known outcome the same transaction is sent again.
    pub fn finish_write(
        &mut self,
        result: &Result<StoreReply, StoreError>,
        now: Time,
    ) -> WriteSummary {
        let mut summary = WriteSummary::default();
        let Some(mut write) = self.pending.take() else {
            return summary;
        };
        match result {
            Ok(StoreReply::Committed { version }) => {
                for record in &write.records {
                    self.apply_committed(record, *version, &mut summary, now);
                }
            }
            Ok(StoreReply::Conflict { records }) => {
                self.apply_records(records, false);
                self.forget_removed(&write.transaction, records);
            }
            Err(StoreError::NotDone(_) | StoreError::Rejected(_)) if !write.uncertain => {}
            Ok(_) | Err(_) => {
                write.uncertain = true;
                self.pending = Some(write);
                return summary;
            }
        }
        for (key, _) in &write.transaction.expected {
            if let Some(state) = self.state_of(key) {
                state.pending = None;
            }
        }
        summary
    }

    fn apply_committed(
        &mut self,
        record: &ShareRecord,
        version: u64,
        summary: &mut WriteSummary,
        now: Time,
    ) {
        let default = self.own_default();
        let account = AccountHash::of(&record.account);
        let state = self.accounts.entry(account).or_default();
        let share_in = |entry: &ShareEntry| entry.share.share;
        let old = state.entries.iter().find(|entry| entry.shard == self.shard);
        let old = old.map_or(default, share_in);
        if let Some(new) = record.entry(self.shard).map(share_in) {
            summary.raised += u64::from(new > old);
            summary.lowered += u64::from(new < old);
            self.log.moved(self.shard, record, old, new, now);
        }
        if version > state.version {
            state.version = version;
            state.entries.clone_from(&record.entries);
        }
    }

    fn state_of(&mut self, key: &RecordKey) -> Option<&mut AccountState> {
        self.accounts.get_mut(&AccountHash::from_key(key)?)
    }

    /// Forgets records that the store no longer has.
    fn forget_removed(&mut self, transaction: &Transaction, found: &[Record]) {
        for (key, version) in &transaction.expected {
            let exists = found
                .iter()
                .any(|record| record.key == *key && record.version > 0);
            let state = self.state_of(key);
            if let Some(state) = state.filter(|state| !exists && state.version == *version) {
                state.version = 0;
                state.entries.clear();
            }
        }
    }
}

/// The part of the shard `own`, which wants `wanted`, if no shard had precedence.
fn fair_part(shares: Vec<ShardShare>, own: usize, wanted: u16) -> u16 {
    let mut all_wanted: Vec<u16> = shares.iter().map(|shard| shard.wanted).collect();
    if let Some(own) = all_wanted.get_mut(own) {
        *own = wanted;
    }
    let parts = limit_share::fair_parts(&all_wanted, None);
    parts.get(own).copied().unwrap_or(0)
}

/// A shard without an entry: it has its default share, and is taken to need it.
fn default_share(share: u16) -> ShardShare {
    ShardShare {
        share,
        wanted: share,
        ticket: 0,
    }
}

/// The part of the limit that the account could use in this shard.
fn wanted_by(load: &AccountLoad) -> u16 {
    let needed = load.running.plus(&load.waiting);
    limit_share::part_of(&needed, &load.limit).min(WHOLE)
}

/// The wanted share to record. It changes only if other shards would decide differently.
fn wanted_to_record(wanted: u16, share: u16, recorded: u16) -> u16 {
    if wanted <= share {
        return if recorded > share { wanted } else { recorded };
    }
    let rounded = wanted.next_multiple_of(WANTED_STEP).min(WHOLE);
    let is_close = recorded > share && recorded >= wanted && recorded <= rounded + WANTED_STEP;
    if is_close { recorded } else { rounded }
}
