//! Every fault at every step of a job, and pairs of faults at some steps.

use crate::support::mode::TableMode;
use crate::support::script::{POLICIES, RECOVERY_MS, Step, full_worker_job};
use crate::support::simulation::probe::Progress;
use crate::support::simulation::{Fault, PolicyFactory, ShardSimulation};

const FAULTS: [Fault; 26] = [
    Fault::KillOwner,
    Fault::PauseOwner(400),
    Fault::PauseOwner(3_000),
    Fault::PauseOwner(9_000),
    Fault::PauseOwnerAtCall(400),
    Fault::PauseOwnerAtCall(9_000),
    Fault::ForceTakeover,
    Fault::StopOwner,
    Fault::Table(TableMode::Down),
    Fault::Table(TableMode::LosesResponses(700)),
    Fault::Table(TableMode::DelaysCommits(700)),
    Fault::RestartWorker(0),
    Fault::KillWorker(0, 300),
    Fault::KillWorker(0, 5_000),
    Fault::HangWorker(0, true),
    Fault::DropCalls(0, true),
    Fault::DropCallsOfOwner(0),
    Fault::DropCallsOfNextOwner(0),
    Fault::IsolateOwner,
    Fault::DropResponses(0, true),
    Fault::DelayCalls(0, 80),
    Fault::DelayCalls(0, 1_500),
    Fault::DuplicateCalls(0, true),
    Fault::RefuseCalls(0, true),
    Fault::FailAllTasks(0, true),
    Fault::WorkerLeaving(0, true),
];

const STEPS: [Progress; 8] = [
    Progress::Accepted,
    Progress::Recorded,
    Progress::Granted,
    Progress::StartSent,
    Progress::Running,
    Progress::Answered,
    Progress::EndRecorded,
    Progress::Acknowledged,
];

/// The faults that are combined in pairs, each also with itself.
const PAIRED: [Fault; 11] = [
    Fault::KillOwner,
    Fault::PauseOwner(3_000),
    Fault::PauseOwnerAtCall(9_000),
    Fault::ForceTakeover,
    Fault::Table(TableMode::Down),
    Fault::Table(TableMode::LosesResponses(700)),
    Fault::RestartWorker(0),
    Fault::KillWorker(0, 5_000),
    Fault::DropCallsOfNextOwner(0),
    Fault::IsolateOwner,
    Fault::DropResponses(0, true),
];

const PAIRED_AT: [Progress; 3] = [Progress::Granted, Progress::Running, Progress::Answered];

/// Faults that are injected, 250 ms apart, once a job has reached a step.
struct Scenario {
    at: Progress,
    /// Whether a takeover is forced before the faults.
    forces_takeover: bool,
    faults: Vec<Fault>,
}

fn submit(simulation: &mut ShardSimulation, numbers: std::ops::RangeInclusive<u64>) {
    for number in numbers {
        if let Step::Submit(number, spec) = full_worker_job(number, number % 2 == 0, 400) {
            simulation.submit(number, &spec);
        }
    }
}

fn run_scenario(scenario: &Scenario, policy: PolicyFactory) -> Vec<String> {
    let mut simulation = ShardSimulation::new(2, policy);
    submit(&mut simulation, 1..=4);
    simulation.run_until(scenario.at);
    if scenario.forces_takeover {
        simulation.inject(Fault::ForceTakeover);
    }
    for &fault in &scenario.faults {
        simulation.inject(fault);
        simulation.run_ms(250);
    }
    submit(&mut simulation, 5..=6);
    simulation.cancel(3);
    simulation.cancel(4);
    simulation.run_ms(4_000);
    simulation.clear_faults_and_run(RECOVERY_MS);
    simulation.find_violations()
}

fn run_scenarios(scenarios: &[Scenario]) {
    let mut violations = Vec::new();
    for scenario in scenarios {
        for (name, policy) in POLICIES {
            let found = run_scenario(scenario, policy);
            let Scenario {
                at,
                forces_takeover,
                faults,
            } = scenario;
            let context =
                format!("{faults:?} at {at:?}, forced takeover: {forces_takeover} ({name})");
            violations.extend(found.iter().map(|what| format!("{context}: {what}")));
        }
    }
    assert!(violations.is_empty(), "{}", violations.join("\n"));
}

#[test]
fn every_fault_at_every_step() {
    let scenarios = STEPS.into_iter().flat_map(|at| {
        FAULTS.map(|fault| Scenario {
            at,
            forces_takeover: false,
            faults: vec![fault],
        })
    });
    run_scenarios(&scenarios.collect::<Vec<_>>());
}

#[test]
fn every_fault_after_a_forced_takeover() {
    let scenarios = [Progress::Granted, Progress::Running]
        .into_iter()
        .flat_map(|at| {
            FAULTS.map(|fault| Scenario {
                at,
                forces_takeover: true,
                faults: vec![fault],
            })
        });
    run_scenarios(&scenarios.collect::<Vec<_>>());
}

#[test]
fn every_pair_of_faults() {
    let scenarios = PAIRED_AT.into_iter().flat_map(|at| {
        PAIRED.into_iter().flat_map(move |first| {
            PAIRED.map(|second| Scenario {
                at,
                forces_takeover: false,
                faults: vec![first, second],
            })
        })
    });
    run_scenarios(&scenarios.collect::<Vec<_>>());
}
