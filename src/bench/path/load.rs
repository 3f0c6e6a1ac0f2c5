//! Requests at a set rate, or as many as possible.

use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use hdrhistogram::Histogram;
use hyper::{Method, StatusCode};
use tokio::task::JoinSet;

use super::Percentiles;
use crate::adapter::http::HttpClient;
use crate::standin::backend::check_response;

/// How often requests are sent; several may be due at once.
const TICK: Duration = Duration::from_millis(1);

/// How long a request may take.
const LIMIT: Duration = Duration::from_secs(5);

/// The longest latency that is told apart, in microseconds.
const MAX_LATENCY_US: u64 = 10_000_000;

/// The significant digits of latencies.
const DIGITS: u8 = 3;

/// Where requests are sent.
#[derive(Clone)]
pub(super) struct Route {
    pub(super) client: Arc<HttpClient>,
    pub(super) path: &'static str,
}

/// Latencies of answered requests, by route.
pub(super) struct Latencies {
    routes: Vec<(Histogram<u64>, u64)>,
}

impl Latencies {
    pub(super) fn new(routes: usize) -> Self {
        let empty = || Histogram::new_with_max(MAX_LATENCY_US, DIGITS);
        Self {
            // The bounds are constants that the histogram accepts.
            routes: (0..routes)
                .filter_map(|_| empty().ok())
                .map(|h| (h, 0))
                .collect(),
        }
    }

    fn note(&mut self, route: usize, latency: Option<Duration>) {
        let Some((histogram, failed)) = self.routes.get_mut(route) else {
            return;
        };
        match latency {
            Some(latency) => {
                let micros = u64::try_from(latency.as_micros()).unwrap_or(u64::MAX);
                histogram.saturating_record(micros);
            }
            None => *failed += 1,
        }
    }

    pub(super) fn add(&mut self, other: &Self) {
        for (own, more) in self.routes.iter_mut().zip(&other.routes) {
            // Both have the same bounds, so no value is left out.
            let _ = own.0.add(&more.0);
            own.1 += more.1;
        }
    }

    pub(super) fn all(&self) -> Percentiles {
        self.of(|_| true)
    }

    /// The percentiles over the routes that `chosen` picks.
    pub(super) fn of(&self, chosen: impl Fn(usize) -> bool) -> Percentiles {
        let mut sum = Self::new(1);
        for (route, latencies) in self.routes.iter().enumerate() {
            if chosen(route) {
                sum.add(&Self {
                    routes: vec![latencies.clone()],
                });
            }
        }
        let (histogram, failed) = &sum.routes[0];
        Percentiles {
            answered: histogram.len(),
            failed: *failed,
            p50_us: histogram.value_at_quantile(0.5),
            p99_us: histogram.value_at_quantile(0.99),
        }
    }
}

/// Sends `rate_per_s` requests a second over `routes` in turn for `time`, whether or not earlier
/// ones were answered.
pub(super) async fn paced(routes: &[Route], rate_per_s: u32, time: Duration) -> Latencies {
    let mut latencies = Latencies::new(routes.len());
    let mut under_way = JoinSet::new();
    let mut ticks = tokio::time::interval(TICK);
    let begun = Instant::now();
    let mut sent = 0_u64;
    while begun.elapsed() < time {
        ticks.tick().await;
        let due = begun.elapsed().as_secs_f64() * f64::from(rate_per_s);
        while sent < due as u64 {
            let at = sent as usize % routes.len();
            let route = routes[at].clone();
            under_way.spawn(async move { (at, send(&route).await) });
            sent += 1;
        }
        while let Some(Ok((route, latency))) = under_way.try_join_next() {
            latencies.note(route, latency);
        }
    }
    while let Some(Ok((route, latency))) = under_way.join_next().await {
        latencies.note(route, latency);
    }
    latencies
}

/// Keeps `callers` requests under way over `routes` for `time`; returns answers a second.
pub(super) async fn saturated(routes: &[Route], callers: u32, time: Duration) -> f64 {
    let answered = Arc::new(AtomicU64::new(0));
    let begun = Instant::now();
    let mut under_way = JoinSet::new();
    for caller in 0..callers as usize {
        let route = routes[caller % routes.len()].clone();
        let answered = answered.clone();
        under_way.spawn(async move {
            while begun.elapsed() < time {
                if send(&route).await.is_some() {
                    answered.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    while under_way.join_next().await.is_some() {}
    answered.load(Ordering::Relaxed) as f64 / begun.elapsed().as_secs_f64()
}

/// Sends one request; its latency, where the answer was whole and its own.
async fn send(route: &Route) -> Option<Duration> {
    const BODY: &[u8] = b"swap pistachio";
    let begun = Instant::now();
    let body = Bytes::from_static(BODY);
    let answer = route
        .client
        .call(Method::POST, route.path, body, LIMIT)
        .await
        .ok()?;
    let latency = begun.elapsed();
    let whole = check_response(&answer.body, "", BODY, 0).is_ok();
    (answer.status == StatusCode::OK && whole).then_some(latency)
}
