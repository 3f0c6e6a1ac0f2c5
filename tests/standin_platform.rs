//! The platform's stand-in and its clients over HTTP.

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

struct Rig {
    platform: Arc<StandinPlatform>,
    address: SocketAddr,
    table: HttpTable,
}

async fn rig() -> Rig {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let platform = Arc::new(StandinPlatform::new());
    tokio::spawn(serve(platform.clone(), listener, std::future::pending()));
    Rig {
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

fn when(key: &str, version: u64, writes: Vec<Write>) -> Txn {
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

/// A transaction and what it does to rows `a` and `b` that stand at versions 1 and 0.
struct TxnCase {
    name: &'static str,
    txn: Txn,
    result: Result<(), TableError>,
    versions: [u64; 2],
}

#[tokio::test]
async fn transactions_apply_whole_or_not_at_all() {
    let conflict = |key: &str| {
        Err(TableError::Conflict {
            key: key.to_owned(),
        })
    };
    let mut broken_second = when("a", 1, vec![put("a", "2"), put("b", "1")]);
    broken_second
        .conditions
        .extend(when("b", 7, vec![]).conditions);
    let many = (0..=MAX_TXN_ROWS)
        .map(|i| put(&format!("a{i}"), ""))
        .collect();
    let cases = [
        TxnCase {
            name: "a condition that holds",
            txn: when("a", 1, vec![put("a", "2"), put("b", "1")]),
            result: Ok(()),
            versions: [2, 1],
        },
        TxnCase {
            name: "absence that holds",
            txn: when("b", 0, vec![put("b", "1")]),
            result: Ok(()),
            versions: [1, 1],
        },
        TxnCase {
            name: "a stale version",
            txn: when("a", 2, vec![put("a", "2"), put("b", "1")]),
            result: conflict("a"),
            versions: [1, 0],
        },
        TxnCase {
            name: "absence that does not hold",
            txn: when("a", 0, vec![put("b", "1")]),
            result: conflict("a"),
            versions: [1, 0],
        },
        TxnCase {
            name: "the second condition does not hold",
            txn: broken_second,
            result: conflict("b"),
            versions: [1, 0],
        },
        TxnCase {
            name: "a delete",
            txn: when("a", 1, vec![delete("a"), put("b", "1")]),
            result: Ok(()),
            versions: [0, 1],
        },
        TxnCase {
            name: "too many rows",
            txn: when("a", 1, many),
            result: Err(TableError::Invalid(format!("{} rows", MAX_TXN_ROWS + 1))),
            versions: [1, 0],
        },
    ];
    for case in cases {
        let rig = rig().await;
        rig.table
            .commit(&when("a", 0, vec![put("a", "1")]))
            .await
            .unwrap();
        let ports: [&dyn Table; 2] = [&rig.table, &*rig.platform];
        assert_eq!(
            rig.table.commit(&case.txn).await,
            case.result,
            "{}",
            case.name
        );
        for port in ports {
            let versions = [version(port, "a").await, version(port, "b").await];
            assert_eq!(versions, case.versions, "{}", case.name);
        }
    }
}

#[tokio::test]
async fn scans_give_pages_in_order() {
    let rig = rig().await;
    for from in (0..MAX_PAGE_ROWS + 10).step_by(MAX_TXN_ROWS) {
        let to = (from + MAX_TXN_ROWS).min(MAX_PAGE_ROWS + 10);
        let writes = (from..to).map(|i| put(&format!("p/{i:05}"), "v")).collect();
        let txn = Txn {
            conditions: vec![],
            writes,
        };
        rig.table.commit(&txn).await.unwrap();
    }
    let outside = vec![put("o/9", ""), put("q", "")];
    rig.table.commit(&when("q", 0, outside)).await.unwrap();
    let page = rig.table.scan("p/", None).await.unwrap();
    assert_eq!(page.len(), MAX_PAGE_ROWS);
    let rows = scan_all(&rig.table, "p/").await.unwrap();
    let keys: Vec<_> = rows.iter().map(|row| row.key.clone()).collect();
    let wanted: Vec<_> = (0..MAX_PAGE_ROWS + 10)
        .map(|i| format!("p/{i:05}"))
        .collect();
    assert_eq!(keys, wanted);
}

/// A fault and what one write and one read meet under it.
struct FaultCase {
    name: &'static str,
    set: fn(&mut Switches),
    write: &'static str,
    takes_effect: bool,
    read: &'static str,
}

fn outcome<T>(done: &Result<T, TableError>) -> &'static str {
    match done {
        Ok(_) => "ok",
        Err(TableError::Conflict { .. }) => "conflict",
        Err(TableError::Unavailable(_)) => "unavailable",
        Err(TableError::Unanswered(_)) => "unanswered",
        Err(TableError::Invalid(_)) => "invalid",
    }
}

#[tokio::test]
async fn faults_do_what_they_say() {
    let cases = [
        FaultCase {
            name: "none",
            set: |_| {},
            write: "ok",
            takes_effect: true,
            read: "ok",
        },
        FaultCase {
            name: "outage",
            set: |s| s.outage = true,
            write: "unavailable",
            takes_effect: false,
            read: "unavailable",
        },
        FaultCase {
            name: "next answer lost",
            set: |s| s.lose_next = 1,
            write: "unanswered",
            takes_effect: true,
            read: "ok",
        },
        FaultCase {
            name: "all answers lost",
            set: |s| s.lose_answers = 1.0,
            write: "unanswered",
            takes_effect: true,
            read: "ok",
        },
        FaultCase {
            name: "no write budget",
            set: |s| s.writes_per_s = Some(0.0),
            write: "unavailable",
            takes_effect: false,
            read: "ok",
        },
        FaultCase {
            name: "slow beyond the timeout",
            set: |s| s.latency_ms = 300,
            write: "unanswered",
            takes_effect: true,
            read: "unanswered",
        },
    ];
    for case in cases {
        let rig = rig().await;
        rig.platform.update_switches(case.set);
        let written = rig.table.commit(&when("k", 0, vec![put("k", "v")])).await;
        assert_eq!(outcome(&written), case.write, "{}", case.name);
        let read = rig.table.read("k").await;
        assert_eq!(outcome(&read), case.read, "{}", case.name);
        rig.platform.update_switches(|s| *s = Switches::default());
        let effect = version(&rig.table, "k").await == 1;
        assert_eq!(effect, case.takes_effect, "{}", case.name);
    }
}

#[tokio::test]
async fn a_hung_write_takes_effect_late() {
    let rig = rig().await;
    rig.platform.update_switches(|s| s.hang = true);
    let written = rig.table.commit(&when("k", 0, vec![put("k", "v")])).await;
    assert_eq!(outcome(&written), "unanswered");
    assert_eq!(rig.platform.counters().transactions, 0);
    rig.platform.update_switches(|s| s.hang = false);
    tokio::time::sleep(Duration::from_millis(50)).await;
    assert_eq!(version(&rig.table, "k").await, 1);
}

#[tokio::test]
async fn a_platform_that_is_not_there_is_unavailable() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    drop(listener);
    let table = HttpTable::new(address, TIMEOUT);
    assert_eq!(outcome(&table.read("k").await), "unavailable");
}

#[tokio::test]
async fn budgets_refuse_what_is_beyond_them() {
    let rig = rig().await;
    rig.platform.update_switches(|s| {
        s.writes_per_s = Some(100.0);
        s.reads_per_s = Some(40.0);
    });
    let empty = Txn::default();
    let begin = Instant::now();
    let mut written = 0;
    let mut read = 0;
    for _ in 0..200 {
        written += u32::from(rig.platform.commit(&empty).await.is_ok());
        read += u32::from(rig.platform.read("k").await.is_ok());
    }
    let passed = begin.elapsed().as_secs_f64();
    let most = |per_s: f64| (per_s / 4.0 + per_s * passed).ceil() as u32;
    assert!(
        (25..=most(100.0)).contains(&written),
        "{written} in {passed}"
    );
    assert!((10..=most(40.0)).contains(&read), "{read} in {passed}");
    let counters = rig.platform.counters();
    assert_eq!(counters.refused, u64::from(400 - written - read));
    assert_eq!(counters.transactions, u64::from(written));
}

#[tokio::test]
async fn objects_are_kept_and_fail_apart_from_the_table() {
    let rig = rig().await;
    let objects = HttpObjectStore::new(rig.address, TIMEOUT);
    rig.platform.update_switches(|s| s.outage = true);
    objects.put("config/1", b"text".to_vec()).await.unwrap();
    assert_eq!(objects.get("config/1").await, Ok(Some(b"text".to_vec())));
    assert_eq!(objects.get("config/2").await, Ok(None));
    rig.platform.update_switches(|s| s.objects_outage = true);
    assert_eq!(outcome(&objects.get("config/1").await), "unavailable");
    assert_eq!(
        outcome(&objects.put("config/1", vec![]).await),
        "unavailable"
    );
}

#[tokio::test]
async fn the_vm_list_lags() {
    let rig = rig().await;
    let vms = HttpVmList::new(rig.address, TIMEOUT);
    let vm = |leaving| ListedVm {
        name: "vm-1".to_owned(),
        leaving,
    };
    rig.platform.update_switches(|s| s.list_lag_ms = 150);
    rig.platform.set_vms(vec![vm(false)]);
    tokio::time::sleep(Duration::from_millis(200)).await;
    rig.platform.set_vms(vec![vm(true)]);
    assert_eq!(vms.list().await, Ok(vec![vm(false)]));
    tokio::time::sleep(Duration::from_millis(200)).await;
    assert_eq!(vms.list().await, Ok(vec![vm(true)]));
    rig.platform.update_switches(|s| s.list_outage = true);
    assert_eq!(outcome(&vms.list().await), "unavailable");
}

#[test]
fn switches_are_set_by_name() {
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
        let done = platform.merge_switches(case.json.as_bytes());
        assert_eq!(done.is_ok(), case.accepted, "{} {done:?}", case.json);
    }
}
