//! Errands of the owner: orders to workers and questions about permits, each of which comes back as an
//! event.

use std::net::SocketAddr;
use std::time::Duration;

use kameo::actor::ActorRef;

use super::event::Event;
use super::message::{WorkflowReply, WorkflowRequest};
use super::owner::{WorkflowOwner, WorkflowOwnerPorts};
use super::permit_queue::PermitRequest;
use crate::message::{Reply, Request};
use crate::metrics::Counter;
use crate::model::{Time, WorkerName};
use crate::port::executor::{PermitError, Permits, PollRequest, StartRequest, WorkerTarget};
use crate::workflow::{StepId, TaskId, WorkerKey};

/// Added to the time that the service of permits takes for a question, for the way there and for
/// one question of this VM that is still under way.
const PERMIT_TIMEOUT_MS: u64 = 800;

impl WorkflowOwner {
    pub(super) fn look(
        &self,
        me: &ActorRef<Self>,
        worker: WorkerKey,
        target: WorkerTarget,
        request: PollRequest,
        now: Time,
    ) {
        let (executors, me) = (self.ports.executors.clone(), me.clone());
        self.ports.metrics.count(Counter::WorkerCalls, 1);
        tokio::spawn(async move {
            let answer = executors.poll(&target, &request).await;
            let _ = me.tell(Event::PollResponse(worker, now, answer)).await;
        });
    }

    pub(super) fn start(
        &self,
        me: &ActorRef<Self>,
        worker: WorkerKey,
        target: WorkerTarget,
        request: StartRequest,
    ) {
        let (executors, me) = (self.ports.executors.clone(), me.clone());
        self.ports.metrics.count(Counter::TasksPlaced, 1);
        self.ports.metrics.count(Counter::WorkerCalls, 1);
        tokio::spawn(async move {
            let answer = executors.start(&target, &request).await;
            let event = Event::StartResponse(worker, request.task, request.run, answer);
            let _ = me.tell(event).await;
        });
    }

    pub(super) fn stop(
        &self,
        me: &ActorRef<Self>,
        worker: WorkerKey,
        target: WorkerTarget,
        task: TaskId,
        run: u32,
    ) {
        let (executors, me) = (self.ports.executors.clone(), me.clone());
        tokio::spawn(async move {
            let answer = executors.stop(&target, task, run).await;
            let _ = me
                .tell(Event::StopResponse(worker, task, run, answer))
                .await;
        });
    }

    /// Hands questions about permits to VMs that are free.
    pub(super) fn ask_permits(&mut self, me: &ActorRef<Self>, now: Time) {
        while let Some((vm, question)) = self.permit_queue.next(now) {
            tracing::debug!(request = %question.step.workflow, step = %question.step, %vm,
                asked = question.workers.len(), takes_ms = question.takes_ms,
                "permits are asked for");
            let (ports, me) = (self.ports.clone(), me.clone());
            tokio::spawn(async move {
                let PermitRequest {
                    step,
                    workers,
                    takes_ms,
                    ..
                } = question;
                let timeout = Duration::from_millis(takes_ms + PERMIT_TIMEOUT_MS);
                let answer = ports.ask_through(vm, step, &workers, timeout).await;
                let event = Event::PermitResponse {
                    vm,
                    step,
                    asked: workers,
                    answer,
                };
                let _ = me.tell(event).await;
            });
        }
    }
}

impl WorkflowOwnerPorts {
    /// Asks the service of permits, from the VM at `vm`.
    async fn ask_through(
        &self,
        vm: SocketAddr,
        step: StepId,
        workers: &[WorkerName],
        timeout: Duration,
    ) -> Result<Permits, PermitError> {
        if vm == self.directory.local_address() {
            return self.permits.request_permits(step, workers, timeout).await;
        }
        let request = Request::Workflow(WorkflowRequest::Permits {
            step,
            workers: workers.to_vec(),
            timeout_ms: u64::try_from(timeout.as_millis()).unwrap_or(u64::MAX),
        });
        match self.peers.call(vm, &request, timeout).await {
            Ok(Reply::Workflow(WorkflowReply::Permits(answer))) => answer,
            Ok(other) => Err(PermitError(format!("an unexpected reply: {other:?}"))),
            Err(error) => Err(PermitError(error.to_string())),
        }
    }
}
