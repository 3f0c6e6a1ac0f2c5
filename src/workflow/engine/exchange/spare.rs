//! Which workers an owner gives to a shard that asks for them.

use std::time::Duration;

use super::claims::Claim;
use crate::model::{Resources, Time};
use crate::workflow::assignment::ShardId;
use crate::workflow::engine::Engine;
use crate::workflow::exchange::WantedWorkers;
use crate::workflow::fleet::{Worker, WorkerKey};

/// The part of its home workers, in percent, that a shard keeps, for work that arrives later. A larger
/// part stays idle for as long as steps of other shards wait.
const KEPT_PERCENT: usize = 25;

/// The part of its workers, in percent, on which an owner lets the runs end for other shards at the same
/// time. Nothing new starts there until they have left, and its own steps need the rest.
const MAX_RECALLED_PERCENT: usize = 50;

/// The interval between two log lines about what the same shard asks for.
const LOG_INTERVAL: Duration = Duration::from_secs(5);

/// What the requests of another shard found among the workers of this one.
#[derive(Clone, Copy, Debug, Default)]
struct Spared {
    /// The number of workers that it asked for.
    wanted: u32,
    /// The workers that could hold a task of the steps.
    useful: usize,
    /// Those of them that no claim of this shard keeps.
    spare: usize,
    /// Those of these on which nothing runs.
    idle: usize,
    /// The idle ones that leave.
    given_idle: usize,
    /// All that leave, some of them once their runs have ended.
    given: usize,
}

impl Engine {
    /// Gives workers to the shard `to`, up to half of the idle ones if they are not named, so that the
    /// rest is there for work that arrives before the next round. Workers that are about to leave for
    /// that shard count as given.
    pub(super) fn spare_workers(&mut self, to: ShardId, wanted: Vec<WantedWorkers>, now: Time) {
        let claims = self.claims(now);
        let idle = self.fleet.iter();
        let idle = idle.filter(|(_, worker)| self.is_idle(worker, false, now));
        let mut unnamed_left = idle.count().div_ceil(2);
        let mut leaving = self.departing_to(to);
        let mut total = Spared::default();
        for mut wanted in wanted {
            let covered = leaving.min(wanted.workers);
            leaving -= covered;
            wanted.workers -= covered;
            let given_idle = total.given_idle;
            self.spare_workers_for(to, &wanted, unnamed_left, &claims, &mut total, now);
            if wanted.names.is_empty() {
                unnamed_left = unnamed_left.saturating_sub(total.given_idle - given_idle);
            }
        }
        self.log_spared(to, &total, now);
    }

    /// Gives workers that one request wants: idle ones, at most `max_unnamed` if they are not named, and
    /// then those in use that are named or at home in the shard `to`, which leave once their runs have
    /// ended.
    fn spare_workers_for(
        &mut self,
        to: ShardId,
        wanted: &WantedWorkers,
        max_unnamed: usize,
        claims: &[Claim],
        total: &mut Spared,
        now: Time,
    ) {
        let useful = self.fleet.iter().filter(|(_, worker)| {
            let label = wanted.label.as_ref();
            worker.is_usable(now)
                && worker.listing.service == wanted.service
                && label.is_none_or(|label| worker.listing.labels.contains(label))
                && wanted.capacity.fits_in(&worker.listing.capacity)
                && (wanted.names.is_empty() || wanted.names.contains(&worker.listing.name))
        });
        let mut spare: Vec<(WorkerKey, &Worker)> = useful.collect();
        total.wanted = total.wanted.saturating_add(wanted.workers);
        total.useful += spare.len();
        let mut retention = self.retention(wanted, claims);
        spare.retain(|(_, worker)| !retention.retains(self, worker));
        total.spare += spare.len();
        let for_next = wanted.is_for_next_gang();
        let is_idle = |(_, worker): &&(WorkerKey, &Worker)| self.is_idle(worker, for_next, now);
        let mut idle: Vec<&(WorkerKey, &Worker)> = spare.iter().filter(is_idle).collect();
        total.idle += idle.len();
        idle.sort_by_key(|(key, worker)| (worker.home != Some(to), *key));
        if wanted.names.is_empty() && !for_next {
            idle.truncate(max_unnamed);
        }
        // What the urgent reserve and the gangs of this shard need stays, even if it is asked for by name.
        let is_kept = |worker: &Worker| {
            let is_collected = *worker.reserved_for_gangs() != Resources::default();
            worker.in_urgent_reserve || (is_collected && !for_next)
        };
        let is_named = !wanted.names.is_empty();
        let recalled = spare.iter().filter(|entry| {
            let (_, worker) = entry;
            let is_recalled = worker.home == Some(to) || (is_named && !is_kept(worker));
            is_recalled && worker.is_expected_to_empty(now) && !is_idle(entry)
        });
        let recalled = recalled.take(self.recallable_workers());
        let max = (wanted.workers as usize).min(self.removable_workers());
        total.given_idle += idle.len().min(max);
        let given = idle.into_iter().chain(recalled).take(max);
        let keys: Vec<WorkerKey> = given.map(|(key, _)| *key).collect();
        total.given += keys.len();
        self.begin_departures(&keys, to, now);
    }

    /// How many workers this shard may give away so that it keeps a part of its home workers.
    fn removable_workers(&self) -> usize {
        let own = self.exchange.assignments.own();
        let home = self.fleet.iter().filter_map(|(_, worker)| worker.home);
        let home = home.filter(|home| *home == own).count();
        let away = self.exchange.elsewhere.values();
        let away = away.filter(|(_, home)| *home == own).count();
        let kept = (home + away) * KEPT_PERCENT / 100;
        let staying = self.fleet.iter();
        let staying = staying.filter(|(_, worker)| worker.departure.is_none());
        staying.count().saturating_sub(kept)
    }

    /// How many further workers in use may be about to leave.
    fn recallable_workers(&self) -> usize {
        let max = self.fleet.iter().count() * MAX_RECALLED_PERCENT / 100;
        max.saturating_sub(self.exchange.departing.len())
    }

    /// Logs what another shard asks for and gets, once in [`LOG_INTERVAL`].
    fn log_spared(&mut self, to: ShardId, spared: &Spared, now: Time) {
        let logged_at = self.exchange.spare_logged_at.get(&to);
        if logged_at.is_some_and(|at| now.since(*at) < LOG_INTERVAL) {
            return;
        }
        self.exchange.spare_logged_at.insert(to, now);
        tracing::info!(
            to = to.0,
            wanted = spared.wanted,
            useful = spared.useful,
            spare = spared.spare,
            idle = spared.idle,
            given_idle = spared.given_idle,
            given = spared.given,
            "another shard asks for workers"
        );
    }
}
