//! A response that is streamed from a backend server to its caller.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};
use tokio::time::{Sleep, sleep_until};

use super::attempt::BackendResponse;
use super::connection_pool::{BackendConnection, ConnectionPool};
use super::{Body, BodyError};
use crate::config::BackendConfig;
use crate::message::SlotUse;
use crate::node::slots::ActiveSlot;
use http_body_util::BodyExt;
use hyper::Response;

/// A body that is read from a backend server. At its end it releases the slot and puts the
/// connection back into the pool; if it is dropped or fails before, it closes the connection.
struct StreamedResponseBody {
    body: Incoming,
    deadline: Pin<Box<Sleep>>,
    source: Option<ResponseSource>,
}

/// The connection and the slot on which a response is read.
struct ResponseSource {
    connection: BackendConnection,
    slot: ActiveSlot,
    usage: SlotUse,
    pool: Arc<ConnectionPool>,
    backend: BackendConfig,
}

/// Builds the response that streams the body of `received` to its caller.
pub(super) fn stream_response(
    received: BackendResponse,
    pool: &Arc<ConnectionPool>,
    backend: &BackendConfig,
) -> Response<Body> {
    let (head, body) = received.response.into_parts();
    let mut streamed = StreamedResponseBody {
        body,
        deadline: Box::pin(sleep_until(received.slot.deadline().into())),
        source: Some(ResponseSource {
            connection: received.connection,
            slot: received.slot,
            usage: received.usage,
            pool: pool.clone(),
            backend: backend.clone(),
        }),
    };
    streamed.finish_if_ended();
    Response::from_parts(head, streamed.boxed_unsync())
}

impl StreamedResponseBody {
    fn finish_if_ended(&mut self) {
        if self.body.is_end_stream() {
            self.finish();
        }
    }

    fn finish(&mut self) {
        if let Some(source) = self.source.take() {
            source.pool.put_back(source.connection, &source.backend);
            source.slot.release(source.usage);
        }
    }

    /// Closes the connection before the end of the body, unless the body has ended already.
    fn abort(&mut self, backend_failed: bool) {
        if let Some(source) = self.source.take() {
            drop(source.connection);
            let succeeded = source.usage.succeeded && !backend_failed;
            source.slot.release_aborted(SlotUse {
                succeeded,
                ..source.usage
            });
        }
    }
}

impl HttpBody for StreamedResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = Pin::new(&mut self.body).poll_frame(cx);
        if polled.is_pending() && self.source.is_some() {
            ready!(self.deadline.as_mut().poll(cx));
            self.abort(true);
            return Poll::Ready(Some(Err("the answer did not end in time".into())));
        }
        match ready!(polled) {
            Some(Ok(frame)) => {
                self.finish_if_ended();
                Poll::Ready(Some(Ok(frame)))
            }
            Some(Err(error)) => {
                self.abort(true);
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

impl Drop for StreamedResponseBody {
    fn drop(&mut self) {
        self.abort(false);
    }
}
