//! Callers: jobs, refusals, limits and planned stops.

use std::time::{Duration, Instant};

use bytes::Bytes;
use chestnutlug::decide::admission::ConcurrencyLimits;
use chestnutlug::entry::EntryLimits;
use chestnutlug::error::Certainty;
use chestnutlug::model::JobView;
use chestnutlug::standin::backend::check_response;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http2;
use hyper::{Method, Request, StatusCode};
use hyper_util::rt::{TokioExecutor, TokioIo};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{
    BackendServer, Caller, Cell, SERVICE, call, config_for_servers, service_request,
};

const JOB: &str = r#"{"team":"t","kind":"k","resources":{"cpu_milli":500}}"#;

fn limits() -> EntryLimits {
    EntryLimits {
        max_header_bytes: 2_000,
        max_job_bytes: 5_000,
        ..EntryLimits::default()
    }
}

async fn start_cell(limits: &EntryLimits) -> (Cell, Vec<BackendServer>) {
    let servers = vec![BackendServer::start("b0", 4).await];
    let text = config_for_servers("max_body_bytes = 20000", &servers, 4);
    (Cell::start(1, &text, limits).await, servers)
}

#[tokio::test(flavor = "multi_thread")]
async fn a_job_is_submitted_read_and_cancelled() {
    let (cell, _servers) = start_cell(&limits()).await;
    let mut caller = Caller::connect(cell.address(0)).await;
    let headers = [("idempotency-key", "k-1")];
    let submitted = caller
        .call(Method::POST, "/v1/jobs", &headers, JOB)
        .await
        .unwrap();
    assert_eq!(submitted.status, StatusCode::CREATED);
    let id = "alfold-1.0000000000000000";
    assert_eq!(submitted.headers["location"], format!("/v1/jobs/{id}"));
    assert_eq!(submitted.body, format!(r#"{{"id":"{id}"}}"#));
    let (spec, key) = cell.vms[0].jobs.submitted.lock().unwrap()[0].clone();
    assert_eq!((spec.team.as_str(), key.as_deref()), ("t", Some("k-1")));

    let started_at = Instant::now();
    let path = format!("/v1/jobs/{id}?wait_ms=200");
    let read = caller.call(Method::GET, &path, &[], "").await.unwrap();
    assert!(started_at.elapsed() >= Duration::from_millis(200));
    let view: JobView = serde_json::from_slice(&read.body).unwrap();
    assert_eq!(view.id, id);
    let path = format!("/v1/jobs/{id}");
    let cancelled = caller.call(Method::DELETE, &path, &[], "").await.unwrap();
    assert_eq!(cancelled.status, StatusCode::OK);
}

struct Case {
    name: &'static str,
    method: Method,
    path: &'static str,
    headers: &'static [(&'static str, &'static str)],
    body: String,
    status: u16,
    code: &'static str,
    outcome: Certainty,
    retry_after: Option<&'static str>,
}

impl Case {
    fn new(
        name: &'static str,
        method: Method,
        path: &'static str,
        status: u16,
        code: &'static str,
    ) -> Self {
        Self {
            name,
            method,
            path,
            headers: &[],
            body: String::new(),
            status,
            code,
            outcome: Certainty::NotRun,
            retry_after: None,
        }
    }

    fn job(name: &'static str, body: impl Into<String>, status: u16, code: &'static str) -> Self {
        Self {
            body: body.into(),
            ..Self::new(name, Method::POST, "/v1/jobs", status, code)
        }
    }
}

fn job_with_payload(payload: &str) -> String {
    let resources = r#""resources":{}"#;
    format!(r#"{{"team":"t","kind":"k",{resources},"payload":"{payload}"}}"#)
}

fn refusals() -> Vec<Case> {
    let long: &'static str = "x".repeat(2_000).leak();
    let headers: &'static [(&str, &str)] = vec![("x-long", long)].leak();
    vec![
        Case::new("no such path", Method::GET, "/v2", 404, "not_found"),
        Case::new(
            "no service named",
            Method::GET,
            "/v1/services/",
            404,
            "not_found",
        ),
        Case::new(
            "unknown service",
            Method::GET,
            "/v1/services/no/x",
            404,
            "unknown_service",
        ),
        Case::new(
            "method on jobs",
            Method::PUT,
            "/v1/jobs",
            405,
            "jobs_method",
        ),
        Case::new(
            "method on a job",
            Method::PUT,
            "/v1/jobs/a.0",
            405,
            "job_method",
        ),
        Case::new(
            "method on health",
            Method::PUT,
            "/healthz",
            405,
            "health_method",
        ),
        Case::new(
            "malformed id",
            Method::GET,
            "/v1/jobs/a.12",
            400,
            "bad_request",
        ),
        Case {
            outcome: Certainty::Unknown,
            ..Case::new(
                "no such job",
                Method::GET,
                "/v1/jobs/a.00000000000000ff",
                404,
                "no_such_job",
            )
        },
        Case::new(
            "malformed wait",
            Method::GET,
            "/v1/jobs/a.00000000000000ff?wait_ms=soon",
            400,
            "bad_request",
        ),
        Case::job(
            "a body that is not JSON",
            "{\n  \"team\": x",
            400,
            "bad_json",
        ),
        Case::job("an unknown field", r#"{"tean":"t"}"#, 400, "bad_json"),
        Case::job(
            "a job that is too large",
            job_with_payload(&"x".repeat(5_000)),
            413,
            "body_too_large",
        ),
        Case {
            headers: &[("idempotency-key", "")],
            ..Case::job("an empty key", JOB, 400, "bad_request")
        },
        Case {
            retry_after: Some("2"),
            ..Case::job("a full queue", job_with_payload("full"), 503, "queue_full")
        },
        Case::job(
            "a job that never fits",
            job_with_payload("never"),
            422,
            "never_fits",
        ),
        Case {
            outcome: Certainty::Unknown,
            ..Case::job(
                "an unknown outcome",
                job_with_payload("lost"),
                502,
                "table_unavailable",
            )
        },
        Case {
            headers,
            ..Case::new(
                "long headers",
                Method::GET,
                "/v1/jobs/a.0",
                431,
                "header_too_large",
            )
        },
        Case {
            body: "x".repeat(20_001),
            ..Case::new(
                "a request that is too large",
                Method::POST,
                "/v1/services/rota-service/x",
                413,
                "body_too_large",
            )
        },
    ]
}

#[tokio::test(flavor = "multi_thread")]
async fn refusals_give_the_cause_and_whether_the_work_ran() {
    let (cell, servers) = start_cell(&limits()).await;
    for case in refusals() {
        let address = cell.address(0);
        let response = call(address, case.method, case.path, case.headers, case.body).await;
        let response = response.expect(case.name);
        let problem = response.problem();
        assert_eq!(
            response.status.as_u16(),
            case.status,
            "{}: {problem:?}",
            case.name
        );
        assert_eq!(problem.code, case.code, "{}", case.name);
        assert_eq!(problem.outcome, case.outcome, "{}", case.name);
        let retry_after = response
            .headers
            .get("retry-after")
            .map(|v| v.to_str().unwrap());
        assert_eq!(retry_after, case.retry_after, "{}", case.name);
        assert!(
            !problem.detail.is_empty() && !problem.title.is_empty(),
            "{}",
            case.name
        );
    }
    assert_eq!(servers[0].started_requests().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn malformed_json_is_reported_with_line_and_column() {
    let (cell, _servers) = start_cell(&limits()).await;
    let body = "{\n  \"team\": \"t\",\n  \"kind\": 7\n}";
    let response = call(cell.address(0), Method::POST, "/v1/jobs", &[], body)
        .await
        .unwrap();
    let problem = response.problem();
    assert_eq!(
        (problem.line, problem.column),
        (Some(3), Some(11)),
        "{problem:?}"
    );
    assert!(
        problem.detail.contains("line 3 column 11"),
        "{}",
        problem.detail
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn chunked_bodies_are_limited() {
    let (cell, servers) = start_cell(&limits()).await;
    let mut stream = TcpStream::connect(cell.address(0)).await.unwrap();
    let head = format!(
        "POST /v1/services/{SERVICE}/x HTTP/1.1\r\nhost: c\r\nx-request-id: r\r\ntransfer-encoding: chunked\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await.unwrap();
    let chunk = format!("{:x}\r\n{}\r\n", 9_000, "x".repeat(9_000));
    for _ in 0..3 {
        // The server may send the refusal before it has read the whole body.
        let _ = stream.write_all(chunk.as_bytes()).await;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let mut response = vec![0; 4_000];
    let read = stream.read(&mut response).await.unwrap();
    let response = String::from_utf8_lossy(&response[..read]);
    assert!(response.starts_with("HTTP/1.1 413"), "{response}");
    let says_not_run = response.contains(r#""outcome":"not_run""#);
    assert!(
        !says_not_run || servers[0].started_requests().is_empty(),
        "{response}"
    );
    assert!(
        says_not_run || response.contains(r#""outcome":"unknown""#),
        "{response}"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn connections_beyond_the_limit_are_refused() {
    let limits = EntryLimits {
        max_connections: 2,
        ..limits()
    };
    let (cell, _servers) = start_cell(&limits).await;
    let mut callers = Vec::new();
    for _ in 0..2 {
        let mut caller = Caller::connect(cell.address(0)).await;
        let response = caller.call(Method::GET, "/healthz", &[], "").await.unwrap();
        assert_eq!(response.status, StatusCode::OK);
        callers.push(caller);
    }
    let response = call(cell.address(0), Method::GET, "/healthz", &[], "")
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::SERVICE_UNAVAILABLE);
    assert_eq!(response.problem().code, "too_many_connections");
    assert_eq!(response.headers["connection"], "close");
    drop(callers);
    tokio::time::sleep(Duration::from_millis(100)).await;
    let response = call(cell.address(0), Method::GET, "/healthz", &[], "")
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_finishes_requests_in_progress_and_refuses_new_ones() {
    let (mut cell, servers) = start_cell(&limits()).await;
    let address = cell.address(0);
    let mut caller = Caller::connect(address).await;
    let health = caller.call(Method::GET, "/healthz", &[], "").await.unwrap();
    assert_eq!(health.status, StatusCode::OK);
    let waiting = tokio::spawn(call(
        address,
        Method::GET,
        "/v1/jobs/a.0000000000000000?wait_ms=20000",
        &[],
        "",
    ));
    let in_progress = tokio::spawn(service_request(address, "r", 500, 100_000));
    tokio::time::sleep(Duration::from_millis(100)).await;

    let vm = cell.vms.remove(0);
    let started_at = Instant::now();
    let stopping = tokio::spawn(vm.server.stop(Duration::from_secs(5)));
    tokio::time::sleep(Duration::from_millis(50)).await;
    let refused = caller
        .call(Method::POST, "/v1/jobs", &[], JOB)
        .await
        .unwrap();
    assert_eq!(refused.problem().code, "stopping");
    assert_eq!(refused.problem().outcome, Certainty::NotRun);
    assert_eq!(refused.headers["connection"], "close");
    assert!(
        TcpStream::connect(address).await.is_err(),
        "the listener still accepts connections"
    );

    let response = in_progress
        .await
        .unwrap()
        .expect("the request in progress was aborted");
    assert_eq!(response.status, StatusCode::OK);
    assert!(
        waiting.await.unwrap().is_some(),
        "the wait for a job was aborted"
    );
    assert_eq!(stopping.await.unwrap().aborted_requests, 0);
    assert!(
        started_at.elapsed() < Duration::from_secs(2),
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(servers[0].started_requests().len(), 1);
    assert_eq!(vm.jobs.submitted.lock().unwrap().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_reports_requests_aborted_at_the_deadline() {
    let (mut cell, _servers) = start_cell(&limits()).await;
    let address = cell.address(0);
    let long = tokio::spawn(service_request(address, "r", 5_000, 10));
    tokio::time::sleep(Duration::from_millis(100)).await;
    let vm = cell.vms.remove(0);
    let report = vm.server.stop(Duration::from_millis(200)).await;
    assert_eq!(report.aborted_requests, 1);
    assert!(long.await.unwrap().is_none());
}

#[tokio::test(flavor = "multi_thread")]
async fn vm_without_a_configuration_refuses_work() {
    let servers = vec![BackendServer::start("b0", 4).await];
    let cell = Cell::start(1, "", &limits()).await;
    let address = cell.address(0);
    let path = format!("/v1/services/{SERVICE}/x");
    for (method, path) in [(Method::POST, path.as_str()), (Method::POST, "/v1/jobs")] {
        let response = call(address, method, path, &[], JOB).await.unwrap();
        assert_eq!(response.problem().code, "starting");
        assert_eq!(response.problem().outcome, Certainty::NotRun);
        assert!(response.headers.contains_key("retry-after"));
    }
    let health = call(address, Method::GET, "/healthz", &[], "")
        .await
        .unwrap();
    assert_eq!(health.status, StatusCode::SERVICE_UNAVAILABLE);
    cell.configure(1, &config_for_servers("", &servers, 4));
    let health = call(address, Method::GET, "/healthz", &[], "")
        .await
        .unwrap();
    assert_eq!(health.status, StatusCode::OK);
    let response = service_request(address, "r", 1, 10).await.unwrap();
    assert_eq!(response.status, StatusCode::OK);
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_beyond_the_limit_are_refused_but_waits_for_jobs_are_not() {
    let limits = EntryLimits {
        concurrency: ConcurrencyLimits {
            min: 2,
            initial: 2,
            ..ConcurrencyLimits::default()
        },
        ..limits()
    };
    let (cell, servers) = start_cell(&limits).await;
    let address = cell.address(0);
    let path = "/v1/jobs/a.0000000000000000?wait_ms=300";
    let waits: Vec<_> = (0..10)
        .map(|_| tokio::spawn(call(address, Method::GET, path, &[], "")))
        .collect();
    let long: Vec<_> = (0..2)
        .map(|_| tokio::spawn(service_request(address, "r", 300, 10)))
        .collect();
    tokio::time::sleep(Duration::from_millis(100)).await;
    let refused = service_request(address, "refused", 1, 10).await.unwrap();
    assert_eq!(refused.problem().code, "overloaded");
    assert_eq!(refused.problem().outcome, Certainty::NotRun);
    assert_eq!(refused.headers["retry-after"], "1");
    for wait in waits {
        assert_eq!(wait.await.unwrap().unwrap().problem().code, "no_such_job");
    }
    for request in long {
        assert_eq!(request.await.unwrap().unwrap().status, StatusCode::OK);
    }
    assert!(
        !servers[0]
            .started_requests()
            .contains(&"refused".to_owned())
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_callers_get_a_timeout_or_are_disconnected() {
    struct Case {
        name: &'static str,
        sent: &'static str,
        response: &'static str,
    }
    let cases = [
        Case {
            name: "headers that never end",
            sent: "POST /v1/jobs HTTP/1.1\r\nhost: c\r\n",
            response: "",
        },
        Case {
            name: "a job that never arrives",
            sent: "POST /v1/jobs HTTP/1.1\r\nhost: c\r\ncontent-length: 9\r\n\r\n{",
            response: "HTTP/1.1 408",
        },
        Case {
            name: "a request's body that never arrives",
            sent: "POST /v1/services/rota-service/x HTTP/1.1\r\nhost: c\r\ncontent-length: 9\r\n\r\n{",
            response: "HTTP/1.1 408",
        },
    ];
    let limits = EntryLimits {
        header_timeout: Duration::from_millis(300),
        job_body_timeout: Duration::from_millis(300),
        ..limits()
    };
    let servers = vec![BackendServer::start("b0", 4).await];
    let cell = Cell::start(
        1,
        &config_for_servers("timeout_ms = 300", &servers, 4),
        &limits,
    )
    .await;
    for case in cases {
        let mut stream = TcpStream::connect(cell.address(0)).await.unwrap();
        stream.write_all(case.sent.as_bytes()).await.unwrap();
        let mut response = Vec::new();
        let read = tokio::time::timeout(Duration::from_secs(3), stream.read_to_end(&mut response));
        read.await.expect(case.name).unwrap();
        let response = String::from_utf8_lossy(&response);
        assert!(
            response.starts_with(case.response),
            "{}: {response}",
            case.name
        );
        assert!(
            case.response.is_empty() || response.contains(r#""outcome":"not_run""#),
            "{response}"
        );
    }
    assert_eq!(servers[0].started_requests().len(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn http_2_is_served() {
    let (cell, _servers) = start_cell(&limits()).await;
    let stream = TcpStream::connect(cell.address(0)).await.unwrap();
    let handshake = http2::handshake(TokioExecutor::new(), TokioIo::new(stream)).await;
    let (sender, connection) = handshake.unwrap();
    tokio::spawn(connection);
    let mut calls = Vec::new();
    for number in 0..20 {
        let mut sender = sender.clone();
        calls.push(tokio::spawn(async move {
            let name = format!("r-{number}");
            let req = Request::post(format!("http://cell/v1/services/{SERVICE}/x"));
            let req = req
                .header("x-request-id", &name)
                .body(Full::new(Bytes::from("b")));
            let response = sender.send_request(req.unwrap()).await.unwrap();
            assert_eq!(response.status(), StatusCode::OK);
            let body = response.into_body().collect().await.unwrap().to_bytes();
            check_response(&body, &name, b"b", 0).unwrap();
        }));
    }
    for call in calls {
        call.await.unwrap();
    }
}
