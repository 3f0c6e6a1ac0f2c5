//! Forwarding of requests to the backend servers of services.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri, Version};

use super::Body;
use super::attempt::{BackendResponse, DRAINING_HEADER, SendError, send};
use super::connection_pool::ConnectionPool;
use super::request_body::RequestBody;
use super::retry_budget::RetryBudget;
use super::streamed_response_body::stream_response;
use crate::config::{BackendConfig, ServiceConfig};
use crate::error::Refusal;
use crate::model::{BackendName, ServiceName};
use crate::node::slots::{GrantedSlot, SlotRequest, SlotService};

/// Maximum number of attempts per request, including those in which nothing was sent.
const MAX_ATTEMPTS: usize = 4;

/// The request header by which a caller declares its request to be idempotent.
pub(super) const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Headers that apply to a single connection only.
const HOP_BY_HOP_HEADERS: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Forwards requests to backend servers and returns their responses.
pub(super) struct Proxy {
    slots: Arc<SlotService>,
    pool: Arc<ConnectionPool>,
    retry_budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

/// A request in the form in which it is sent to backend servers.
struct ForwardedRequest<'a> {
    service: &'a ServiceName,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    body: RequestBody,
    idempotent: bool,
    deadline: Instant,
    tried: Vec<BackendName>,
}

/// The outcome of an attempt.
enum AttemptOutcome {
    /// A response for the caller.
    Responded(Response<Body>),
    /// Nothing was sent, or the attempt failed and the request may be sent again.
    Retry(Refusal),
    /// The request is refused without a further attempt.
    Refused(Refusal),
}

impl Proxy {
    pub(super) fn new(slots: Arc<SlotService>, max_vms: u32) -> Self {
        Self {
            slots,
            pool: Arc::new(ConnectionPool::new(max_vms)),
            retry_budgets: Mutex::default(),
        }
    }

    /// Whether the configured services are known.
    pub(super) fn is_ready(&self) -> bool {
        self.slots.is_ready()
    }

    /// Closes the idle connections whose idle timeout has passed.
    pub(super) fn close_expired_connections(&self) {
        self.pool.close_expired();
    }

    /// Sends `req` to a backend server of `service`, with `path` as its path and query.
    pub(super) async fn forward(
        &self,
        service: &ServiceName,
        path: &str,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let service_cfg = self.service_config(service)?;
        let deadline = Instant::now() + Duration::from_millis(service_cfg.timeout_ms);
        let uri = path.parse::<Uri>();
        let uri = uri.map_err(|e| Refusal::not_run("bad_request", format!("the path: {e}")))?;
        let (head, body) = req.into_parts();
        let body = RequestBody::read(body, service_cfg.max_body_bytes, deadline).await?;
        let forwarded = ForwardedRequest {
            service,
            method: head.method,
            uri,
            idempotent: service_cfg.idempotent || head.headers.contains_key(IDEMPOTENCY_KEY_HEADER),
            headers: forwarded_headers(head.headers),
            body,
            deadline,
            tried: Vec::new(),
        };
        self.with_retry_budget(service, RetryBudget::deposit);
        self.send_with_retries(forwarded).await
    }

    fn service_config(&self, service: &ServiceName) -> Result<ServiceConfig, Refusal> {
        let cfg = self.slots.config();
        let service_cfg = cfg.service.get(service).cloned();
        service_cfg.ok_or_else(|| {
            let reason = format!("there is no service `{service}`");
            Refusal::not_run("unknown_service", reason)
        })
    }

    async fn send_with_retries(
        &self,
        mut forwarded: ForwardedRequest<'_>,
    ) -> Result<Response<Body>, Refusal> {
        // The refusal that the caller gets if there is no further attempt.
        let mut last: Option<Refusal> = None;
        for _ in 0..MAX_ATTEMPTS {
            let slot_req = SlotRequest {
                service: forwarded.service,
                deadline: forwarded.deadline,
                tried: &forwarded.tried,
            };
            let slot = match self.slots.acquire(&slot_req).await {
                Ok(slot) => slot,
                Err(refusal) => return Err(last.unwrap_or(refusal)),
            };
            match self.attempt(&mut forwarded, slot).await {
                AttemptOutcome::Responded(response) => return Ok(response),
                AttemptOutcome::Refused(refusal) => return Err(refusal),
                AttemptOutcome::Retry(refusal) => last = Some(less_certain(last, refusal)),
            }
        }
        let no_backend = || Refusal::not_run("no_backend", "no backend server took the request");
        Err(last.unwrap_or_else(no_backend))
    }

