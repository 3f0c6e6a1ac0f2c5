//! The life cycle of an attempt: decided, recorded, sent.
//!
//! The states are types, so that a start can be made only from an attempt whose row was written,
//! or from one that is explicitly sent ahead of its row.

use std::marker::PhantomData;

use super::rows::TaskRow;
use crate::model::{Resources, TaskId, TaskState, WorkerName};
use crate::port::worker::Command;

/// A placement was decided; nothing of it is recorded.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Decided;

/// The placement's row was written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Recorded;

/// Proof that a transaction took effect; only the commit queue creates it.
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
    /// The worker's boot that the attempt is meant for.
    pub boot: u64,
    /// What the attempt may use.
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
    /// An attempt that was just decided on.
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

    /// The attempt after its row was written.
    pub fn recorded(self, _proof: &CommitProof) -> Attempt<Recorded> {
        self.into_state()
    }

    /// The attempt of a part that the owner of the whole job recorded, or whose row was read.
    pub fn recorded_elsewhere(self) -> Attempt<Recorded> {
        self.into_state()
    }

    /// Sends an idempotent attempt ahead of its row while the table is down. A later owner counts
    /// every waiting task of the shard as possibly running until each worker has answered it.
    pub fn ahead_of_record(self) -> Attempt<Recorded> {
        self.into_state()
    }
}

impl Attempt<Recorded> {
    /// The command that starts the attempt.
    pub fn start(&self, payload: &str) -> Command {
        Command::Start {
            task: self.task.clone(),
            attempt: self.number,
            resources: self.reserved,
            payload: payload.to_owned(),
        }
    }
}
