//! Tests the stand-in platform and its HTTP clients.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use chestnutlug::adapter::object_store::HttpObjectStore;
use chestnutlug::adapter::table::HttpTable;
use chestnutlug::adapter::vm_list::HttpVmList;
use chestnutlug::port::object_store::ObjectStore;
use chestnutlug::port::table::{
    Condition, MAX_PAGE_ROWS, MAX_TXN_ROWS, Table, TableError, Txn, Write, scan_all,
};
use chestnutlug::port::vm_list::{ListedVm, VmList};
use chestnutlug::standin::platform::{StandinPlatform, Switches, serve};
use tokio::net::TcpListener;

const TIMEOUT: Duration = Duration::from_millis(200);

struct Fixture {
    platform: Arc<StandinPlatform>,
    address: SocketAddr,
    table: HttpTable,
}

async fn fixture() -> Fixture {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let platform = Arc::new(StandinPlatform::new());
    tokio::spawn(serve(platform.clone(), listener, std::future::pending()));
    Fixture {
        platform,
        address,
        table: HttpTable::new(address, TIMEOUT),
    }
}

fn put(key: &str, value: &str) -> Write {
    Write::Put {
        key: key.to_owned(),
        value: value.as_bytes().to_vec(),
    }
}

fn conditional_txn(key: &str, version: u64, writes: Vec<Write>) -> Txn {
    let key = key.to_owned();
    Txn {
        conditions: vec![Condition { key, version }],
        writes,
    }
}

fn delete(key: &str) -> Write {
    Write::Delete {
        key: key.to_owned(),
    }
}

async fn version(table: &dyn Table, key: &str) -> u64 {
    let row = table.read(key).await.unwrap();
    row.map_or(0, |row| row.version)
}

/// A transaction, its result, and the versions of rows `a` and `b` after it; before it, `a` has
/// version 1 and `b` is absent.
struct TxnCase {
    name: &'static str,
    txn: Txn,
    result: Result<(), TableError>,
    versions: [u64; 2],
}

#[tokio::test]
async fn transactions_are_atomic() {
    let conflict = |key: &str| {
        Err(TableError::Conflict {
            key: key.to_owned(),
        })
    };
    let mut second_condition_fails = conditional_txn("a", 1, vec![put("a", "2"), put("b", "1")]);
    second_condition_fails
        .conditions
        .extend(conditional_txn("b", 7, vec![]).conditions);
    let too_many_writes = (0..=MAX_TXN_ROWS)
        .map(|i| put(&format!("a{i}"), ""))
        .collect();
    let cases = [
        TxnCase {
            name: "condition holds",
            txn: conditional_txn("a", 1, vec![put("a", "2"), put("b", "1")]),
            result: Ok(()),
            versions: [2, 1],
        },
        TxnCase {
            name: "absence condition holds",
            txn: conditional_txn("b", 0, vec![put("b", "1")]),
            result: Ok(()),
            versions: [1, 1],
        },
        TxnCase {
            name: "stale version",
            txn: conditional_txn("a", 2, vec![put("a", "2"), put("b", "1")]),
            result: conflict("a"),
            versions: [1, 0],
        },
        TxnCase {
            name: "absence condition fails",
            txn: conditional_txn("a", 0, vec![put("b", "1")]),
            result: conflict("a"),
            versions: [1, 0],
        },
        TxnCase {
            name: "second condition fails",
            txn: second_condition_fails,
            result: conflict("b"),
            versions: [1, 0],
        },
        TxnCase {
            name: "delete",
            txn: conditional_txn("a", 1, vec![delete("a"), put("b", "1")]),
            result: Ok(()),
            versions: [0, 1],
        },
        TxnCase {
            name: "too many rows",
            txn: conditional_txn("a", 1, too_many_writes),
            result: Err(TableError::Invalid(format!("{} rows", MAX_TXN_ROWS + 1))),
            versions: [1, 0],
        },
    ];
    for case in cases {
        let fixture = fixture().await;
        fixture
            .table
            .commit(&conditional_txn("a", 0, vec![put("a", "1")]))
            .await
            .unwrap();
        let tables: [&dyn Table; 2] = [&fixture.table, &*fixture.platform];
        assert_eq!(
            fixture.table.commit(&case.txn).await,
            case.result,
            "{}",
            case.name
        );
        for table in tables {
            let versions = [version(table, "a").await, version(table, "b").await];
            assert_eq!(versions, case.versions, "{}", case.name);
        }
    }
}

