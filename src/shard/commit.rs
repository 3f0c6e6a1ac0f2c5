//! Transactions of a shard: when one begins, and what follows its end.

use std::time::Duration;

use super::attempt::CommitProof;
use super::commit_queue::{CommitOutcome, TableChange};
use super::{Effect, OnApplied, Shard};
use crate::model::Time;

/// How long the table may fail before recorded idempotent tasks start ahead of their rows.
const DETACHED_AFTER: Duration = Duration::from_millis(1_000);

/// The longest time between two proofs that the table still names this owner.
const PROVE_EVERY: Duration = Duration::from_secs(10);

impl Shard {
    pub(super) fn commit(&mut self, now: Time) {
        let too_early = |at: Option<Time>| at.is_some_and(|at| now < at);
        if too_early(self.retry_commit) || too_early(self.next_commit) {
            return;
        }
        let txn = match self.commit_queue.begin() {
            Some(txn) => Some(txn),
            None if self.stopping => self.commit_queue.begin_release(),
            None if self.must_prove(now) => self.commit_queue.begin_proof(),
            None => None,
        };
        if let Some(txn) = txn {
            self.began = Some(now);
            self.next_commit = Some(now + self.times.min_commit_interval);
            self.effects.push(Effect::Commit(txn));
        }
    }

    /// Whether this owner has nothing to record but is to learn whether the table answers and still
    /// names it: one that was overtaken would otherwise renew leases for ever.
    fn must_prove(&self, now: Time) -> bool {
        let every = PROVE_EVERY.min(self.times.max_detached / 4);
        self.table_failed.is_some() || self.proved.is_none() || self.is_unproved_for(every, now)
    }

    pub(super) fn is_unproved_for(&self, long: Duration, now: Time) -> bool {
        now.since(self.proved.unwrap_or(self.opened)) >= long
    }

    /// Takes the end of the transaction under way.
    pub fn handle_commit_outcome(&mut self, commit: CommitOutcome, now: Time) {
        match commit {
            CommitOutcome::Applied => self.commit_applied(now),
            CommitOutcome::Unavailable => self.commit_refused(now),
            CommitOutcome::Exists { key, value } => {
                self.commit_conflicted();
                if !self.part_exists(&key, now) && !self.span_conflict(&key, now) {
                    self.key_exists(&key, &value, now);
                }
            }
            CommitOutcome::Conflict { key } => {
                self.commit_conflicted();
                self.span_conflict(&key, now);
            }
            CommitOutcome::Fenced => self.overtaken(),
        }
        self.tick(now);
    }

    fn commit_applied(&mut self, now: Time) {
        self.table_failed = None;
        self.retry_commit = None;
        self.proved = self.began.take();
        let (changes, proof) = self.commit_queue.applied();
        if self.commit_queue.owner().is_none() {
            self.closed = true;
            self.effects.push(Effect::Released);
            return;
        }
        for change in changes {
            self.follow(change, &proof, now);
        }
    }

    fn follow(&mut self, change: TableChange<OnApplied>, proof: &CommitProof, now: Time) {
        match change.on_applied {
            OnApplied::Accepted => self.accepted(change.job),
            OnApplied::Start(attempts) => {
                for attempt in attempts {
                    self.start(&attempt.recorded(proof), now);
                }
            }
            OnApplied::Acknowledge(ends) => self.acknowledge(ends),
            OnApplied::JobEnded(ends) => {
                self.acknowledge(ends);
                self.job_ended(change.job, now);
            }
            OnApplied::Cancelled(token) => self.reply_view(token, change.job, now),
            OnApplied::Spanned => self.span_recorded(change.job, now),
            OnApplied::Withdrawn => self.part_withdrawn(change.job, now),
            OnApplied::Nothing => {}
        }
    }

    /// The table answered, so that what waits for it next begins anew.
    fn commit_conflicted(&mut self) {
        self.commit_queue.refused();
        self.began = None;
    }

    fn commit_refused(&mut self, now: Time) {
        self.commit_queue.refused();
        self.table_failed.get_or_insert(self.began.unwrap_or(now));
        self.began = None;
        self.retry_commit = Some(now + self.times.calls.backoff);
        self.refuse_unrecorded(now);
        self.spans_refused(now);
    }

    /// Whether the table has failed for so long that recorded idempotent tasks start ahead of
    /// their rows.
    pub fn is_detached(&self, now: Time) -> bool {
        self.failing_since()
            .is_some_and(|since| now.since(since) >= DETACHED_AFTER)
    }

    fn failing_since(&self) -> Option<Time> {
        self.table_failed.or(self.began)
    }
}
