//! Prepaid balances: the owner of a shard draws from a team's balance in advance and settles what
//! was spent.
//!
//! The row in the table holds the undrawn rest of the balance and what each shard has drawn. Only
//! drawn balance can be spent, so that the balance is never overspent, whichever process is lost,
//! and paid work goes on while the table is unavailable. A new owner of a shard takes over what the
//! previous owner had drawn, less the maximum that it can have spent since it last settled.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::ShardName;

/// Returns the maximum that `cpu_milli` millicores spend within `time`, in core-milliseconds,
/// rounded up.
fn max_spend_core_ms(cpu_milli: u32, time: Duration) -> u64 {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    u64::from(cpu_milli)
        .saturating_mul(micros)
        .div_ceil(1_000_000)
}

common! { value
/// What a shard has drawn from a balance.
pub struct Draw {
    /// Epoch of the owner that drew it.
    pub epoch: u64,
    /// Drawn and not yet settled, in core-milliseconds.
    pub left_core_ms: u64,
    /// Maximum processors that the team's tasks hold at once in the shard, in millicores. The owner
    /// does not exceed it before a settlement has recorded another maximum.
    pub cpu_milli: u32,
    /// Shortfall of the shard when its owner last wrote the row.
    #[serde(rename = "lacks")]
    pub shortfall: Shortfall,
    /// Maximum interval between two settlements of the owner, in milliseconds.
    #[serde(rename = "settles_ms")]
    pub settle_interval_ms: u32,
    /// Identifies the last transaction of the shard that changed the row.
    pub txn: u64,
}}

common! { value
/// What a shard needs beyond what the row had left.
#[derive(Default)]
pub struct Shortfall {
    /// Needed to renew the slices of running tasks, in core-milliseconds.
    #[serde(rename = "runs_core_ms")]
    pub renewal_core_ms: u64,
    /// Cost of the cheapest start that cannot be paid, in core-milliseconds.
    pub start_core_ms: u64,
}}

common! { record
/// Balance of a team, as stored in the table.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::balance::BalanceRow;
///
/// let shard = "akl-1".into();
/// let mut row = BalanceRow::new(1_000_000);
/// assert_eq!(row.draw(&shard, 1, 600_000, 2_000), Ok(600_000));
/// assert_eq!(row.settle(&shard, 1, 100_000), Ok(()));
///
/// // The owner is lost; its row has been unchanged for at most 10 s, at 2 cores.
/// assert_eq!(row.recover(&shard, 2, Duration::from_secs(10)), Ok(480_000));
/// assert!(row.settle(&shard, 1, 1).is_err());
/// assert_eq!(row.total_core_ms(), 880_000);
/// ```
pub struct BalanceRow {
    /// Not drawn by any shard, in core-milliseconds.
    pub left_core_ms: u64,
    /// Drawn in excess of a balance that was reduced later, in core-milliseconds.
    pub owed_core_ms: u64,
    /// What each shard has drawn.
    pub drawn: BTreeMap<ShardName, Draw>,
}}

/// Reason why a balance was not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BalanceError {
    /// A later owner of the shard has taken over the drawn balance.
    #[error("fenced by epoch {epoch}")]
    Fenced {
        /// Epoch of the later owner.
        epoch: u64,
    },
    /// An earlier owner has drawn from the balance, and this was not taken over.
    #[error("epoch {epoch} has drawn a part that was not taken over")]
    NotRecovered {
        /// Epoch of the earlier owner.
        epoch: u64,
    },
    /// The settled amount exceeds the drawn amount.
    #[error("{spent_core_ms} core-ms are settled, but only {drawn_core_ms} are drawn")]
    Overspent {
        /// Settled amount in core-milliseconds.
        spent_core_ms: u64,
        /// Drawn amount in core-milliseconds.
        drawn_core_ms: u64,
    },
}

impl BalanceRow {
    /// Creates a balance from which nothing is drawn.
    pub fn new(left_core_ms: u64) -> Self {
        Self {
            left_core_ms,
            owed_core_ms: 0,
            drawn: BTreeMap::new(),
        }
    }

