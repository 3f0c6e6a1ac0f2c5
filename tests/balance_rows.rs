//! The row of a balance and the shards that spend from it, checked against plain sums of what was
//! granted, spent and written off.

use std::time::Duration;

use chestnutlug::decide::TeamSpending;
use chestnutlug::model::ShardName;
use chestnutlug::node::balances::{ReconcileRequest, StoredBalance};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEEDS: [u64; 3] = [11, 42, 20_261_204];
const GRANTED: u64 = 400_000;
const SHARDS: usize = 3;

/// How long a lost owner continues at most while isolated from the table.
const MAX_ISOLATION_MS: u64 = 2_000;

/// The exclusive maximum time of one step in which all owners run.
const MAX_STEP_MS: u16 = 250;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// All owners run tasks on so many processors, within their limits.
    Run { ms: u16, cpu_milli: u16 },
    /// An owner reconciles with the row; the call may be lost before it takes effect.
    Reconcile {
        shard: u8,
        demand: Demand,
        is_lost: bool,
    },
    /// An owner is lost after it has run for a while without settling, and a new one takes over.
    Fail { shard: u8, late_ms: u16 },
    /// The configuration changes the prepaid amount.
    SetGranted { core_ms: u32 },
}

/// The demand of a team in a shard.
#[derive(Clone, Copy, Debug)]
struct Demand {
    has_queued_tasks: bool,
    renewals: u16,
    start: u16,
}

impl Arbitrary for Demand {
    fn arbitrary(g: &mut Gen) -> Self {
        Self {
            has_queued_tasks: bool::arbitrary(g),
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
                ms: u16::arbitrary(g) % MAX_STEP_MS,
                cpu_milli: u16::arbitrary(g),
            },
            5..=9 => Op::Reconcile {
                shard,
                demand: Demand::arbitrary(g),
                is_lost: u8::arbitrary(g) < 64,
            },
            10 => Op::Fail {
                shard,
                late_ms: u16::arbitrary(g) % (MAX_ISOLATION_MS as u16 - MAX_STEP_MS),
            },
            _ => Op::SetGranted {
                core_ms: u32::arbitrary(g) % (2 * GRANTED as u32),
            },
        }
    }
}

/// A shard's owner, modelled by plain sums.
struct Owner {
    name: ShardName,
    epoch: u64,
    left: u64,
    /// Spent under this epoch, and the part of it that is settled.
    spent: u64,
    settled: u64,
    held_cpu: u32,
    max_cpu: Option<u32>,
    /// When it last settled, and within which time it has to settle again.
    settled_at: u64,
    settle_interval_ms: u64,
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
            max_cpu: None,
            settled_at: 0,
            settle_interval_ms: 0,
        }
    }

    fn spending(&self, demand: Demand) -> TeamSpending {
        TeamSpending {
            spent_core_ms: self.spent,
            left_core_ms: self.left,
            held_cpu_milli: self.held_cpu,
            has_queued_tasks: demand.has_queued_tasks,
            renewal_shortfall_core_ms: demand.renewals.into(),
            blocked_start_costs_core_ms: match demand.has_queued_tasks {
                true => vec![demand.start.into()],
                false => Vec::new(),
            },
            max_blocked_start_cpu_milli: 8_000,
            max_cpu_milli: self.max_cpu,
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
    max_granted: u64,
    spent: u64,
    /// Written off because lost owners may have spent it, less what they had actually spent.
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
            max_granted: GRANTED,
            spent: 0,
            written_off: 0,
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Run { ms, cpu_milli } => self.run(ms.into(), cpu_milli.into()),
            Op::Reconcile {
                shard,
                demand,
                is_lost,
            } => {
                self.reconcile(usize::from(shard) % SHARDS, demand, is_lost);
            }
            Op::Fail { shard, late_ms } => self.fail(usize::from(shard) % SHARDS, late_ms.into()),
            Op::SetGranted { core_ms } => self.set_granted(core_ms.into()),
        }
        self.check();
    }

    fn run(&mut self, ms: u64, cpu_milli: u32) {
        self.now += ms;
        for i in 0..SHARDS {
            self.spend(i, ms, cpu_milli);
            let owner = &self.owners[i];
            let since_settled = self.now - owner.settled_at;
            if owner.left + owner.spent > 0 && since_settled > owner.settle_interval_ms * 2 {
                self.fail(i, 0);
            }
        }
    }

    fn spend(&mut self, i: usize, ms: u64, cpu_milli: u32) {
        let owner = &mut self.owners[i];
        owner.held_cpu = cpu_milli.min(owner.max_cpu.unwrap_or(0));
        let cost = (u64::from(owner.held_cpu) * ms / 1_000).min(owner.left);
        owner.left -= cost;
        owner.spent += cost;
        self.spent += cost;
    }

    fn reconcile(&mut self, i: usize, demand: Demand, is_lost: bool) {
        let owner = &mut self.owners[i];
        let team = owner.spending(demand);
        let mut row = self.row.clone();
        let keeps_draw = row.may_keep_draw(&owner.name, &team);
        let request = ReconcileRequest {
            shard: &owner.name,
            epoch: owner.epoch,
            team: &team,
            settled_core_ms: owner.settled,
            refund_core_ms: (!keeps_draw).then_some(owner.left),
            shards: SHARDS as u64,
            max_isolation: Duration::from_millis(MAX_ISOLATION_MS),
            txn_id: 1,
        };
        let drawn = row.balance.drawn.get(&owner.name).copied();
        let previous_draw = drawn.filter(|draw| draw.epoch < owner.epoch);
        let reconciled = row.reconcile(&request).unwrap();
        if is_lost {
            return;
        }
        if let Some(draw) = previous_draw {
            let after = row.balance.left_core_ms + row.balance.total_drawn();
            let before = self.row.balance.left_core_ms + self.row.balance.total_drawn();
            let owed = self.row.balance.owed_core_ms - row.balance.owed_core_ms;
            let written_off = before - after - owed;
            let ms = MAX_ISOLATION_MS + 2 * u64::from(draw.settle_interval_ms);
            let max = u64::from(draw.cpu_milli) * ms / 1_000 + 1;
            assert!(written_off <= max, "{written_off} of {max} is lost");
            self.written_off += written_off as i64;
        }
        self.row = row;
        if !keeps_draw {
            owner.left = 0;
        }
        owner.left += reconciled.credit_core_ms;
        owner.settled = team.spent_core_ms;
        owner.max_cpu = Some(reconciled.max_cpu_milli);
        owner.settled_at = self.now;
        owner.settle_interval_ms = reconciled.settle_after.as_millis() as u64;
    }

    /// The owner spends for a while after its last settlement; the next owner starts from zero.
    fn fail(&mut self, i: usize, late_ms: u64) {
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
        self.max_granted = self.max_granted.max(core_ms);
    }

    fn check(&self) {
        assert!(self.spent <= self.max_granted, "the balance is overspent");
        let unsettled: u64 = self.owners.iter().map(|o| o.spent - o.settled).sum();
        let balance = &self.row.balance;
        let held = balance.left_core_ms + balance.total_drawn() + self.spent;
        let due = self.granted + balance.owed_core_ms + unsettled;
        let missing = due as i64 - held as i64;
        assert_eq!(
            missing, self.written_off,
            "core-milliseconds were lost or created"
        );
        for owner in &self.owners {
            let max = drawn(&self.row, &owner.name);
            let has = owner.left + owner.spent - owner.settled;
            assert!(has <= max, "{} may spend {has} of {max}", owner.name);
        }
    }

    /// Every owner is lost, and the new owners have no demand.
    fn end_all_owners(&mut self) {
        let no_demand = Demand {
            has_queued_tasks: false,
            renewals: 0,
            start: 0,
        };
        for i in 0..SHARDS {
            self.fail(i, 0);
            self.reconcile(i, no_demand, false);
        }
        self.check();
        assert_eq!(self.row.balance.total_drawn(), 0, "a draw was not refunded");
        assert!(
            self.written_off >= 0,
            "more was spent than was settled and written off"
        );
    }
}

