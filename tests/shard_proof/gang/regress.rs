//! Single scripts, each for one mechanism.

use chestnutlug::message::Reply;
use chestnutlug::model::Outcome;
use chestnutlug::shard::rows::{GangRow, JobRow, decode};
use chestnutlug::standin::worker::JournalEvent;

use super::plain::gang;
use super::simulation::{CellSimulation, Fault, Input, Progress, shard_name};
use crate::support::job;
use crate::support::mode::TableMode;

const GANG: u64 = 7;
const HOME: usize = 1;

/// Runs a gang that needs the whole capacity of three shards until it has reached `step`.
fn gang_at(step: Progress, run_ms: u64) -> CellSimulation {
    let mut simulation = CellSimulation::new(3, 2);
    simulation.submit(HOME, GANG, &gang(GANG, 24, run_ms));
    assert!(simulation.run_until(step, 10_000), "{step:?}");
    simulation
}

impl CellSimulation {
    fn starts(&self) -> usize {
        let entries = self.workers.iter().flat_map(|worker| worker.journal());
        entries.filter(|e| e.event == JournalEvent::Started).count()
    }

    /// The number of rows of withdrawn parts.
    fn withdrawn_parts(&self) -> usize {
        let rows = self.rows.scan("job/");
        let rows = rows.iter().map(|row| decode::<JobRow>(&row.value));
        rows.filter(|row| matches!(row, Ok(row) if row.cancelled))
            .count()
    }

    fn running_in(&self, shard: usize) -> u64 {
        let owner = self.current_owner(&shard_name(shard)).expect("an owner");
        self.owners[owner].shard.digest().running
    }
}

#[test]
fn a_transaction_that_comes_after_a_withdrawal_has_no_effect() {
    let mut simulation = gang_at(Progress::FirstGrant, 500);
    simulation.inject(Fault::Table(TableMode::DelaysCommits(5_600)), 0, GANG);
    assert!(simulation.run_until(Progress::AllGranted, 5_000));
    simulation.clear_faults();
    simulation.inject(Fault::DropCalls(true), 2, GANG);
    simulation.run_ms(5_400);
    assert_eq!(simulation.withdrawn_parts(), 1);
    assert_eq!(simulation.starts(), 0);
    simulation.clear_faults();
    simulation.run_until_ended(60_000);
    assert_eq!(simulation.outcome(GANG), Some(Outcome::Succeeded));
    assert_eq!(simulation.find_violations(), Vec::<String>::new());
}

#[test]
fn a_part_starts_once_its_owner_finds_its_row() {
    let mut simulation = gang_at(Progress::AllGranted, 9_000);
    simulation.inject(Fault::DropCalls(true), 2, GANG);
    simulation.run_ms(7_000);
    assert_eq!(simulation.starts(), 24);
    simulation.clear_faults();
    simulation.run_until_ended(60_000);
    assert_eq!(simulation.outcome(GANG), Some(Outcome::Succeeded));
}

#[test]
fn a_cancellation_ends_running_parts() {
    let mut simulation = gang_at(Progress::Running, 60_000);
    simulation.run_ms(500);
    simulation.cancel(GANG);
    simulation.run_ms(5_000);
    assert_eq!(simulation.outcome(GANG), Some(Outcome::Cancelled));
    assert!(simulation.jobs[&GANG].cancelled.is_some());
    assert_eq!(simulation.find_violations(), Vec::<String>::new());
}

/// A round holds parts for longer than their lease lasts without renewals.
#[test]
fn parts_that_are_renewed_are_not_withdrawn() {
    let mut simulation = CellSimulation::new(3, 2);
    simulation.submit(2, 1, &job(8, 1, true, 55_000, "long"));
    simulation.run_ms(500);
    simulation.submit(HOME, GANG, &gang(GANG, 24, 500));
    simulation.run_ms(120_000);
    assert_eq!(simulation.outcome(GANG), Some(Outcome::Succeeded));
    assert_eq!(simulation.withdrawn_parts(), 0);
}

#[test]
fn a_gang_that_cannot_be_placed_leaves_capacity_to_other_jobs() {
    let mut simulation = CellSimulation::new(3, 2);
    simulation.submit(2, 1, &job(8, 1, true, 200_000, "long"));
    simulation.run_ms(500);
    simulation.submit(HOME, GANG, &gang(GANG, 24, 500));
    let small = 100..160;
    for number in small.clone() {
        simulation.submit(0, number, &job(1, 1, true, 500, "small"));
        simulation.run_ms(1_000);
    }
    simulation.run_ms(20_000);
    let ran = small.filter(|n| simulation.outcome(*n) == Some(Outcome::Succeeded));
    assert_eq!(ran.count(), 60);
}

#[test]
fn nothing_stays_reserved_while_the_table_is_down() {
    let mut simulation = gang_at(Progress::FirstGrant, 500);
    simulation.inject(Fault::Table(TableMode::Down), 0, GANG);
    simulation.run_ms(4_000);
    let running: Vec<u64> = (0..3).map(|shard| simulation.running_in(shard)).collect();
    assert_eq!(running, [0, 0, 0]);
    simulation.clear_faults();
    simulation.run_until_ended(60_000);
    assert_eq!(simulation.outcome(GANG), Some(Outcome::Succeeded));
}

/// A fenced owner may reply that it does not know a part.
#[test]
fn a_part_that_one_owner_does_not_know_does_not_count_as_ended() {
    let mut simulation = gang_at(Progress::Running, 2_000);
    let row = simulation.rows.scan("gang/").remove(0);
    let row: GangRow = decode(&row.value).expect("a readable row");
    let home = simulation
        .current_owner(&shard_name(HOME))
        .expect("an owner");
    for part in row.parts {
        let unknown = Input::PartReplied(GANG, part.job, Some(Reply::Job(None)));
        simulation.input(home, unknown);
    }
    simulation.run_until_ended(30_000);
    assert_eq!(simulation.outcome(GANG), Some(Outcome::Succeeded));
}
