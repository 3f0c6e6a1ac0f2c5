//! The burn counts in the table outlast the VMs that counted, and are counted exactly once.

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
use chestnutlug::report::{HourCounts, MinuteSpan, SeriesHour, SloCount};
use chestnutlug::shard::rows::OwnerRef;
use chestnutlug::standin::platform::StandinPlatform;
use quickcheck::{Arbitrary, Gen};
use tokio::sync::Mutex;

const TEXT: &str = "[team.a]\nbalance_core_hours = 1\n[kind.swap]\n[objective.all]\n\
                    kind = \"swap\"\nwaiting_ms = 1000\ntarget = 0.9\n";
const VMS: usize = 3;
const MINUTE: Duration = Duration::from_secs(60);
/// An arbitrary time that is not on the boundary of an hour.
const START: Time = Time(1_700_000_000_000_000);

#[derive(Clone, Copy, Debug)]
enum Step {
    /// A VM starts so many tasks.
    Work(usize, u64),
    Store(usize),
    /// The process ends without writing its counts.
    Kill(usize),
    /// The process writes its counts and ends.
    Stop(usize),
    /// The VM is missing from the directory, or is back in it.
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
    info: VmInfo,
    is_hidden: bool,
    unwritten_starts: u64,
}

struct World {
    platform: Arc<StandinPlatform>,
    directory: Arc<SnapshotDirectory>,
    cfg: CellConfig,
    vms: Vec<Option<Vm>>,
    now: Time,
    started_processes: u64,
    counted_starts: u64,
    lost_starts: u64,
}

impl World {
    fn new() -> Self {
        let mut world = Self {
            platform: Arc::new(StandinPlatform::new()),
            directory: Arc::default(),
            cfg: CellConfig::from_text(TEXT).unwrap(),
            vms: Vec::new(),
            now: START,
            started_processes: 0,
            counted_starts: 0,
            lost_starts: 0,
        };
        world.vms = (0..VMS).map(|i| Some(world.start_process(i))).collect();
        world.publish_directory();
        world
    }

