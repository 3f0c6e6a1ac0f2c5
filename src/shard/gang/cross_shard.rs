//! The gang owner's side of cross-shard gangs: reserves the parts, records them and follows their
//! states.

use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::SmallRng;
use xxhash_rust::xxh3::xxh3_64;

use super::super::commit_queue::TableChange;
use super::super::job::TaskPhase;
use super::super::rows::PartRef;
use super::super::{Effect, OnApplied, Shard};
use crate::decide::gang_split::{ShardShare, reservation_timeout, retry_delay, split_tasks};
use crate::message::{Grant, PartCall, PartReply, Reply};
use crate::model::{JobId, JobSpec, Outcome, Time};

/// How long a reservation lasts without a renewal, in milliseconds.
const RESERVATION_LEASE_MS: u64 = 5_000;

/// How long the owner of a part may delay its reply, in milliseconds.
const MAX_REPLY_WAIT_MS: u64 = 1_000;

/// The interval between renewals of a reservation.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(1);

/// The minimum delay between a reply for a part and the next call for it.
const MIN_CALL_DELAY: Duration = Duration::from_millis(50);

/// The timeout of a round in which no part was granted. The next round may choose other shards.
const RESELECT_SHARDS_AFTER: Duration = Duration::from_secs(60);

/// A cross-shard gang at the owner of its job's shard.
#[derive(Debug)]
pub struct CrossShardGang {
    pub(super) parts: Vec<GangPart>,
    pub(super) stage: Stage,
    /// The number of rounds of reservations that failed.
    failed_rounds: u32,
    rng: SmallRng,
    /// Why the last round failed, or what the current one waits for.
    reason: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// No part is reserved; the next round starts at this time.
    BackingOff(Time),
    /// Parts are being reserved, one after the other.
    Reserving {
        /// When the round started.
        round_started: Time,
        /// When the first part was granted.
        first_grant: Option<Time>,
    },
    /// The placements are being recorded.
    Recording { first_grant: Time },
    /// The placements are recorded; the parts run or have ended.
    Running,
}

/// A part of a cross-shard gang at the gang's owner.
#[derive(Debug)]
pub(super) struct GangPart {
    pub id: JobId,
    /// The index of the part's first task within the gang.
    pub first_task: u32,
    pub tasks: u32,
    pub grant: Option<Grant>,
    call_in_flight: bool,
    next_call_at: Time,
    /// Since when the owner of the part's shard has been replying that it does not know the part.
    pub unknown_since: Option<Time>,
    pub ended: bool,
}

impl GangPart {
    pub fn new(id: JobId, first_task: u32, tasks: u32) -> Self {
        Self {
            id,
            first_task,
            tasks,
            grant: None,
            call_in_flight: false,
            next_call_at: Time::default(),
            unknown_since: None,
            ended: false,
        }
    }

    /// The part as the gang's row names it.
    pub fn to_ref(&self) -> PartRef {
        PartRef {
            job: self.id.clone(),
            tasks: self.tasks,
        }
    }

    /// Makes the next call for the part due now, even while another is in flight.
    pub fn call_now(&mut self, now: Time) {
        self.call_in_flight = false;
        self.next_call_at = now;
    }

    /// The part as a job of its own.
    pub fn spec(&self, gang: &JobSpec) -> JobSpec {
        JobSpec {
            tasks: self.tasks,
            ..gang.clone()
        }
    }
}

impl CrossShardGang {
    pub(super) fn new(number: u64, now: Time) -> Self {
        Self {
            parts: Vec::new(),
            stage: Stage::BackingOff(now),
            failed_rounds: 0,
            rng: SmallRng::seed_from_u64(number),
            reason: String::new(),
        }
    }

    /// The reason why the gang waits.
    pub fn waiting_reason(&self) -> String {
        let granted = self.parts.iter().filter(|part| part.grant.is_some());
        let (granted, total) = (granted.count(), self.parts.len());
        let mut reason = match self.stage {
            Stage::BackingOff(_) => "another try to get room in several shards".to_owned(),
            _ => format!("room for all tasks at once: {granted} of {total} shards"),
        };
        if !self.reason.is_empty() {
            reason = format!("{reason} ({})", self.reason);
        }
        reason
    }

