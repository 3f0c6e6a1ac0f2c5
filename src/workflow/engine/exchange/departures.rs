//! The assignment of workers to other shards, from the decision until the receiver has recorded it.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::{Time, WorkerName};
use crate::workflow::assignment::{Assignment, ShardId};
use crate::workflow::engine::{Effect, Engine};
use crate::workflow::exchange::ExchangeMessage;
use crate::workflow::fleet::WorkerKey;

/// How long a worker that is to leave may take until it is vacant.
const MAX_LEAVING: Duration = Duration::from_secs(10);

/// The maximum number of workers in one announcement.
const MAX_ANNOUNCED: usize = 200;

/// A worker that is about to be assigned to another shard.
#[derive(Clone, Copy, Debug)]
pub(in crate::workflow) struct Departure {
    to: ShardId,
    since: Time,
    /// Whether the assignment is being recorded, so that this owner sends nothing more to the worker.
    recording: bool,
}

impl Departure {
    pub(in crate::workflow) fn is_being_recorded(&self) -> bool {
        self.recording
    }
}

impl Engine {
    pub(super) fn begin_departures(&mut self, keys: &[WorkerKey], to: ShardId, now: Time) {
        if keys.is_empty() {
            return;
        }
        tracing::info!(
            to = to.0,
            workers = keys.len(),
            "assigning workers to another shard"
        );
        for key in keys {
            if let Some(worker) = self.fleet.get_mut(*key) {
                worker.departure = Some(Departure {
                    to,
                    since: now,
                    recording: false,
                });
                self.exchange.departing.push(*key);
            }
        }
        self.record_departures(now);
    }

    /// How many workers are about to leave for the shard.
    pub(super) fn departing_to(&self, to: ShardId) -> u32 {
        let departing = self.exchange.departing.iter();
        let departures = departing.filter_map(|key| self.fleet.get(*key)?.departure);
        let count = departures.filter(|departure| departure.to == to).count();
        u32::try_from(count).unwrap_or(u32::MAX)
    }

    /// Records the assignments of departing workers that are vacant. Those that do not become vacant
    /// stay.
    pub(super) fn record_departures(&mut self, now: Time) {
        let max_lease_ms = self.cfg.max_lease_ms;
        for key in std::mem::take(&mut self.exchange.departing) {
            let Some(worker) = self.fleet.get_mut(key) else {
                continue;
            };
            let Some(departure) = worker.departure else {
                continue;
            };
            let token = worker.fence_base.saturating_add(self.fencing_token);
            if let Some(vacant) = worker.vacant(token, max_lease_ms, now) {
                worker.departure = Some(Departure {
                    recording: true,
                    ..departure
                });
                let name = worker.listing.name.clone();
                let assignments = &self.exchange.assignments;
                let assignment = assignments.assign(&name, departure.to, vacant);
                self.commit_queue.assign(name, assignment);
            } else if now.since(departure.since) > MAX_LEAVING {
                worker.departure = None;
            } else {
                self.exchange.departing.push(key);
            }
        }
    }

    /// Records the workers that another shard has assigned to this one.
    pub(super) fn receive_workers(
        &mut self,
        from: ShardId,
        assigned: Vec<(WorkerName, Assignment)>,
    ) {
        let mut recorded = Vec::new();
        for (name, assignment) in assigned {
            let assignments = &self.exchange.assignments;
            if assignment.holder != assignments.own() {
                continue;
            }
            if assignments.is_news(&name, &assignment) {
                self.exchange.arriving.insert(name.clone(), from);
                self.commit_queue.assign(name, assignment);
            } else {
                recorded.push((name, assignment.generation));
            }
        }
        self.confirm(from, recorded);
    }

    /// Applies an assignment that is recorded in the store.
    pub(in crate::workflow::engine) fn handle_recorded_assignments(
        &mut self,
        recorded: &[(WorkerName, Assignment)],
        now: Time,
    ) {
        let own = self.exchange.assignments.own();
        let mut departed = BTreeMap::new();
        let mut arrived: BTreeMap<ShardId, Vec<(WorkerName, u64)>> = BTreeMap::new();
        for (name, assignment) in recorded {
            let assignments = &mut self.exchange.assignments;
            assignments.record(name.clone(), *assignment);
            if assignment.holder != own {
                self.remove_departed(name);
                departed.insert(name.clone(), *assignment);
                continue;
            }
            if let Some(from) = self.exchange.arriving.remove(name) {
                let names = arrived.entry(from).or_default();
                names.push((name.clone(), assignment.generation));
            }
            if let Some((listing, home)) = self.exchange.elsewhere.remove(name) {
                self.list_worker(listing, home, now);
            }
        }
        for (from, names) in arrived {
            tracing::info!(
                from = from.0,
                workers = names.len(),
                "workers of another shard have been assigned to this one"
            );
            self.confirm(from, names);
        }
        self.exchange.unconfirmed.extend(departed.clone());
        self.announce(departed);
    }

    fn remove_departed(&mut self, name: &WorkerName) {
        let Some(key) = self.fleet.key(name) else {
            return;
        };
        self.mark_stored_part(key);
        if let Some(worker) = self.fleet.get(key)
            && worker.listed
            && let Some(home) = worker.home
        {
            let elsewhere = (worker.listing.clone(), home);
            self.exchange.elsewhere.insert(name.clone(), elsewhere);
        }
        self.fleet.remove(key);
    }

    /// Keeps a worker whose assignment the store rejects.
    pub(in crate::workflow::engine) fn give_up_assignment(&mut self, name: &WorkerName) {
        self.exchange.arriving.remove(name);
        let key = self.fleet.key(name);
        if let Some(worker) = key.and_then(|key| self.fleet.get_mut(key)) {
            worker.departure = None;
        }
    }

    pub(super) fn announce(&mut self, assigned: BTreeMap<WorkerName, Assignment>) {
        let mut by_holder: BTreeMap<ShardId, Vec<(WorkerName, Assignment)>> = BTreeMap::new();
        for (name, assignment) in assigned {
            let names = by_holder.entry(assignment.holder).or_default();
            names.push((name, assignment));
        }
        for (to, assigned) in by_holder {
            for assigned in assigned.chunks(MAX_ANNOUNCED) {
                let message = ExchangeMessage::Assigned(assigned.to_vec());
                self.effects.push(Effect::Exchange { to, message });
            }
        }
    }

    pub(super) fn confirm(&mut self, to: ShardId, recorded: Vec<(WorkerName, u64)>) {
        if !recorded.is_empty() {
            let message = ExchangeMessage::Recorded(recorded);
            self.effects.push(Effect::Exchange { to, message });
        }
    }

    /// Whether this shard holds the worker, and its owner uses it.
    pub fn holds_worker(&self, name: &WorkerName) -> bool {
        let worker = self.fleet.key(name).and_then(|key| self.fleet.get(key));
        worker.is_some_and(|worker| worker.departure.is_none())
    }
}
