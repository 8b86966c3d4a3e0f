//! Which requests are refused because they crash targets.

use std::time::Duration;

use galenastream_routing::{
    CrashId, CrashRecord, LostRun, MAX_SHARED, MAX_STATED, Quarantine, RequestContent,
    RequestFingerprint, Suspect, Suspicion,
};
use galenastream_utils::BootInstant;

fn at(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

fn request(path: &str) -> RequestFingerprint {
    RequestFingerprint::of(&RequestContent {
        method: "GET",
        host: "shop.example",
        path,
        caller_service: b"storefront",
        body: b"",
    })
}

/// Records that a request was at work when a target ended.
fn crash(quarantine: &mut Quarantine, target: u64, path: &str, now: BootInstant) {
    crash_under(quarantine, target, &[path], now);
}

fn crash_under(quarantine: &mut Quarantine, target: u64, paths: &[&str], now: BootInstant) {
    for path in paths {
        let fingerprint = request(path);
        quarantine.record_lost_run(LostRun {
            fingerprint,
            crash: CrashId(target),
            was_suspected: quarantine.suspicion(fingerprint) != Suspicion::None,
            description: format!("GET shop.example{path}").into(),
            lost_at: now,
        });
    }
    quarantine.record_crash(CrashId(target), now);
}

fn suspicion(quarantine: &Quarantine, path: &str) -> Suspicion {
    quarantine.suspicion(request(path))
}

/// Joins all that one node states into another one.
fn tell(from: &Quarantine, to: &mut Quarantine, now: BootInstant) {
    for suspect in from.stated(now) {
        to.merge(suspect, now);
    }
}

#[test]
fn a_request_is_quarantined_with_its_third_crash() {
    let mut quarantine = Quarantine::new();
    crash(&mut quarantine, 1, "/bad", at(0));
    assert_eq!(suspicion(&quarantine, "/bad"), Suspicion::Suspected);
    crash(&mut quarantine, 2, "/bad", at(1_000));
    assert_eq!(suspicion(&quarantine, "/bad"), Suspicion::Suspected);
    crash(&mut quarantine, 3, "/bad", at(60_000));
    assert_eq!(suspicion(&quarantine, "/bad"), Suspicion::Quarantined);
    assert_eq!(quarantine.quarantined_count(), 1);
    // Time alone releases nothing.
    crash(&mut quarantine, 4, "/other", at(10_000_000));
    assert_eq!(suspicion(&quarantine, "/bad"), Suspicion::Quarantined);
}

#[test]
fn a_crash_that_two_nodes_report_counts_once() {
    let mut quarantine = Quarantine::new();
    for _ in 0..4 {
        crash(&mut quarantine, 1, "/innocent", at(0));
    }
    assert_eq!(suspicion(&quarantine, "/innocent"), Suspicion::Suspected);
}

#[test]
fn an_answer_clears_a_request_of_all_crashes() {
    let mut quarantine = Quarantine::new();
    crash(&mut quarantine, 1, "/innocent", at(0));
    crash(&mut quarantine, 2, "/innocent", at(5_000));
    assert_eq!(quarantine.record_answer(request("/innocent"), at(5_100)), 2);
    assert_eq!(suspicion(&quarantine, "/innocent"), Suspicion::None);
    crash(&mut quarantine, 3, "/innocent", at(60_000));
    assert_eq!(suspicion(&quarantine, "/innocent"), Suspicion::Suspected);
}

#[test]
fn a_popular_request_that_was_at_work_at_a_whole_rack_is_not_suspected() {
    let mut quarantine = Quarantine::new();
    quarantine.record_answer(request("/popular"), at(900));
    for target in 0..20 {
        crash(&mut quarantine, target, "/popular", at(1_000));
    }
    assert_eq!(suspicion(&quarantine, "/popular"), Suspicion::None);
}

#[test]
fn targets_that_end_at_once_quarantine_no_request_that_was_at_work_at_all_of_them() {
    // Three nodes record a crash each before they hear of the others.
    let mut nodes = [Quarantine::new(), Quarantine::new(), Quarantine::new()];
    for (target, node) in nodes.iter_mut().enumerate() {
        crash(node, target as u64, "/slow", at(0));
    }
    let [first, second, third] = &mut nodes;
    tell(first, third, at(10));
    tell(second, third, at(10));
    assert_eq!(suspicion(third, "/slow"), Suspicion::Suspected);
    // Two further crashes under it, now that it is suspected, are no coincidence any more.
    crash(third, 4, "/slow", at(2_000));
    assert_eq!(suspicion(third, "/slow"), Suspicion::Suspected);
    crash(third, 5, "/slow", at(2_100));
    assert_eq!(suspicion(third, "/slow"), Suspicion::Quarantined);
}

#[test]
fn a_node_that_has_answered_a_request_tells_those_that_suspect_it() {
    let (mut first, mut second) = (Quarantine::new(), Quarantine::new());
    second.record_answer(request("/popular"), at(0));
    crash(&mut first, 1, "/popular", at(500));
    tell(&first, &mut second, at(600));
    assert_eq!(suspicion(&second, "/popular"), Suspicion::None);
    tell(&second, &mut first, at(700));
    assert_eq!(suspicion(&first, "/popular"), Suspicion::None);
}

#[test]
fn a_late_report_of_a_cleared_crash_changes_nothing_and_is_answered() {
    let (mut first, mut second) = (Quarantine::new(), Quarantine::new());
    for target in 0..3 {
        crash(&mut first, target, "/released", at(target * 1_000));
    }
    tell(&first, &mut second, at(3_000));
    assert!(second.release(request("/released"), at(20_000)));
    // The first node was cut off until long after the second one has stated the release.
    for suspect in first.shared() {
        second.merge(suspect, at(60_000));
    }
    assert_eq!(suspicion(&second, "/released"), Suspicion::None);
    tell(&second, &mut first, at(60_100));
    assert_eq!(suspicion(&first, "/released"), Suspicion::None);
}

#[test]
fn connections_that_were_lost_earlier_do_not_make_a_request_a_suspect() {
    let mut quarantine = Quarantine::new();
    quarantine.record_lost_run(LostRun {
        fingerprint: request("/reset"),
        crash: CrashId(1),
        was_suspected: false,
        description: "".into(),
        lost_at: at(0),
    });
    crash(&mut quarantine, 1, "/bad", at(3_000));
    assert_eq!(suspicion(&quarantine, "/reset"), Suspicion::None);
    assert_eq!(suspicion(&quarantine, "/bad"), Suspicion::Suspected);
}

#[test]
fn all_requests_at_work_at_a_target_are_suspects_of_its_crash() {
    let mut quarantine = Quarantine::new();
    crash_under(&mut quarantine, 1, &["/bad", "/beside"], at(0));
    assert_eq!(suspicion(&quarantine, "/bad"), Suspicion::Suspected);
    assert_eq!(suspicion(&quarantine, "/beside"), Suspicion::Suspected);
    quarantine.record_answer(request("/beside"), at(100));
    crash(&mut quarantine, 2, "/bad", at(200));
    crash_under(&mut quarantine, 3, &["/bad", "/beside"], at(9_000));
    assert_eq!(suspicion(&quarantine, "/bad"), Suspicion::Quarantined);
    assert_eq!(suspicion(&quarantine, "/beside"), Suspicion::Suspected);
}

#[test]
fn memory_and_statements_stay_bounded_and_a_quarantined_request_is_kept() {
    let mut quarantine = Quarantine::new();
    for target in 0..3 {
        crash(&mut quarantine, target, "/bad", at(target));
    }
    for number in 0..6_000 {
        crash(&mut quarantine, 10 + number, &format!("/{number}"), at(10 + number));
    }
    assert_eq!(suspicion(&quarantine, "/bad"), Suspicion::Quarantined);
    assert_eq!(suspicion(&quarantine, "/0"), Suspicion::None);
    assert_eq!(suspicion(&quarantine, "/5999"), Suspicion::Suspected);
    assert_eq!(quarantine.stated(at(6_010)).len(), MAX_STATED);
    for number in 0..100 {
        for target in 0..3 {
            crash(
                &mut quarantine,
                100_000 + number * 3 + target,
                &format!("/x{number}"),
                at(30_000),
            );
        }
    }
    assert_eq!(quarantine.shared().len(), MAX_SHARED);
    assert_eq!(quarantine.quarantined_count(), 101);
}

#[test]
fn records_are_joined_in_any_order_with_the_same_result() {
    let fingerprint = request("/bad");
    let record = |id, was_suspected, is_cleared| {
        let crash = CrashRecord { id: CrashId(id), was_suspected, is_cleared };
        Suspect::new(fingerprint, vec![crash], "")
    };
    let records = [
        record(1, false, false),
        record(2, true, false),
        record(3, true, false),
        record(1, true, false),
    ];
    let mut digests = Vec::new();
    for first in 0..records.len() {
        let mut quarantine = Quarantine::new();
        for offset in 0..records.len() {
            quarantine.merge(&records[(first + offset) % records.len()], at(offset as u64));
        }
        assert_eq!(quarantine.suspicion(fingerprint), Suspicion::Quarantined);
        digests.push(quarantine.digest());
    }
    digests.dedup();
    assert_eq!(digests.len(), 1);
    assert_ne!(digests[0], 0);
}

#[test]
fn a_statement_ends_after_some_seconds() {
    let mut quarantine = Quarantine::new();
    crash(&mut quarantine, 1, "/bad", at(0));
    assert_eq!(quarantine.stated(at(4_000)).len(), 1);
    assert!(quarantine.stated(at(4_000) + Duration::from_secs(2)).is_empty());
}