    /// The index of the part to reserve next; the number of parts if all are granted.
    fn next_ungranted(&self) -> usize {
        let is_granted = |part: &GangPart| part.grant.is_some();
        let index = self.parts.iter().position(|part| !is_granted(part));
        index.unwrap_or(self.parts.len())
    }

    /// For how long the gang has held reservations in this round.
    fn reserved_for(&self, now: Time) -> Duration {
        match self.stage {
            Stage::Reserving { first_grant, .. } => {
                first_grant.map_or(Duration::ZERO, |at| now.since(at))
            }
            Stage::Recording { first_grant } => now.since(first_grant),
            Stage::BackingOff(_) | Stage::Running => Duration::ZERO,
        }
    }

    /// Whether the round has taken too long.
    fn has_timed_out(&self, now: Time) -> bool {
        match self.stage {
            Stage::Reserving {
                first_grant: Some(first_grant),
                ..
            } => now.since(first_grant) >= reservation_timeout(self.failed_rounds),
            Stage::Reserving { round_started, .. } => {
                now.since(round_started) >= RESELECT_SHARDS_AFTER
            }
            _ => false,
        }
    }
}

impl Shard {
    /// Starts and fails rounds and calls the owners of parts, as is due for each recorded gang.
    pub(in super::super) fn update_cross_shard_gangs(&mut self, now: Time) {
        let numbers: Vec<u64> = self.gangs.cross_shard.keys().copied().collect();
        for number in numbers {
            if self.jobs.get(&number).is_some_and(|job| job.recorded) {
                self.update_cross_shard_gang(number, now);
            }
        }
    }

    fn update_cross_shard_gang(&mut self, number: u64, now: Time) {
        let gang = &self.gangs.cross_shard[&number];
        match gang.stage {
            Stage::BackingOff(until) if until <= now && self.may_begin_round() => {
                self.begin_round(number, now);
            }
            Stage::Reserving { .. } if gang.has_timed_out(now) || self.stopping => {
                let reason = "the other shards had no room in time".to_owned();
                return self.fail_round(number, reason, now);
            }
            _ => {}
        }
        self.call_parts(number, now);
    }

    /// Whether granted parts could be recorded. Otherwise they would only block capacity.
    fn may_begin_round(&self) -> bool {
        !self.stopping && self.table_failed_at.is_none()
    }

    /// Chooses shards and names a part in each. All gangs reserve their parts in the order of the
    /// shards' names, so that no two gangs wait for each other's reservations.
    fn begin_round(&mut self, number: u64, now: Time) {
        let (Some(job), Some(gang)) = (self.jobs.get(&number), self.gangs.cross_shard.get(&number))
        else {
            return;
        };
        let shard_capacities = self.gangs.shard_capacities(&job.spec.resources);
        let turn = number.wrapping_add(gang.failed_rounds.into());
        let chosen = split_tasks(&shard_capacities, job.spec.tasks, turn);
        let named = chosen.map(|shares| self.name_parts(&job.id, gang.failed_rounds, &shares));
        let Some(gang) = self.gangs.cross_shard.get_mut(&number) else {
            return;
        };
        match named {
            Some(parts) => {
                gang.parts = parts;
                gang.stage = Stage::Reserving {
                    round_started: now,
                    first_grant: None,
                };
            }
            None => {
                gang.reason = "all shards together hold fewer tasks now".to_owned();
                gang.stage = Stage::BackingOff(now + RESELECT_SHARDS_AFTER);
            }
        }
    }

