//! Handling of one request of a caller, from its head to its response.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;

use super::admission::{AdmissionController, RequestGuard, ServerPhase};
use super::jobs;
use super::limits::EntryLimits;
use super::problem::refusal_response;
use super::proxy::Proxy;
use super::request_target::RequestTarget;
use super::{Body, BodyError};
use crate::error::{Certainty, Refusal};
use crate::metrics::{Counter, Metrics, Timer};
use crate::node::api::JobService;

/// Handles the requests of all connections.
pub(super) struct RequestHandler {
    pub(super) jobs: Arc<dyn JobService>,
    pub(super) proxy: Proxy,
    pub(super) admission: Arc<AdmissionController>,
    pub(super) limits: EntryLimits,
    pub(super) metrics: Metrics,
    /// Set once the VM has been ready, after which it stays ready.
    pub(super) ready: OnceLock<()>,
}

/// The response to a health check.
#[derive(Serialize)]
struct HealthResponse {
    status: &'static str,
    in_progress: usize,
    limit: u32,
}

impl RequestHandler {
    /// Handles one request.
    pub(super) async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let target = RequestTarget::from_uri(req.uri());
        if target == RequestTarget::Health {
            return self.health(req.method());
        }
        let started_at = Instant::now();
        let response = self.respond(target, req).await;
        self.record_metrics(&response, started_at.elapsed());
        response
    }

    fn record_metrics(&self, response: &Response<Body>, duration: Duration) {
        self.metrics.count(Counter::Requests, 1);
        self.metrics.time(Timer::RequestTime, duration);
        match response.extensions().get::<Certainty>() {
            Some(Certainty::NotRun) => self.metrics.count(Counter::RequestsRefused, 1),
            Some(Certainty::Unknown) => self.metrics.count(Counter::RequestsUnknown, 1),
            None => {}
        }
    }

    async fn respond(&self, target: RequestTarget, req: Request<Incoming>) -> Response<Body> {
        let may_wait = matches!(target, RequestTarget::Job(_)) && req.method() == Method::GET;
        let admitted = match may_wait {
            true => self.admission.admit_unlimited(),
            false => self.admission.admit().await,
        };
        let guard = match admitted {
            Ok(guard) => guard,
            Err(refusal) => return refusal_response(&refusal),
        };
        let checked = self.check_ready().and_then(|()| self.check_head(&req));
        let response = match checked {
            Ok(()) => self.dispatch(target, req).await,
            Err(refusal) => refusal_response(&refusal),
        };
        response.map(|body| {
            GuardedBody {
                body,
                _guard: guard,
            }
            .boxed_unsync()
        })
    }

    async fn dispatch(&self, target: RequestTarget, req: Request<Incoming>) -> Response<Body> {
        match target {
            RequestTarget::Jobs if req.method() == Method::POST => {
                jobs::submit(&self.jobs, &self.limits, req).await
            }
            RequestTarget::Jobs => refusal_response(&Refusal::not_run(
                "jobs_method",
                "jobs are submitted by POST",
            )),
            RequestTarget::Job(job) => self.job(&job, &req).await,
            RequestTarget::Service(service, path) => {
                let forwarded = self.proxy.forward(&service, &path, req).await;
                forwarded.unwrap_or_else(|refusal| refusal_response(&refusal))
            }
            RequestTarget::Health => self.health(req.method()),
            RequestTarget::NotFound => {
                let reason = format!("there is nothing at `{}`", req.uri().path());
                refusal_response(&Refusal::not_run("not_found", reason))
            }
        }
    }

    async fn job(&self, job: &str, req: &Request<Incoming>) -> Response<Body> {
        match *req.method() {
            Method::GET => {
                let query = req.uri().query();
                jobs::read_state(&self.jobs, &self.limits, &self.admission, job, query).await
            }
            Method::DELETE => jobs::cancel(&self.jobs, job).await,
            _ => {
                let reason = "a job is read by GET and cancelled by DELETE";
                refusal_response(&Refusal::not_run("job_method", reason))
            }
        }
    }

    fn health(&self, method: &Method) -> Response<Body> {
        if method != Method::GET && method != Method::HEAD {
            let reason = "the health is read by GET";
            return refusal_response(&Refusal::not_run("health_method", reason));
        }
        let (code, status) = match self.admission.phase() {
            ServerPhase::Serving if self.check_ready().is_err() => {
                (StatusCode::SERVICE_UNAVAILABLE, "starting")
            }
            ServerPhase::Serving => (StatusCode::OK, "ready"),
            ServerPhase::Stopping | ServerPhase::Closing => {
                (StatusCode::SERVICE_UNAVAILABLE, "stopping")
            }
        };
        let health = HealthResponse {
            status,
            in_progress: self.admission.in_progress(),
            limit: self.admission.limit(),
        };
        jobs::json_response(code, &health)
    }

    fn check_ready(&self) -> Result<(), Refusal> {
        if self.ready.get().is_some() {
            return Ok(());
        }
        if !self.proxy.is_ready() {
            let reason = "this VM does not know the configuration yet";
            return Err(Refusal::not_run("starting", reason).retry_after(1_000));
        }
        let _ = self.ready.set(());
        Ok(())
    }

    fn check_head(&self, req: &Request<Incoming>) -> Result<(), Refusal> {
        let max_bytes = self.limits.max_header_bytes;
        let headers = req.headers().iter();
        let header_bytes: usize = headers
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let path = req.uri().path_and_query();
        let path_bytes = path.map_or(0, |path| path.as_str().len());
        if header_bytes + path_bytes > max_bytes {
            let reason = format!("the request's line and headers are limited to {max_bytes} bytes");
            return Err(Refusal::not_run("header_too_large", reason));
        }
        Ok(())
    }
}

/// A response body that keeps its request in progress until it is read or dropped.
struct GuardedBody {
    body: Body,
    _guard: RequestGuard,
}

impl HttpBody for GuardedBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        Pin::new(&mut self.body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
