//! Tests the stand-in backend server over HTTP.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutlug::adapter::http::{HttpClient, HttpError};
use chestnutlug::standin::backend::{
    JournalEvent, StandinBackend, Switches, check_response, serve,
};
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::{TcpListener, TcpStream};

struct Fixture {
    backend: Arc<StandinBackend>,
    request_address: SocketAddr,
    control_address: SocketAddr,
}

async fn fixture() -> Fixture {
    let requests = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let fixture = Fixture {
        backend: Arc::new(StandinBackend::new("b".into(), 8, 64)),
        request_address: requests.local_addr().unwrap(),
        control_address: control.local_addr().unwrap(),
    };
    tokio::spawn(serve(
        fixture.backend.clone(),
        requests,
        control,
        std::future::pending(),
    ));
    fixture
}

/// Sends a request on a new connection. Returns `None` if no complete response arrived.
async fn send(
    address: SocketAddr,
    id: &str,
    body: &[u8],
    work_ms: u64,
    response_bytes: usize,
) -> Option<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let req = Request::post("/")
        .header("host", "b")
        .header("x-request-id", id)
        .header("idempotency-key", format!("key-{id}"))
        .header("x-work-ms", work_ms)
        .header("x-answer-bytes", response_bytes)
        .body(Full::new(Bytes::copy_from_slice(body)))
        .unwrap();
    let res = sender.send_request(req).await.ok()?;
    let status = res.status();
    let body = res.into_body().collect().await.ok()?.to_bytes();
    Some((status, body))
}

fn events(backend: &StandinBackend, request: &str) -> Vec<JournalEvent> {
    let journal = backend.journal();
    let matching = journal
        .iter()
        .filter(|entry| entry.request.as_deref() == Some(request));
    matching.map(|entry| entry.event).collect()
}

#[tokio::test]
async fn responses_are_complete_and_match_their_requests() {
    let fixture = fixture().await;
    let large = vec![7; 300_000];
    for (id, body, bytes) in [
        ("a", &b""[..], 0),
        ("b", b"milk", 1),
        ("c", &large, 1_000_000),
    ] {
        let (status, response) = send(fixture.request_address, id, body, 0, bytes)
            .await
            .unwrap();
        assert_eq!(status, StatusCode::OK, "{id}");
        check_response(&response, id, body, bytes).unwrap();
        assert!(check_response(&response, "z", body, bytes).is_err(), "{id}");
        assert!(
            check_response(&response, id, b"other", bytes).is_err(),
            "{id}"
        );
        let truncated = &response[..response.len() - 1];
        assert!(check_response(truncated, id, body, bytes).is_err(), "{id}");
        assert_eq!(
            events(&fixture.backend, id),
            [JournalEvent::Begin, JournalEvent::End],
            "{id}"
        );
    }
    let journal = fixture.backend.journal();
    assert_eq!(journal[1].idempotency_key.as_deref(), Some("key-a"));
}

#[tokio::test]
async fn journal_counts_concurrency_and_connections() {
    let fixture = fixture().await;
    let tasks = (0..10).map(|i| {
        let address = fixture.request_address;
        tokio::spawn(async move { send(address, &format!("r{i}"), b"", 200, 0).await })
    });
    for task in tasks.collect::<Vec<_>>() {
        assert!(task.await.unwrap().is_some());
    }
    let journal = fixture.backend.journal();
    let concurrency = journal.iter().map(|entry| entry.concurrency).max();
    let connections = journal.iter().map(|entry| entry.connections).max();
    assert_eq!(
        concurrency,
        Some(10),
        "the backend server does not enforce its slots"
    );
    assert_eq!(connections, Some(10));
    assert_eq!(journal.last().unwrap().concurrency, 0);
}

/// A fault, and the status and journal events of one request under it.
struct FaultCase {
    name: &'static str,
    set: fn(&mut Switches),
    status: Option<StatusCode>,
    events: &'static [JournalEvent],
}

