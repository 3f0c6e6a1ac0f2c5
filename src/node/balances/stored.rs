//! The row of a team's balance, and what a shard's owner exchanges with it.

use std::time::Duration;

use crate::decide::TeamSpending;
use crate::decide::balance::BalanceRow;
use crate::model::ShardName;

/// How often what was spent is settled.
pub const SETTLE_INTERVAL: Duration = Duration::from_secs(5);

/// How often that is where little is left.
pub const SCARCE_SETTLE_INTERVAL: Duration = Duration::from_millis(250);

/// How long a drawn part lasts at the rate at which the team spends.
const HORIZON_MS: u64 = 600_000;

/// How long what is left has to last in each shard, so that it is not scarce.
const SCARCE_MS: u64 = 60_000;

/// The processors that a draw reckons with at least, in thousandths of a core.
const LEAST_CPU_MILLI: u32 = 16_000;

common! { record
/// `balance/TEAM`: a team's balance.
pub struct StoredBalance {
    /// What was prepaid, as the configuration last said, in core-milliseconds.
    pub granted_core_ms: u64,
    /// The version of the configuration that said so.
    pub version: u64,
    /// What is left and what shards have drawn.
    pub balance: BalanceRow,
}}

/// What an owner asks of a row in one transaction.
#[derive(Clone, Debug)]
pub struct ReconcileRequest<'a> {
    /// The shard.
    pub shard: &'a ShardName,
    /// The epoch of the owner.
    pub epoch: u64,
    /// What the team spent and may spend in the shard.
    pub team: &'a TeamSpending,
    /// What of it is settled.
    pub settled_core_ms: u64,
    /// What the owner takes from its shard to give it back; `None` where it keeps what it has.
    pub returned_core_ms: Option<u64>,
    /// How many shards there are.
    pub shards: u64,
    /// How long an earlier owner of the shard may have gone on without the table.
    pub max_isolation: Duration,
    /// Names the transaction.
    pub txn_id: u64,
}

/// What came of it, once the transaction has taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reconciled {
    /// What the shard may spend from now on in addition, in core-milliseconds.
    pub added_core_ms: u64,
    /// Whether further parts may follow.
    pub more_available: bool,
    /// The processors that the team's tasks may hold in the shard, in thousandths of a core.
    pub max_cpu_milli: u32,
    /// How long until the owner has to settle again.
    pub settle_after: Duration,
    /// Whether the row differs from before, apart from the name of the transaction.
    pub is_changed: bool,
}

impl StoredBalance {
    /// A balance of which nothing was used.
    pub fn new(granted_core_ms: u64, version: u64) -> Self {
        Self {
            granted_core_ms,
            version,
            balance: BalanceRow::new(granted_core_ms),
        }
    }

    /// Takes over what a later version of the configuration says was prepaid. What was drawn beyond
    /// it is owed, and taken from what is given back. Returns whether anything changed.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::node::balances::StoredBalance;
    ///
    /// let mut stored = StoredBalance::new(100, 1);
    /// stored.balance.draw(&"s".into(), 1, 80, 0).unwrap();
    /// stored.regrant(50, 2);
    /// assert_eq!((stored.balance.left_core_ms, stored.balance.owed_core_ms), (0, 30));
    /// stored.regrant(100, 1);
    /// assert_eq!(stored.granted_core_ms, 50);
    /// stored.regrant(100, 3);
    /// assert_eq!((stored.balance.left_core_ms, stored.balance.owed_core_ms), (20, 0));
    /// ```
    pub fn set_granted(&mut self, granted_core_ms: u64, version: u64) -> bool {
        if version <= self.version || granted_core_ms == self.granted_core_ms {
            return false;
        }
        let more = granted_core_ms.saturating_sub(self.granted_core_ms);
        let less = self.granted_core_ms.saturating_sub(granted_core_ms);
        self.balance.top_up(more);
        self.balance.withdraw(less);
        self.granted_core_ms = granted_core_ms;
        self.version = version;
        true
    }

