//! Tests of the limits on what clients take from an instance.

use std::net;

use damaskdrift_core::limits;
use damaskdrift_core::time::Millis;
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;

const ACCOUNT: usize = 1 << 20;
const PLACES: usize = 100;

fn address(number: u8) -> net::IpAddr {
    net::IpAddr::from([10, 0, 0, number])
}

fn table() -> limits::Connections {
    limits::Connections::new(ACCOUNT, PLACES)
}

/// Guards against large bodies that leave no memory for small requests.
#[test]
fn large_bodies_leave_a_quarter_to_small_ones() {
    let account = limits::Account::new(ACCOUNT);
    let mut large = account.guard(limits::Kind::Body);
    large.resize(ACCOUNT / 4 * 3).expect("three quarters are free");
    assert_eq!(large.resize(ACCOUNT / 4 * 3 + 1), Err(limits::Short));
    let mut small = account.guard(limits::Kind::Body);
    small.resize(limits::SMALL_BYTES).expect("the reserve is free");
    assert_eq!(small.resize(limits::SMALL_BYTES + 1), Err(limits::Short));
    assert_eq!(small.missing(limits::SMALL_BYTES + 1), limits::SMALL_BYTES + 1);
    let mut buffers = account.guard(limits::Kind::Connection);
    buffers.resize(ACCOUNT / 4 - limits::SMALL_BYTES).expect("the rest of the reserve is free");
    assert_eq!(account.used(), ACCOUNT);
    assert_eq!(buffers.resize(ACCOUNT), Err(limits::Short));
}

/// Guards against bytes that an account loses or returns twice.
#[rstest]
fn all_bytes_are_returned(#[values(1, 2, 3)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let account = limits::Account::new(ACCOUNT);
    let mut guards = Vec::new();
    for _ in 0..2_000 {
        let kind = limits::Kind::ALL[rng.random_range(0..limits::Kind::ALL.len())];
        match rng.random_range(0..3) {
            0 => guards.push(account.guard(kind)),
            1 if !guards.is_empty() => {
                guards.swap_remove(rng.random_range(0..guards.len()));
            }
            _ => {
                let count = guards.len().max(1);
                if let Some(guard) = guards.get_mut(rng.random_range(0..count)) {
                    let bytes = rng.random_range(0..ACCOUNT / 4);
                    assert_eq!(guard.missing(bytes) == 0, guard.resize(bytes).is_ok());
                }
            }
        }
        assert_eq!(account.used(), guards.iter().map(limits::Guard::bytes).sum::<usize>());
        assert!(account.used() <= ACCOUNT);
    }
    drop(guards);
    assert_eq!(account.used(), 0);
    assert!(limits::Kind::ALL.iter().all(|kind| account.used_by(*kind) == 0));
}

/// Guards against an account that takes the memory the process needs for itself.
#[rstest]
#[case(64 << 20, 16)]
#[case(110 << 20, 49)]
#[case(512 << 20, 330)]
fn account_leaves_memory_to_the_process(#[case] memory: u64, #[case] expected_mb: usize) {
    assert_eq!(limits::capacity(memory) >> 20, expected_mb);
}

/// Guards against shares that exceed the descriptors, or leave one kind of connection none.
#[rstest]
fn shares_fit_into_the_descriptors(#[values(16, 320, 1_024, 4_100, 10_250)] total: u32) {
    let shares = limits::Descriptors::new(total);
    // A request holds the caller's connection and one to an upstream.
    let used = shares.callers + 2 * shares.readiness + shares.requests;
    assert!(used < total as usize, "{shares:?}");
    assert!(shares.callers > 0 && shares.readiness > 0 && shares.requests > 0);
    assert!(total < 4_100 || total as usize - used >= 500, "{shares:?}");
}

/// Guards against closing a connection that makes progress or waits for an upstream instead of one
/// whose client has stopped.
#[test]
fn stalled_connections_are_closed_first() {
    let mut table = table();
    let ids: Vec<_> = (0..5).map(|_| table.open(address(1), Millis(0))).collect();
    let [stopped, trickling, sending, running, idle] = ids[..] else { unreachable!("five ids") };
    for id in [stopped, trickling, sending, running] {
        table.record_read(id, 100, Millis(1_000));
        table.begin_body(id, Millis(1_000));
    }
    for id in &ids {
        table.set_bytes(*id, 100_000);
    }
    table.begin_running(running, Millis(1_000));
    for now in 2_000..10_000 {
        table.record_read(sending, 100, Millis(now));
        if now % 1_500 == 0 {
            // Single bytes are no progress.
            table.record_read(trickling, 1, Millis(now));
        }
    }
    let now = Millis(10_000);
    let all = table.choose(limits::Wanted::Bytes(300_000), address(2), now);
    assert_eq!(all, [idle, stopped, trickling]);
    assert_eq!(table.choose(limits::Wanted::Bytes(1), address(2), now), [idle]);
    assert!(table.choose(limits::Wanted::Bytes(300_001), address(2), now).is_empty());
    assert_eq!(table.choose(limits::Wanted::Connection, address(2), now), [idle]);
    assert!(table.choose(limits::Wanted::Request, address(2), now).is_empty());
    table.record_blocked(running, Millis(9_000));
    assert_eq!(table.choose(limits::Wanted::Request, address(2), now), [running]);
    table.record_written(running, Millis(9_900));
    assert!(table.choose(limits::Wanted::Request, address(2), now).is_empty());
    table.set_closing(idle);
    assert_eq!(table.choose(limits::Wanted::Bytes(1), address(2), now), [stopped]);
}

