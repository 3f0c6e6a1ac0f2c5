//! Load generators: requests at a constant rate, and as many requests as possible.

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

/// Interval at which due requests are sent; several may be due at a time.
const TICK_INTERVAL: Duration = Duration::from_millis(1);

const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum latency that is recorded, in microseconds; larger ones count as this one.
const MAX_LATENCY_US: u64 = 10_000_000;

/// Significant digits of recorded latencies.
const SIGNIFICANT_DIGITS: u8 = 3;

/// Client and path of requests.
#[derive(Clone)]
pub(super) struct Route {
    pub(super) client: Arc<HttpClient>,
    pub(super) path: &'static str,
}

/// Latencies of successful requests and number of failed requests, by route.
pub(super) struct Latencies {
    routes: Vec<(Histogram<u64>, u64)>,
}

impl Latencies {
    pub(super) fn new(routes: usize) -> Self {
        let empty = || Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS);
        Self {
            // Never fails: the constant bounds are valid.
            routes: (0..routes)
                .filter_map(|_| empty().ok())
                .map(|h| (h, 0))
                .collect(),
        }
    }

    fn record(&mut self, route: usize, latency: Option<Duration>) {
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
        for (total, added) in self.routes.iter_mut().zip(&other.routes) {
            // Never fails: both histograms have the same bounds.
            let _ = total.0.add(&added.0);
            total.1 += added.1;
        }
    }

    pub(super) fn percentiles(&self) -> Percentiles {
        self.percentiles_of(|_| true)
    }

    /// Percentiles over the routes whose index satisfies `predicate`.
    pub(super) fn percentiles_of(&self, predicate: impl Fn(usize) -> bool) -> Percentiles {
        let mut sum = Self::new(1);
        for (route, latencies) in self.routes.iter().enumerate() {
            if predicate(route) {
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

/// Sends `rate_per_s` requests per second over `routes`, round robin, for `duration`, without
/// waiting for earlier responses.
pub(super) async fn run_at_rate(
    routes: &[Route],
    rate_per_s: u32,
    duration: Duration,
) -> Latencies {
    let mut latencies = Latencies::new(routes.len());
    let mut in_flight = JoinSet::new();
    let mut ticks = tokio::time::interval(TICK_INTERVAL);
    let start = Instant::now();
    let mut sent = 0_u64;
    while start.elapsed() < duration {
        ticks.tick().await;
        let due = start.elapsed().as_secs_f64() * f64::from(rate_per_s);
        while sent < due as u64 {
            let index = sent as usize % routes.len();
            let route = routes[index].clone();
            in_flight.spawn(async move { (index, send(&route).await) });
            sent += 1;
        }
        while let Some(Ok((route, latency))) = in_flight.try_join_next() {
            latencies.record(route, latency);
        }
    }
    while let Some(Ok((route, latency))) = in_flight.join_next().await {
        latencies.record(route, latency);
    }
    latencies
}

/// Keeps `concurrency` requests in flight over `routes` for `duration`. Returns the number of
/// successful requests per second.
pub(super) async fn run_saturated(routes: &[Route], concurrency: u32, duration: Duration) -> f64 {
    let completed = Arc::new(AtomicU64::new(0));
    let start = Instant::now();
    let mut in_flight = JoinSet::new();
    for index in 0..concurrency as usize {
        let route = routes[index % routes.len()].clone();
        let completed = completed.clone();
        in_flight.spawn(async move {
            while start.elapsed() < duration {
                if send(&route).await.is_some() {
                    completed.fetch_add(1, Ordering::Relaxed);
                }
            }
        });
    }
    while in_flight.join_next().await.is_some() {}
    completed.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64()
}

/// Sends a request. Returns its latency if the response was complete and belongs to the request.
async fn send(route: &Route) -> Option<Duration> {
    const BODY: &[u8] = b"swap pistachio";
    let start = Instant::now();
    let body = Bytes::from_static(BODY);
    let response = route
        .client
        .call(Method::POST, route.path, body, REQUEST_TIMEOUT)
        .await
        .ok()?;
    let latency = start.elapsed();
    let complete = check_response(&response.body, "", BODY, 0).is_ok();
    (response.status == StatusCode::OK && complete).then_some(latency)
}
