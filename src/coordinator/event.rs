//! What happens to the owner of a shard.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::ledger::{Ledger, RecordError, Recording};
use super::message::Told;
use super::reader::Handed;
use crate::model::{QueueName, Time, WorkerName};
use crate::port::executor::{ExecutorError, PermitError, Permits, PollResponse};
use crate::port::feeds::{FeedUpdate, WorkerChange};
use crate::port::record_store::RecordKey;
use crate::workflow::{
    CommitBatch, QueuePolicy, StepId, TaskId, WorkerKey, WorkflowId, WorkflowSpec,
};

/// Why an owner no longer owns the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Ending {
    /// Another process followed it.
    Overtaken,
    /// It was asked to give up.
    Released,
    /// It gave up, as it reaches no other VM.
    CutOff,
    /// It gave up, as a larger VM is there.
    Yielded,
}

/// What happens to the owner.
pub(super) enum Event {
    /// A question of a caller or of another VM.
    Asked(OwnerAsk, oneshot::Sender<Told>),
    /// A worker answered a look that was sent at this time.
    Looked(WorkerKey, Time, Result<PollResponse, ExecutorError>),
    /// A worker answered a start.
    Started(WorkerKey, TaskId, u32, Result<u64, ExecutorError>),
    /// A worker answered a stop.
    Stopped(WorkerKey, TaskId, u32, Result<u64, ExecutorError>),
    /// The service of permits answered, or did not.
    Permitted {
        vm: SocketAddr,
        step: StepId,
        asked: Vec<WorkerName>,
        answer: Result<Permits, PermitError>,
    },
    /// A transaction has ended.
    Recorded(Box<Recorded>),
    /// The list of workers changed.
    Workers(FeedUpdate<WorkerChange>),
    /// VMs that did not reach the owner wrote these to the store; workflows come before
    /// cancellations. The answer names those whose effect is recorded.
    HandedOver(Vec<Handed>, oneshot::Sender<Vec<RecordKey>>),
    /// A configuration came into force.
    Queues(Vec<QueuePolicy>),
    /// Time passes.
    Tick,
    /// Another VM is to follow.
    Release(oneshot::Sender<()>),
}

/// A transaction that has ended.
pub(super) struct Recorded {
    pub(super) ledger: Ledger,
    pub(super) batch: CommitBatch,
    pub(super) recording: Result<Recording, RecordError>,
}

/// What callers and other VMs ask the owner.
#[derive(Debug)]
pub(super) enum OwnerAsk {
    Submit(WorkflowId, WorkflowSpec),
    State(WorkflowId),
    Cancel(WorkflowId),
    Pending(QueueName),
}
