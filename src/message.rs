//! Requests and replies between VMs.

use serde::{Deserialize, Serialize};

use crate::coordinator::message::{WorkflowReply, WorkflowRequest};
use crate::error::Refusal;
use crate::model::{
    BackendName, JobId, JobSpec, JobView, ServiceName, ShardName, VmName, ZoneName,
};
use crate::shard::rows::{IdempotencyKey, TaskRow};

/// The version of the message protocol. A process rejects messages with another version.
pub const PROTOCOL_VERSION: u16 = 2;

/// A request or reply with the protocol version and the shared secret.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The protocol version.
    pub version: u16,
    /// The shared secret, which authenticates the sender.
    pub secret: String,
    /// The request or reply.
    pub body: T,
}

/// A grant of a slot of a backend server for a limited time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotGrant {
    /// The id of the grant, unique at its granter.
    pub id: u64,
    /// The granter's epoch for the shard of the service.
    pub epoch: u64,
    /// The backend server.
    pub backend: BackendName,
    /// How long the grant is valid, in milliseconds from the request for it.
    pub valid_ms: u64,
    /// Whether the request had to wait for the slot. Such a slot is released right after its use.
    pub scarce: bool,
}

/// The result of a request that used a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUse {
    /// Whether the backend server responded without a server error.
    pub succeeded: bool,
    /// The time from sending the request to the first byte of the response, in microseconds; 0 if
    /// it was not measured.
    pub latency_us: u64,
    /// Whether the backend server reported that it is being removed.
    pub leaving: bool,
}

/// A summary of the state of a VM, which VMs exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmDigest {
    /// The VM.
    pub vm: VmName,
    /// The incarnation of the VM's process, which changes with each start.
    pub incarnation: u64,
    /// Whether the VM has loaded the configuration in force and accepts work.
    pub ready: bool,
    /// The version of the configuration in force.
    pub config_version: u64,
    /// The time since the last response of the table to this VM, in milliseconds.
    pub table_contact_ms: u64,
    /// The shards that the VM owns.
    pub shards: Vec<ShardDigest>,
}

/// A summary of the state of a shard, from its owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardDigest {
    /// The shard.
    pub shard: ShardName,
    /// The epoch.
    pub epoch: u64,
    /// Number of queued tasks.
    pub queued: u64,
    /// Number of running tasks.
    pub running: u64,
    /// Free processors, in millicores.
    pub free_cpu_milli: u64,
}

/// A request to the owner of the shard of a gang's part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PartCall {
    /// Reserves capacity for all tasks of the part, or renews the reservation. The reply is
    /// [`Reply::Part`].
    Reserve {
        /// The part as a job.
        spec: JobSpec,
        /// How long the gang has waited, in milliseconds.
        waited_ms: u64,
        /// The time after which the reservation expires unless it is renewed, in milliseconds.
        lease_ms: u64,
        /// How long the receiver may wait for free capacity before it replies, in milliseconds.
        wait_ms: u64,
    },
    /// Releases the reservation. The sender is sure that the part has not been and will not be
    /// recorded.
    Release,
    /// Tells the receiver that the part is recorded, so that it starts. The reply is
    /// [`Reply::Job`].
    Follow {
        /// Whether to cancel the part.
        cancel: bool,
        /// How long to wait for the part to end, in milliseconds.
        wait_ms: u64,
    },
}

/// The state of a reservation.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PartReply {
    /// The reservation waits, for the given reason.
    Waits(String),
    /// Capacity is reserved for all tasks of the part.
    Granted(Grant),
    /// The reservation was released or withdrawn, or the part is recorded.
    Gone,
}

/// A reservation of capacity for all tasks of a part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The granter's epoch for its shard.
    pub epoch: u64,
    /// The rows that record the placements, ordered by task index.
    pub rows: Vec<TaskRow>,
}

/// A request to another VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Sends the sender's digest and requests the receiver's.
    Exchange(VmDigest),
    /// Submits a job to the owner of a shard.
    Submit {
        /// The id of the job, drawn by the sender.
        job: JobId,
        /// The specification of the job.
        spec: JobSpec,
        /// The caller's idempotency key.
        key: Option<IdempotencyKey>,
    },
    /// Requests the state of a job, after waiting up to `wait_ms` for it to end.
    Job {
        /// The job.
        job: JobId,
        /// How long to wait for the job to end, in milliseconds.
        wait_ms: u64,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Requests a slot from the owner of a service.
    Acquire {
        /// The service.
        service: ServiceName,
        /// The requesting VM.
        vm: VmName,
        /// The incarnation of the requesting VM's process.
        incarnation: u64,
        /// The time limit of the caller's request, in milliseconds; the grant is valid for as long.
        valid_ms: u64,
        /// The backend servers that the caller's request has already tried.
        tried: Vec<BackendName>,
        /// The availability zone of the requesting VM.
        zone: ZoneName,
    },
    /// Releases a slot.
    Release {
        /// The service.
        service: ServiceName,
        /// The grant.
        grant: SlotGrant,
        /// The result of the request that used the slot.
        used: SlotUse,
    },
    /// Requests the slots of a service that the receiver still uses.
    HeldSlots {
        /// The service.
        service: ServiceName,
        /// The epoch of the sender. From now on, the receiver uses no grants of older epochs for
        /// new requests.
        epoch: u64,
    },
    /// Requests the configuration in force if it is newer than `above`.
    Config {
        /// The version that the sender has.
        above: u64,
    },
    /// Requests the status of the VM as JSON.
    Status,
    /// Requests the decisions about a job, in order.
    Explain {
        /// The job.
        job: JobId,
    },
    /// Asks the owner of a shard to reserve capacity for a part of a gang, release it, or run the
    /// part.
    Part {
        /// The part, which is a job of the receiver's shard with an id drawn by the sender.
        part: JobId,
        /// The request about the part.
        call: PartCall,
    },
    /// A request about workflows.
    Workflow(WorkflowRequest),
}

/// A reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The receiver's digest.
    Digest(VmDigest),
    /// The job was recorded under this id, or an earlier job has the same idempotency key and this
    /// id.
    Submitted {
        /// The job.
        job: JobId,
    },
    /// The state of a job; `None` if there is no such job.
    Job(Option<JobView>),
    /// A slot was granted.
    Granted(SlotGrant),
    /// The slot was released.
    Released,
    /// The slots that are still in use.
    Held {
        /// The process that replies; an earlier one on the VM may have held others.
        incarnation: u64,
        /// The grants of the slots.
        grants: Vec<SlotGrant>,
    },
    /// The version and the merged text of a newer configuration; `None` if there is none.
    Config(Option<(u64, String)>),
    /// The status of the VM as JSON.
    Status(String),
    /// The decisions about a job, in order.
    Explained(Vec<String>),
    /// The receiver does not own the shard; the sender should look up the owner again.
    NotOwner,
    /// The request was refused.
    Refused(Refusal),
    /// The state of a reservation.
    Part(PartReply),
    /// A reply about workflows.
    Workflow(WorkflowReply),
}