#[tokio::test]
async fn scans_return_pages_in_key_order() {
    let fixture = fixture().await;
    for start in (0..MAX_PAGE_ROWS + 10).step_by(MAX_TXN_ROWS) {
        let end = (start + MAX_TXN_ROWS).min(MAX_PAGE_ROWS + 10);
        let writes = (start..end)
            .map(|i| put(&format!("p/{i:05}"), "v"))
            .collect();
        let txn = Txn {
            conditions: vec![],
            writes,
        };
        fixture.table.commit(&txn).await.unwrap();
    }
    let outside_prefix = vec![put("o/9", ""), put("q", "")];
    fixture
        .table
        .commit(&conditional_txn("q", 0, outside_prefix))
        .await
        .unwrap();
    let page = fixture.table.scan("p/", None).await.unwrap();
    assert_eq!(page.len(), MAX_PAGE_ROWS);
    let rows = scan_all(&fixture.table, "p/").await.unwrap();
    let keys: Vec<_> = rows.iter().map(|row| row.key.clone()).collect();
    let expected_keys: Vec<_> = (0..MAX_PAGE_ROWS + 10)
        .map(|i| format!("p/{i:05}"))
        .collect();
    assert_eq!(keys, expected_keys);
}

/// A fault, and the results of one write and one read under it.
struct FaultCase {
    name: &'static str,
    set_fault: fn(&mut Switches),
    write: &'static str,
    takes_effect: bool,
    read: &'static str,
}

fn result_name<T>(result: &Result<T, TableError>) -> &'static str {
    match result {
        Ok(_) => "ok",
        Err(TableError::Conflict { .. }) => "conflict",
        Err(TableError::Unavailable(_)) => "unavailable",
        Err(TableError::Unanswered(_)) => "unanswered",
        Err(TableError::Invalid(_)) => "invalid",
    }
}

#[tokio::test]
async fn faults_have_their_effects() {
    let cases = [
        FaultCase {
            name: "none",
            set_fault: |_| {},
            write: "ok",
            takes_effect: true,
            read: "ok",
        },
        FaultCase {
            name: "outage",
            set_fault: |s| s.outage = true,
            write: "unavailable",
            takes_effect: false,
            read: "unavailable",
        },
        FaultCase {
            name: "next response lost",
            set_fault: |s| s.lose_next = 1,
            write: "unanswered",
            takes_effect: true,
            read: "ok",
        },
        FaultCase {
            name: "all responses lost",
            set_fault: |s| s.lose_answers = 1.0,
            write: "unanswered",
            takes_effect: true,
            read: "ok",
        },
        FaultCase {
            name: "write rate of 0",
            set_fault: |s| s.writes_per_s = Some(0.0),
            write: "unavailable",
            takes_effect: false,
            read: "ok",
        },
        FaultCase {
            name: "latency exceeds the timeout",
            set_fault: |s| s.latency_ms = 300,
            write: "unanswered",
            takes_effect: true,
            read: "unanswered",
        },
    ];
    for case in cases {
        let fixture = fixture().await;
        fixture.platform.update_switches(case.set_fault);
        let written = fixture
            .table
            .commit(&conditional_txn("k", 0, vec![put("k", "v")]))
            .await;
        assert_eq!(result_name(&written), case.write, "{}", case.name);
        let read = fixture.table.read("k").await;
        assert_eq!(result_name(&read), case.read, "{}", case.name);
        fixture
            .platform
            .update_switches(|s| *s = Switches::default());
        let took_effect = version(&fixture.table, "k").await == 1;
        assert_eq!(took_effect, case.takes_effect, "{}", case.name);
    }
}

