//! Counters for the bytes and exchanges of client connections.

use std::io::{self, IoSlice};
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

common! { value
/// The traffic of one client since its start.
#[derive(Default)]
pub struct TrafficTotals {
    /// Number of requests that got a response.
    pub exchanges: u64,
    /// Number of bytes in both directions, without TCP and IP headers.
    pub bytes: u64,
}}

/// Counts the traffic of one client.
#[derive(Debug, Default)]
pub struct TrafficCounter {
    exchanges: AtomicU64,
    bytes: AtomicU64,
}

impl TrafficCounter {
    /// Returns the current totals.
    ///
    /// # Examples
    ///
    /// ```
    /// use chestnutlug::adapter::traffic::TrafficCounter;
    ///
    /// let traffic = TrafficCounter::default();
    /// traffic.count_bytes(30);
    /// traffic.count_exchange();
    /// assert_eq!(traffic.totals().bytes, 30);
    /// assert_eq!(traffic.totals().exchanges, 1);
    /// ```
    pub fn totals(&self) -> TrafficTotals {
        TrafficTotals {
            exchanges: self.exchanges.load(Ordering::Relaxed),
            bytes: self.bytes.load(Ordering::Relaxed),
        }
    }

    /// Counts a request that got a response.
    pub fn count_exchange(&self) {
        self.exchanges.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts sent or received bytes.
    pub fn count_bytes(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }
}

/// The traffic of one entry VM by destination.
#[derive(Clone, Debug, Default)]
pub struct VmTraffic {
    /// Traffic with the platform's table.
    pub table: Arc<TrafficCounter>,
    /// Traffic with the platform's object store.
    pub objects: Arc<TrafficCounter>,
    /// Traffic with the platform's list of VMs.
    pub vm_list: Arc<TrafficCounter>,
    /// Traffic with workers.
    pub workers: Arc<TrafficCounter>,
    /// Traffic of requests to other VMs.
    pub peers: Arc<TrafficCounter>,
}

impl VmTraffic {
    /// Returns the totals with the names of their destinations.
    pub fn totals(&self) -> [(&'static str, TrafficTotals); 5] {
        [
            ("table", self.table.totals()),
            ("objects", self.objects.totals()),
            ("vm_list", self.vm_list.totals()),
            ("workers", self.workers.totals()),
            ("peers", self.peers.totals()),
        ]
    }
}

/// A stream that counts its bytes.
pub(super) struct CountedStream<S> {
    stream: S,
    traffic: Arc<TrafficCounter>,
}

impl<S> CountedStream<S> {
    pub(super) fn new(stream: S, traffic: Arc<TrafficCounter>) -> Self {
        Self { stream, traffic }
    }

    fn count_written(&self, written: &Poll<io::Result<usize>>) {
        if let Poll::Ready(Ok(bytes)) = written {
            self.traffic.count_bytes(*bytes);
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for CountedStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(cx, buf);
        self.traffic.count_bytes(buf.filled().len() - before);
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for CountedStream<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(cx, buf);
        self.count_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        self.count_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
