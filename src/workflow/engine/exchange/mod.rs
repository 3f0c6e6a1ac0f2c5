//! The exchange of workers with other shards.
//!
//! Steps that wait claim workers of other shards: the first late gang of the fleet, then the most urgent,
//! then the longest wait. An owner gives away idle workers, and those in use that are named or at home in
//! the other shard, that its own earlier claims do not need, keeps a part of its home workers, and returns
//! what it no longer needs.

mod claims;
mod departures;
mod retention;
mod spare;

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use self::claims::{Claim, MAX_CLAIMING_STEPS};
use super::{Effect, Engine};
use crate::model::{Resources, Time, WorkerName};
use crate::port::executor::WorkerListing;
use crate::workflow::assignment::{Assignment, Assignments, ShardId};
use crate::workflow::exchange::{ExchangeMessage, WantedWorkers};
use crate::workflow::fleet::{Worker, WorkerKey, as_millis};

pub(in crate::workflow) use self::departures::Departure;

/// The interval between two rounds of requests for workers.
const ROUND_INTERVAL: Duration = Duration::from_millis(500);

/// The capacity of the known eligible workers at which a gang that its shard cannot hold looks for no
/// more, in percent of what it needs.
const KNOWN_CAPACITY_PERCENT: u32 = 150;

/// The maximum number of workers that a round asks for by name.
const MAX_NAMES: usize = 100;

/// The maximum number of workers in one request, for all shards together.
const MAX_WANTED: u32 = 400;

/// The idle workers that an owner keeps for a claim of its own, in percent of those that the step needs
/// if they are empty: others may take some of them before permits arrive.
const RETAINED_PERCENT: u32 = 150;

/// How long a shard has had no claims when it returns workers.
const RETURN_AFTER: Duration = Duration::from_secs(2);

/// How many workers a shard returns in a round.
const MAX_RETURNED: usize = 16;

/// The state of the exchange.
#[derive(Clone, Debug, Default)]
pub(super) struct Exchange {
    pub(super) assignments: Assignments,
    /// The number of shards; 0 or 1 if there is no exchange.
    shards: u16,
    /// The listed workers that other shards hold, with their home.
    elsewhere: HashMap<WorkerName, (WorkerListing, ShardId)>,
    /// Recorded assignments to other shards that these have not confirmed.
    unconfirmed: BTreeMap<WorkerName, Assignment>,
    /// Assignments to this shard that are being recorded, with the shard that announced them.
    arriving: BTreeMap<WorkerName, ShardId>,
    /// The workers that are to leave and are not vacant yet.
    departing: Vec<WorkerKey>,
    /// When the other shards last asked for workers.
    asked_by: HashMap<ShardId, Time>,
    next_round: Time,
    rounds: usize,
    /// When a step last had a claim.
    last_claim: Time,
    /// When a log line last told what a shard asked for and got.
    spare_logged_at: HashMap<ShardId, Time>,
}

impl Engine {
    /// Makes the engine part of a fleet of `shards` shards. Must be called before workers are added.
    pub fn join_shards(&mut self, own: ShardId, shards: u16) {
        self.exchange.assignments = Assignments::new(own);
        self.exchange.shards = shards;
    }

    /// Loads a recorded assignment. Must be called before workers are added.
    pub fn load_assignment(&mut self, worker: WorkerName, assignment: Assignment) {
        if assignment.holder != self.exchange.assignments.own() {
            self.exchange.unconfirmed.insert(worker.clone(), assignment);
        }
        self.exchange.assignments.record(worker, assignment);
    }

    /// Adds or updates a worker from the platform's list, if this shard holds it.
    pub fn list_worker(&mut self, listing: WorkerListing, home: ShardId, now: Time) {
        let name = listing.name.clone();
        if !self.exchange.assignments.holds(&name, home) {
            self.exchange.elsewhere.insert(name, (listing, home));
            return;
        }
        self.set_worker(listing, now);
        let key = self.fleet.key(&name);
        if let Some(worker) = key.and_then(|key| self.fleet.get_mut(key)) {
            worker.home = Some(home);
        }
    }

    /// Forgets a worker of another shard that is no longer listed.
    pub(super) fn unlist_elsewhere(&mut self, name: &WorkerName) {
        self.exchange.elsewhere.remove(name);
    }

    /// Forgets the workers of other shards that are no longer listed.
    pub(super) fn retain_elsewhere(&mut self, is_listed: impl Fn(&WorkerName) -> bool) {
        self.exchange.elsewhere.retain(|name, _| is_listed(name));
    }

    /// A worker that is new to this owner.
    pub(super) fn new_worker(&self, listing: WorkerListing, listed: bool, now: Time) -> Worker {
        let assignment = self.exchange.assignments.get(&listing.name).copied();
        let mut worker = Worker::new(listing, listed, now);
        if let Some(assignment) = assignment {
            worker.fence_base = assignment.fence_base;
            worker.inherit_leases(now, now + Duration::from_millis(assignment.lease_left_ms));
        }
        worker
    }

