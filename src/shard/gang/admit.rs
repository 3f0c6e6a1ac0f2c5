//! Accepting and taking over jobs over several shards.

use super::super::Shard;
use super::super::job::{Job, TaskPhase};
use super::super::rows::GangRow;
use super::MAX_SPANS;
use super::cross_shard::{CrossShardGang, GangPart, Stage};
use crate::error::Refusal;
use crate::model::{JobSpec, Time};
use crate::port::table::MAX_TXN_ROWS;

/// Rows of the transaction beside those of parts and tasks.
const OTHER_ROWS: usize = 2;

/// Retry after a refusal for want of room for another such job, in milliseconds.
const FULL_RETRY_MS: u64 = 5_000;

impl Shard {
    /// Accepts an all-at-once job that only several shards together hold, or that is bound to this
    /// shard by its key; `refusal` says why this shard alone does not hold it.
    pub(in super::super) fn admit_span(
        &self,
        spec: &JobSpec,
        is_bound: bool,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        if !spec.all_at_once || refusal.code != "never_fits" {
            return Err(refusal);
        }
        let rooms = self.gangs.rooms(&spec.resources);
        let fits_one = rooms.iter().any(|room| room.max_tasks >= spec.tasks.into());
        let total: u64 = rooms.iter().map(|room| room.max_tasks).sum();
        if total == 0 || (fits_one && !is_bound) {
            return Err(refusal);
        }
        if total < spec.tasks.into() {
            let reason = format!(
                "{total} such tasks at once would fit in all shards together, not {}",
                spec.tasks
            );
            return Err(Refusal::not_run("never_fits", reason));
        }
        let most = MAX_TXN_ROWS - OTHER_ROWS - rooms.len();
        if spec.tasks as usize > most {
            let reason = format!("at most {most} tasks can start at once in several shards");
            return Err(Refusal::not_run("gang_too_large", reason));
        }
        if self.gangs.spans.len() >= MAX_SPANS {
            let reason = "too many jobs over several shards wait";
            return Err(Refusal::not_run("queue_full", reason).retry_after(FULL_RETRY_MS));
        }
        Ok(())
    }

    pub(in super::super) fn add_span(&mut self, number: u64, now: Time) {
        self.gangs
            .spans
            .insert(number, CrossShardGang::new(number, now));
    }

    /// Takes over a job over several shards: one whose parts are recorded is followed, one whose
    /// parts are not begins anew.
    pub(in super::super) fn restore_span(&mut self, mut job: Job, row: &GangRow, now: Time) {
        let number = job.id.number;
        let mut span = CrossShardGang::new(number, now);
        let mut first = 0;
        for part in &row.parts {
            span.parts
                .push(GangPart::new(part.job.clone(), first, part.tasks));
            first += part.tasks;
        }
        if !row.parts.is_empty() {
            span.stage = Stage::Running;
            job.tasks
                .iter_mut()
                .for_each(|task| task.phase = TaskPhase::OtherShard);
        }
        let has_ended = job.cancelled && row.parts.is_empty();
        job.open = if has_ended { 0 } else { job.tasks.len() };
        self.gangs.spans.insert(number, span);
        self.jobs.insert(number, job);
        if has_ended {
            self.push_job_end(number, Vec::new());
        }
    }
}
