//! Balances: shard owners draw parts of a team's balance in advance and settle what was spent.
//!
//! The row in the table holds what is left and what each shard has drawn. Spending is from drawn
//! parts alone, so that the balance is not overspent whatever is lost, and paid work goes on while
//! the table is down. A new owner of a shard inherits what the earlier one had drawn, less the
//! most that it can have spent since it last settled.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::ShardName;

/// What `cpu_milli` thousandths of a core can spend in `time`, in core-milliseconds, rounded up.
fn most_spent(cpu_milli: u32, time: Duration) -> u64 {
    let micros = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
    u64::from(cpu_milli)
        .saturating_mul(micros)
        .div_ceil(1_000_000)
}

common! { value
/// What a shard has drawn of a balance.
pub struct Draw {
    /// The epoch of the owner that drew it.
    pub epoch: u64,
    /// What is drawn and not yet settled, in core-milliseconds.
    pub left_core_ms: u64,
    /// The most processors that the team's tasks hold at once in the shard, in thousandths of a
    /// core; the owner keeps to it until it has settled with another.
    pub cpu_milli: u32,
    /// What it lacked when it last wrote the row.
    #[serde(rename = "lacks")]
    pub shortfall: Shortfall,
    /// How often its owner settles at least, in milliseconds.
    #[serde(rename = "settles_ms")]
    pub settle_interval_ms: u32,
    /// Names the last transaction of the shard that changed the row.
    pub txn: u64,
}}

common! { value
/// What a shard lacks that the row did not have.
#[derive(Default)]
pub struct Shortfall {
    /// What running tasks need to be paid for longer, in core-milliseconds.
    #[serde(rename = "runs_core_ms")]
    pub renewal_core_ms: u64,
    /// What the cheapest start costs that cannot be paid, in core-milliseconds.
    pub start_core_ms: u64,
}}

common! { record
/// The balance of a team, as the table holds it.
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
    /// What no shard has drawn, in core-milliseconds.
    pub left_core_ms: u64,
    /// What was drawn beyond a balance that was lowered since, in core-milliseconds.
    pub owed_core_ms: u64,
    /// What each shard has drawn.
    pub drawn: BTreeMap<ShardName, Draw>,
}}

/// Why a balance was not changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum BalanceError {
    /// A later owner of the shard has taken the drawn part over.
    #[error("fenced by epoch {epoch}")]
    Fenced {
        /// The epoch of the later owner.
        epoch: u64,
    },
    /// An earlier owner has drawn a part that was not taken over.
    #[error("epoch {epoch} has drawn a part that was not taken over")]
    NotRecovered {
        /// The epoch of the earlier owner.
        epoch: u64,
    },
    /// More is settled than was drawn.
    #[error("{spent_core_ms} core-ms are settled, but only {drawn_core_ms} are drawn")]
    Overspent {
        /// What is settled.
        spent_core_ms: u64,
        /// What is drawn.
        drawn_core_ms: u64,
    },
}

impl BalanceRow {
    /// A balance of which nothing is drawn.
    pub fn new(left_core_ms: u64) -> Self {
        Self {
            left_core_ms,
            owed_core_ms: 0,
            drawn: BTreeMap::new(),
        }
    }

    /// What is left and drawn together, in core-milliseconds.
    pub fn total_core_ms(&self) -> u64 {
        let drawn = self.drawn.values().map(|draw| draw.left_core_ms);
        (self.left_core_ms + drawn.sum::<u64>()).saturating_sub(self.owed_core_ms)
    }

    /// Adds to the balance; what is owed is paid first.
    pub fn top_up(&mut self, core_ms: u64) {
        let paid = core_ms.min(self.owed_core_ms);
        self.owed_core_ms -= paid;
        self.left_core_ms = self.left_core_ms.saturating_add(core_ms - paid);
    }

    /// Takes from the balance; what is not left is owed by what is drawn.
    pub fn withdraw(&mut self, core_ms: u64) {
        let taken = core_ms.min(self.left_core_ms);
        self.left_core_ms -= taken;
        self.owed_core_ms = self.owed_core_ms.saturating_add(core_ms - taken);
    }

    /// What all shards but `shard` lack together.
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