    /// Asks for workers, returns them and announces assignments, when that is due.
    pub(super) fn exchange_workers(&mut self, now: Time) {
        if self.exchange.shards < 2 {
            return;
        }
        self.record_departures(now);
        if now < self.exchange.next_round {
            return;
        }
        self.exchange.next_round = now + ROUND_INTERVAL;
        self.exchange.rounds = self.exchange.rounds.wrapping_add(1);
        let unconfirmed = self.exchange.unconfirmed.clone();
        self.announce(unconfirmed);
        if self.recovery.is_some() || !self.tenure.permits(now) {
            return;
        }
        self.announce_first_gang(now);
        let claims = self.claims(now);
        if claims.is_empty() {
            self.return_workers(now);
        } else {
            self.exchange.last_claim = now;
            self.ask_for_workers(&claims);
        }
    }

    /// Handles a message from the owner of the shard `from`.
    pub fn handle_exchange(&mut self, from: ShardId, message: ExchangeMessage, now: Time) {
        match message {
            ExchangeMessage::Wanted(wanted) => {
                self.exchange.asked_by.insert(from, now);
                if self.recovery.is_none() && self.tenure.permits(now) {
                    self.spare_workers(from, wanted, now);
                }
            }
            ExchangeMessage::FirstGang(first) => self.handle_first_gang(from, first, now),
            ExchangeMessage::Assigned(assigned) => self.receive_workers(from, assigned),
            ExchangeMessage::Recorded(recorded) => {
                for (worker, generation) in recorded {
                    let unconfirmed = self.exchange.unconfirmed.get(&worker);
                    if unconfirmed.is_some_and(|assigned| assigned.generation <= generation) {
                        self.exchange.unconfirmed.remove(&worker);
                    }
                }
            }
        }
    }

    /// Asks the other shards for the workers that the claims need.
    fn ask_for_workers(&mut self, claims: &[Claim]) {
        let others = u32::from(self.exchange.shards - 1);
        let mut names_left = MAX_NAMES;
        let mut wanted: Vec<WantedWorkers> = Vec::new();
        for claim in claims.iter().filter(|claim| claim.workers > 0) {
            let request = |workers: u32, names: Vec<WorkerName>| WantedWorkers {
                service: claim.service.clone(),
                label: claim.spec.required_label.clone(),
                capacity: claim.spec.reserved(),
                workers,
                names,
                priority: claim.priority,
                waited_ms: as_millis(claim.waited),
            };
            let names = self.names_of_round(&claim.names, names_left);
            names_left -= names.len();
            if !names.is_empty() {
                wanted.push(request(claim.workers, names));
            }
            if claim.unnamed > 0 {
                wanted.push(request(claim.unnamed.div_ceil(others), Vec::new()));
            }
        }
        if wanted.is_empty() {
            return;
        }
        for to in self.other_shards() {
            let message = ExchangeMessage::Wanted(wanted.clone());
            self.effects.push(Effect::Exchange { to, message });
        }
    }

    /// Up to `max` of the names, another part in each round: those of a part may all be in use.
    fn names_of_round(&self, names: &[WorkerName], max: usize) -> Vec<WorkerName> {
        let first = self.exchange.rounds.saturating_mul(MAX_NAMES) % names.len().max(1);
        let names = names.iter().cycle().skip(first).take(names.len().min(max));
        names.cloned().collect()
    }

    /// Whether the worker could be assigned to another shard: nothing runs there, and it is part neither
    /// of the reserve for urgent tasks nor of what a waiting gang has collected, unless it is for the gang
    /// of the fleet that starts next.
    fn is_idle(&self, worker: &Worker, for_next_gang: bool, now: Time) -> bool {
        worker.is_usable(now)
            && worker.runs.is_empty()
            && !worker.in_urgent_reserve
            && (for_next_gang || *worker.reserved_for_gangs() == Resources::default())
    }

    /// Returns idle workers to their home shards.
    fn return_workers(&mut self, now: Time) {
        if now.since(self.exchange.last_claim) < RETURN_AFTER {
            return;
        }
        let own = self.exchange.assignments.own();
        let waiting = self.waiting_steps(now).take(MAX_CLAIMING_STEPS);
        let resting: Vec<Claim> = waiting
            .filter_map(|(_, waited, step)| self.claim(step, waited, now))
            .collect();
        let idle = self.fleet.iter().filter_map(|(key, worker)| {
            let home = worker.home.filter(|home| *home != own)?;
            let is_unused = !resting.iter().any(|claim| self.could_use(claim, worker));
            (is_unused && self.is_idle(worker, false, now)).then_some((home, key))
        });
        let idle: Vec<(ShardId, WorkerKey)> = idle.take(MAX_RETURNED).collect();
        for (home, key) in idle {
            self.begin_departures(&[key], home, now);
        }
    }

    /// The shards of the fleet but this one.
    pub(super) fn other_shards(&self) -> impl Iterator<Item = ShardId> + use<> {
        let own = self.exchange.assignments.own();
        let shards = (0..self.exchange.shards).map(ShardId);
        shards.filter(move |shard| *shard != own)
    }
}
