//! Which workers an owner keeps for its own claims when another shard asks for workers.

use std::time::Duration;

use super::RETAINED_PERCENT;
use super::claims::Claim;
use crate::workflow::engine::Engine;
use crate::workflow::exchange::WantedWorkers;
use crate::workflow::fleet::Worker;

/// The claims of an owner, beside one request of another shard.
pub(super) struct Retention<'a> {
    priority: u8,
    waited: Duration,
    /// The claims, and how many idle workers are still to be kept for each.
    claims: Vec<(&'a Claim, u32)>,
}

impl Engine {
    pub(super) fn retention<'a>(
        &self,
        wanted: &WantedWorkers,
        claims: &'a [Claim],
    ) -> Retention<'a> {
        let retained = |claim: &Claim| claim.needed.saturating_mul(RETAINED_PERCENT) / 100;
        Retention {
            priority: wanted.priority,
            waited: Duration::from_millis(wanted.waited_ms),
            claims: claims
                .iter()
                .map(|claim| (claim, retained(claim)))
                .collect(),
        }
    }
}

impl Retention<'_> {
    /// Whether the owner keeps the worker, one after the other: a worker in use if any claim that takes
    /// precedence could use it, and a vacant one if such a claim lacks it still.
    pub(super) fn retains(&mut self, engine: &Engine, worker: &Worker) -> bool {
        let (priority, waited) = (self.priority, self.waited);
        let earlier = self.claims.iter_mut();
        let mut earlier = earlier.filter(|(claim, _)| {
            claim.precedes(priority, waited) && engine.could_use(claim, worker)
        });
        if !worker.runs.is_empty() {
            return earlier.next().is_some();
        }
        let mut is_needed = false;
        for (_, missing) in earlier.filter(|(_, missing)| *missing > 0) {
            *missing -= 1;
            is_needed = true;
        }
        is_needed
    }
}
