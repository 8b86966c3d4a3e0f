//! When a holder accepts a grant, how long it lasts, and how slices are released.

use galenastream_ownership::*;

use crate::bench::*;

/// A node that holds the first half, by a beat that was answered 10 ms later.
fn holding() -> (Bench, Beat) {
    let mut bench = Bench::with_row(row());
    let beat = bench.await_beat();
    bench.pass_ms(10);
    answer(&mut bench, grant(&beat, 3, full(1, vec![granted(0, 5, false)])));
    (bench, beat)
}

fn answer(bench: &mut Bench, grant: Grant) {
    bench.message(member(1, 1), ControlMessage::Grant(grant));
}

#[test]
fn a_lease_counts_from_when_the_beat_was_sent() {
    let (mut bench, _) = holding();
    bench.pass_ms(589);
    assert_eq!(bench.serving(), [id(0, 5)]);
    bench.pass_ms(1);
    assert_eq!(bench.serving(), []);
}

/// A change of a good reply to the next beat, and whether it renews the lease.
struct Reply {
    name: &'static str,
    change: fn(&mut Grant),
    renews: bool,
}

const REPLIES: &[Reply] = &[
    Reply { name: "good", change: |_| {}, renews: true },
    Reply { name: "later term", change: |it| it.term = Term(4), renews: false },
    Reply { name: "older term", change: |it| it.term = Term(2), renews: false },
    Reply { name: "other life", change: |it| it.to = member(0, 2), renews: false },
    Reply { name: "other node", change: |it| it.to = member(2, 1), renews: false },
    Reply { name: "unknown beat", change: |it| it.sequence.0 += 9, renews: false },
    Reply { name: "extension", change: |it| it.set = GrantSet::Extend, renews: true },
    Reply {
        name: "extension of another term",
        change: |it| (it.term, it.set) = (Term(4), GrantSet::Extend),
        renews: false,
    },
    Reply {
        name: "another cell",
        change: |it| it.cell = CellId::new(ServiceId(1), 0),
        renews: false,
    },
];

#[test]
fn only_a_reply_that_fits_renews() {
    for it in REPLIES {
        let (mut bench, _) = holding();
        bench.pass_ms(0);
        let beat = bench.await_beat();
        let mut reply = grant(&beat, 3, GrantSet::Unchanged);
        (it.change)(&mut reply);
        let before = bench.node.held_slices().expires_at;
        answer(&mut bench, reply);
        let renewed = bench.node.held_slices().expires_at > before;
        assert_eq!(renewed, it.renews, "{}", it.name);
    }
}

#[test]
fn a_reply_to_an_older_beat_than_the_last_answered_is_dropped() {
    let (mut bench, _) = holding();
    let older = bench.await_beat();
    bench.pass_ms(1);
    let newer = bench.await_beat();
    assert!(newer.sequence > older.sequence);
    answer(&mut bench, grant(&newer, 3, full(2, Vec::new())));
    answer(&mut bench, grant(&older, 3, full(1, vec![granted(0, 5, false)])));
    assert_eq!(bench.serving(), []);
}

#[test]
fn a_deputy_cannot_revive_a_lease() {
    let (mut bench, _) = holding();
    bench.pass_ms(595);
    let beat = bench.await_beat();
    assert_eq!(bench.serving(), []);
    answer(&mut bench, grant(&beat, 3, GrantSet::Extend));
    assert_eq!(bench.serving(), []);
}

#[test]
fn a_slice_that_a_set_lacks_stops_at_once() {
    let (mut bench, _) = holding();
    let beat = bench.await_beat();
    answer(&mut bench, grant(&beat, 3, full(2, Vec::new())));
    assert_eq!(bench.serving(), []);
    assert!(bench.actions.contains(&Action::PublishHeld));
}

