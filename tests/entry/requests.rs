//! Requests without faults: answers whole and own, slots kept, refusals that did not run.

use std::collections::HashSet;
use std::time::Duration;

use chestnutlug::entry::EntryLimits;
use chestnutlug::error::Certainty;
use chestnutlug::node::slot_granter::SlotGranter;
use chestnutlug::standin::backend::check_response;
use hyper::{Method, StatusCode};

use crate::support::{Cell, SERVICE, Server, call, config_of, request, service};

async fn servers(count: usize, slots: u32) -> Vec<Server> {
    let mut servers = Vec::new();
    for index in 0..count {
        servers.push(Server::start(&format!("b{index}"), slots).await);
    }
    servers
}

#[tokio::test(flavor = "multi_thread")]
async fn many_callers_get_their_own_whole_answers_and_slots_are_kept() {
    let servers = servers(3, 4).await;
    let cell = Cell::start(3, &config_of("", &servers, 4), &EntryLimits::default()).await;
    let mut calls = Vec::new();
    for number in 0..600_usize {
        let address = cell.address(number % 3);
        calls.push(tokio::spawn(async move {
            let name = format!("r-{number}");
            // Later requests take less time, so that answers come out of order.
            let work_ms = (600 - number as u64) % 17;
            let bytes = (number % 7) * 9_000;
            let answer = request(address, &name, work_ms, bytes)
                .await
                .expect("cut off");
            assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
            check_response(&answer.body, &name, name.as_bytes(), bytes).unwrap();
        }));
    }
    for call in calls {
        call.await.unwrap();
    }
    let mut begun = HashSet::new();
    for server in &servers {
        assert!(
            server.most_at_once() <= 4,
            "{} at once",
            server.most_at_once()
        );
        assert!(server.most_connections() <= 64);
        for name in server.begun() {
            assert!(begun.insert(name), "a request was sent twice");
        }
    }
    assert_eq!(begun.len(), 600);
    tokio::time::sleep(Duration::from_millis(50)).await;
    for server in &servers {
        assert_eq!(cell.vms[0].slots.in_use(&service(), &server.name), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idle_connections_leave_room_for_twice_the_slots() {
    struct Case {
        max_vms: u32,
        /// Idle connections of three VMs, one of which takes the last request.
        most: u64,
    }
    let cases = [
        Case {
            max_vms: 28,
            most: 3,
        },
        Case {
            max_vms: 24,
            most: 6,
        },
        Case {
            max_vms: 49,
            most: 1,
        },
    ];
    for case in cases {
        let servers = servers(1, 8).await;
        let limits = EntryLimits {
            max_vms: case.max_vms,
            ..EntryLimits::default()
        };
        let cell = Cell::start(3, &config_of("", &servers, 8), &limits).await;
        let calls = (0..120_usize).map(|number| {
            let address = cell.address(number % 3);
            tokio::spawn(async move { request(address, &format!("r-{number}"), 20, 10).await })
        });
        for call in calls.collect::<Vec<_>>() {
            call.await.unwrap().expect("cut off");
        }
        tokio::time::sleep(Duration::from_millis(200)).await;
        request(cell.address(0), "last", 1, 10).await.unwrap();
        let journal = servers[0].backend.journal();
        let last = journal
            .iter()
            .find(|line| line.request.as_deref() == Some("last"));
        let open = last.unwrap().connections;
        assert!(open <= case.most, "{open} with {}", case.max_vms);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_refused_request_never_ran_and_is_told_when_to_come_back() {
    let servers = servers(1, 2).await;
    let text = config_of("max_waiting = 4\ntimeout_ms = 2000", &servers, 2);
    let cell = Cell::start(2, &text, &EntryLimits::default()).await;
    let mut calls = Vec::new();
    for number in 0..120_usize {
        let address = cell.address(number % 2);
        calls.push(tokio::spawn(async move {
            let name = format!("r-{number}");
            let answer = request(address, &name, 100, 10).await.expect("cut off");
            (name, answer)
        }));
    }
    let (mut answered, mut refused) = (HashSet::new(), 0);
    for call in calls {
        let (name, answer) = call.await.unwrap();
        if answer.status == StatusCode::OK {
            answered.insert(name);
            continue;
        }
        refused += 1;
        assert_eq!(answer.status, StatusCode::SERVICE_UNAVAILABLE, "{answer:?}");
        assert_eq!(answer.problem().outcome, Certainty::NotRun);
        let seconds: u64 = answer.headers["retry-after"]
            .to_str()
            .unwrap()
            .parse()
            .unwrap();
        assert!((1..=10).contains(&seconds), "{seconds}");
    }
    let begun: HashSet<String> = servers[0].begun().into_iter().collect();
    assert_eq!(begun, answered);
    assert!(refused > 0);
    assert!(servers[0].most_at_once() <= 2);
}

#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_are_streamed_both_ways() {
    let servers = servers(1, 2).await;
    let text = config_of("max_body_bytes = 3000000", &servers, 2);
    let cell = Cell::start(2, &text, &EntryLimits::default()).await;
    for size in [0, 1, 16 << 10, (16 << 10) + 1, 3_000_000] {
        let sent: Vec<u8> = (0..size).map(|at| (at % 251) as u8).collect();
        let name = format!("r-{size}");
        let headers = [
            ("x-request-id", name.as_str()),
            ("x-answer-bytes", "5000000"),
        ];
        let path = format!("/v1/services/{SERVICE}/upload");
        let answer = call(cell.address(1), Method::PUT, &path, &headers, sent.clone()).await;
        let answer = answer.expect("cut off");
        assert_eq!(
            answer.status,
            StatusCode::OK,
            "{size}: {:?}",
            answer.headers
        );
        check_response(&answer.body, &name, &sent, 5_000_000).unwrap();
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_backend_server_gets_nothing_more() {
    let servers = servers(2, 4).await;
    let cell = Cell::start(2, &config_of("", &servers, 4), &EntryLimits::default()).await;
    cell.vms[0].slots.set_leaving(&["b0".to_owned()]);
    for number in 0..40 {
        let answer = request(cell.address(number % 2), "r", 1, 10).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(servers[0].begun().len(), 0);
    assert_eq!(servers[1].begun().len(), 40);

    cell.vms[0].slots.set_leaving(&[]);
    cell.configure(2, &config_of("", &servers[..1], 4));
    let before = servers[1].begun().len();
    for number in 0..10 {
        let answer = request(cell.address(number % 2), "r", 1, 10).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK);
    }
    assert_eq!(
        servers[1].begun().len(),
        before,
        "removed from the configuration"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_go_away_give_their_slots_back() {
    let servers = servers(1, 2).await;
    let cell = Cell::start(2, &config_of("", &servers, 2), &EntryLimits::default()).await;
    for round in 0..10_u64 {
        let address = cell.address(round as usize % 2);
        let calls: Vec<_> = (0..4)
            .map(|_| tokio::spawn(request(address, "gone", 5_000, 10)))
            .collect();
        tokio::time::sleep(Duration::from_millis(20 + round)).await;
        for call in calls {
            call.abort();
        }
    }
    let answer = request(cell.address(1), "last", 1, 10).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(
        servers[0].most_at_once() <= 2,
        "{} at once",
        servers[0].most_at_once()
    );
}
