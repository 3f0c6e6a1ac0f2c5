//! A run without faults, which checks the simulation itself.

use crate::support::job;
use crate::support::script::POLICIES;
use crate::support::simulation::ShardSimulation;

#[test]
fn without_faults_each_task_runs_once() {
    for (name, policy) in POLICIES {
        let mut simulation = ShardSimulation::new(3, policy);
        for number in 1..=20 {
            simulation.submit(number, &job(2, 1, number % 2 == 0, 100, "r"));
            simulation.run_ms(20);
        }
        simulation.clear_faults_and_run(3_000);
        assert_eq!(simulation.find_violations(), Vec::<String>::new(), "{name}");
        assert_eq!(simulation.starts(), 40, "{name}");
        assert!(simulation.jobs.values().all(|job| job.accepted), "{name}");
    }
}
