//! Draws parts of teams' balances for the shards that this node owns, and settles what was spent.

mod commit;
mod stored;

use std::sync::Arc;
use std::time::Duration;

use rustc_hash::FxHashMap;
use tokio::sync::oneshot;

pub use self::stored::{
    ReconcileRequest, Reconciled, SCARCE_SETTLE_INTERVAL, SETTLE_INTERVAL, StoredBalance,
};

pub use self::commit::commit_balances;
use self::stored::needs_draw;
use super::context::NodeContext;
use super::owned_shards::OwnedShard;
use super::owner::OwnerEvent;
use crate::config::Version;
use crate::decide::{BalanceCredit, TeamSpending};
use crate::model::{ShardName, TeamName, Time};
use crate::port::table::{Condition, Row, Txn, Write, scan_all};
use crate::shard::rows::{decode, encode};

/// How often shards are looked through for teams that need a draw.
const LOOK_EVERY: Duration = Duration::from_millis(50);

/// How long until a row that had nothing for waiting work is read again.
const ASK_AGAIN: Duration = Duration::from_millis(250);

/// Teams whose rows one transaction changes.
const MAX_TEAMS: usize = 200;

/// Core-milliseconds in a core-hour.
const CORE_MS_PER_CORE_HOUR: f64 = 3_600_000.0;

/// The start of the keys of balances.
const PREFIX: &str = "balance/";

/// What is known of the rows of one shard under one epoch.
#[derive(Default)]
struct Accounts {
    epoch: u64,
    /// Whether all that earlier owners had drawn is taken over.
    recovered: bool,
    teams: FxHashMap<TeamName, Account>,
}

/// What is known of one team's row.
struct Account {
    /// What of the team's spending is settled, since the owner began.
    settled_core_ms: u64,
    granted_core_ms: u64,
    /// Whether the row says that the shard lacks something.
    lacks: bool,
    /// When to settle again.
    next: Time,
    /// When to ask again for what the row did not have.
    ask_again: Time,
}

impl Account {
    fn is_due(&self, team: &TeamSpending, granted_core_ms: u64, now: Time) -> bool {
        let asks =
            needs_draw(team) && (team.renewal_shortfall_core_ms > 0 || self.ask_again <= now);
        let spends = team.spent_core_ms > self.settled_core_ms || team.held_cpu_milli > 0;
        let changes = spends || team.left_core_ms > 0 || self.lacks;
        asks || self.granted_core_ms != granted_core_ms || changes && self.next <= now
    }
}

/// What the changes of one transaction are worked out from.
struct Round<'a> {
    shard: &'a ShardName,
    epoch: u64,
    rows: &'a [Row],
    version: &'a Version,
    max_isolation: Duration,
    txn_id: u64,
}

impl Round<'_> {
    fn row_of(&self, team: &TeamName) -> Option<&Row> {
        let key = key_of(team);
        self.rows.iter().find(|row| row.key == key)
    }

    /// The balance of a team as the configuration in force has it; `None` where the row cannot be
    /// read.
    fn stored(&self, team: &TeamName) -> Option<Stored> {
        let granted = granted_core_ms(self.version, team);
        let Some(row) = self.row_of(team) else {
            return Some(Stored {
                balance: StoredBalance::new(granted, self.version.number),
                is_changed: true,
            });
        };
        let mut balance = decode::<StoredBalance>(&row.value).ok()?;
        let is_changed = balance.set_granted(granted, self.version.number);
        Some(Stored {
            balance,
            is_changed,
        })
    }

    /// Whether an earlier owner of the shard had drawn a part that nobody took over.
    fn is_left_behind(&self, row: &Row) -> bool {
        let stored = decode::<StoredBalance>(&row.value).ok();
        let draw = stored.and_then(|stored| stored.balance.drawn.get(self.shard).copied());
        draw.is_some_and(|draw| draw.epoch < self.epoch && draw.left_core_ms > 0)
    }
}

/// A balance as it is to be, before anything is exchanged.
struct Stored {
    balance: StoredBalance,
    /// Whether the row is absent or says something else.
    is_changed: bool,
}

/// A change of one team's balance that is being written.
struct Change {
    team: TeamName,
    spent_core_ms: u64,
    granted_core_ms: u64,
    returned_core_ms: u64,
    lacks: bool,
    exchanged: Reconciled,
}

/// Keeps the balances of the shards that one node owns.
pub struct BalanceReconciler {
    context: Arc<NodeContext>,
    accounts: FxHashMap<ShardName, Accounts>,
}

impl BalanceReconciler {
    /// Balances for the node that `context` belongs to.
    pub fn new(context: Arc<NodeContext>) -> Self {
        Self {
            context,
            accounts: FxHashMap::default(),
        }
    }

    /// Draws and settles for as long as the node runs.
    pub async fn run(mut self) {
        let mut interval = tokio::time::interval(LOOK_EVERY);
        interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
        loop {
            interval.tick().await;
            for (shard, owned) in self.context.owned_shards.all() {
                self.look(&shard, &owned).await;
            }
        }
    }

