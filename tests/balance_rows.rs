//! The row of a balance and the shards that spend from it, against a plain sum of what was granted,
//! spent and written off.

use std::time::Duration;

use chestnutlug::decide::TeamSpending;
use chestnutlug::model::ShardName;
use chestnutlug::node::balances::{ReconcileRequest, StoredBalance};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEEDS: [u64; 3] = [11, 42, 20_261_204];
const GRANTED: u64 = 400_000;
const SHARDS: usize = 3;

/// How long a lost owner goes on at most without the table.
const UNPROVED_MS: u64 = 2_000;

/// How long all run at once at most.
const MOST_STEP_MS: u16 = 250;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// All owners run on so many processors, as far as they may.
    Run { ms: u16, cpu_milli: u16 },
    /// An owner exchanges with the row; the call may be lost before it takes effect.
    Exchange { shard: u8, asks: Asks, lost: bool },
    /// An owner is lost, and a new one takes over.
    Lose { shard: u8, late_ms: u16 },
    /// The configuration changes what was prepaid.
    Regrant { core_ms: u32 },
}

/// What waits in a shard.
#[derive(Clone, Copy, Debug)]
struct Asks {
    waits: bool,
    renewals: u16,
    start: u16,
}

impl Arbitrary for Asks {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            waits: bool::arbitrary(g),
            renewals: u16::arbitrary(g) * u16::from(u8::arbitrary(g) < 64),
            start: u16::arbitrary(g),
        }
    }
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let shard = u8::arbitrary(g);
        match u8::arbitrary(g) % 12 {
            0..=4 => Op::Run {
                ms: u16::arbitrary(g) % MOST_STEP_MS,
                cpu_milli: u16::arbitrary(g),
            },
            5..=9 => Op::Exchange {
                shard,
                asks: Asks::arbitrary(g),
                lost: u8::arbitrary(g) < 64,
            },
            10 => Op::Lose {
                shard,
                late_ms: u16::arbitrary(g) % (UNPROVED_MS as u16 - MOST_STEP_MS),
            },
            _ => Op::Regrant {
                core_ms: u32::arbitrary(g) % (2 * GRANTED as u32),
            },
        }
    }
}

/// A shard's owner, as plain sums.
struct Owner {
    name: ShardName,
    epoch: u64,
    left: u64,
    /// Spent under this epoch, and what of it is settled.
    spent: u64,
    settled: u64,
    held_cpu: u32,
    most_cpu: Option<u32>,
    /// When it settled last, and within which time it has to again.
    settled_at: u64,
    settles_ms: u64,
}

impl Owner {
    fn new(i: usize, epoch: u64) -> Self {
        Self {
            name: ShardName::new(format!("s{i}")),
            epoch,
            left: 0,
            spent: 0,
            settled: 0,
            held_cpu: 0,
            most_cpu: None,
            settled_at: 0,
            settles_ms: 0,
        }
    }

    fn spending(&self, asks: Asks) -> TeamSpending {
        TeamSpending {
            spent_core_ms: self.spent,
            left_core_ms: self.left,
            held_cpu_milli: self.held_cpu,
            has_queued_tasks: asks.waits,
            renewal_shortfall_core_ms: asks.renewals.into(),
            blocked_start_costs_core_ms: match asks.waits {
                true => vec![asks.start.into()],
                false => Vec::new(),
            },
            max_blocked_start_cpu_milli: 8_000,
            max_cpu_milli: self.most_cpu,
            ..TeamSpending::new("t".into())
        }
    }
}

struct Model {
    now: u64,
    version: u64,
    row: StoredBalance,
    owners: Vec<Owner>,
    granted: u64,
    most_granted: u64,
    spent: u64,
    /// Written off because a lost owner may have spent it, less what it had spent in truth.
    written_off: i64,
}

impl Model {
    fn new() -> Self {
        Self {
            now: 0,
            version: 1,
            row: StoredBalance::new(GRANTED, 1),
            owners: (0..SHARDS).map(|i| Owner::new(i, 1)).collect(),
            granted: GRANTED,
            most_granted: GRANTED,
            spent: 0,
            written_off: 0,
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Run { ms, cpu_milli } => self.run(ms.into(), cpu_milli.into()),
            Op::Exchange { shard, asks, lost } => {
                self.reconcile(usize::from(shard) % SHARDS, asks, lost);
            }
            Op::Lose { shard, late_ms } => self.lose(usize::from(shard) % SHARDS, late_ms.into()),
            Op::Regrant { core_ms } => self.set_granted(core_ms.into()),
        }
        self.check();
    }

