//! Routes the jobs of callers to the owners of their shards, on this VM or another.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use super::api::{JobService, ShardDirectory};
use super::context::NodeContext;
use super::owner::{OwnerEvent, PartClient};
use crate::error::Refusal;
use crate::message::{PartCall, Reply, Request};
use crate::model::{JobId, JobSpec, JobView, Outcome, ShardName};
use crate::port::BoxFuture;
use crate::port::peer::PeerError;
use crate::shard::rows::{IdempotencyKey, JobRow, decode, job_key};

/// Timeout for finding a shard's owner and having it record a job or a cancellation.
const SUBMIT_TIMEOUT: Duration = Duration::from_secs(8);

/// Interval between two lookups of the owner.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(100);

/// Timeout of a call to an owner, in addition to the time for which the owner may delay its reply.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);

/// The longest time for which an owner delays one reply to wait for an event, such as a job's end.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// The retry delay in refusals because of a missing owner or configuration, in milliseconds.
const NO_OWNER_RETRY_MS: u64 = 1_000;

/// The maximum length of an idempotency key, in bytes.
const MAX_KEY_BYTES: usize = 256;

/// Routes jobs of the cell through one node.
pub struct JobRouter {
    context: Arc<NodeContext>,
}

/// Why an owner gave no reply.
pub(super) enum OwnerCallError {
    /// The owner did not execute the request.
    NotExecuted,
    /// The owner may have executed the request.
    OutcomeUnknown,
}

impl JobRouter {
    /// Creates a router for the node that `context` belongs to.
    pub fn new(context: Arc<NodeContext>) -> Self {
        Self { context }
    }

    fn validate(&self, spec: &JobSpec) -> Result<(), Refusal> {
        if !self.context.config.is_ready() {
            let refusal = Refusal::not_run("starting", "this VM has not learnt the configuration");
            return Err(refusal.retry_after(NO_OWNER_RETRY_MS));
        }
        let cfg = self.context.config.config();
        if !cfg.team.contains_key(&spec.team) {
            let reason = format!("there is no team `{}`", spec.team);
            return Err(Refusal::not_run("unknown_team", reason));
        }
        let Some(kind) = cfg.kind.get(&spec.kind) else {
            let reason = format!("there is no kind `{}`", spec.kind);
            return Err(Refusal::not_run("unknown_kind", reason));
        };
        if spec.urgency < kind.urgency {
            let reason = format!("kind `{}` may not be that urgent", spec.kind);
            return Err(Refusal::not_run("urgency_not_allowed", reason));
        }
        Ok(())
    }

    fn candidate_shards(&self, key: Option<&IdempotencyKey>) -> Result<Vec<ShardName>, Refusal> {
        let cfg = self.context.config.config();
        let mut shards: Vec<ShardName> = cfg.workers_by_shard().into_keys().collect();
        if shards.is_empty() {
            let refusal = Refusal::not_run("no_workers", "the configuration names no workers");
            return Err(refusal.retry_after(NO_OWNER_RETRY_MS));
        }
        let first = match key {
            Some(key) => xxh3_64(key.row.as_bytes()),
            None => rand::random(),
        };
        let len = shards.len() as u64;
        shards.rotate_left((first % len) as usize);
        if key.is_some() {
            shards.truncate(1);
        }
        Ok(shards)
    }

    async fn submit_to(
        &self,
        shard: &ShardName,
        spec: &JobSpec,
        key: Option<&IdempotencyKey>,
    ) -> Result<JobId, Refusal> {
        let job = JobId::new(shard, rand::random());
        let deadline = Instant::now() + SUBMIT_TIMEOUT;
        let mut outcome_unknown = false;
        while Instant::now() < deadline {
            let request = Request::Submit {
                job: job.clone(),
                spec: spec.clone(),
                key: key.cloned(),
            };
            match self.call_owner(shard, request, Duration::ZERO).await {
                Ok(Reply::Submitted { job }) => return Ok(job),
                Ok(Reply::Refused(refusal)) if !outcome_unknown => return Err(refusal),
                Ok(_) => {}
                Err(OwnerCallError::NotExecuted) => {}
                Err(OwnerCallError::OutcomeUnknown) => outcome_unknown = true,
            }
            tokio::time::sleep(LOOKUP_INTERVAL).await;
        }
        Err(match outcome_unknown {
            true => Refusal::unknown(
                "unrecorded",
                format!(
                    "whether job {job} was recorded is not known; read it, or submit again with the same idempotency key"
                ),
            ),
            false => no_owner_refusal(shard),
        })
    }

    async fn call_owner(
        &self,
        shard: &ShardName,
        request: Request,
        wait: Duration,
    ) -> Result<Reply, OwnerCallError> {
        let owner = self.context.directory.owner_of(shard);
        let Some(owner) = owner else {
            return Err(OwnerCallError::NotExecuted);
        };
        if owner.local {
            return self
                .call_local_owner(shard, request, wait + CALL_TIMEOUT)
                .await;
        }
        self.call_peer(owner.address, &request, wait + CALL_TIMEOUT)
            .await
    }

