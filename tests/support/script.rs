//! Scripts: steps that are run on a simulation of one shard.

use chestnutlug::decide::{Policy, fifo::Fifo, scheduler::Scheduler};
use chestnutlug::model::JobSpec;

use super::job;
use super::simulation::{Fault, PolicyFactory, ShardSimulation};

/// How long a simulation runs without faults at the end of a script, in milliseconds.
pub const RECOVERY_MS: u64 = 30_000;

#[derive(Clone, Debug)]
pub enum Step {
    Submit(u64, JobSpec),
    /// Submits a job with an idempotency key.
    SubmitWithKey(u64, u64, JobSpec),
    /// Repeats the submission of a job.
    Resubmit(u64),
    Cancel(u64),
    Wait(u64),
    Fault(Fault),
}

/// Submits a job of one task that needs all cores of a worker.
pub fn full_worker_job(number: u64, idempotent: bool, run_ms: u64) -> Step {
    Step::Submit(number, job(1, super::WORKER_CORES, idempotent, run_ms, "r"))
}

fn fifo() -> Box<dyn Policy> {
    Box::new(Fifo::default())
}

fn scheduler() -> Box<dyn Policy> {
    Box::new(Scheduler::new(7))
}

pub const POLICIES: [(&str, PolicyFactory); 2] = [("fifo", fifo), ("scheduler", scheduler)];

/// Runs `steps`, then clears all faults and runs on for [`RECOVERY_MS`].
pub fn run_script(workers: usize, policy: PolicyFactory, steps: &[Step]) -> ShardSimulation {
    let mut simulation = ShardSimulation::new(workers, policy);
    for step in steps {
        match step {
            Step::Submit(number, spec) => simulation.submit(*number, spec),
            Step::SubmitWithKey(number, key, spec) => {
                simulation.submit_with_key(*number, Some(*key), spec)
            }
            Step::Resubmit(number) => simulation.resubmit(*number),
            Step::Cancel(number) => simulation.cancel(*number),
            Step::Wait(ms) => simulation.run_ms(*ms),
            Step::Fault(fault) => simulation.inject(*fault),
        }
    }
    simulation.clear_faults_and_run(RECOVERY_MS);
    simulation
}
