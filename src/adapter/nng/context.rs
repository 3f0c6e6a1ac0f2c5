//! One nng context with its asynchronous operations as futures.

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use nng::{Aio, AioResult, Context, Message, Socket};
use tokio::sync::oneshot;

type Waiter = Arc<Mutex<Option<oneshot::Sender<AioResult>>>>;

/// A context of a socket, on which one operation runs at a time.
///
/// The future of an operation must be awaited to its end; a lane that is dropped during an
/// operation leaks its [`Aio`].
#[derive(Debug)]
pub(super) struct AsyncContext {
    cx: Context,
    aio: Option<Aio>,
    waiter: Waiter,
    busy: bool,
}

impl AsyncContext {
    /// Opens a context of `socket`.
    pub(super) fn open(socket: &Socket) -> nng::Result<Self> {
        let cx = Context::new(socket)?;
        let waiter = Waiter::default();
        let notified = waiter.clone();
        let aio = Aio::new(move |aio, res| {
            // The last handle of an `Aio` must not be dropped by its own callback, which would
            // wait for itself. It is given up before the waiting future can drop the other one.
            drop(aio);
            let waiting = lock(&notified).take();
            if let Some(tx) = waiting {
                let _ = tx.send(res);
            }
        })?;
        Ok(Self {
            cx,
            aio: Some(aio),
            waiter,
            busy: false,
        })
    }

    /// Sends `bytes`; ends when nng has taken the message for a connection.
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

    /// Receives one message; once `stop` ends, closes the context instead and returns `None`.
    ///
    /// The context is closed by the task that uses it: nng does not bear that a socket is closed
    /// while another thread begins an operation on one of its contexts.
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
        // The cancelled operation ends before the context is given up.
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
        *lock(&self.waiter) = Some(tx);
        aio.set_timeout(timeout)?;
        start(&self.cx, aio)?;
        self.busy = true;
        let ended = rx.await.map_err(|_| nng::Error::Canceled);
        self.busy = false;
        ended
    }
}

impl Drop for AsyncContext {
    fn drop(&mut self) {
        if self.busy {
            std::mem::forget(self.aio.take());
        }
    }
}

fn lock(
    waiter: &Mutex<Option<oneshot::Sender<AioResult>>>,
) -> std::sync::MutexGuard<'_, Option<oneshot::Sender<AioResult>>> {
    waiter.lock().unwrap_or_else(PoisonError::into_inner)
}
