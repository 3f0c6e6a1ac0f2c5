//! Sessions with workers: command numbers, call deadlines and stale responses.

use std::time::Duration;

use chestnutlug::decide::WorkerKey;
use chestnutlug::model::{JobId, Resources, TaskId, Time, WorkerInfo};
use chestnutlug::port::worker::{SyncResponse, WorkerCommand};
use chestnutlug::shard::worker_session::{
    Reachability, WorkerCallTimings, WorkerChannel, WorkerSession,
};

fn session() -> WorkerSession {
    let info = WorkerInfo {
        name: "w".into(),
        rack: "r".into(),
        zone: "z".into(),
        capacity: Resources::default(),
        address: "127.0.0.1:1".parse().unwrap(),
    };
    WorkerSession::new(info, WorkerKey::default())
}

fn task(index: u32) -> TaskId {
    let job = JobId::new(&"s".into(), 1);
    TaskId { job, index }
}

fn start(index: u32) -> WorkerCommand {
    WorkerCommand::Start {
        task: task(index),
        attempt: 1,
        resources: Resources::default(),
        payload: String::new(),
    }
}

fn answer(boot: u64, sequence: u64) -> SyncResponse {
    SyncResponse {
        boot,
        sequence,
        ..SyncResponse::default()
    }
}

/// A session with a reachable worker of boot 5, whose clock was 70 s at 1 s of our clock.
fn reachable() -> WorkerSession {
    let mut session = session();
    session.reset_for_boot(5);
    session.reachability = Reachability::Reachable;
    session.last_sequence = 10;
    session.set_worker_clock(70_000, Time::from_millis(1_000));
    session
}

#[test]
fn only_newer_responses_are_used() {
    let at = Time::from_millis(1_000);
    let times = WorkerCallTimings::default();
    let mut session = reachable();
    session
        .next_call(WorkerChannel::LongPoll, 1, &times, at)
        .unwrap();
    session.queue_command(start(0));
    session
        .next_call(WorkerChannel::Commands, 1, &times, at)
        .unwrap();
    session.reset_for_boot(6);
    session.last_sequence = 3;
    let commands = session.call_ended(WorkerChannel::Commands, true, times.backoff, at);
    session.queue_command(start(1));
    session
        .next_call(WorkerChannel::Commands, 1, &times, at)
        .unwrap();
    let later = session.call_ended(WorkerChannel::Commands, true, times.backoff, at);
    let cases = [
        ("newer, same boot", answer(6, 4), later, false),
        ("same sequence number again", answer(6, 3), later, true),
        ("older, same boot", answer(6, 2), later, true),
        (
            "another boot, call sent before this boot was known",
            answer(5, 99),
            commands,
            true,
        ),
        ("another boot, call sent since", answer(7, 1), later, false),
    ];
    for (name, answer, serial, stale) in cases {
        assert_eq!(session.is_stale(&answer, serial), stale, "{name}");
    }
}

#[test]
fn calls_carry_boot_lease_and_deadline_only_to_a_reachable_worker() {
    let times = WorkerCallTimings::default();
    let margin_ms = times.lease_margin.as_millis() as u64;
    for (reachability, bound) in [
        (Reachability::Unknown, false),
        (Reachability::Unreachable, false),
        (Reachability::Reachable, true),
    ] {
        let mut session = reachable();
        session.reachability = reachability;
        session.queue_command(start(0));
        let at = Time::from_millis(4_000);
        let long_poll = session
            .next_call(WorkerChannel::LongPoll, 3, &times, at)
            .unwrap();
        let deadline = 70_000 + 3_000 + margin_ms / 2;
        let expected = if bound { (5, deadline) } else { (0, 0) };
        assert_eq!(
            (long_poll.boot, long_poll.deadline_ms),
            expected,
            "{reachability:?}"
        );
        assert_eq!(long_poll.lease_ms > 0, bound, "{reachability:?}");
        let commands = session.next_call(WorkerChannel::Commands, 3, &times, at);
        assert_eq!(commands.is_some(), bound, "{reachability:?}");
        let commands = commands.unwrap_or_default();
        assert_eq!(commands.deadline_ms, expected.1, "{reachability:?}");
        assert!(
            session
                .next_call(WorkerChannel::LongPoll, 3, &times, at)
                .is_none(),
            "at most one call in flight per channel"
        );
    }
}

#[test]
fn a_replaced_start_command_is_not_sent_again() {
    let times = WorkerCallTimings::default();
    let at = Time::from_millis(1_000);
    let mut session = reachable();
    let numbers: Vec<u64> = (0..3).map(|i| session.queue_command(start(i))).collect();
    assert_eq!(numbers, [1, 2, 3]);
    session
        .next_call(WorkerChannel::Commands, 1, &times, at)
        .unwrap();
    session.call_ended(WorkerChannel::Commands, false, times.backoff, at);
    session.replace_start_with_stop(2, &task(1));
    session.remove_accepted_commands(1);
    let again = at + times.backoff + Duration::from_millis(1);
    let call = session
        .next_call(WorkerChannel::Commands, 1, &times, again)
        .unwrap();
    assert_eq!(call.first_command, 2);
    assert_eq!(
        call.commands,
        [WorkerCommand::Stop { task: task(1) }, start(2)]
    );
}
