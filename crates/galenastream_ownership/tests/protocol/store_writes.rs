//! What a node makes of the platform's answers to its writes.

use galenastream_ownership::*;

use crate::bench::*;

/// A node that found no row and has sent its first write.
fn creating() -> (Bench, StoreRequestId, WriteId, CellRow) {
    let mut bench = Bench::new();
    let read = bench.await_read();
    bench.store(read, StoreReply::Row(None));
    let (request, write, row) = last_write(&bench).expect("the node writes the first row");
    (bench, request, write, row)
}

fn last_write(bench: &Bench) -> Option<(StoreRequestId, WriteId, CellRow)> {
    let writes = bench.requests().into_iter().filter_map(|(request, operation)| match operation {
        StoreOperation::Write { write, row, .. } => Some((request, write, row)),
        StoreOperation::Read { .. } => None,
    });
    writes.reduce(|_, last| last)
}

fn is_coordinator(bench: &Bench) -> bool {
    bench.node.cell_view().coordinator == Some(member(0, 1))
}

#[test]
fn a_node_that_finds_no_row_creates_one_and_assigns_after_the_commit() {
    let (mut bench, request, _, row) = creating();
    assert_eq!((row.term, row.coordinator), (Term(1), member(0, 1)));
    assert!(row.slices.iter().all(|it| it.owner.is_none()));
    bench.store(request, StoreReply::Written(RowVersion(1)));
    assert!(is_coordinator(&bench));
    let (request, _, row) = last_write(&bench).unwrap();
    assert!(row.slices.iter().all(|it| it.owner == Some(member(0, 1))));
    assert_eq!(bench.serving(), []);
    bench.store(request, StoreReply::Written(RowVersion(2)));
    bench.pass_ms(5);
    assert_eq!(bench.serving(), [id(0, 2), id(1, 2)]);
}

#[test]
fn a_write_without_an_answer_is_pushed_on_unchanged() {
    let (mut bench, request, write, row) = creating();
    bench.store(request, StoreReply::Unknown);
    for _ in 0..3 {
        let again = bench.await_request(|it| matches!(it, StoreOperation::Write { .. }));
        let (_, again_write, again_row) = last_write(&bench).unwrap();
        assert_eq!((again_write, &again_row), (write, &row));
        bench.store(again, StoreReply::Unknown);
    }
    assert!(!is_coordinator(&bench));
}

/// What a read shows while a write is unsettled, and what follows.
struct Settlement {
    name: &'static str,
    found: fn(WriteId, &CellRow) -> StoreReply,
    takes_office: bool,
    goes_on_pushing: bool,
}

const SETTLEMENTS: &[Settlement] = &[
    Settlement {
        name: "the write itself",
        found: |write, row| stored(1, write.0, row.clone()),
        takes_office: true,
        goes_on_pushing: false,
    },
    Settlement {
        name: "another write",
        found: |_, _| stored(1, 77, row()),
        takes_office: false,
        goes_on_pushing: false,
    },
    Settlement {
        name: "nothing yet",
        found: |_, _| StoreReply::Row(None),
        takes_office: false,
        goes_on_pushing: true,
    },
];

#[test]
fn an_unsettled_write_is_settled_only_by_a_row_that_shows_it_or_rules_it_out() {
    for it in SETTLEMENTS {
        let (mut bench, request, write, row) = creating();
        bench.store(request, StoreReply::Unknown);
        let read = bench.await_read();
        bench.store(read, (it.found)(write, &row));
        assert_eq!(is_coordinator(&bench), it.takes_office, "{}", it.name);
        bench.pass_ms(3_000);
        let mut writes = bench.requests().into_iter();
        let pushes = writes.any(
            |(_, operation)| matches!(operation, StoreOperation::Write { write: it, .. } if it == write),
        );
        assert_eq!(pushes, it.goes_on_pushing, "{}", it.name);
    }
}

#[test]
fn a_conflict_after_a_lost_answer_is_settled_by_a_read() {
    let (mut bench, request, write, row) = creating();
    bench.store(request, StoreReply::Unknown);
    let again = bench.await_request(|it| matches!(it, StoreOperation::Write { .. }));
    bench.store(again, StoreReply::Conflict);
    assert!(!is_coordinator(&bench));
    let read = bench.await_read();
    bench.store(read, stored(1, write.0, row));
    assert!(is_coordinator(&bench), "the first attempt had taken effect");
}

#[test]
fn a_store_that_is_down_is_asked_ever_less_often() {
    let mut bench = Bench::new();
    let mut reads = 0;
    for _ in 0..1_000 {
        bench.pass_ms(10);
        for (request, _) in bench.requests() {
            reads += 1;
            bench.store(request, StoreReply::NotSent);
        }
    }
    assert!((5..30).contains(&reads), "{reads} reads in 10 s");
}
