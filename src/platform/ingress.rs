//! Callers' requests over HTTP.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HOST, HeaderValue, RETRY_AFTER};
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::wire;
use crate::adapter::http::{AnswerBody, Dropped, Limits, full, read_body, serve};
use crate::coordinator::gateway::{self, Gateway, GatewayResponse};
use crate::model::Resources;
use crate::workflow::record::WorkflowState;
use crate::workflow::{QueueRoute, Recurrence, StepSpec, WorkflowId, WorkflowSpec};

/// How long the caller waits, in milliseconds; a wire name that says when would mean a time of day.
const TIMEOUT_HEADER: &str = "chestnutlug-deadline-ms";

/// How long a caller is taken to wait that does not say so: the usual timeout of its queues.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// Where the platform asks whether this VM serves callers.
const READINESS_PATH: &str = "/chestnutlug/readyz";

/// Answers callers over HTTP.
#[derive(Clone)]
pub struct Ingress {
    gateway: Arc<Gateway>,
    stopping: Arc<AtomicBool>,
}

impl Ingress {
    /// Answers from `gateway`; callers are asked to reconnect elsewhere once `stopping` is set.
    pub fn new(gateway: Arc<Gateway>, stopping: Arc<AtomicBool>) -> Self {
        Self { gateway, stopping }
    }

    /// Serves `listener` until `stop`, then ends what is in progress within `drain`.
    pub async fn serve(
        self,
        listener: TcpListener,
        drain: Duration,
        stop: impl Future<Output = ()>,
    ) {
        let limits = Limits {
            drain,
            ..Limits::default()
        };
        let handler = move |req| {
            let ingress = self.clone();
            async move { Ok::<_, Dropped>(ingress.answer(req).await) }
        };
        serve(listener, limits, handler, stop).await;
    }

    async fn answer(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let mut res = self.respond(req).await;
        if self.stopping.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        res
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<AnswerBody> {
        let config = self.gateway.config();
        let Some(config) = config.as_ref() else {
            return refusal();
        };
        let host = req.headers().get(HOST).and_then(|host| host.to_str().ok());
        let host = host.unwrap_or_default().to_owned();
        let path = req.uri().path().to_owned();
        let Some((route, rest)) = config.route(&host, &path) else {
            return empty(StatusCode::NOT_FOUND);
        };
        let limit = timeout(&req);
        if rest.is_empty() && req.method() == Method::GET {
            let answer = self.gateway.pending(&route.queue.name, limit).await;
            return response(answer);
        }
        let Ok(id) = rest.parse::<WorkflowId>() else {
            return empty(StatusCode::NOT_FOUND);
        };
        let answer = match *req.method() {
            Method::GET => self.gateway.state(id, limit).await,
            Method::DELETE => self.gateway.cancel(id, limit).await,
            Method::POST => {
                let most = config.limits.max_body_bytes;
                let body = match read_body(req.into_body(), most).await {
                    Ok(body) => body,
                    Err(status) => return empty(status),
                };
                match workflow(route, &body) {
                    Ok(spec) => self.gateway.submit(id, spec, limit).await,
                    Err(reason) => {
                        tracing::info!(request = %id, reason, "a submission cannot be read");
                        return text(StatusCode::BAD_REQUEST, reason);
                    }
                }
            }
            _ => return empty(StatusCode::METHOD_NOT_ALLOWED),
        };
        response(answer)
    }
}

/// Answers the platform's question whether this VM serves callers, until `stop`.
pub async fn serve_readiness(
    listener: TcpListener,
    gateway: Arc<Gateway>,
    stopping: Arc<AtomicBool>,
    stop: impl Future<Output = ()>,
) {
    let handler = move |req: Request<Incoming>| {
        let ready = gateway.is_ready() && !stopping.load(Ordering::Relaxed);
        let status = match (req.uri().path() == READINESS_PATH, ready) {
            (false, _) => StatusCode::NOT_FOUND,
            (true, true) => StatusCode::OK,
            (true, false) => StatusCode::SERVICE_UNAVAILABLE,
        };
        async move { Ok::<_, Dropped>(empty(status)) }
    };
    serve(listener, Limits::default(), handler, stop).await;
}

fn timeout(req: &Request<Incoming>) -> Duration {
    let header = req.headers().get(TIMEOUT_HEADER);
    let ms = header.and_then(|value| value.to_str().ok()?.parse().ok());
    ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

/// Reads a submission as a workflow.
fn workflow(route: &QueueRoute, body: &[u8]) -> Result<WorkflowSpec, String> {
    let submission: wire::Submission =
        serde_json::from_slice(body).map_err(|error| error.to_string())?;
    let recurrence = (submission.repeat_count > 0).then_some(Recurrence {
        count: submission.repeat_count,
        first_unix_ms: submission.first_run_ms,
        interval_ms: submission.interval_ms,
    });
    let spec = WorkflowSpec {
        queue: route.queue.clone(),
        payload: submission.spec,
        steps: submission.phases.into_iter().map(step).collect(),
        recurrence,
    };
    spec.check().map_err(|error| error.to_string())?;
    Ok(spec)
}

fn step(phase: wire::Phase) -> StepSpec {
    let present = |text: Option<String>| text.filter(|text| !text.is_empty());
    StepSpec {
        tasks: phase.count,
        need: Resources {
            cpu_milli: phase.cpu,
            memory_mib: phase.mem_mb,
            accelerators: phase.gpu,
        },
        estimate_ms: phase.est_ms,
        depends_on: phase.after,
        checkpointable: phase.checkpointing,
        gang: phase.gang,
        same_rack: phase.same_rack,
        required_label: present(phase.requires),
        data_rack: present(phase.affinity),
        max_per_worker: phase.anti_affinity.filter(|most| *most > 0),
        speculative: phase.speculative,
        long_running: phase.long_running,
        best_effort: phase.fills,
        max_unavailable: phase.lossy,
    }
}

fn response(answer: GatewayResponse) -> Response<AnswerBody> {
    match answer {
        GatewayResponse::Accepted | GatewayResponse::Cancelled => json(&serde_json::json!({})),
        GatewayResponse::State(state) => json(&wire::State {
            state: state_name(state),
        }),
        GatewayResponse::Pending(pending) => json(&wire::Pending { pending }),
        GatewayResponse::NoSuchWorkflow => empty(StatusCode::GONE),
        GatewayResponse::NotRun => refusal(),
        GatewayResponse::Unknown => empty(StatusCode::GATEWAY_TIMEOUT),
    }
}

fn state_name(state: WorkflowState) -> &'static str {
    match state {
        WorkflowState::Queued => "queued",
        WorkflowState::Running => "running",
        WorkflowState::Complete => "complete",
        WorkflowState::Failed => "failed",
        WorkflowState::Cancelled => "canceled",
    }
}

/// Says that nothing runs, and when to come back.
fn refusal() -> Response<AnswerBody> {
    let mut res = empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = HeaderValue::from(gateway::RETRY_AFTER.as_secs());
    res.headers_mut().insert(RETRY_AFTER, seconds);
    res
}

fn json<T: serde::Serialize>(value: &T) -> Response<AnswerBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut res = Response::new(full(Bytes::from(bytes)));
            let json = HeaderValue::from_static("application/json");
            res.headers_mut().insert(CONTENT_TYPE, json);
            res
        }
        Err(error) => {
            tracing::error!(%error, "an answer cannot be written");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Response<AnswerBody> {
    text(status, String::new())
}

fn text(status: StatusCode, reason: String) -> Response<AnswerBody> {
    let mut res = Response::new(full(reason));
    *res.status_mut() = status;
    res
}
