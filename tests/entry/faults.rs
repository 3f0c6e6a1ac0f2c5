//! Backend servers and owners that fail.

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

use crate::support::{Answer, Cell, SERVICE, Server, call, config, config_of, request, service};

/// A backend server that takes a request and then does something other than answer it properly.
struct Odd {
    address: SocketAddr,
    taken: Arc<AtomicUsize>,
}

impl Odd {
    /// Sends `answer` to every request, then closes the connection.
    async fn start(answer: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let taken = Arc::new(AtomicUsize::new(0));
        let counter = taken.clone();
        tokio::spawn(async move {
            while let Ok((mut stream, _)) = listener.accept().await {
                let counter = counter.clone();
                tokio::spawn(async move {
                    let mut buf = vec![0; 64 << 10];
                    if stream.read(&mut buf).await.is_ok_and(|read| read > 0) {
                        counter.fetch_add(1, Ordering::SeqCst);
                        let _ = stream.write_all(answer.as_bytes()).await;
                    }
                });
            }
        });
        Self { address, taken }
    }

    fn taken(&self) -> usize {
        self.taken.load(Ordering::SeqCst)
    }
}

/// Takes a port on which nothing listens, so that no other test gets it.
fn take_port(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket
}

async fn keyed(address: SocketAddr, key: Option<&str>, method: Method) -> Answer {
    let headers: Vec<_> = key
        .map(|key| ("idempotency-key", key))
        .into_iter()
        .collect();
    let path = format!("/v1/services/{SERVICE}/x");
    call(address, method, &path, &headers, "body")
        .await
        .expect("cut off")
}