    /// Whether the shard can use what it has of the balance: else it lies there in vain, since
    /// nothing of the team is there, others lack it, or what waits costs more than can be drawn.
    pub fn may_keep_draw(&self, shard: &ShardName, team: &TeamSpending) -> bool {
        if is_idle(team) {
            return false;
        }
        if team.renewal_shortfall_core_ms > 0 {
            return true;
        }
        let lack = self.balance.shortfall_of_others(shard);
        if self.balance.owed_core_ms > 0 || lack.renewal_core_ms > 0 || lack.start_core_ms > 0 {
            return false;
        }
        let within_reach = team.left_core_ms + self.balance.left_core_ms;
        let least = team.blocked_start_costs_core_ms.iter().min();
        least.is_none_or(|&start| start <= within_reach)
    }

    /// Settles, gives back and draws for an owner; `None` where a later owner has the shard.
    pub fn reconcile(&mut self, ask: &ReconcileRequest<'_>) -> Option<Reconciled> {
        let ReconcileRequest { shard, epoch, .. } = *ask;
        let before = self.clone();
        let recovered = self.recover(ask)?;
        let spent = ask.team.spent_core_ms.saturating_sub(ask.settled_core_ms);
        self.settle(shard, epoch, spent)?;
        let (kept, returned) = match ask.returned_core_ms {
            Some(returned) => (0, returned + recovered),
            None => (recovered, 0),
        };
        self.balance.refund(shard, epoch, returned).ok()?;
        let mut team = ask.team.clone();
        team.left_core_ms = match ask.returned_core_ms {
            Some(_) => 0,
            None => team.left_core_ms + kept,
        };
        let is_scarce = self.is_scarce(ask.shards);
        let max_cpu_milli = match self.balance.owed_core_ms {
            0 => max_cpu_milli(&team, is_scarce),
            _ => 0,
        };
        let written = max_cpu_milli
            .max(team.held_cpu_milli)
            .max(team.max_cpu_milli.unwrap_or(0));
        let wanted = self.drawn_core_ms(ask, &team);
        let drawn = self.balance.draw(shard, epoch, wanted, written).ok()?;
        self.note_lack(shard, &team, drawn);
        let settle_after = if is_scarce {
            SCARCE_SETTLE_INTERVAL
        } else {
            SETTLE_INTERVAL
        };
        self.note_settling(shard, settle_after);
        let is_changed = *self != before;
        if let Some(draw) = self.balance.drawn.get_mut(shard) {
            draw.txn = ask.txn_id;
        }
        Some(Reconciled {
            added_core_ms: drawn + kept,
            more_available: self.balance.total_core_ms() > self.held_by(shard),
            max_cpu_milli,
            settle_after,
            is_changed,
        })
    }

    /// Takes over what an earlier owner of the shard had drawn; `None` where a later owner has.
    fn recover(&mut self, ask: &ReconcileRequest<'_>) -> Option<u64> {
        let Some(draw) = self.balance.drawn.get(ask.shard) else {
            return Some(0);
        };
        if draw.epoch == ask.epoch {
            return Some(0);
        }
        let settles = Duration::from_millis(draw.settle_interval_ms.into());
        let unsettled = ask.max_isolation + settles * 2;
        self.balance.recover(ask.shard, ask.epoch, unsettled).ok()
    }

    /// Settles what was spent, at most what is drawn: slices that ran out are charged no further.
    fn settle(&mut self, shard: &ShardName, epoch: u64, spent: u64) -> Option<()> {
        let spent = spent.min(self.held_by(shard));
        self.balance.settle(shard, epoch, spent).ok()
    }

    fn held_by(&self, shard: &ShardName) -> u64 {
        let draw = self.balance.drawn.get(shard);
        draw.map_or(0, |draw| draw.left_core_ms)
    }

