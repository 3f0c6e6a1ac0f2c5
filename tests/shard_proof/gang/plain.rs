//! Cross-shard gangs without faults.

use chestnutlug::model::{JobSpec, Outcome};

use super::simulation::{CellSimulation, Progress, shard_name};
use crate::support::job;

/// A gang whose tasks need one core each. The workers' journal entries carry its number.
pub fn gang(number: u64, tasks: u32, run_ms: u64) -> JobSpec {
    JobSpec {
        all_at_once: true,
        payload: format!(r#"{{"run_ms":{run_ms},"result":"done","work":"{number}"}}"#),
        ..job(tasks, 1, true, run_ms, "done")
    }
}

#[test]
fn all_results_are_returned_in_order_and_no_rows_remain() {
    let mut simulation = CellSimulation::new(3, 2);
    simulation.submit(1, 7, &gang(7, 20, 500));
    simulation.run_ms(3_000);
    let row = simulation.job_row(7).expect("a row");
    assert_eq!(row.outcome, Some(Outcome::Succeeded));
    assert_eq!(row.results, vec!["done"; 20]);
    assert_eq!(simulation.rows.scan("gang/").len(), 0);
    assert_eq!(simulation.rows.scan("task/").len(), 0);
    assert_eq!(simulation.find_violations(), Vec::<String>::new());
}

#[test]
fn a_gang_that_fits_nowhere_is_refused_with_the_number_that_would_fit() {
    let mut simulation = CellSimulation::new(3, 2);
    simulation.submit(1, 7, &gang(7, 25, 500));
    let refused = simulation.jobs[&7].refused.as_deref();
    let reason = "24 such tasks at once would fit in all shards together, not 25";
    assert_eq!(refused, Some(reason));
}

/// Two gangs with different home shards, each of which needs more than half of the total capacity.
/// Neither may wait until a reservation of the other expires.
#[test]
fn two_large_gangs_of_different_home_shards_both_run() {
    let mut simulation = CellSimulation::new(2, 2);
    simulation.submit(0, 1, &gang(1, 12, 500));
    simulation.submit(1, 2, &gang(2, 12, 500));
    simulation.run_ms(4_000);
    assert_eq!(simulation.outcome(1), Some(Outcome::Succeeded));
    assert_eq!(simulation.outcome(2), Some(Outcome::Succeeded));
    assert_eq!(simulation.find_violations(), Vec::<String>::new());
}

/// Small jobs of the same team and kind take free capacity as soon as there is any.
#[test]
fn a_gang_and_small_jobs_do_not_starve_each_other() {
    let mut simulation = CellSimulation::new(2, 2);
    let mut number = 100;
    for round in 0..1_200 {
        if round == 20 {
            simulation.submit(0, 7, &gang(7, 16, 500));
        }
        for shard in 0..2 {
            number += 1;
            simulation.submit(shard, number, &job(1, 1, true, 900, "small"));
        }
        simulation.run_ms(100);
    }
    simulation.run_ms(30_000);
    assert_eq!(simulation.outcome(7), Some(Outcome::Succeeded));
    let small = (101..=number).filter(|n| simulation.outcome(*n) == Some(Outcome::Succeeded));
    assert_eq!(small.count(), 2_400);
    assert_eq!(simulation.find_violations(), Vec::<String>::new());
}

/// The owner of the gang's home shard is paused and no longer renews the reservation.
#[test]
fn the_reservations_of_a_paused_owner_expire() {
    let mut simulation = CellSimulation::new(2, 2);
    simulation.submit(0, 7, &gang(7, 16, 500));
    assert!(simulation.run_until(Progress::FirstGrant, 5_000));
    let home = simulation.current_owner(&shard_name(0)).expect("an owner");
    simulation.owners[home].paused = true;
    for number in 20..28 {
        simulation.submit(1, number, &job(1, 1, true, 100, "small"));
    }
    simulation.run_ms(12_000);
    let ran = (20..28).filter(|n| simulation.outcome(*n) == Some(Outcome::Succeeded));
    assert_eq!(ran.count(), 8);
}
