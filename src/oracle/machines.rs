//! Checks the load of workers and backend servers against their capacity.

use std::collections::HashMap;

use super::{CheckOptions, Observations, Verdict};
use crate::model::Resources;
use crate::standin::{backend, worker};

/// A sum of resources that cannot overflow with any number of tasks.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct ResourceSum([u64; 3]);

impl ResourceSum {
    fn of(resources: &Resources) -> Self {
        Self([
            u64::from(resources.cpu_milli),
            u64::from(resources.memory_mib),
            u64::from(resources.accelerators),
        ])
    }

    fn add(&mut self, resources: &Resources) {
        for (sum, amount) in self.0.iter_mut().zip(Self::of(resources).0) {
            *sum += amount;
        }
    }

    fn exceeds(&self, capacity: &Resources) -> bool {
        let capacity = Self::of(capacity);
        self.0.iter().zip(capacity.0).any(|(sum, max)| *sum > max)
    }
}

/// The attempts that run on one worker: task, number of the attempt and resources. An attempt that
/// was started several times is listed several times.
type RunningAttempts = Vec<(String, u32, Resources)>;

/// Counts starts and throttles after which the tasks of a worker exceed its capacity.
pub fn check_workers(observations: Observations<'_>, verdict: &mut Verdict) {
    let mut workers: HashMap<&str, RunningAttempts> = HashMap::new();
    for entry in observations.workers {
        let running = workers.entry(entry.worker.as_str()).or_default();
        if !apply_entry(running, entry) {
            continue;
        }
        let mut sum = ResourceSum::default();
        for (_, _, resources) in running.iter() {
            sum.add(resources);
        }
        if sum.exceeds(&entry.capacity) {
            verdict.record(
                |v| &mut v.overcommitted,
                || format!("{} runs tasks with {:?}: {entry:?}", entry.worker, sum.0),
            );
        }
    }
}

/// Applies an entry to the attempts of a worker and returns whether their resources may have
/// increased.
fn apply_entry(running: &mut RunningAttempts, entry: &worker::JournalEntry) -> bool {
    let task = entry.task.clone().unwrap_or_default();
    let position = running
        .iter()
        .position(|(other, attempt, _)| *other == task && *attempt == entry.attempt);
    match entry.event {
        worker::JournalEvent::Booted => running.clear(),
        worker::JournalEvent::Started => running.push((task, entry.attempt, entry.resources)),
        worker::JournalEvent::Throttled => {
            if let Some(at) = position {
                running[at].2 = entry.resources;
            }
        }
        event if event.ends_attempt() => {
            if let Some(at) = position {
                running.swap_remove(at);
            }
        }
        _ => {}
    }
    matches!(
        entry.event,
        worker::JournalEvent::Started | worker::JournalEvent::Throttled
    )
}

/// Counts requests beyond the slots, connections beyond the limit, and requests to draining
/// servers.
pub fn check_backends(
    observations: Observations<'_>,
    options: CheckOptions,
    verdict: &mut Verdict,
) {
    let mut draining_since: HashMap<&str, u64> = HashMap::new();
    for entry in observations.backends {
        let name = entry.backend.as_str();
        match entry.event {
            backend::JournalEvent::Leaving => {
                draining_since.entry(name).or_insert(entry.time_us);
            }
            backend::JournalEvent::Begin => {
                check_begin(entry, draining_since.get(name), options, verdict)
            }
            backend::JournalEvent::Connected if entry.connections > entry.max_connections => {
                verdict.record(|v| &mut v.connections_exceeded, || format!("{entry:?}"));
            }
            _ => {}
        }
    }
}

fn check_begin(
    entry: &backend::JournalEntry,
    draining_since: Option<&u64>,
    options: CheckOptions,
    verdict: &mut Verdict,
) {
    if entry.concurrency > entry.slots {
        verdict.record(|v| &mut v.slots_exceeded, || format!("slots: {entry:?}"));
    }
    let Some(since) = draining_since else { return };
    if entry.time_us > since + options.draining_grace_us {
        verdict.record(
            |v| &mut v.given_while_leaving,
            || format!("draining since {since}: {entry:?}"),
        );
    }
}
