//! Requests to services.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use hyper::body::Incoming;
use hyper::header::{self, HeaderMap, HeaderName, HeaderValue};
use hyper::{Method, Request, Response, Uri, Version};

use super::Body;
use super::attempt::{Answered, Failed, LEAVING, send};
use super::backends::Backends;
use super::budget::RetryBudget;
use super::relay::relay;
use super::upload::Upload;
use crate::config::{BackendConfig, ServiceConfig};
use crate::error::Refusal;
use crate::model::{BackendName, ServiceName};
use crate::node::slots::{GrantedSlot, SlotRequest, SlotService};

/// The most attempts of one request, those included of which nothing was sent.
const MAX_ATTEMPTS: usize = 4;

/// The header of a caller that makes its request idempotent.
pub(super) const IDEMPOTENCY_KEY: &str = "idempotency-key";

/// Headers that concern one connection only.
const HOP_BY_HOP: [&str; 9] = [
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

/// Sends requests to backend servers and passes their answers on.
pub(super) struct Proxy {
    slots: Arc<SlotService>,
    backends: Arc<Backends>,
    budgets: Mutex<HashMap<ServiceName, RetryBudget>>,
}

/// A request as it is sent to backend servers.
struct Outgoing<'a> {
    service: &'a ServiceName,
    method: Method,
    uri: Uri,
    headers: HeaderMap,
    upload: Upload,
    idempotent: bool,
    deadline: Instant,
    tried: Vec<BackendName>,
}

/// How one attempt ended.
enum Attempt {
    /// With an answer for the caller.
    Answered(Response<Body>),
    /// With nothing sent, or with a failure after which the request may be sent again.
    Again(Refusal),
    /// For good.
    Refused(Refusal),
}

impl Proxy {
    pub(super) fn new(slots: Arc<SlotService>, max_vms: u32) -> Self {
        Self {
            slots,
            backends: Arc::new(Backends::new(max_vms)),
            budgets: Mutex::default(),
        }
    }

    /// Whether services are known.
    pub(super) fn is_ready(&self) -> bool {
        self.slots.is_ready()
    }

    /// Closes connections that were idle for long.
    pub(super) fn close_old(&self) {
        self.backends.close_old();
    }

    /// Sends `req` to a backend server of `service` under the path and query `path`.
    pub(super) async fn forward(
        &self,
        service: &ServiceName,
        path: &str,
        req: Request<Incoming>,
    ) -> Result<Response<Body>, Refusal> {
        let described = self.describe(service)?;
        let deadline = Instant::now() + Duration::from_millis(described.timeout_ms);
        let uri = path.parse::<Uri>();
        let uri = uri.map_err(|e| Refusal::not_run("bad_request", format!("the path: {e}")))?;
        let (head, body) = req.into_parts();
        let upload = Upload::read(body, described.max_body_bytes, deadline).await?;
        let outgoing = Outgoing {
            service,
            method: head.method,
            uri,
            idempotent: described.idempotent || head.headers.contains_key(IDEMPOTENCY_KEY),
            headers: forwarded_headers(head.headers),
            upload,
            deadline,
            tried: Vec::new(),
        };
        self.with_budget(service, RetryBudget::earn);
        self.run(outgoing).await
    }

    fn describe(&self, service: &ServiceName) -> Result<ServiceConfig, Refusal> {
        let cfg = self.slots.config();
        let described = cfg.service.get(service).cloned();
        described.ok_or_else(|| {
            let reason = format!("there is no service `{service}`");
            Refusal::not_run("unknown_service", reason)
        })
    }

    async fn run(&self, mut outgoing: Outgoing<'_>) -> Result<Response<Body>, Refusal> {
        // What the caller is told where no further attempt is made.
        let mut last: Option<Refusal> = None;
        for _ in 0..MAX_ATTEMPTS {
            let ask = SlotRequest {
                service: outgoing.service,
                deadline: outgoing.deadline,
                tried: &outgoing.tried,
            };
            let slot = match self.slots.acquire(&ask).await {
                Ok(slot) => slot,
                Err(refusal) => return Err(last.unwrap_or(refusal)),
            };
            match self.attempt(&mut outgoing, slot).await {
                Attempt::Answered(response) => return Ok(response),
                Attempt::Refused(refusal) => return Err(refusal),
                Attempt::Again(refusal) => last = Some(worse(last, refusal)),
            }
        }
        let none = || Refusal::not_run("no_backend", "no backend server took the request");
        Err(last.unwrap_or_else(none))
    }

