//! Draws credit from teams' balances for the shards that this node owns, and settles what they
//! spend.

mod commit;
mod stored_balance;

use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

pub use self::stored_balance::{
    ReconcileRequest, Reconciled, SCARCE_SETTLE_INTERVAL, SETTLE_INTERVAL, StoredBalance,
};

pub use self::commit::commit_balances;
use self::stored_balance::needs_draw;
use super::context::NodeContext;
use super::owned_shards::OwnedShard;
use super::owner::OwnerEvent;
use crate::config::ConfigVersion;
use crate::decide::{BalanceCredit, TeamSpending};
use crate::model::{ShardName, TeamName, Time};
use crate::port::table::{Condition, Row, Txn, Write, scan_all};
use crate::shard::rows::{decode, encode};

/// Interval between checks of the shards for teams that need to draw or settle.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Delay before a draw is tried again from a row that had nothing left for queued work.
const RETRY_DELAY: Duration = Duration::from_millis(250);

/// The maximum number of teams whose rows one transaction changes.
const MAX_TEAMS_PER_TXN: usize = 200;

/// Core-milliseconds in a core-hour.
const CORE_MS_PER_CORE_HOUR: f64 = 3_600_000.0;

/// Prefix of the keys of balances.
const BALANCE_PREFIX: &str = "balance/";

/// The state of the reconciliation of one shard under one epoch.
#[derive(Default)]
struct ShardAccounts {
    epoch: u64,
    /// Whether everything that earlier owners had drawn is recovered.
    recovered: bool,
    teams: FxHashMap<TeamName, TeamAccount>,
}

/// The state of the reconciliation of one team with its row.
struct TeamAccount {
    /// How much of the team's spending under this owner is settled.
    settled_core_ms: u64,
    granted_core_ms: u64,
    /// Whether the row records a shortfall of the shard.
    has_shortfall: bool,
    /// When the next settlement is due.
    next_settlement: Time,
    /// When to try again to draw what the row did not have.
    next_draw: Time,
}

impl TeamAccount {
    fn is_due(&self, team: &TeamSpending, granted_core_ms: u64, now: Time) -> bool {
        let draw_is_due =
            needs_draw(team) && (team.renewal_shortfall_core_ms > 0 || self.next_draw <= now);
        let has_unsettled = team.spent_core_ms > self.settled_core_ms || team.held_cpu_milli > 0;
        let changes = has_unsettled || team.left_core_ms > 0 || self.has_shortfall;
        draw_is_due
            || self.granted_core_ms != granted_core_ms
            || changes && self.next_settlement <= now
    }
}

/// The input from which the changes of one transaction are computed.
struct ReconcileRound<'a> {
    shard: &'a ShardName,
    epoch: u64,
    rows: &'a [Row],
    version: &'a ConfigVersion,
    max_isolation: Duration,
    txn_id: u64,
}

impl ReconcileRound<'_> {
    fn row_of(&self, team: &TeamName) -> Option<&Row> {
        let key = key_of(team);
        self.rows.iter().find(|row| row.key == key)
    }

    /// The balance of a team with the grant of the configuration in force; `None` if the row cannot
    /// be decoded.
    fn current_balance(&self, team: &TeamName) -> Option<CurrentBalance> {
        let granted = granted_core_ms(self.version, team);
        let Some(row) = self.row_of(team) else {
            return Some(CurrentBalance {
                balance: StoredBalance::new(granted, self.version.number),
                is_changed: true,
            });
        };
        let mut balance = decode::<StoredBalance>(&row.value).ok()?;
        let is_changed = balance.set_granted(granted, self.version.number);
        Some(CurrentBalance {
            balance,
            is_changed,
        })
    }

    /// Whether an earlier owner of the shard has drawn credit that is not yet recovered.
    fn has_unrecovered_draw(&self, row: &Row) -> bool {
        let stored = decode::<StoredBalance>(&row.value).ok();
        let draw = stored.and_then(|stored| stored.balance.drawn.get(self.shard).copied());
        draw.is_some_and(|draw| draw.epoch < self.epoch && draw.left_core_ms > 0)
    }
}

/// A balance with the configured grant applied, before it is reconciled.
struct CurrentBalance {
    balance: StoredBalance,
    /// Whether the row is absent or has another grant.
    is_changed: bool,
}

/// A change of one team's balance, pending until its transaction has taken effect.
struct PendingChange {
    team: TeamName,
    spent_core_ms: u64,
    granted_core_ms: u64,
    refund_core_ms: u64,
    has_shortfall: bool,
    reconciled: Reconciled,
}

