//! Logs why a step has been waiting for a long time.

use std::time::Duration;

use super::Engine;
use crate::model::Time;
use crate::workflow::active::StepState;
use crate::workflow::fleet::as_millis;
use crate::workflow::spec::{StepId, StepSpec};

/// The interval between two log lines about a step that waits.
const WAIT_LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What a waiting step could use.
#[derive(Clone, Copy, Debug, Default)]
struct Prospects {
    /// The usable workers whose eligibility is not known.
    unknown: u32,
    eligible: u32,
    permitted: u32,
    /// The number of tasks that fit on eligible workers now.
    fitting: u32,
    /// The number of tasks that would fit on eligible workers if these were empty.
    fitting_when_empty: u32,
}

impl Engine {
    /// Logs what a step waits for, once in [`WAIT_LOG_INTERVAL`].
    pub(super) fn log_waiting_step(&mut self, id: StepId, spec: &StepSpec, now: Time) {
        let is_excess = self.is_excess(id.workflow, now);
        let Some(state) = self.step_to_log(id, now) else {
            return;
        };
        let held_back = state.waiting().filter(|index| {
            let task = &state.tasks[*index as usize];
            task.not_before > now || task.unverified.is_some()
        });
        let (held_back, waiting) = (held_back.count(), state.waiting().count());
        let placed = state.placed().len();
        let request_in_flight = state.permits.request_in_flight;
        let waits_since = state.waits_since.unwrap_or(now);
        let prospects = self.prospects(id, spec, now);
        tracing::info!(
            request = %id.workflow,
            step = %id,
            gang = spec.gang,
            is_excess,
            waiting,
            held_back,
            placed,
            request_in_flight,
            unknown = prospects.unknown,
            eligible = prospects.eligible,
            permitted = prospects.permitted,
            fitting = prospects.fitting,
            fitting_when_empty = prospects.fitting_when_empty,
            is_next = self.late_gangs.is_next(id),
            waited_ms = as_millis(now.since(waits_since)),
            reserved_percent = self.reserved_percent(),
            "a step has been waiting for a long time"
        );
    }

    /// Logs that the limit of its account holds a step back, once in [`WAIT_LOG_INTERVAL`].
    pub(super) fn log_limited_step(&mut self, id: StepId, now: Time) {
        if self.step_to_log(id, now).is_none() {
            return;
        }
        if let Some(block) = self.limit_block(id) {
            tracing::info!(
                request = %id.workflow,
                step = %id,
                account = %block.account,
                rule = block.rule,
                running = ?block.running,
                allowed = ?block.allowed,
                "a step waits until the limit of its account allows it to start"
            );
        }
    }

    /// The step, if no log line has told for a while why it waits.
    fn step_to_log(&mut self, id: StepId, now: Time) -> Option<&mut StepState> {
        let state = self.step_mut(id)?;
        if now.since(state.wait_logged_at) < WAIT_LOG_INTERVAL {
            return None;
        }
        state.wait_logged_at = now;
        Some(state)
    }

    fn prospects(&self, id: StepId, spec: &StepSpec, now: Time) -> Prospects {
        let mut prospects = Prospects::default();
        let Some(active) = self.active.get(&id.workflow) else {
            return prospects;
        };
        let Some(state) = active.steps.get(&(id.occurrence, id.step)) else {
            return prospects;
        };
        let needs_permit = self.needs_permit(id);
        let max = spec.max_per_worker.unwrap_or(u32::MAX).min(spec.tasks);
        for (key, worker) in self.fleet.iter() {
            if !worker.is_usable(now) || !self.matches_step(worker, id, spec) {
                continue;
            }
            let eligible = state.permits.eligibility.get(&worker.listing.name);
            match eligible {
                None if needs_permit => prospects.unknown += 1,
                Some(false) if needs_permit => {}
                None | Some(_) => {
                    let permit = state.permits.granted.get(&key);
                    prospects.permitted += u32::from(permit.is_some_and(|permit| {
                        permit.expires_at > now && permit.boot == worker.listing.boot
                    }));
                    prospects.eligible += 1;
                    prospects.fitting +=
                        self.fitting_tasks(worker, spec, active.policy.priority, max);
                    prospects.fitting_when_empty +=
                        worker.fitting_tasks_when_empty(&spec.reserved(), max);
                }
            }
        }
        prospects
    }
}
