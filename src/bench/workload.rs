//! Work from a seeded generator: kinds, sizes and arrivals.

use std::iter::Peekable;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::model::{JobSpec, KindName, Lifetime, Resources, TeamName, Urgency};

/// What a kind of work looks like; ranges are drawn from evenly.
#[derive(Clone, Copy, Debug)]
pub struct KindShape {
    /// The kind's name.
    pub name: &'static str,
    urgency: Urgency,
    idempotent: bool,
    /// The part of the jobs that need all their tasks at once, in percent.
    all_at_once_percent: u32,
    tasks: (u32, u32),
    cpu_milli: (u32, u32),
    /// Memory per core, in MiB.
    memory_mib_per_core: (u32, u32),
    run_ms: (u64, u64),
    /// The part of the batch load, in percent.
    load_percent: u32,
}

/// The kinds of batch work.
pub const KINDS: [KindShape; 6] = [
    KindShape {
        name: "rebuild",
        urgency: Urgency::Normal,
        idempotent: true,
        all_at_once_percent: 50,
        tasks: (16, 48),
        cpu_milli: (1_000, 2_000),
        memory_mib_per_core: (2_048, 5_120),
        run_ms: (60_000, 180_000),
        load_percent: 30,
    },
    KindShape {
        name: "check",
        urgency: Urgency::Normal,
        idempotent: false,
        all_at_once_percent: 0,
        tasks: (1, 4),
        cpu_milli: (500, 500),
        memory_mib_per_core: (1_024, 2_048),
        run_ms: (5_000, 20_000),
        load_percent: 5,
    },
    KindShape {
        name: "swap",
        urgency: Urgency::Urgent,
        idempotent: true,
        all_at_once_percent: 0,
        tasks: (1, 1),
        cpu_milli: (500, 1_000),
        memory_mib_per_core: (1_024, 2_048),
        run_ms: (2_000, 6_000),
        load_percent: 4,
    },
    KindShape {
        name: "compile",
        urgency: Urgency::Patient,
        idempotent: true,
        all_at_once_percent: 0,
        tasks: (1, 8),
        cpu_milli: (2_000, 4_000),
        memory_mib_per_core: (1_024, 4_096),
        run_ms: (60_000, 240_000),
        load_percent: 40,
    },
    KindShape {
        name: "heat-map",
        urgency: Urgency::Patient,
        idempotent: true,
        all_at_once_percent: 0,
        tasks: (1, 4),
        cpu_milli: (500, 1_000),
        memory_mib_per_core: (2_048, 4_096),
        run_ms: (20_000, 60_000),
        load_percent: 19,
    },
    KindShape {
        name: "preview",
        urgency: Urgency::Urgent,
        idempotent: true,
        all_at_once_percent: 0,
        tasks: (1, 1),
        cpu_milli: (250, 250),
        memory_mib_per_core: (1_024, 1_024),
        run_ms: (1_000, 2_000),
        load_percent: 2,
    },
];

/// The step of drawn sizes, in thousandths of a core.
const CPU_STEP_MILLI: u32 = 250;

/// The kind of long-running services.
pub const SERVICE: &str = "service";

/// The part of the load that services hold, in percent.
const SERVICE_PERCENT: u64 = 20;

/// A job that arrives.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// When it arrives, in milliseconds.
    pub at_ms: u64,
    /// What is declared.
    pub spec: JobSpec,
    /// What a task needs in truth.
    pub actual_resources: Resources,
    /// How long a task runs in truth, in milliseconds.
    pub actual_run_ms: u64,
    /// Whether it is part of a flood.
    pub flood: bool,
}

/// What to generate.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadParams {
    /// Teams that submit.
    pub teams: u32,
    /// The capacity of all workers, in cores.
    pub cores: u64,
    /// The demand as a part of the capacity, in percent.
    pub load_percent: u64,
    /// How long jobs arrive, in milliseconds.
    pub until_ms: u64,
    /// Whether declarations are wrong by a factor of 1/4 to 8.
    pub misdeclared: bool,
    /// The seed.
    pub seed: u64,
}

