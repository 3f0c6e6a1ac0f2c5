//! Every fault at every step of a gang, in its home shard and in the shards of its parts.

use chestnutlug::model::Outcome;

use super::plain::gang;
use super::simulation::{CellSimulation, Fault, Progress};
use crate::support::job;
use crate::support::mode::TableMode;

const STEPS: [Progress; 8] = [
    Progress::Submitted,
    Progress::Accepted,
    Progress::FirstGrant,
    Progress::AllGranted,
    Progress::Applied,
    Progress::PartsPolled,
    Progress::Running,
    Progress::PartEnded,
];

const FAULTS: [Fault; 16] = [
    Fault::KillOwner,
    Fault::PauseOwner(400),
    Fault::PauseOwner(3_000),
    Fault::PauseOwner(9_000),
    Fault::StopOwner,
    Fault::ForceTakeover,
    Fault::RestartWorker,
    Fault::DropCalls(true),
    Fault::DropReplies(true),
    Fault::DelayCalls(700),
    Fault::DelayCalls(6_000),
    Fault::DuplicateCalls(true),
    Fault::Table(TableMode::Down),
    Fault::Table(TableMode::LosesResponses(1_500)),
    Fault::Table(TableMode::DelaysCommits(1_500)),
    Fault::Cancel,
];

/// The shards into which faults are injected; the gang's home shard is 1.
const SHARDS: [usize; 3] = [0, 1, 2];
const HOME: usize = 1;
const GANG: u64 = 7;

/// Injects `faults` once the gang has reached `step`; returns the violations.
pub fn run_with_faults(step: Progress, faults: &[(Fault, usize)]) -> Vec<String> {
    let mut simulation = CellSimulation::new(3, 2);
    for number in 20..26 {
        simulation.submit(number as usize % 3, number, &job(1, 2, true, 300, "small"));
    }
    simulation.run_ms(50);
    simulation.reached.clear();
    simulation.submit(HOME, GANG, &gang(GANG, 18, 800));
    simulation.run_until(step, 10_000);
    for (fault, shard) in faults {
        simulation.inject(*fault, *shard, GANG);
    }
    simulation.run_ms(7_000);
    simulation.clear_faults();
    simulation.run_until_ended(90_000);
    let mut violations = simulation.find_violations();
    let is_cancelled = faults.iter().any(|(fault, _)| *fault == Fault::Cancel);
    let accepted = simulation.jobs[&GANG].accepted;
    if accepted && !is_cancelled && simulation.outcome(GANG) != Some(Outcome::Succeeded) {
        violations.push(format!("the gang ended as {:?}", simulation.outcome(GANG)));
    }
    if simulation.rows.scan("gang/").len() > usize::from(!accepted) {
        violations.push("the gang's row was not deleted".to_owned());
    }
    violations
}

#[test]
fn every_fault_at_every_step() {
    let mut failed = Vec::new();
    for step in STEPS {
        for fault in FAULTS {
            for shard in SHARDS {
                let violations = run_with_faults(step, &[(fault, shard)]);
                if !violations.is_empty() {
                    failed.push(format!("{step:?}, {fault:?} at {shard}: {violations:?}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{}: {failed:#?}", failed.len());
}

#[test]
fn a_fault_in_the_home_shard_and_one_in_the_shard_of_a_part() {
    let pairs = [
        Fault::KillOwner,
        Fault::PauseOwner(3_000),
        Fault::StopOwner,
        Fault::DropReplies(true),
        Fault::Table(TableMode::LosesResponses(1_500)),
        Fault::Table(TableMode::DelaysCommits(6_500)),
        Fault::Cancel,
    ];
    let mut failed = Vec::new();
    for step in [
        Progress::FirstGrant,
        Progress::AllGranted,
        Progress::Applied,
        Progress::PartsPolled,
    ] {
        for first in pairs {
            for second in pairs {
                let violations = run_with_faults(step, &[(first, HOME), (second, 2)]);
                if !violations.is_empty() {
                    failed.push(format!("{step:?}, {first:?}, {second:?}: {violations:?}"));
                }
            }
        }
    }
    assert!(failed.is_empty(), "{}: {failed:#?}", failed.len());
}
