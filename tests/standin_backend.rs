//! The stand-in backend server over HTTP.

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

struct Rig {
    backend: Arc<StandinBackend>,
    work: SocketAddr,
    control: SocketAddr,
}

async fn rig() -> Rig {
    let work = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let control = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let rig = Rig {
        backend: Arc::new(StandinBackend::new("b".into(), 8, 64)),
        work: work.local_addr().unwrap(),
        control: control.local_addr().unwrap(),
    };
    tokio::spawn(serve(
        rig.backend.clone(),
        work,
        control,
        std::future::pending(),
    ));
    rig
}

/// Sends a request on a connection of its own; `None` where no whole answer came.
async fn ask(
    address: SocketAddr,
    id: &str,
    body: &[u8],
    work_ms: u64,
    answer_bytes: usize,
) -> Option<(StatusCode, Bytes)> {
    let stream = TcpStream::connect(address).await.ok()?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.ok()?;
    tokio::spawn(connection);
    let req = Request::post("/")
        .header("host", "b")
        .header("x-request-id", id)
        .header("idempotency-key", format!("key-{id}"))
        .header("x-work-ms", work_ms)
        .header("x-answer-bytes", answer_bytes)
        .body(Full::new(Bytes::copy_from_slice(body)))
        .unwrap();
    let res = sender.send_request(req).await.ok()?;
    let status = res.status();
    let body = res.into_body().collect().await.ok()?.to_bytes();
    Some((status, body))
}

fn events(backend: &StandinBackend, request: &str) -> Vec<JournalEvent> {
    let journal = backend.journal();
    let own = journal
        .iter()
        .filter(|entry| entry.request.as_deref() == Some(request));
    own.map(|entry| entry.event).collect()
}

#[tokio::test]
async fn answers_are_whole_and_their_own() {
    let rig = rig().await;
    let large = vec![7; 300_000];
    for (id, body, bytes) in [
        ("a", &b""[..], 0),
        ("b", b"milk", 1),
        ("c", &large, 1_000_000),
    ] {
        let (status, answer) = ask(rig.work, id, body, 0, bytes).await.unwrap();
        assert_eq!(status, StatusCode::OK, "{id}");
        check_response(&answer, id, body, bytes).unwrap();
        assert!(check_response(&answer, "z", body, bytes).is_err(), "{id}");
        assert!(
            check_response(&answer, id, b"other", bytes).is_err(),
            "{id}"
        );
        let cut = &answer[..answer.len() - 1];
        assert!(check_response(cut, id, body, bytes).is_err(), "{id}");
        assert_eq!(
            events(&rig.backend, id),
            [JournalEvent::Begin, JournalEvent::End],
            "{id}"
        );
    }
    let journal = rig.backend.journal();
    assert_eq!(journal[1].idempotency_key.as_deref(), Some("key-a"));
}

#[tokio::test]
async fn concurrency_and_connections_are_counted() {
    let rig = rig().await;
    let asked = (0..10).map(|i| {
        let work = rig.work;
        tokio::spawn(async move { ask(work, &format!("r{i}"), b"", 200, 0).await })
    });
    for asked in asked.collect::<Vec<_>>() {
        assert!(asked.await.unwrap().is_some());
    }
    let journal = rig.backend.journal();
    let concurrency = journal.iter().map(|entry| entry.concurrency).max();
    let connections = journal.iter().map(|entry| entry.connections).max();
    assert_eq!(concurrency, Some(10), "it takes more than its slots");
    assert_eq!(connections, Some(10));
    assert_eq!(journal.last().unwrap().concurrency, 0);
}

/// A fault, and what one request meets under it.
struct Case {
    name: &'static str,
    set: fn(&mut Switches),
    status: Option<StatusCode>,
    events: &'static [JournalEvent],
}

#[tokio::test]
async fn faults_do_what_they_say() {
    let cases = [
        Case {
            name: "none",
            set: |_| {},
            status: Some(StatusCode::OK),
            events: &[JournalEvent::Begin, JournalEvent::End],
        },
        Case {
            name: "fail",
            set: |s| s.fail = true,
            status: Some(StatusCode::INTERNAL_SERVER_ERROR),
            events: &[JournalEvent::Begin, JournalEvent::End],
        },
        Case {
            name: "cut answers",
            set: |s| s.cut_answers = true,
            status: None,
            events: &[JournalEvent::Begin, JournalEvent::Cut],
        },
        Case {
            name: "refuse connections",
            set: |s| s.refuse_connections = true,
            status: None,
            events: &[],
        },
    ];
    for case in cases {
        let rig = rig().await;
        rig.backend.update_switches(case.set);
        let answer = ask(rig.work, "r", b"", 0, 100_000).await;
        let status = answer.as_ref().map(|(status, _)| *status);
        assert_eq!(status, case.status, "{}", case.name);
        tokio::time::sleep(Duration::from_millis(20)).await;
        assert_eq!(events(&rig.backend, "r"), case.events, "{}", case.name);
    }
}

#[tokio::test]
async fn a_caller_that_goes_away_cuts_its_request() {
    let rig = rig().await;
    let asking = ask(rig.work, "r", b"", 10_000, 0);
    let gone = tokio::time::timeout(Duration::from_millis(100), asking).await;
    assert!(gone.is_err());
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        events(&rig.backend, "r"),
        [JournalEvent::Begin, JournalEvent::Cut]
    );
}

#[tokio::test]
async fn switches_and_journal_are_on_the_control_listener() {
    let rig = rig().await;
    let control = HttpClient::new(rig.control, 1);
    let limit = Duration::from_secs(1);
    let post = |body: &'static str| control.call(Method::POST, "/switches", body.into(), limit);
    let wrong = post(r#"{"latency": 2}"#).await.unwrap();
    assert_eq!(wrong.status, StatusCode::BAD_REQUEST);
    let set = post(r#"{"latency_factor": 10, "hang": true, "leaving": true}"#).await;
    assert_eq!(set.unwrap().status, StatusCode::OK);
    let begin = Instant::now();
    let (answer, _) = tokio::join!(ask(rig.work, "r", b"", 10, 0), async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        post(r#"{"hang": false}"#).await.unwrap();
    });
    assert!(answer.is_some());
    assert!(begin.elapsed() >= Duration::from_millis(300));
    let before = Instant::now();
    ask(rig.work, "s", b"", 10, 0).await.unwrap();
    assert!(
        before.elapsed() >= Duration::from_millis(100),
        "ten times slower"
    );
    let none = Bytes::new();
    let journal = control
        .call(Method::GET, "/journal", none, limit)
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
    assert_eq!(lines.lines().count(), rig.backend.journal().len());
    let connections = rig
        .backend
        .journal()
        .iter()
        .map(|entry| entry.connections)
        .max();
    assert!(
        connections <= Some(2),
        "control connections are not counted"
    );
}

#[tokio::test]
async fn the_client_tells_not_sent_from_not_answered() {
    let rig = rig().await;
    let limit = Duration::from_millis(100);
    let client = HttpClient::new(rig.work, 1);
    rig.backend.update_switches(|s| s.hang = true);
    let hung = client.call(Method::POST, "/", Bytes::new(), limit).await;
    assert!(matches!(hung, Err(HttpError::NoResponse(_))), "{hung:?}");
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let closed = listener.local_addr().unwrap();
    drop(listener);
    let client = HttpClient::new(closed, 1);
    let refused = client.call(Method::POST, "/", Bytes::new(), limit).await;
    assert!(matches!(refused, Err(HttpError::NotSent(_))), "{refused:?}");
}
