//! The row of a team's balance, and its reconciliation with the owner of a shard.

use std::time::Duration;

use crate::decide::TeamSpending;
use crate::decide::balance::BalanceRow;
use crate::model::ShardName;

/// Interval between settlements.
pub const SETTLE_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between settlements while the balance is scarce.
pub const SCARCE_SETTLE_INTERVAL: Duration = Duration::from_millis(250);

/// How long a draw lasts at the rate at which the team spends.
const DRAW_HORIZON_MS: u64 = 600_000;

/// How long the balance that is left must last in each shard so that it is not scarce.
const SCARCITY_HORIZON_MS: u64 = 60_000;

/// The minimum of processors on which a draw is based, in thousandths of a core.
const MIN_CPU_MILLI: u32 = 16_000;

common! { record
/// `balance/TEAM`: a team's balance.
pub struct StoredBalance {
    /// The prepaid amount according to the last applied configuration, in core-milliseconds.
    pub granted_core_ms: u64,
    /// The version of that configuration.
    pub version: u64,
    /// The amount that is left and the draws of the shards.
    pub balance: BalanceRow,
}}

/// The input of an owner for the reconciliation of one row.
#[derive(Clone, Debug)]
pub struct ReconcileRequest<'a> {
    /// The shard.
    pub shard: &'a ShardName,
    /// The epoch of the owner.
    pub epoch: u64,
    /// What the team spent and may spend in the shard.
    pub team: &'a TeamSpending,
    /// How much of that spending is settled, in core-milliseconds.
    pub settled_core_ms: u64,
    /// The amount that the owner reclaimed from its shard to refund it; `None` if the shard keeps
    /// its draw.
    pub refund_core_ms: Option<u64>,
    /// The number of shards of the cell.
    pub shards: u64,
    /// How long an earlier owner of the shard may have continued while isolated from the table.
    pub max_isolation: Duration,
    /// The id of the transaction.
    pub txn_id: u64,
}

/// The result of a reconciliation, valid once its transaction has taken effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reconciled {
    /// The additional credit of the shard, in core-milliseconds.
    pub credit_core_ms: u64,
    /// Whether further credit may follow.
    pub more_available: bool,
    /// The processors that the team's tasks may hold in the shard, in thousandths of a core.
    pub max_cpu_milli: u32,
    /// The time after which the owner has to settle again.
    pub settle_after: Duration,
    /// Whether the row has changed apart from the id of the transaction.
    pub is_changed: bool,
}

impl StoredBalance {
    /// Creates a balance from which nothing is drawn.
    pub fn new(granted_core_ms: u64, version: u64) -> Self {
        Self {
            granted_core_ms,
            version,
            balance: BalanceRow::new(granted_core_ms),
        }
    }

    /// Applies the prepaid amount of a later version of the configuration; ignores earlier
    /// versions. If more is drawn than the new amount covers, the excess is owed and deducted from
    /// later refunds. Returns whether anything changed.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::node::balances::StoredBalance;
    ///
    /// let mut stored = StoredBalance::new(100, 1);
    /// stored.balance.draw(&"s".into(), 1, 80, 0).unwrap();
    /// stored.set_granted(50, 2);
    /// assert_eq!((stored.balance.left_core_ms, stored.balance.owed_core_ms), (0, 30));
    /// stored.set_granted(100, 1);
    /// assert_eq!(stored.granted_core_ms, 50);
    /// stored.set_granted(100, 3);
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

