//! What the runs of a worker leave to waiting steps.

use super::Worker;
use crate::decide::least_cost::Pool;
use crate::model::Time;

impl Worker {
    /// The processors that overdue runs use, in thousandths of a core.
    pub(in crate::workflow) fn overdue_milli(&self) -> u32 {
        self.overdue_milli
    }

    /// The capacity of the worker and the work that is left of its runs, for steps that wait.
    pub(in crate::workflow) fn load(&self, now: Time) -> Pool {
        let by_speed = |cpu_milli: u32| (f64::from(cpu_milli) * self.speed) as u64;
        let mut load = Pool {
            cpu_milli: by_speed(self.listing.capacity.cpu_milli),
            ..Pool::default()
        };
        for run in self.runs.values() {
            let cpu_milli = run.reserved.cpu_milli;
            if run.is_long_running {
                load.cpu_milli = load.cpu_milli.saturating_sub(by_speed(cpu_milli));
                continue;
            }
            let elapsed_ms = now.since(run.started_at).as_secs_f64() * 1_000.0 * self.speed;
            let left_ms = run.expected_ms.saturating_sub(elapsed_ms as u64);
            load.busy_milli += by_speed(cpu_milli);
            load.running_work += u64::from(cpu_milli) * left_ms;
        }
        load
    }
}
