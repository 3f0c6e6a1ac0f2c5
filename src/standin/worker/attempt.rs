//! An attempt that a stand-in worker runs.

use std::time::Duration;

use serde::Deserialize;

use crate::model::{Resources, TaskId, Time};

/// Run time of a task whose payload cannot be parsed, in milliseconds.
const DEFAULT_RUN_MS: u64 = 10;

/// Payload of a task, which tells the stand-in what to do.
#[derive(Clone, Debug, PartialEq, Deserialize)]
#[serde(default)]
pub struct Payload {
    /// The caller's name for the work, recorded in the journal.
    pub work: Option<String>,
    /// Run time of the task, in milliseconds.
    pub run_ms: u64,
    /// Whether the task fails.
    pub fail: bool,
    /// Result that the task returns.
    pub result: String,
    /// Resources that the task uses; those that it is allowed if absent.
    pub uses: Option<Resources>,
}

impl Default for Payload {
    fn default() -> Self {
        Self {
            work: None,
            run_ms: DEFAULT_RUN_MS,
            fail: false,
            result: String::new(),
            uses: None,
        }
    }
}

/// A running attempt.
#[derive(Clone, Debug)]
pub struct ActiveAttempt {
    /// The task.
    pub task: TaskId,
    /// The number of the attempt.
    pub number: u32,
    /// Resources that it is allowed.
    pub allowed: Resources,
    /// The payload of the task.
    pub payload: Payload,
    /// When it started.
    pub started_at: Time,
    /// When it ends unless it is stopped.
    pub ends_at: Time,
    /// Resource usage since each point in time, in order.
    usage_history: Vec<(Time, Resources)>,
}

impl ActiveAttempt {
    /// Starts an attempt at `now`.
    pub fn start(task: TaskId, number: u32, allowed: Resources, payload: &str, now: Time) -> Self {
        let payload: Payload = serde_json::from_str(payload).unwrap_or_default();
        let uses = payload.uses.unwrap_or(allowed);
        Self {
            task,
            number,
            allowed,
            started_at: now,
            ends_at: now + Duration::from_millis(payload.run_ms),
            payload,
            usage_history: vec![(now, uses)],
        }
    }

    /// Limits the attempt to `allowed` from `now` on.
    pub fn throttle(&mut self, allowed: Resources, now: Time) {
        let uses = self.payload.uses.unwrap_or(allowed);
        self.allowed = allowed;
        self.usage_history
            .push((now, component_min(&uses, &allowed)));
    }

    /// Resource usage of the attempt at `as_of`.
    pub fn usage(&self, as_of: Time) -> Resources {
        let sample = self.usage_history.iter().rev().find(|(at, _)| *at <= as_of);
        sample.map(|(_, used)| *used).unwrap_or_default()
    }
}

fn component_min(a: &Resources, b: &Resources) -> Resources {
    Resources {
        cpu_milli: a.cpu_milli.min(b.cpu_milli),
        memory_mib: a.memory_mib.min(b.memory_mib),
        accelerators: a.accelerators.min(b.accelerators),
    }
}