    async fn look(&mut self, shard: &ShardName, owned: &OwnedShard) {
        let Some(spending) = ask_spending(owned).await else {
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

    fn accounts_of(&mut self, shard: &ShardName, epoch: u64) -> &mut Accounts {
        let accounts = self.accounts.entry(shard.clone()).or_default();
        if accounts.epoch != epoch {
            *accounts = Accounts {
                epoch,
                ..Accounts::default()
            };
        }
        accounts
    }

    /// Writes the changes of some teams in one transaction and tells the shard.
    async fn reconcile(
        &mut self,
        shard: &ShardName,
        owned: &OwnedShard,
        version: &Version,
        mut due: Vec<TeamSpending>,
    ) {
        let Ok(rows) = scan_all(self.context.table.as_ref(), PREFIX).await else {
            return;
        };
        let round = Round {
            shard,
            epoch: owned.epoch,
            rows: &rows,
            version,
            max_isolation: self.context.max_isolation(),
            txn_id: rand::random(),
        };
        if !self.accounts_of(shard, owned.epoch).recovered {
            add_left_behind(&round, &mut due);
        }
        let recovered = due.len() <= MAX_TEAMS;
        due.truncate(MAX_TEAMS);
        let (txn, changes) = self.changes(&round, owned, &due).await;
        let table = self.context.table.as_ref();
        let applied =
            txn.writes.is_empty() || commit_balances(table, &txn, shard, round.txn_id).await;
        self.accounts_of(shard, owned.epoch).recovered |= recovered && applied;
        for change in changes {
            self.finish(shard, owned, change, applied).await;
        }
    }

    async fn changes(
        &self,
        round: &Round<'_>,
        owned: &OwnedShard,
        due: &[TeamSpending],
    ) -> (Txn, Vec<Change>) {
        let mut txn = Txn::default();
        let mut changes = Vec::new();
        for team in due {
            let keeps = round
                .stored(&team.team)
                .is_none_or(|stored| stored.balance.may_keep_draw(round.shard, team));
            let returned = match keeps {
                true => None,
                false => Some(take_back(owned, &team.team).await),
            };
            match self.change(round, team, returned, &mut txn) {
                Some(change) => changes.push(change),
                None => add(owned, &team.team, &part_of(returned.unwrap_or(0))).await,
            }
        }
        (txn, changes)
    }

    /// Adds the change of one team's row to `txn`; `None` where a later owner has the shard.
    fn change(
        &self,
        round: &Round<'_>,
        team: &TeamSpending,
        returned_core_ms: Option<u64>,
        txn: &mut Txn,
    ) -> Option<Change> {
        let row = round.row_of(&team.team);
        let Stored {
            balance: mut stored,
            is_changed,
        } = round.stored(&team.team)?;
        let account = self.accounts.get(round.shard)?.teams.get(&team.team);
        let exchanged = stored.reconcile(&ReconcileRequest {
            shard: round.shard,
            epoch: round.epoch,
            team,
            settled_core_ms: account.map_or(0, |account| account.settled_core_ms),
            returned_core_ms,
            shards: round.version.config.worker_shards().len() as u64,
            max_isolation: round.max_isolation,
            txn_id: round.txn_id,
        })?;
        if exchanged.is_changed || is_changed {
            put(txn, &team.team, row, &stored);
        }
        let lack = stored
            .balance
            .drawn
            .get(round.shard)
            .map(|draw| draw.shortfall);
        Some(Change {
            team: team.team.clone(),
            spent_core_ms: team.spent_core_ms,
            granted_core_ms: granted_core_ms(round.version, &team.team),
            returned_core_ms: returned_core_ms.unwrap_or(0),
            lacks: lack.is_some_and(|lack| lack != Default::default()),
            exchanged,
        })
    }

    async fn finish(
        &mut self,
        shard: &ShardName,
        owned: &OwnedShard,
        change: Change,
        applied: bool,
    ) {
        if !applied {
            return add(owned, &change.team, &part_of(change.returned_core_ms)).await;
        }
        let now = self.context.clock.now();
        let Reconciled {
            added_core_ms,
            more_available,
            max_cpu_milli,
            settle_after,
            is_changed,
        } = change.exchanged;
        let account = Account {
            settled_core_ms: change.spent_core_ms,
            granted_core_ms: change.granted_core_ms,
            lacks: change.lacks,
            next: now + settle_after,
            ask_again: if is_changed { now } else { now + ASK_AGAIN },
        };
        let accounts = self.accounts_of(shard, owned.epoch);
        accounts.teams.insert(change.team.clone(), account);
        let part = BalanceCredit {
            core_ms: added_core_ms,
            more_available,
            max_cpu_milli: Some(max_cpu_milli),
        };
        add(owned, &change.team, &part).await;
    }
}

/// Adds the teams of which only an earlier owner of the shard had drawn something.
fn add_left_behind(round: &Round<'_>, due: &mut Vec<TeamSpending>) {
    for row in round.rows.iter().filter(|row| round.is_left_behind(row)) {
        let team = TeamName::from(&row.key[PREFIX.len()..]);
        if due.iter().all(|known| known.team != team) {
            due.push(TeamSpending::new(team));
        }
    }
}

fn put(txn: &mut Txn, team: &TeamName, row: Option<&Row>, stored: &StoredBalance) {
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
    format!("{PREFIX}{team}")
}

fn granted_core_ms(version: &Version, team: &TeamName) -> u64 {
    let team = version.config.team.get(team);
    let hours = team.map_or(0.0, |team| team.balance_core_hours);
    (hours * CORE_MS_PER_CORE_HOUR) as u64
}

async fn ask_spending(owned: &OwnedShard) -> Option<Vec<TeamSpending>> {
    let (tx, rx) = oneshot::channel();
    owned.actor.tell(OwnerEvent::ReadSpending(tx)).await.ok()?;
    rx.await.ok()
}

/// Takes back what a team has left.
async fn take_back(owned: &OwnedShard, team: &TeamName) -> u64 {
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

/// A part that was taken back and is not given back after all.
fn part_of(core_ms: u64) -> BalanceCredit {
    BalanceCredit {
        core_ms,
        more_available: true,
        max_cpu_milli: None,
    }
}

async fn add(owned: &OwnedShard, team: &TeamName, part: &BalanceCredit) {
    let event = OwnerEvent::AddBalance {
        team: team.clone(),
        credit: *part,
    };
    let _ = owned.actor.tell(event).await;
}