    async fn attempt(
        &self,
        forwarded: &mut ForwardedRequest<'_>,
        slot: GrantedSlot,
    ) -> AttemptOutcome {
        let name = slot.backend().clone();
        let Some(backend) = self.slots.config().backend.get(&name).cloned() else {
            let reason = format!("the backend server `{name}` is not configured here yet");
            return AttemptOutcome::Retry(
                Refusal::not_run("no_backend", reason).retry_after(1_000),
            );
        };
        let connection = match self.pool.connect(backend.address, slot.deadline()).await {
            Ok(connection) => connection,
            Err(error) => {
                forwarded.tried.push(name.clone());
                slot.release_unreachable();
                let reason = format!("the backend server `{name}` cannot be reached: {error}");
                return AttemptOutcome::Retry(
                    Refusal::not_run("unreachable", reason).retry_after(1_000),
                );
            }
        };
        let Some(body) = forwarded.body.for_attempt() else {
            let reason = "the body was sent before and cannot be sent again";
            return AttemptOutcome::Refused(Refusal::unknown("no_answer", reason));
        };
        let req = forwarded.request(&backend, body);
        let Some(slot) = slot.activate() else {
            forwarded.body.restore(req.into_body());
            self.pool.put_back(connection, &backend);
            let refusal = Refusal::not_run("grant_lapsed", "the slot was no longer valid");
            return AttemptOutcome::Retry(refusal.retry_after(1_000));
        };
        forwarded.tried.push(name.clone());
        match send(req, connection, slot).await {
            Ok(received) => self.handle_response(forwarded, received, &backend),
            Err(error) => self.handle_error(forwarded, error, &name),
        }
    }

    fn handle_response(
        &self,
        forwarded: &ForwardedRequest<'_>,
        received: BackendResponse,
        backend: &BackendConfig,
    ) -> AttemptOutcome {
        let status = received.response.status();
        if matches!(status.as_u16(), 502..=504) && self.take_retry(forwarded) {
            drop(received.connection);
            received.slot.release_aborted(received.usage);
            let reason = format!("a backend server answered with {status}");
            return AttemptOutcome::Retry(Refusal::unknown("backend_failed", reason));
        }
        let mut response = stream_response(received, &self.pool, backend);
        remove_hop_by_hop_headers(response.headers_mut());
        response.headers_mut().remove(DRAINING_HEADER);
        *response.version_mut() = Version::HTTP_11;
        AttemptOutcome::Responded(response)
    }

    fn handle_error(
        &self,
        forwarded: &mut ForwardedRequest<'_>,
        error: SendError,
        name: &BackendName,
    ) -> AttemptOutcome {
        let refusal = match error {
            SendError::NotSent(body) => {
                forwarded.body.restore(body);
                let reason = format!("the connection to `{name}` closed before the request");
                return AttemptOutcome::Retry(
                    Refusal::not_run("unreachable", reason).retry_after(1_000),
                );
            }
            SendError::ConnectionLost(_) if forwarded.body.was_too_large() => {
                let reason = "the request's body is larger than allowed; a part of it was sent";
                return AttemptOutcome::Refused(Refusal::unknown("body_too_large", reason));
            }
            SendError::ConnectionLost(cause) => {
                let reason = format!("`{name}` took the request and gave no answer: {cause}");
                Refusal::unknown("no_answer", reason)
            }
            SendError::TimedOut => {
                let reason = format!("`{name}` gave no answer in time");
                return AttemptOutcome::Refused(Refusal::unknown("no_answer_in_time", reason));
            }
        };
        match self.take_retry(forwarded) {
            true => AttemptOutcome::Retry(refusal),
            false => AttemptOutcome::Refused(refusal),
        }
    }

    /// Returns whether a request that was sent may be sent again. If so, takes the retry from the
    /// budget.
    fn take_retry(&self, forwarded: &ForwardedRequest<'_>) -> bool {
        forwarded.idempotent
            && forwarded.body.is_replayable()
            && forwarded.tried.len() < MAX_ATTEMPTS
            && self.with_retry_budget(forwarded.service, RetryBudget::try_withdraw)
    }

    fn with_retry_budget<T>(
        &self,
        service: &ServiceName,
        f: impl FnOnce(&mut RetryBudget) -> T,
    ) -> T {
        let mut budgets = self
            .retry_budgets
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        if let Some(budget) = budgets.get_mut(service) {
            return f(budget);
        }
        f(budgets.entry(service.clone()).or_default())
    }
}

impl ForwardedRequest<'_> {
    fn request(&self, backend: &BackendConfig, body: Body) -> Request<Body> {
        let mut req = Request::new(body);
        *req.method_mut() = self.method.clone();
        *req.uri_mut() = self.uri.clone();
        *req.headers_mut() = self.headers.clone();
        if let Ok(host) = HeaderValue::try_from(backend.address.to_string()) {
            req.headers_mut().insert(header::HOST, host);
        }
        req
    }
}

/// Returns the refusal for the caller after several attempts: if the outcome of an earlier attempt
/// is unknown, the outcome of the request remains unknown.
fn less_certain(last: Option<Refusal>, refusal: Refusal) -> Refusal {
    use crate::error::Certainty;
    match last {
        Some(last) if last.certainty == Certainty::Unknown => last,
        _ => refusal,
    }
}

/// Returns the headers to forward. hyper sets the length again from the forwarded body.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    remove_hop_by_hop_headers(&mut headers);
    headers.remove(header::HOST);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers
}

/// Removes the headers that apply to a single connection only.
fn remove_hop_by_hop_headers(headers: &mut HeaderMap) {
    let values = headers.get_all(header::CONNECTION).iter();
    let values = values.filter_map(|value| value.to_str().ok());
    let names = values.flat_map(|value| value.split(','));
    let names = names.filter_map(|name| HeaderName::try_from(name.trim()).ok());
    for name in names.collect::<Vec<_>>() {
        headers.remove(name);
    }
    for name in HOP_BY_HOP_HEADERS {
        headers.remove(name);
    }
}
