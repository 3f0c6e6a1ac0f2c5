//! The counts behind the service-level burn outlast the VMs that counted, and count once.

use std::sync::Arc;
use std::time::Duration;

use chestnutlug::config::CellConfig;
use chestnutlug::metrics::Metrics;
use chestnutlug::model::Time;
use chestnutlug::node::api::VmInfo;
use chestnutlug::node::burn::{
    BurnStore, FOLD_DELAY, LiveCounts, burn_report, fold_ledger, read_burn_rows,
};
use chestnutlug::node::clock::Clock;
use chestnutlug::node::directory::{DirectorySnapshot, SnapshotDirectory};
use chestnutlug::node::observer::NodeObserver;
use chestnutlug::node::owner::{OwnerObserver, StartedTask};
use chestnutlug::port::BoxFuture;
use chestnutlug::port::table::{Row, Table, TableError, Txn};
use chestnutlug::report::{Count, HourCounts, SeriesHour, Span};
use chestnutlug::shard::rows::OwnerRef;
use chestnutlug::standin::platform::Platform;
use quickcheck::{Arbitrary, Gen};
use tokio::sync::Mutex;

const TEXT: &str = "[team.a]\nbalance_core_hours = 1\n[kind.swap]\n[objective.all]\n\
                    kind = \"swap\"\nwaiting_ms = 1000\ntarget = 0.9\n";
const VMS: usize = 3;
const MINUTE: Duration = Duration::from_secs(60);
/// Some hour of some day, and a while into it.
const START: Time = Time(1_700_000_000_000_000);

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A VM starts so much work.
    Work(usize, u64),
    Store(usize),
    /// The process ends at once.
    Kill(usize),
    /// The process writes once more and ends.
    Stop(usize),
    /// The other VMs lose sight of the VM, or see it again.
    Hide(usize),
    Show(usize),
    Outage(bool),
    LoseNextAnswer,
    Fold,
    Minutes(u64),
}

use Step::{Fold, Hide, Kill, LoseNextAnswer, Minutes, Outage, Show, Stop, Store, Work};

struct Vm {
    observer: Arc<NodeObserver>,
    store: BurnStore,
    known: VmInfo,
    hidden: bool,
    unwritten: u64,
}

struct World {
    platform: Arc<Platform>,
    directory: Arc<SnapshotDirectory>,
    cfg: CellConfig,
    vms: Vec<Option<Vm>>,
    now: Time,
    begun: u64,
    counted: u64,
    lost: u64,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            platform: Arc::new(Platform::new()),
            directory: Arc::default(),
            cfg: CellConfig::from_text(TEXT).unwrap(),
            vms: Vec::new(),
            now: START,
            begun: 0,
            counted: 0,
            lost: 0,
        };
        world.vms = (0..VMS).map(|i| Some(world.begin(i))).collect();
        world.share();
        world
    }

    fn begin(&mut self, i: usize) -> Vm {
        self.begun += 1;
        let vm = format!("vm-{i}").as_str().into();
        let me = OwnerRef {
            vm,
            incarnation: self.begun,
        };
        let observer = Arc::new(NodeObserver::new(Metrics::disabled(), Clock::start()));
        observer.config_applied(&self.cfg);
        Vm {
            known: VmInfo {
                vm: me.vm.clone(),
                incarnation: me.incarnation,
                address: ([127, 0, 0, 1], 1).into(),
            },
            store: BurnStore::new(
                self.platform.clone(),
                observer.clone(),
                self.directory.clone(),
                me,
            ),
            observer,
            hidden: false,
            unwritten: 0,
        }
    }

    fn share(&self) {
        let seen = self.vms.iter().flatten().filter(|vm| !vm.hidden);
        self.directory.replace(DirectorySnapshot {
            vms: seen.map(|vm| vm.known.clone()).collect(),
            ..DirectorySnapshot::default()
        });
    }

    async fn step(&mut self, step: Step) {
        match step {
            Work(i, n) => self.work(i, n),
            Store(i) => self.store(i).await,
            Kill(i) => self.end(i),
            Stop(i) => {
                self.store(i).await;
                self.end(i);
            }
            Hide(i) | Show(i) => {
                let vm = self.vms[i].as_mut().unwrap();
                vm.hidden = matches!(step, Hide(_));
            }
            Outage(on) => self.platform.switch(|s| s.outage = on),
            LoseNextAnswer => self.platform.switch(|s| s.lose_next = 1),
            Fold => self.fold().await,
            Minutes(n) => self.now = self.now + MINUTE * u32::try_from(n).unwrap(),
        }
        self.share();
    }

    fn work(&mut self, i: usize, n: u64) {
        let vm = self.vms[i].as_mut().unwrap();
        for _ in 0..n {
            let task = StartedTask {
                team: "a".into(),
                kind: "swap".into(),
                waited: Duration::ZERO,
            };
            vm.observer.count_start(&task, self.now);
        }
        vm.unwritten += n;
        self.counted += n;
    }

    async fn store(&mut self, i: usize) {
        let vm = self.vms[i].as_mut().unwrap();
        let before = vm.observer.live_counts(self.now).ledger;
        let written = vm.store.store().await;
        if vm.observer.live_counts(self.now).ledger != before {
            self.lost += vm.unwritten;
        }
        if written {
            vm.unwritten = 0;
        }
    }

    fn end(&mut self, i: usize) {
        let vm = self.vms[i].take().unwrap();
        self.lost += vm.unwritten;
        self.vms[i] = Some(self.begin(i));
    }

    async fn fold(&mut self) {
        let vm = self.vms[0].as_mut().unwrap();
        for now in [Time(0), Time(0) + FOLD_DELAY] {
            vm.store.fold_stale_ledgers(now, self.now).await;
        }
    }

    fn live(&self) -> Vec<LiveCounts> {
        let vms = self.vms.iter().flatten();
        vms.map(|vm| vm.observer.live_counts(self.now)).collect()
    }

    /// What the report shows over the longest window.
    async fn shown(&self) -> u64 {
        let live = self.live();
        let rows = read_burn_rows(self.platform.as_ref()).await.ok();
        let shown = burn_report(&live, rows.as_deref(), &self.cfg, self.now);
        shown
            .rows
            .first()
            .map_or(0, |row| row.windows[3].count.good)
    }
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    shown: u64,
    lost: u64,
}

