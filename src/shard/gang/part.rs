//! Parts of other shards' jobs that are reserved here.
//!
//! A part is queued in this shard's policy like any all-at-once job. Once the policy has placed all
//! of its tasks, what they need stays reserved, but nothing is recorded or started before the owner
//! of the whole job says so. A reservation that is not renewed in time may be part of a transaction
//! whose end is open: it is withdrawn by a row in the place of the part's, and either that row or
//! the transaction gets there first.

use std::time::Duration;

use super::super::attempt::{Attempt, Decided};
use super::super::commit_queue::TableChange;
use super::super::job::{Job, ReplyToken, TaskPhase};
use super::super::rows::{JobRow, encode, job_key};
use super::super::submit::cancel_unrecorded;
use super::super::{OnApplied, Shard};
use super::transaction::part_row;
use crate::error::Refusal;
use crate::message::{Grant, PartCall, PartReply, Reply};
use crate::model::{JobId, JobSpec, Outcome, Time};
use crate::port::table::Write;

/// A reserved part.
#[derive(Debug)]
pub struct ReservedPart {
    /// The placements, by index; none while the part waits for room.
    attempts: Vec<Attempt<Decided>>,
    /// When the room is given back unless the reservation is renewed.
    until: Time,
    withdrawing: bool,
    /// Who waits for an answer, with the end of its wait.
    asker: Option<(ReplyToken, Time)>,
}

