//! Polls recorded parts until they end, and cancels them.

use super::super::job::{ReplyToken, TaskPhase};
use super::super::{OnApplied, Shard};
use super::cross_shard::Stage;
use crate::model::{JobView, Outcome, Time};

impl Shard {
    /// Cancels a cross-shard gang and returns whether its parts are or may be recorded. If so, the
    /// reply to `token` follows once all parts have ended, so that nothing starts after it.
    pub(in super::super) fn cancel_cross_shard_gang(
        &mut self,
        token: ReplyToken,
        number: u64,
        now: Time,
    ) -> bool {
        let removed = self.commit_queue.remove_pending(|change| {
            change.job == number && matches!(change.on_applied, OnApplied::GangRecorded)
        });
        let (Some(job), Some(gang)) = (
            self.jobs.get_mut(&number),
            self.gangs.cross_shard.get_mut(&number),
        ) else {
            return false;
        };
        let may_be_recorded = match gang.stage {
            Stage::BackingOff(_) | Stage::Reserving { .. } => false,
            Stage::Recording { .. } => removed.is_empty(),
            Stage::Running => true,
        };
        if may_be_recorded {
            let deadline = Time(u64::MAX);
            job.waiters.push((token, deadline));
            self.query_deadlines.insert((deadline, token, number));
            gang.parts.iter_mut().for_each(|part| part.call_now(now));
            return true;
        }
        job.tasks
            .iter_mut()
            .for_each(|task| task.phase = TaskPhase::Queued);
        self.release_parts(number);
        false
    }

    pub(super) fn handle_part_state(
        &mut self,
        number: u64,
        part_index: usize,
        view: Option<JobView>,
        now: Time,
    ) {
        let timeout = self.timings.max_detached;
        let (Some(job), Some(gang)) = (
            self.jobs.get_mut(&number),
            self.gangs.cross_shard.get_mut(&number),
        ) else {
            return;
        };
        let part = &mut gang.parts[part_index];
        let (outcome, results) = match view {
            Some(view) => {
                part.unknown_since = None;
                job.reason = job.reason.or(view.reason);
                (view.outcome, view.results)
            }
            // A fenced owner may not know the part. It stops within `max_detached`.
            None => {
                let since = *part.unknown_since.get_or_insert(now);
                let is_lost = now.since(since) > timeout;
                (is_lost.then_some(Outcome::Unknown), Vec::new())
            }
        };
        let Some(outcome) = outcome.filter(|_| !part.ended) else {
            return;
        };
        part.ended = true;
        job.add_decision(format!(
            "the part in shard {} ended: {outcome:?}",
            part.id.shard
        ));
        let tasks = job.tasks.iter_mut().skip(part.first_task as usize);
        let mut results = results.into_iter();
        for task in tasks.take(part.tasks as usize) {
            task.phase = TaskPhase::Ended(outcome);
            task.result = results.next().unwrap_or_default();
            job.open_tasks -= 1;
        }
        if job.open_tasks == 0 {
            self.push_job_outcome(number, Vec::new());
        }
    }
}