#[tokio::test]
async fn counts_outlast_their_vm_and_count_once() {
    let cases = [
        Case {
            name: "a killed VM loses what it had not written",
            steps: &[Work(1, 5), Store(1), Work(1, 2), Kill(1), Work(1, 1)],
            shown: 6,
            lost: 2,
        },
        Case {
            name: "a planned stop loses nothing",
            steps: &[Work(1, 5), Store(1), Work(1, 2), Stop(1), Work(0, 1)],
            shown: 8,
            lost: 0,
        },
        Case {
            name: "counts made while the table is down are written later",
            steps: &[
                Outage(true),
                Work(1, 5),
                Store(1),
                Outage(false),
                Store(1),
                Kill(1),
            ],
            shown: 5,
            lost: 0,
        },
        Case {
            name: "with the table down the live counts are shown",
            steps: &[Work(1, 5), Store(1), Outage(true), Work(0, 1)],
            shown: 6,
            lost: 0,
        },
        Case {
            name: "a write whose answer was lost",
            steps: &[
                LoseNextAnswer,
                Work(1, 5),
                Store(1),
                Work(1, 1),
                Store(1),
                Kill(1),
            ],
            shown: 6,
            lost: 0,
        },
        Case {
            name: "the sums take a ledger once",
            steps: &[Work(1, 5), Store(1), Kill(1), Fold, Fold, Work(1, 1)],
            shown: 6,
            lost: 0,
        },
        Case {
            name: "a fold whose answer was lost",
            steps: &[Work(1, 5), Store(1), Kill(1), LoseNextAnswer, Fold, Fold],
            shown: 5,
            lost: 0,
        },
        Case {
            name: "ledgers of several VMs and hours",
            steps: &[
                Work(1, 5),
                Store(1),
                Minutes(90),
                Work(1, 3),
                Work(2, 1),
                Stop(1),
                Stop(2),
                Fold,
                Minutes(400),
                Work(2, 1),
                Stop(2),
                Fold,
            ],
            shown: 10,
            lost: 0,
        },
        Case {
            name: "a VM whose ledger was folded while it lived",
            steps: &[Work(1, 5), Store(1), Hide(1), Fold, Show(1)],
            shown: 5,
            lost: 0,
        },
        Case {
            name: "and that goes on counting",
            steps: &[
                Work(1, 5),
                Store(1),
                Hide(1),
                Fold,
                Show(1),
                Work(1, 1),
                Store(1),
                Work(1, 2),
                Store(1),
                Kill(1),
                Fold,
            ],
            shown: 7,
            lost: 1,
        },
        Case {
            name: "what no window reaches is forgotten",
            steps: &[Work(1, 5), Stop(1), Minutes(73 * 60), Fold, Work(0, 1)],
            shown: 1,
            lost: 0,
        },
    ];
    for case in cases {
        let mut world = World::new();
        for step in case.steps {
            world.step(*step).await;
        }
        assert_eq!(world.shown().await, case.shown, "{}", case.name);
        assert_eq!(world.lost, case.lost, "{}", case.name);
    }
}

