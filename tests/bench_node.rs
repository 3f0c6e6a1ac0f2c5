//! Tests what `bench node` counts: the bytes of a connection, and the traffic of entry VMs.

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

const TIMEOUT: Duration = Duration::from_secs(20);

#[tokio::test]
async fn traffic_counter_counts_all_bytes_of_a_connection() {
    struct Case {
        request_bytes: usize,
        response_bytes: usize,
    }
    let cases = [
        Case {
            request_bytes: 0,
            response_bytes: 0,
        },
        Case {
            request_bytes: 7,
            response_bytes: 300,
        },
        Case {
            request_bytes: 200_000,
            response_bytes: 3,
        },
        Case {
            request_bytes: 3,
            response_bytes: 200_000,
        },
    ];
    for case in cases {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let traffic = Arc::new(TrafficCounter::default());
        let address = listener.local_addr().unwrap();
        let client = HttpClient::new(address, 1).with_traffic(traffic.clone());
        let server = tokio::spawn(serve_once(
            listener,
            case.request_bytes,
            case.response_bytes,
        ));
        let body = Bytes::from(vec![b'x'; case.request_bytes]);
        client.call(Method::POST, "/", body, TIMEOUT).await.unwrap();
        let transferred = server.await.unwrap();
        assert_eq!(traffic.totals().bytes, transferred as u64);
        assert_eq!(traffic.totals().exchanges, 1);
    }
}

/// Responds to one request. Returns the number of bytes read and written.
async fn serve_once(listener: TcpListener, request_bytes: usize, response_bytes: usize) -> usize {
    let (mut stream, _) = listener.accept().await.unwrap();
    let mut read = Vec::new();
    let is_complete = |read: &[u8]| {
        let head = read.windows(4).position(|window| window == b"\r\n\r\n");
        head.is_some_and(|at| read.len() == at + 4 + request_bytes)
    };
    while !is_complete(&read) {
        assert!(stream.read_buf(&mut read).await.unwrap() > 0);
    }
    let head = format!("HTTP/1.1 200 OK\r\ncontent-length: {response_bytes}\r\n\r\n");
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'y'; response_bytes]).await.unwrap();
    read.len() + head.len() + response_bytes
}

#[test]
fn traffic_is_reported_by_destination() {
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
            assert!(messages_per_s(&report, name) > 0.0, "{name}: {report:?}");
        }
        for name in case.unused {
            assert_eq!(messages_per_s(&report, name), 0.0, "{name}: {report:?}");
        }
        assert_eq!(report.starts_per_s > 0.0, case.starts_per_s > 0);
        assert!(report.core_percent > 0.0, "{report:?}");
    }
}

fn messages_per_s(report: &Report, name: &str) -> f64 {
    let mut destinations = report.destinations.iter();
    let traffic = destinations.find(|to| to.destination == name).unwrap();
    assert_eq!(traffic.messages_per_s > 0.0, traffic.bytes_per_s > 0.0);
    traffic.messages_per_s
}
