//! Checks balances against a model that counts what was really spent.

use std::time::Duration;

use chestnutlug::decide::balance::{Allowance, BalanceError, BalanceRow};
use chestnutlug::model::ShardName;
use quickcheck::{Arbitrary, Gen, QuickCheck};

const SEED: u64 = 0xba1;
const INITIAL: u64 = 10_000_000;
const CPU_MILLI: u32 = 4_000;
const SHARDS: usize = 3;

#[derive(Clone, Copy, Debug)]
enum Op {
    /// An owner runs tasks for some time, on up to all of its processors.
    Run {
        shard: u8,
        ms: u16,
        cpu_percent: u8,
    },
    /// An owner settles and draws. A lost response is not simulated.
    Sync {
        shard: u8,
    },
    /// An owner is lost, and a new one takes over.
    LoseOwner {
        shard: u8,
        detection_ms: u16,
    },
    Refund {
        shard: u8,
        core_ms: u16,
    },
    TopUp {
        core_ms: u16,
    },
}

impl Arbitrary for Op {
    fn arbitrary(g: &mut Gen) -> Self {
        let (kind, shard) = (u8::arbitrary(g) % 10, u8::arbitrary(g));
        let (amount, cpu_percent) = (u16::arbitrary(g), u8::arbitrary(g));
        match kind {
            0..=3 => Op::Run {
                shard,
                ms: amount,
                cpu_percent,
            },
            4..=6 => Op::Sync { shard },
            7 => Op::LoseOwner {
                shard,
                detection_ms: amount % 2_000,
            },
            8 => Op::Refund {
                shard,
                core_ms: amount,
            },
            _ => Op::TopUp { core_ms: amount },
        }
    }
}

struct Owner {
    shard: ShardName,
    epoch: u64,
    allowance: Allowance,
    since_settled_ms: u64,
    /// Really spent since the last settlement.
    unsettled: u64,
}

struct Model {
    row: BalanceRow,
    owners: Vec<Owner>,
    deposited: u64,
    spent: u64,
    /// Written off because a lost owner may have spent it.
    written_off: u64,
}

impl Model {
    fn new() -> Self {
        let owner = |i| Owner {
            shard: ShardName::new(format!("s{i}")),
            epoch: 1,
            allowance: Allowance::new(0),
            since_settled_ms: 0,
            unsettled: 0,
        };
        Self {
            row: BalanceRow::new(INITIAL),
            owners: (0..SHARDS).map(owner).collect(),
            deposited: INITIAL,
            spent: 0,
            written_off: 0,
        }
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Run {
                shard,
                ms,
                cpu_percent,
            } => self.run(shard, ms.into(), cpu_percent),
            Op::Sync { shard } => self.sync(shard),
            Op::LoseOwner {
                shard,
                detection_ms,
            } => self.lose_owner(shard, detection_ms.into()),
            Op::Refund { shard, core_ms } => self.refund(shard, core_ms.into()),
            Op::TopUp { core_ms } => {
                self.row.top_up(core_ms.into());
                self.deposited += u64::from(core_ms);
            }
        }
        assert!(self.spent <= self.deposited, "the balance is overspent");
        let unsettled: u64 = self.owners.iter().map(|owner| owner.unsettled).sum();
        let accounted = self.row.total_core_ms() + self.spent + self.written_off;
        assert_eq!(
            accounted,
            self.deposited + unsettled,
            "balance was lost or created"
        );
    }

    fn run(&mut self, shard: u8, ms: u64, cpu_percent: u8) {
        let owner = &mut self.owners[usize::from(shard) % SHARDS];
        let percent = u64::from(cpu_percent % 101);
        let cost = u64::from(CPU_MILLI) * percent / 100 * ms / 1_000;
        owner.since_settled_ms += ms;
        if owner.allowance.spend(cost) {
            owner.unsettled += cost;
            self.spent += cost;
        }
    }

    fn sync(&mut self, shard: u8) {
        let owner = &mut self.owners[usize::from(shard) % SHARDS];
        let Some(request) = owner.allowance.request(CPU_MILLI, Duration::from_secs(600)) else {
            return;
        };
        let (shard, epoch) = (&owner.shard, owner.epoch);
        self.row
            .settle(shard, epoch, request.settle_core_ms)
            .unwrap();
        let drawn = self
            .row
            .draw(shard, epoch, request.draw_core_ms, CPU_MILLI)
            .unwrap();
        owner.allowance.confirm(&request, drawn);
        owner.since_settled_ms = 0;
        owner.unsettled = 0;
    }

    fn lose_owner(&mut self, shard: u8, detection_ms: u64) {
        let owner = &mut self.owners[usize::from(shard) % SHARDS];
        let unsettled = Duration::from_millis(owner.since_settled_ms + detection_ms);
        let before = self
            .row
            .drawn
            .get(&owner.shard)
            .map_or(0, |draw| draw.left_core_ms);
        let recovered = self
            .row
            .recover(&owner.shard, owner.epoch + 1, unsettled)
            .unwrap();
        let max_spent = u64::from(CPU_MILLI) * unsettled.as_millis() as u64 / 1_000 + 1;
        assert!(
            recovered + max_spent >= before,
            "more was written off than could have been spent"
        );
        self.written_off += before - recovered - owner.unsettled;
        if self.row.drawn.contains_key(&owner.shard) {
            let late_settle = self.row.settle(&owner.shard, owner.epoch, 1);
            let is_fenced = matches!(late_settle, Err(BalanceError::Fenced { .. }));
            assert!(is_fenced, "a lost owner could still settle");
        }
        owner.epoch += 1;
        owner.allowance = Allowance::new(recovered);
        owner.since_settled_ms = 0;
        owner.unsettled = 0;
    }

    fn refund(&mut self, shard: u8, core_ms: u64) {
        self.sync(shard);
        let owner = &mut self.owners[usize::from(shard) % SHARDS];
        let returned = core_ms.min(owner.allowance.left_core_ms());
        self.row
            .refund(&owner.shard, owner.epoch, returned)
            .unwrap();
        owner.allowance = Allowance::new(owner.allowance.left_core_ms() - returned);
    }
}

