//! Commits of a shard: when one starts and what follows its outcome.

use std::time::Duration;

use super::attempt::CommitProof;
use super::commit_queue::{CommitOutcome, TableChange};
use super::{Effect, OnApplied, Shard};
use crate::model::Time;

/// After this long without a successful commit, idempotent tasks of recorded jobs are started ahead
/// of their rows.
const DETACHED_AFTER: Duration = Duration::from_millis(1_000);

/// The maximum time between two commits that verify that the table still names this owner.
const OWNERSHIP_CHECK_INTERVAL: Duration = Duration::from_secs(10);

impl Shard {
    pub(super) fn start_commit(&mut self, now: Time) {
        let too_early = |at: Option<Time>| at.is_some_and(|at| now < at);
        if too_early(self.commit_retry_at) || too_early(self.next_commit_at) {
            return;
        }
        let txn = match self.commit_queue.begin() {
            Some(txn) => Some(txn),
            None if self.stopping => self.commit_queue.begin_release(),
            None if self.needs_ownership_check(now) => self.commit_queue.begin_ownership_check(),
            None => None,
        };
        if let Some(txn) = txn {
            self.commit_started_at = Some(now);
            self.next_commit_at = Some(now + self.timings.min_commit_interval);
            self.effects.push(Effect::Commit(txn));
        }
    }

    /// Whether to commit without any change, to learn whether the table is available and still
    /// names this owner. Without this check a fenced owner with nothing to record would renew its
    /// workers' leases forever.
    fn needs_ownership_check(&self, now: Time) -> bool {
        let interval = OWNERSHIP_CHECK_INTERVAL.min(self.timings.max_detached / 4);
        self.table_failed_at.is_some()
            || self.verified_at.is_none()
            || self.is_unverified_for(interval, now)
    }

    pub(super) fn is_unverified_for(&self, duration: Duration, now: Time) -> bool {
        now.since(self.verified_at.unwrap_or(self.opened_at)) >= duration
    }

    /// Handles the outcome of the commit in flight.
    pub fn handle_commit_outcome(&mut self, outcome: CommitOutcome, now: Time) {
        match outcome {
            CommitOutcome::Applied => self.commit_applied(now),
            CommitOutcome::Unavailable => self.commit_failed(now),
            CommitOutcome::Exists { key, value } => {
                self.commit_conflicted();
                if !self.handle_existing_part_row(&key, now) && !self.gang_conflict(&key, now) {
                    self.handle_existing_key(&key, &value, now);
                }
            }
            CommitOutcome::Conflict { key } => {
                self.commit_conflicted();
                self.gang_conflict(&key, now);
            }
            CommitOutcome::Fenced => self.close_fenced(),
        }
        self.tick(now);
    }

    fn commit_applied(&mut self, now: Time) {
        self.table_failed_at = None;
        self.commit_retry_at = None;
        self.verified_at = self.commit_started_at.take();
        let (changes, proof) = self.commit_queue.applied();
        if self.commit_queue.owner().is_none() {
            self.closed = true;
            self.effects.push(Effect::Released);
            return;
        }
        for change in changes {
            self.handle_applied_change(change, &proof, now);
        }
    }

    fn handle_applied_change(
        &mut self,
        change: TableChange<OnApplied>,
        proof: &CommitProof,
        now: Time,
    ) {
        match change.on_applied {
            OnApplied::Accepted => self.job_recorded(change.job),
            OnApplied::StartAttempts(attempts) => {
                for attempt in attempts {
                    self.start_attempt(&attempt.recorded(proof), now);
                }
            }
            OnApplied::AcknowledgeEnds(ends) => self.acknowledge_ends(ends),
            OnApplied::JobEnded(ends) => {
                self.acknowledge_ends(ends);
                self.finish_job(change.job, now);
            }
            OnApplied::Cancelled(token) => self.reply_job_view(token, change.job, now),
            OnApplied::GangRecorded => self.gang_recorded(change.job, now),
            OnApplied::PartWithdrawn => self.part_withdrawn(change.job, now),
            OnApplied::Nothing => {}
        }
    }

    /// A conflict is a response of the table: the time until the owner counts as detached starts
    /// again with the next commit.
    fn commit_conflicted(&mut self) {
        self.commit_queue.rolled_back();
        self.commit_started_at = None;
    }

    fn commit_failed(&mut self, now: Time) {
        self.commit_queue.rolled_back();
        self.table_failed_at
            .get_or_insert(self.commit_started_at.unwrap_or(now));
        self.commit_started_at = None;
        self.commit_retry_at = Some(now + self.timings.calls.backoff);
        self.refuse_unrecorded(now);
        self.fail_unrecorded_rounds(now);
    }

    /// Whether the table has been failing, or a commit has been in flight, for so long that
    /// idempotent tasks of recorded jobs are started ahead of their rows.
    pub fn is_detached(&self, now: Time) -> bool {
        self.table_failing_since()
            .is_some_and(|since| now.since(since) >= DETACHED_AFTER)
    }

    fn table_failing_since(&self) -> Option<Time> {
        self.table_failed_at.or(self.commit_started_at)
    }
}