    fn run(&mut self, ms: u64, cpu_milli: u32) {
        self.now += ms;
        for i in 0..SHARDS {
            self.spend(i, ms, cpu_milli);
            let owner = &self.owners[i];
            let late = self.now - owner.settled_at;
            if owner.left + owner.spent > 0 && late > owner.settles_ms * 2 {
                self.lose(i, 0);
            }
        }
    }

    fn spend(&mut self, i: usize, ms: u64, cpu_milli: u32) {
        let owner = &mut self.owners[i];
        owner.held_cpu = cpu_milli.min(owner.most_cpu.unwrap_or(0));
        let cost = (u64::from(owner.held_cpu) * ms / 1_000).min(owner.left);
        owner.left -= cost;
        owner.spent += cost;
        self.spent += cost;
    }

    fn reconcile(&mut self, i: usize, asks: Asks, lost: bool) {
        let owner = &mut self.owners[i];
        let team = owner.spending(asks);
        let mut row = self.row.clone();
        let keeps = row.may_keep_draw(&owner.name, &team);
        let ask = ReconcileRequest {
            shard: &owner.name,
            epoch: owner.epoch,
            team: &team,
            settled_core_ms: owner.settled,
            refund_core_ms: (!keeps).then_some(owner.left),
            shards: SHARDS as u64,
            max_isolation: Duration::from_millis(UNPROVED_MS),
            txn_id: 1,
        };
        let drawn = row.balance.drawn.get(&owner.name).copied();
        let inherited = drawn.filter(|draw| draw.epoch < owner.epoch);
        let exchanged = row.reconcile(&ask).unwrap();
        if lost {
            return;
        }
        if let Some(draw) = inherited {
            let kept = row.balance.left_core_ms + row.balance.total_drawn();
            let before = self.row.balance.left_core_ms + self.row.balance.total_drawn();
            let owed = self.row.balance.owed_core_ms - row.balance.owed_core_ms;
            let written_off = before - kept - owed;
            let ms = UNPROVED_MS + 2 * u64::from(draw.settle_interval_ms);
            let most = u64::from(draw.cpu_milli) * ms / 1_000 + 1;
            assert!(written_off <= most, "{written_off} of {most} is lost");
            self.written_off += written_off as i64;
        }
        self.row = row;
        if !keeps {
            owner.left = 0;
        }
        owner.left += exchanged.credit_core_ms;
        owner.settled = team.spent_core_ms;
        owner.most_cpu = Some(exchanged.max_cpu_milli);
        owner.settled_at = self.now;
        owner.settles_ms = exchanged.settle_after.as_millis() as u64;
    }

    /// The owner spends for a while after its last settlement; its successor counts from nothing.
    fn lose(&mut self, i: usize, late_ms: u64) {
        self.spend(i, late_ms, u32::MAX);
        let unsettled = self.owners[i].spent - self.owners[i].settled;
        self.written_off -= unsettled as i64;
        let epoch = self.owners[i].epoch + 1;
        self.owners[i] = Owner {
            settled_at: self.now,
            ..Owner::new(i, epoch)
        };
    }

    fn set_granted(&mut self, core_ms: u64) {
        self.version += 1;
        self.row.set_granted(core_ms, self.version);
        self.granted = core_ms;
        self.most_granted = self.most_granted.max(core_ms);
    }

    fn check(&self) {
        assert!(self.spent <= self.most_granted, "the balance is overspent");
        let unsettled: u64 = self.owners.iter().map(|o| o.spent - o.settled).sum();
        let balance = &self.row.balance;
        let held = balance.left_core_ms + balance.total_drawn() + self.spent;
        let due = self.granted + balance.owed_core_ms + unsettled;
        let missing = due as i64 - held as i64;
        assert_eq!(missing, self.written_off, "something is lost or made");
        for owner in &self.owners {
            let most = drawn(&self.row, &owner.name);
            let has = owner.left + owner.spent - owner.settled;
            assert!(has <= most, "{} may spend {has} of {most}", owner.name);
        }
    }