/// A flood of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// The kind.
    pub kind: &'static str,
    /// Whether one team sends it all.
    pub one_team: bool,
    /// When it begins, in milliseconds.
    pub from_ms: u64,
    /// When it ends, in milliseconds.
    pub to_ms: u64,
    /// The demand as a multiple of the capacity.
    pub capacity_multiple: u64,
}

/// The team that sends a flood alone.
pub const FLOOD_TEAM: u32 = 0;

/// The name of a team.
pub fn team_name(team: u32) -> String {
    format!("team-{team:03}")
}

/// Generates arrivals, in order of time; the same demand gives the same arrivals.
///
/// # Examples
///
/// ```
/// use chestnutlug::bench::workload::{WorkloadParams, generate};
///
/// let demand = WorkloadParams {
///     teams: 4,
///     cores: 160,
///     load_percent: 70,
///     until_ms: 60_000,
///     misdeclared: false,
///     seed: 1,
/// };
/// assert!(generate(&demand, None).is_sorted_by_key(|arrival| arrival.at_ms));
/// assert_eq!(generate(&demand, None).count(), generate(&demand, None).count());
/// ```
pub fn generate(
    demand: &WorkloadParams,
    flood: Option<&Flood>,
) -> impl Iterator<Item = Arrival> + use<> {
    let teams: Rc<[TeamName]> = (0..demand.teams)
        .map(|team| TeamName::new(team_name(team)))
        .collect();
    let batch_percent = demand.load_percent * (100 - SERVICE_PERCENT) / 100;
    let batch_cores = demand.cores as f64 * batch_percent as f64 / 100.0;
    let of_kind = |(i, shape): (u64, &KindShape)| Stream {
        shape: *shape,
        kind: shape.name.into(),
        mean_gap_ms: shape.core_ms() * 100.0 / (batch_cores * f64::from(shape.load_percent)),
        at_ms: 0.0,
        to_ms: demand.until_ms,
        wrong: demand.misdeclared,
        flood: None,
        teams: Rc::clone(&teams),
        rng: SmallRng::seed_from_u64(demand.seed * 100 + i),
    };
    let mut streams: Vec<_> = (1..).zip(&KINDS).map(of_kind).collect();
    streams.extend(flood.map(|flood| flood_stream(demand, flood, &teams)));
    let mut streams: Vec<_> = streams.into_iter().map(Iterator::peekable).collect();
    let batch = std::iter::from_fn(move || {
        let at_ms = |stream: &mut Peekable<Stream>| stream.peek().map(|arrival| arrival.at_ms);
        let times = streams.iter_mut().enumerate();
        let next = times.filter_map(|(i, stream)| Some((at_ms(stream)?, i)));
        let (_, i) = next.min()?;
        streams[i].next()
    });
    services(demand).into_iter().chain(batch)
}

fn flood_stream(demand: &WorkloadParams, flood: &Flood, teams: &Rc<[TeamName]>) -> Stream {
    let shape = KINDS.iter().find(|shape| shape.name == flood.kind);
    let shape = shape.expect("a flood is of a known kind");
    Stream {
        shape: *shape,
        kind: shape.name.into(),
        mean_gap_ms: shape.core_ms() / (demand.cores * flood.capacity_multiple) as f64,
        at_ms: flood.from_ms as f64,
        to_ms: flood.to_ms,
        wrong: demand.misdeclared,
        flood: Some(*flood),
        teams: Rc::clone(teams),
        rng: SmallRng::seed_from_u64(demand.seed * 100 + 99),
    }
}

