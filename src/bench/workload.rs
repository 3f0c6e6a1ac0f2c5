//! Seeded generator of a workload: kinds, sizes and arrivals of jobs.

use std::iter::Peekable;
use std::rc::Rc;

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::model::{JobSpec, KindName, Lifetime, Resources, TeamName, Urgency};

/// Properties of a kind of work. Values are drawn uniformly from the ranges, whose ends are
/// included.
#[derive(Clone, Copy, Debug)]
pub struct KindProfile {
    /// Name of the kind.
    pub name: &'static str,
    urgency: Urgency,
    idempotent: bool,
    /// Share of the jobs that are gangs, in percent.
    all_at_once_percent: u32,
    tasks: (u32, u32),
    cpu_milli: (u32, u32),
    /// Memory per core, in MiB.
    memory_mib_per_core: (u32, u32),
    run_ms: (u64, u64),
    /// Share of the load of all batch work, in percent.
    load_percent: u32,
}

/// Kinds of batch work.
pub const KINDS: [KindProfile; 6] = [
    KindProfile {
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
    KindProfile {
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
    KindProfile {
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
    KindProfile {
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
    KindProfile {
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
    KindProfile {
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

/// Granularity of the sizes of tasks, in thousandths of a core.
const CPU_STEP_MILLI: u32 = 250;

/// Kind of long-running services.
pub const SERVICE_KIND: &str = "service";

/// Share of the load that is due to services, in percent.
const SERVICE_LOAD_PERCENT: u64 = 20;

/// An arriving job.
#[derive(Clone, Debug)]
pub struct Arrival {
    /// Time of arrival, in milliseconds.
    pub at_ms: u64,
    /// Declared properties.
    pub spec: JobSpec,
    /// Resources that a task actually uses.
    pub actual_resources: Resources,
    /// Actual run time of a task, in milliseconds.
    pub actual_run_ms: u64,
    /// Whether the job is part of a flood.
    pub flood: bool,
}

/// Parameters of a workload.
#[derive(Clone, Copy, Debug)]
pub struct WorkloadParams {
    /// Number of teams.
    pub teams: u32,
    /// Capacity of all workers, in cores.
    pub cores: u64,
    /// Demand as a share of the capacity, in percent.
    pub load_percent: u64,
    /// Time until which jobs arrive, in milliseconds.
    pub until_ms: u64,
    /// Whether declared sizes and run times are wrong by a factor of 1/4 to 8.
    pub misdeclared: bool,
    /// Seed of the generator.
    pub seed: u64,
}

/// A flood of jobs of one kind.
#[derive(Clone, Copy, Debug)]
pub struct Flood {
    /// Kind of the jobs.
    pub kind: &'static str,
    /// Whether all jobs are submitted by the team [`FLOOD_TEAM`].
    pub one_team: bool,
    /// Start, in milliseconds.
    pub from_ms: u64,
    /// End, in milliseconds.
    pub to_ms: u64,
    /// Demand as a multiple of the capacity.
    pub capacity_multiple: u64,
}

/// Team that submits the jobs of a flood of one team.
pub const FLOOD_TEAM: u32 = 0;

/// Name of the team with the number `team`.
pub fn team_name(team: u32) -> String {
    format!("team-{team:03}")
}

/// Generates arrivals in order of time. The same parameters give the same arrivals.
///
/// # Examples
///
/// ```
/// use chestnutlug::bench::workload::{WorkloadParams, generate};
///
/// let params = WorkloadParams {
///     teams: 4,
///     cores: 160,
///     load_percent: 70,
///     until_ms: 60_000,
///     misdeclared: false,
///     seed: 1,
/// };
/// assert!(generate(&params, None).is_sorted_by_key(|arrival| arrival.at_ms));
/// assert_eq!(generate(&params, None).count(), generate(&params, None).count());
/// ```
pub fn generate(
    params: &WorkloadParams,
    flood: Option<&Flood>,
) -> impl Iterator<Item = Arrival> + use<> {
    let teams: Rc<[TeamName]> = (0..params.teams)
        .map(|team| TeamName::new(team_name(team)))
        .collect();
    let batch_percent = params.load_percent * (100 - SERVICE_LOAD_PERCENT) / 100;
    let batch_cores = params.cores as f64 * batch_percent as f64 / 100.0;
    let kind_stream = |(i, profile): (u64, &KindProfile)| ArrivalStream {
        profile: *profile,
        kind: profile.name.into(),
        mean_gap_ms: profile.core_ms() * 100.0 / (batch_cores * f64::from(profile.load_percent)),
        at_ms: 0.0,
        to_ms: params.until_ms,
        misdeclared: params.misdeclared,
        flood: None,
        teams: Rc::clone(&teams),
        rng: SmallRng::seed_from_u64(params.seed * 100 + i),
    };
    let mut streams: Vec<_> = (1..).zip(&KINDS).map(kind_stream).collect();
    streams.extend(flood.map(|flood| flood_stream(params, flood, &teams)));
    let mut streams: Vec<_> = streams.into_iter().map(Iterator::peekable).collect();
    let batch_arrivals = std::iter::from_fn(move || {
        let at_ms =
            |stream: &mut Peekable<ArrivalStream>| stream.peek().map(|arrival| arrival.at_ms);
        let times = streams.iter_mut().enumerate();
        let next = times.filter_map(|(i, stream)| Some((at_ms(stream)?, i)));
        let (_, i) = next.min()?;
        streams[i].next()
    });
    service_arrivals(params).into_iter().chain(batch_arrivals)
}

fn flood_stream(params: &WorkloadParams, flood: &Flood, teams: &Rc<[TeamName]>) -> ArrivalStream {
    let profile = KINDS.iter().find(|profile| profile.name == flood.kind);
    let profile = profile.expect("a flood is of one of the kinds of batch work");
    ArrivalStream {
        profile: *profile,
        kind: profile.name.into(),
        mean_gap_ms: profile.core_ms() / (params.cores * flood.capacity_multiple) as f64,
        at_ms: flood.from_ms as f64,
        to_ms: flood.to_ms,
        misdeclared: params.misdeclared,
        flood: Some(*flood),
        teams: Rc::clone(teams),
        rng: SmallRng::seed_from_u64(params.seed * 100 + 99),
    }
}

/// Services that arrive at the start and together make up their share of the load.
fn service_arrivals(params: &WorkloadParams) -> Vec<Arrival> {
    let mut rng = SmallRng::seed_from_u64(params.seed * 100);
    let mut remaining_milli = params.cores * 10 * params.load_percent * SERVICE_LOAD_PERCENT / 100;
    let mut arrivals = Vec::new();
    loop {
        let tasks = rng.random_range(2..=3);
        let cpu_milli = rng.random_range(1..=2) * 1_000;
        let Some(left) = remaining_milli.checked_sub(u64::from(tasks * cpu_milli)) else {
            return arrivals;
        };
        remaining_milli = left;
        let actual_resources = Resources {
            cpu_milli,
            memory_mib: cpu_milli * 3,
            accelerators: 0,
        };
        let team = rng.random_range(0..params.teams);
        arrivals.push(Arrival {
            at_ms: 0,
            spec: JobSpec {
                team: team_name(team).as_str().into(),
                kind: SERVICE_KIND.into(),
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

/// Arrivals of one kind as a Poisson process.
struct ArrivalStream {
    profile: KindProfile,
    kind: KindName,
    mean_gap_ms: f64,
    at_ms: f64,
    to_ms: u64,
    misdeclared: bool,
    flood: Option<Flood>,
    teams: Rc<[TeamName]>,
    rng: SmallRng,
}

impl Iterator for ArrivalStream {
    type Item = Arrival;

    fn next(&mut self) -> Option<Arrival> {
        let uniform: f64 = self.rng.random_range(f64::MIN_POSITIVE..1.0);
        self.at_ms -= uniform.ln() * self.mean_gap_ms;
        if self.at_ms >= self.to_ms as f64 {
            return None;
        }
        let mut team = self.rng.random_range(0..self.teams.len());
        if self.flood.is_some_and(|flood| flood.one_team) {
            team = FLOOD_TEAM as usize;
        }
        let mut arrival = self.job(team);
        if self.misdeclared {
            misdeclare(&mut arrival, &mut self.rng);
        }
        Some(arrival)
    }
}

/// Multiplies the declared sizes and the declared run time by a random factor of 1/4 to 8.
fn misdeclare(arrival: &mut Arrival, rng: &mut SmallRng) {
    let factor: f64 = rng.random_range(-2.0..=3.0_f64).exp2();
    let scaled = |value: u32, max: u32| ((f64::from(value) * factor) as u32).clamp(1, max);
    let actual = &arrival.actual_resources;
    arrival.spec.resources = Resources {
        cpu_milli: scaled(actual.cpu_milli, 16_000),
        memory_mib: scaled(actual.memory_mib, 65_536),
        accelerators: 0,
    };
    arrival.spec.expected_ms = (arrival.actual_run_ms as f64 * factor) as u64;
}

impl KindProfile {
    /// Mean work of a job of this kind, in core-milliseconds.
    fn core_ms(&self) -> f64 {
        let mean = |(low, high): (u32, u32)| f64::from(low + high) / 2.0;
        let run_ms = (self.run_ms.0 + self.run_ms.1) as f64 / 2.0;
        mean(self.tasks) * mean(self.cpu_milli) / 1_000.0 * run_ms
    }
}

impl ArrivalStream {
    fn job(&mut self, team: usize) -> Arrival {
        let profile = self.profile;
        let mut draw = |(low, high): (u32, u32)| self.rng.random_range(low..=high);
        let (low, high) = profile.cpu_milli;
        let cpu_milli = draw((low / CPU_STEP_MILLI, high / CPU_STEP_MILLI)) * CPU_STEP_MILLI;
        let actual_resources = Resources {
            cpu_milli,
            memory_mib: draw(profile.memory_mib_per_core) * (cpu_milli / CPU_STEP_MILLI) / 4,
            accelerators: 0,
        };
        let tasks = draw(profile.tasks);
        let all_at_once = draw((1, 100)) <= profile.all_at_once_percent;
        let actual_run_ms = self.rng.random_range(profile.run_ms.0..=profile.run_ms.1);
        Arrival {
            at_ms: self.at_ms as u64,
            spec: JobSpec {
                team: self.teams[team].clone(),
                kind: self.kind.clone(),
                urgency: profile.urgency,
                lifetime: Lifetime::Batch,
                idempotent: profile.idempotent,
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