    /// Whether the shard can use its draw, and so keeps it. It keeps the draw if running tasks need
    /// it. Otherwise it cannot use the draw if the team has no tasks there, if other shards have a
    /// shortfall, if an amount is owed to the balance, or if even the cheapest blocked start costs
    /// more than the shard's credit and the rest of the balance together.
    pub fn may_keep_draw(&self, shard: &ShardName, team: &TeamSpending) -> bool {
        if is_idle(team) {
            return false;
        }
        if team.renewal_shortfall_core_ms > 0 {
            return true;
        }
        let shortfall = self.balance.shortfall_of_others(shard);
        if self.balance.owed_core_ms > 0
            || shortfall.renewal_core_ms > 0
            || shortfall.start_core_ms > 0
        {
            return false;
        }
        let obtainable_core_ms = team.left_core_ms + self.balance.left_core_ms;
        let cheapest = team.blocked_start_costs_core_ms.iter().min();
        cheapest.is_none_or(|&start| start <= obtainable_core_ms)
    }

    /// Settles, refunds and draws for an owner; `None` if the owner is fenced by a later one.
    pub fn reconcile(&mut self, request: &ReconcileRequest<'_>) -> Option<Reconciled> {
        let ReconcileRequest { shard, epoch, .. } = *request;
        let before = self.clone();
        let recovered = self.recover(request)?;
        let spent = request
            .team
            .spent_core_ms
            .saturating_sub(request.settled_core_ms);
        self.settle(shard, epoch, spent)?;
        let (recovered_credit, refund) = match request.refund_core_ms {
            Some(refund) => (0, refund + recovered),
            None => (recovered, 0),
        };
        self.balance.refund(shard, epoch, refund).ok()?;
        let mut team = request.team.clone();
        team.left_core_ms = match request.refund_core_ms {
            Some(_) => 0,
            None => team.left_core_ms + recovered_credit,
        };
        let is_scarce = self.is_scarce(request.shards);
        let max_cpu_milli = match self.balance.owed_core_ms {
            0 => max_cpu_milli(&team, is_scarce),
            _ => 0,
        };
        let recorded_cpu_milli = max_cpu_milli
            .max(team.held_cpu_milli)
            .max(team.max_cpu_milli.unwrap_or(0));
        let draw_core_ms = self.core_ms_to_draw(request, &team);
        let drawn = self
            .balance
            .draw(shard, epoch, draw_core_ms, recorded_cpu_milli)
            .ok()?;
        self.record_shortfall(shard, &team, drawn);
        let settle_after = if is_scarce {
            SCARCE_SETTLE_INTERVAL
        } else {
            SETTLE_INTERVAL
        };
        self.record_settle_interval(shard, settle_after);
        let is_changed = *self != before;
        if let Some(draw) = self.balance.drawn.get_mut(shard) {
            draw.txn = request.txn_id;
        }
        Some(Reconciled {
            credit_core_ms: drawn + recovered_credit,
            more_available: self.balance.total_core_ms() > self.drawn_by(shard),
            max_cpu_milli,
            settle_after,
            is_changed,
        })
    }

    /// Recovers the draw of an earlier owner of the shard, less what that owner may have spent
    /// without settling; `None` if a later owner has recovered it.
    fn recover(&mut self, request: &ReconcileRequest<'_>) -> Option<u64> {
        let Some(draw) = self.balance.drawn.get(request.shard) else {
            return Some(0);
        };
        if draw.epoch == request.epoch {
            return Some(0);
        }
        let settle_interval = Duration::from_millis(draw.settle_interval_ms.into());
        let unsettled = request.max_isolation + settle_interval * 2;
        self.balance
            .recover(request.shard, request.epoch, unsettled)
            .ok()
    }

    /// Settles what was spent, up to the amount drawn: a task whose paid slice has run out is not
    /// charged further.
    fn settle(&mut self, shard: &ShardName, epoch: u64, spent: u64) -> Option<()> {
        let spent = spent.min(self.drawn_by(shard));
        self.balance.settle(shard, epoch, spent).ok()
    }

    fn drawn_by(&self, shard: &ShardName) -> u64 {
        let draw = self.balance.drawn.get(shard);
        draw.map_or(0, |draw| draw.left_core_ms)
    }

    fn is_scarce(&self, shards: u64) -> bool {
        let per_shard_core_ms = cost_core_ms(MIN_CPU_MILLI, SCARCITY_HORIZON_MS);
        self.balance.left_core_ms < per_shard_core_ms.saturating_mul(shards)
    }

