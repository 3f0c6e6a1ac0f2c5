//! Requests and replies between VMs about workflows.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::shards::ShardId;
use crate::model::{QueueName, VmName, WorkerName};
use crate::port::executor::{PermitError, Permits};
use crate::port::record_store::{StoreCall, StoreError, StoreReply};
use crate::workflow::exchange::ExchangeMessage;
use crate::workflow::record::WorkflowState;
use crate::workflow::{Access, QueueConfig, StepId, WorkflowId, WorkflowSpec};

/// A VM of the cluster.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: VmName,
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// When its process started, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// Its CPU capacity, in thousandths of a core.
    pub cpu_milli: u32,
    /// How many shards it owns.
    pub owned: u16,
}

impl Member {
    /// The CPU capacity for each shard if the VM owns `shards` of them, in thousandths of a core.
    pub(super) fn cpu_milli_per_shard(&self, shards: u16) -> u32 {
        self.cpu_milli / u32::from(shards.max(1))
    }

    /// Whether this VM has so much more CPU for one more shard than an owner with `owner_cpu_milli` for
    /// each of its shards that a handover is worth its cost.
    pub(super) fn is_preferred_owner(&self, owner_cpu_milli: u32) -> bool {
        /// The least CPU for the shard on this VM, in percent of `owner_cpu_milli`.
        const MIN_CPU_PERCENT: u64 = 150;
        u64::from(self.cpu_milli_per_shard(self.owned + 1)) * 100
            >= u64::from(owner_cpu_milli) * MIN_CPU_PERCENT
    }
}

/// The owner of a shard as last known to a VM; it may be out of date.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerHint {
    /// The owner's epoch; increases with each owner.
    pub epoch: u64,
    /// Where other VMs reach it.
    pub address: SocketAddr,
}

/// A request to another VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkflowRequest {
    /// A heartbeat from a VM to the owner of a shard.
    Ping {
        /// The shard.
        shard: ShardId,
        /// The sender.
        member: Member,
        /// The version of the configuration in effect at the sender.
        config_version: u64,
    },
    /// Submits a workflow to the owner of its shard.
    Submit {
        /// The workflow's id.
        id: WorkflowId,
        /// The workflow.
        spec: WorkflowSpec,
    },
    /// Asks the owner for a workflow's state.
    State(WorkflowId),
    /// Asks the owner to cancel a workflow.
    Cancel(WorkflowId),
    /// Asks the owner of a shard how many workflows of a queue have not started any task.
    Pending {
        /// The shard.
        shard: ShardId,
        /// The queue.
        queue: QueueName,
    },
    /// Asks the receiver to make a store call that the sender cannot make itself.
    Store {
        /// The call.
        call: StoreCall,
        /// The timeout of the call, in milliseconds.
        timeout_ms: u64,
    },
    /// Asks the receiver to send a permit request for a step.
    Permits {
        /// The step.
        step: StepId,
        /// The workers to request permits for.
        workers: Vec<WorkerName>,
        /// The timeout of the permit request, in milliseconds.
        timeout_ms: u64,
    },
    /// Asks the receiver to take over a shard whose owner has released it.
    TakeOver {
        /// The shard.
        shard: ShardId,
        /// The epoch of the previous owner.
        epoch: u64,
    },
    /// Passes a message from the owner of one shard to that of another.
    Exchange {
        /// The shard of the sender.
        from: ShardId,
        /// The shard of the receiver.
        to: ShardId,
        /// The message.
        message: ExchangeMessage,
    },
    /// Submits a workflow like [`Self::Submit`], with the access of its caller.
    SubmitAs {
        /// The workflow's id.
        id: WorkflowId,
        /// The workflow.
        spec: WorkflowSpec,
        /// The workflows that the caller has access to.
        access: Access,
    },
    /// Asks for a workflow's state like [`Self::State`], with the access of the caller.
    StateAs(WorkflowId, Access),
    /// Asks to cancel a workflow like [`Self::Cancel`], with the access of the caller.
    CancelAs(WorkflowId, Access),
}

impl WorkflowRequest {
    /// Submits a workflow. The request of a caller with access to all workflows is one that earlier
    /// programs know.
    pub(super) fn submit(id: WorkflowId, spec: WorkflowSpec, access: &Access) -> Self {
        match access {
            Access::All => Self::Submit { id, spec },
            _ => {
                let access = access.clone();
                Self::SubmitAs { id, spec, access }
            }
        }
    }

    /// Asks for the state of a workflow, see [`Self::submit`].
    pub(super) fn state(id: WorkflowId, access: &Access) -> Self {
        match access {
            Access::All => Self::State(id),
            _ => Self::StateAs(id, access.clone()),
        }
    }

    /// Asks to cancel a workflow, see [`Self::submit`].
    pub(super) fn cancel(id: WorkflowId, access: &Access) -> Self {
        match access {
            Access::All => Self::Cancel(id),
            _ => Self::CancelAs(id, access.clone()),
        }
    }
}

/// A reply to a [`WorkflowRequest`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkflowReply {
    /// The owner's reply to a ping.
    Pong {
        /// The owner and the VMs whose heartbeats it received recently.
        members: Vec<Member>,
        /// The configuration, if the sender's is older.
        config: Option<QueueConfig>,
    },
    /// The workflow is accepted and recorded.
    Accepted,
    /// The workflow was refused and will not run.
    Refused,
    /// The outcome is unknown: the owner did not reply in time or has lost the shard.
    Unknown,
    /// A workflow's state; `None` if the owner does not know the workflow.
    State(Option<WorkflowState>),
    /// The workflow is cancelled or has ended otherwise, and that is recorded.
    Cancelled,
    /// The number of workflows that have not started any task.
    Pending(u64),
    /// The result of the store call.
    Store(Result<StoreReply, StoreError>),
    /// The result of the permit request.
    Permits(Result<Permits, PermitError>),
    /// The receiver does not own the shard; names the owner if it is known.
    NotOwner(Option<OwnerHint>),
    /// The receiver will try to take over the shard, or handles the message.
    Done,
    /// The id is that of a workflow of another account.
    OtherAccount,
    /// The workflow was refused because it cannot end in time, and will not run.
    Overloaded {
        /// When the caller may retry, in milliseconds.
        retry_after_ms: u64,
    },
}
