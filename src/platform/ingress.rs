//! The HTTP server for callers, and the readiness endpoint.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use bytes::Bytes;
use hyper::body::Incoming;
use hyper::header::{
    AUTHORIZATION, CONNECTION, CONTENT_TYPE, HOST, HeaderMap, HeaderValue, RETRY_AFTER,
    WWW_AUTHENTICATE,
};
use hyper::{Method, Request, Response, StatusCode};
use tokio::net::TcpListener;

use super::wire;
use crate::adapter::http::{
    ResponseBody, ResponseDropped, ServerLimits, full_body, read_body, serve,
};
use crate::coordinator::gateway::{self, Gateway, GatewayResponse};
use crate::model::Resources;
use crate::workflow::record::WorkflowState;
use crate::workflow::{Access, QueueRoute, Recurrence, StepSpec, WorkflowId, WorkflowSpec};

/// The header with the caller's timeout in milliseconds. Despite the name, it is a duration and not a
/// point in time.
const TIMEOUT_HEADER: &str = "chestnutlug-deadline-ms";

/// The timeout of a request without the header: the usual timeout of callers of the queues.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(3);

/// The path on which the platform checks whether this VM serves callers.
const READINESS_PATH: &str = "/chestnutlug/readyz";

/// Serves the requests of callers over HTTP.
#[derive(Clone)]
pub struct Ingress {
    gateway: Arc<Gateway>,
    stopping: Arc<AtomicBool>,
}

impl Ingress {
    /// A server that handles requests through `gateway`. Once `stopping` is set, responses close the
    /// connection, so that callers reconnect to another VM.
    pub fn new(gateway: Arc<Gateway>, stopping: Arc<AtomicBool>) -> Self {
        Self { gateway, stopping }
    }

    /// Serves `listener` until `stop`, then lets requests in progress finish within
    /// `drain_timeout`.
    pub async fn serve(
        self,
        listener: TcpListener,
        drain_timeout: Duration,
        stop: impl Future<Output = ()>,
    ) {
        let limits = ServerLimits {
            drain_timeout,
            ..ServerLimits::default()
        };
        let handler = move |req| {
            let ingress = self.clone();
            async move { Ok::<_, ResponseDropped>(ingress.handle(req).await) }
        };
        serve(listener, limits, handler, stop).await;
    }

    async fn handle(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let mut res = self.respond(req).await;
        if self.stopping.load(Ordering::Relaxed) {
            let close = HeaderValue::from_static("close");
            res.headers_mut().insert(CONNECTION, close);
        }
        res
    }

    async fn respond(&self, req: Request<Incoming>) -> Response<ResponseBody> {
        let Some(config) = self.gateway.config() else {
            return refusal(gateway::RETRY_AFTER);
        };
        let host = req.headers().get(HOST).and_then(|host| host.to_str().ok());
        let host = host.unwrap_or_default().to_owned();
        let path = req.uri().path().to_owned();
        let Some((route, rest)) = config.queues().route(&host, &path) else {
            return empty(StatusCode::NOT_FOUND);
        };
        let key = caller_key(req.headers());
        let Some(access) = self.gateway.authorize(&config, route, key) else {
            return unauthorized();
        };
        let timeout = caller_timeout(&req);
        if rest.is_empty() && req.method() == Method::GET {
            let pending = self.gateway.pending(&route.queue.name, timeout).await;
            return http_response(pending);
        }
        let Ok(id) = rest.parse::<WorkflowId>() else {
            return empty(StatusCode::NOT_FOUND);
        };
        let response = match *req.method() {
            Method::GET => self.gateway.state(id, &access, timeout).await,
            Method::DELETE => self.gateway.cancel(id, &access, timeout).await,
            Method::POST => {
                let max_bytes = config.queues().limits.max_body_bytes;
                let body = match read_body(req.into_body(), max_bytes).await {
                    Ok(body) => body,
                    Err(status) => return empty(status),
                };
                let spec = match parse_submission(route, &access, &body) {
                    Ok(spec) => spec,
                    Err(reason) => {
                        tracing::info!(request = %id, reason,
                            "invalid workflow submission; responding with status 400");
                        return text(StatusCode::BAD_REQUEST, reason);
                    }
                };
                if let Err(error) = self.gateway.check_limit(&config, id, &spec) {
                    return text(StatusCode::BAD_REQUEST, error.to_string());
                }
                self.gateway.submit(id, spec, &access, timeout).await
            }
            _ => return empty(StatusCode::METHOD_NOT_ALLOWED),
        };
        http_response(response)
    }
}