impl Shard {
    /// Takes what the owner of a job over several shards asks of this shard's part.
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
                    Ok(()) => self.ask_for_grant(token, part.number, wait_ms, now),
                    Err(refusal) => self.refuse(token, refusal),
                }
            }
            PartCall::Release => {
                self.release_part(part.number, now);
                self.reply(token, Reply::Part(PartReply::Gone));
            }
            PartCall::Follow { cancel, wait_ms } => {
                let until = now + Duration::from_millis(wait_ms);
                self.follow_part(token, part, cancel, until, now);
            }
        }
        self.tick(now);
    }

    /// Queues a part, or renews its reservation.
    fn reserve(
        &mut self,
        part: &JobId,
        spec: &JobSpec,
        waited_ms: u64,
        until: Time,
        now: Time,
    ) -> Result<(), Refusal> {
        if let Some(known) = self.gangs.parts.get_mut(&part.number) {
            known.until = until;
            return Ok(());
        }
        if self.jobs.contains_key(&part.number) {
            return Ok(());
        }
        self.check_accepting(spec, now)?;
        let since = Time(now.0.saturating_sub(waited_ms.saturating_mul(1_000)));
        let key = self.policy.submit_since(spec, since, now)?;
        let mut job = Job::new(part.clone(), key, spec.clone(), None, since);
        job.add_decision("part of a job over several shards; waits for room");
        self.numbers.insert(key, part.number);
        self.jobs.insert(part.number, job);
        let reserved = ReservedPart {
            attempts: Vec::new(),
            until,
            withdrawing: false,
            asker: None,
        };
        self.gangs.parts.insert(part.number, reserved);
        Ok(())
    }

    fn ask_for_grant(&mut self, token: ReplyToken, number: u64, wait_ms: u64, now: Time) {
        let Some(part) = self.gangs.parts.get_mut(&number) else {
            return self.reply(token, Reply::Part(PartReply::Gone));
        };
        let until = now + Duration::from_millis(wait_ms);
        let earlier = part.asker.replace((token, until));
        if let Some((earlier, _)) = earlier {
            self.reply(earlier, Reply::Part(PartReply::Waits(String::new())));
        }
        self.answer_asker(number, now);
    }

    /// Answers who waits for a part's room, if there is room or the wait has ended.
    fn answer_asker(&mut self, number: u64, now: Time) {
        let Some(part) = self.gangs.parts.get(&number) else {
            return;
        };
        let Some((token, until)) = part.asker else {
            return;
        };
        let reply = if part.withdrawing {
            PartReply::Gone
        } else if !part.attempts.is_empty() {
            PartReply::Granted(self.grant_of(part))
        } else if until <= now {
            let reason = self.jobs.get(&number);
            let reason = reason.and_then(|job| self.waiting_for(job, now));
            PartReply::Waits(reason.unwrap_or_default())
        } else {
            return;
        };
        if let Some(part) = self.gangs.parts.get_mut(&number) {
            part.asker = None;
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

    /// Keeps the placements of a part that is reserved; gives them back to the caller where the
    /// job is none.
    pub(in super::super) fn keep_reserved(
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

    /// Gives up a part that the policy has to end before it started.
    pub(in super::super) fn end_reservation(&mut self, number: u64) -> bool {
        let Some(part) = self.gangs.parts.get_mut(&number) else {
            return false;
        };
        part.until = Time::default();
        true
    }

    fn release_part(&mut self, number: u64, now: Time) {
        let Some(part) = self.gangs.parts.remove(&number) else {
            return;
        };
        let gone = Reply::Part(PartReply::Gone);
        if let Some((token, _)) = part.asker {
            self.reply(token, gone.clone());
        }
        self.drop_unrecorded(number, &gone, now);
    }

    /// Answers who waits too long, and withdraws what was not renewed.
    pub(in super::super) fn tend_parts(&mut self, now: Time) {
        let numbers: Vec<u64> = self.gangs.parts.keys().copied().collect();
        for number in numbers {
            self.answer_asker(number, now);
            let part = &self.gangs.parts[&number];
            if part.until > now || part.withdrawing {
                continue;
            }
            match part.attempts.is_empty() {
                true => self.release_part(number, now),
                false => self.withdraw_part(number),
            }
        }
    }

    /// Writes a cancelled job in the place of the part; what is reserved stays so until that has
    /// taken effect.
    fn withdraw_part(&mut self, number: u64) {
        let (Some(part), Some(job)) = (self.gangs.parts.get_mut(&number), self.jobs.get(&number))
        else {
            return;
        };
        part.withdrawing = true;
        let key = job_key(&job.id);
        let row = JobRow {
            cancelled: true,
            outcome: Some(Outcome::Cancelled),
            ..part_row(job.spec.clone())
        };
        self.commit_queue.push(TableChange {
            job: number,
            absent: Some(key.clone()),
            conditions: Vec::new(),
            writes: vec![Write::Put {
                key,
                value: encode(&row),
            }],
            on_applied: OnApplied::Withdrawn,
        });
    }

    /// Frees what was reserved for a part that is withdrawn for good.
    pub(in super::super) fn part_withdrawn(&mut self, number: u64, now: Time) {
        if self.gangs.parts.remove(&number).is_none() {
            return;
        }
        let Some(mut job) = self.jobs.remove(&number) else {
            return;
        };
        for key in &job.keys {
            self.numbers.remove(key);
        }
        self.withdraw_from_policy(&mut job, now);
        for task in &mut job.tasks {
            task.phase = TaskPhase::Ended(Outcome::Cancelled);
        }
        job.keys.clear();
        job.recorded = true;
        job.open = 0;
        job.outcome = Some(Outcome::Cancelled);
        job.ended = Some(now);
        self.ended.push_back(number);
        self.jobs.insert(number, job);
    }

    /// Takes note that the row of a part that was to be withdrawn is there: it was recorded.
    /// Returns whether `key` is that of such a part.
    pub(in super::super) fn part_exists(&mut self, key: &str, now: Time) -> bool {
        let withdraws = |change: &TableChange<OnApplied>| {
            matches!(change.on_applied, OnApplied::Withdrawn)
                && change.absent.as_deref() == Some(key)
        };
        let taken = self.commit_queue.take_back(withdraws);
        for change in &taken {
            self.start_part(change.job, now);
        }
        !taken.is_empty()
    }

    /// Starts a part that is recorded.
    fn start_part(&mut self, number: u64, now: Time) {
        for attempt in self.take_recorded(number) {
            self.start(&attempt.recorded_elsewhere(), now);
        }
    }

    fn take_recorded(&mut self, number: u64) -> Vec<Attempt<Decided>> {
        let Some(part) = self.gangs.parts.remove(&number) else {
            return Vec::new();
        };
        if let Some((token, _)) = part.asker {
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
        until: Time,
        now: Time,
    ) {
        let number = part.number;
        let reserved = self.gangs.parts.get(&number);
        if reserved.is_some_and(|part| part.attempts.is_empty()) {
            return self.reply(token, Reply::Job(None));
        }
        let open = self.jobs.get(&number).filter(|job| job.outcome.is_none());
        let cancels = cancel && open.is_some_and(|job| !job.cancelled);
        if cancels && self.table_failed.is_some() {
            return self.refuse(token, cancel_unrecorded());
        }
        self.commit_queue.take_back(|change| {
            change.job == number && matches!(change.on_applied, OnApplied::Withdrawn)
        });
        let attempts = self.take_recorded(number);
        match cancels {
            true => self.cancel(token, part, now),
            false => self.query(token, part, until, now),
        }
        for attempt in attempts {
            self.start(&attempt.recorded_elsewhere(), now);
        }
    }
}
