//! One request of a caller, from its head to its answer.

use std::pin::Pin;
use std::sync::{Arc, OnceLock};
use std::task::{Context, Poll};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use hyper::{Method, Request, Response, StatusCode};
use serde::Serialize;

use super::gate::{Admitted, Gate, Phase};
use super::jobs;
use super::limits::EntryLimits;
use super::problem::refuse;
use super::proxy::Proxy;
use super::target::Target;
use super::{Body, BodyError};
use crate::error::{Certainty, Refusal};
use crate::metrics::{Counter, Metrics, Timer};
use crate::node::api::JobService;

/// Everything that requests need.
pub(super) struct Shared {
    pub(super) jobs: Arc<dyn JobService>,
    pub(super) proxy: Proxy,
    pub(super) gate: Arc<Gate>,
    pub(super) limits: EntryLimits,
    pub(super) metrics: Metrics,
    /// Whether the VM was ready once; it stays so.
    pub(super) ready: OnceLock<()>,
}

/// The answer to a health check.
#[derive(Serialize)]
struct Health {
    status: &'static str,
    in_progress: usize,
    limit: u32,
}

impl Shared {
    /// Answers one request.
    pub(super) async fn handle(&self, req: Request<Incoming>) -> Response<Body> {
        let target = Target::of(req.uri());
        if target == Target::Health {
            return self.health(req.method());
        }
        let began = Instant::now();
        let response = self.answer(target, req).await;
        self.note(&response, began.elapsed());
        response
    }

    /// Sends the metrics of one call.
    fn note(&self, response: &Response<Body>, time: Duration) {
        self.metrics.count(Counter::Requests, 1);
        self.metrics.time(Timer::RequestTime, time);
        match response.extensions().get::<Certainty>() {
            Some(Certainty::NotRun) => self.metrics.count(Counter::RequestsRefused, 1),
            Some(Certainty::Unknown) => self.metrics.count(Counter::RequestsUnknown, 1),
            None => {}
        }
    }

    async fn answer(&self, target: Target, req: Request<Incoming>) -> Response<Body> {
        let waits = matches!(target, Target::Job(_)) && req.method() == Method::GET;
        let admitted = match waits {
            true => self.gate.admit_wait(),
            false => self.gate.admit().await,
        };
        let admitted = match admitted {
            Ok(admitted) => admitted,
            Err(refusal) => return refuse(&refusal),
        };
        let checked = self.check_ready().and_then(|()| self.check_head(&req));
        let response = match checked {
            Ok(()) => self.dispatch(target, req).await,
            Err(refusal) => refuse(&refusal),
        };
        response.map(|body| {
            Counted {
                body,
                _admitted: admitted,
            }
            .boxed_unsync()
        })
    }

    async fn dispatch(&self, target: Target, req: Request<Incoming>) -> Response<Body> {
        match target {
            Target::Jobs if req.method() == Method::POST => {
                jobs::submit(&self.jobs, &self.limits, req).await
            }
            Target::Jobs => refuse(&Refusal::not_run(
                "jobs_method",
                "jobs are submitted by POST",
            )),
            Target::Job(job) => self.job(&job, &req).await,
            Target::Service(service, path) => {
                let forwarded = self.proxy.forward(&service, &path, req).await;
                forwarded.unwrap_or_else(|refusal| refuse(&refusal))
            }
            Target::Health => self.health(req.method()),
            Target::Nothing => {
                let reason = format!("there is nothing at `{}`", req.uri().path());
                refuse(&Refusal::not_run("not_found", reason))
            }
        }
    }

    async fn job(&self, job: &str, req: &Request<Incoming>) -> Response<Body> {
        match *req.method() {
            Method::GET => {
                let query = req.uri().query();
                jobs::read_state(&self.jobs, &self.limits, &self.gate, job, query).await
            }
            Method::DELETE => jobs::cancel(&self.jobs, job).await,
            _ => {
                let reason = "a job is read by GET and cancelled by DELETE";
                refuse(&Refusal::not_run("job_method", reason))
            }
        }
    }

    fn health(&self, method: &Method) -> Response<Body> {
        if method != Method::GET && method != Method::HEAD {
            let reason = "the health is read by GET";
            return refuse(&Refusal::not_run("health_method", reason));
        }
        let (code, status) = match self.gate.phase() {
            Phase::Serving if self.check_ready().is_err() => {
                (StatusCode::SERVICE_UNAVAILABLE, "starting")
            }
            Phase::Serving => (StatusCode::OK, "ready"),
            Phase::Stopping | Phase::Closing => (StatusCode::SERVICE_UNAVAILABLE, "stopping"),
        };
        let health = Health {
            status,
            in_progress: self.gate.in_progress(),
            limit: self.gate.limit(),
        };
        jobs::json(code, &health)
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
        let most = self.limits.max_header_bytes;
        let headers = req.headers().iter();
        let headers: usize = headers
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        let path = req.uri().path_and_query();
        let line = path.map_or(0, |path| path.as_str().len());
        if headers + line > most {
            let reason = format!("the request's line and headers are limited to {most} bytes");
            return Err(Refusal::not_run("header_too_large", reason));
        }
        Ok(())
    }
}

/// A body whose request is in progress until the body was read or dropped.
struct Counted {
    body: Body,
    _admitted: Admitted,
}

impl HttpBody for Counted {
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
