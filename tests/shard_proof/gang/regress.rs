//! Single histories, each with the mechanism that it needs.

use chestnutlug::message::Reply;
use chestnutlug::model::Outcome;
use chestnutlug::shard::rows::{GangRow, JobRow, decode};
use chestnutlug::standin::worker::Event;

use super::cell::{Cell, Fault, Input, Step, shard_name};
use super::plain::gang;
use crate::support::job;
use crate::support::mode::TableMode;

const GANG: u64 = 7;
const HOME: usize = 1;

/// A gang that needs all of three shards, run until `step`.
fn gang_at(step: Step, run_ms: u64) -> Cell {
    let mut cell = Cell::new(3, 2);
    cell.submit(HOME, GANG, &gang(GANG, 24, run_ms));
    assert!(cell.run_until(step, 10_000), "{step:?}");
    cell
}

impl Cell {
    fn starts(&self) -> usize {
        let entries = self.workers.iter().flat_map(|worker| worker.journal());
        entries.filter(|e| e.event == Event::Started).count()
    }

    /// Rows of parts that were withdrawn.
    fn withdrawn(&self) -> usize {
        let rows = self.rows.scan("job/");
        let rows = rows.iter().map(|row| decode::<JobRow>(&row.value));
        rows.filter(|row| matches!(row, Ok(row) if row.cancelled))
            .count()
    }

    fn running_at(&self, shard: usize) -> u64 {
        let owner = self.current(&shard_name(shard)).expect("an owner");
        self.owners[owner].shard.digest().running
    }
}

#[test]
fn a_transaction_that_comes_after_a_withdrawal_has_no_effect() {
    let mut cell = gang_at(Step::FirstGrant, 500);
    cell.fault(Fault::Table(TableMode::DelaysEffects(5_600)), 0, GANG);
    assert!(cell.run_until(Step::AllGranted, 5_000));
    cell.mend();
    cell.fault(Fault::LoseCalls(true), 2, GANG);
    cell.run_ms(5_400);
    assert_eq!(cell.withdrawn(), 1);
    assert_eq!(cell.starts(), 0);
    cell.mend();
    cell.settle_ms(60_000);
    assert_eq!(cell.outcome(GANG), Some(Outcome::Succeeded));
    assert_eq!(cell.judge(), Vec::<String>::new());
}

#[test]
fn a_part_starts_once_its_owner_finds_it_recorded() {
    let mut cell = gang_at(Step::AllGranted, 9_000);
    cell.fault(Fault::LoseCalls(true), 2, GANG);
    cell.run_ms(7_000);
    assert_eq!(cell.starts(), 24);
    cell.mend();
    cell.settle_ms(60_000);
    assert_eq!(cell.outcome(GANG), Some(Outcome::Succeeded));
}

#[test]
fn a_cancellation_ends_what_runs() {
    let mut cell = gang_at(Step::Running, 60_000);
    cell.run_ms(500);
    cell.cancel(GANG);
    cell.run_ms(5_000);
    assert_eq!(cell.outcome(GANG), Some(Outcome::Cancelled));
    assert!(cell.told[&GANG].cancelled.is_some());
    assert_eq!(cell.judge(), Vec::<String>::new());
}

/// A round that holds parts for longer than their lease.
#[test]
fn parts_that_are_renewed_are_not_withdrawn() {
    let mut cell = Cell::new(3, 2);
    cell.submit(2, 1, &job(8, 1, true, 55_000, "long"));
    cell.run_ms(500);
    cell.submit(HOME, GANG, &gang(GANG, 24, 500));
    cell.run_ms(120_000);
    assert_eq!(cell.outcome(GANG), Some(Outcome::Succeeded));
    assert_eq!(cell.withdrawn(), 0);
}

#[test]
fn a_gang_that_cannot_be_placed_leaves_others_their_room() {
    let mut cell = Cell::new(3, 2);
    cell.submit(2, 1, &job(8, 1, true, 200_000, "long"));
    cell.run_ms(500);
    cell.submit(HOME, GANG, &gang(GANG, 24, 500));
    let small = 100..160;
    for number in small.clone() {
        cell.submit(0, number, &job(1, 1, true, 500, "small"));
        cell.run_ms(1_000);
    }
    cell.run_ms(20_000);
    let ran = small.filter(|n| cell.outcome(*n) == Some(Outcome::Succeeded));
    assert_eq!(ran.count(), 60);
}

#[test]
fn nothing_stays_reserved_while_the_table_is_down() {
    let mut cell = gang_at(Step::FirstGrant, 500);
    cell.fault(Fault::Table(TableMode::Down), 0, GANG);
    cell.run_ms(4_000);
    let running: Vec<u64> = (0..3).map(|shard| cell.running_at(shard)).collect();
    assert_eq!(running, [0, 0, 0]);
    cell.mend();
    cell.settle_ms(60_000);
    assert_eq!(cell.outcome(GANG), Some(Outcome::Succeeded));
}

/// An owner that was overtaken may not know a part.
#[test]
fn a_part_that_one_owner_does_not_know_is_not_taken_as_ended() {
    let mut cell = gang_at(Step::Running, 2_000);
    let row = cell.rows.scan("gang/").remove(0);
    let row: GangRow = decode(&row.value).expect("a readable row");
    let home = cell.current(&shard_name(HOME)).expect("an owner");
    for part in row.parts {
        let unknown = Input::PartReplied(GANG, part.job, Some(Reply::Job(None)));
        cell.input(home, unknown);
    }
    cell.settle_ms(30_000);
    assert_eq!(cell.outcome(GANG), Some(Outcome::Succeeded));
}
