//! Tests of the durable record of quarantined segments, and of early tests of such a segment.

#![allow(clippy::unwrap_used, reason = "helpers of tests may panic like tests")]

use damaskdrift_core::id;
use damaskdrift_core::quarantine;
use damaskdrift_core::time::Millis;

/// Segment that crashes engines.
const DEADLY: u64 = 7_777_777;

fn incarnation(number: u64) -> quarantine::Incarnation {
    quarantine::Incarnation { upstream: id::Upstream::new("e"), started_at: number }
}

/// Returns a ledger in which the deadly segment was blamed for three crashes, the last at 0.5 s.
fn blaming() -> quarantine::Ledger {
    let mut ledger = quarantine::Ledger::default();
    for (number, at) in [(1, 0), (2, 250), (3, 500)] {
        ledger.record_crash(&incarnation(number), &[DEADLY], Millis(at));
    }
    assert_eq!(ledger.update(Millis(1_000)).len(), 1);
    ledger
}

fn recorded(crashes: u32, hold_ms: u64) -> [quarantine::RecordedBlame; 1] {
    [quarantine::RecordedBlame { segment: DEADLY, crashes, hold: Millis(hold_ms) }]
}

/// Guards against a record that extends the quarantine of live instances with each start, against one
/// that brings a lifted quarantine back, and against odd values that make one last for good.
#[test]
fn record_replaces_nothing_that_is_known() {
    let now = Millis(50_000);
    let mut ledger = blaming();
    ledger.restore(&recorded(3, 60_000), now);
    assert_eq!(ledger.blamed(&[DEADLY], Millis(60_499)), Some(&DEADLY));
    assert_eq!(ledger.blamed(&[DEADLY], Millis(60_501)), None, "60 s after the last crash");

    let mut started = quarantine::Ledger::default();
    started.restore(&recorded(3, 60_000), now);
    assert_eq!(started.blamed(&[DEADLY], Millis(109_999)), Some(&DEADLY));
    started.merge(blaming().report(now).unwrap(), now);
    assert_eq!(started.blamed(&[DEADLY], Millis(60_501)), None, "live instances know the time");

    ledger.record_answer(&[DEADLY], now);
    ledger.restore(&recorded(3, 60_000), now);
    assert_eq!(ledger.blamed(&[DEADLY], now), None);

    let mut odd = quarantine::Ledger::default();
    odd.restore(&recorded(u32::MAX, u64::MAX), now);
    odd.restore(&recorded(0, 0), now);
    assert_eq!(odd.blamed(&[DEADLY], now + Millis(961_000)), None);
}

/// Guards against a record that is not ended, or that is written although nothing has changed.
#[test]
fn record_is_written_once_for_each_change_of_the_set() {
    let now = Millis(1_000);
    let mut ledger = blaming();
    let mut recorder = quarantine::Recorder::default();
    assert!(recorder.due(&quarantine::Ledger::default(), now).is_none());
    let (known, blames) = recorder.due(&ledger, now).unwrap();
    assert_eq!((known, &*blames), (0, &recorded(3, 59_500)[..]));
    recorder.observe(Some(&quarantine::Record { revision: 7, blames: Some(blames) }));
    recorder.observe(Some(&quarantine::Record { revision: 6, blames: None }));
    ledger.record_crash(&incarnation(4), &[DEADLY], now);
    ledger.update(now);
    assert!(recorder.due(&ledger, now).is_none(), "one more crash");
    recorder.observe(Some(&quarantine::Record { revision: 8, blames: None }));
    assert_eq!(recorder.due(&ledger, now).unwrap().0, 8, "unreadable");
    recorder
        .observe(Some(&quarantine::Record { revision: 9, blames: Some(recorded(4, 1).into()) }));
    ledger.record_answer(&[DEADLY], now);
    assert_eq!(recorder.due(&ledger, now), Some((9, Vec::new())), "lifted");
    recorder.observe(None);
    assert!(recorder.due(&ledger, now).is_none());
}

/// Guards against a segment that stays in quarantine although new weights or software have made it
/// sound, and against more tests than the fleet may send.
#[test]
fn few_requests_test_a_segment_after_new_weights() {
    let ids: Vec<_> = ["a", "b", "c"].iter().map(|id| id::Instance::new(id)).collect();
    let mut ledgers = [blaming(), blaming(), blaming()];
    let (mut sent, mut crashes) = (0, 3);
    for ms in (2_000..60_000).step_by(100) {
        let now = Millis(ms);
        // New weights every 10 s; the first are older than the crashes.
        let renewed_at = Some(Millis(ms / 10_000 * 10_000));
        for index in 0..ids.len() {
            let instances = (&ids[index], &ids[..]);
            let admission =
                ledgers[index].admit_after_renewal(&[DEADLY], renewed_at, instances, now);
            if admission != quarantine::Admission::Admitted {
                continue;
            }
            sent += 1;
            assert_eq!(ledgers[index].blamed(&[DEADLY], now), None, "the test is sent");
            crashes += 1;
            for ledger in &mut ledgers {
                ledger.record_crash(&incarnation(crashes), &[DEADLY], now + Millis(50));
                ledger.update(now + Millis(50));
            }
            assert_eq!(ledgers[index].blamed(&[DEADLY], now + Millis(50)), Some(&DEADLY));
        }
    }
    assert_eq!(sent, 2);
}
