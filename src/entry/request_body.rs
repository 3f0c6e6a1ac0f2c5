//! The body of a request that is forwarded to a backend server.

use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body::{Body as HttpBody, Frame, Incoming, SizeHint};

use super::problem::full_body;
use super::{Body, BodyError};
use crate::error::Refusal;

/// Maximum size of a body that is read before a slot is requested, and that can be sent again.
const MAX_BUFFERED_BYTES: usize = 16 << 10;

/// The body of a request.
pub(super) enum RequestBody {
    /// Read to its end; can be sent again.
    Buffered(Bytes),
    /// Too large to be buffered; can be sent only once.
    Streamed {
        /// The body, until it is taken for an attempt.
        body: Option<Body>,
        /// Set when the body exceeds its size limit.
        too_large: Arc<AtomicBool>,
    },
}

impl RequestBody {
    /// Reads the beginning of `body`, or all of it if it is small. The body may have up to
    /// `max_bytes` bytes.
    ///
    /// # Errors
    ///
    /// Returns a refusal of certainty `not_run` if the body is known to be too large, or if its
    /// beginning does not arrive before `deadline` or cannot be read.
    pub(super) async fn read(
        mut body: Incoming,
        max_bytes: u64,
        deadline: Instant,
    ) -> Result<Self, Refusal> {
        if body.size_hint().lower() > max_bytes {
            return Err(too_large(max_bytes));
        }
        let mut buffered = BytesMut::new();
        while buffered.len() <= MAX_BUFFERED_BYTES {
            let Some(chunk) = next_chunk(&mut body, deadline).await? else {
                return Ok(Self::Buffered(buffered.freeze()));
            };
            buffered.extend_from_slice(&chunk);
            if buffered.len() as u64 > max_bytes {
                return Err(too_large(max_bytes));
            }
        }
        let too_large = Arc::new(AtomicBool::new(false));
        let streamed = StreamedRequestBody {
            remaining_bytes: max_bytes - buffered.len() as u64,
            buffered: Some(buffered.freeze()),
            rest: body,
            too_large: too_large.clone(),
        };
        Ok(Self::Streamed {
            body: Some(streamed.boxed_unsync()),
            too_large,
        })
    }

    /// Returns the body for an attempt; `None` if it was streamed in an earlier one.
    pub(super) fn for_attempt(&mut self) -> Option<Body> {
        match self {
            Self::Buffered(bytes) => Some(full_body(bytes.clone())),
            Self::Streamed { body, .. } => body.take(),
        }
    }

    /// Puts back a body of which nothing was sent.
    pub(super) fn restore(&mut self, unsent: Body) {
        if let Self::Streamed { body, .. } = self {
            *body = Some(unsent);
        }
    }

    /// Whether the body can be sent again after a part of it was sent.
    pub(super) fn is_replayable(&self) -> bool {
        matches!(self, Self::Buffered(_))
    }

    /// Whether a streamed body exceeded its size limit.
    pub(super) fn was_too_large(&self) -> bool {
        match self {
            Self::Buffered(_) => false,
            Self::Streamed { too_large, .. } => too_large.load(Ordering::Relaxed),
        }
    }
}

async fn next_chunk(body: &mut Incoming, deadline: Instant) -> Result<Option<Bytes>, Refusal> {
    loop {
        let frame = tokio::time::timeout_at(deadline.into(), body.frame()).await;
        let timed_out =
            |_| Refusal::not_run("body_timeout", "the request's body did not arrive in time");
        let unreadable = |error| {
            let reason = format!("the request's body cannot be read: {error}");
            Refusal::not_run("bad_request", reason)
        };
        match frame.map_err(timed_out)?.transpose().map_err(unreadable)? {
            None => return Ok(None),
            Some(frame) => match frame.into_data() {
                Ok(chunk) => return Ok(Some(chunk)),
                // Trailers are not forwarded.
                Err(_) => continue,
            },
        }
    }
}

fn too_large(max_bytes: u64) -> Refusal {
    let reason = format!("the request's body is larger than {max_bytes} bytes");
    Refusal::not_run("body_too_large", reason)
}

/// The buffered beginning of a body, followed by the rest, which is not read yet.
struct StreamedRequestBody {
    buffered: Option<Bytes>,
    rest: Incoming,
    /// How many bytes the rest may have.
    remaining_bytes: u64,
    too_large: Arc<AtomicBool>,
}

impl HttpBody for StreamedRequestBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        if let Some(buffered) = self.buffered.take() {
            return Poll::Ready(Some(Ok(Frame::data(buffered))));
        }
        let Some(frame) = ready!(Pin::new(&mut self.rest).poll_frame(cx)) else {
            return Poll::Ready(None);
        };
        let frame = frame?;
        let bytes = frame.data_ref().map_or(0, Bytes::len) as u64;
        match self.remaining_bytes.checked_sub(bytes) {
            Some(remaining_bytes) => self.remaining_bytes = remaining_bytes,
            None => {
                self.too_large.store(true, Ordering::Relaxed);
                return Poll::Ready(Some(Err("the body is too large".into())));
            }
        }
        Poll::Ready(Some(Ok(frame)))
    }

    fn size_hint(&self) -> SizeHint {
        let buffered = self.buffered.as_ref().map_or(0, Bytes::len) as u64;
        let rest = self.rest.size_hint();
        let mut hint = SizeHint::new();
        hint.set_lower(rest.lower() + buffered);
        if let Some(upper) = rest.upper() {
            hint.set_upper(upper + buffered);
        }
        hint
    }
}
