//! Jobs of this shard whose tasks run in several shards.

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

/// After how long a reservation that is not renewed is given back, in milliseconds.
const LEASE_MS: u64 = 5_000;

/// How long the owner of a part may hold an answer back, in milliseconds.
const WAIT_MS: u64 = 1_000;

/// How often reservations are renewed.
const RENEW_EVERY: Duration = Duration::from_secs(1);

/// The least time between two calls for one part.
const CALL_PAUSE: Duration = Duration::from_millis(50);

/// How long a job that holds nothing waits for its first part before it chooses shards anew.
const CHOOSE_AFTER: Duration = Duration::from_secs(60);

/// A job over several shards.
#[derive(Debug)]
pub struct CrossShardGang {
    pub(super) parts: Vec<GangPart>,
    pub(super) stage: Stage,
    /// Rounds of reservations that were in vain.
    tries: u32,
    rng: SmallRng,
    /// Why the last round was in vain, or what the present one waits for.
    why: String,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Stage {
    /// No part is reserved before this time.
    Pausing(Time),
    /// Parts are being reserved, one after the other.
    Reserving {
        /// When the round began.
        began: Time,
        /// When the first part was granted.
        held: Option<Time>,
    },
    /// The placements are being recorded.
    Recording { held: Time },
    /// They are recorded.
    Running,
}

/// One part of a job, as the job's owner sees it.
#[derive(Debug)]
pub(super) struct GangPart {
    pub id: JobId,
    /// The index of its first task within the whole job.
    pub first: u32,
    pub tasks: u32,
    pub grant: Option<Grant>,
    calling: bool,
    next_call: Time,
    /// Since when the part's owner does not know it.
    pub unknown_since: Option<Time>,
    pub ended: bool,
}

impl GangPart {
    pub fn new(id: JobId, first: u32, tasks: u32) -> Self {
        Self {
            id,
            first,
            tasks,
            grant: None,
            calling: false,
            next_call: Time::default(),
            unknown_since: None,
            ended: false,
        }
    }

    /// The part as the job's row names it.
    pub fn reference(&self) -> PartRef {
        PartRef {
            job: self.id.clone(),
            tasks: self.tasks,
        }
    }

    /// Calls the part's owner at once, also where a call is under way.
    pub fn call_again(&mut self, now: Time) {
        self.calling = false;
        self.next_call = now;
    }

    /// The part as a job of its own.
    pub fn spec(&self, whole: &JobSpec) -> JobSpec {
        JobSpec {
            tasks: self.tasks,
            ..whole.clone()
        }
    }
}

impl CrossShardGang {
    pub(super) fn new(number: u64, now: Time) -> Self {
        Self {
            parts: Vec::new(),
            stage: Stage::Pausing(now),
            tries: 0,
            rng: SmallRng::seed_from_u64(number),
            why: String::new(),
        }
    }

    /// What the job waits for.
    pub fn waits_for(&self) -> String {
        let granted = self.parts.iter().filter(|part| part.grant.is_some());
        let (granted, all) = (granted.count(), self.parts.len());
        let mut reason = match self.stage {
            Stage::Pausing(_) => "another try to get room in several shards".to_owned(),
            _ => format!("room for all tasks at once: {granted} of {all} shards"),
        };
        if !self.why.is_empty() {
            reason = format!("{reason} ({})", self.why);
        }
        reason
    }

    /// The part to be reserved next; all where every part is granted.
    fn current(&self) -> usize {
        let granted = |part: &GangPart| part.grant.is_some();
        let first = self.parts.iter().position(|part| !granted(part));
        first.unwrap_or(self.parts.len())
    }

    fn held_for(&self, now: Time) -> Duration {
        match self.stage {
            Stage::Reserving { held, .. } => held.map_or(Duration::ZERO, |held| now.since(held)),
            Stage::Recording { held } => now.since(held),
            Stage::Pausing(_) | Stage::Running => Duration::ZERO,
        }
    }

    fn is_late(&self, now: Time) -> bool {
        match self.stage {
            Stage::Reserving {
                held: Some(held), ..
            } => now.since(held) >= reservation_timeout(self.tries),
            Stage::Reserving { began, .. } => now.since(began) >= CHOOSE_AFTER,
            _ => false,
        }
    }
}

impl Shard {
    /// Lets time pass for jobs over several shards.
    pub(in super::super) fn tend_spans(&mut self, now: Time) {
        let numbers: Vec<u64> = self.gangs.spans.keys().copied().collect();
        for number in numbers {
            if self.jobs.get(&number).is_some_and(|job| job.recorded) {
                self.tend_span(number, now);
            }
        }
    }

