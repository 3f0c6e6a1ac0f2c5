//! Messages between processes over nng.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use chestnutlug::adapter::nng::{NngPeerClient, NngServer};
use chestnutlug::message::{Envelope, PROTOCOL_VERSION, Reply, Request};
use chestnutlug::port::BoxFuture;
use chestnutlug::port::peer::{PeerClient, PeerError, PeerHandler};
use nng::{Protocol, Socket};
use quickcheck::{Arbitrary, Gen};

const WAIT: Duration = Duration::from_secs(5);

/// A version that is answered later than any caller in these tests waits for it.
const SLOW: u64 = 1_000;

/// Answers `Config { above }` with `above` as the version, after `above` % 5 times 10 ms, and
/// [`SLOW`] after [`WAIT`].
#[derive(Default)]
struct Echo {
    handled: AtomicU64,
}

impl PeerHandler for Echo {
    fn handle(&self, request: Request) -> BoxFuture<'_, Reply> {
        Box::pin(async move {
            self.handled.fetch_add(1, Ordering::SeqCst);
            let above = match request {
                Request::Config { above } => above,
                Request::Status => panic!("a handler that fails"),
                _ => 0,
            };
            let pause = match above {
                SLOW => WAIT,
                above => Duration::from_millis(above % 5 * 10),
            };
            tokio::time::sleep(pause).await;
            Reply::Config(Some((above, "x".repeat(above as usize))))
        })
    }
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn listen(address: SocketAddr) -> (NngServer, Arc<Echo>) {
    let echo = Arc::new(Echo::default());
    let server = NngServer::listen(address, "secret", echo.clone()).unwrap();
    (server, echo)
}

fn raw_call(address: SocketAddr, bytes: &[u8]) -> Option<Vec<u8>> {
    use nng::options::{Options, RecvTimeout, SendTimeout};
    let socket = Socket::new(Protocol::Req0).unwrap();
    socket.set_opt::<RecvTimeout>(Some(WAIT)).unwrap();
    socket.set_opt::<SendTimeout>(Some(WAIT)).unwrap();
    socket.dial(&format!("tcp://{address}")).unwrap();
    socket.send(bytes).unwrap();
    socket.recv().ok().map(|message| message.to_vec())
}

