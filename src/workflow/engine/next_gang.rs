//! The late gang of the fleet that starts next.
//!
//! Gangs whose latency objective has passed come after all steps that can be in time, and what they
//! reserve in one placement round goes to whoever comes first in the next. On a busy fleet, a wide gang
//! would wait until the load ends. Of the late gangs in all shards, that with the earliest deadline
//! therefore has its turn directly after the steps of higher priorities until it starts, and workers of
//! other shards leave for it before they do for others. Each owner announces the first late gang of its
//! shard, so that all of them choose the same one by the same order. Until a message arrives, two gangs may
//! collect room.

use std::cmp::Reverse;
use std::collections::HashMap;
use std::time::Duration;

use super::{Effect, Engine, ReadyKey};
use crate::model::Time;
use crate::workflow::assignment::ShardId;
use crate::workflow::exchange::{ExchangeMessage, LateGang};
use crate::workflow::fleet::as_millis;
use crate::workflow::policy::URGENT_PRIORITY;
use crate::workflow::spec::StepId;

/// The interval between two searches for the first gang of the shard. A search looks at all steps that
/// wait.
const SEARCH_INTERVAL: Duration = Duration::from_millis(100);

/// How long a gang collects room before others get their turn, so that one whose workers do not become
/// free, or reject it, holds them up for a limited time. Most runs take a few seconds.
const MAX_COLLECTING: Duration = Duration::from_secs(15);

/// For how long a gang that has collected for too long is not chosen again.
const REST: Duration = Duration::from_secs(30);

/// The longest pause after a gang has started, during which its shard leaves the room that becomes free to
/// steps that can be in time. It is the expected run time of the gang if that is shorter.
const MAX_PAUSE: Duration = Duration::from_secs(5);

/// The maximum number of gangs that a search looks at closely, which takes time for each worker. The next
/// search goes on with the others.
const MAX_TRIES: usize = 16;

/// For how long the first gang that another owner has announced counts: three messages.
const ANNOUNCEMENT_TTL: Duration = Duration::from_millis(1_500);

/// The place of a late gang among those of its shard: the earliest deadline is first.
type Rank = (Time, StepId);

/// What an owner knows of the late gangs that wait.
#[derive(Clone, Debug, Default)]
pub(super) struct LateGangs {
    /// The first gang of this shard.
    first: Option<FirstGang>,
    /// The last gang that a search has passed over; the next search begins behind it.
    passed: Option<Rank>,
    /// The gangs that have collected for too long, and until when they rest.
    resting: Vec<(StepId, Time)>,
    /// When to search for a gang again.
    next_search: Time,
    /// The first gangs of other shards, and when their owners announced them.
    elsewhere: HashMap<ShardId, (LateGang, Time)>,
}

#[derive(Clone, Copy, Debug)]
struct FirstGang {
    key: ReadyKey,
    /// Since when it has been the first one of the fleet.
    next_since: Option<Time>,
}

impl LateGangs {
    /// Whether the step is the gang of the fleet that starts next.
    pub(super) fn is_next(&self, step: StepId) -> bool {
        let first = self.first.filter(|first| first.next_since.is_some());
        first.is_some_and(|first| first.key.step == step)
    }

    /// Whether a late gang of another shard comes before one of this shard.
    fn is_preceded(&self, key: &ReadyKey, now: Time) -> bool {
        let own = (Reverse(now.since(key.deadline)), key.step);
        self.elsewhere.values().any(|(gang, announced_at)| {
            let age = now.since(*announced_at);
            let late = Duration::from_millis(gang.late_ms) + age;
            age < ANNOUNCEMENT_TTL && (Reverse(late), gang.step) < own
        })
    }
}

fn rank(key: &ReadyKey) -> Rank {
    (key.deadline, key.step)
}

impl Engine {
    /// The gang that has its turn before all steps of its priority, if it is one of this shard.
    pub(super) fn next_gang(&mut self, now: Time) -> Option<ReadyKey> {
        self.update_first_gang(now);
        let mut first = self.late_gangs.first?;
        let is_next = !self.late_gangs.is_preceded(&first.key, now);
        if is_next && first.next_since.is_none() {
            tracing::info!(request = %first.key.step.workflow, step = %first.key.step,
                "a gang collects room ahead of others until it starts");
        }
        first.next_since = is_next.then(|| first.next_since.unwrap_or(now));
        self.late_gangs.first = Some(first);
        is_next.then_some(first.key)
    }