    fn tend_span(&mut self, number: u64, now: Time) {
        let span = &self.gangs.spans[&number];
        match span.stage {
            Stage::Pausing(until) if until <= now && self.may_begin_round() => {
                self.begin_round(number, now);
            }
            Stage::Reserving { .. } if span.is_late(now) || self.stopping => {
                let why = "the other shards had no room in time".to_owned();
                return self.round_failed(number, why, now);
            }
            _ => {}
        }
        self.call_parts(number, now);
    }

    /// Whether what is reserved could be recorded, so that no room is held in vain.
    fn may_begin_round(&self) -> bool {
        !self.stopping && self.table_failed.is_none()
    }

    /// Chooses shards and names parts in them. The order of names is the same for all jobs, so that
    /// no two hold what the other waits for.
    fn begin_round(&mut self, number: u64, now: Time) {
        let (Some(job), Some(span)) = (self.jobs.get(&number), self.gangs.spans.get(&number))
        else {
            return;
        };
        let rooms = self.gangs.rooms(&job.spec.resources);
        let turn = number.wrapping_add(span.tries.into());
        let chosen = split_tasks(&rooms, job.spec.tasks, turn);
        let named = chosen.map(|shares| self.name_parts(&job.id, span.tries, &shares));
        let Some(span) = self.gangs.spans.get_mut(&number) else {
            return;
        };
        match named {
            Some(parts) => {
                span.parts = parts;
                span.stage = Stage::Reserving {
                    began: now,
                    held: None,
                };
            }
            None => {
                span.why = "all shards together hold fewer tasks now".to_owned();
                span.stage = Stage::Pausing(now + CHOOSE_AFTER);
            }
        }
    }

    /// Names that no other owner and no other round gives.
    fn name_parts(&self, job: &JobId, tries: u32, shares: &[ShardShare]) -> Vec<GangPart> {
        let epoch = self.epoch();
        let mut first = 0;
        let mut parts = Vec::new();
        for share in shares {
            let text = format!("{job}/{epoch}/{tries}/{}", share.shard);
            let id = JobId::new(&share.shard, xxh3_64(text.as_bytes()));
            parts.push(GangPart::new(id, first, share.tasks));
            first += share.tasks;
        }
        parts
    }

    /// Calls the owners of the parts whose turn it is.
    fn call_parts(&mut self, number: u64, now: Time) {
        let (Some(job), Some(span)) = (self.jobs.get(&number), self.gangs.spans.get_mut(&number))
        else {
            return;
        };
        let last = match span.stage {
            Stage::Pausing(_) => return,
            Stage::Reserving { .. } => span.current() + 1,
            Stage::Recording { .. } | Stage::Running => span.parts.len(),
        };
        let is_running = span.stage == Stage::Running;
        for part in span.parts.iter_mut().take(last) {
            if part.calling || part.ended || part.next_call > now {
                continue;
            }
            part.calling = true;
            let waited = now.since(job.accepted).as_millis();
            let call = match is_running {
                true => PartCall::Follow {
                    cancel: job.cancelled,
                    wait_ms: WAIT_MS,
                },
                false => PartCall::Reserve {
                    spec: part.spec(&job.spec),
                    waited_ms: u64::try_from(waited).unwrap_or(u64::MAX),
                    lease_ms: LEASE_MS,
                    wait_ms: WAIT_MS,
                },
            };
            self.effects.push(Effect::CallPartOwner {
                job: number,
                part: part.id.clone(),
                call,
            });
        }
    }

    /// Takes the reply of the owner of a part, or `None` where there was none.
    pub fn handle_part_reply(
        &mut self,
        number: u64,
        part: &JobId,
        reply: Option<Reply>,
        now: Time,
    ) {
        let Some(span) = self.gangs.spans.get_mut(&number) else {
            return;
        };
        let Some(at) = span.parts.iter().position(|known| known.id == *part) else {
            return;
        };
        let stage = span.stage;
        let known = &mut span.parts[at];
        known.calling = false;
        known.next_call = now + CALL_PAUSE;
        match (reply, stage) {
            (Some(Reply::Job(view)), Stage::Running) => self.followed(number, at, view, now),
            (Some(Reply::Part(reply)), Stage::Reserving { .. }) => {
                self.reserved(number, at, reply, now);
            }
            (Some(Reply::Part(_)), Stage::Recording { .. }) => known.next_call = now + RENEW_EVERY,
            (Some(Reply::Refused(refusal)), Stage::Reserving { .. }) => {
                let why = format!("shard {}: {}", part.shard, refusal.reason);
                self.round_failed(number, why, now);
            }
            _ => {}
        }
        self.tick(now);
    }

