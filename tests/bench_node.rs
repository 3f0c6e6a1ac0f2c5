//! What `bench node` counts: the bytes of a connection, and the traffic of whole entry VMs.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use chestnutlug::adapter::http::HttpClient;
use chestnutlug::adapter::traffic::TrafficCounter;
use chestnutlug::bench::node::{self, Params, Report};
use chestnutlug::local::cell::CellOptions;
use hyper::Method;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpListener;

const LIMIT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn counts_every_byte_of_a_connection() {
    struct Case {
        request: usize,
        answer: usize,
    }
    let cases = [
        Case {
            request: 0,
            answer: 0,
        },
        Case {
            request: 7,
            answer: 300,
        },
        Case {
            request: 200_000,
            answer: 3,
        },
        Case {
            request: 3,
            answer: 200_000,
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let traffic = Arc::new(TrafficCounter::default());
        let address = listener.local_addr().unwrap();
        let client = HttpClient::new(address, 1).with_traffic(traffic.clone());
        let serving = tokio::spawn(serve_once(listener, case.request, case.answer));
        let body = Bytes::from(vec![b'x'; case.request]);
        client.call(Method::POST, "/", body, LIMIT).await.unwrap();
        let seen = serving.await.unwrap();
        assert_eq!(traffic.totals().bytes, seen as u64);
        assert_eq!(traffic.totals().exchanges, 1);
    }
}

/// Answers one request; returns the bytes that were read and written.
async fn serve_once(listener: TcpListener, request: usize, answer: usize) -> usize {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut read = Vec::new();
    let whole = |read: &[u8]| {
        let head = read.windows(4).position(|end| end == b"\r\n\r\n");
        head.is_some_and(|at| read.len() == at + 4 + request)
    };
    while !whole(&read) {
        assert!(stream.read_buf(&mut read).await.unwrap() > 0);
    }
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {answer}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'y'; answer]).await.unwrap();
    read.len() + head.len() + answer
}

#[test]
fn tells_the_destinations_of_vms_apart() {
    struct Case {
        workers: usize,
        running: u32,
        starts_per_s: u32,
        used: &'static [&'static str],
        unused: &'static [&'static str],
    }
    let cases = [
        Case {
            workers: 0,
            running: 0,
            starts_per_s: 0,
            used: &["table", "vm_list"],
            unused: &["workers", "objects"],
        },
        Case {
            workers: 4,
            running: 8,
            starts_per_s: 20,
            used: &["table", "vm_list", "workers", "peers"],
            unused: &["objects"],
        },
    ];
    for case in cases {
        let params = Params {
            cell: CellOptions {
                vms: 2,
                workers: case.workers,
                shards: 1,
                backends: 1,
                ..CellOptions::default()
            },
            running_tasks: case.running,
            starts_per_s: case.starts_per_s,
            duration: Duration::from_secs(4),
        };
        let report = node::run(&params).unwrap();
        for name in case.used {
            assert!(messages(&report, name) > 0.0, "{name}: {report:?}");
        }
        for name in case.unused {
            assert_eq!(messages(&report, name), 0.0, "{name}: {report:?}");
        }
        assert_eq!(report.starts_per_s > 0.0, case.starts_per_s > 0);
        assert!(report.core_percent > 0.0, "{report:?}");
    }
}

fn messages(report: &Report, name: &str) -> f64 {
    let mut named = report.destinations.iter();
    let found = named.find(|to| to.destination == name).unwrap();
    assert_eq!(found.messages_per_s > 0.0, found.bytes_per_s > 0.0);
    found.messages_per_s
}
