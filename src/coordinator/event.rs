//! What happens to the owner of a shard.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::fenced_writer::{FencedWriter, WriteError, WriteOutcome};
use super::message::WorkflowReply;
use super::reader::InboxRecord;
use crate::model::{QueueName, Time, WorkerName};
use crate::port::executor::{ExecutorError, PermitError, Permits, PollResponse};
use crate::port::feeds::{FeedUpdate, WorkerChange};
use crate::port::record_store::RecordKey;
use crate::workflow::{
    CommitBatch, QueuePolicy, StepId, TaskId, WorkerKey, WorkflowId, WorkflowSpec,
};

/// Why an owner no longer owns the shard.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnershipEnd {
    /// Another process followed it.
    Fenced,
    /// It was asked to give up.
    Released,
    /// It gave up, as it reaches no other VM.
    Isolated,
    /// It gave up, as a larger VM is there.
    Yielded,
}

/// What happens to the owner.
pub(super) enum Event {
    /// A question of a caller or of another VM.
    Request(OwnerRequest, oneshot::Sender<WorkflowReply>),
    /// A worker answered a look that was sent at this time.
    PollResponse(WorkerKey, Time, Result<PollResponse, ExecutorError>),
    /// A worker answered a start.
    StartResponse(WorkerKey, TaskId, u32, Result<u64, ExecutorError>),
    /// A worker answered a stop.
    StopResponse(WorkerKey, TaskId, u32, Result<u64, ExecutorError>),
    /// The service of permits answered, or did not.
    PermitResponse {
        vm: SocketAddr,
        step: StepId,
        asked: Vec<WorkerName>,
        answer: Result<Permits, PermitError>,
    },
    /// A transaction has ended.
    WriteFinished(Box<FinishedWrite>),
    /// The list of workers changed.
    Workers(FeedUpdate<WorkerChange>),
    /// VMs that did not reach the owner wrote these to the store; workflows come before
    /// cancellations. The answer names those whose effect is recorded.
    InboxEntries(Vec<InboxRecord>, oneshot::Sender<Vec<RecordKey>>),
    /// A configuration came into force.
    Queues(Vec<QueuePolicy>),
    /// Time passes.
    Tick,
    /// Another VM is to follow.
    Release(oneshot::Sender<()>),
}

/// A transaction that has ended.
pub(super) struct FinishedWrite {
    pub(super) ledger: FencedWriter,
    pub(super) batch: CommitBatch,
    pub(super) recording: Result<WriteOutcome, WriteError>,
}

/// What callers and other VMs ask the owner.
#[derive(Debug)]
pub(super) enum OwnerRequest {
    Submit(WorkflowId, WorkflowSpec),
    State(WorkflowId),
    Cancel(WorkflowId),
    Pending(QueueName),
}
