//! Random scripts of submissions, cancellations and faults. Set `CHESTNUTLUG_FUZZ_SEED` or
//! `CHESTNUTLUG_FUZZ_CASES` for a longer run. A failure prints its shrunk script.

use std::time::{SystemTime, UNIX_EPOCH};

use quickcheck::{Arbitrary, Gen, QuickCheck, TestResult};

use crate::support::job;
use crate::support::mode::TableMode;
use crate::support::script::{POLICIES, Step, run_script};
use crate::support::simulation::Fault;

const WORKERS: usize = 3;
const MAX_STEPS: u64 = 24;
const CASES_PER_SEED: u64 = 80;
const SEEDS: [u64; 3] = [1, 20_261, 777];

#[derive(Clone, Debug)]
struct Script(Vec<Step>);

fn below(g: &mut Gen, n: u64) -> u64 {
    u64::arbitrary(g) % n
}

fn duration_ms(g: &mut Gen) -> u64 {
    match below(g, 4) {
        0 => below(g, 20),
        1 => below(g, 300),
        2 => below(g, 3_000),
        _ => below(g, 10_000),
    }
}

fn worker(g: &mut Gen) -> usize {
    below(g, WORKERS as u64) as usize
}

fn table_mode(g: &mut Gen) -> TableMode {
    match below(g, 5) {
        0 | 1 => TableMode::Up,
        2 => TableMode::Down,
        3 => TableMode::LosesResponses(duration_ms(g)),
        _ => TableMode::DelaysCommits(duration_ms(g)),
    }
}

fn fault(g: &mut Gen) -> Fault {
    let (w, on) = (worker(g), bool::arbitrary(g));
    match below(g, 21) {
        0 | 1 => Fault::KillOwner,
        2 => Fault::PauseOwner(duration_ms(g)),
        3 => Fault::PauseOwnerAtCall(duration_ms(g)),
        4 => Fault::ForceTakeover,
        5 => Fault::StopOwner,
        6..=8 => Fault::Table(table_mode(g)),
        9 => Fault::RestartWorker(w),
        10 => Fault::KillWorker(w, duration_ms(g)),
        11 => Fault::HangWorker(w, on),
        12 => Fault::DropCalls(w, on),
        13 => Fault::DropCallsOfOwner(w),
        14 => Fault::DropCallsOfNextOwner(w),
        15 => Fault::DropResponses(w, on),
        16 => Fault::DelayCalls(w, duration_ms(g)),
        17 => Fault::DuplicateCalls(w, on),
        18 => Fault::FailAllTasks(w, on),
        19 => Fault::IsolateOwner,
        _ => match on {
            true => Fault::RefuseCalls(w, true),
            false => Fault::WorkerLeaving(w, bool::arbitrary(g)),
        },
    }
}

fn submission(g: &mut Gen, number: u64) -> Step {
    let (tasks, need) = (1 + below(g, 3) as u32, 1 + below(g, 4) as u32);
    let run_ms = duration_ms(g);
    let mut spec = job(
        tasks,
        need,
        bool::arbitrary(g),
        run_ms,
        &format!("r{number}"),
    );
    spec.all_at_once = below(g, 6) == 0;
    match below(g, 3) {
        0 => Step::SubmitWithKey(number, below(g, 3), spec),
        _ => Step::Submit(number, spec),
    }
}

impl Arbitrary for Script {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut submitted = 0;
        let steps = (0..4 + below(g, MAX_STEPS)).map(|_| match below(g, 11) {
            10 => Step::Resubmit(1 + below(g, submitted.max(1))),
            0..=2 => {
                submitted += 1;
                submission(g, submitted)
            }
            3 => Step::Cancel(1 + below(g, submitted.max(1))),
            4..=6 => Step::Wait(duration_ms(g)),
            _ => Step::Fault(fault(g)),
        });
        Self(steps.collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let steps = self.0.clone();
        let sizes = [steps.len() / 2, steps.len() / 4, 1];
        let shorter = sizes.into_iter().filter(|&n| n > 0).flat_map(move |n| {
            let steps = steps.clone();
            (0..steps.len()).step_by(n).map(move |from| {
                let mut kept = steps.clone();
                kept.drain(from..(from + n).min(steps.len()));
                Self(kept)
            })
        });
        Box::new(shorter)
    }
}

fn holds(script: Script) -> TestResult {
    for (name, policy) in POLICIES {
        let violations = run_script(WORKERS, policy, &script.0).find_violations();
        if !violations.is_empty() {
            return TestResult::error(format!("{name}: {}", violations.join("; ")));
        }
    }
    TestResult::passed()
}

fn fuzz(seed: u64, cases: u64) {
    println!("seed {seed}, {cases} cases");
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(64, seed))
        .tests(cases)
        .quickcheck(holds as fn(Script) -> TestResult);
}

#[test]
fn random_scripts_violate_no_invariant() {
    let from_env = |name: &str| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    match (
        from_env("CHESTNUTLUG_FUZZ_SEED"),
        from_env("CHESTNUTLUG_FUZZ_CASES"),
    ) {
        (None, None) => SEEDS
            .into_iter()
            .for_each(|seed| fuzz(seed, CASES_PER_SEED)),
        (seed, cases) => {
            let since = SystemTime::now().duration_since(UNIX_EPOCH);
            let random_seed = since.map_or(0, |d| d.as_nanos() as u64);
            fuzz(seed.unwrap_or(random_seed), cases.unwrap_or(CASES_PER_SEED));
        }
    }
}