/// Reconciles the shards that one node owns with the balances in the table.
pub struct BalanceReconciler {
    context: Arc<NodeContext>,
    accounts: FxHashMap<ShardName, ShardAccounts>,
}

impl BalanceReconciler {
    /// Creates a reconciler for the node that `context` belongs to.
    pub fn new(context: Arc<NodeContext>) -> Self {
        Self {
            context,
            accounts: FxHashMap::default(),
        }
    }

    /// Draws and settles until the task is aborted.
    pub async fn run(mut self) {
        let mut interval = tokio::time::interval(CHECK_INTERVAL);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            for (shard, owned) in self.context.owned_shards.all() {
                self.check_shard(&shard, &owned).await;
            }
        }
    }

    async fn check_shard(&mut self, shard: &ShardName, owned: &OwnedShard) {
        let Some(spending) = read_spending(owned).await else {
            return;
        };
        let now = self.context.clock.now();
        let version = self.context.config.version();
        let accounts = self.accounts_of(shard, owned.epoch);
        let is_due = |team: &TeamSpending| match accounts.teams.get(&team.team) {
            Some(account) => account.is_due(team, granted_core_ms(&version, &team.team), now),
            None => needs_draw(team) || team.spent_core_ms > 0,
        };
        let due: Vec<TeamSpending> = spending.into_iter().filter(is_due).collect();
        if !due.is_empty() || !accounts.recovered {
            self.reconcile(shard, owned, &version, due).await;
        }
    }

    fn accounts_of(&mut self, shard: &ShardName, epoch: u64) -> &mut ShardAccounts {
        let accounts = self.accounts.entry(shard.clone()).or_default();
        if accounts.epoch != epoch {
            *accounts = ShardAccounts {
                epoch,
                ..ShardAccounts::default()
            };
        }
        accounts
    }

    /// Writes the changes of the teams that are due in one transaction, and credits the shard.
    async fn reconcile(
        &mut self,
        shard: &ShardName,
        owned: &OwnedShard,
        version: &ConfigVersion,
        mut due: Vec<TeamSpending>,
    ) {
        let Ok(rows) = scan_all(self.context.table.as_ref(), BALANCE_PREFIX).await else {
            return;
        };
        let round = ReconcileRound {
            shard,
            epoch: owned.epoch,
            rows: &rows,
            version,
            max_isolation: self.context.max_isolation(),
            txn_id: rand::random(),
        };
        if !self.accounts_of(shard, owned.epoch).recovered {
            add_unrecovered_teams(&round, &mut due);
        }
        let recovered = due.len() <= MAX_TEAMS_PER_TXN;
        due.truncate(MAX_TEAMS_PER_TXN);
        let (txn, changes) = self.prepare_changes(&round, owned, &due).await;
        let table = self.context.table.as_ref();
        let applied =
            txn.writes.is_empty() || commit_balances(table, &txn, shard, round.txn_id).await;
        self.accounts_of(shard, owned.epoch).recovered |= recovered && applied;
        for change in changes {
            self.finish_change(shard, owned, change, applied).await;
        }
    }

    async fn prepare_changes(
        &self,
        round: &ReconcileRound<'_>,
        owned: &OwnedShard,
        due: &[TeamSpending],
    ) -> (Txn, Vec<PendingChange>) {
        let mut txn = Txn::default();
        let mut changes = Vec::new();
        for team in due {
            let keeps_draw = round
                .current_balance(&team.team)
                .is_none_or(|stored| stored.balance.may_keep_draw(round.shard, team));
            let refund = match keeps_draw {
                true => None,
                false => Some(reclaim(owned, &team.team).await),
            };
            match self.prepare_change(round, team, refund, &mut txn) {
                Some(change) => changes.push(change),
                None => add_credit(owned, &team.team, &returned_credit(refund.unwrap_or(0))).await,
            }
        }
        (txn, changes)
    }

    /// Adds the change of one team's row to `txn`. Returns `None` if this owner is fenced or the
    /// row cannot be decoded.
    fn prepare_change(
        &self,
        round: &ReconcileRound<'_>,
        team: &TeamSpending,
        refund_core_ms: Option<u64>,
        txn: &mut Txn,
    ) -> Option<PendingChange> {
        let row = round.row_of(&team.team);
        let CurrentBalance {
            balance: mut stored,
            is_changed,
        } = round.current_balance(&team.team)?;
        let account = self.accounts.get(round.shard)?.teams.get(&team.team);
        let reconciled = stored.reconcile(&ReconcileRequest {
            shard: round.shard,
            epoch: round.epoch,
            team,
            settled_core_ms: account.map_or(0, |account| account.settled_core_ms),
            refund_core_ms,
            shards: round.version.config.workers_by_shard().len() as u64,
            max_isolation: round.max_isolation,
            txn_id: round.txn_id,
        })?;
        if reconciled.is_changed || is_changed {
            push_write(txn, &team.team, row, &stored);
        }
        let shortfall = stored
            .balance
            .drawn
            .get(round.shard)
            .map(|draw| draw.shortfall);
        Some(PendingChange {
            team: team.team.clone(),
            spent_core_ms: team.spent_core_ms,
            granted_core_ms: granted_core_ms(round.version, &team.team),
            refund_core_ms: refund_core_ms.unwrap_or(0),
            has_shortfall: shortfall.is_some_and(|shortfall| shortfall != Default::default()),
            reconciled,
        })
    }

    async fn finish_change(
        &mut self,
        shard: &ShardName,
        owned: &OwnedShard,
        change: PendingChange,
        applied: bool,
    ) {
        if !applied {
            return add_credit(owned, &change.team, &returned_credit(change.refund_core_ms)).await;
        }
        let now = self.context.clock.now();
        let Reconciled {
            credit_core_ms,
            more_available,
            max_cpu_milli,
            settle_after,
            is_changed,
        } = change.reconciled;
        let account = TeamAccount {
            settled_core_ms: change.spent_core_ms,
            granted_core_ms: change.granted_core_ms,
            has_shortfall: change.has_shortfall,
            next_settlement: now + settle_after,
            next_draw: if is_changed { now } else { now + RETRY_DELAY },
        };
        let accounts = self.accounts_of(shard, owned.epoch);
        accounts.teams.insert(change.team.clone(), account);
        let credit = BalanceCredit {
            core_ms: credit_core_ms,
            more_available,
            max_cpu_milli: Some(max_cpu_milli),
        };
        add_credit(owned, &change.team, &credit).await;
    }
}

