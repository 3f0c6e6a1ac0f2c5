//! Refusal of submissions that cannot end within three times their objective.

use std::time::Duration;

use super::order::Pools;
use super::{Effect, Engine, ReplyToken};
use crate::decide::admission_estimate::{Backlog, Submission, with_jitter};
use crate::decide::least_cost::LATE_FACTOR;
use crate::model::Time;
use crate::workflow::fleet::as_millis;
use crate::workflow::spec::{StepSpec, WorkflowId};

/// The longest time for which a backlog is used. Rounds are shorter apart as long as steps wait.
const MAX_BACKLOG_AGE: Duration = Duration::from_millis(500);

/// What the last placement round knew of the waiting work.
#[derive(Clone, Debug, Default)]
pub(super) struct Admission {
    pub(super) pools: Pools,
    pub(super) backlog: Option<Backlog>,
    /// When the backlog was estimated.
    pub(super) at: Time,
}

impl Engine {
    /// Refuses a new workflow that certainly cannot end within three times its objective, and returns
    /// whether it did. The workflow must be active, and neither recorded nor being recorded.
    pub(super) fn refuse_overload(&mut self, id: WorkflowId, token: ReplyToken, now: Time) -> bool {
        let Some(submission) = self.submission(id, now) else {
            return false;
        };
        let Some(backlog) = &mut self.admission.backlog else {
            return false;
        };
        let Some(retry) = backlog.retry_after(&submission, now) else {
            backlog.add(&submission);
            return false;
        };
        let hash = xxhash_rust::xxh3::xxh3_64(&id.0.to_le_bytes());
        let retry_after_ms = as_millis(with_jitter(retry, hash));
        tracing::info!(request = %id, retry_after_ms, excess_ms = submission.excess_for.as_millis(),
            limit_ms = submission.limit.as_millis(),
            "refusing a workflow that cannot end within three times its objective");
        self.refund_rate(id);
        self.active.remove(&id);
        self.effects.push(Effect::Overloaded {
            token,
            retry_after_ms,
        });
        true
    }

    /// The workflow as a submission to judge; `None` if it is never refused, or cannot be judged.
    fn submission(&self, id: WorkflowId, now: Time) -> Option<Submission> {
        let active = self.active.get(&id)?;
        let spec = &active.spec;
        let lasts = spec.steps.iter().any(|step| step.long_running);
        let is_known = active.recorded || active.from_inbox;
        let is_old = now.since(self.admission.at) > MAX_BACKLOG_AGE;
        if is_known || lasts || spec.recurrence.is_some() || !self.has_recovered() || is_old {
            return None;
        }
        let lowest_ms = |step: &StepSpec| {
            let run_time = self
                .run_times
                .predict(&active.policy.name, step.estimate_ms);
            run_time.lowest_ms
        };
        let pools = &self.admission.pools;
        let pool = pools.index(&active.policy.service);
        let works = spec.steps.iter().map(|step| {
            let cost_milli = u64::from(step.reserved().cpu_milli);
            cost_milli * lowest_ms(step) * u64::from(step.tasks)
        });
        let objective = active.policy.latency_objective(active.critical_path_ms);
        let guaranteed_at = self.guaranteed_at(id).unwrap_or(now);
        Some(Submission {
            priority: active.policy.priority,
            pool,
            work: works.sum(),
            path: Duration::from_millis(spec.critical_path_by(lowest_ms)),
            objective,
            limit: objective.saturating_mul(LATE_FACTOR),
            excess_for: guaranteed_at.since(now),
        })
    }
}
