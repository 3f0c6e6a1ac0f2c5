//! Requests to services while nothing fails: responses, slots, connections and refusals.

use std::collections::HashSet;
use std::time::Duration;

use chestnutlug::entry::EntryLimits;
use chestnutlug::error::Certainty;
use chestnutlug::node::slot_granter::SlotGranter;
use chestnutlug::standin::backend::check_response;
use hyper::{Method, StatusCode};

use crate::support::{
    BackendServer, Cell, SERVICE, call, config_for_servers, service_name, service_request,
};

async fn start_servers(count: usize, slots: u32) -> Vec<BackendServer> {
    let mut servers = Vec::new();
    for index in 0..count {
        servers.push(BackendServer::start(&format!("b{index}"), slots).await);
    }
    servers
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_callers_get_their_own_responses_within_the_slots() {
    let servers = start_servers(3, 4).await;
    let cell = Cell::start(
        3,
        &config_for_servers("", &servers, 4),
        &EntryLimits::default(),
    )
    .await;
    let mut calls = Vec::new();
    for number in 0..600_usize {
        let address = cell.address(number % 3);
        calls.push(tokio::spawn(async move {
            let name = format!("r-{number}");
            // Later requests take less time, so that responses arrive out of order.
            let work_ms = (600 - number as u64) % 17;
            let bytes = (number % 7) * 9_000;
            let response = service_request(address, &name, work_ms, bytes)
                .await
                .expect("the connection broke");
            assert_eq!(response.status, StatusCode::OK, "{response:?}");
            check_response(&response.body, &name, name.as_bytes(), bytes).unwrap();
        }));
    }
    for call in calls {
        call.await.unwrap();
    }
    let mut started = HashSet::new();
    for server in &servers {
        assert!(
            server.max_concurrency() <= 4,
            "{} concurrent requests",
            server.max_concurrency()
        );
        assert!(server.max_connections() <= 64);
        for name in server.started_requests() {
            assert!(started.insert(name), "a request was sent twice");
        }
    }
    assert_eq!(started.len(), 600);
    tokio::time::sleep(Duration::from_millis(50)).await;
    for server in &servers {
        assert_eq!(cell.vms[0].slots.in_use(&service_name(), &server.name), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_leave_room_for_twice_the_slots() {
    struct Case {
        max_vms: u32,
        /// Maximum number of connections during the last request, which uses one of the idle
        /// connections of three VMs.
        max_open: u64,
    }
    let cases = [
        Case {
            max_vms: 28,
            max_open: 3,
        },
        Case {
            max_vms: 24,
            max_open: 6,
        },
        Case {
            max_vms: 49,
            max_open: 1,
        },
    ];
    for case in cases {
        let servers = start_servers(1, 8).await;
        let limits = EntryLimits {
            max_vms: case.max_vms,
            ..EntryLimits::default()
        };
        let cell = Cell::start(3, &config_for_servers("", &servers, 8), &limits).await;
        let calls = (0..120_usize).map(|number| {
            let address = cell.address(number % 3);
            tokio::spawn(
                async move { service_request(address, &format!("r-{number}"), 20, 10).await },
            )
        });
        for call in calls.collect::<Vec<_>>() {
            call.await.unwrap().expect("the connection broke");
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        service_request(cell.address(0), "last", 1, 10)
            .await
            .unwrap();
        let journal = servers[0].backend.journal();
        let last = journal
            .iter()
            .find(|entry| entry.request.as_deref() == Some("last"));
        let open = last.unwrap().connections;
        assert!(
            open <= case.max_open,
            "{open} with max_vms {}",
            case.max_vms
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn refused_requests_did_not_run_and_have_a_retry_after() {
    let servers = start_servers(1, 2).await;
    let text = config_for_servers("max_waiting = 4\ntimeout_ms = 2000", &servers, 2);
    let cell = Cell::start(2, &text, &EntryLimits::default()).await;
    let mut calls = Vec::new();
    for number in 0..120_usize {
        let address = cell.address(number % 2);
        calls.push(tokio::spawn(async move {
            let name = format!("r-{number}");
            let response = service_request(address, &name, 100, 10)
                .await
                .expect("the connection broke");
            (name, response)
        }));
    }
    let (mut succeeded, mut refused) = (HashSet::new(), 0);
    for call in calls {
        let (name, response) = call.await.unwrap();
        if response.status == StatusCode::OK {
            succeeded.insert(name);
            continue;
        }
        refused += 1;
        assert_eq!(
            response.status,
            StatusCode::SERVICE_UNAVAILABLE,
            "{response:?}"
        );
        assert_eq!(response.problem().outcome, Certainty::NotRun);
        let seconds: u64 = response.headers["retry-after"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!((1..=10).contains(&seconds), "{seconds}");
    }
    let started: HashSet<String> = servers[0].started_requests().into_iter().collect();
    assert_eq!(started, succeeded);
    assert!(refused > 0);
    assert!(servers[0].max_concurrency() <= 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_are_streamed_in_both_directions() {
    let servers = start_servers(1, 2).await;
    let text = config_for_servers("max_body_bytes = 3000000", &servers, 2);
    let cell = Cell::start(2, &text, &EntryLimits::default()).await;
    for size in [0, 1, 16 << 10, (16 << 10) + 1, 3_000_000] {
        let sent: Vec<u8> = (0..size).map(|index| (index % 251) as u8).collect();
        let name = format!("r-{size}");
        let headers = [
            ("x-request-id", name.as_str()),
            ("x-answer-bytes", "5000000"),
        ];
        let path = format!("/v1/services/{SERVICE}/upload");
        let response = call(cell.address(1), Method::PUT, &path, &headers, sent.clone()).await;
        let response = response.expect("the connection broke");
        assert_eq!(
            response.status,
            StatusCode::OK,
            "{size}: {:?}",
            response.headers
        );
        check_response(&response.body, &name, &sent, 5_000_000).unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn draining_or_removed_backend_servers_get_no_requests() {
    let servers = start_servers(2, 4).await;
    let cell = Cell::start(
        2,
        &config_for_servers("", &servers, 4),
        &EntryLimits::default(),
    )
    .await;
    cell.vms[0].slots.set_leaving(&["b0".to_owned()]);
    for number in 0..40 {
        let response = service_request(cell.address(number % 2), "r", 1, 10)
            .await
            .unwrap();
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(servers[0].started_requests().len(), 0);
    assert_eq!(servers[1].started_requests().len(), 40);

    cell.vms[0].slots.set_leaving(&[]);
    cell.configure(2, &config_for_servers("", &servers[..1], 4));
    let before = servers[1].started_requests().len();
    for number in 0..10 {
        let response = service_request(cell.address(number % 2), "r", 1, 10)
            .await
            .unwrap();
        assert_eq!(response.status, StatusCode::OK);
    }
    assert_eq!(
        servers[1].started_requests().len(),
        before,
        "a request was sent to a backend server that is not configured"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_of_callers_that_disconnect_are_released() {
    let servers = start_servers(1, 2).await;
    let cell = Cell::start(
        2,
        &config_for_servers("", &servers, 2),
        &EntryLimits::default(),
    )
    .await;
    for round in 0..10_u64 {
        let address = cell.address(round as usize % 2);
        let calls: Vec<_> = (0..4)
            .map(|_| tokio::spawn(service_request(address, "gone", 5_000, 10)))
            .collect();
        tokio::time::sleep(Duration::from_millis(20 + round)).await;
        for call in calls {
            call.abort();
        }
    }
    let response = service_request(cell.address(1), "last", 1, 10)
        .await
        .unwrap();
    assert_eq!(response.status, StatusCode::OK);
    assert!(
        servers[0].max_concurrency() <= 2,
        "{} concurrent requests",
        servers[0].max_concurrency()
    );
}