#[tokio::test(flavor = "multi_thread")]
async fn replies_reach_their_callers_when_many_call_at_once() {
    let (server, echo) = listen(any_port());
    let address = server.address();
    let peers = Arc::new(NngPeerClient::new("secret"));
    let calls: Vec<_> = (0..200_u64)
        .map(|above| {
            let peers = peers.clone();
            tokio::spawn(async move {
                let reply = peers.call(address, &Request::Config { above }, WAIT).await;
                let expected = Reply::Config(Some((above, "x".repeat(above as usize))));
                assert_eq!(reply, Ok(expected));
            })
        })
        .collect();
    for call in calls {
        call.await.unwrap();
    }
    assert_eq!(echo.handled.load(Ordering::SeqCst), 200);
    server.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_wrong_secret_or_version_is_rejected_without_acting() {
    struct Case {
        name: &'static str,
        version: u16,
        secret: &'static str,
        reason: &'static str,
    }
    let cases = [
        Case {
            name: "wrong secret",
            version: PROTOCOL_VERSION,
            secret: "other!",
            reason: "wrong secret",
        },
        Case {
            name: "empty secret",
            version: PROTOCOL_VERSION,
            secret: "",
            reason: "wrong secret",
        },
        Case {
            name: "a prefix of the secret",
            version: PROTOCOL_VERSION,
            secret: "secre",
            reason: "wrong secret",
        },
        Case {
            name: "newer version",
            version: PROTOCOL_VERSION + 1,
            secret: "secret",
            reason: "version",
        },
        Case {
            name: "older version",
            version: PROTOCOL_VERSION - 1,
            secret: "secret",
            reason: "version",
        },
    ];
    let (server, echo) = listen(any_port());
    for case in cases {
        let envelope = Envelope {
            version: case.version,
            secret: case.secret.to_owned(),
            body: Request::Config { above: 0 },
        };
        let bytes = postcard::to_stdvec(&envelope).unwrap();
        let answer = raw_call(server.address(), &bytes).expect(case.name);
        let answer: Envelope<Result<Reply, String>> = postcard::from_bytes(&answer).unwrap();
        let reason = answer.body.unwrap_err();
        assert!(reason.contains(case.reason), "{}: {reason}", case.name);
        assert_eq!(answer.secret, "", "{}: the secret leaks", case.name);
    }
    let stranger = NngPeerClient::new("other!");
    let request = Request::Config { above: 0 };
    let reply = stranger.call(server.address(), &request, WAIT).await;
    assert!(matches!(reply, Err(PeerError::Rejected(_))), "{reply:?}");
    assert_eq!(echo.handled.load(Ordering::SeqCst), 0);
    server.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_lost_peer_gives_an_error_in_time_and_is_reached_again() {
    let (server, _) = listen(any_port());
    let address = server.address();
    let peers = NngPeerClient::new("secret");
    let request = Request::Config { above: 1 };
    assert!(peers.call(address, &request, WAIT).await.is_ok());
    server.close().await;

    let begun = Instant::now();
    let reply = peers
        .call(address, &request, Duration::from_millis(200))
        .await;
    assert!(reply.is_err(), "{reply:?}");
    assert!(begun.elapsed() < Duration::from_millis(1_500));

    let (server, _) = listen(address);
    let reply = peers.call(address, &request, WAIT).await;
    assert!(reply.is_ok(), "{reply:?}");
    server.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_never_listened_gives_not_sent() {
    // A port that was given back could be another process's by now; nobody listens on this one.
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let peers = NngPeerClient::new("secret");
    let begun = Instant::now();
    let reply = peers
        .call(address, &Request::Status, Duration::from_millis(200))
        .await;
    assert!(matches!(reply, Err(PeerError::NotSent(_))), "{reply:?}");
    assert!(begun.elapsed() < Duration::from_millis(1_500));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_slow_reply_ends_the_call_in_time_and_mixes_up_no_later_one() {
    let (server, _) = listen(any_port());
    let peers = NngPeerClient::new("secret");
    let first = Request::Config { above: 0 };
    let reply = peers.call(server.address(), &first, WAIT).await;
    assert!(reply.is_ok(), "{reply:?}");
    let slow = Request::Config { above: SLOW };
    let reply = peers
        .call(server.address(), &slow, Duration::from_millis(500))
        .await;
    assert!(matches!(reply, Err(PeerError::NoReply(_))), "{reply:?}");
    for above in 5..10 {
        let reply = peers
            .call(server.address(), &Request::Config { above }, WAIT)
            .await;
        let expected = Reply::Config(Some((above, "x".repeat(above as usize))));
        assert_eq!(reply, Ok(expected));
    }
    server.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_stop_waiting_leave_the_rest_whole() {
    let (server, _) = listen(any_port());
    let peers = Arc::new(NngPeerClient::new("secret"));
    for round in 0..300_u64 {
        let request = Request::Config { above: round % 3 };
        let call = peers.call(server.address(), &request, WAIT);
        let _ = tokio::time::timeout(Duration::from_micros(round * 7), call).await;
    }
    let reply = peers
        .call(server.address(), &Request::Config { above: 9 }, WAIT)
        .await;
    assert!(
        matches!(reply, Ok(Reply::Config(Some((9, _))))),
        "{reply:?}"
    );
    server.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_handler_that_fails_costs_one_request() {
    let (server, _) = listen(any_port());
    let peers = NngPeerClient::new("secret");
    for _ in 0..300 {
        let reply = peers.call(server.address(), &Request::Status, WAIT).await;
        assert!(matches!(reply, Ok(Reply::Refused(_))), "{reply:?}");
    }
    let reply = peers
        .call(server.address(), &Request::Config { above: 0 }, WAIT)
        .await;
    assert!(reply.is_ok(), "{reply:?}");
    server.close().await;
}

#[test]
fn garbage_is_rejected_and_the_server_goes_on() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let (server, _) = runtime.block_on(async { listen(any_port()) });
    let address = server.address();
    let mut cx = Gen::from_size_and_seed(64, 11);
    for round in 0..200 {
        let mut bytes = Vec::<u8>::arbitrary(&mut cx);
        if bool::arbitrary(&mut cx) {
            let head = postcard::to_stdvec(&(PROTOCOL_VERSION, "secret")).unwrap();
            bytes.splice(0..0, head);
        }
        let answer = raw_call(address, &bytes);
        assert!(answer.is_some(), "round {round}: no answer to {bytes:?}");
    }
    let peers = NngPeerClient::new("secret");
    let request = Request::Config { above: 3 };
    let reply = runtime.block_on(peers.call(address, &request, WAIT));
    assert!(reply.is_ok(), "{reply:?}");
    runtime.block_on(server.close());
}