/// Guards against one address that takes the places or the memory of others, and against a limit on
/// callers behind one balancer.
#[test]
fn an_address_over_its_share_loses_first() {
    let mut table = table();
    let ordinary = table.open(address(1), Millis(0));
    let crowd: Vec<_> = (0..99).map(|n| table.open(address(2), Millis(1_000 + n))).collect();
    assert!(!table.has_place());
    let now = Millis(8_000);
    for wanted in [limits::Wanted::Connection, limits::Wanted::Bytes(1)] {
        table.set_bytes(crowd[0], ACCOUNT / 4 * 3);
        table.set_bytes(ordinary, 1);
        assert_eq!(table.choose(wanted, address(3), now), [crowd[0]], "{wanted:?}");
        assert_eq!(table.choose(wanted, address(2), now), [crowd[0]], "{wanted:?}");
    }
    // Its connections that still send are closed only for others.
    table.begin_body(crowd[0], Millis(7_900));
    let wanted = limits::Wanted::Bytes(ACCOUNT / 2);
    assert!(table.choose(wanted, address(2), now).is_empty());
    assert!(table.choose(wanted, address(3), now).contains(&crowd[0]));

    let mut behind_balancer = limits::Connections::new(ACCOUNT, PLACES);
    let first = behind_balancer.open(address(1), Millis(0));
    let wanted = limits::Wanted::Connection;
    assert_eq!(behind_balancer.choose(wanted, address(1), Millis(1)), [first]);
}

/// Guards against timeouts that a well-behaved caller meets or that a slow one evades.
#[test]
fn connections_without_progress_are_overdue() {
    let timeouts = limits::Timeouts { header: Millis(3_000), ..limits::Timeouts::default() };
    let mut table = table();
    let reused = table.open(address(1), Millis(0));
    table.record_read(reused, 100, Millis(0));
    table.begin_body(reused, Millis(0));
    table.begin_running(reused, Millis(0));
    assert!(table.overdue(&timeouts, Millis(600_000)).is_empty());
    table.end_request(reused, Millis(600_000));
    assert!(table.overdue(&timeouts, Millis(612_000)).is_empty());
    // The time for a header begins with its first byte, whatever the idle time before.
    for now in 0..29 {
        table.record_read(reused, 1_200, Millis(612_000 + now * 100));
        assert!(table.overdue(&timeouts, Millis(612_000 + now * 100)).is_empty());
    }
    let reasons = [(reused, limits::Reason::SlowHeader)];
    assert_eq!(table.overdue(&timeouts, Millis(615_000)), reasons);

    let silent = table.open(address(1), Millis(615_000));
    table.remove(reused);
    assert_eq!(table.overdue(&timeouts, Millis(630_000)), [(silent, limits::Reason::Idle)]);
    table.record_blocked(silent, Millis(620_000));
    assert!(table.overdue(&timeouts, Millis(649_999)).is_empty());
    let reasons = [(silent, limits::Reason::SlowReader)];
    assert_eq!(table.overdue(&timeouts, Millis(650_000)), reasons);
    table.record_written(silent, Millis(649_000));
    assert!(table.overdue(&timeouts, Millis(663_999)).is_empty());
}

/// Guards against a body that is held forever by a trickle of bytes.
#[test]
fn bodies_grow_at_a_minimum_rate() {
    assert_eq!(limits::body_due(Millis(1_000), 0), Millis(6_000));
    assert_eq!(limits::body_due(Millis(1_000), 10_000), Millis(16_000));
}

/// Guards against a limit on header fields that the largest legal header meets.
#[test]
fn largest_legal_header_is_within_the_limits() {
    let fields = vec![("a", &b""[..]); 4_096];
    assert_eq!(limits::header_bytes(fields.into_iter()), 16_384);
    assert!(limits::max_fields(16_384) >= 4_096);
    assert!(limits::header_memory(4_096, 16_384) > limits::SMALL_BYTES);
}

/// Guards against counts that drift apart while connections come and go.
#[rstest]
fn table_is_empty_after_all_have_ended(#[values(1, 2, 3)] seed: u64) {
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    let mut table = table();
    let mut open = Vec::new();
    for now in (0..5_000).map(Millis) {
        if open.len() < 50 {
            open.push(table.open(address(rng.random_range(0..4)), now));
        }
        let index = rng.random_range(0..open.len());
        let id = open[index];
        match rng.random_range(0..9) {
            0 => table.record_read(id, rng.random_range(1..2_000), now),
            1 => table.begin_body(id, now),
            2 => table.begin_running(id, now),
            3 => table.end_request(id, now),
            4 => table.record_blocked(id, now),
            5 => table.record_written(id, now),
            6 => table.set_bytes(id, rng.random_range(0..10_000)),
            7 => table.set_closing(id),
            _ => table.remove(open.swap_remove(index)),
        }
        for wanted in [limits::Wanted::Connection, limits::Wanted::Bytes(5_000)] {
            for id in table.choose(wanted, address(0), now) {
                assert!(open.contains(&id), "a closed connection was chosen");
            }
        }
        assert_eq!(table.len(), open.len());
    }
    open.into_iter().for_each(|id| table.remove(id));
    assert!(table.is_empty());
    assert_eq!(table.running(), 0);
    assert!(table.choose(limits::Wanted::Connection, address(0), Millis(9_000)).is_empty());
}

/// Guards against a crowd that fills the log.
#[test]
fn log_lines_are_limited() {
    let mut lines = limits::Lines::default();
    let admitted = (0..1_000).filter(|_| lines.admit(Millis(5_000)).0).count();
    assert_eq!(admitted, 50);
    assert_eq!(lines.admit(Millis(6_000)), (true, 950));
    assert_eq!(lines.admit(Millis(7_000)), (true, 0));
}