    async fn attempt(&self, outgoing: &mut Outgoing<'_>, slot: GrantedSlot) -> Attempt {
        let name = slot.backend().clone();
        let Some(backend) = self.slots.config().backend.get(&name).cloned() else {
            let reason = format!("the backend server `{name}` is not configured here yet");
            return Attempt::Again(Refusal::not_run("no_backend", reason).retry_after(1_000));
        };
        let connection = match self
            .backends
            .connect(backend.address, slot.deadline())
            .await
        {
            Ok(connection) => connection,
            Err(error) => {
                outgoing.tried.push(name.clone());
                slot.release_unreachable();
                let reason = format!("the backend server `{name}` cannot be reached: {error}");
                return Attempt::Again(Refusal::not_run("unreachable", reason).retry_after(1_000));
            }
        };
        let Some(body) = outgoing.upload.body() else {
            let reason = "the body was sent before and cannot be sent again";
            return Attempt::Refused(Refusal::unknown("no_answer", reason));
        };
        let req = outgoing.request(&backend, body);
        let Some(slot) = slot.activate() else {
            outgoing.upload.restore(req.into_body());
            self.backends.keep(connection, &backend);
            let refusal = Refusal::not_run("grant_lapsed", "the slot was no longer valid");
            return Attempt::Again(refusal.retry_after(1_000));
        };
        outgoing.tried.push(name.clone());
        match send(req, connection, slot).await {
            Ok(answered) => self.answered(outgoing, answered, &backend),
            Err(failed) => self.failed(outgoing, failed, &name),
        }
    }

    fn answered(
        &self,
        outgoing: &Outgoing<'_>,
        answered: Answered,
        backend: &BackendConfig,
    ) -> Attempt {
        let status = answered.response.status();
        if matches!(status.as_u16(), 502..=504) && self.may_repeat(outgoing) {
            drop(answered.connection);
            answered.slot.release_aborted(answered.used);
            let reason = format!("a backend server answered with {status}");
            return Attempt::Again(Refusal::unknown("backend_failed", reason));
        }
        let mut response = relay(answered, &self.backends, backend);
        strip(response.headers_mut());
        response.headers_mut().remove(LEAVING);
        *response.version_mut() = Version::HTTP_11;
        Attempt::Answered(response)
    }

    fn failed(&self, outgoing: &mut Outgoing<'_>, failed: Failed, name: &BackendName) -> Attempt {
        let refusal = match failed {
            Failed::NotSent(body) => {
                outgoing.upload.restore(body);
                let reason = format!("the connection to `{name}` closed before the request");
                return Attempt::Again(Refusal::not_run("unreachable", reason).retry_after(1_000));
            }
            Failed::Broken(_) if outgoing.upload.was_too_large() => {
                let reason = "the request's body is larger than allowed; a part of it was sent";
                return Attempt::Refused(Refusal::unknown("body_too_large", reason));
            }
            Failed::Broken(cause) => {
                let reason = format!("`{name}` took the request and gave no answer: {cause}");
                Refusal::unknown("no_answer", reason)
            }
            Failed::Late => {
                let reason = format!("`{name}` gave no answer in time");
                return Attempt::Refused(Refusal::unknown("no_answer_in_time", reason));
            }
        };
        match self.may_repeat(outgoing) {
            true => Attempt::Again(refusal),
            false => Attempt::Refused(refusal),
        }
    }

    /// Whether a request that was sent may be sent again; takes the retry out of the budget.
    fn may_repeat(&self, outgoing: &Outgoing<'_>) -> bool {
        outgoing.idempotent
            && outgoing.upload.is_replayable()
            && outgoing.tried.len() < MAX_ATTEMPTS
            && self.with_budget(outgoing.service, RetryBudget::spend)
    }

    fn with_budget<T>(&self, service: &ServiceName, f: impl FnOnce(&mut RetryBudget) -> T) -> T {
        let mut budgets = self.budgets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(budget) = budgets.get_mut(service) {
            return f(budget);
        }
        f(budgets.entry(service.clone()).or_default())
    }
}

impl Outgoing<'_> {
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

/// What the caller is told after several attempts: once one was sent, its end stays unknown.
fn worse(last: Option<Refusal>, refusal: Refusal) -> Refusal {
    use crate::error::Certainty;
    match last {
        Some(last) if last.certainty == Certainty::Unknown => last,
        _ => refusal,
    }
}

/// The headers that are passed on; the body's length is worked out anew.
fn forwarded_headers(mut headers: HeaderMap) -> HeaderMap {
    strip(&mut headers);
    headers.remove(header::HOST);
    headers.remove(header::CONTENT_LENGTH);
    headers.remove(header::EXPECT);
    headers
}

/// Removes the headers that concern one connection only.
fn strip(headers: &mut HeaderMap) {
    let listed = headers.get_all(header::CONNECTION).iter();
    let listed = listed.filter_map(|value| value.to_str().ok());
    let named = listed.flat_map(|value| value.split(','));
    let named = named.filter_map(|name| HeaderName::try_from(name.trim()).ok());
    for name in named.collect::<Vec<_>>() {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(name);
    }
}