    /// The amount to draw: first what running tasks need; then the costliest blocked start that can
    /// be paid besides the renewals that other shards lack; then, unless the shard refunds, up to
    /// an even share as far as other shards do not lack it.
    fn core_ms_to_draw(&self, request: &ReconcileRequest<'_>, team: &TeamSpending) -> u64 {
        let left_core_ms = self.balance.left_core_ms;
        let renewals = team.renewal_shortfall_core_ms.min(left_core_ms);
        let shortfall = self.balance.shortfall_of_others(request.shard);
        let free = (left_core_ms - renewals).saturating_sub(shortfall.renewal_core_ms);
        let lacking = |&start: &u64| start.saturating_sub(team.left_core_ms);
        let starts = team.blocked_start_costs_core_ms.iter().map(lacking);
        let start = match renewals == team.renewal_shortfall_core_ms {
            true => starts.filter(|&lacking| lacking <= free).max(),
            false => None,
        };
        let needed = renewals + start.unwrap_or(0);
        if request.refund_core_ms.is_some() {
            return needed;
        }
        let share = left_core_ms.div_ceil(request.shards.max(1));
        let free = free.saturating_sub(shortfall.start_core_ms);
        needed.max(horizon_need_core_ms(team).min(share).min(free))
    }

    /// Records the shortfall of the shard, so that other shards refund what they do not use.
    fn record_shortfall(&mut self, shard: &ShardName, team: &TeamSpending, drawn: u64) {
        let cheapest = team
            .blocked_start_costs_core_ms
            .iter()
            .min()
            .copied()
            .unwrap_or(0);
        let is_payable = cheapest <= team.left_core_ms + drawn;
        if let Some(draw) = self.balance.drawn.get_mut(shard) {
            draw.shortfall.renewal_core_ms = team.renewal_shortfall_core_ms.saturating_sub(drawn);
            draw.shortfall.start_core_ms = if is_payable { 0 } else { cheapest };
        }
    }

    fn record_settle_interval(&mut self, shard: &ShardName, after: Duration) {
        if let Some(draw) = self.balance.drawn.get_mut(shard) {
            draw.settle_interval_ms = u32::try_from(after.as_millis()).unwrap_or(u32::MAX);
        }
    }
}

/// Whether a team's tasks need more credit than the shard has.
pub(super) fn needs_draw(team: &TeamSpending) -> bool {
    let is_low = team.has_queued_tasks && team.left_core_ms < horizon_need_core_ms(team) / 2;
    is_low || team.renewal_shortfall_core_ms > 0 || !team.blocked_start_costs_core_ms.is_empty()
}

/// Whether a team has neither queued nor running tasks in the shard.
pub(super) fn is_idle(team: &TeamSpending) -> bool {
    !team.has_queued_tasks && team.held_cpu_milli == 0
}

/// The team's spending within the draw horizon, less the credit that the shard has.
fn horizon_need_core_ms(team: &TeamSpending) -> u64 {
    let cpu_milli = match team.has_queued_tasks {
        true => team.held_cpu_milli.max(MIN_CPU_MILLI),
        false => team.held_cpu_milli,
    };
    cost_core_ms(cpu_milli, DRAW_HORIZON_MS).saturating_sub(team.left_core_ms)
}

/// The processors that the team's tasks may hold until the next reconciliation. The limit bounds
/// what a lost owner may have spent without settling.
fn max_cpu_milli(team: &TeamSpending, is_scarce: bool) -> u32 {
    let held = team.held_cpu_milli;
    let growth = if is_scarce { 1 } else { 2 };
    let usual = held.max(MIN_CPU_MILLI).saturating_mul(growth);
    usual.max(held.saturating_add(team.max_blocked_start_cpu_milli))
}

fn cost_core_ms(cpu_milli: u32, ms: u64) -> u64 {
    u64::from(cpu_milli) * ms / 1_000
}
