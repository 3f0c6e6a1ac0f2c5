//! Failures of backend servers and of owners of services.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use chestnutlug::entry::EntryLimits;
use chestnutlug::error::Certainty;
use chestnutlug::message::SlotUse;
use chestnutlug::model::ServiceName;
use chestnutlug::node::slots::SlotRequest;
use chestnutlug::standin::backend::check_response;
use hyper::{Method, StatusCode};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpSocket};

use crate::support::{
    BackendServer, CallerResponse, Cell, SERVICE, call, config_for_servers, config_text,
    service_name, service_request,
};

/// A backend server that sends a fixed response, which may be empty or incomplete.
struct ScriptedBackend {
    address: SocketAddr,
    requests: Arc<AtomicUsize>,
}

impl ScriptedBackend {
    /// Sends `response` to every request, then closes the connection.
    async fn start(response: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let requests = Arc::new(AtomicUsize::new(0));
        let counter = requests.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let counter = counter.clone();
                tokio::spawn(async move {
                    let mut buf = vec![0; 64 << 10];
                    if stream.read(&mut buf).await.is_ok_and(|read| read > 0) {
                        counter.fetch_add(1, Ordering::SeqCst);
                        let _ = stream.write_all(response.as_bytes()).await;
                    }
                });
            }
        });
        Self { address, requests }
    }

    fn requests(&self) -> usize {
        self.requests.load(Ordering::SeqCst)
    }
}

/// Binds a port without listening on it, so that no other test gets it.
fn reserve_port(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket
}

async fn request_with_key(
    address: SocketAddr,
    key: Option<&str>,
    method: Method,
) -> CallerResponse {
    let headers: Vec<_> = key
        .map(|key| ("idempotency-key", key))
        .into_iter()
        .collect();
    let path = format!("/v1/services/{SERVICE}/x");
    call(address, method, &path, &headers, "body")
        .await
        .expect("the connection broke")
}