    /// Names the parts by hashing the job, the epoch, the round and the shard, so that no other
    /// owner and no other round uses the same ids.
    fn name_parts(&self, job: &JobId, failed_rounds: u32, shares: &[ShardShare]) -> Vec<GangPart> {
        let epoch = self.epoch();
        let mut first_task = 0;
        let mut parts = Vec::new();
        for share in shares {
            let text = format!("{job}/{epoch}/{failed_rounds}/{}", share.shard);
            let id = JobId::new(&share.shard, xxh3_64(text.as_bytes()));
            parts.push(GangPart::new(id, first_task, share.tasks));
            first_task += share.tasks;
        }
        parts
    }

    /// Calls the owners of the parts for which a call is due.
    fn call_parts(&mut self, number: u64, now: Time) {
        let (Some(job), Some(gang)) = (
            self.jobs.get(&number),
            self.gangs.cross_shard.get_mut(&number),
        ) else {
            return;
        };
        let called_parts = match gang.stage {
            Stage::BackingOff(_) => return,
            Stage::Reserving { .. } => gang.next_ungranted() + 1,
            Stage::Recording { .. } | Stage::Running => gang.parts.len(),
        };
        let is_running = gang.stage == Stage::Running;
        for part in gang.parts.iter_mut().take(called_parts) {
            if part.call_in_flight || part.ended || part.next_call_at > now {
                continue;
            }
            part.call_in_flight = true;
            let waited = now.since(job.accepted_at).as_millis();
            let call = match is_running {
                true => PartCall::Follow {
                    cancel: job.cancelled,
                    wait_ms: MAX_REPLY_WAIT_MS,
                },
                false => PartCall::Reserve {
                    spec: part.spec(&job.spec),
                    waited_ms: u64::try_from(waited).unwrap_or(u64::MAX),
                    lease_ms: RESERVATION_LEASE_MS,
                    wait_ms: MAX_REPLY_WAIT_MS,
                },
            };
            self.effects.push(Effect::CallPartOwner {
                job: number,
                part: part.id.clone(),
                call,
            });
        }
    }

    /// Handles the reply of the owner of a part's shard; `None` if no reply came.
    pub fn handle_part_reply(
        &mut self,
        number: u64,
        part: &JobId,
        reply: Option<Reply>,
        now: Time,
    ) {
        let Some(gang) = self.gangs.cross_shard.get_mut(&number) else {
            return;
        };
        let Some(part_index) = gang.parts.iter().position(|known| known.id == *part) else {
            return;
        };
        let stage = gang.stage;
        let known = &mut gang.parts[part_index];
        known.call_in_flight = false;
        known.next_call_at = now + MIN_CALL_DELAY;
        match (reply, stage) {
            (Some(Reply::Job(view)), Stage::Running) => {
                self.handle_part_state(number, part_index, view, now)
            }
            (Some(Reply::Part(reply)), Stage::Reserving { .. }) => {
                self.handle_reservation_reply(number, part_index, reply, now);
            }
            (Some(Reply::Part(_)), Stage::Recording { .. }) => {
                known.next_call_at = now + RENEWAL_INTERVAL
            }
            (Some(Reply::Refused(refusal)), Stage::Reserving { .. }) => {
                let reason = format!("shard {}: {}", part.shard, refusal.reason);
                self.fail_round(number, reason, now);
            }
            _ => {}
        }
        self.tick(now);
    }

    fn handle_reservation_reply(
        &mut self,
        number: u64,
        part_index: usize,
        reply: PartReply,
        now: Time,
    ) {
        let Some(gang) = self.gangs.cross_shard.get_mut(&number) else {
            return;
        };
        let part = &mut gang.parts[part_index];
        let shard = part.id.shard.clone();
        match reply {
            PartReply::Granted(grant) => {
                part.grant = Some(grant);
                part.next_call_at = now + RENEWAL_INTERVAL;
                gang.note_first_grant(now);
            }
            PartReply::Waits(reason) if part.grant.is_none() => {
                gang.reason = format!("shard {shard}: {reason}");
                return;
            }
            PartReply::Waits(_) | PartReply::Gone => {
                let reason = format!("shard {shard} gave its part back");
                return self.fail_round(number, reason, now);
            }
        }
        if gang.next_ungranted() == gang.parts.len() {
            self.record_gang(number, now);
        }
    }