    async fn call_peer(
        &self,
        address: SocketAddr,
        request: &Request,
        timeout: Duration,
    ) -> Result<Reply, OwnerCallError> {
        let called = self.context.peers.call(address, request, timeout).await;
        match called {
            Ok(Reply::NotOwner) => Err(OwnerCallError::NotExecuted),
            Ok(reply) => Ok(reply),
            Err(PeerError::NoReply(_)) => Err(OwnerCallError::OutcomeUnknown),
            Err(PeerError::NotSent(_) | PeerError::Rejected(_)) => Err(OwnerCallError::NotExecuted),
        }
    }

    /// Calls the owner in this process.
    pub(super) async fn call_local_owner(
        &self,
        shard: &ShardName,
        request: Request,
        timeout: Duration,
    ) -> Result<Reply, OwnerCallError> {
        let Some(actor) = self.context.owned_shards.get(shard) else {
            return Err(OwnerCallError::NotExecuted);
        };
        let (tx, rx) = oneshot::channel();
        let Some(event) = event_of(request, tx) else {
            return Err(OwnerCallError::NotExecuted);
        };
        if actor.tell(event).await.is_err() {
            return Err(OwnerCallError::NotExecuted);
        }
        match tokio::time::timeout(timeout, rx).await {
            Ok(Ok(Reply::NotOwner)) | Ok(Err(_)) | Err(_) => Err(OwnerCallError::OutcomeUnknown),
            Ok(Ok(reply)) => Ok(reply),
        }
    }

    /// Handles a request of another VM that assumes this one owns `shard`.
    pub(super) async fn handle_peer_request(&self, shard: &ShardName, request: Request) -> Reply {
        let wait = match &request {
            Request::Job { wait_ms, .. } => Duration::from_millis(*wait_ms).min(MAX_WAIT),
            Request::Part { call, .. } => max_reply_delay(call),
            _ => Duration::ZERO,
        };
        match self
            .call_local_owner(shard, request, wait + CALL_TIMEOUT)
            .await
        {
            Ok(reply) => reply,
            Err(OwnerCallError::NotExecuted) => Reply::NotOwner,
            Err(OwnerCallError::OutcomeUnknown) => Reply::Refused(Refusal::unknown(
                "unanswered",
                "the shard's owner gave no answer",
            )),
        }
    }

    /// Reads the scheduling decisions on a job; `None` if there is no such job.
    ///
    /// # Errors
    ///
    /// Returns a refusal if the owner of the job's shard does not reply.
    pub async fn explain(&self, job: &JobId) -> Result<Option<Vec<String>>, Refusal> {
        let request = Request::Explain { job: job.clone() };
        match self.call_owner(&job.shard, request, Duration::ZERO).await {
            Ok(Reply::Explained(decisions)) => Ok((!decisions.is_empty()).then_some(decisions)),
            Ok(Reply::Refused(refusal)) => Err(refusal),
            _ => Err(no_owner_refusal(&job.shard)),
        }
    }

    async fn read_job_row(&self, job: &JobId) -> Result<Option<JobView>, Refusal> {
        let row = self.context.table.read(&job_key(job)).await;
        let row = row.map_err(|_| no_owner_refusal(&job.shard))?;
        let Some(row) = row else {
            return Ok(None);
        };
        let row: JobRow = decode(&row.value).map_err(|_| no_owner_refusal(&job.shard))?;
        Ok(Some(view_of(job, row)))
    }
}

