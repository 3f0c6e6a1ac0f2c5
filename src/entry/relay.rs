//! An answer on its way from a backend server to its caller.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::time::{Sleep, sleep_until};

use super::attempt::Answered;
use super::backends::{Backends, Connection};
use super::{Body, BodyError};
use crate::config::BackendConfig;
use crate::message::SlotUse;
use crate::node::slots::ActiveSlot;
use http_body_util::BodyExt;
use hyper::Response;

/// A body that gives back its slot and its connection once it was read to its end, and closes
/// the connection where it was not.
struct Relay {
    body: Incoming,
    deadline: Pin<Box<Sleep>>,
    source: Option<Source>,
}

/// What an answer is read from.
struct Source {
    connection: Connection,
    slot: ActiveSlot,
    used: SlotUse,
    backends: Arc<Backends>,
    backend: BackendConfig,
}

/// The response that streams `answered` to its caller.
pub(super) fn relay(
    answered: Answered,
    backends: &Arc<Backends>,
    backend: &BackendConfig,
) -> Response<Body> {
    let (head, body) = answered.response.into_parts();
    let mut relay = Relay {
        body,
        deadline: Box::pin(sleep_until(answered.slot.deadline().into())),
        source: Some(Source {
            connection: answered.connection,
            slot: answered.slot,
            used: answered.used,
            backends: backends.clone(),
            backend: backend.clone(),
        }),
    };
    relay.finish_if_ended();
    Response::from_parts(head, relay.boxed_unsync())
}

impl Relay {
    fn finish_if_ended(&mut self) {
        if self.body.is_end_stream() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            source.backends.keep(source.connection, &source.backend);
            source.slot.release(source.used);
        }
    }

    fn cut(&mut self, failed: bool) {
        if let Some(source) = self.source.take() {
            drop(source.connection);
            let succeeded = source.used.succeeded && !failed;
            source.slot.release_aborted(SlotUse {
                succeeded,
                ..source.used
            });
        }
    }
}

impl HttpBody for Relay {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_pending() && self.source.is_some() {
            ready!(self.deadline.as_mut().poll(cx));
            self.cut(true);
            return Poll::Ready(Some(Err("the answer did not end in time".into())));
        }
        match ready!(polled) {
            Some(Ok(frame)) => {
                self.finish_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.cut(true);
                Poll::Ready(Some(Err(error.into())))
            }
            None => {
                self.finish();
                Poll::Ready(None)
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}

impl Drop for Relay {
    fn drop(&mut self) {
        self.cut(false);
    }
}