    /// Every owner is lost, and the new ones have nothing to do.
    fn wind_up(&mut self) {
        let idle = Asks {
            waits: false,
            renewals: 0,
            start: 0,
        };
        for i in 0..SHARDS {
            self.lose(i, 0);
            self.reconcile(i, idle, false);
        }
        self.check();
        assert_eq!(self.row.balance.total_drawn(), 0, "a part is left behind");
        assert!(self.written_off >= 0, "more was spent than is booked");
    }
}

trait Drawn {
    fn total_drawn(&self) -> u64;
}

impl Drawn for chestnutlug::decide::balance::BalanceRow {
    fn total_drawn(&self) -> u64 {
        self.drawn.values().map(|draw| draw.left_core_ms).sum()
    }
}

fn drawn(row: &StoredBalance, shard: &ShardName) -> u64 {
    let draw = row.balance.drawn.get(shard);
    draw.map_or(0, |draw| draw.left_core_ms)
}

#[test]
fn no_balance_is_overspent_and_nothing_is_lost_for_ever() {
    fn property(ops: Vec<Op>) -> bool {
        let mut model = Model::new();
        for op in ops {
            model.apply(op);
        }
        model.wind_up();
        true
    }
    for seed in SEEDS {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(200, seed))
            .tests(500)
            .quickcheck(property as fn(Vec<Op>) -> bool);
    }
}

/// What an owner does at once with what is known of its shard.
fn reconcile(row: &mut StoredBalance, shard: &str, team: &TeamSpending) -> u64 {
    let shard = shard.into();
    let keeps = row.may_keep_draw(&shard, team);
    let ask = ReconcileRequest {
        shard: &shard,
        epoch: 1,
        team,
        settled_core_ms: team.spent_core_ms,
        refund_core_ms: (!keeps).then_some(team.left_core_ms),
        shards: 2,
        max_isolation: Duration::ZERO,
        txn_id: 1,
    };
    row.reconcile(&ask).unwrap().credit_core_ms
}

struct Lacking {
    name: &'static str,
    renewals: u64,
    starts: &'static [u64],
    /// What the shard then draws of the 60,000 that another one holds without use.
    drawn: u64,
    /// What the other one draws afterwards for a start of 40,000.
    other_drawn: u64,
}

#[test]
fn what_a_shard_lacks_is_called_back_from_others() {
    let cases = [
        Lacking {
            name: "a running task goes before a start elsewhere",
            renewals: 30_000,
            starts: &[],
            drawn: 30_000,
            other_drawn: 0,
        },
        Lacking {
            name: "a start",
            renewals: 0,
            starts: &[50_000],
            drawn: 50_000,
            other_drawn: 0,
        },
        Lacking {
            name: "the largest start that can be paid",
            renewals: 0,
            starts: &[10_000, 35_000, 70_000],
            drawn: 35_000,
            other_drawn: 0,
        },
        Lacking {
            name: "a start that nothing pays",
            renewals: 0,
            starts: &[70_000],
            drawn: 0,
            other_drawn: 40_000,
        },
    ];
    for case in cases {
        let mut row = StoredBalance::new(60_000, 1);
        let other = TeamSpending {
            held_cpu_milli: 8_000,
            ..TeamSpending::new("t".into())
        };
        let shard = "b".into();
        let drawn = row.balance.draw(&shard, 1, 60_000, 8_000).unwrap();
        let holds = TeamSpending {
            left_core_ms: drawn,
            ..other.clone()
        };
        let lacks = TeamSpending {
            held_cpu_milli: 8_000,
            has_queued_tasks: true,
            renewal_shortfall_core_ms: case.renewals,
            blocked_start_costs_core_ms: case.starts.to_vec(),
            ..TeamSpending::new("t".into())
        };
        assert_eq!(reconcile(&mut row, "a", &lacks), 0, "{}", case.name);
        assert_eq!(reconcile(&mut row, "b", &holds), 0, "{}", case.name);
        assert_eq!(row.balance.left_core_ms, 60_000, "{}", case.name);
        let start = TeamSpending {
            has_queued_tasks: true,
            blocked_start_costs_core_ms: vec![40_000],
            ..other
        };
        let after = reconcile(&mut row, "a", &lacks);
        assert_eq!(after, case.drawn, "{}", case.name);
        let other_drawn = reconcile(&mut row, "b", &start);
        assert_eq!(other_drawn, case.other_drawn, "{}", case.name);
    }
}