    /// Keeps the first gang of the shard until it starts, has collected for too long, or cannot start on
    /// its workers any more, and chooses another one then.
    fn update_first_gang(&mut self, now: Time) {
        if let Some(first) = self.late_gangs.first {
            let collected = first.next_since.map_or(Duration::ZERO, |at| now.since(at));
            if !self.waits(&first.key) {
                self.late_gangs.passed = None;
                self.late_gangs.next_search = now + self.pause_after(first.key.step);
            } else if collected > MAX_COLLECTING {
                let resting = &mut self.late_gangs.resting;
                resting.push((first.key.step, now + REST));
            } else if self.can_collect(&first.key, now) {
                return;
            }
            self.late_gangs.first = None;
        }
        if now >= self.late_gangs.next_search {
            self.late_gangs.next_search = now + SEARCH_INTERVAL;
            self.late_gangs.first = self.find_first_gang(now);
        }
    }

    /// Finds the late gang of the shard with the earliest deadline behind the one that was passed over last.
    fn find_first_gang(&mut self, now: Time) -> Option<FirstGang> {
        self.late_gangs.resting.retain(|(_, until)| now < *until);
        let resting = &self.late_gangs.resting;
        let gangs = self.ready.iter().filter(|key| {
            let is_late = key.priority != URGENT_PRIORITY && key.deadline < now;
            let rests = resting.iter().any(|(step, _)| *step == key.step);
            is_late && !rests && self.is_gang(key.step)
        });
        let mut gangs: Vec<ReadyKey> = gangs.copied().collect();
        gangs.sort_unstable_by_key(rank);
        let passed = self.late_gangs.passed;
        let start = gangs.partition_point(|key| Some(rank(key)) <= passed);
        let mut last = None;
        for key in gangs.into_iter().skip(start).take(MAX_TRIES) {
            last = Some(rank(&key));
            if self.can_collect(&key, now) {
                return Some(FirstGang {
                    key,
                    next_since: None,
                });
            }
        }
        // After the last gang, the search begins with the first one again.
        self.late_gangs.passed = last;
        None
    }

    /// Announces the first late gang of this shard to the owners of the others.
    pub(super) fn announce_first_gang(&mut self, now: Time) {
        // No placement round may have noticed yet that it waits no more.
        let first = self.late_gangs.first;
        let first = first.filter(|first| self.waits(&first.key));
        let first = first.map(|first| LateGang {
            step: first.key.step,
            late_ms: as_millis(now.since(first.key.deadline)),
        });
        for to in self.other_shards() {
            let message = ExchangeMessage::FirstGang(first);
            self.effects.push(Effect::Exchange { to, message });
        }
    }

    /// Records the first late gang of another shard.
    pub(super) fn handle_first_gang(&mut self, from: ShardId, first: Option<LateGang>, now: Time) {
        let elsewhere = &mut self.late_gangs.elsewhere;
        match first {
            Some(gang) => elsewhere.insert(from, (gang, now)),
            None => elsewhere.remove(&from),
        };
    }

    fn waits(&self, key: &ReadyKey) -> bool {
        let state = self.step(key.step);
        self.ready.contains(key) && state.is_some_and(|state| state.waiting().next().is_some())
    }

    fn pause_after(&self, step: StepId) -> Duration {
        let spec = self.spec_of(step).filter(|spec| !spec.long_running);
        let estimate = spec.map_or(0, |spec| spec.estimate_ms);
        Duration::from_millis(u64::from(estimate)).min(MAX_PAUSE)
    }

    fn is_gang(&self, step: StepId) -> bool {
        self.spec_of(step).is_some_and(|spec| spec.gang)
    }

    /// Whether the gang only lacks room that will become free on its eligible workers.
    fn can_collect(&self, key: &ReadyKey, now: Time) -> bool {
        let id = key.step;
        let (Some(active), Some(state), Some(spec)) = (
            self.active.get(&id.workflow),
            self.step(id),
            self.spec_of(id),
        ) else {
            return false;
        };
        let is_ready = |index| {
            let task = &state.tasks[index as usize];
            task.not_before <= now && task.unverified.is_none()
        };
        let ready = state.waiting().filter(|index| is_ready(*index)).count();
        active.recorded
            && !active.is_final()
            && ready == state.tasks.len()
            && !self.is_excess(id.workflow, now)
            && self.allowed_tasks(id, spec) >= spec.tasks
            && self.room_in_reach(id, spec, now) >= spec.tasks
    }
}
