//! What VMs ask each other about workflows.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::shards::ShardId;
use crate::model::{QueueName, VmName, WorkerName};
use crate::port::executor::{PermitError, Permits};
use crate::port::record_store::{StoreCall, StoreError, StoreReply};
use crate::workflow::record::WorkflowState;
use crate::workflow::{QueueConfig, StepId, WorkflowId, WorkflowSpec};

/// A VM that takes part.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The VM.
    pub vm: VmName,
    /// Where other VMs reach it.
    pub address: SocketAddr,
    /// When its process started, in milliseconds since 1970.
    pub started_unix_ms: u64,
    /// What its processor does, in thousandths of a core.
    pub cpu_milli: u32,
    /// How many shards it owns.
    pub owned: u16,
}

impl Member {
    /// What its processor leaves for each shard if it owns so many.
    pub(super) fn share(&self, shards: u16) -> u32 {
        self.cpu_milli / u32::from(shards.max(1))
    }

    /// Whether it has so much more room for one more shard than an owner whose shards get `share`
    /// each that this is worth a change of owners.
    pub(super) fn outweighs(&self, share: u32) -> bool {
        /// How much more, in percent.
        const WORTH_PERCENT: u64 = 150;
        u64::from(self.share(self.owned + 1)) * 100 >= u64::from(share) * WORTH_PERCENT
    }
}

/// The owner of a shard, as far as a VM knows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct OwnerHint {
    /// Grows from owner to owner.
    pub epoch: u64,
    /// Where other VMs reach it.
    pub address: SocketAddr,
}

/// A question to another VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkflowRequest {
    /// Tells the owner of a shard that a VM lives.
    Ping {
        /// The shard.
        shard: ShardId,
        /// The VM.
        member: Member,
        /// The version of the configuration that it has.
        config_version: u64,
    },
    /// Hands a workflow to the owner.
    Submit {
        /// Its name.
        id: WorkflowId,
        /// The workflow.
        spec: WorkflowSpec,
    },
    /// Asks the owner how a workflow stands.
    State(WorkflowId),
    /// Asks the owner to cancel a workflow.
    Cancel(WorkflowId),
    /// Asks the owner of a shard how many workflows of a queue have started nothing.
    Pending {
        /// The shard.
        shard: ShardId,
        /// The queue.
        queue: QueueName,
    },
    /// Asks for a call of the store that the asker cannot make itself.
    Store {
        /// The call.
        call: StoreCall,
        /// How long it may take, in milliseconds.
        timeout_ms: u64,
    },
    /// Asks which workers may run a step.
    Permits {
        /// The step.
        step: StepId,
        /// The workers.
        workers: Vec<WorkerName>,
        /// How long the question may take, in milliseconds.
        timeout_ms: u64,
    },
    /// Asks the receiver to become the owner of a shard, as the one with this epoch has given up.
    TakeOver {
        /// The shard.
        shard: ShardId,
        /// The epoch that has ended.
        epoch: u64,
    },
}

/// An answer to an [`Ask`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum WorkflowReply {
    /// The owner lives.
    Pong {
        /// The VMs that the owner has heard of lately.
        members: Vec<Member>,
        /// A configuration, where the asker's is older.
        config: Option<QueueConfig>,
    },
    /// The workflow is accepted and recorded.
    Accepted,
    /// The workflow was not accepted and will not run.
    Refused,
    /// The answer cannot be known now.
    Unknown,
    /// How a workflow stands; `None` where the owner does not know it.
    State(Option<WorkflowState>),
    /// The workflow is cancelled or has ended otherwise, and that is recorded.
    Cancelled,
    /// A count.
    Pending(u64),
    /// What the store answered.
    Store(Result<StoreReply, StoreError>),
    /// What the service of permits answered.
    Permits(Result<Permits, PermitError>),
    /// The receiver is not the owner.
    NotOwner(Option<OwnerHint>),
    /// Done.
    Done,
}
