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

/// The share of workers taken to be granted before a queue's first answer.
const GRANTED_SHARE: f64 = 0.5;

/// The weight of an answer in the average share of granted workers.
const SHARE_WEIGHT: f64 = 0.2;

/// How many times the room that a step needs is asked about: other steps take some of it before the
/// answer comes.
const ROOM_ASKED: f64 = 3.0;

/// The fewest workers that a question names, where there are so many.
const MIN_WORKERS_ASKED: usize = 4;

/// A worker that a question may name.
#[derive(Clone, Copy, Debug)]
struct Askable<'a> {
    name: &'a WorkerName,
    /// What is known of whether it may run the step.
    verdict: Option<bool>,
    /// How many tasks of the step it has room for now.
    room: u32,
    /// How many it would hold if it were empty.
    whole: u32,
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
        let askable = self.askable(step, spec, &run.permits, now);
        let workers = if spec.gang {
            worth_asking_for_gang(askable, run.left)
        } else {
            let waiting = run.waiting().count();
            worth_asking(askable, waiting as f64, share)
        };
        if workers.is_empty() {
            return;
        }
        let takes_ms = as_millis(policy.estimate(workers.len()));
        let priority = active.policy.priority;
        if let Some(permits) = self.permits_mut(step) {
            permits.asking = true;
        }
        self.asking += 1;
        self.effects.push(Effect::RequestPermits {
            step,
            workers,
            takes_ms,
            priority,
        });
    }

    /// The workers that may be permitted to run the step, as far as known.
    fn askable<'a>(
        &'a self,
        step: StepId,
        spec: &StepSpec,
        permits: &StepPermits,
        now: Time,
    ) -> Vec<Askable<'a>> {
        let active = self.active.get(&step.workflow);
        let priority = active.map_or(u8::MAX, |active| active.policy.priority);
        let mut askable = Vec::new();
        for (_, worker) in self.fleet.iter() {
            let name = &worker.listing.name;
            let verdict = permits.verdicts.get(name).copied();
            let possible = worker.listed && !worker.listing.draining && verdict != Some(false);
            if !possible || !self.suits(worker, step, spec) {
                continue;
            }
            let most = spec.max_per_worker.unwrap_or(u32::MAX).min(spec.tasks);
            let room = if worker.is_usable(now) {
                self.fits(worker, spec, priority, most)
            } else {
                0
            };
            askable.push(Askable {
                name,
                verdict,
                room,
                whole: worker.holds(&spec.reserved(), most),
            });
        }
        askable.sort_by_key(|worker| std::cmp::Reverse((worker.room, worker.whole)));
        askable
    }

    pub(super) fn permits_mut(&mut self, step: StepId) -> Option<&mut StepPermits> {
        self.step_mut(step).map(|run| &mut run.permits)
    }

    /// Takes the answer to a question about the workers `asked`.
    pub fn handle_permit_response(
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

/// The workers to ask about for `waiting` tasks that run by themselves, if a `share` of those that are
/// not known is granted: the emptiest, as many as are likely to have room enough.
fn worth_asking(askable: Vec<Askable>, waiting: f64, share: f64) -> Vec<WorkerName> {
    let mut expected = 0.0;
    let mut named = Vec::new();
    for worker in askable.iter().filter(|worker| worker.room > 0) {
        let enough = expected >= waiting * ROOM_ASKED && named.len() >= MIN_WORKERS_ASKED;
        if enough || named.len() >= MAX_WORKERS_ASKED {
            break;
        }
        let chance = if worker.verdict.is_some() { 1.0 } else { share };
        expected += f64::from(worker.room) * chance;
        named.push(worker.name.clone());
    }
    named
}

/// The workers to ask about for a gang of `tasks`. A question about a gang takes long, so it is asked
/// first to learn which workers may run it, busy ones too, and then only when those have room.
fn worth_asking_for_gang(askable: Vec<Askable>, tasks: u32) -> Vec<WorkerName> {
    /// A gang that is permitted to workers with so many times the room that it needs waits for them.
    const CHOICE: u32 = 3;
    let granted = askable.iter().filter(|worker| worker.verdict.is_some());
    let room: u32 = granted.clone().map(|worker| worker.room).sum();
    if room >= tasks {
        let with_room = granted.filter(|worker| worker.room > 0).copied();
        return worth_asking(with_room.collect(), f64::from(tasks), 1.0);
    }
    let whole: u32 = granted.map(|worker| worker.whole).sum();
    let unknown = askable.iter().any(|worker| worker.verdict.is_none());
    if whole >= tasks.saturating_mul(CHOICE) || !unknown {
        return Vec::new();
    }
    let named = askable
        .iter()
        .filter(|worker| worker.whole > 0 && (worker.verdict.is_none() || worker.room > 0));
    let named = named.map(|worker| worker.name.clone());
    named.take(MAX_WORKERS_ASKED).collect()
}
