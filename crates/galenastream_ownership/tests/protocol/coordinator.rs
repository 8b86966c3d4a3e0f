//! When a coordinator reassigns slices, and whom it grants what.

use galenastream_ownership::*;

use crate::bench::*;

/// How long a lease is waited out, with the margin for clock rates.
const LEASE_WAIT_MS: u64 = 606;

/// How long the orders of a target that does not check grants are waited out besides.
const ORDER_WAIT_MS: u64 = 1_010;

/// A node that a row without witnesses names as coordinator. Node 1 owns the second half.
fn office(grant_checkers: Vec<Member>) -> Office {
    let row = CellRow {
        coordinator: member(0, 1),
        witnesses: WitnessSet::default(),
        grant_checkers,
        ..row()
    };
    let mut office = Office { bench: Bench::new(), version: 10, sequence: 0 };
    let read = office.bench.await_read();
    office.bench.store(read, stored(10, 1, row));
    office.answer_writes();
    office
}

/// A coordinator with a store that answers at once.
struct Office {
    bench: Bench,
    version: u64,
    sequence: u64,
}

impl Office {
    fn answer_writes(&mut self) {
        while let Some((request, StoreOperation::Write { .. })) = self.bench.requests().pop() {
            self.version += 1;
            self.bench.store(request, StoreReply::Written(RowVersion(self.version)));
        }
    }

    fn pass_ms(&mut self, ms: u64) {
        for _ in 0..ms {
            self.bench.pass_ms(1);
            self.answer_writes();
        }
    }

    fn template(&self) -> Beat {
        Beat {
            cell: cell(),
            from: member(1, 1),
            place: place(1),
            sequence: Sequence(self.sequence),
            term: Term(3),
            holding: None,
            witness_generation: WitnessGeneration(0),
            answered: Sequence(0),
            released: Vec::new(),
            slots: 20,
            checks_grants: true,
            draining: false,
            settings: SettingsVersion(0),
            loads: Vec::new(),
        }
    }

    /// A beat of node 1, and the grant that answers it.
    fn beat(&mut self, change: fn(&mut Beat)) -> Option<Grant> {
        self.sequence += 1;
        let mut beat = self.template();
        change(&mut beat);
        let from = beat.from;
        self.bench.message(from, ControlMessage::Beat(beat));
        self.bench.sent().find_map(|it| match it {
            ControlMessage::Grant(grant) => Some(grant.clone()),
            _ => None,
        })
    }

    fn second_half(&self) -> Slice {
        self.bench.node.cell_view().row.expect("the row was read").slices[1]
    }

    /// How many milliseconds pass until the second half has another owner.
    fn reassigned_after_ms(&mut self) -> u64 {
        for ms in 0..5_000 {
            if self.second_half().owner != Some(member(1, 1)) {
                return ms;
            }
            self.pass_ms(1);
        }
        panic!("not reassigned within five seconds");
    }
}

fn both() -> Vec<Member> {
    vec![member(0, 1), member(1, 1)]
}

struct Loss {
    name: &'static str,
    grant_checkers: fn() -> Vec<Member>,
    before: fn(&mut Office),
    wait_ms: u64,
}

const LOSSES: &[Loss] = &[
    Loss { name: "never heard of", grant_checkers: both, before: |_| {}, wait_ms: LEASE_WAIT_MS },
    Loss {
        name: "never heard of, does not check grants",
        grant_checkers: || vec![member(0, 1)],
        before: |_| {},
        wait_ms: LEASE_WAIT_MS + ORDER_WAIT_MS,
    },
    Loss {
        name: "heard of later",
        grant_checkers: both,
        before: |it| {
            it.pass_ms(300);
            it.beat(|_| {});
        },
        wait_ms: LEASE_WAIT_MS,
    },
    Loss {
        name: "restarted",
        grant_checkers: both,
        before: |it| {
            it.beat(|it| it.from = member(1, 2));
        },
        wait_ms: LEASE_WAIT_MS,
    },
    Loss {
        name: "released",
        grant_checkers: both,
        before: |it| {
            it.beat(|it| (it.slots, it.released) = (0, vec![id(1, 5)]));
            it.answer_writes();
        },
        wait_ms: 0,
    },
];

#[test]
fn a_slice_is_reassigned_when_its_owner_can_no_longer_serve_it() {
    for it in LOSSES {
        let mut office = office((it.grant_checkers)());
        (it.before)(&mut office);
        let waited_ms = office.reassigned_after_ms();
        let expected = it.wait_ms..=it.wait_ms + 2;
        assert!(expected.contains(&waited_ms), "{}: after {waited_ms} ms", it.name);
        assert_eq!(office.second_half().epoch, Epoch(6), "{}", it.name);
    }
}

