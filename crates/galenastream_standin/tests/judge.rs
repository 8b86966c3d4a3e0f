//! The judge finds each kind of breach, and none where there is none.

use expect_test::expect;
use galenastream_standin::{Judge, TargetEvent, TargetEventKind};

fn ran(target: &str, epoch: u64, from_ns: u64, to_ns: u64) -> TargetEvent {
    TargetEvent {
        event: TargetEventKind::Committed,
        target: target.to_owned(),
        key: "frame".to_owned(),
        ticket: String::new(),
        slice: Some(1),
        epoch: Some(epoch),
        term: Some(1),
        request_id: format!("{target}-{from_ns}"),
        method: "POST".to_owned(),
        started_boot_ns: from_ns,
        boot_ns: to_ns,
    }
}

fn with_ticket(ticket: &str, event: TargetEvent) -> TargetEvent {
    TargetEvent { ticket: ticket.to_owned(), ..event }
}

fn report(events: Vec<TargetEvent>) -> String {
    let breaches = Judge::new().with_events(events).breaches();
    breaches.iter().map(|it| format!("{it}\n")).collect()
}

#[test]
fn one_owner_after_the_other_is_no_breach() {
    let events = vec![
        ran("a", 1, 0, 10),
        ran("a", 1, 5, 20),
        ran("b", 2, 21, 30),
        with_ticket("1-2-3", ran("b", 2, 31, 32)),
        with_ticket("1-2-4", ran("b", 2, 33, 34)),
        ran("a", 3, 40, 50),
    ];
    expect![""].assert_eq(&report(events));
}

fn in_slice(slice: u32, event: TargetEvent) -> TargetEvent {
    TargetEvent { slice: Some(slice), ..event }
}

#[test]
fn a_split_at_the_same_owner_is_no_breach() {
    let events = vec![ran("a", 1, 0, 20), in_slice(2, ran("a", 2, 10, 30)), ran("b", 3, 31, 40)];
    expect![""].assert_eq(&report(events));
}

#[test]
fn each_kind_of_breach_is_found() {
    let cases = [
        ("work at the same time", vec![ran("a", 1, 0, 20), ran("b", 2, 10, 30)]),
        (
            "back after a new owner",
            vec![ran("a", 1, 0, 5), ran("b", 2, 10, 20), ran("a", 1, 30, 31)],
        ),
        ("first work after a new owner", vec![ran("b", 2, 10, 20), ran("a", 1, 30, 31)]),
        (
            "work that a split does not hide",
            vec![
                ran("a", 1, 0, 20),
                in_slice(2, ran("a", 2, 5, 8)),
                in_slice(2, ran("b", 3, 10, 12)),
            ],
        ),
        ("one slice, two epochs at once", vec![ran("a", 1, 0, 20), ran("a", 2, 10, 30)]),
        ("one epoch, two targets", vec![ran("a", 1, 0, 5), ran("b", 1, 10, 20)]),
        (
            "one ticket twice",
            vec![with_ticket("1-1-9", ran("a", 1, 0, 5)), with_ticket("1-1-9", ran("a", 1, 6, 7))],
        ),
    ];
    let mut text = String::new();
    for (name, events) in cases {
        text += &format!("{name}:\n{}", report(events));
    }
    expect![[r#"
        work at the same time:
        key frame: a (slice Some(1), epoch Some(1), 0 to 20 ns) and b (slice Some(1), epoch Some(2), 10 to 30 ns) overlap
        back after a new owner:
        key frame: a (slice Some(1), epoch Some(1), 0 to 31 ns) and b (slice Some(1), epoch Some(2), 10 to 20 ns) overlap
        first work after a new owner:
        key frame: b (slice Some(1), epoch Some(2), 10 to 20 ns) and a (slice Some(1), epoch Some(1), 30 to 31 ns) overlap
        work that a split does not hide:
        key frame: a (slice Some(1), epoch Some(1), 0 to 20 ns) and b (slice Some(2), epoch Some(3), 10 to 12 ns) overlap
        one slice, two epochs at once:
        key frame: a (slice Some(1), epoch Some(1), 0 to 20 ns) and a (slice Some(1), epoch Some(2), 10 to 30 ns) overlap
        one epoch, two targets:
        slice 1 in epoch 1 was worked on by a and b
        one ticket twice:
        ticket 1-1-9 of key frame ran in requests a-0 and a-6
    "#]].assert_eq(&text);
}

#[test]
fn the_log_of_a_process_is_read_from_its_output() {
    let line = serde_json::to_string(&ran("a", 1, 0, 5)).unwrap();
    let judge = Judge::new().with_output(&format!("listening 127.0.0.1:1\n{line}\n{{\"cut\":"));
    assert_eq!(judge.committed(), 1);
    assert!(judge.has_run("a-0"));
}