    fn start_process(&mut self, i: usize) -> Vm {
        self.started_processes += 1;
        let vm = format!("vm-{i}").as_str().into();
        let me = OwnerRef {
            vm,
            incarnation: self.started_processes,
        };
        let observer = Arc::new(NodeObserver::new(Metrics::disabled(), Clock::start()));
        observer.config_applied(&self.cfg);
        Vm {
            info: VmInfo {
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
            is_hidden: false,
            unwritten_starts: 0,
        }
    }

    fn publish_directory(&self) {
        let visible = self.vms.iter().flatten().filter(|vm| !vm.is_hidden);
        self.directory.replace(DirectorySnapshot {
            vms: visible.map(|vm| vm.info.clone()).collect(),
            ..DirectorySnapshot::default()
        });
    }

    async fn step(&mut self, step: Step) {
        match step {
            Work(i, n) => self.start_tasks(i, n),
            Store(i) => self.store(i).await,
            Kill(i) => self.restart(i),
            Stop(i) => {
                self.store(i).await;
                self.restart(i);
            }
            Hide(i) | Show(i) => {
                let vm = self.vms[i].as_mut().unwrap();
                vm.is_hidden = matches!(step, Hide(_));
            }
            Outage(is_down) => self.platform.update_switches(|s| s.outage = is_down),
            LoseNextAnswer => self.platform.update_switches(|s| s.lose_next = 1),
            Fold => self.fold().await,
            Minutes(n) => self.now = self.now + MINUTE * u32::try_from(n).unwrap(),
        }
        self.publish_directory();
    }

    fn start_tasks(&mut self, i: usize, n: u64) {
        let vm = self.vms[i].as_mut().unwrap();
        for _ in 0..n {
            let task = StartedTask {
                team: "a".into(),
                kind: "swap".into(),
                waited: Duration::ZERO,
            };
            vm.observer.count_start(&task, self.now);
        }
        vm.unwritten_starts += n;
        self.counted_starts += n;
    }

    async fn store(&mut self, i: usize) {
        let vm = self.vms[i].as_mut().unwrap();
        let before = vm.observer.live_counts(self.now).ledger;
        let written = vm.store.store().await;
        if vm.observer.live_counts(self.now).ledger != before {
            self.lost_starts += vm.unwritten_starts;
        }
        if written {
            vm.unwritten_starts = 0;
        }
    }

    fn restart(&mut self, i: usize) {
        let vm = self.vms[i].take().unwrap();
        self.lost_starts += vm.unwritten_starts;
        self.vms[i] = Some(self.start_process(i));
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

    /// The number of tasks in the longest window of the report.
    async fn reported(&self) -> u64 {
        let live = self.live();
        let rows = read_burn_rows(self.platform.as_ref()).await.ok();
        let reported = burn_report(&live, rows.as_deref(), &self.cfg, self.now);
        reported
            .rows
            .first()
            .map_or(0, |row| row.windows[3].count.good)
    }
}

struct Case {
    name: &'static str,
    steps: &'static [Step],
    reported: u64,
    lost_starts: u64,
}

#[tokio::test]
async fn counts_outlast_their_vm_and_are_counted_once() {
    let cases = [
        Case {
            name: "a killed VM loses the counts that it had not written",
            steps: &[Work(1, 5), Store(1), Work(1, 2), Kill(1), Work(1, 1)],
            reported: 6,
            lost_starts: 2,
        },
        Case {
            name: "a planned stop loses nothing",
            steps: &[Work(1, 5), Store(1), Work(1, 2), Stop(1), Work(0, 1)],
            reported: 8,
            lost_starts: 0,
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
            reported: 5,
            lost_starts: 0,
        },
        Case {
            name: "with the table down the live counts are reported",
            steps: &[Work(1, 5), Store(1), Outage(true), Work(0, 1)],
            reported: 6,
            lost_starts: 0,
        },
        Case {
            name: "a write whose response was lost",
            steps: &[
                LoseNextAnswer,
                Work(1, 5),
                Store(1),
                Work(1, 1),
                Store(1),
                Kill(1),
            ],
            reported: 6,
            lost_starts: 0,
        },
        Case {
            name: "a ledger is folded into the sums once",
            steps: &[Work(1, 5), Store(1), Kill(1), Fold, Fold, Work(1, 1)],
            reported: 6,
            lost_starts: 0,
        },
        Case {
            name: "a fold whose response was lost",
            steps: &[Work(1, 5), Store(1), Kill(1), LoseNextAnswer, Fold, Fold],
            reported: 5,
            lost_starts: 0,
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
            reported: 10,
            lost_starts: 0,
        },
        Case {
            name: "a live VM whose ledger was folded",
            steps: &[Work(1, 5), Store(1), Hide(1), Fold, Show(1)],
            reported: 5,
            lost_starts: 0,
        },
        Case {
            name: "a live VM that counts on after its ledger was folded",
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
            reported: 7,
            lost_starts: 1,
        },
        Case {
            name: "counts that no window reaches are dropped",
            steps: &[Work(1, 5), Stop(1), Minutes(73 * 60), Fold, Work(0, 1)],
            reported: 1,
            lost_starts: 0,
        },
    ];
    for case in cases {
        let mut world = World::new();
        for step in case.steps {
            world.step(*step).await;
        }
        assert_eq!(world.reported().await, case.reported, "{}", case.name);
        assert_eq!(world.lost_starts, case.lost_starts, "{}", case.name);
    }
}

/// A table on which a VM writes its counts just before each transaction of another VM.
struct WriteBeforeCommit {
    platform: Arc<StandinPlatform>,
    vm: Mutex<BurnStore>,
}

impl Table for WriteBeforeCommit {
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
async fn a_write_during_a_fold_makes_the_fold_conflict() {
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
    let table = WriteBeforeCommit {
        platform: world.platform.clone(),
        vm: Mutex::new(world.vms[1].take().unwrap().store),
    };
    let folded = fold_ledger(&table, ledger, head.unwrap(), world.now).await;
    assert!(
        matches!(folded, Err(TableError::Conflict { .. })),
        "{folded:?}"
    );
    assert_eq!(world.reported().await, 7);
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

/// After each of a random sequence of steps, the report shows all counts except those that ended
/// processes had not written.
#[tokio::test]
async fn counts_are_exact_under_random_faults() {
    const CASES: u64 = 150;
    for seed in 0..CASES {
        let mut g = Gen::from_size_and_seed(40, seed);
        let steps = Vec::<Step>::arbitrary(&mut g);
        let mut world = World::new();
        for step in &steps {
            world.step(*step).await;
            let live = world.vms.iter().flatten().map(|vm| vm.unwritten_starts);
            let unwritten: u64 = live.sum();
            let reported = world.reported().await;
            let max = world.counted_starts - world.lost_starts;
            // The counts of a process whose ledger was folded are left out until its next write.
            let range = max.saturating_sub(unwritten)..=max;
            assert!(
                range.contains(&reported),
                "seed {seed}: {reported}, {range:?}, {steps:?}"
            );
        }
    }
}

#[test]
fn coarsening_keeps_sums_and_is_idempotent() {
    const HOUR: u64 = 1_000;
    let spans = (0..60).map(|minute| MinuteSpan {
        minute,
        minutes: 1,
        count: SloCount {
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
    // Minutes after the end of the hour, and the number of spans that remain.
    let cases = [(0, 60), (30, 36), (60, 12), (359, 12), (360, 1), (9_000, 1)];
    for (minutes_after, expected_spans) in cases {
        let now = Time((HOUR + 1) * 3_600_000_000) + MINUTE * minutes_after;
        let mut coarse = fine.clone();
        coarse.downsample(now);
        let sum = |hour: &HourCounts| {
            let counts = hour.series[0].spans.iter().map(|span| span.count);
            counts.fold(SloCount::default(), SloCount::plus)
        };
        assert_eq!(
            coarse.series[0].spans.len(),
            expected_spans,
            "{minutes_after}"
        );
        assert_eq!(sum(&coarse), sum(&fine), "{minutes_after}");
        let once = coarse.clone();
        coarse.downsample(now);
        assert_eq!(coarse, once, "{minutes_after}");
    }
}
