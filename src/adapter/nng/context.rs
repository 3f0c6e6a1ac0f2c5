//! An nng context whose asynchronous operations are futures.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nng::{Aio, AioResult, Context, Message, Socket};
use tokio::sync::oneshot;

type Completion = Arc<Mutex<Option<oneshot::Sender<AioResult>>>>;

/// A context of a socket on which one operation runs at a time.
///
/// The future of an operation must be polled to completion: a context that is dropped during an
/// operation leaks its [`Aio`].
#[derive(Debug)]
pub(super) struct AsyncContext {
    cx: Context,
    aio: Option<Aio>,
    completion: Completion,
    in_progress: bool,
}

impl AsyncContext {
    /// Opens a context on `socket`.
    pub(super) fn open(socket: &Socket) -> nng::Result<Self> {
        let cx = Context::new(socket)?;
        let completion = Completion::default();
        let completed = completion.clone();
        let aio = Aio::new(move |aio, res| {
            // An `Aio` whose last handle is dropped in its own callback would wait for itself. So
            // this handle is dropped before the future is woken, which may drop the other one.
            drop(aio);
            let sender = lock(&completed).take();
            if let Some(tx) = sender {
                let _ = tx.send(res);
            }
        })?;
        Ok(Self {
            cx,
            aio: Some(aio),
            completion,
            in_progress: false,
        })
    }

    /// Sends `bytes`. Completes when nng has accepted the message for a connection.
    pub(super) async fn send(
        &mut self,
        bytes: &[u8],
        timeout: Option<Duration>,
    ) -> nng::Result<()> {
        let message = Message::from(bytes);
        let start = |cx: &Context, aio: &Aio| cx.send(aio, message).map_err(|(_, error)| error);
        match self.run(timeout, start).await? {
            AioResult::Send(Err((_, error))) => Err(error),
            _ => Ok(()),
        }
    }

    /// Receives one message.
    pub(super) async fn recv(&mut self, timeout: Option<Duration>) -> nng::Result<Message> {
        let start = |cx: &Context, aio: &Aio| cx.recv(aio);
        match self.run(timeout, start).await? {
            AioResult::Recv(received) => received,
            _ => Err(nng::Error::IncorrectState),
        }
    }

    /// Receives one message, or closes the context and returns `None` once `stop` completes.
    ///
    /// The context is closed by the task that uses it, because a socket of nng must not be closed
    /// while another thread starts an operation on one of its contexts.
    pub(super) async fn recv_until(
        &mut self,
        stop: impl Future<Output = ()>,
    ) -> Option<nng::Result<Message>> {
        let cx = self.cx.clone();
        let received = self.recv(None);
        tokio::pin!(received);
        tokio::select! {
            message = &mut received => return Some(message),
            () = stop => cx.close(),
        }
        // Waits for the cancelled operation to end before the context is dropped.
        let _ = received.await;
        None
    }

    async fn run(
        &mut self,
        timeout: Option<Duration>,
        start: impl FnOnce(&Context, &Aio) -> nng::Result<()>,
    ) -> nng::Result<AioResult> {
        let aio = self.aio.as_ref().ok_or(nng::Error::Closed)?;
        let (tx, rx) = oneshot::channel();
        *lock(&self.completion) = Some(tx);
        aio.set_timeout(timeout)?;
        start(&self.cx, aio)?;
        self.in_progress = true;
        let ended = rx.await.map_err(|_| nng::Error::Canceled);
        self.in_progress = false;
        ended
    }
}

impl Drop for AsyncContext {
    fn drop(&mut self) {
        if self.in_progress {
            std::mem::forget(self.aio.take());
        }
    }
}

fn lock(
    completion: &Mutex<Option<oneshot::Sender<AioResult>>>,
) -> std::sync::MutexGuard<'_, Option<oneshot::Sender<AioResult>>> {
    completion.lock().unwrap_or_else(PoisonError::into_inner)
}
