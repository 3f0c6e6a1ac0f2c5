//! Events that the owner of a shard handles.

use std::net::SocketAddr;

use tokio::sync::oneshot;

use super::fenced_writer::{FencedWriter, WriteError, WriteOutcome};
use super::message::{WorkflowReply, WorkflowRequest};
use super::reader::InboxRecord;
use super::shards::ShardId;
use crate::model::{QueueName, Time, WorkerName};
use crate::port::executor::{ExecutorError, PermitError, Permits, PollResponse};
use crate::port::feeds::{FeedUpdate, WorkerChange};
use crate::port::record_store::{Record, RecordKey, StoreError, StoreReply, Transaction};
use crate::workflow::exchange::ExchangeMessage;
use crate::workflow::{
    Access, CommitBatch, EnginePolicies, StepId, TaskId, WorkerKey, WorkflowId, WorkflowSpec,
};

/// Why an owner's ownership of the shard ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum OwnershipEnd {
    /// Another process has taken over the shard.
    Fenced,
    /// The owner released the shard in a planned stop.
    Released,
    /// The owner released the shard because it gets no heartbeats from other VMs.
    Isolated,
    /// The owner released the shard for a VM with more CPU.
    Yielded,
}

/// An event for the owner.
pub(super) enum Event {
    /// A request of a caller or of another VM.
    Request(OwnerRequest, oneshot::Sender<WorkflowReply>),
    /// The result of a poll of a worker, with the time when the poll was sent.
    PollResponse(WorkerKey, Time, Result<PollResponse, ExecutorError>),
    /// The result of a start request for a run.
    StartResponse(WorkerKey, TaskId, u32, Result<u64, ExecutorError>),
    /// The result of a stop request for a run.
    StopResponse(WorkerKey, TaskId, u32, Result<u64, ExecutorError>),
    /// The result of a permit request that was sent through `vm`.
    PermitResponse {
        vm: SocketAddr,
        step: StepId,
        workers: Vec<WorkerName>,
        result: Result<Permits, PermitError>,
    },
    /// The commit of a batch finished.
    WriteFinished(Box<FinishedWrite>),
    /// The list of workers changed.
    Workers(FeedUpdate<WorkerChange>),
    /// Entries from the shard's inboxes, workflows before cancellations. The reply lists the keys of
    /// those whose effect is recorded.
    InboxEntries(Vec<InboxRecord>, oneshot::Sender<Vec<RecordKey>>),
    /// A configuration was applied.
    Policies(EnginePolicies),
    /// A message from the owner of another shard.
    Exchange(ShardId, ExchangeMessage),
    /// Something about the shares of accounts' limits.
    LimitShares(LimitShareEvent),
    /// The tick interval passed.
    Tick,
    /// The process is stopping: release the shard and send on the channel when that is done.
    Release(oneshot::Sender<()>),
}

/// An event about the shares of accounts' limits.
pub(super) enum LimitShareEvent {
    /// Records were read; the flag tells whether these are all records of the table.
    Records(Vec<Record>, bool),
    /// Decide about the shares. The reply is the transaction to send, if any, and whether the owner
    /// still has to record its epoch.
    Decide(oneshot::Sender<(Option<Transaction>, bool)>),
    /// The result of the transaction.
    Written(Result<StoreReply, StoreError>),
}

/// The finished commit of a batch.
pub(super) struct FinishedWrite {
    pub(super) writer: FencedWriter,
    pub(super) batch: CommitBatch,
    pub(super) result: Result<WriteOutcome, WriteError>,
}

/// A request of a caller or of another VM to the owner.
#[derive(Debug)]
pub(super) enum OwnerRequest {
    Submit(WorkflowId, WorkflowSpec, Access),
    State(WorkflowId, Access),
    Cancel(WorkflowId, Access),
    Pending(QueueName),
}

impl OwnerRequest {
    /// The request to the owner; `None` if the request is not one that an owner handles.
    pub(super) fn from_request(request: &WorkflowRequest) -> Option<Self> {
        Some(match request.clone() {
            WorkflowRequest::Submit { id, spec } => Self::Submit(id, spec, Access::All),
            WorkflowRequest::State(id) => Self::State(id, Access::All),
            WorkflowRequest::Cancel(id) => Self::Cancel(id, Access::All),
            WorkflowRequest::SubmitAs { id, spec, access } => Self::Submit(id, spec, access),
            WorkflowRequest::StateAs(id, access) => Self::State(id, access),
            WorkflowRequest::CancelAs(id, access) => Self::Cancel(id, access),
            WorkflowRequest::Pending { queue, .. } => Self::Pending(queue),
            WorkflowRequest::Ping { .. }
            | WorkflowRequest::Store { .. }
            | WorkflowRequest::Permits { .. }
            | WorkflowRequest::TakeOver { .. }
            | WorkflowRequest::Exchange { .. } => return None,
        })
    }
}