#[tokio::test(flavor = "multi_thread")]
async fn work_that_is_not_idempotent_is_sent_once_and_idempotent_work_again() {
    struct Case {
        name: &'static str,
        answer: &'static str,
        service: &'static str,
        key: Option<&'static str>,
        method: Method,
        status: u16,
        outcome: Option<Certainty>,
    }
    let busy = "HTTP/1.1 503 Busy\r\ncontent-length: 0\r\n\r\n";
    let cases = [
        Case {
            name: "no answer",
            answer: "",
            service: "",
            key: None,
            method: Method::POST,
            status: 502,
            outcome: Some(Certainty::Unknown),
        },
        Case {
            name: "no answer to a method that is idempotent by its name only",
            answer: "",
            service: "",
            key: None,
            method: Method::GET,
            status: 502,
            outcome: Some(Certainty::Unknown),
        },
        Case {
            name: "half a head",
            answer: "HTTP/1.1 200 O",
            service: "",
            key: None,
            method: Method::POST,
            status: 502,
            outcome: Some(Certainty::Unknown),
        },
        Case {
            name: "a failure is passed on",
            answer: busy,
            service: "",
            key: None,
            method: Method::POST,
            status: 503,
            outcome: None,
        },
        Case {
            name: "a key makes it idempotent",
            answer: "",
            service: "",
            key: Some("k"),
            method: Method::POST,
            status: 200,
            outcome: None,
        },
        Case {
            name: "the service makes it idempotent",
            answer: "",
            service: "idempotent = true",
            key: None,
            method: Method::POST,
            status: 200,
            outcome: None,
        },
        Case {
            name: "a failure of idempotent work is tried elsewhere",
            answer: busy,
            service: "idempotent = true",
            key: None,
            method: Method::POST,
            status: 200,
            outcome: None,
        },
    ];
    for case in cases {
        let odd = Odd::start(case.answer).await;
        let good = Server::start("good", 4).await;
        // The odd one is alone first, so that it gets the request.
        let only = [("odd", odd.address, 4)];
        let both = [only[0], ("good", good.address, 4)];
        let repeated = case.status == 200;
        let text = config(case.service, if repeated { &both } else { &only });
        let cell = Cell::start(1, &text, &EntryLimits::default()).await;
        while odd.taken() == 0 {
            let answer = keyed(cell.address(0), case.key, case.method.clone()).await;
            assert_eq!(
                answer.status.as_u16(),
                case.status,
                "{}: {answer:?}",
                case.name
            );
            if let Some(outcome) = case.outcome {
                assert_eq!(answer.problem().outcome, outcome, "{}", case.name);
            }
        }
        assert_eq!(odd.taken(), 1, "{}", case.name);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_says_it_leaves_gets_nothing_more() {
    let leaving = "HTTP/1.1 200 OK\r\nx-leaving: true\r\ncontent-length: 2\r\n\r\nok";
    let odd = Odd::start(leaving).await;
    let good = Server::start("good", 4).await;
    let text = config("", &[("odd", odd.address, 4), ("good", good.address, 4)]);
    let cell = Cell::start(2, &text, &EntryLimits::default()).await;
    for number in 0..40 {
        let answer = keyed(cell.address(number % 2), None, Method::POST).await;
        assert_eq!(answer.status, StatusCode::OK);
        assert!(!answer.headers.contains_key("x-leaving"));
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    assert_eq!(odd.taken(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_backend_server_that_cannot_be_reached_costs_no_request() {
    let good = Server::start("good", 4).await;
    let taken = take_port("127.0.0.1:0".parse().unwrap());
    let closed = taken.local_addr().unwrap();
    let text = config("", &[("closed", closed, 4), ("good", good.address, 4)]);
    let cell = Cell::start(2, &text, &EntryLimits::default()).await;
    for number in 0..40 {
        let answer = request(cell.address(number % 2), "r", 1, 10).await.unwrap();
        assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
    }
    assert_eq!(good.begun().len(), 40);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_request_beyond_its_time_is_aborted_and_its_connection_closed() {
    let server = Server::start("b0", 1).await;
    let text = config_of("timeout_ms = 300", std::slice::from_ref(&server), 1);
    let cell = Cell::start(1, &text, &EntryLimits::default()).await;
    server.backend.update_switches(|s| s.hang = true);
    let begun = Instant::now();
    let answer = request(cell.address(0), "late", 1, 10).await.unwrap();
    assert!(
        begun.elapsed() < Duration::from_millis(900),
        "{:?}",
        begun.elapsed()
    );
    assert_eq!(answer.status, StatusCode::GATEWAY_TIMEOUT);
    assert_eq!(answer.problem().outcome, Certainty::Unknown);
    server.backend.update_switches(|s| s.hang = false);
    let answer = request(cell.address(0), "next", 1, 10).await.unwrap();
    assert_eq!(answer.status, StatusCode::OK);
    assert!(server.most_at_once() <= 1);
    assert_eq!(server.begun(), ["late", "next"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_cut_answer_is_never_taken_for_a_whole_one() {
    let cut = [
        "HTTP/1.1 200 OK\r\ncontent-length: 1000\r\n\r\nhalf",
        "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n4\r\nhalf\r\n",
    ];
    for answer in cut {
        let odd = Odd::start(answer).await;
        let text = config("idempotent = true", &[("odd", odd.address, 2)]);
        let cell = Cell::start(1, &text, &EntryLimits::default()).await;
        let answer = request(cell.address(0), "r", 1, 10).await;
        assert!(answer.is_none(), "{answer:?}");
        assert_eq!(odd.taken(), 1, "a part of the answer was passed on");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn slots_are_kept_while_owners_change() {
    let servers = [Server::start("b0", 3).await, Server::start("b1", 3).await];
    let text = config_of("timeout_ms = 4000", &servers, 3);
    let cell = Cell::start(3, &text, &EntryLimits::default()).await;
    let mut calls = Vec::new();
    for number in 0..300_usize {
        let address = cell.address(number % 3);
        calls.push(tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(number as u64 * 5)).await;
            let name = format!("r-{number}");
            let answer = request(address, &name, 20, 5_000).await.expect("cut off");
            if answer.status == StatusCode::OK {
                check_response(&answer.body, &name, name.as_bytes(), 5_000).unwrap();
                return true;
            }
            assert_eq!(answer.problem().outcome, Certainty::NotRun, "{answer:?}");
            false
        }));
    }
    for epoch in 2..14 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        let index = epoch as usize % 3;
        cell.disown((index + 2) % 3);
        cell.own(index, epoch);
    }
    let mut answered = 0;
    for call in calls {
        answered += usize::from(call.await.unwrap());
    }
    let begun: usize = servers.iter().map(|server| server.begun().len()).sum();
    assert_eq!(begun, answered);
    assert!(answered >= 290, "{answered}");
    for server in &servers {
        assert!(
            server.most_at_once() <= 3,
            "{} at once",
            server.most_at_once()
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_new_owner_waits_for_a_vm_that_is_cut_off_unless_it_has_ended() {
    struct Case {
        name: &'static str,
        /// Whether the process on the lost VM has ended.
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
        let servers = [Server::start("b0", 1).await];
        let text = config_of("timeout_ms = 1000", &servers, 1);
        let mut cell = Cell::start(3, &text, &EntryLimits::default()).await;
        // The first VM uses the only slot on a grant of its own.
        let held = tokio::spawn(request(cell.address(0), "held", 900, 10));
        tokio::time::sleep(Duration::from_millis(300)).await;
        let lost = cell.vms[0].known.address;
        cell.world.cut_off.write().unwrap().insert(lost);
        let mut taken = None;
        if case.ended {
            cell.vms[0].listener = None;
            taken = Some(take_port(lost));
            held.abort();
            tokio::time::sleep(Duration::from_millis(150)).await;
        }
        let begun = Instant::now();
        cell.own(1, 2);
        let mut status = None;
        while status != Some(StatusCode::OK) && begun.elapsed() < Duration::from_secs(4) {
            let answer = request(cell.address(2), "next", 1, 10).await.unwrap();
            status = Some(answer.status);
        }
        assert_eq!(status, Some(StatusCode::OK), "{}", case.name);
        let waited = begun.elapsed() >= Duration::from_millis(1_000);
        assert_eq!(waited, case.waits, "{}: {:?}", case.name, begun.elapsed());
        assert!(servers[0].most_at_once() <= 1, "{}", case.name);
        drop(taken);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_owner_does_not_stop_requests_for_long() {
    let servers = [Server::start("b0", 2).await];
    let text = config_of("timeout_ms = 3000", &servers, 2);
    let cell = Cell::start(2, &text, &EntryLimits::default()).await;
    assert_eq!(cell.vms[0].slots.in_use(&service(), &"b0".into()), 0);
    let lost = cell.vms[0].known.address;
    cell.world.cut_off.write().unwrap().insert(lost);
    let waiting = tokio::spawn(request(cell.address(1), "waits", 1, 10));
    tokio::time::sleep(Duration::from_millis(300)).await;
    cell.world.cut_off.write().unwrap().remove(&lost);
    cell.own(1, 2);
    let answer = waiting.await.unwrap().unwrap();
    assert_eq!(answer.status, StatusCode::OK, "{answer:?}");
}

fn ask(service: &ServiceName) -> SlotRequest<'_> {
    SlotRequest {
        service,
        deadline: Instant::now() + Duration::from_secs(4),
        tried: &[],
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_grant_of_an_earlier_epoch_is_not_used_once_a_new_owner_has_asked() {
    let servers = [Server::start("b0", 4).await];
    let cell = Cell::start(3, &config_of("", &servers, 4), &EntryLimits::default()).await;
    let service = service();
    let (asker, owner) = (&cell.vms[2].slots, &cell.vms[1].slots);
    let early = asker.acquire(&ask(&service)).await.unwrap();
    let used = asker.acquire(&ask(&service)).await.unwrap().activate();
    let used = used.expect("a fresh grant");
    cell.own(1, 2);
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        owner.in_use(&service, &"b0".into()),
        1,
        "the one in use is known"
    );
    assert!(early.activate().is_none());
    used.release(SlotUse {
        succeeded: true,
        latency_us: 1,
        leaving: false,
    });
    tokio::time::sleep(Duration::from_millis(100)).await;
    assert_eq!(
        owner.in_use(&service, &"b0".into()),
        0,
        "given back to the new owner"
    );
}

// One thread, so that blocking it pauses the VM.
#[tokio::test]
async fn an_owner_that_paused_grants_nothing_before_it_could_look_again() {
    let servers = [Server::start("b0", 2).await];
    let cell = Cell::start(2, &config_of("", &servers, 2), &EntryLimits::default()).await;
    let service = service();
    let slots = &cell.vms[0].slots;
    tokio::time::sleep(Duration::from_millis(50)).await;
    drop(slots.acquire(&ask(&service)).await.unwrap());
    std::thread::sleep(Duration::from_millis(1_200));
    let woken = Instant::now();
    let slot = slots.acquire(&ask(&service)).await;
    assert!(slot.is_ok());
    assert!(
        woken.elapsed() >= Duration::from_millis(900),
        "{:?}",
        woken.elapsed()
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slot_is_kept_for_the_next_request_for_a_moment_only() {
    let servers = [Server::start("b0", 2).await];
    let cell = Cell::start(2, &config_of("", &servers, 2), &EntryLimits::default()).await;
    let service = service();
    let (asker, owner) = (&cell.vms[1].slots, &cell.vms[0].slots);
    let in_use = || owner.in_use(&service, &"b0".into());
    let done = SlotUse {
        succeeded: true,
        latency_us: 1,
        leaving: false,
    };
    let begin = async || {
        asker
            .acquire(&ask(&service))
            .await
            .unwrap()
            .activate()
            .unwrap()
    };

    begin().await.release(done);
    assert_eq!(in_use(), 1, "kept");
    let again = begin().await;
    assert_eq!(in_use(), 1, "used again");
    again.release(done);
    tokio::time::sleep(Duration::from_millis(60)).await;
    assert_eq!(in_use(), 0, "given back");

    let long = begin().await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let old = format!("{long:?}");
    long.release(done);
    tokio::time::sleep(Duration::from_millis(5)).await;
    assert_eq!(in_use(), 1, "replaced by a fresh one");
    let fresh = begin().await;
    assert_ne!(format!("{fresh:?}"), old);
    fresh.release(done);
    tokio::time::sleep(Duration::from_millis(60)).await;
    assert_eq!(in_use(), 0, "given back");

    begin().await.release(SlotUse {
        leaving: true,
        ..done
    });
    tokio::time::sleep(Duration::from_millis(5)).await;
    assert_eq!(in_use(), 0, "a leaving one is not kept");
}
