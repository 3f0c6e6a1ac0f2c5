//! Rows and messages from invalid bytes are rejected without a panic and without large allocations.

use chestnutlug::message::{Envelope, Reply, Request};
use chestnutlug::model::{EndReason, JobId, JobSpec, Outcome, Resources, ShardName, TaskState};
use chestnutlug::port::worker::{SyncRequest, SyncResponse};
use chestnutlug::shard::rows::{
    IdempotencyKey, IdempotencyKeyRow, JobRow, RowError, ShardRow, TaskRow, decode, encode,
    job_key, parse_job_key, parse_task_key, task_key,
};
use quickcheck::{Arbitrary, Gen, QuickCheck};

const CASES: u64 = 3_000;

fn check(f: fn(Vec<u8>, Vec<(u16, u8)>) -> bool) {
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(120, 9))
        .tests(CASES)
        .quickcheck(f);
}

fn job_row() -> JobRow {
    JobRow {
        spec: JobSpec {
            team: "t".into(),
            kind: "k".into(),
            urgency: Default::default(),
            lifetime: Default::default(),
            idempotent: true,
            all_at_once: false,
            tasks: 2,
            resources: Resources::default(),
            expected_ms: 5,
            payload: "{}".to_owned(),
        },
        key: Some(IdempotencyKey {
            row: "key/t/k".to_owned(),
            digest: 9,
        }),
        cancelled: false,
        outcome: Some(Outcome::Succeeded),
        reason: Some(EndReason::BalanceSpent),
        results: vec!["a".to_owned(), "b".to_owned()],
    }
}

/// Returns `good` with `changes` applied and cut to the length in the first byte of `junk`, if any.
fn damaged(good: &[u8], junk: &[u8], changes: &[(u16, u8)]) -> Vec<u8> {
    let mut bytes = good.to_vec();
    for &(at, value) in changes {
        let at = usize::from(at) % bytes.len();
        bytes[at] = value;
    }
    if let Some(&cut) = junk.first() {
        bytes.truncate(usize::from(cut));
    }
    bytes
}

fn decode_all(bytes: &[u8]) {
    let _ = decode::<JobRow>(bytes);
    let _ = decode::<TaskRow>(bytes);
    let _ = decode::<ShardRow>(bytes);
    let _ = decode::<IdempotencyKeyRow>(bytes);
    let _ = postcard::from_bytes::<Envelope<Request>>(bytes);
    let _ = postcard::from_bytes::<Envelope<Reply>>(bytes);
    let _ = postcard::from_bytes::<SyncRequest>(bytes);
    let _ = postcard::from_bytes::<SyncResponse>(bytes);
}

fn random_bytes_are_rejected(junk: Vec<u8>, _changes: Vec<(u16, u8)>) -> bool {
    decode_all(&junk);
    let encoded: Vec<u8> = [1].into_iter().chain(junk.iter().copied()).collect();
    decode_all(&encoded);
    // A length prefix of many GiB in front of a few bytes must not cause a large allocation.
    let long: Vec<u8> = [1, 0xff, 0xff, 0xff, 0xff, 0x7f]
        .into_iter()
        .chain(junk)
        .collect();
    decode_all(&long);
    true
}

fn damage_is_detected_or_harmless(junk: Vec<u8>, changes: Vec<(u16, u8)>) -> bool {
    let bytes = damaged(&encode(&job_row()), &junk, &changes);
    decode_all(&bytes);
    match decode::<JobRow>(&bytes) {
        Ok(row) => decode::<JobRow>(&encode(&row)) == Ok(row),
        Err(RowError::Encoding(found)) => found != 1,
        Err(RowError::Malformed(cause)) => !cause.is_empty(),
        Err(RowError::Key(_)) => false,
    }
}

#[test]
fn random_bytes_as_rows_and_messages() {
    check(random_bytes_are_rejected);
}

#[test]
fn damaged_rows() {
    check(damage_is_detected_or_harmless);
}

#[test]
fn rows_of_another_encoding_are_rejected() {
    let mut bytes = encode(&job_row());
    for encoding in [0, 2, 255] {
        bytes[0] = encoding;
        let read = decode::<JobRow>(&bytes);
        assert_eq!(read, Err(RowError::Encoding(encoding)));
    }
    assert!(matches!(decode::<JobRow>(&[]), Err(RowError::Malformed(_))));
}

#[test]
fn rows_are_decoded_as_encoded() {
    let mut g = Gen::from_size_and_seed(60, 4);
    for _ in 0..500 {
        let outcome = *g
            .choose(&[
                Outcome::Succeeded,
                Outcome::Failed,
                Outcome::Cancelled,
                Outcome::Unknown,
            ])
            .unwrap();
        let task = TaskRow {
            state: *g
                .choose(&[
                    TaskState::Queued,
                    TaskState::Placed,
                    TaskState::Ended(outcome),
                ])
                .unwrap(),
            attempt: u32::arbitrary(&mut g),
            worker: String::arbitrary(&mut g).as_str().into(),
            boot: u64::arbitrary(&mut g),
            reserved: Resources {
                cpu_milli: u32::arbitrary(&mut g),
                ..Resources::default()
            },
            result: String::arbitrary(&mut g),
        };
        assert_eq!(decode::<TaskRow>(&encode(&task)), Ok(task));
        let shard = ShardRow {
            owner: None,
            epoch: u64::arbitrary(&mut g),
            txn: u64::arbitrary(&mut g),
            unfenced_owners: u32::arbitrary(&mut g),
        };
        assert_eq!(decode::<ShardRow>(&encode(&shard)), Ok(shard));
        let (number, index) = (u64::arbitrary(&mut g), u32::arbitrary(&mut g) % 100_000_000);
        let job = JobId::new(&ShardName::from("cell/s.1"), number);
        assert_eq!(parse_job_key(&job_key(&job)), Ok(number));
        let task = chestnutlug::model::TaskId { job, index };
        assert_eq!(parse_task_key(&task_key(&task)), Ok((number, index)));
    }
    for key in ["", "/", "job/s", "task/s/x/y", "task/s/1", "task//zz/0"] {
        assert!(parse_task_key(key).is_err(), "{key}");
    }
}
