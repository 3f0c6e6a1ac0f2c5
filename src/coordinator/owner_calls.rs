//! Requests of the owner to workers and to the permit service. Each result comes back to the owner as an
//! event.

use std::net::SocketAddr;
use std::time::Duration;

use kameo::actor::ActorRef;

use super::event::Event;
use super::message::{WorkflowReply, WorkflowRequest};
use super::owner::{WorkflowOwner, WorkflowOwnerPorts};
use super::permit_queue::PermitRequest;
use super::shards::ShardId;
use super::start_retry;
use crate::message::{Reply, Request};
use crate::metrics::Counter;
use crate::model::{Time, WorkerName};
use crate::node::clock::Clock;
use crate::port::executor::{
    ExecutorError, PermitError, Permits, PollRequest, StartRequest, WorkerTarget,
};
use crate::workflow::exchange::ExchangeMessage;
use crate::workflow::{StepId, TaskId, WorkerKey};

/// Added to the estimated duration of a permit request. Covers the network latency and one earlier
/// request of the same VM that is still in flight.
const PERMIT_TIMEOUT_MARGIN_MS: u64 = 800;

/// The timeout of a message to the owner of another shard.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(500);

/// Checks the owner's tenure when a request is sent, which may be long after it was decided if the
/// process was suspended in between.
struct SendingTenure {
    ends_at: Time,
    clock: Clock,
}

impl SendingTenure {
    fn has_ended(&self) -> bool {
        self.clock.now() >= self.ends_at
    }

    /// An error if the owner may not send a request that acts on a worker.
    fn check(&self) -> Result<(), ExecutorError> {
        if self.has_ended() {
            return Err(ExecutorError::NotSent(
                "the tenure of the owner has ended".to_owned(),
            ));
        }
        Ok(())
    }

    /// A poll that only reads, if the owner may not act.
    fn restrict(&self, request: PollRequest) -> PollRequest {
        if self.has_ended() {
            request.read_only()
        } else {
            request
        }
    }
}

impl WorkflowOwner {
    fn sending_tenure(&self) -> SendingTenure {
        SendingTenure {
            ends_at: self.engine.tenure().ends_at(),
            clock: self.ports.clock,
        }
    }

    pub(super) fn poll(
        &self,
        actor_ref: &ActorRef<Self>,
        worker: WorkerKey,
        target: WorkerTarget,
        request: PollRequest,
        now: Time,
    ) {
        let (executors, actor_ref) = (self.ports.executors.clone(), actor_ref.clone());
        self.ports.metrics.count(Counter::WorkerCalls, 1);
        let tenure = self.sending_tenure();
        tokio::spawn(async move {
            let request = tenure.restrict(request);
            let result = executors.poll(&target, &request).await;
            let _ = actor_ref
                .tell(Event::PollResponse(worker, now, result))
                .await;
        });
    }

    pub(super) fn start(
        &self,
        actor_ref: &ActorRef<Self>,
        worker: WorkerKey,
        target: WorkerTarget,
        request: StartRequest,
    ) {
        let (executors, actor_ref) = (self.ports.executors.clone(), actor_ref.clone());
        self.ports.metrics.count(Counter::TasksPlaced, 1);
        self.ports.metrics.count(Counter::WorkerCalls, 1);
        let tenure = self.sending_tenure();
        tokio::spawn(async move {
            let result = match tenure.check() {
                Ok(()) => {
                    let may_retry = || !tenure.has_ended();
                    start_retry::start(&*executors, &target, &request, may_retry).await
                }
                Err(error) => Err(error),
            };
            let event = Event::StartResponse(worker, request.task, request.run, result);
            let _ = actor_ref.tell(event).await;
        });
    }

    pub(super) fn stop(
        &self,
        actor_ref: &ActorRef<Self>,
        worker: WorkerKey,
        target: WorkerTarget,
        task: TaskId,
        run: u32,
    ) {
        let (executors, actor_ref) = (self.ports.executors.clone(), actor_ref.clone());
        let tenure = self.sending_tenure();
        tokio::spawn(async move {
            let result = match tenure.check() {
                Ok(()) => executors.stop(&target, task, run).await,
                Err(error) => Err(error),
            };
            let _ = actor_ref
                .tell(Event::StopResponse(worker, task, run, result))
                .await;
        });
    }

    /// Sends a message to the owner of another shard. It is repeated as long as it is needed, so that
    /// its loss is only logged.
    pub(super) fn send_to_shard(&self, to: ShardId, message: ExchangeMessage) {
        let Some(owner) = self.ports.cluster.owner(to) else {
            return;
        };
        let from = self.shard;
        let request = Request::Workflow(WorkflowRequest::Exchange { from, to, message });
        let ports = self.ports.clone();
        tokio::spawn(async move {
            let reply = ports
                .peers
                .call(owner.address, &request, EXCHANGE_TIMEOUT)
                .await;
            match reply {
                Ok(Reply::Workflow(WorkflowReply::NotOwner(Some(hint)))) => {
                    ports.cluster.set_owner(to, hint);
                }
                Ok(_) => {}
                Err(error) => tracing::debug!(shard = to.0, %error,
                    "cannot reach the owner of another shard; the message is repeated"),
            }
        });
    }

    /// Sends queued permit requests through VMs that are idle.
    pub(super) fn send_permit_requests(&mut self, actor_ref: &ActorRef<Self>, now: Time) {
        while let Some((vm, request)) = self.permit_queue.next(now) {
            tracing::debug!(request = %request.step.workflow, step = %request.step, %vm,
                asked = request.workers.len(), takes_ms = request.takes_ms,
                "sending a permit request for a step");
            let (ports, actor_ref) = (self.ports.clone(), actor_ref.clone());
            tokio::spawn(async move {
                let PermitRequest {
                    step,
                    workers,
                    takes_ms,
                    ..
                } = request;
                let timeout = Duration::from_millis(takes_ms + PERMIT_TIMEOUT_MARGIN_MS);
                let result = ports.request_permits(vm, step, &workers, timeout).await;
                let event = Event::PermitResponse {
                    vm,
                    step,
                    workers,
                    result,
                };
                let _ = actor_ref.tell(event).await;
            });
        }
    }
}

impl WorkflowOwnerPorts {
    /// Sends a permit request through the VM at `vm`.
    async fn request_permits(
        &self,
        vm: SocketAddr,
        step: StepId,
        workers: &[WorkerName],
        timeout: Duration,
    ) -> Result<Permits, PermitError> {
        if vm == self.cluster.local_address() {
            return self.permits.request_permits(step, workers, timeout).await;
        }
        let request = Request::Workflow(WorkflowRequest::Permits {
            step,
            workers: workers.to_vec(),
            timeout_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
        });
        match self.peers.call(vm, &request, timeout).await {
            Ok(Reply::Workflow(WorkflowReply::Permits(result))) => result,
            Ok(other) => Err(PermitError(format!("an unexpected reply: {other:?}"))),
            Err(error) => Err(PermitError(error.to_string())),
        }
    }
}
