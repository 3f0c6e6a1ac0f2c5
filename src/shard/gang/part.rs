//! The part owner's side of cross-shard gangs: reserves parts in this shard.
//!
//! A part is queued in this shard's policy like any gang. Once the policy has placed all of its
//! tasks, their resources stay reserved, but nothing is recorded or started here until the gang's
//! owner has recorded all parts. When a reservation expires, the gang's transaction may be in
//! flight with an unknown outcome. The part is therefore withdrawn by writing a row under the
//! part's key on condition that it is absent: either this row or the gang's transaction takes
//! effect, never both.

use std::time::Duration;

use super::super::attempt::{Attempt, Decided};
use super::super::commit_queue::TableChange;
use super::super::job::{Job, ReplyToken, TaskPhase};
use super::super::rows::{JobRow, encode, job_key};
use super::super::submit::cancel_unavailable;
use super::super::{OnApplied, Shard};
use super::transaction::part_row;
use crate::error::Refusal;
use crate::message::{Grant, PartCall, PartReply, Reply};
use crate::model::{JobId, JobSpec, Outcome, Time};
use crate::port::table::Write;

/// A part that is queued or reserved in this shard.
#[derive(Debug)]
pub struct ReservedPart {
    /// The placements by task index; empty while the part waits for capacity.
    attempts: Vec<Attempt<Decided>>,
    /// When the reservation expires unless it is renewed.
    expires_at: Time,
    is_withdrawing: bool,
    /// The caller that waits for a grant, with the time when its wait ends.
    waiting_caller: Option<(ReplyToken, Time)>,
}

impl Shard {
    /// Handles a call of a gang's owner about the part in this shard.
    pub fn handle_part_call(&mut self, token: ReplyToken, part: &JobId, call: PartCall, now: Time) {
        if self.closed {
            return self.reply(token, Reply::NotOwner);
        }
        match call {
            PartCall::Reserve {
                spec,
                waited_ms,
                lease_ms,
                wait_ms,
            } => {
                let lease = Duration::from_millis(lease_ms);
                match self.reserve(part, &spec, waited_ms, now + lease, now) {
                    Ok(()) => self.wait_for_grant(token, part.number, wait_ms, now),
                    Err(refusal) => self.refuse(token, refusal),
                }
            }
            PartCall::Release => {
                self.release_part(part.number, now);
                self.reply(token, Reply::Part(PartReply::Gone));
            }
            PartCall::Follow { cancel, wait_ms } => {
                let deadline = now + Duration::from_millis(wait_ms);
                self.follow_part(token, part, cancel, deadline, now);
            }
        }
        self.tick(now);
    }

    /// Queues a part in the policy, or renews its reservation. The part counts as waiting for as
    /// long as the gang has.
    fn reserve(
        &mut self,
        part: &JobId,
        spec: &JobSpec,
        waited_ms: u64,
        expires_at: Time,
        now: Time,
    ) -> Result<(), Refusal> {
        if let Some(known) = self.gangs.parts.get_mut(&part.number) {
            known.expires_at = expires_at;
            return Ok(());
        }
        if self.jobs.contains_key(&part.number) {
            return Ok(());
        }
        self.check_accepting(spec, now)?;
        let waiting_since = Time(now.0.saturating_sub(waited_ms.saturating_mul(1_000)));
        let key = self.policy.submit_since(spec, waiting_since, now)?;
        let mut job = Job::new(part.clone(), key, spec.clone(), None, waiting_since);
        job.add_decision("part of a job over several shards; waits for room");
        self.job_numbers.insert(key, part.number);
        self.jobs.insert(part.number, job);
        let reserved = ReservedPart {
            attempts: Vec::new(),
            expires_at,
            is_withdrawing: false,
            waiting_caller: None,
        };
        self.gangs.parts.insert(part.number, reserved);
        Ok(())
    }

    fn wait_for_grant(&mut self, token: ReplyToken, number: u64, wait_ms: u64, now: Time) {
        let Some(part) = self.gangs.parts.get_mut(&number) else {
            return self.reply(token, Reply::Part(PartReply::Gone));
        };
        let deadline = now + Duration::from_millis(wait_ms);
        let earlier = part.waiting_caller.replace((token, deadline));
        if let Some((earlier, _)) = earlier {
            self.reply(earlier, Reply::Part(PartReply::Waits(String::new())));
        }
        self.reply_to_waiting_caller(number, now);
    }

    /// Replies to the caller that waits for a part's grant, if the part is granted or withdrawn or
    /// the wait has ended.
    fn reply_to_waiting_caller(&mut self, number: u64, now: Time) {
        let Some(part) = self.gangs.parts.get(&number) else {
            return;
        };
        let Some((token, deadline)) = part.waiting_caller else {
            return;
        };
        let reply = if part.is_withdrawing {
            PartReply::Gone
        } else if !part.attempts.is_empty() {
            PartReply::Granted(self.grant_of(part))
        } else if deadline <= now {
            let reason = self.jobs.get(&number);
            let reason = reason.and_then(|job| self.waiting_for(job, now));
            PartReply::Waits(reason.unwrap_or_default())
        } else {
            return;
        };
        if let Some(part) = self.gangs.parts.get_mut(&number) {
            part.waiting_caller = None;
        }
        self.reply(token, Reply::Part(reply));
    }

    fn grant_of(&self, part: &ReservedPart) -> Grant {
        let rows = part
            .attempts
            .iter()
            .map(|attempt| attempt.row(&self.sessions[attempt.worker_index].info.name));
        Grant {
            epoch: self.epoch(),
            rows: rows.collect(),
        }
    }