    fn reserved(&mut self, number: u64, at: usize, reply: PartReply, now: Time) {
        let Some(span) = self.gangs.spans.get_mut(&number) else {
            return;
        };
        let part = &mut span.parts[at];
        let shard = part.id.shard.clone();
        match reply {
            PartReply::Granted(grant) => {
                part.grant = Some(grant);
                part.next_call = now + RENEW_EVERY;
                span.note_held(now);
            }
            PartReply::Waits(why) if part.grant.is_none() => {
                span.why = format!("shard {shard}: {why}");
                return;
            }
            PartReply::Waits(_) | PartReply::Gone => {
                let why = format!("shard {shard} gave its part back");
                return self.round_failed(number, why, now);
            }
        }
        if span.current() == span.parts.len() {
            self.record_span(number, now);
        }
    }

    fn record_span(&mut self, number: u64, now: Time) {
        let (Some(job), Some(span)) = (
            self.jobs.get_mut(&number),
            self.gangs.spans.get_mut(&number),
        ) else {
            return;
        };
        let Stage::Reserving { held, .. } = span.stage else {
            return;
        };
        span.stage = Stage::Recording {
            held: held.unwrap_or(now),
        };
        for task in &mut job.tasks {
            task.phase = TaskPhase::OtherShard;
        }
        job.add_decision(format!("room in {} shards", span.parts.len()));
        self.push_span(number);
    }

    /// Follows the parts once they are recorded.
    pub(in super::super) fn span_recorded(&mut self, number: u64, now: Time) {
        if let Some(job) = self.jobs.get_mut(&number) {
            job.add_decision("all parts recorded");
        }
        if let Some(span) = self.gangs.spans.get_mut(&number) {
            span.stage = Stage::Running;
            span.parts.iter_mut().for_each(|part| part.call_again(now));
        }
    }

    /// Takes note that the transaction of a job did not take effect and never will, since `key`
    /// has changed. Returns whether there is such a job.
    pub(in super::super) fn span_conflict(&mut self, key: &str, now: Time) -> bool {
        let spans = |change: &TableChange<OnApplied>| {
            matches!(change.on_applied, OnApplied::Spanned)
                && change.conditions.iter().any(|c| c.key == key)
        };
        let taken = self.commit_queue.take_back(spans);
        for change in &taken {
            let why = "another shard's part was withdrawn".to_owned();
            self.round_failed(change.job, why, now);
        }
        !taken.is_empty()
    }

    /// Gives up the rounds whose transactions the table refused.
    pub(in super::super) fn spans_refused(&mut self, now: Time) {
        let spans =
            |change: &TableChange<OnApplied>| matches!(change.on_applied, OnApplied::Spanned);
        for change in self.commit_queue.take_back(spans) {
            let why = "the platform's table is unavailable".to_owned();
            self.round_failed(change.job, why, now);
        }
    }

    /// Gives all parts back and pauses; only where no transaction can record them any more.
    fn round_failed(&mut self, number: u64, why: String, now: Time) {
        self.release_span(number);
        let (Some(job), Some(span)) = (
            self.jobs.get_mut(&number),
            self.gangs.spans.get_mut(&number),
        ) else {
            return;
        };
        job.add_decision(format!("round {} in vain: {why}", span.tries + 1));
        let held = span.held_for(now);
        span.tries += 1;
        let wait = retry_delay(held, span.tries, &mut span.rng);
        span.stage = Stage::Pausing(now + wait);
        span.parts.clear();
        span.why = why;
        let left = match job.cancelled {
            true => TaskPhase::Ended(Outcome::Cancelled),
            false => TaskPhase::Queued,
        };
        job.tasks.iter_mut().for_each(|task| task.phase = left);
        if job.cancelled {
            job.open = 0;
            self.push_job_end(number, Vec::new());
        }
    }

    pub(super) fn release_span(&mut self, number: u64) {
        let Some(span) = self.gangs.spans.get(&number) else {
            return;
        };
        let last = span.current() + 1;
        for part in span.parts.iter().take(last) {
            self.effects.push(Effect::CallPartOwner {
                job: number,
                part: part.id.clone(),
                call: PartCall::Release,
            });
        }
    }
}

impl CrossShardGang {
    fn note_held(&mut self, now: Time) {
        if let Stage::Reserving { held, .. } = &mut self.stage {
            held.get_or_insert(now);
        }
    }
}