#[test]
fn a_released_slice_is_reported_until_the_set_lacks_it_and_never_held_again() {
    let (mut bench, _) = holding();
    let beat = bench.await_beat();
    answer(&mut bench, grant(&beat, 3, full(2, vec![granted(0, 5, true)])));
    assert_eq!(bench.actions.iter().filter(|it| **it == Action::StopSlice(id(0, 5))).count(), 1);
    assert_eq!(bench.serving(), [], "it takes no new work");

    bench.event(Event::SliceStopped(id(0, 5)));
    let beat = bench.await_beat();
    assert_eq!(beat.released, [id(0, 5)]);
    answer(&mut bench, grant(&beat, 3, full(3, vec![granted(0, 5, false)])));
    assert_eq!(bench.serving(), [], "it is not held again in that epoch");
    assert_eq!(bench.await_beat().released, [id(0, 5)], "it is reported again");

    let beat = bench.await_beat();
    answer(&mut bench, grant(&beat, 3, full(4, Vec::new())));
    bench.pass_ms(1);
    assert_eq!(bench.await_beat().released, []);

    let beat = bench.await_beat();
    answer(&mut bench, grant(&beat, 3, full(5, vec![granted(0, 6, false)])));
    assert_eq!(bench.serving(), [id(0, 6)], "a higher epoch is another assignment");
}

#[test]
fn a_part_of_a_split_slice_is_released_only_when_the_old_lease_has_ended() {
    let (mut bench, beat) = holding();
    let old_end = bench.node.held_slices().expires_at;
    let next = bench.await_beat();
    assert!(next.sequence > beat.sequence);
    let part = GrantedSlice { id: id(2, 6), ..granted(0, 5, true) };
    answer(&mut bench, grant(&next, 3, full(2, vec![part])));
    assert_eq!(bench.serving(), [id(2, 6)], "it serves on meanwhile");
    while bench.now < old_end {
        assert!(!bench.actions.contains(&Action::StopSlice(id(2, 6))));
        bench.pass_ms(1);
        if let Some(beat) = bench.beat() {
            answer(&mut bench, grant(&beat, 3, GrantSet::Unchanged));
        }
    }
    bench.pass_ms(1);
    let stops = bench.node.held_slices().slices.iter().all(|it| it.stopping);
    assert!(stops, "{:?}", bench.node.held_slices());
}

#[test]
fn an_unanswered_beat_goes_to_the_witnesses_too() {
    let (mut bench, _) = holding();
    bench.pass_ms(0);
    bench.await_beat();
    bench.pass_ms(50);
    let receivers: Vec<_> = bench
        .actions
        .iter()
        .filter_map(|it| match it {
            Action::Send { to, message: ControlMessage::Beat(_) } => Some(*to),
            _ => None,
        })
        .collect();
    assert_eq!(receivers, [member(1, 1).vm, member(2, 1).vm]);
}

#[test]
fn a_hint_to_the_coordinator_of_a_later_term_is_followed_at_once() {
    let (mut bench, _) = holding();
    bench.pass_ms(0);
    let beat = bench.await_beat();
    let reason =
        BeatRefusalReason::NotCoordinator { term: Term(4), coordinator: Some(member(4, 1)) };
    let refusal = BeatRefusal { cell: cell(), sequence: beat.sequence, reason };
    bench.message(member(1, 1), ControlMessage::BeatRefusal(refusal));
    bench.pass_ms(5);
    let to_it = bench.actions.iter().any(
        |it| matches!(it, Action::Send { to, message: ControlMessage::Beat(_) } if *to == member(4, 1).vm),
    );
    assert!(to_it, "{:?}", bench.actions);
}

#[test]
fn a_node_whose_later_life_is_known_stops_and_starts_over() {
    let (mut bench, _) = holding();
    let beat = bench.await_beat();
    let reason = BeatRefusalReason::OldIncarnation { known: Incarnation(9) };
    let refusal = BeatRefusal { cell: cell(), sequence: beat.sequence, reason };
    bench.message(member(1, 1), ControlMessage::BeatRefusal(refusal));
    assert!(bench.actions.contains(&Action::Restart { known: Incarnation(9) }));
    assert_eq!(bench.serving(), []);
}
