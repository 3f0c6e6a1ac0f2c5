//! A sample of both organisations' work, drawn from a seed.

use std::time::Duration;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::model::{JobSpec, Lifetime, Resources, Urgency};

/// A piece of work that a caller submits.
#[derive(Clone, Debug, PartialEq)]
pub struct Work {
    /// The caller's own name of the work.
    pub name: String,
    /// The kind.
    pub kind: &'static str,
    /// How it is submitted.
    pub form: Form,
}

/// How work is submitted.
#[derive(Clone, Debug, PartialEq)]
pub enum Form {
    /// As a job.
    Job(Box<JobSpec>),
    /// As a request to a service.
    Request {
        /// The service.
        service: &'static str,
        /// How long the backend server works on it, in milliseconds.
        work_ms: u64,
        /// The answer's length beyond its first line, in bytes.
        answer_bytes: usize,
    },
}

/// The shape of one kind of job.
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
    weight: u32,
}

/// The shape of one kind of request.
struct RequestKind {
    kind: &'static str,
    service: &'static str,
    work_ms: u64,
    answer_bytes: usize,
    weight: u32,
}

const JOBS: [JobKind; 4] = [
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

const REQUESTS: [RequestKind; 2] = [
    RequestKind {
        kind: "swap",
        service: "rota-service",
        work_ms: 20,
        answer_bytes: 2_000,
        weight: 30,
    },
    RequestKind {
        kind: "preview",
        service: "layout-svc",
        work_ms: 8,
        answer_bytes: 20_000,
        weight: 35,
    },
];

/// The mean number of pieces of work a second.
const PER_SECOND: f64 = 80.0;

/// Draws work from a seed.
///
/// # Examples
///
/// ```
/// use chestnutlug::local::sample::SampleWorkload;
///
/// let first: Vec<_> = SampleWorkload::new(7).take(20).collect();
/// let again: Vec<_> = SampleWorkload::new(7).take(20).collect();
/// assert_eq!(first, again);
/// ```
#[derive(Debug)]
pub struct SampleWorkload {
    rng: StdRng,
    drawn: u64,
}

impl SampleWorkload {
    /// A sample of `seed`.
    pub fn new(seed: u64) -> Self {
        Self {
            rng: StdRng::seed_from_u64(seed),
            drawn: 0,
        }
    }

    fn work(&mut self) -> Work {
        self.drawn += 1;
        let jobs: u32 = JOBS.iter().map(|kind| kind.weight).sum();
        let requests: u32 = REQUESTS.iter().map(|kind| kind.weight).sum();
        let drawn = self.rng.random_range(0..jobs + requests);
        match drawn.checked_sub(jobs) {
            None => self.job(pick(&JOBS, drawn, |kind| kind.weight)),
            Some(rest) => self.request(pick(&REQUESTS, rest, |kind| kind.weight)),
        }
    }

    fn job(&mut self, kind: &JobKind) -> Work {
        let name = format!("{}-{}", kind.kind, self.drawn);
        let run_ms = self.varied(kind.run_ms);
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
        Work {
            name,
            kind: kind.kind,
            form: Form::Job(Box::new(spec)),
        }
    }

    fn request(&mut self, kind: &RequestKind) -> Work {
        Work {
            name: format!("{}-{}", kind.kind, self.drawn),
            kind: kind.kind,
            form: Form::Request {
                service: kind.service,
                work_ms: self.varied(kind.work_ms),
                answer_bytes: kind.answer_bytes,
            },
        }
    }

    fn varied(&mut self, ms: u64) -> u64 {
        ms * self.rng.random_range(50..200) / 100
    }

    /// The pause before the next piece of work.
    pub fn next_interarrival(&mut self) -> Duration {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        Duration::from_secs_f64(-uniform.ln() / PER_SECOND)
    }
}

impl Iterator for SampleWorkload {
    type Item = Work;

    fn next(&mut self) -> Option<Work> {
        Some(self.work())
    }
}

fn pick<T>(kinds: &[T], mut drawn: u32, weight: impl Fn(&T) -> u32) -> &T {
    for kind in kinds {
        if drawn < weight(kind) {
            return kind;
        }
        drawn -= weight(kind);
    }
    &kinds[0]
}