/// A table on which a VM writes its counts just before each transaction of another.
struct WriteBefore {
    platform: Arc<Platform>,
    vm: Mutex<BurnStore>,
}

impl Table for WriteBefore {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            self.vm.lock().await.store().await;
            self.platform.commit(txn).await
        })
    }

    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, TableError>> {
        self.platform.read(key)
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Vec<Row>, TableError>> {
        self.platform.scan(prefix, after)
    }
}

#[tokio::test]
async fn a_write_during_a_fold_goes_first() {
    let mut world = World::new();
    world.step(Work(1, 5)).await;
    world.step(Store(1)).await;
    let ledger = world.vms[1]
        .as_ref()
        .unwrap()
        .observer
        .live_counts(world.now)
        .ledger;
    let rows = read_burn_rows(world.platform.as_ref()).await.unwrap();
    let head = rows.iter().find(|row| row.key.starts_with("burn/vm/"));

    world.step(Work(1, 2)).await;
    let table = WriteBefore {
        platform: world.platform.clone(),
        vm: Mutex::new(world.vms[1].take().unwrap().store),
    };
    let done = fold_ledger(&table, ledger, head.unwrap(), world.now).await;
    assert!(matches!(done, Err(TableError::Conflict { .. })), "{done:?}");
    assert_eq!(world.shown().await, 7);
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let vm = usize::arbitrary(g) % VMS;
        let other = 1 + usize::arbitrary(g) % (VMS - 1);
        match u8::arbitrary(g) % 12 {
            0..=3 => Work(vm, 1 + u64::arbitrary(g) % 9),
            4 | 5 => Store(vm),
            6 => Kill(vm),
            7 => Stop(vm),
            8 => Hide(other),
            9 => LoseNextAnswer,
            10 => Fold,
            // All steps together stay well within the longest window.
            _ => Minutes(u64::arbitrary(g) % 20),
        }
    }
}

/// After any steps, the report shows all work but what ended processes had not written.
#[tokio::test]
async fn any_order_of_faults_counts_once() {
    const CASES: u64 = 150;
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(40, seed);
        let steps = Vec::<Step>::arbitrary(&mut g);
        let mut world = World::new();
        for step in &steps {
            world.step(*step).await;
            let live = world.vms.iter().flatten().map(|vm| vm.unwritten);
            let open: u64 = live.sum();
            let shown = world.shown().await;
            let most = world.counted - world.lost;
            // Work of a folded process is left out until its next write.
            let range = most.saturating_sub(open)..=most;
            assert!(
                range.contains(&shown),
                "seed {seed}: {shown}, {range:?}, {steps:?}"
            );
        }
    }
}

#[test]
fn coarsening_keeps_sums_and_is_idempotent() {
    const HOUR: u64 = 1_000;
    let spans = (0..60).map(|minute| Span {
        minute,
        minutes: 1,
        count: Count {
            good: u64::from(minute),
            bad: 1,
        },
    });
    let fine = HourCounts {
        hour: HOUR,
        series: vec![SeriesHour {
            team: "a".into(),
            kind: "swap".into(),
            waiting_ms: 1_000,
            target: 0.9,
            spans: spans.collect(),
        }],
    };
    // Minutes after the hour's end, and how many spans are left.
    let cases = [(0, 60), (30, 36), (60, 12), (359, 12), (360, 1), (9_000, 1)];
    for (minutes_after, left) in cases {
        let now = Time((HOUR + 1) * 3_600_000_000) + MINUTE * minutes_after;
        let mut coarse = fine.clone();
        coarse.coarsen(now);
        let sum = |hour: &HourCounts| {
            let counts = hour.series[0].spans.iter().map(|span| span.count);
            counts.fold(Count::default(), Count::plus)
        };
        assert_eq!(coarse.series[0].spans.len(), left, "{minutes_after}");
        assert_eq!(sum(&coarse), sum(&fine), "{minutes_after}");
        let once = coarse.clone();
        coarse.coarsen(now);
        assert_eq!(coarse, once, "{minutes_after}");
    }
}