impl JobService for JobRouter {
    fn submit(&self, spec: JobSpec, key: Option<String>) -> BoxFuture<'_, Result<JobId, Refusal>> {
        Box::pin(async move {
            self.validate(&spec)?;
            let key = key.map(|key| idempotency_key(&spec, &key)).transpose()?;
            let mut last_refusal = None;
            for shard in self.candidate_shards(key.as_ref())? {
                match self.submit_to(&shard, &spec, key.as_ref()).await {
                    Err(refusal) if may_retry_elsewhere(&refusal) => last_refusal = Some(refusal),
                    result => return result,
                }
            }
            Err(last_refusal.unwrap_or_else(|| Refusal::not_run("no_workers", "there is no shard")))
        })
    }

    fn job<'a>(
        &'a self,
        job: &'a JobId,
        wait: Duration,
    ) -> BoxFuture<'a, Result<Option<JobView>, Refusal>> {
        Box::pin(async move {
            let deadline = Instant::now() + wait;
            loop {
                let left = deadline.saturating_duration_since(Instant::now());
                let max_wait = left.min(MAX_WAIT);
                let request = Request::Job {
                    job: job.clone(),
                    wait_ms: u64::try_from(max_wait.as_millis()).unwrap_or(u64::MAX),
                };
                let view = match self.call_owner(&job.shard, request, max_wait).await {
                    Ok(Reply::Job(view)) => Ok(view),
                    Ok(Reply::Refused(refusal)) => Err(refusal),
                    _ => {
                        tokio::time::sleep(LOOKUP_INTERVAL.min(left)).await;
                        self.read_job_row(job).await
                    }
                };
                let ended = matches!(&view, Ok(Some(view)) if view.outcome.is_some());
                let absent = matches!(&view, Ok(None));
                if ended || absent || Instant::now() >= deadline {
                    return view;
                }
            }
        })
    }

    fn cancel<'a>(&'a self, job: &'a JobId) -> BoxFuture<'a, Result<Option<JobView>, Refusal>> {
        Box::pin(async move {
            let deadline = Instant::now() + SUBMIT_TIMEOUT;
            while Instant::now() < deadline {
                let request = Request::Cancel { job: job.clone() };
                match self.call_owner(&job.shard, request, Duration::ZERO).await {
                    Ok(Reply::Job(view)) => return Ok(view),
                    Ok(Reply::Refused(refusal)) => return Err(refusal),
                    _ => tokio::time::sleep(LOOKUP_INTERVAL).await,
                }
            }
            let reason = "whether the cancellation was recorded is not known";
            Err(Refusal::unknown("unrecorded", reason).retry_after(NO_OWNER_RETRY_MS))
        })
    }
}

impl PartClient for JobRouter {
    fn call<'a>(&'a self, part: &'a JobId, call: PartCall) -> BoxFuture<'a, Option<Reply>> {
        Box::pin(async move {
            let wait = max_reply_delay(&call);
            let request = Request::Part {
                part: part.clone(),
                call,
            };
            self.call_owner(&part.shard, request, wait).await.ok()
        })
    }
}

/// How long the owner of a part's shard may delay its reply.
fn max_reply_delay(call: &PartCall) -> Duration {
    match call {
        PartCall::Reserve { wait_ms, .. } | PartCall::Follow { wait_ms, .. } => {
            Duration::from_millis(*wait_ms).min(MAX_WAIT)
        }
        PartCall::Release => Duration::ZERO,
    }
}

fn event_of(request: Request, tx: oneshot::Sender<Reply>) -> Option<OwnerEvent> {
    match request {
        Request::Submit { job, spec, key } => Some(OwnerEvent::Submit { job, spec, key, tx }),
        Request::Job { job, wait_ms } => {
            let wait = Duration::from_millis(wait_ms).min(MAX_WAIT);
            Some(OwnerEvent::Query { job, wait, tx })
        }
        Request::Cancel { job } => Some(OwnerEvent::Cancel { job, tx }),
        Request::Explain { job } => Some(OwnerEvent::Explain { job, tx }),
        Request::Part { part, call } => Some(OwnerEvent::CallPart { part, call, tx }),
        _ => None,
    }
}

fn idempotency_key(spec: &JobSpec, key: &str) -> Result<IdempotencyKey, Refusal> {
    let printable = key.bytes().all(|b| b.is_ascii_graphic() && b != b'/');
    if key.is_empty() || key.len() > MAX_KEY_BYTES || !printable {
        let reason = format!(
            "an idempotency key has 1 to {MAX_KEY_BYTES} visible ASCII characters without `/`"
        );
        return Err(Refusal::not_run("malformed_key", reason));
    }
    let body =
        postcard::to_stdvec(spec).map_err(|e| Refusal::not_run("malformed_job", e.to_string()))?;
    Ok(IdempotencyKey {
        row: format!("key/{}/{key}", spec.team),
        digest: xxh3_64(&body),
    })
}

/// Whether another shard may accept a job that one shard refused.
fn may_retry_elsewhere(refusal: &Refusal) -> bool {
    refusal.certainty == crate::error::Certainty::NotRun
        && matches!(
            refusal.code.as_str(),
            "queue_full" | "never_fits" | "no_owner" | "stopping" | "balance_spent"
        )
}

fn no_owner_refusal(shard: &ShardName) -> Refusal {
    let reason = format!("shard {shard} has no owner that answers");
    Refusal::not_run("no_owner", reason).retry_after(NO_OWNER_RETRY_MS)
}

fn view_of(job: &JobId, row: JobRow) -> JobView {
    let ended = match row.outcome {
        Some(_) => row.spec.tasks,
        None => 0,
    };
    let outcome: Option<Outcome> = row.outcome;
    JobView {
        id: job.to_string(),
        outcome,
        reason: row.reason,
        queued: row.spec.tasks - ended,
        running: 0,
        ended,
        waiting_for: (ended == 0).then(|| "the shard's owner".to_owned()),
        results: row.results,
    }
}
