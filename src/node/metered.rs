//! Metrics of a node's calls to the table, to other VMs, to workers and to its job service.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use super::api::JobService;
use crate::error::Refusal;
use crate::message::{Reply, Request};
use crate::metrics::{Counter, Metrics, Timer};
use crate::model::{JobId, JobSpec, JobView, WorkerInfo};
use crate::port::BoxFuture;
use crate::port::peer::{PeerClient, PeerError, SharedPeerClient};
use crate::port::table::{Row, SharedTable, Table, TableError, Txn};
use crate::port::worker::{
    SharedWorkerClient, SyncRequest, SyncResponse, WorkerClient, WorkerError,
};

/// Wraps a port, and counts and times its calls.
pub struct Metered<T> {
    inner: T,
    metrics: Metrics,
}

impl<T> Metered<T> {
    /// Wraps `inner` and sends the metrics of its calls to `metrics`.
    pub fn new(inner: T, metrics: &Metrics) -> Self {
        Self {
            inner,
            metrics: metrics.clone(),
        }
    }

    fn count_read<A>(&self, read: &Result<A, TableError>) {
        self.metrics.count(Counter::TableReads, 1);
        if read.is_err() {
            self.metrics.count(Counter::TableErrors, 1);
        }
    }
}

impl Table for Metered<SharedTable> {
    fn commit<'a>(&'a self, txn: &'a Txn) -> BoxFuture<'a, Result<(), TableError>> {
        Box::pin(async move {
            let began = Instant::now();
            let committed = self.inner.commit(txn).await;
            self.metrics.time(Timer::TableCommitTime, began.elapsed());
            let counter = match &committed {
                Ok(()) => Counter::TableCommits,
                Err(TableError::Conflict { .. }) => Counter::TableConflicts,
                Err(_) => Counter::TableErrors,
            };
            self.metrics.count(counter, 1);
            committed
        })
    }

    fn read<'a>(&'a self, key: &'a str) -> BoxFuture<'a, Result<Option<Row>, TableError>> {
        Box::pin(async move {
            let read = self.inner.read(key).await;
            self.count_read(&read);
            read
        })
    }

    fn scan<'a>(
        &'a self,
        prefix: &'a str,
        after: Option<&'a str>,
    ) -> BoxFuture<'a, Result<Vec<Row>, TableError>> {
        Box::pin(async move {
            let page = self.inner.scan(prefix, after).await;
            self.count_read(&page);
            page
        })
    }
}

impl PeerClient for Metered<SharedPeerClient> {
    fn call<'a>(
        &'a self,
        address: SocketAddr,
        request: &'a Request,
        timeout: Duration,
    ) -> BoxFuture<'a, Result<Reply, PeerError>> {
        Box::pin(async move {
            let began = Instant::now();
            let called = self.inner.call(address, request, timeout).await;
            self.metrics.time(Timer::PeerTime, began.elapsed());
            self.metrics.count(Counter::PeerRequests, 1);
            if called.is_err() {
                self.metrics.count(Counter::PeerErrors, 1);
            }
            called
        })
    }
}

impl WorkerClient for Metered<SharedWorkerClient> {
    fn sync<'a>(
        &'a self,
        worker: &'a WorkerInfo,
        call: &'a SyncRequest,
    ) -> BoxFuture<'a, Result<SyncResponse, WorkerError>> {
        Box::pin(async move {
            let answered = self.inner.sync(worker, call).await;
            self.metrics.count(Counter::WorkerCalls, 1);
            if answered.is_err() {
                self.metrics.count(Counter::WorkerErrors, 1);
            }
            answered
        })
    }
}

impl<J: JobService> JobService for Metered<Arc<J>> {
    fn submit(&self, spec: JobSpec, key: Option<String>) -> BoxFuture<'_, Result<JobId, Refusal>> {
        Box::pin(async move {
            let submitted = self.inner.submit(spec, key).await;
            let counter = match submitted {
                Ok(_) => Counter::JobsAccepted,
                Err(_) => Counter::JobsRefused,
            };
            self.metrics.count(counter, 1);
            submitted
        })
    }

    fn job<'a>(
        &'a self,
        job: &'a JobId,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<JobView>, Refusal>> {
        self.inner.job(job, wait)
    }

    fn cancel<'a>(&'a self, job: &'a JobId) -> BoxFuture<'a, Result<Option<JobView>, Refusal>> {
        self.inner.cancel(job)
    }
}