#[tokio::test(flavor = "multi_thread")]
async fn only_idempotent_requests_are_sent_again() {
    struct Case {
        name: &'static str,
        response: &'static str,
        service: &'static str,
        key: Option<&'static str>,
        method: Method,
        status: u16,
        outcome: Option<Certainty>,
    }
    let busy = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    let cases = [
        Case {
            name: "no response",
            response: "",
            service: "",
            key: None,
            method: Method::POST,
            status: 502,
            outcome: Some(Certainty::Unknown),
        },
        Case {
            name: "no response to a method that HTTP defines as idempotent",
            response: "",
            service: "",
            key: None,
            method: Method::GET,
            status: 502,
            outcome: Some(Certainty::Unknown),
        },
        Case {
            name: "incomplete head",
            response: "HTTP/1.1 200 O",
            service: "",
            key: None,
            method: Method::POST,
            status: 502,
            outcome: Some(Certainty::Unknown),
        },
        Case {
            name: "a failure response is passed on",
            response: busy,
            service: "",
            key: None,
            method: Method::POST,
            status: 503,
            outcome: None,
        },
        Case {
            name: "an idempotency key allows a retry",
            response: "",
            service: "",
            key: Some("k"),
            method: Method::POST,
            status: 200,
            outcome: None,
        },
        Case {
            name: "an idempotent service allows a retry",
            response: "",
            service: "idempotent = true",
            key: None,
            method: Method::POST,
            status: 200,
            outcome: None,
        },
        Case {
            name: "a failure response to an idempotent request allows a retry",
            response: busy,
            service: "idempotent = true",
            key: None,
            method: Method::POST,
            status: 200,
            outcome: None,
        },
    ];
    for case in cases {
        let scripted = ScriptedBackend::start(case.response).await;
        let good = BackendServer::start("good", 4).await;
        // If no retry is expected, the scripted backend server is the only one, so that it gets the
        // request.
        let only = [("scripted", scripted.address, 4)];
        let both = [only[0], ("good", good.address, 4)];
        let expects_retry = case.status == 200;
        let text = config_text(case.service, if expects_retry { &both } else { &only });
        let cell = Cell::start(1, &text, &EntryLimits::default()).await;
        while scripted.requests() == 0 {
            let response = request_with_key(cell.address(0), case.key, case.method.clone()).await;
            assert_eq!(
                response.status.as_u16(),
                case.status,
                "{}: {response:?}",
                case.name
            );
            if let Some(outcome) = case.outcome {
                assert_eq!(response.problem().outcome, outcome, "{}", case.name);
            }
        }
        assert_eq!(scripted.requests(), 1, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn backend_server_that_reports_draining_gets_no_more_requests() {
    let draining = "HTTP/1.1 200 OK\r\nx-leaving: true\r\ncontent-length: 2\r\n\r\nok";
    let scripted = ScriptedBackend::start(draining).await;
    let good = BackendServer::start("good", 4).await;
    let text = config_text(
        "",
        &[("scripted", scripted.address, 4), ("good", good.address, 4)],
    );
    let cell = Cell::start(2, &text, &EntryLimits::default()).await;
    for number in 0..40 {
        let response = request_with_key(cell.address(number % 2), None, Method::POST).await;
        assert_eq!(response.status, StatusCode::OK);
        assert!(!response.headers.contains_key("x-leaving"));
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(scripted.requests(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn unreachable_backend_server_fails_no_request() {
    let good = BackendServer::start("good", 4).await;
    let reserved = reserve_port("127.0.0.1:0".parse().unwrap());
    let closed = reserved.local_addr().unwrap();
    let text = config_text("", &[("closed", closed, 4), ("good", good.address, 4)]);
    let cell = Cell::start(2, &text, &EntryLimits::default()).await;
    for number in 0..40 {
        let response = service_request(cell.address(number % 2), "r", 1, 10)
            .await
            .unwrap();
        assert_eq!(response.status, StatusCode::OK, "{response:?}");
    }
    assert_eq!(good.started_requests().len(), 40);
}

#[tokio::test(flavor = "multi_thread")]
async fn request_without_a_response_in_time_is_aborted_and_its_connection_closed() {
    let server = BackendServer::start("b0", 1).await;
    let text = config_for_servers("timeout_ms = 300", std::slice::from_ref(&server), 1);
    let cell = Cell::start(1, &text, &EntryLimits::default()).await;
    server.backend.update_switches(|s| s.hang = true);
    let started_at = Instant::now();
    let response = service_request(cell.address(0), "late", 1, 10)
        .await
        .unwrap();
    assert!(
        started_at.elapsed() < Duration::from_millis(900),
        "{:?}",
        started_at.elapsed()
    );
    assert_eq!(response.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(response.problem().outcome, Certainty::Unknown);
    server.backend.update_switches(|s| s.hang = false);
    let response = service_request(cell.address(0), "next", 1, 10)
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert!(server.max_concurrency() <= 1);
    assert_eq!(server.started_requests(), ["late", "next"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_not_passed_on_as_complete() {
    let truncated = [
        "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ];
    for response in truncated {
        let scripted = ScriptedBackend::start(response).await;
        let text = config_text("idempotent = true", &[("scripted", scripted.address, 2)]);
        let cell = Cell::start(1, &text, &EntryLimits::default()).await;
        let response = service_request(cell.address(0), "r", 1, 10).await;
        assert!(response.is_none(), "{response:?}");
        assert_eq!(
            scripted.requests(),
            1,
            "a request was sent again after a part of its response was passed on"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slot_limits_hold_while_owners_change() {
    let servers = [
        BackendServer::start("b0", 3).await,
        BackendServer::start("b1", 3).await,
    ];
    let text = config_for_servers("timeout_ms = 4000", &servers, 3);
    let cell = Cell::start(3, &text, &EntryLimits::default()).await;
    let mut calls = Vec::new();
    for number in 0..300_usize {
        let address = cell.address(number % 3);
        calls.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(number as u64 * 5)).await;
            let name = format!("r-{number}");
            let response = service_request(address, &name, 20, 5_000)
                .await
                .expect("the connection broke");
            if response.status == StatusCode::OK {
                check_response(&response.body, &name, name.as_bytes(), 5_000).unwrap();
                return true;
            }
            assert_eq!(
                response.problem().outcome,
                Certainty::NotRun,
                "{response:?}"
            );
            false
        }));
    }
    for epoch in 2..14 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let index = epoch as usize % 3;
        cell.stop_granting((index + 2) % 3);
        cell.set_owner(index, epoch);
    }
    let mut succeeded = 0;
    for call in calls {
        succeeded += usize::from(call.await.unwrap());
    }
    let started: usize = servers
        .iter()
        .map(|server| server.started_requests().len())
        .sum();
    assert_eq!(started, succeeded);
    assert!(succeeded >= 290, "{succeeded}");
    for server in &servers {
        assert!(
            server.max_concurrency() <= 3,
            "{} concurrent requests",
            server.max_concurrency()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn new_owner_waits_for_the_grants_of_an_unreachable_vm_unless_its_process_has_ended() {
    struct Case {
        name: &'static str,
        /// Whether the process on the unreachable VM has ended.
        ended: bool,
        waits: bool,
    }
    let cases = [
        Case {
            name: "paused or partitioned",
            ended: false,
            waits: true,
        },
        Case {
            name: "ended",
            ended: true,
            waits: false,
        },
    ];
    for case in cases {
        let servers = [BackendServer::start("b0", 1).await];
        let text = config_for_servers("timeout_ms = 1000", &servers, 1);
        let mut cell = Cell::start(3, &text, &EntryLimits::default()).await;
        // VM 0 uses the only slot, which it has granted to itself.
        let holding = tokio::spawn(service_request(cell.address(0), "held", 900, 10));
        tokio::time::sleep(Duration::from_millis(300)).await;
        let unreachable = cell.vms[0].info.address;
        cell.state.unreachable.write().unwrap().insert(unreachable);
        let mut reserved = None;
        if case.ended {
            cell.vms[0].listener = None;
            reserved = Some(reserve_port(unreachable));
            holding.abort();
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        let started_at = Instant::now();
        cell.set_owner(1, 2);
        let mut status = None;
        while status != Some(StatusCode::OK) && started_at.elapsed() < Duration::from_secs(4) {
            let response = service_request(cell.address(2), "next", 1, 10)
                .await
                .unwrap();
            status = Some(response.status);
        }
        assert_eq!(status, Some(StatusCode::OK), "{}", case.name);
        let waited = started_at.elapsed() >= Duration::from_millis(1_000);
        assert_eq!(
            waited,
            case.waits,
            "{}: {:?}",
            case.name,
            started_at.elapsed()
        );
        assert!(servers[0].max_concurrency() <= 1, "{}", case.name);
        drop(reserved);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn waiting_request_is_served_once_an_unreachable_owner_is_replaced() {
    let servers = [BackendServer::start("b0", 2).await];
    let text = config_for_servers("timeout_ms = 3000", &servers, 2);
    let cell = Cell::start(2, &text, &EntryLimits::default()).await;
    assert_eq!(cell.vms[0].slots.in_use(&service_name(), &"b0".into()), 0);
    let unreachable = cell.vms[0].info.address;
    cell.state.unreachable.write().unwrap().insert(unreachable);
    let waiting = tokio::spawn(service_request(cell.address(1), "waits", 1, 10));
    tokio::time::sleep(Duration::from_millis(300)).await;
    cell.state.unreachable.write().unwrap().remove(&unreachable);
    cell.set_owner(1, 2);
    let response = waiting.await.unwrap().unwrap();
    assert_eq!(response.status, StatusCode::OK, "{response:?}");
}

fn slot_request(service: &ServiceName) -> SlotRequest<'_> {
    SlotRequest {
        service,
        deadline: Instant::now() + Duration::from_secs(4),
        tried: &[],
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn grant_of_an_earlier_epoch_is_not_used_after_a_new_owner_has_asked() {
    let servers = [BackendServer::start("b0", 4).await];
    let cell = Cell::start(
        3,
        &config_for_servers("", &servers, 4),
        &EntryLimits::default(),
    )
    .await;
    let service = service_name();
    let (requester, owner) = (&cell.vms[2].slots, &cell.vms[1].slots);
    let unused = requester.acquire(&slot_request(&service)).await.unwrap();
    let active = requester
        .acquire(&slot_request(&service))
        .await
        .unwrap()
        .activate();
    let active = active.expect("the grant is valid");
    cell.set_owner(1, 2);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        owner.in_use(&service, &"b0".into()),
        1,
        "the new owner must know the slot in use"
    );
    assert!(unused.activate().is_none());
    active.release(SlotUse {
        succeeded: true,
        latency_us: 1,
        leaving: false,
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        owner.in_use(&service, &"b0".into()),
        0,
        "the slot was not released to the new owner"
    );
}

// On a single thread, so that blocking it pauses the VM.
#[tokio::test]
async fn owner_grants_nothing_after_a_pause_until_the_directory_is_trusted_again() {
    let servers = [BackendServer::start("b0", 2).await];
    let cell = Cell::start(
        2,
        &config_for_servers("", &servers, 2),
        &EntryLimits::default(),
    )
    .await;
    let service = service_name();
    let slots = &cell.vms[0].slots;
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(slots.acquire(&slot_request(&service)).await.unwrap());
    std::thread::sleep(Duration::from_millis(1_200));
    let resumed_at = Instant::now();
    let slot = slots.acquire(&slot_request(&service)).await;
    assert!(slot.is_ok());
    assert!(
        resumed_at.elapsed() >= Duration::from_millis(900),
        "{:?}",
        resumed_at.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn slot_is_cached_briefly_for_the_next_request() {
    let servers = [BackendServer::start("b0", 2).await];
    let cell = Cell::start(
        2,
        &config_for_servers("", &servers, 2),
        &EntryLimits::default(),
    )
    .await;
    let service = service_name();
    let (requester, owner) = (&cell.vms[1].slots, &cell.vms[0].slots);
    let in_use = || owner.in_use(&service, &"b0".into());
    let usage = SlotUse {
        succeeded: true,
        latency_us: 1,
        leaving: false,
    };
    let activate_slot = async || {
        requester
            .acquire(&slot_request(&service))
            .await
            .unwrap()
            .activate()
            .unwrap()
    };

    activate_slot().await.release(usage);
    assert_eq!(in_use(), 1, "the slot was not cached");
    let reused = activate_slot().await;
    assert_eq!(in_use(), 1, "the cached slot was not used again");
    reused.release(usage);
    tokio::time::sleep(Duration::from_millis(60)).await;
    assert_eq!(in_use(), 0, "the cached slot was not released");

    let long = activate_slot().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let old = format!("{long:?}");
    long.release(usage);
    tokio::time::sleep(Duration::from_millis(5)).await;
    assert_eq!(in_use(), 1, "the old slot was not replaced by a new one");
    let renewed = activate_slot().await;
    assert_ne!(format!("{renewed:?}"), old);
    renewed.release(usage);
    tokio::time::sleep(Duration::from_millis(60)).await;
    assert_eq!(in_use(), 0, "the cached slot was not released");

    activate_slot().await.release(SlotUse {
        leaving: true,
        ..usage
    });
    tokio::time::sleep(Duration::from_millis(5)).await;
    assert_eq!(
        in_use(),
        0,
        "a slot of a draining backend server was cached"
    );
}