    fn record_gang(&mut self, number: u64, now: Time) {
        let (Some(job), Some(gang)) = (
            self.jobs.get_mut(&number),
            self.gangs.cross_shard.get_mut(&number),
        ) else {
            return;
        };
        let Stage::Reserving { first_grant, .. } = gang.stage else {
            return;
        };
        gang.stage = Stage::Recording {
            first_grant: first_grant.unwrap_or(now),
        };
        for task in &mut job.tasks {
            task.phase = TaskPhase::OtherShard;
        }
        job.add_decision(format!("room in {} shards", gang.parts.len()));
        self.push_gang_transaction(number);
    }

    /// Notes that all parts are recorded and starts polling them.
    pub(in super::super) fn gang_recorded(&mut self, number: u64, now: Time) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.add_decision("all parts recorded");
        }
        if let Some(gang) = self.gangs.cross_shard.get_mut(&number) {
            gang.stage = Stage::Running;
            gang.parts.iter_mut().for_each(|part| part.call_now(now));
        }
    }

    /// Fails the round of a gang whose transaction can never take effect because its condition on
    /// the row `key` did not hold. Returns whether there is such a gang.
    pub(in super::super) fn gang_conflict(&mut self, key: &str, now: Time) -> bool {
        let has_conflict = |change: &TableChange<OnApplied>| {
            matches!(change.on_applied, OnApplied::GangRecorded)
                && change.conditions.iter().any(|c| c.key == key)
        };
        let removed = self.commit_queue.remove_pending(has_conflict);
        for change in &removed {
            let reason = "another shard's part was withdrawn".to_owned();
            self.fail_round(change.job, reason, now);
        }
        !removed.is_empty()
    }

    /// Fails the rounds whose transactions the table refused.
    pub(in super::super) fn fail_unrecorded_rounds(&mut self, now: Time) {
        let records_gang =
            |change: &TableChange<OnApplied>| matches!(change.on_applied, OnApplied::GangRecorded);
        for change in self.commit_queue.remove_pending(records_gang) {
            let reason = "the platform's table is unavailable".to_owned();
            self.fail_round(change.job, reason, now);
        }
    }

    /// Releases all parts and backs off. Must be called only when no transaction can record the
    /// parts any more.
    fn fail_round(&mut self, number: u64, reason: String, now: Time) {
        self.release_parts(number);
        let (Some(job), Some(gang)) = (
            self.jobs.get_mut(&number),
            self.gangs.cross_shard.get_mut(&number),
        ) else {
            return;
        };
        job.add_decision(format!(
            "round {} in vain: {reason}",
            gang.failed_rounds + 1
        ));
        let reserved_for = gang.reserved_for(now);
        gang.failed_rounds += 1;
        let delay = retry_delay(reserved_for, gang.failed_rounds, &mut gang.rng);
        gang.stage = Stage::BackingOff(now + delay);
        gang.parts.clear();
        gang.reason = reason;
        let phase = match job.cancelled {
            true => TaskPhase::Ended(Outcome::Cancelled),
            false => TaskPhase::Queued,
        };
        job.tasks.iter_mut().for_each(|task| task.phase = phase);
        if job.cancelled {
            job.open_tasks = 0;
            self.push_job_outcome(number, Vec::new());
        }
    }

    pub(super) fn release_parts(&mut self, number: u64) {
        let Some(gang) = self.gangs.cross_shard.get(&number) else {
            return;
        };
        let called_parts = gang.next_ungranted() + 1;
        for part in gang.parts.iter().take(called_parts) {
            self.effects.push(Effect::CallPartOwner {
                job: number,
                part: part.id.clone(),
                call: PartCall::Release,
            });
        }
    }
}

impl CrossShardGang {
    fn note_first_grant(&mut self, now: Time) {
        if let Stage::Reserving { first_grant, .. } = &mut self.stage {
            first_grant.get_or_insert(now);
        }
    }
}