/// Adds the teams for which only an earlier owner of the shard has drawn credit.
fn add_unrecovered_teams(round: &ReconcileRound<'_>, due: &mut Vec<TeamSpending>) {
    for row in round
        .rows
        .iter()
        .filter(|row| round.has_unrecovered_draw(row))
    {
        let team = TeamName::from(&row.key[BALANCE_PREFIX.len()..]);
        if due.iter().all(|known| known.team != team) {
            due.push(TeamSpending::new(team));
        }
    }
}

fn push_write(txn: &mut Txn, team: &TeamName, row: Option<&Row>, stored: &StoredBalance) {
    let key = key_of(team);
    txn.conditions.push(Condition {
        key: key.clone(),
        version: row.map_or(0, |row| row.version),
    });
    txn.writes.push(Write::Put {
        key,
        value: encode(stored),
    });
}

fn key_of(team: &TeamName) -> String {
    format!("{BALANCE_PREFIX}{team}")
}

fn granted_core_ms(version: &ConfigVersion, team: &TeamName) -> u64 {
    let team = version.config.team.get(team);
    let hours = team.map_or(0.0, |team| team.balance_core_hours);
    (hours * CORE_MS_PER_CORE_HOUR) as u64
}

async fn read_spending(owned: &OwnedShard) -> Option<Vec<TeamSpending>> {
    let (tx, rx) = oneshot::channel();
    owned.actor.tell(OwnerEvent::ReadSpending(tx)).await.ok()?;
    rx.await.ok()
}

/// Reclaims the unspent credit of a team from the shard; returns the amount in core-milliseconds.
async fn reclaim(owned: &OwnedShard, team: &TeamName) -> u64 {
    let (tx, rx) = oneshot::channel();
    let event = OwnerEvent::ReclaimBalance {
        team: team.clone(),
        tx,
    };
    if owned.actor.tell(event).await.is_err() {
        return 0;
    }
    rx.await.unwrap_or(0)
}

/// The credit that returns a reclaimed amount to the shard, since it was not refunded to the row.
fn returned_credit(core_ms: u64) -> BalanceCredit {
    BalanceCredit {
        core_ms,
        more_available: true,
        max_cpu_milli: None,
    }
}

async fn add_credit(owned: &OwnedShard, team: &TeamName, credit: &BalanceCredit) {
    let event = OwnerEvent::AddBalance {
        team: team.clone(),
        credit: *credit,
    };
    let _ = owned.actor.tell(event).await;
}
