//! Admits cross-shard gangs and restores them after a takeover.

use super::super::Shard;
use super::super::job::{Job, TaskPhase};
use super::super::rows::GangRow;
use super::MAX_CROSS_SHARD_GANGS;
use super::cross_shard::{CrossShardGang, GangPart, Stage};
use crate::error::Refusal;
use crate::model::{JobSpec, Time};
use crate::port::table::MAX_TXN_ROWS;

/// The rows of a gang's transaction besides those of its parts and tasks.
const OTHER_ROWS: usize = 2;

/// The retry delay that a refusal names when the shard keeps too many cross-shard gangs, in
/// milliseconds.
const FULL_RETRY_MS: u64 = 5_000;

impl Shard {
    /// Admits a gang that fits only into several shards together, or that its idempotency key binds
    /// to this shard. `refusal` is the policy's reason why the gang does not fit into this shard
    /// alone.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the gang cannot be admitted.
    pub(in super::super) fn admit_cross_shard_gang(
        &self,
        spec: &JobSpec,
        is_bound_by_key: bool,
        refusal: Refusal,
    ) -> Result<(), Refusal> {
        if !spec.all_at_once || refusal.code != "never_fits" {
            return Err(refusal);
        }
        let shard_capacities = self.gangs.shard_capacities(&spec.resources);
        let fits_one_shard = shard_capacities
            .iter()
            .any(|capacity| capacity.max_tasks >= spec.tasks.into());
        let total: u64 = shard_capacities
            .iter()
            .map(|capacity| capacity.max_tasks)
            .sum();
        if total == 0 || (fits_one_shard && !is_bound_by_key) {
            return Err(refusal);
        }
        if total < spec.tasks.into() {
            let reason = format!(
                "{total} such tasks at once would fit in all shards together, not {}",
                spec.tasks
            );
            return Err(Refusal::not_run("never_fits", reason));
        }
        let max_tasks = MAX_TXN_ROWS - OTHER_ROWS - shard_capacities.len();
        if spec.tasks as usize > max_tasks {
            let reason = format!("at most {max_tasks} tasks can start at once in several shards");
            return Err(Refusal::not_run("gang_too_large", reason));
        }
        if self.gangs.cross_shard.len() >= MAX_CROSS_SHARD_GANGS {
            let reason = "too many jobs over several shards wait";
            return Err(Refusal::not_run("queue_full", reason).retry_after(FULL_RETRY_MS));
        }
        Ok(())
    }

    pub(in super::super) fn add_cross_shard_gang(&mut self, number: u64, now: Time) {
        self.gangs
            .cross_shard
            .insert(number, CrossShardGang::new(number, now));
    }

    /// Restores a cross-shard gang after a takeover. If its parts are recorded they are polled,
    /// otherwise the reservations start again.
    pub(in super::super) fn restore_cross_shard_gang(
        &mut self,
        mut job: Job,
        row: &GangRow,
        now: Time,
    ) {
        let number = job.id.number;
        let mut gang = CrossShardGang::new(number, now);
        let mut first_task = 0;
        for part in &row.parts {
            gang.parts
                .push(GangPart::new(part.job.clone(), first_task, part.tasks));
            first_task += part.tasks;
        }
        if !row.parts.is_empty() {
            gang.stage = Stage::Running;
            job.tasks
                .iter_mut()
                .for_each(|task| task.phase = TaskPhase::OtherShard);
        }
        let has_ended = job.cancelled && row.parts.is_empty();
        job.open_tasks = if has_ended { 0 } else { job.tasks.len() };
        self.gangs.cross_shard.insert(number, gang);
        self.jobs.insert(number, job);
        if has_ended {
            self.push_job_outcome(number, Vec::new());
        }
    }
}