#[test]
fn balance_is_never_overspent_and_recovered_after_owner_loss() {
    fn property(ops: Vec<Op>) -> bool {
        let mut model = Model::new();
        for op in ops {
            model.apply(op);
        }
        true
    }
    let gen_ = Gen::from_size_and_seed(300, SEED);
    QuickCheck::new()
        .rng(gen_)
        .tests(500)
        .quickcheck(property as fn(Vec<Op>) -> bool);
}

struct Case {
    name: &'static str,
    act: fn(&mut BalanceRow, &ShardName) -> Result<u64, BalanceError>,
    result: Result<u64, BalanceError>,
    left: u64,
    total: u64,
}

#[test]
fn balance_row_operations() {
    let cases = [
        Case {
            name: "a draw is limited to the undrawn balance",
            act: |row, shard| row.draw(shard, 5, 5_000, 1_000),
            result: Ok(500),
            left: 0,
            total: 1_000,
        },
        Case {
            name: "an earlier owner is fenced",
            act: |row, shard| row.draw(shard, 4, 1, 1_000),
            result: Err(BalanceError::Fenced { epoch: 5 }),
            left: 500,
            total: 1_000,
        },
        Case {
            name: "a settlement beyond the drawn amount fails",
            act: |row, shard| row.settle(shard, 5, 501).map(|()| 0),
            result: Err(BalanceError::Overspent {
                spent_core_ms: 501,
                drawn_core_ms: 500,
            }),
            left: 500,
            total: 1_000,
        },
        Case {
            name: "what the lost owner may have spent is not recovered",
            act: |row, shard| row.recover(shard, 6, Duration::from_secs(1)),
            result: Ok(0),
            left: 500,
            total: 500,
        },
        Case {
            name: "a later owner has to recover before it draws",
            act: |row, shard| row.draw(shard, 6, 100, 1_000),
            result: Err(BalanceError::NotRecovered { epoch: 5 }),
            left: 500,
            total: 1_000,
        },
        Case {
            name: "a shard that never drew has nothing to recover",
            act: |row, _| row.recover(&"other".into(), 1, Duration::ZERO),
            result: Ok(0),
            left: 500,
            total: 1_000,
        },
        Case {
            name: "a refund can be drawn by other shards",
            act: |row, shard| row.refund(shard, 5, 200).map(|()| 0),
            result: Ok(0),
            left: 700,
            total: 1_000,
        },
    ];
    for case in cases {
        let shard = ShardName::from("akl-1");
        let mut row = BalanceRow::new(1_000);
        row.draw(&shard, 5, 500, 1_000).unwrap();
        assert_eq!((case.act)(&mut row, &shard), case.result, "{}", case.name);
        assert_eq!(row.left_core_ms, case.left, "{}", case.name);
        assert_eq!(row.total_core_ms(), case.total, "{}", case.name);
    }
}