    fn is_scarce(&self, shards: u64) -> bool {
        let each = cost_core_ms(LEAST_CPU_MILLI, SCARCE_MS);
        self.balance.left_core_ms < each.saturating_mul(shards)
    }

    /// What to draw: what running tasks need, then the largest start that can be paid beside what
    /// running tasks of other shards lack, and an even share where no other shard lacks anything.
    fn drawn_core_ms(&self, ask: &ReconcileRequest<'_>, team: &TeamSpending) -> u64 {
        let left = self.balance.left_core_ms;
        let renewals = team.renewal_shortfall_core_ms.min(left);
        let lack = self.balance.shortfall_of_others(ask.shard);
        let free = (left - renewals).saturating_sub(lack.renewal_core_ms);
        let missing = |&start: &u64| start.saturating_sub(team.left_core_ms);
        let starts = team.blocked_start_costs_core_ms.iter().map(missing);
        let start = match renewals == team.renewal_shortfall_core_ms {
            true => starts.filter(|&missing| missing <= free).max(),
            false => None,
        };
        let needed = renewals + start.unwrap_or(0);
        if ask.returned_core_ms.is_some() {
            return needed;
        }
        let share = left.div_ceil(ask.shards.max(1));
        let free = free.saturating_sub(lack.start_core_ms);
        needed.max(wanted_core_ms(team).min(share).min(free))
    }

    /// Notes what the shard still lacks, so that others give back what they do not use.
    fn note_lack(&mut self, shard: &ShardName, team: &TeamSpending, drawn: u64) {
        let least = team
            .blocked_start_costs_core_ms
            .iter()
            .min()
            .copied()
            .unwrap_or(0);
        let is_payable = least <= team.left_core_ms + drawn;
        if let Some(draw) = self.balance.drawn.get_mut(shard) {
            draw.shortfall.renewal_core_ms = team.renewal_shortfall_core_ms.saturating_sub(drawn);
            draw.shortfall.start_core_ms = if is_payable { 0 } else { least };
        }
    }

    fn note_settling(&mut self, shard: &ShardName, after: Duration) {
        if let Some(draw) = self.balance.drawn.get_mut(shard) {
            draw.settle_interval_ms = u32::try_from(after.as_millis()).unwrap_or(u32::MAX);
        }
    }
}

/// Whether a team's tasks need more than is left in the shard.
pub(super) fn needs_draw(team: &TeamSpending) -> bool {
    let low = team.has_queued_tasks && team.left_core_ms < wanted_core_ms(team) / 2;
    low || team.renewal_shortfall_core_ms > 0 || !team.blocked_start_costs_core_ms.is_empty()
}

/// Whether a team has nothing in the shard.
pub(super) fn is_idle(team: &TeamSpending) -> bool {
    !team.has_queued_tasks && team.held_cpu_milli == 0
}

/// What the team spends within the horizon, less what is left here.
fn wanted_core_ms(team: &TeamSpending) -> u64 {
    let cpu_milli = match team.has_queued_tasks {
        true => team.held_cpu_milli.max(LEAST_CPU_MILLI),
        false => team.held_cpu_milli,
    };
    cost_core_ms(cpu_milli, HORIZON_MS).saturating_sub(team.left_core_ms)
}

/// What the team's tasks may hold until the next exchange, so that what a lost owner may have spent
/// stays bounded.
fn max_cpu_milli(team: &TeamSpending, is_scarce: bool) -> u32 {
    let held = team.held_cpu_milli;
    let growth = if is_scarce { 1 } else { 2 };
    let usual = held.max(LEAST_CPU_MILLI).saturating_mul(growth);
    usual.max(held.saturating_add(team.max_blocked_start_cpu_milli))
}

fn cost_core_ms(cpu_milli: u32, ms: u64) -> u64 {
    u64::from(cpu_milli) * ms / 1_000
}
