//! Sample workload of both organisations, generated from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::model::{JobSpec, Lifetime, Resources, Urgency};

/// Work that a caller submits.
#[derive(Clone, Debug, PartialEq)]
pub struct WorkItem {
    /// The caller's name for the work.
    pub name: String,
    /// The kind of work.
    pub kind: &'static str,
    /// Whether it is submitted as a job or as a request.
    pub submit_as: SubmitAs,
}

/// Form in which work is submitted.
#[derive(Clone, Debug, PartialEq)]
pub enum SubmitAs {
    /// A job.
    Job(Box<JobSpec>),
    /// A request to a service.
    Request {
        /// The service.
        service: &'static str,
        /// Processing time at the backend server, in milliseconds.
        work_ms: u64,
        /// Length of the response after its first line, in bytes.
        response_bytes: usize,
    },
}

/// Properties of a kind of job.
struct JobKind {
    team: &'static str,
    kind: &'static str,
    urgency: Urgency,
    idempotent: bool,
    all_at_once: bool,
    tasks: u32,
    cpu_milli: u32,
    memory_mib: u32,
    run_ms: u64,
    /// Relative frequency.
    weight: u32,
}

/// Properties of a kind of request.
struct RequestKind {
    kind: &'static str,
    service: &'static str,
    work_ms: u64,
    response_bytes: usize,
    /// Relative frequency.
    weight: u32,
}

const JOB_KINDS: [JobKind; 4] = [
    JobKind {
        team: "fagylaltkor",
        kind: "rebuild",
        urgency: Urgency::Normal,
        idempotent: true,
        all_at_once: true,
        tasks: 6,
        cpu_milli: 2_000,
        memory_mib: 4_096,
        run_ms: 400,
        weight: 3,
    },
    JobKind {
        team: "fagylaltkor",
        kind: "sourcing-check",
        urgency: Urgency::Normal,
        idempotent: false,
        all_at_once: false,
        tasks: 1,
        cpu_milli: 1_000,
        memory_mib: 1_024,
        run_ms: 120,
        weight: 12,
    },
    JobKind {
        team: "kowhai",
        kind: "compile",
        urgency: Urgency::Patient,
        idempotent: false,
        all_at_once: false,
        tasks: 1,
        cpu_milli: 2_000,
        memory_mib: 4_096,
        run_ms: 300,
        weight: 10,
    },
    JobKind {
        team: "kowhai",
        kind: "heat-map",
        urgency: Urgency::Patient,
        idempotent: true,
        all_at_once: false,
        tasks: 2,
        cpu_milli: 500,
        memory_mib: 512,
        run_ms: 200,
        weight: 10,
    },
];

const REQUEST_KINDS: [RequestKind; 2] = [
    RequestKind {
        kind: "swap",
        service: "rota-service",
        work_ms: 20,
        response_bytes: 2_000,
        weight: 30,
    },
    RequestKind {
        kind: "preview",
        service: "layout-svc",
        work_ms: 8,
        response_bytes: 20_000,
        weight: 35,
    },
];

/// Mean number of work items per second.
const MEAN_ARRIVALS_PER_S: f64 = 80.0;

/// Endless iterator over random work items; the same seed gives the same items.
///
/// # Examples
///
/// ```
/// use chestnutlug::local::sample::SampleWorkload;
///
/// let first: Vec<_> = SampleWorkload::new(7).take(20).collect();
/// let second: Vec<_> = SampleWorkload::new(7).take(20).collect();
/// assert_eq!(first, second);
/// ```
#[derive(Debug)]
pub struct SampleWorkload {
    rng: StdRng,
    count: u64,
}

impl SampleWorkload {
    /// Creates a workload from `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            count: 0,
        }
    }

    fn next_item(&mut self) -> WorkItem {
        self.count += 1;
        let jobs: u32 = JOB_KINDS.iter().map(|kind| kind.weight).sum();
        let requests: u32 = REQUEST_KINDS.iter().map(|kind| kind.weight).sum();
        let drawn = self.rng.random_range(0..jobs + requests);
        match drawn.checked_sub(jobs) {
            None => self.job(pick_weighted(&JOB_KINDS, drawn, |kind| kind.weight)),
            Some(rest) => self.request(pick_weighted(&REQUEST_KINDS, rest, |kind| kind.weight)),
        }
    }

    fn job(&mut self, kind: &JobKind) -> WorkItem {
        let name = format!("{}-{}", kind.kind, self.count);
        let run_ms = self.randomized(kind.run_ms);
        let payload = serde_json::json!({
            "work": name,
            "run_ms": run_ms,
            "result": name,
        });
        let spec = JobSpec {
            team: kind.team.into(),
            kind: kind.kind.into(),
            urgency: kind.urgency,
            lifetime: Lifetime::Batch,
            idempotent: kind.idempotent,
            all_at_once: kind.all_at_once,
            tasks: kind.tasks,
            resources: Resources {
                cpu_milli: kind.cpu_milli,
                memory_mib: kind.memory_mib,
                accelerators: 0,
            },
            expected_ms: kind.run_ms,
            payload: payload.to_string(),
        };
        WorkItem {
            name,
            kind: kind.kind,
            submit_as: SubmitAs::Job(Box::new(spec)),
        }
    }

    fn request(&mut self, kind: &RequestKind) -> WorkItem {
        WorkItem {
            name: format!("{}-{}", kind.kind, self.count),
            kind: kind.kind,
            submit_as: SubmitAs::Request {
                service: kind.service,
                work_ms: self.randomized(kind.work_ms),
                response_bytes: kind.response_bytes,
            },
        }
    }

    fn randomized(&mut self, ms: u64) -> u64 {
        ms * self.rng.random_range(50..200) / 100
    }

    /// Draws the time until the next work item arrives; exponentially distributed.
    pub fn next_interarrival(&mut self) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / MEAN_ARRIVALS_PER_S)
    }
}

impl Iterator for SampleWorkload {
    type Item = WorkItem;

    fn next(&mut self) -> Option<WorkItem> {
        Some(self.next_item())
    }
}

fn pick_weighted<T>(kinds: &[T], mut drawn: u32, weight: impl Fn(&T) -> u32) -> &T {
    for kind in kinds {
        if drawn < weight(kind) {
            return kind;
        }
        drawn -= weight(kind);
    }
    &kinds[0]
}
