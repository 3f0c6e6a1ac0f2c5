//! The order of waiting steps without overload control: by priority, then by deadline.

use std::ops::Bound::{Excluded, Included, Unbounded};
use std::time::Duration;

use rustc_hash::FxHashSet;

use super::{Engine, ReadyKey};
use crate::model::Time;
use crate::workflow::policy::URGENT_PRIORITY;
use crate::workflow::spec::StepId;

/// The number of steps at the head of the placement order that each round considers.
const FIRST_STEPS_PER_ROUND: usize = 128;

/// The maximum number of later steps in a round. Rounds take turns with these, so that steps that fit
/// nowhere hold up none behind them.
const LATER_STEPS_PER_ROUND: usize = 128;

impl Engine {
    /// The steps that this round tries to place, in order.
    pub(super) fn steps_by_deadline(&mut self, now: Time) -> Vec<ReadyKey> {
        let mut keys = if self.accounts.are_configured() {
            self.steps_of_round_by_account(now)
        } else {
            self.steps_of_round_by_deadline()
        };
        self.compare_with_weights(&keys);
        self.sort_by_deadline(&mut keys, now);
        keys
    }

    /// The steps that a round considers if there are no accounts.
    fn steps_of_round_by_deadline(&mut self) -> Vec<ReadyKey> {
        let first = self.ready.iter().take(FIRST_STEPS_PER_ROUND);
        let mut keys: Vec<ReadyKey> = first.copied().collect();
        let Some(last) = keys.last().copied() else {
            return keys;
        };
        let start = self.last_later_step.filter(|step| *step > last);
        let start = start.unwrap_or(last);
        let later = self.ready.range((Excluded(start), Unbounded));
        let later = later.chain(self.ready.range((Excluded(last), Included(start))));
        let later: Vec<ReadyKey> = later.take(LATER_STEPS_PER_ROUND).copied().collect();
        self.last_later_step = later.last().copied();
        keys.extend(later);
        keys
    }

    /// The steps that this round considers if there are accounts: at first those that are guaranteed
    /// and that the limits of their accounts allow to start, so that many steps of one account hide
    /// none of others.
    fn steps_of_round_by_account(&mut self, now: Time) -> Vec<ReadyKey> {
        /// The maximum number of steps in a round that limits hold back. They are considered to update
        /// and to log their state.
        const BLOCKED_STEPS_PER_ROUND: usize = 32;
        let mut keys = Vec::new();
        let mut excess = Vec::new();
        for key in &self.ready {
            if keys.len() >= FIRST_STEPS_PER_ROUND {
                break;
            }
            if !self.accounts.allow(key.account, &key.least) {
                continue;
            }
            if key.guaranteed_at <= now {
                keys.push(*key);
            } else if excess.len() < FIRST_STEPS_PER_ROUND {
                excess.push(*key);
            }
        }
        excess.truncate(FIRST_STEPS_PER_ROUND - keys.len());
        keys.extend(excess);
        let first: FxHashSet<StepId> = keys.iter().map(|key| key.step).collect();
        let (after, until) = match self.last_later_step {
            Some(last) => (Excluded(last), Included(last)),
            None => (Unbounded, Unbounded),
        };
        let until = self
            .last_later_step
            .map(|_| self.ready.range((Unbounded, until)));
        let later = self.ready.range((after, Unbounded));
        let (mut allowed, mut blocked) = (0, 0);
        for key in later.chain(until.into_iter().flatten()) {
            if allowed >= LATER_STEPS_PER_ROUND {
                break;
            }
            if !self.accounts.allow(key.account, &key.least) {
                if blocked < BLOCKED_STEPS_PER_ROUND {
                    blocked += 1;
                    keys.push(*key);
                }
            } else if !first.contains(&key.step) {
                allowed += 1;
                keys.push(*key);
            }
            self.last_later_step = Some(*key);
        }
        keys
    }

    /// Sorts steps into the order in which they are placed.
    fn sort_by_deadline(&self, keys: &mut [ReadyKey], now: Time) {
        keys.sort_by_cached_key(|key| {
            let id = key.step.workflow;
            let is_excess = self.is_excess(id, now);
            let misses_objective = self.misses_objective(key, now);
            let exceeds_weight = self.exceeds_weight(id);
            let order = (key.priority, misses_objective, exceeds_weight, key.deadline);
            (is_excess, order)
        });
    }

    /// Whether the workflow of the step will certainly miss its latency objective. Such a step waits
    /// for those that can still meet theirs, unless someone waits for its result. Long-running tasks
    /// have no end that could be late.
    fn misses_objective(&self, key: &ReadyKey, now: Time) -> bool {
        /// Tasks may run in this part of their estimate: estimates are off by up to a factor of two.
        const MIN_RUN_TIME_PERCENT: u32 = 50;
        if key.priority == URGENT_PRIORITY {
            return false;
        }
        let active = self.active.get(&key.step.workflow);
        let spec = active.and_then(|active| active.spec.steps.get(key.step.step as usize));
        let Some(spec) = spec.filter(|spec| !spec.long_running) else {
            return false;
        };
        let estimate = Duration::from_millis(u64::from(spec.estimate_ms));
        now + estimate * MIN_RUN_TIME_PERCENT / 100 > key.deadline
    }
}