    /// Returns the sum of the undrawn and the drawn balance less what is owed, in
    /// core-milliseconds.
    pub fn total_core_ms(&self) -> u64 {
        let drawn = self.drawn.values().map(|draw| draw.left_core_ms);
        (self.left_core_ms + drawn.sum::<u64>()).saturating_sub(self.owed_core_ms)
    }

    /// Adds to the balance; the owed amount is paid off first.
    pub fn top_up(&mut self, core_ms: u64) {
        let paid = core_ms.min(self.owed_core_ms);
        self.owed_core_ms -= paid;
        self.left_core_ms = self.left_core_ms.saturating_add(core_ms - paid);
    }

    /// Takes from the balance; what exceeds the undrawn balance becomes owed.
    pub fn withdraw(&mut self, core_ms: u64) {
        let taken = core_ms.min(self.left_core_ms);
        self.left_core_ms -= taken;
        self.owed_core_ms = self.owed_core_ms.saturating_add(core_ms - taken);
    }

    /// Returns the total shortfall of all shards except `shard`.
    pub fn shortfall_of_others(&self, shard: &ShardName) -> Shortfall {
        let others = self.drawn.iter().filter(|(name, _)| *name != shard);
        others.fold(Shortfall::default(), |sum, (_, draw)| Shortfall {
            renewal_core_ms: sum
                .renewal_core_ms
                .saturating_add(draw.shortfall.renewal_core_ms),
            start_core_ms: sum
                .start_core_ms
                .saturating_add(draw.shortfall.start_core_ms),
        })
    }

    /// Draws up to `core_ms` for a shard whose tasks of the team hold at most `cpu_milli` from now
    /// on. Returns the amount drawn.
    ///
    /// # Errors
    ///
    /// Returns [`BalanceError::Fenced`] if a later owner has drawn, and
    /// [`BalanceError::NotRecovered`] if an earlier one has and its draw was not taken over.
    pub fn draw(
        &mut self,
        shard: &ShardName,
        epoch: u64,
        core_ms: u64,
        cpu_milli: u32,
    ) -> Result<u64, BalanceError> {
        let available = core_ms.min(self.left_core_ms);
        let draw = self.draw_mut(shard, epoch)?;
        draw.left_core_ms += available;
        draw.cpu_milli = cpu_milli;
        self.left_core_ms -= available;
        Ok(available)
    }

    /// Settles what a shard has spent of its drawn balance.
    ///
    /// # Errors
    ///
    /// Returns [`BalanceError::Fenced`] if a later owner has taken over, and
    /// [`BalanceError::Overspent`] if more is settled than was drawn. The balance is unchanged on
    /// error.
    pub fn settle(
        &mut self,
        shard: &ShardName,
        epoch: u64,
        spent_core_ms: u64,
    ) -> Result<(), BalanceError> {
        let draw = self.draw_mut(shard, epoch)?;
        let left = draw.left_core_ms.checked_sub(spent_core_ms);
        draw.left_core_ms = left.ok_or(BalanceError::Overspent {
            spent_core_ms,
            drawn_core_ms: draw.left_core_ms,
        })?;
        Ok(())
    }

    /// Returns up to `core_ms` of a shard's drawn balance to the row.
    ///
    /// # Errors
    ///
    /// Returns [`BalanceError::Fenced`] if a later owner has taken over.
    pub fn refund(
        &mut self,
        shard: &ShardName,
        epoch: u64,
        core_ms: u64,
    ) -> Result<(), BalanceError> {
        let draw = self.draw_mut(shard, epoch)?;
        let returned = core_ms.min(draw.left_core_ms);
        draw.left_core_ms -= returned;
        self.top_up(returned);
        Ok(())
    }