#[tokio::test]
async fn write_that_hangs_takes_effect_after_the_timeout() {
    let fixture = fixture().await;
    fixture.platform.update_switches(|s| s.hang = true);
    let written = fixture
        .table
        .commit(&conditional_txn("k", 0, vec![put("k", "v")]))
        .await;
    assert_eq!(result_name(&written), "unanswered");
    assert_eq!(fixture.platform.counters().transactions, 0);
    fixture.platform.update_switches(|s| s.hang = false);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(version(&fixture.table, "k").await, 1);
}

#[tokio::test]
async fn unreachable_platform_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let table = HttpTable::new(address, TIMEOUT);
    assert_eq!(result_name(&table.read("k").await), "unavailable");
}

#[tokio::test]
async fn rate_limits_refuse_excess_operations() {
    let fixture = fixture().await;
    fixture.platform.update_switches(|s| {
        s.writes_per_s = Some(100.0);
        s.reads_per_s = Some(40.0);
    });
    let empty_txn = Txn::default();
    let start = Instant::now();
    let mut written = 0;
    let mut read = 0;
    for _ in 0..200 {
        written += u32::from(fixture.platform.commit(&empty_txn).await.is_ok());
        read += u32::from(fixture.platform.read("k").await.is_ok());
    }
    let elapsed_s = start.elapsed().as_secs_f64();
    let max_expected = |per_s: f64| (per_s / 4.0 + per_s * elapsed_s).ceil() as u32;
    assert!(
        (25..=max_expected(100.0)).contains(&written),
        "{written} in {elapsed_s}"
    );
    assert!(
        (10..=max_expected(40.0)).contains(&read),
        "{read} in {elapsed_s}"
    );
    let counters = fixture.platform.counters();
    assert_eq!(counters.refused, u64::from(400 - written - read));
    assert_eq!(counters.transactions, u64::from(written));
}

#[tokio::test]
async fn object_store_fails_independently_of_the_table() {
    let fixture = fixture().await;
    let objects = HttpObjectStore::new(fixture.address, TIMEOUT);
    fixture.platform.update_switches(|s| s.outage = true);
    objects.put("config/1", b"text".to_vec()).await.unwrap();
    assert_eq!(objects.get("config/1").await, Ok(Some(b"text".to_vec())));
    assert_eq!(objects.get("config/2").await, Ok(None));
    fixture
        .platform
        .update_switches(|s| s.objects_outage = true);
    assert_eq!(result_name(&objects.get("config/1").await), "unavailable");
    assert_eq!(
        result_name(&objects.put("config/1", vec![]).await),
        "unavailable"
    );
}

#[tokio::test]
async fn vm_list_lags() {
    let fixture = fixture().await;
    let vms = HttpVmList::new(fixture.address, TIMEOUT);
    let vm = |leaving| ListedVm {
        name: "vm-1".to_owned(),
        leaving,
    };
    fixture.platform.update_switches(|s| s.list_lag_ms = 150);
    fixture.platform.set_vms(vec![vm(false)]);
    tokio::time::sleep(Duration::from_millis(200)).await;
    fixture.platform.set_vms(vec![vm(true)]);
    assert_eq!(vms.list().await, Ok(vec![vm(false)]));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(vms.list().await, Ok(vec![vm(true)]));
    fixture.platform.update_switches(|s| s.list_outage = true);
    assert_eq!(result_name(&vms.list().await), "unavailable");
}

#[test]
fn invalid_switches_are_rejected() {
    let platform = StandinPlatform::new();
    struct Case {
        json: &'static str,
        accepted: bool,
    }
    let cases = [
        Case {
            json: r#"{"latency_ms": 10, "lose_answers": 0.5}"#,
            accepted: true,
        },
        Case {
            json: r#"{"latency": 10}"#,
            accepted: false,
        },
        Case {
            json: r#"{"latency_ms": "ten"}"#,
            accepted: false,
        },
        Case {
            json: "[]",
            accepted: false,
        },
    ];
    for case in cases {
        let result = platform.merge_switches(case.json.as_bytes());
        assert_eq!(result.is_ok(), case.accepted, "{} {result:?}", case.json);
    }
}
