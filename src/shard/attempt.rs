//! The states of an attempt before its start: decided, then recorded.
//!
//! The states are types: a start command can be built only from an attempt whose row was committed,
//! or from one that is explicitly started ahead of its row.

use std::marker::PhantomData;

use super::rows::TaskRow;
use crate::model::{Resources, TaskId, TaskState, WorkerName};
use crate::port::worker::WorkerCommand;

/// The placement was decided but is not recorded yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decided;

/// The placement's row was committed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recorded;

/// Proof that a transaction took effect. Only the commit queue creates it.
#[derive(Debug)]
pub struct CommitProof(pub(super) ());

/// An attempt of a task on a worker.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt<S> {
    /// The task.
    pub task: TaskId,
    /// The attempt's number, from 1.
    pub number: u32,
    /// The worker's index in its shard.
    pub worker_index: usize,
    /// The boot of the worker process that the attempt is meant for.
    pub boot: u64,
    /// The resources reserved for the attempt.
    pub reserved: Resources,
    state: PhantomData<S>,
}

impl<S> Attempt<S> {
    fn into_state<T>(self) -> Attempt<T> {
        Attempt {
            task: self.task,
            number: self.number,
            worker_index: self.worker_index,
            boot: self.boot,
            reserved: self.reserved,
            state: PhantomData,
        }
    }
}

impl Attempt<Decided> {
    /// Creates an attempt that is not recorded yet.
    pub fn new(
        task: TaskId,
        number: u32,
        worker_index: usize,
        boot: u64,
        reserved: Resources,
    ) -> Self {
        Self {
            task,
            number,
            worker_index,
            boot,
            reserved,
            state: PhantomData,
        }
    }

    /// The row that records the attempt.
    pub fn row(&self, worker: &WorkerName) -> TaskRow {
        TaskRow {
            state: TaskState::Placed,
            attempt: self.number,
            worker: worker.clone(),
            boot: self.boot,
            reserved: self.reserved,
            result: String::new(),
        }
    }

    /// Marks the attempt as recorded by the transaction that the proof stands for.
    pub fn recorded(self, _proof: &CommitProof) -> Attempt<Recorded> {
        self.into_state()
    }

    /// Marks the attempt as recorded in the transaction of a cross-shard gang, which the gang's
    /// owner reported or whose row was found in the table.
    pub fn recorded_by_gang_owner(self) -> Attempt<Recorded> {
        self.into_state()
    }

    /// Allows the attempt of an idempotent task to start ahead of its row while the table is down.
    /// A later owner counts every queued idempotent task of the shard as possibly running until
    /// each worker has responded to it or its leases have expired.
    pub fn ahead_of_row(self) -> Attempt<Recorded> {
        self.into_state()
    }
}

impl Attempt<Recorded> {
    /// The command that starts the attempt.
    pub fn start_command(&self, payload: &str) -> WorkerCommand {
        WorkerCommand::Start {
            task: self.task.clone(),
            attempt: self.number,
            resources: self.reserved,
            payload: payload.to_owned(),
        }
    }
}