    /// Takes over the drawn balance for a new owner of the shard and returns what it may spend.
    /// `unsettled` is the maximum time since the previous owner last settled: for that time, all of
    /// its processors count as spent.
    ///
    /// # Errors
    ///
    /// Returns [`BalanceError::Fenced`] if `epoch` is not later than the epoch that drew.
    pub fn recover(
        &mut self,
        shard: &ShardName,
        epoch: u64,
        unsettled: Duration,
    ) -> Result<u64, BalanceError> {
        let Some(draw) = self.drawn.get_mut(shard) else {
            return Ok(0);
        };
        if draw.epoch >= epoch {
            return Err(BalanceError::Fenced { epoch: draw.epoch });
        }
        let spent = max_spend_core_ms(draw.cpu_milli, unsettled);
        draw.epoch = epoch;
        draw.shortfall = Shortfall::default();
        draw.left_core_ms = draw.left_core_ms.saturating_sub(spent);
        Ok(draw.left_core_ms)
    }

    fn draw_mut(&mut self, shard: &ShardName, epoch: u64) -> Result<&mut Draw, BalanceError> {
        let empty = Draw {
            epoch,
            left_core_ms: 0,
            cpu_milli: 0,
            shortfall: Shortfall::default(),
            settle_interval_ms: 0,
            txn: 0,
        };
        let draw = self.drawn.entry(shard.clone()).or_insert(empty);
        if draw.epoch > epoch {
            return Err(BalanceError::Fenced { epoch: draw.epoch });
        }
        if draw.epoch < epoch && draw.left_core_ms > 0 {
            return Err(BalanceError::NotRecovered { epoch: draw.epoch });
        }
        draw.epoch = epoch;
        Ok(draw)
    }
}

/// Changes that an owner requests from the row in one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SettleRequest {
    /// Spent since the last transaction, in core-milliseconds.
    pub settle_core_ms: u64,
    /// Amount to draw, in core-milliseconds.
    pub draw_core_ms: u64,
}

/// Drawn balance that the owner of a shard may spend.
///
/// # Examples
///
/// ```
/// use std::time::Duration;
/// use chestnutlug::decide::balance::Allowance;
///
/// let mut allowance = Allowance::new(0);
/// let request = allowance.request(1_000, Duration::from_secs(600)).unwrap();
/// assert_eq!(request.draw_core_ms, 600_000);
/// allowance.confirm(&request, 600_000);
/// assert!(allowance.spend(250_000));
/// assert!(!allowance.spend(350_001));
/// let request = allowance.request(1_000, Duration::from_secs(600)).unwrap();
/// assert_eq!((request.settle_core_ms, request.draw_core_ms), (250_000, 0));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Allowance {
    left_core_ms: u64,
    unsettled_core_ms: u64,
}

impl Allowance {
    /// Creates an allowance from a drawn or recovered amount.
    pub fn new(left_core_ms: u64) -> Self {
        Self {
            left_core_ms,
            unsettled_core_ms: 0,
        }
    }

    /// Returns what may still be spent, in core-milliseconds.
    pub fn left_core_ms(&self) -> u64 {
        self.left_core_ms
    }

    /// Spends `core_ms`; returns `false` and changes nothing if less is left.
    pub fn spend(&mut self, core_ms: u64) -> bool {
        let Some(left) = self.left_core_ms.checked_sub(core_ms) else {
            return false;
        };
        self.left_core_ms = left;
        self.unsettled_core_ms += core_ms;
        true
    }

    /// Returns the request for the next transaction, if one is needed: it settles all that was
    /// spent, and once less than half of what `cpu_milli` spend within `horizon` is left, it draws
    /// the rest of that amount.
    pub fn request(&self, cpu_milli: u32, horizon: Duration) -> Option<SettleRequest> {
        let target = max_spend_core_ms(cpu_milli, horizon);
        let missing = target.saturating_sub(self.left_core_ms);
        let is_low = self.left_core_ms < target / 2;
        let request = SettleRequest {
            settle_core_ms: self.unsettled_core_ms,
            draw_core_ms: if is_low { missing } else { 0 },
        };
        (request.settle_core_ms > 0 || request.draw_core_ms > 0).then_some(request)
    }

    /// Records that the transaction of `request` took effect and drew `drawn_core_ms`.
    pub fn confirm(&mut self, request: &SettleRequest, drawn_core_ms: u64) {
        self.unsettled_core_ms -= request.settle_core_ms;
        self.left_core_ms += drawn_core_ms;
    }
}
