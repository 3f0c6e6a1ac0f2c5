//! Random scripts of gangs, small jobs and faults, from fixed seeds.

use quickcheck::{Arbitrary, Gen, QuickCheck};

use super::plain::gang;
use super::simulation::{CellSimulation, Fault};
use crate::support::job;
use crate::support::mode::TableMode;

const CASES: u64 = 60;
const SEEDS: [u64; 3] = [11, 12, 13];

#[derive(Clone, Copy, Debug)]
enum Step {
    Gang(usize, u32, u64),
    Small(usize, u32, u64),
    Cancel(u64),
    Wait(u64),
    Fault(Fault, usize),
    ClearFaults,
}

#[derive(Clone, Debug)]
struct Script(Vec<Step>);

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let draw = |g: &mut Gen, n: u64| u64::arbitrary(g) % n;
        let shard = draw(g, 3) as usize;
        match draw(g, 10) {
            0 | 1 => Self::Gang(shard, 9 + draw(g, 16) as u32, 100 + draw(g, 900)),
            2 | 3 => Self::Small(shard, 1 + draw(g, 3) as u32, 50 + draw(g, 1_500)),
            4 => Self::Cancel(draw(g, 6)),
            5..=7 => Self::Wait(1 + draw(g, 60) * draw(g, 60)),
            8 => Self::ClearFaults,
            _ => {
                let faults = [
                    Fault::KillOwner,
                    Fault::PauseOwner(200 + draw(g, 8_000)),
                    Fault::StopOwner,
                    Fault::ForceTakeover,
                    Fault::RestartWorker,
                    Fault::DropCalls(true),
                    Fault::DropReplies(true),
                    Fault::DelayCalls(draw(g, 7_000)),
                    Fault::DuplicateCalls(true),
                    Fault::Table(TableMode::Down),
                    Fault::Table(TableMode::LosesResponses(1 + draw(g, 3_000))),
                    Fault::Table(TableMode::DelaysCommits(1 + draw(g, 7_000))),
                ];
                let fault = g.choose(&faults).copied();
                Self::Fault(fault.unwrap_or(Fault::KillOwner), shard)
            }
        }
    }
}

impl Arbitrary for Script {
    fn arbitrary(g: &mut Gen) -> Self {
        let len = 4 + usize::arbitrary(g) % 24;
        Self((0..len).map(|_| Step::arbitrary(g)).collect())
    }

    fn shrink(&self) -> Box<dyn Iterator<Item = Self>> {
        let steps = self.0.clone();
        let without = (0..steps.len()).map(move |i| {
            let mut fewer = steps.clone();
            fewer.remove(i);
            Self(fewer)
        });
        Box::new(without)
    }
}

fn holds(script: Script) -> Result<(), String> {
    let mut simulation = CellSimulation::new(3, 2);
    let mut number = 0;
    for step in script.0 {
        match step {
            Step::Gang(shard, tasks, run_ms) => {
                simulation.submit(shard, number, &gang(number, tasks, run_ms));
                number += 1;
            }
            Step::Small(shard, need, run_ms) => {
                simulation.submit(shard, number, &job(1, need, true, run_ms, "small"));
                number += 1;
            }
            Step::Cancel(job) if job < number => simulation.cancel(job),
            Step::Cancel(_) => {}
            Step::Wait(ms) => simulation.run_ms(ms),
            Step::Fault(fault, shard) => simulation.inject(fault, shard, 0),
            Step::ClearFaults => simulation.clear_faults(),
        }
    }
    simulation.clear_faults();
    simulation.run_until_ended(240_000);
    let violations = simulation.find_violations();
    match violations.is_empty() {
        true => Ok(()),
        false => Err(format!("{violations:#?}")),
    }
}

#[test]
fn random_scripts_violate_no_invariant() {
    for seed in SEEDS {
        QuickCheck::new()
            .rng(Gen::from_size_and_seed(32, seed))
            .tests(CASES)
            .quickcheck(holds as fn(Script) -> Result<(), String>);
    }
}