    /// Keeps the placements of a reserved part instead of recording them. Returns them if the job
    /// is not a reserved part.
    pub(in super::super) fn hold_part_attempts(
        &mut self,
        number: u64,
        attempts: Vec<Attempt<Decided>>,
    ) -> Option<Vec<Attempt<Decided>>> {
        let Some(part) = self.gangs.parts.get_mut(&number) else {
            return Some(attempts);
        };
        part.attempts = attempts;
        None
    }

    /// Lets the reservation of a part that the policy evicts expire now. Returns whether the job is
    /// a reserved part.
    pub(in super::super) fn expire_reservation(&mut self, number: u64) -> bool {
        let Some(part) = self.gangs.parts.get_mut(&number) else {
            return false;
        };
        part.expires_at = Time::default();
        true
    }

    fn release_part(&mut self, number: u64, now: Time) {
        let Some(part) = self.gangs.parts.remove(&number) else {
            return;
        };
        let gone = Reply::Part(PartReply::Gone);
        if let Some((token, _)) = part.waiting_caller {
            self.reply(token, gone.clone());
        }
        self.drop_unrecorded(number, &gone, now);
    }

    /// Replies to callers whose wait has ended, and releases or withdraws parts whose reservations
    /// have expired.
    pub(in super::super) fn update_parts(&mut self, now: Time) {
        let numbers: Vec<u64> = self.gangs.parts.keys().copied().collect();
        for number in numbers {
            self.reply_to_waiting_caller(number, now);
            let part = &self.gangs.parts[&number];
            if part.expires_at > now || part.is_withdrawing {
                continue;
            }
            match part.attempts.is_empty() {
                true => self.release_part(number, now),
                false => self.withdraw_part(number),
            }
        }
    }

    /// Queues a row of a cancelled job under the part's key. The resources stay reserved until the
    /// row is written.
    fn withdraw_part(&mut self, number: u64) {
        let (Some(part), Some(job)) = (self.gangs.parts.get_mut(&number), self.jobs.get(&number))
        else {
            return;
        };
        part.is_withdrawing = true;
        let key = job_key(&job.id);
        let row = JobRow {
            cancelled: true,
            outcome: Some(Outcome::Cancelled),
            ..part_row(job.spec.clone())
        };
        self.commit_queue.push(TableChange {
            job: number,
            absent_key: Some(key.clone()),
            conditions: Vec::new(),
            writes: vec![Write::Put {
                key,
                value: encode(&row),
            }],
            on_applied: OnApplied::PartWithdrawn,
        });
    }

    /// Frees the resources of a part after its withdrawal was recorded.
    pub(in super::super) fn part_withdrawn(&mut self, number: u64, now: Time) {
        if self.gangs.parts.remove(&number).is_none() {
            return;
        }
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        for key in &job.policy_keys {
            self.job_numbers.remove(key);
        }
        self.remove_from_policy(&mut job, now);
        for task in &mut job.tasks {
            task.phase = TaskPhase::Ended(Outcome::Cancelled);
        }
        job.policy_keys.clear();
        job.recorded = true;
        job.open_tasks = 0;
        job.outcome = Some(Outcome::Cancelled);
        job.ended_at = Some(now);
        self.ended_jobs.push_back(number);
        self.jobs.insert(number, job);
    }

    /// Starts a part that could not be withdrawn because the gang's transaction has written the row
    /// `key`. Returns whether `key` belongs to a part that was being withdrawn.
    pub(in super::super) fn handle_existing_part_row(&mut self, key: &str, now: Time) -> bool {
        let withdraws_part = |change: &TableChange<OnApplied>| {
            matches!(change.on_applied, OnApplied::PartWithdrawn)
                && change.absent_key.as_deref() == Some(key)
        };
        let removed = self.commit_queue.remove_pending(withdraws_part);
        for change in &removed {
            self.start_recorded_part(change.job, now);
        }
        !removed.is_empty()
    }

    /// Starts all attempts of a part that the gang's owner has recorded.
    fn start_recorded_part(&mut self, number: u64, now: Time) {
        for attempt in self.take_part_attempts(number) {
            self.start_attempt(&attempt.recorded_by_gang_owner(), now);
        }
    }

    fn take_part_attempts(&mut self, number: u64) -> Vec<Attempt<Decided>> {
        let Some(part) = self.gangs.parts.remove(&number) else {
            return Vec::new();
        };
        if let Some((token, _)) = part.waiting_caller {
            self.reply(token, Reply::Part(PartReply::Gone));
        }
        if let Some(job) = self.jobs.get_mut(&number) {
            job.recorded = true;
            job.add_decision("recorded with the whole job");
        }
        part.attempts
    }

    fn follow_part(
        &mut self,
        token: ReplyToken,
        part: &JobId,
        cancel: bool,
        deadline: Time,
        now: Time,
    ) {
        let number = part.number;
        let reserved = self.gangs.parts.get(&number);
        if reserved.is_some_and(|part| part.attempts.is_empty()) {
            return self.reply(token, Reply::Job(None));
        }
        let open = self.jobs.get(&number).filter(|job| job.outcome.is_none());
        let must_cancel = cancel && open.is_some_and(|job| !job.cancelled);
        if must_cancel && self.table_failed_at.is_some() {
            return self.refuse(token, cancel_unavailable());
        }
        self.commit_queue.remove_pending(|change| {
            change.job == number && matches!(change.on_applied, OnApplied::PartWithdrawn)
        });
        let attempts = self.take_part_attempts(number);
        match must_cancel {
            true => self.cancel(token, part, now),
            false => self.query(token, part, deadline, now),
        }
        for attempt in attempts {
            self.start_attempt(&attempt.recorded_by_gang_owner(), now);
        }
    }
}
