//! Requests and replies between the system's own processes.

use serde::{Deserialize, Serialize};

use crate::coordinator::message::{WorkflowReply, WorkflowRequest};
use crate::error::Refusal;
use crate::model::{
    BackendName, JobId, JobSpec, JobView, ServiceName, ShardName, VmName, ZoneName,
};
use crate::shard::rows::{IdempotencyKey, TaskRow};

/// The version of the messages; a process rejects other versions.
pub const PROTOCOL_VERSION: u16 = 2;

/// A request, with the version of the messages.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope<T> {
    /// The version of the messages.
    pub version: u16,
    /// The sender's proof that it knows the shared secret.
    pub secret: String,
    /// The content.
    pub body: T,
}

/// A slot of a backend server, granted for a bounded time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct SlotGrant {
    /// Names the grant at its granter.
    pub id: u64,
    /// The granter's epoch of the service's shard.
    pub epoch: u64,
    /// The backend server.
    pub backend: BackendName,
    /// How long the grant holds from when it was asked for, in milliseconds.
    pub valid_ms: u64,
    /// Whether the request had to wait for it, so that the slot is not kept beyond its use.
    pub scarce: bool,
}

/// How a request that held a slot ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SlotUse {
    /// Whether the backend server answered without an error of its own.
    pub succeeded: bool,
    /// From sending to the first byte of the answer, in microseconds; 0 where none was measured.
    pub latency_us: u64,
    /// Whether the backend server said that it is being taken away.
    pub leaving: bool,
}

/// What one VM tells another about itself.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct VmDigest {
    /// The VM.
    pub vm: VmName,
    /// The process on it; a new one after each start.
    pub incarnation: u64,
    /// Whether it has learnt the configuration in force and takes work.
    pub ready: bool,
    /// The configuration version in force.
    pub config_version: u64,
    /// How long ago the table last answered it, in milliseconds.
    pub table_contact_ms: u64,
    /// The shards that it owns, with their epochs and queue lengths.
    pub shards: Vec<ShardDigest>,
}

/// What an owner tells about one shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ShardDigest {
    /// The shard.
    pub shard: ShardName,
    /// The epoch.
    pub epoch: u64,
    /// Tasks that wait.
    pub queued: u64,
    /// Tasks that run.
    pub running: u64,
    /// Free processors, in thousandths of a core.
    pub free_cpu_milli: u64,
}

/// What is asked of the owner of a part's shard.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PartCall {
    /// Reserves room for all tasks of the part, or renews that; answered by [`Reply::Part`].
    Reserve {
        /// The part as a job.
        spec: JobSpec,
        /// For how long the whole job has waited, in milliseconds.
        waited_ms: u64,
        /// After how long without another call the room is given back, in milliseconds.
        lease_ms: u64,
        /// How long the receiver may hold the answer back while there is no room, in milliseconds.
        wait_ms: u64,
    },
    /// Gives the room back; the sender is sure that the part is not and will not be recorded.
    Release,
    /// Says that the part is recorded, so that it starts; answered by [`Reply::Job`].
    Follow {
        /// Whether it is to be cancelled.
        cancel: bool,
        /// How long to wait for its end, in milliseconds.
        wait_ms: u64,
    },
}

/// How a reservation stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum PartReply {
    /// It waits, for this.
    Waits(String),
    /// All tasks have room.
    Granted(Grant),
    /// It was given back or withdrawn, or the part is recorded.
    Gone,
}

/// Room for all tasks of a part.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Grant {
    /// The granter's epoch of its shard.
    pub epoch: u64,
    /// The rows that record the placements, by index.
    pub rows: Vec<TaskRow>,
}

/// A request to another VM.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Request {
    /// Tells about the sender and asks for the receiver's digest.
    Exchange(VmDigest),
    /// Submits a job to the owner of a shard.
    Submit {
        /// The job's name, drawn by the sender.
        job: JobId,
        /// The job.
        spec: JobSpec,
        /// The caller's idempotency key.
        key: Option<IdempotencyKey>,
    },
    /// Asks for a job's state, after waiting up to `wait_ms` for its end.
    Job {
        /// The job.
        job: JobId,
        /// How long to wait for the end, in milliseconds.
        wait_ms: u64,
    },
    /// Cancels a job.
    Cancel {
        /// The job.
        job: JobId,
    },
    /// Asks the owner of a service for a slot.
    Acquire {
        /// The service.
        service: ServiceName,
        /// The asking VM.
        vm: VmName,
        /// The process on it.
        incarnation: u64,
        /// How long the request may take, in milliseconds.
        valid_ms: u64,
        /// Backend servers that this request has already tried.
        tried: Vec<BackendName>,
        /// The zone of the asking VM.
        zone: ZoneName,
    },
    /// Gives a slot back.
    Release {
        /// The service.
        service: ServiceName,
        /// The grant.
        grant: SlotGrant,
        /// How the request ended.
        used: SlotUse,
    },
    /// Asks which slots of a service the receiver still uses.
    HeldSlots {
        /// The service.
        service: ServiceName,
        /// The asker's epoch; grants of older epochs are used for no new request from now on.
        epoch: u64,
    },
    /// Asks for the configuration in force, if it is newer than `above`.
    Config {
        /// The version that the asker has.
        above: u64,
    },
    /// Asks for the VM's status as JSON.
    Status,
    /// Asks for the decisions taken on a job, in order.
    Explain {
        /// The job.
        job: JobId,
    },
    /// Asks the owner of a shard to reserve, give back or run a part of an all-at-once job.
    Part {
        /// The part: a job of the receiver's shard, named by the sender.
        part: JobId,
        /// What is asked.
        call: PartCall,
    },
    /// Asks about workflows.
    Workflow(WorkflowRequest),
}

/// A reply to a [`Request`].
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Reply {
    /// The receiver's digest.
    Digest(VmDigest),
    /// The job was recorded under this name; an earlier one where the key was known.
    Submitted {
        /// The job.
        job: JobId,
    },
    /// A job's state; `None` where there is no such job.
    Job(Option<JobView>),
    /// A slot.
    Granted(SlotGrant),
    /// The slot is free again.
    Released,
    /// Slots that are still used.
    Held(Vec<SlotGrant>),
    /// A newer configuration: its version and its merged text; `None` where there is none.
    Config(Option<(u64, String)>),
    /// Status as JSON.
    Status(String),
    /// Decisions, in order.
    Explained(Vec<String>),
    /// The receiver does not own the shard; the sender should look again for the owner.
    NotOwner,
    /// The work was refused.
    Refused(Refusal),
    /// How a reservation stands.
    Part(PartReply),
    /// An answer about workflows.
    Workflow(WorkflowReply),
}