/// Services that are there from the start, until they hold their part.
fn services(demand: &WorkloadParams) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(demand.seed * 100);
    let mut left_milli = demand.cores * 10 * demand.load_percent * SERVICE_PERCENT / 100;
    let mut arrivals = Vec::new();
    loop {
        let tasks = rng.random_range(2..=3);
        let cpu_milli = rng.random_range(1..=2) * 1_000;
        let Some(left) = left_milli.checked_sub(u64::from(tasks * cpu_milli)) else {
            return arrivals;
        };
        left_milli = left;
        let actual_resources = Resources {
            cpu_milli,
            memory_mib: cpu_milli * 3,
            accelerators: 0,
        };
        let team = rng.random_range(0..demand.teams);
        arrivals.push(Arrival {
            at_ms: 0,
            spec: JobSpec {
                team: team_name(team).as_str().into(),
                kind: SERVICE.into(),
                urgency: Urgency::Normal,
                lifetime: Lifetime::Service,
                idempotent: true,
                all_at_once: false,
                tasks,
                resources: actual_resources,
                expected_ms: 0,
                payload: String::new(),
            },
            actual_resources,
            actual_run_ms: u64::MAX / 4,
            flood: false,
        });
    }
}

/// The arrivals of one kind, at random times.
struct Stream {
    shape: KindShape,
    kind: KindName,
    mean_gap_ms: f64,
    at_ms: f64,
    to_ms: u64,
    wrong: bool,
    flood: Option<Flood>,
    teams: Rc<[TeamName]>,
    rng: SmallRng,
}

impl Iterator for Stream {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let even: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        self.at_ms -= even.ln() * self.mean_gap_ms;
        if self.at_ms >= self.to_ms as f64 {
            return None;
        }
        let mut team = self.rng.random_range(0..self.teams.len());
        if self.flood.is_some_and(|flood| flood.one_team) {
            team = FLOOD_TEAM as usize;
        }
        let mut arrival = self.job(team);
        if self.wrong {
            misdeclare(&mut arrival, &mut self.rng);
        }
        Some(arrival)
    }
}

/// Makes the declared sizes and run time wrong by a factor of 1/4 to 8.
fn misdeclare(arrival: &mut Arrival, rng: &mut SmallRng) {
    let factor: f64 = rng.random_range(-2.0..=3.0_f64).exp2();
    let wrong = |value: u32, most: u32| ((f64::from(value) * factor) as u32).clamp(1, most);
    let need = &arrival.actual_resources;
    arrival.spec.resources = Resources {
        cpu_milli: wrong(need.cpu_milli, 16_000),
        memory_mib: wrong(need.memory_mib, 65_536),
        accelerators: 0,
    };
    arrival.spec.expected_ms = (arrival.actual_run_ms as f64 * factor) as u64;
}

impl KindShape {
    /// What a job of the kind costs on average, in core-milliseconds.
    fn core_ms(&self) -> f64 {
        let mean = |(low, high): (u32, u32)| f64::from(low + high) / 2.0;
        let run_ms = (self.run_ms.0 + self.run_ms.1) as f64 / 2.0;
        mean(self.tasks) * mean(self.cpu_milli) / 1_000.0 * run_ms
    }
}

impl Stream {
    fn job(&mut self, team: usize) -> Arrival {
        let shape = self.shape;
        let mut draw = |(low, high): (u32, u32)| self.rng.random_range(low..=high);
        let (low, high) = shape.cpu_milli;
        let cpu_milli = draw((low / CPU_STEP_MILLI, high / CPU_STEP_MILLI)) * CPU_STEP_MILLI;
        let actual_resources = Resources {
            cpu_milli,
            memory_mib: draw(shape.memory_mib_per_core) * (cpu_milli / CPU_STEP_MILLI) / 4,
            accelerators: 0,
        };
        let tasks = draw(shape.tasks);
        let all_at_once = draw((1, 100)) <= shape.all_at_once_percent;
        let actual_run_ms = self.rng.random_range(shape.run_ms.0..=shape.run_ms.1);
        Arrival {
            at_ms: self.at_ms as u64,
            spec: JobSpec {
                team: self.teams[team].clone(),
                kind: self.kind.clone(),
                urgency: shape.urgency,
                lifetime: Lifetime::Batch,
                idempotent: shape.idempotent,
                all_at_once,
                tasks,
                resources: actual_resources,
                expected_ms: actual_run_ms,
                payload: String::new(),
            },
            actual_resources,
            actual_run_ms,
            flood: self.flood.is_some(),
        }
    }
}
