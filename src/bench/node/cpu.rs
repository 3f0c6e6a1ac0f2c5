//! Processor time of the threads of this process, selected by their names.

use std::collections::HashMap;
use std::fs;
use std::path::Path;
use std::time::Duration;

/// Directory in which the kernel lists the threads of this process.
const THREADS: &str = "/proc/self/task";

/// Processor time that threads had used at one point in time.
#[derive(Clone, Debug, Default)]
pub(super) struct CpuTime {
    /// Processor time in nanoseconds, by thread ID.
    used_ns: HashMap<u64, u64>,
}

impl CpuTime {
    /// Reads the processor time of all threads except those whose names start with `prefix`.
    pub(super) fn of_threads_without(prefix: &str) -> Self {
        let threads = fs::read_dir(THREADS).into_iter().flatten().flatten();
        let selected = threads.filter(|thread| !thread_name(&thread.path()).starts_with(prefix));
        let used = selected.filter_map(|thread| {
            let id = thread.file_name().to_str()?.parse().ok()?;
            Some((id, used_ns_of(&thread.path())?))
        });
        Self {
            used_ns: used.collect(),
        }
    }

    /// Processor time used since `earlier`, without that of threads that have ended.
    pub(super) fn since(&self, earlier: &Self) -> Duration {
        let used = self.used_ns.iter().map(|(id, used_ns)| {
            let earlier_ns = earlier.used_ns.get(id).copied().unwrap_or(0);
            used_ns.saturating_sub(earlier_ns)
        });
        Duration::from_nanos(used.sum())
    }
}

fn thread_name(thread: &Path) -> String {
    fs::read_to_string(thread.join("comm")).unwrap_or_default()
}

/// Time on a processor, in nanoseconds: the first number of the thread's `schedstat`.
fn used_ns_of(thread: &Path) -> Option<u64> {
    let stat = fs::read_to_string(thread.join("schedstat")).ok()?;
    stat.split_whitespace().next()?.parse().ok()
}