#[tokio::test]
async fn faults_have_their_effects() {
    let cases = [
        FaultCase {
            name: "none",
            set: |_| {},
            status: Some(StatusCode::OK),
            events: &[JournalEvent::Begin, JournalEvent::End],
        },
        FaultCase {
            name: "fail",
            set: |s| s.fail = true,
            status: Some(StatusCode::INTERNAL_SERVER_ERROR),
            events: &[JournalEvent::Begin, JournalEvent::End],
        },
        FaultCase {
            name: "cut responses",
            set: |s| s.cut_answers = true,
            status: None,
            events: &[JournalEvent::Begin, JournalEvent::Cut],
        },
        FaultCase {
            name: "refuse connections",
            set: |s| s.refuse_connections = true,
            status: None,
            events: &[],
        },
    ];
    for case in cases {
        let fixture = fixture().await;
        fixture.backend.update_switches(case.set);
        let response = send(fixture.request_address, "r", b"", 0, 100_000).await;
        let status = response.as_ref().map(|(status, _)| *status);
        assert_eq!(status, case.status, "{}", case.name);
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(events(&fixture.backend, "r"), case.events, "{}", case.name);
    }
}

#[tokio::test]
async fn request_of_a_disconnected_client_is_recorded_as_cut() {
    let fixture = fixture().await;
    let sending = send(fixture.request_address, "r", b"", 10_000, 0);
    let result = tokio::time::timeout(Duration::from_millis(100), sending).await;
    assert!(result.is_err());
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        events(&fixture.backend, "r"),
        [JournalEvent::Begin, JournalEvent::Cut]
    );
}

#[tokio::test]
async fn control_listener_serves_switches_and_journal() {
    let fixture = fixture().await;
    let client = HttpClient::new(fixture.control_address, 1);
    let timeout = Duration::from_secs(1);
    let post = |body: &'static str| client.call(Method::POST, "/switches", body.into(), timeout);
    let unknown = post(r#"{"latency": 2}"#).await.unwrap();
    assert_eq!(unknown.status, StatusCode::BAD_REQUEST);
    let set = post(r#"{"latency_factor": 10, "hang": true, "leaving": true}"#).await;
    assert_eq!(set.unwrap().status, StatusCode::OK);
    let start = Instant::now();
    let (response, _) = tokio::join!(send(fixture.request_address, "r", b"", 10, 0), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        post(r#"{"hang": false}"#).await.unwrap();
    });
    assert!(response.is_some());
    assert!(start.elapsed() >= Duration::from_millis(300));
    let start = Instant::now();
    send(fixture.request_address, "s", b"", 10, 0)
        .await
        .unwrap();
    assert!(
        start.elapsed() >= Duration::from_millis(100),
        "the latency factor was not applied"
    );
    let empty_body = Bytes::new();
    let journal = client
        .call(Method::GET, "/journal", empty_body, timeout)
        .await
        .unwrap();
    let lines = String::from_utf8(journal.body.to_vec()).unwrap();
    assert!(
        lines
            .lines()
            .next()
            .unwrap()
            .contains(r#""event":"leaving""#)
    );
    assert_eq!(lines.lines().count(), fixture.backend.journal().len());
    let connections = fixture
        .backend
        .journal()
        .iter()
        .map(|entry| entry.connections)
        .max();
    assert!(connections <= Some(2), "control connections were counted");
}

#[tokio::test]
async fn client_distinguishes_unsent_from_unanswered_requests() {
    let fixture = fixture().await;
    let timeout = Duration::from_millis(100);
    let client = HttpClient::new(fixture.request_address, 1);
    fixture.backend.update_switches(|s| s.hang = true);
    let hung = client.call(Method::POST, "/", Bytes::new(), timeout).await;
    assert!(matches!(hung, Err(HttpError::NoResponse(_))), "{hung:?}");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let client = HttpClient::new(closed, 1);
    let refused = client.call(Method::POST, "/", Bytes::new(), timeout).await;
    assert!(matches!(refused, Err(HttpError::NotSent(_))), "{refused:?}");
}
