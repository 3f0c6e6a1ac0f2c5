//! Tests of the messages between VMs over nng.

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

/// The timeout of a request.
const TIMEOUT: Duration = Duration::from_secs(5);

/// A configuration version whose reply is delayed by [`TIMEOUT`], longer than its callers wait.
const SLOW_VERSION: u64 = 1_000;

/// Replies to `Config { above }` with `above` as the version, after a delay of `above` % 5 times
/// 10 ms, or of [`TIMEOUT`] for [`SLOW_VERSION`]. Panics on `Status`.
#[derive(Default)]
struct EchoHandler {
    handled: AtomicU64,
}

impl PeerHandler for EchoHandler {
    fn handle(&self, request: Request) -> BoxFuture<'_, Reply> {
        Box::pin(async move {
            self.handled.fetch_add(1, Ordering::SeqCst);
            let above = match request {
                Request::Config { above } => above,
                Request::Status => panic!("the handler panics"),
                _ => 0,
            };
            let delay = match above {
                SLOW_VERSION => TIMEOUT,
                above => Duration::from_millis(above % 5 * 10),
            };
            tokio::time::sleep(delay).await;
            Reply::Config(Some((above, "x".repeat(above as usize))))
        })
    }
}

fn any_port() -> SocketAddr {
    "127.0.0.1:0".parse().unwrap()
}

fn listen(address: SocketAddr) -> (NngServer, Arc<EchoHandler>) {
    let handler = Arc::new(EchoHandler::default());
    let server = NngServer::listen(address, "secret", handler.clone()).unwrap();
    (server, handler)
}

/// Sends the bytes of a message over a plain nng socket and returns those of the reply.
fn raw_call(address: SocketAddr, bytes: &[u8]) -> Option<Vec<u8>> {
    use nng::options::{Options, RecvTimeout, SendTimeout};
    let socket = Socket::new(Protocol::Req0).unwrap();
    socket.set_opt::<RecvTimeout>(Some(TIMEOUT)).unwrap();
    socket.set_opt::<SendTimeout>(Some(TIMEOUT)).unwrap();
    socket.dial(&format!("tcp://{address}")).unwrap();
    socket.send(bytes).unwrap();
    socket.recv().ok().map(|message| message.to_vec())
}