/// Serves the readiness endpoint of the platform until `stop`.
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
        async move { Ok::<_, ResponseDropped>(empty(status)) }
    };
    serve(listener, ServerLimits::default(), handler, stop).await;
}

fn caller_timeout(req: &Request<Incoming>) -> Duration {
    let header = req.headers().get(TIMEOUT_HEADER);
    let ms = header.and_then(|value| value.to_str().ok()?.parse().ok());
    ms.map_or(DEFAULT_TIMEOUT, Duration::from_millis)
}

/// The key of a caller, from the header `Authorization: Bearer KEY`. The name of the scheme may have any
/// case.
fn caller_key(headers: &HeaderMap) -> Option<&[u8]> {
    const SCHEME: &[u8] = b"bearer ";
    let value = headers.get(AUTHORIZATION)?.as_bytes();
    let (scheme, key) = value.split_at_checked(SCHEME.len())?;
    scheme
        .eq_ignore_ascii_case(SCHEME)
        .then(|| key.trim_ascii())
}

/// Parses a submission as a workflow of the caller's account.
fn parse_submission(
    route: &QueueRoute,
    access: &Access,
    body: &[u8],
) -> Result<WorkflowSpec, String> {
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
        account: access.account().cloned(),
    };
    spec.check().map_err(|error| error.to_string())?;
    Ok(spec)
}

fn step(phase: wire::Phase) -> StepSpec {
    let non_empty = |text: Option<String>| text.filter(|text| !text.is_empty());
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
        required_label: non_empty(phase.requires),
        data_rack: non_empty(phase.affinity),
        max_per_worker: phase.anti_affinity.filter(|max| *max > 0),
        speculative: phase.speculative,
        long_running: phase.long_running,
        best_effort: phase.fills,
        max_unavailable: phase.lossy,
    }
}

fn http_response(response: GatewayResponse) -> Response<ResponseBody> {
    match response {
        GatewayResponse::Accepted | GatewayResponse::Cancelled => json(&serde_json::json!({})),
        GatewayResponse::State(state) => json(&wire::State {
            state: state_name(state),
        }),
        GatewayResponse::Pending(pending) => json(&wire::Pending { pending }),
        GatewayResponse::NoSuchWorkflow => empty(StatusCode::GONE),
        GatewayResponse::OtherAccount => empty(StatusCode::FORBIDDEN),
        GatewayResponse::NotRun => refusal(gateway::RETRY_AFTER),
        GatewayResponse::RetryLater { retry_after_ms } => {
            refusal(Duration::from_millis(retry_after_ms))
        }
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

/// A response that the key of the call is missing or unknown.
fn unauthorized() -> Response<ResponseBody> {
    let mut res = empty(StatusCode::UNAUTHORIZED);
    let scheme = HeaderValue::from_static("Bearer");
    res.headers_mut().insert(WWW_AUTHENTICATE, scheme);
    res
}

/// A response that the request was not executed and may be retried after this time.
fn refusal(retry_after: Duration) -> Response<ResponseBody> {
    let mut res = empty(StatusCode::SERVICE_UNAVAILABLE);
    let seconds = HeaderValue::from(retry_after.as_millis().div_ceil(1_000) as u64);
    res.headers_mut().insert(RETRY_AFTER, seconds);
    res
}

fn json<T: serde::Serialize>(value: &T) -> Response<ResponseBody> {
    match serde_json::to_vec(value) {
        Ok(bytes) => {
            let mut res = Response::new(full_body(Bytes::from(bytes)));
            let json = HeaderValue::from_static("application/json");
            res.headers_mut().insert(CONTENT_TYPE, json);
            res
        }
        Err(error) => {
            tracing::error!(%error,
                "cannot serialize a response to a caller; responding with status 500");
            empty(StatusCode::INTERNAL_SERVER_ERROR)
        }
    }
}

fn empty(status: StatusCode) -> Response<ResponseBody> {
    text(status, String::new())
}

fn text(status: StatusCode, reason: String) -> Response<ResponseBody> {
    let mut res = Response::new(full_body(reason));
    *res.status_mut() = status;
    res
}