#[test]
fn a_release_of_another_epoch_or_by_another_member_changes_nothing() {
    let mut office = office(both());
    office.beat(|it| it.released = vec![id(1, 4)]);
    office.beat(|it| (it.from, it.released) = (member(2, 1), vec![id(1, 5)]));
    office.answer_writes();
    office.beat(|_| {});
    assert_eq!(office.second_half().owner, Some(member(1, 1)));
}

struct Answer {
    name: &'static str,
    change: fn(&mut Beat),
    granted: Option<usize>,
}

const ANSWERS: &[Answer] = &[
    Answer { name: "owner", change: |_| {}, granted: Some(1) },
    Answer { name: "new member", change: |it| it.from = member(2, 1), granted: Some(0) },
    Answer { name: "new life of the owner", change: |it| it.from = member(1, 2), granted: Some(0) },
    Answer {
        name: "owner whose target turns out not to check grants",
        change: |it| it.checks_grants = false,
        granted: None,
    },
    Answer { name: "a later term was seen", change: |it| it.term = Term(4), granted: None },
    Answer {
        name: "another cell",
        change: |it| it.cell = CellId::new(ServiceId(1), 0),
        granted: None,
    },
    Answer { name: "released", change: |it| it.released = vec![id(1, 5)], granted: Some(0) },
];

#[test]
fn a_beat_is_answered_with_what_the_row_gives_its_sender() {
    for it in ANSWERS {
        let mut office = office(both());
        let grant = office.beat(it.change);
        let granted = grant.map(|grant| match grant.set {
            GrantSet::Full { slices, .. } => slices.len(),
            other => panic!("{}: {other:?}", it.name),
        });
        assert_eq!(granted, it.granted, "{}", it.name);
    }
}

#[test]
fn an_older_life_is_refused_once_a_later_one_is_known() {
    let mut office = office(both());
    office.beat(|it| it.from = member(1, 2));
    assert_eq!(office.beat(|_| {}), None);
    let known = Incarnation(2);
    let refused = office.bench.sent().any(|it| {
        matches!(it, ControlMessage::BeatRefusal(it)
            if it.reason == BeatRefusalReason::OldIncarnation { known })
    });
    assert!(refused, "{:?}", office.bench.actions);
}

#[test]
fn a_set_that_the_member_knows_is_not_sent_again() {
    let mut office = office(both());
    let first = office.beat(|_| {}).expect("it is granted");
    assert!(matches!(first.set, GrantSet::Full { version: HoldingVersion(1), .. }), "{first:?}");
    let known = office.beat(|it| it.holding = Some((Term(3), HoldingVersion(1)))).unwrap();
    assert_eq!(known.set, GrantSet::Unchanged);
    let other = office.beat(|it| it.holding = Some((Term(2), HoldingVersion(1)))).unwrap();
    assert!(matches!(other.set, GrantSet::Full { .. }), "{other:?}");
}

#[test]
fn nothing_is_granted_on_a_slice_while_its_write_is_unsettled() {
    let mut office = office(both());
    office.pass_ms(LEASE_WAIT_MS - 1);
    for _ in 0..3 {
        office.bench.pass_ms(1);
        if !office.bench.requests().is_empty() {
            break;
        }
    }
    let (request, _) = office.bench.requests().pop().expect("the loss is written");
    office.bench.store(request, StoreReply::Unknown);
    let grant = office.beat(|_| {}).expect("it is a live member");
    assert!(matches!(&grant.set, GrantSet::Full { slices, .. } if slices.is_empty()), "{grant:?}");
    assert_eq!(office.bench.serving(), [id(0, 5)], "nor is it served here");
}

#[test]
fn without_renewal_of_its_row_a_coordinator_on_the_store_alone_grants_nothing() {
    let mut office = office(both());
    assert!(office.beat(|_| {}).is_some());
    for _ in 0..2_000 {
        office.bench.pass_ms(1);
        for (request, _) in office.bench.requests() {
            office.bench.store(request, StoreReply::Unknown);
        }
    }
    assert_eq!(office.beat(|_| {}), None);
    assert_eq!(office.bench.serving(), [], "its own leases ended with its entitlement");
}

#[test]
fn made_up_members_do_not_use_up_the_memory() {
    let mut office = office(both());
    assert!(office.beat(|_| {}).is_some());
    for life in 2..100 {
        office.sequence += 1;
        let mut beat = office.template();
        beat.from = member(3, life);
        office.bench.message(beat.from, ControlMessage::Beat(beat));
    }
    for port in 10..1_100 {
        let mut beat = office.template();
        beat.from = member(port, 1);
        office.bench.message(beat.from, ControlMessage::Beat(beat));
    }
    assert!(office.bench.node.cell_view().members.len() <= 1_024);
    assert!(office.beat(|_| {}).is_some(), "known members are served on");
}
