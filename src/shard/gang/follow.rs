//! Following recorded parts to their ends, and cancelling them.

use super::super::job::{ReplyToken, TaskPhase};
use super::super::{OnApplied, Shard};
use super::cross_shard::Stage;
use crate::model::{JobView, Outcome, Time};

impl Shard {
    /// Cancels a job over several shards. Where its parts are or may be recorded, `token` is
    /// answered once all have ended, so that nothing starts after the answer. Returns whether that
    /// is so.
    pub(in super::super) fn cancel_span(
        &mut self,
        token: ReplyToken,
        number: u64,
        now: Time,
    ) -> bool {
        let waiting = self.commit_queue.take_back(|change| {
            change.job == number && matches!(change.on_applied, OnApplied::Spanned)
        });
        let (Some(job), Some(span)) = (
            self.jobs.get_mut(&number),
            self.gangs.spans.get_mut(&number),
        ) else {
            return false;
        };
        let is_recorded = match span.stage {
            Stage::Pausing(_) | Stage::Reserving { .. } => false,
            Stage::Recording { .. } => waiting.is_empty(),
            Stage::Running => true,
        };
        if is_recorded {
            let until = Time(u64::MAX);
            job.waiters.push((token, until));
            self.deadlines.insert((until, token, number));
            span.parts.iter_mut().for_each(|part| part.call_again(now));
            return true;
        }
        job.tasks
            .iter_mut()
            .for_each(|task| task.phase = TaskPhase::Queued);
        self.release_span(number);
        false
    }

    pub(super) fn followed(&mut self, number: u64, at: usize, view: Option<JobView>, now: Time) {
        let patience = self.times.max_detached;
        let (Some(job), Some(span)) = (
            self.jobs.get_mut(&number),
            self.gangs.spans.get_mut(&number),
        ) else {
            return;
        };
        let part = &mut span.parts[at];
        let (outcome, results) = match view {
            Some(view) => {
                part.unknown_since = None;
                job.reason = job.reason.or(view.reason);
                (view.outcome, view.results)
            }
            // An owner that was overtaken may not know the part; it ends within this time.
            None => {
                let since = *part.unknown_since.get_or_insert(now);
                let is_lost = now.since(since) > patience;
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
        let tasks = job.tasks.iter_mut().skip(part.first as usize);
        let mut results = results.into_iter();
        for task in tasks.take(part.tasks as usize) {
            task.phase = TaskPhase::Ended(outcome);
            task.result = results.next().unwrap_or_default();
            job.open -= 1;
        }
        if job.open == 0 {
            self.push_job_end(number, Vec::new());
        }
    }
}
