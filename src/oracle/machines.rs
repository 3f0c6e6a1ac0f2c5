//! What each machine was given, beside what it holds.

use std::collections::HashMap;

use super::{CheckOptions, Observations, Verdict};
use crate::model::Resources;
use crate::standin::{backend, worker};

/// Amounts added up, wide enough for any number of tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Sum([u64; 3]);

impl Sum {
    fn of(amounts: &Resources) -> Self {
        Self([
            u64::from(amounts.cpu_milli),
            u64::from(amounts.memory_mib),
            u64::from(amounts.accelerators),
        ])
    }

    fn add(&mut self, amounts: &Resources) {
        for (sum, amount) in self.0.iter_mut().zip(Self::of(amounts).0) {
            *sum += amount;
        }
    }

    fn exceeds(&self, capacity: &Resources) -> bool {
        let capacity = Self::of(capacity);
        self.0.iter().zip(capacity.0).any(|(sum, most)| *sum > most)
    }
}

/// What runs on one worker: attempts, each as often as it was started.
type Held = Vec<(String, u32, Resources)>;

/// Counts starts that took a worker beyond what it holds.
pub fn judge_workers(evidence: Observations<'_>, verdict: &mut Verdict) {
    let mut workers: HashMap<&str, Held> = HashMap::new();
    for entry in evidence.workers {
        let held = workers.entry(entry.worker.as_str()).or_default();
        if !apply(held, entry) {
            continue;
        }
        let mut sum = Sum::default();
        for (_, _, resources) in held.iter() {
            sum.add(resources);
        }
        if sum.exceeds(&entry.capacity) {
            verdict.found(
                |v| &mut v.overcommitted,
                || format!("{} holds {:?}: {entry:?}", entry.worker, sum.0),
            );
        }
    }
}

/// Applies an entry to what a worker holds; says whether it may have grown.
fn apply(held: &mut Held, entry: &worker::JournalEntry) -> bool {
    let task = entry.task.clone().unwrap_or_default();
    let found = held
        .iter()
        .position(|(held, attempt, _)| *held == task && *attempt == entry.attempt);
    match entry.event {
        worker::JournalEvent::Booted => held.clear(),
        worker::JournalEvent::Started => held.push((task, entry.attempt, entry.resources)),
        worker::JournalEvent::Throttled => {
            if let Some(at) = found {
                held[at].2 = entry.resources;
            }
        }
        event if event.ends_attempt() => {
            if let Some(at) = found {
                held.swap_remove(at);
            }
        }
        _ => {}
    }
    matches!(
        entry.event,
        worker::JournalEvent::Started | worker::JournalEvent::Throttled
    )
}

/// Counts requests beyond slots, connections beyond the limit, and requests to servers that leave.
pub fn judge_backends(evidence: Observations<'_>, rules: CheckOptions, verdict: &mut Verdict) {
    let mut leaving: HashMap<&str, u64> = HashMap::new();
    for entry in evidence.backends {
        let name = entry.backend.as_str();
        match entry.event {
            backend::JournalEvent::Leaving => {
                leaving.entry(name).or_insert(entry.time_us);
            }
            backend::JournalEvent::Begin => judge_begin(entry, leaving.get(name), rules, verdict),
            backend::JournalEvent::Connected if entry.connections > entry.max_connections => {
                verdict.found(|v| &mut v.connections_exceeded, || format!("{entry:?}"));
            }
            _ => {}
        }
    }
}

fn judge_begin(
    entry: &backend::JournalEntry,
    left: Option<&u64>,
    rules: CheckOptions,
    verdict: &mut Verdict,
) {
    if entry.concurrency > entry.slots {
        verdict.found(|v| &mut v.slots_exceeded, || format!("slots: {entry:?}"));
    }
    let Some(left) = left else { return };
    if entry.time_us > left + rules.draining_grace_us {
        verdict.found(
            |v| &mut v.given_while_leaving,
            || format!("leaving since {left}: {entry:?}"),
        );
    }
}
