//! Applies the configuration to a shard: limits, balances and workers.

use std::time::Duration;

use super::Shard;
use super::worker_session::WorkerSession;
use crate::config::CellConfig;
use crate::decide::{BalanceCredit, KindLimits, TeamLimits, TeamSpending, WorkerState};
use crate::model::{Resources, TeamName, Time, WorkerInfo};

/// An empty credit which says that more credits may follow, so that work waits for the balance
/// instead of being refused.
const NO_CREDIT: BalanceCredit = BalanceCredit {
    core_ms: 0,
    more_available: true,
    max_cpu_milli: None,
};

impl Shard {
    /// Applies a configuration: limits of teams and kinds, added, changed and removed workers.
    pub fn configure(&mut self, cfg: &CellConfig, now: Time) {
        let shards = cfg.workers_by_shard();
        for (team, limits) in &cfg.team {
            self.policy.set_team(team, &team_limits(limits), now);
            self.policy.add_balance(team, &NO_CREDIT, now);
        }
        for (kind, limits) in &cfg.kind {
            let limits = KindLimits {
                max_queued: limits.max_queued,
                max_attempts: limits.max_attempts,
            };
            self.policy.set_kind(kind, &limits, now);
        }
        self.timings.retention = Duration::from_secs(cfg.idempotency_key_s.max(1));
        self.gangs.set_capacities(&shards);
        let workers = shards.get(&self.name).map_or(&[][..], Vec::as_slice);
        self.set_workers(workers, now);
    }

    fn set_workers(&mut self, workers: &[WorkerInfo], now: Time) {
        for info in workers {
            match self.sessions.iter_mut().find(|s| s.info.name == info.name) {
                Some(session) => {
                    let key = session.policy_key;
                    session.info = info.clone();
                    self.policy.set_worker_capacity(key, info.capacity, now);
                }
                None => {
                    self.add_session(info, now);
                }
            }
        }
        for session in &mut self.sessions {
            let is_listed = workers.iter().any(|info| info.name == session.info.name);
            if !is_listed {
                self.policy
                    .set_worker_state(session.policy_key, WorkerState::Draining, now);
            }
            session.unlisted = !is_listed;
        }
    }

    pub(super) fn add_session(&mut self, info: &WorkerInfo, now: Time) -> usize {
        let key = self.policy.add_worker(info, now);
        self.worker_indices.insert(key, self.sessions.len());
        self.sessions.push(WorkerSession::new(info.clone(), key));
        self.sessions.len() - 1
    }

    /// What each team spent and may still spend in this shard.
    pub fn spending(&self, now: Time) -> Vec<TeamSpending> {
        self.policy.spending(now)
    }

    /// Adds a credit to what a team may spend in this shard.
    pub fn add_balance(&mut self, team: &TeamName, credit: &BalanceCredit, now: Time) {
        self.policy.add_balance(team, credit, now);
        self.tick(now);
    }

    /// Removes what a team may spend in this shard and has not spent. Returns the removed amount,
    /// in core-milliseconds.
    pub fn reclaim_balance(&mut self, team: &TeamName) -> u64 {
        self.policy.reclaim_balance(team)
    }
}

/// The limits of a team in one shard. They grant no balance: it is drawn from the platform and
/// added credit by credit.
fn team_limits(team: &crate::config::TeamConfig) -> TeamLimits {
    let unlimited = Resources {
        cpu_milli: u32::MAX,
        memory_mib: u32::MAX,
        accelerators: u32::MAX,
    };
    TeamLimits {
        weight: team.weight,
        quota: team.quota.unwrap_or(unlimited),
        max_queued: team.max_queued,
        balance_core_ms: 0,
    }
}
