//! Questions about which workers may run a step.

use std::time::Duration;

use super::{Effect, Engine};
use crate::model::{Time, WorkerName};
use crate::port::executor::{PermitError, Permits};
use crate::workflow::active::{HeldPermit, StepPermits};
use crate::workflow::fleet::{WorkerKey, as_millis};
use crate::workflow::spec::{StepId, StepSpec};

/// The most workers that one question names.
const MAX_WORKERS_ASKED: usize = 100;

/// How long before its end a permit is no longer used, for the way of the start to the worker.
const PERMIT_MARGIN: Duration = Duration::from_millis(200);

/// How long after a question without an answer, or without a permit, the next is asked.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// How long after a question about a gang the next is asked while its usual share of grants would not
/// hold the gang: the time for which permits hold.
const ASK_UNLIKELY: Duration = Duration::from_millis(2_000);

/// The share of workers taken to be granted before a queue's first answer.
const GRANTED_SHARE: f64 = 0.5;

/// The weight of an answer in the average share of granted workers.
const SHARE_WEIGHT: f64 = 0.2;

/// How many tasks of a step the workers that are asked about may take.
#[derive(Clone, Copy, Debug, Default)]
struct Room {
    /// If all are granted.
    most: u32,
    /// If as many are granted as usual.
    expected: f64,
}

impl Engine {
    /// Asks about a step if an answer is worth having now.
    pub(super) fn ask_permits(&mut self, step: StepId, spec: &StepSpec, now: Time) {
        if self.asking >= self.max_asking {
            return;
        }
        let Some(active) = self.active.get(&step.workflow) else {
            return;
        };
        let Some(run) = active.steps.get(&(step.occurrence, step.step)) else {
            return;
        };
        let Some(policy) = active.policy.permits else {
            return;
        };
        if run.permits.asking || now < run.permits.not_before {
            return;
        }
        let share = self.granted_share.get(&active.policy.name);
        let share = share.copied().unwrap_or(GRANTED_SHARE);
        let (workers, room) = self.worth_asking(step, spec, &run.permits, share, now);
        let least = if spec.gang { run.left } else { 1 };
        if workers.is_empty() || room.most < least {
            return;
        }
        // Fewer grants than the gang needs are likely, but not certain.
        let unlikely = room.expected < f64::from(least);
        if unlikely && now < run.permits.asked_at + ASK_UNLIKELY {
            return;
        }
        let takes_ms = as_millis(policy.question(workers.len()));
        let priority = active.policy.priority;
        if let Some(permits) = self.permits_mut(step) {
            permits.asking = true;
            permits.asked_at = now;
        }
        self.asking += 1;
        self.effects.push(Effect::Ask {
            step,
            workers,
            takes_ms,
            priority,
        });
    }

    /// The workers to ask about, and how many tasks the granted ones may be expected to take.
    fn worth_asking(
        &self,
        step: StepId,
        spec: &StepSpec,
        permits: &StepPermits,
        share: f64,
        now: Time,
    ) -> (Vec<WorkerName>, Room) {
        let mut room = Room::default();
        let active = self.active.get(&step.workflow);
        let priority = active.map_or(u8::MAX, |active| active.policy.priority);
        let mut named: Vec<(u32, &WorkerName)> = Vec::new();
        for (_, worker) in self.fleet.iter() {
            let name = &worker.listing.name;
            let chance = match permits.verdicts.get(name) {
                Some(false) => continue,
                Some(true) => 1.0,
                None => share,
            };
            if !worker.is_usable(now) || !self.suits(worker, step, spec) {
                continue;
            }
            let fits = self.fits(worker, spec, priority, spec.tasks);
            if fits > 0 {
                room.most += fits;
                room.expected += f64::from(fits) * chance;
                named.push((fits, name));
            }
        }
        named.sort_by(|a, b| b.cmp(a));
        named.truncate(MAX_WORKERS_ASKED);
        (
            named.into_iter().map(|(_, name)| name.clone()).collect(),
            room,
        )
    }

    pub(super) fn permits_mut(&mut self, step: StepId) -> Option<&mut StepPermits> {
        self.step_mut(step).map(|run| &mut run.permits)
    }

    /// Takes the answer to a question about the workers `asked`.
    pub fn permits_answered(
        &mut self,
        step: StepId,
        asked: &[WorkerName],
        answer: Result<Permits, PermitError>,
        now: Time,
    ) {
        self.asking = self.asking.saturating_sub(1);
        self.place_due = true;
        let answer = match answer {
            Ok(permits) => permits,
            Err(error) => {
                tracing::warn!(request = %step.workflow, %step, %error, "no answer about permits");
                if let Some(permits) = self.permits_mut(step) {
                    permits.asking = false;
                    permits.not_before = now + ASK_AGAIN;
                }
                return;
            }
        };
        self.learn_share(step, asked.len(), answer.granted.len());
        let until = now + Duration::from_millis(answer.valid_ms).saturating_sub(PERMIT_MARGIN);
        let held: Vec<(WorkerKey, HeldPermit)> = answer
            .granted
            .iter()
            .filter_map(|permit| {
                let key = self.fleet.key(&permit.worker)?;
                let boot = self.fleet.get(key)?.listing.boot;
                let token = permit.token.clone();
                Some((key, HeldPermit { token, boot, until }))
            })
            .collect();
        let Some(permits) = self.permits_mut(step) else {
            return;
        };
        permits.asking = false;
        permits.not_before = now + ASK_AGAIN;
        for name in asked {
            permits.verdicts.insert(name.clone(), false);
        }
        for permit in &answer.granted {
            permits.verdicts.insert(permit.worker.clone(), true);
        }
        permits.held.extend(held);
    }

    fn learn_share(&mut self, step: StepId, asked: usize, granted: usize) {
        let Some(active) = self.active.get(&step.workflow) else {
            return;
        };
        if asked == 0 {
            return;
        }
        let share = granted as f64 / asked as f64;
        let known = self.granted_share.entry(active.policy.name.clone());
        let known = known.or_insert(share);
        *known += (share - *known) * SHARE_WEIGHT;
    }

    /// Whether the step's queue needs permits.
    pub(super) fn needs_permit(&self, step: StepId) -> bool {
        let active = self.active.get(&step.workflow);
        active.is_some_and(|active| active.policy.permits.is_some())
    }
}