#[tokio::test(flavor = "multi_thread")]
async fn concurrent_requests_get_their_own_replies() {
    let (server, handler) = listen(any_port());
    let address = server.address();
    let peers = Arc::new(NngPeerClient::new("secret"));
    let calls: Vec<_> = (0..200_u64)
        .map(|above| {
            let peers = peers.clone();
            tokio::spawn(async move {
                let reply = peers
                    .call(address, &Request::Config { above }, TIMEOUT)
                    .await;
                let expected = Reply::Config(Some((above, "x".repeat(above as usize))));
                assert_eq!(reply, Ok(expected));
            })
        })
        .collect();
    for call in calls {
        call.await.unwrap();
    }
    assert_eq!(handler.handled.load(Ordering::SeqCst), 200);
    server.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn messages_with_a_wrong_secret_or_version_are_rejected_unhandled() {
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
            name: "prefix of the secret",
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
    let (server, handler) = listen(any_port());
    for case in cases {
        let envelope = Envelope {
            version: case.version,
            secret: case.secret.to_owned(),
            body: Request::Config { above: 0 },
        };
        let bytes = postcard::to_stdvec(&envelope).unwrap();
        let reply = raw_call(server.address(), &bytes).expect(case.name);
        let reply: Envelope<Result<Reply, String>> = postcard::from_bytes(&reply).unwrap();
        let reason = reply.body.unwrap_err();
        assert!(reason.contains(case.reason), "{}: {reason}", case.name);
        assert_eq!(
            reply.secret, "",
            "{}: the reply contains the secret",
            case.name
        );
    }
    let peers = NngPeerClient::new("other!");
    let request = Request::Config { above: 0 };
    let reply = peers.call(server.address(), &request, TIMEOUT).await;
    assert!(matches!(reply, Err(PeerError::Rejected(_))), "{reply:?}");
    assert_eq!(handler.handled.load(Ordering::SeqCst), 0);
    server.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stopped_peer_gives_an_error_in_time_and_is_reachable_after_a_restart() {
    let (server, _) = listen(any_port());
    let address = server.address();
    let peers = NngPeerClient::new("secret");
    let request = Request::Config { above: 1 };
    assert!(peers.call(address, &request, TIMEOUT).await.is_ok());
    server.close().await;

    let started_at = Instant::now();
    let reply = peers
        .call(address, &request, Duration::from_millis(200))
        .await;
    assert!(reply.is_err(), "{reply:?}");
    assert!(started_at.elapsed() < Duration::from_millis(1_500));

    let (server, _) = listen(address);
    let reply = peers.call(address, &request, TIMEOUT).await;
    assert!(reply.is_ok(), "{reply:?}");
    server.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_peer_that_never_listened_gives_not_sent() {
    // Port 1, because another process may listen on a port that was just released.
    let address = SocketAddr::from(([127, 0, 0, 1], 1));
    let peers = NngPeerClient::new("secret");
    let started_at = Instant::now();
    let reply = peers
        .call(address, &Request::Status, Duration::from_millis(200))
        .await;
    assert!(matches!(reply, Err(PeerError::NotSent(_))), "{reply:?}");
    assert!(started_at.elapsed() < Duration::from_millis(1_500));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_late_reply_times_out_and_is_not_taken_for_a_later_reply() {
    let (server, _) = listen(any_port());
    let peers = NngPeerClient::new("secret");
    let first = Request::Config { above: 0 };
    let reply = peers.call(server.address(), &first, TIMEOUT).await;
    assert!(reply.is_ok(), "{reply:?}");
    let slow = Request::Config {
        above: SLOW_VERSION,
    };
    let reply = peers
        .call(server.address(), &slow, Duration::from_millis(500))
        .await;
    assert!(matches!(reply, Err(PeerError::NoReply(_))), "{reply:?}");
    for above in 5..10 {
        let reply = peers
            .call(server.address(), &Request::Config { above }, TIMEOUT)
            .await;
        let expected = Reply::Config(Some((above, "x".repeat(above as usize))));
        assert_eq!(reply, Ok(expected));
    }
    server.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn cancelled_calls_do_not_affect_later_ones() {
    let (server, _) = listen(any_port());
    let peers = Arc::new(NngPeerClient::new("secret"));
    for round in 0..300_u64 {
        let request = Request::Config { above: round % 3 };
        let call = peers.call(server.address(), &request, TIMEOUT);
        let _ = tokio::time::timeout(Duration::from_micros(round * 7), call).await;
    }
    let reply = peers
        .call(server.address(), &Request::Config { above: 9 }, TIMEOUT)
        .await;
    assert!(
        matches!(reply, Ok(Reply::Config(Some((9, _))))),
        "{reply:?}"
    );
    server.close().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_panic_of_the_handler_fails_one_request_only() {
    let (server, _) = listen(any_port());
    let peers = NngPeerClient::new("secret");
    for _ in 0..300 {
        let reply = peers
            .call(server.address(), &Request::Status, TIMEOUT)
            .await;
        assert!(matches!(reply, Ok(Reply::Refused(_))), "{reply:?}");
    }
    let reply = peers
        .call(server.address(), &Request::Config { above: 0 }, TIMEOUT)
        .await;
    assert!(reply.is_ok(), "{reply:?}");
    server.close().await;
}

#[test]
fn malformed_messages_are_rejected_and_the_server_continues() {
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .unwrap();
    let (server, _) = runtime.block_on(async { listen(any_port()) });
    let address = server.address();
    let mut g = Gen::from_size_and_seed(64, 11);
    for round in 0..200 {
        let mut bytes = Vec::<u8>::arbitrary(&mut g);
        if bool::arbitrary(&mut g) {
            let header = postcard::to_stdvec(&(PROTOCOL_VERSION, "secret")).unwrap();
            bytes.splice(0..0, header);
        }
        let reply = raw_call(address, &bytes);
        assert!(reply.is_some(), "round {round}: no reply to {bytes:?}");
    }
    let peers = NngPeerClient::new("secret");
    let request = Request::Config { above: 3 };
    let reply = runtime.block_on(peers.call(address, &request, TIMEOUT));
    assert!(reply.is_ok(), "{reply:?}");
    runtime.block_on(server.close());
}