trait TotalDrawn {
    fn total_drawn(&self) -> u64;
}

impl TotalDrawn for chestnutlug::decide::balance::BalanceRow {
    fn total_drawn(&self) -> u64 {
        self.drawn.values().map(|draw| draw.left_core_ms).sum()
    }
}

fn drawn(row: &StoredBalance, shard: &ShardName) -> u64 {
    let draw = row.balance.drawn.get(shard);
    draw.map_or(0, |draw| draw.left_core_ms)
}

#[test]
fn balances_are_never_overspent_and_no_credit_is_lost() {
    fn property(ops: Vec<Op>) -> bool {
        let mut model = Model::new();
        for op in ops {
            model.apply(op);
        }
        model.end_all_owners();
        true
    }
    for seed in SEEDS {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(200, seed))
            .tests(500)
            .quickcheck(property as fn(Vec<Op>) -> bool);
    }
}

/// Reconciles a shard of two and returns its credit; refunds its draw first if it may not keep it.
fn reconcile(row: &mut StoredBalance, shard: &str, team: &TeamSpending) -> u64 {
    let shard = shard.into();
    let keeps_draw = row.may_keep_draw(&shard, team);
    let request = ReconcileRequest {
        shard: &shard,
        epoch: 1,
        team,
        settled_core_ms: team.spent_core_ms,
        refund_core_ms: (!keeps_draw).then_some(team.left_core_ms),
        shards: 2,
        max_isolation: Duration::ZERO,
        txn_id: 1,
    };
    row.reconcile(&request).unwrap().credit_core_ms
}

struct ShortfallCase {
    name: &'static str,
    renewals: u64,
    starts: &'static [u64],
    /// What the shard then draws of the 60,000 that another shard holds without using them.
    drawn: u64,
    /// What the other shard draws afterwards for a start of 40,000.
    other_drawn: u64,
}

#[test]
fn a_shortfall_is_refunded_by_other_shards() {
    let cases = [
        ShortfallCase {
            name: "a running task takes precedence over a start in another shard",
            renewals: 30_000,
            starts: &[],
            drawn: 30_000,
            other_drawn: 0,
        },
        ShortfallCase {
            name: "a start",
            renewals: 0,
            starts: &[50_000],
            drawn: 50_000,
            other_drawn: 0,
        },
        ShortfallCase {
            name: "the costliest start that can be paid",
            renewals: 0,
            starts: &[10_000, 35_000, 70_000],
            drawn: 35_000,
            other_drawn: 0,
        },
        ShortfallCase {
            name: "a start that the balance cannot pay",
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