    /// Draws up to `core_ms` for a shard that holds at most `cpu_milli` for the team from now on;
    /// returns what was drawn.
    ///
    /// # Errors
    ///
    /// Returns [`BalanceError::Fenced`] where a later owner has drawn, and
    /// [`BalanceError::NotRecovered`] where an earlier one has.
    pub fn draw(
        &mut self,
        shard: &ShardName,
        epoch: u64,
        core_ms: u64,
        cpu_milli: u32,
    ) -> Result<u64, BalanceError> {
        let available = core_ms.min(self.left_core_ms);
        let draw = self.draw_of(shard, epoch)?;
        draw.left_core_ms += available;
        draw.cpu_milli = cpu_milli;
        self.left_core_ms -= available;
        Ok(available)
    }

    /// Settles what a shard has spent of its drawn part.
    ///
    /// # Errors
    ///
    /// Returns [`BalanceError::Fenced`] where a later owner has taken over, and
    /// [`BalanceError::Overspent`] where more is settled than was drawn; nothing is changed.
    pub fn settle(
        &mut self,
        shard: &ShardName,
        epoch: u64,
        spent_core_ms: u64,
    ) -> Result<(), BalanceError> {
        let draw = self.draw_of(shard, epoch)?;
        let left = draw.left_core_ms.checked_sub(spent_core_ms);
        draw.left_core_ms = left.ok_or(BalanceError::Overspent {
            spent_core_ms,
            drawn_core_ms: draw.left_core_ms,
        })?;
        Ok(())
    }

    /// Gives up to `core_ms` of a shard's drawn part back.
    ///
    /// # Errors
    ///
    /// Returns [`BalanceError::Fenced`] where a later owner has taken over.
    pub fn refund(
        &mut self,
        shard: &ShardName,
        epoch: u64,
        core_ms: u64,
    ) -> Result<(), BalanceError> {
        let draw = self.draw_of(shard, epoch)?;
        let returned = core_ms.min(draw.left_core_ms);
        draw.left_core_ms -= returned;
        self.top_up(returned);
        Ok(())
    }

    /// Takes the drawn part over for a new owner; returns what it may spend. `unsettled` is the
    /// longest time that can have passed since the earlier owner last settled: for so long, all
    /// its processors count as spent.
    ///
    /// # Errors
    ///
    /// Returns [`BalanceError::Fenced`] where `epoch` is not later than the one that drew.
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
        let spent = most_spent(draw.cpu_milli, unsettled);
        draw.epoch = epoch;
        draw.shortfall = Shortfall::default();
        draw.left_core_ms = draw.left_core_ms.saturating_sub(spent);
        Ok(draw.left_core_ms)
    }

    fn draw_of(&mut self, shard: &ShardName, epoch: u64) -> Result<&mut Draw, BalanceError> {
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

/// What an owner asks of the row in one transaction.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// What was spent since the last transaction, in core-milliseconds.
    pub settle_core_ms: u64,
    /// What to draw, in core-milliseconds.
    pub draw_core_ms: u64,
}

/// The part of a balance that a shard's owner may spend.
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
    /// An allowance of what was drawn or recovered before.
    pub fn new(left_core_ms: u64) -> Self {
        Self {
            left_core_ms,
            unsettled_core_ms: 0,
        }
    }

    /// What may still be spent, in core-milliseconds.
    pub fn left_core_ms(&self) -> u64 {
        self.left_core_ms
    }

    /// Spends `core_ms`, if so much is left.
    pub fn spend(&mut self, core_ms: u64) -> bool {
        let Some(left) = self.left_core_ms.checked_sub(core_ms) else {
            return false;
        };
        self.left_core_ms = left;
        self.unsettled_core_ms += core_ms;
        true
    }

    /// What to ask of the row, if anything: all that was spent is settled, and once less than half
    /// of what `cpu_milli` spend within `horizon` is left, the rest of it is drawn.
    pub fn request(&self, cpu_milli: u32, horizon: Duration) -> Option<Request> {
        let target = most_spent(cpu_milli, horizon);
        let missing = target.saturating_sub(self.left_core_ms);
        let is_low = self.left_core_ms < target / 2;
        let request = Request {
            settle_core_ms: self.unsettled_core_ms,
            draw_core_ms: if is_low { missing } else { 0 },
        };
        (request.settle_core_ms > 0 || request.draw_core_ms > 0).then_some(request)
    }

    /// Notes that the transaction of a request took effect and drew `drawn_core_ms`.
    pub fn confirm(&mut self, request: &Request, drawn_core_ms: u64) {
        self.unsettled_core_ms -= request.settle_core_ms;
        self.left_core_ms += drawn_core_ms;
    }
}
