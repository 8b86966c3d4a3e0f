//! Messages and rows for the tests of the codecs.

use std::net::{Ipv4Addr, SocketAddrV4};

use galenastream_ownership::*;
use proptest::{collection::vec, option, prelude::*};

/// A number of the size that an incarnation has: microseconds since 1970.
const INCARNATION: u64 = 1_790_000_000_000_000;

pub fn member(index: u32) -> Member {
    let ip = Ipv4Addr::from(0x0A00_0001 + index);
    Member::new(SocketAddrV4::new(ip, 7000).into(), Incarnation(INCARNATION + u64::from(index)))
}

pub fn steady_beat() -> Beat {
    Beat {
        cell: cell(),
        from: member(0),
        place: PlaceId(0xDEAD_BEEF),
        sequence: Sequence(100_000),
        term: Term(7),
        holding: Some((Term(7), HoldingVersion(300))),
        witness_generation: WitnessGeneration(3),
        answered: Sequence(99_999),
        released: Vec::new(),
        slots: 20,
        checks_grants: true,
        draining: false,
        settings: SettingsVersion(6_800),
        loads: Vec::new(),
    }
}

pub fn steady_grant() -> Grant {
    Grant {
        cell: cell(),
        term: Term(7),
        from: member(1),
        to: member(0),
        sequence: Sequence(100_000),
        lease_ms: 600,
        set: GrantSet::Unchanged,
        witnesses: None,
        settings: SettingsVersion(6_800),
    }
}

pub fn granted_slice(slice: u32, first: u64, last: u64) -> GrantedSlice {
    let id = SliceEpoch { slice: SliceId(slice), epoch: Epoch(2) };
    GrantedSlice { id, first: KeyHash(first), last: KeyHash(last), release: false }
}

pub fn base_row() -> CellRow {
    CellRow {
        cell: cell(),
        term: Term(7),
        coordinator: member(0),
        witnesses: WitnessSet::default(),
        grant_checkers: vec![member(0), member(1)],
        slices: Vec::new(),
        next_slice: SliceId(0),
    }
}

pub fn control_message() -> impl Strategy<Value = ControlMessage> {
    prop_oneof![
        beat().prop_map(ControlMessage::Beat),
        grant().prop_map(ControlMessage::Grant),
        refusal().prop_map(ControlMessage::BeatRefusal),
        any::<u64>()
            .prop_map(|term| ControlMessage::Nudge(Nudge { cell: cell(), term: Term(term) })),
        promise_request().prop_map(ControlMessage::PromiseRequest),
        promise().prop_map(ControlMessage::Promise),
        seal_request().prop_map(ControlMessage::SealRequest),
        seal_reply().prop_map(ControlMessage::SealReply),
    ]
}

pub fn cell_row() -> impl Strategy<Value = CellRow> {
    let firsts = prop::collection::btree_set(1..u64::MAX, 0..40);
    (
        firsts,
        vec((any::<u64>(), option::of(any_member())), 41),
        witnesses(),
        vec(any_member(), 0..4),
    )
        .prop_map(|(firsts, assignments, witnesses, mut grant_checkers)| {
            grant_checkers.sort_unstable();
            let mut row = CellRow { witnesses, grant_checkers, ..base_row() };
            for (index, first) in std::iter::once(0).chain(firsts).enumerate() {
                let (epoch, owner) = assignments[index];
                let id = SliceId(index as u32);
                row.slices.push(Slice { id, first: KeyHash(first), epoch: Epoch(epoch), owner });
            }
            row
        })
}

fn cell() -> CellId {
    CellId::new(ServiceId(0xFEED_F00D), 3)
}

fn any_member() -> impl Strategy<Value = Member> {
    (0..1u64 << 48, any::<u64>())
        .prop_map(|(vm, incarnation)| Member::new(VmId::from_bits(vm), Incarnation(incarnation)))
}

fn any_cell() -> impl Strategy<Value = CellId> {
    (0..1u64 << 48).prop_map(CellId::from_bits)
}

fn slice_epoch() -> impl Strategy<Value = SliceEpoch> {
    (any::<u32>(), any::<u64>())
        .prop_map(|(slice, epoch)| SliceEpoch { slice: SliceId(slice), epoch: Epoch(epoch) })
}

fn witnesses() -> impl Strategy<Value = WitnessSet> {
    let witness = (any_member(), any::<u32>())
        .prop_map(|(member, it)| Witness { member, place: PlaceId(it) });
    (any::<u64>(), vec(witness, 0..4)).prop_map(|(generation, witnesses)| WitnessSet {
        generation: WitnessGeneration(generation),
        witnesses,
    })
}

fn load() -> impl Strategy<Value = SliceLoad> {
    let hottest = (any::<u64>(), 0u8..=100)
        .prop_map(|(hash, share_percent)| HotKey { hash: KeyHash(hash), share_percent });
    (any::<u32>(), any::<u32>(), option::of(hottest)).prop_map(
        |(slice, busy_millislots, hottest)| SliceLoad {
            slice: SliceId(slice),
            busy_millislots,
            hottest,
        },
    )
}

fn beat() -> impl Strategy<Value = Beat> {
    let identity = (any_cell(), any_member(), any::<u32>(), any::<u64>(), any::<u64>());
    let known = (option::of((any::<u64>(), any::<u64>())), any::<u64>(), any::<u64>());
    let target = (any::<u32>(), any::<bool>(), any::<bool>());
    (identity, known, target, vec(slice_epoch(), 0..5), vec(load(), 0..5)).prop_map(
        |(identity, known, target, released, loads)| Beat {
            cell: identity.0,
            from: identity.1,
            place: PlaceId(identity.2),
            sequence: Sequence(identity.3),
            term: Term(identity.4),
            holding: known.0.map(|(term, version)| (Term(term), HoldingVersion(version))),
            witness_generation: WitnessGeneration(known.1),
            answered: Sequence(identity.4),
            released,
            slots: target.0,
            checks_grants: target.1,
            draining: target.2,
            settings: SettingsVersion(known.2),
            loads,
        },
    )
}

fn grant() -> impl Strategy<Value = Grant> {
    let slice = (slice_epoch(), any::<u64>(), any::<u64>(), any::<bool>()).prop_map(
        |(id, one, other, release)| GrantedSlice {
            id,
            first: KeyHash(one.min(other)),
            last: KeyHash(one.max(other)),
            release,
        },
    );
    let full = (any::<u64>(), vec(slice, 0..6))
        .prop_map(|(version, slices)| GrantSet::Full { version: HoldingVersion(version), slices });
    let set = prop_oneof![Just(GrantSet::Unchanged), Just(GrantSet::Extend), full];
    let identity = (any_cell(), any::<u64>(), any_member(), any_member(), any::<u64>());
    (identity, any::<u32>(), set, option::of(witnesses()), any::<u64>()).prop_map(
        |(identity, lease_ms, set, witnesses, settings)| Grant {
            cell: identity.0,
            term: Term(identity.1),
            from: identity.2,
            to: identity.3,
            sequence: Sequence(identity.4),
            lease_ms,
            set,
            witnesses,
            settings: SettingsVersion(settings),
        },
    )
}

fn refusal() -> impl Strategy<Value = BeatRefusal> {
    let reason = prop_oneof![
        (any::<u64>(), option::of(any_member())).prop_map(|(term, coordinator)| {
            BeatRefusalReason::NotCoordinator { term: Term(term), coordinator }
        }),
        any::<u64>().prop_map(|it| BeatRefusalReason::OldIncarnation { known: Incarnation(it) }),
    ];
    (any_cell(), any::<u64>(), reason).prop_map(|(cell, it, reason)| BeatRefusal {
        cell,
        sequence: Sequence(it),
        reason,
    })
}

fn promise_request() -> impl Strategy<Value = PromiseRequest> {
    let role = prop_oneof![Just(PromiseRole::Coordinator), Just(PromiseRole::Deputy)];
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>());
    (any_cell(), any_member(), any_member(), numbers, role).prop_map(
        |(cell, from, to, numbers, role)| PromiseRequest {
            cell,
            term: Term(numbers.0),
            from,
            to,
            sequence: Sequence(numbers.1),
            generation: WitnessGeneration(numbers.2),
            role,
        },
    )
}

fn promise() -> impl Strategy<Value = Promise> {
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>(), any::<u32>());
    (any_cell(), any_member(), numbers).prop_map(|(cell, from, numbers)| Promise {
        cell,
        term: Term(numbers.0),
        from,
        sequence: Sequence(numbers.1),
        generation: WitnessGeneration(numbers.2),
        promise_ms: numbers.3,
    })
}

fn seal_request() -> impl Strategy<Value = SealRequest> {
    let numbers = (any::<u64>(), any::<u64>(), any::<u64>());
    (any_cell(), any_member(), any_member(), numbers).prop_map(|(cell, from, to, numbers)| {
        SealRequest {
            cell,
            term: Term(numbers.0),
            from,
            to,
            sequence: Sequence(numbers.1),
            generation: WitnessGeneration(numbers.2),
        }
    })
}

fn seal_reply() -> impl Strategy<Value = SealReply> {
    let outcome = prop_oneof![
        any::<bool>().prop_map(|first| SealOutcome::Sealed { first }),
        any::<u32>().prop_map(|remaining_ms| SealOutcome::Promised { remaining_ms }),
        (any::<u64>(), any::<u64>()).prop_map(|(term, generation)| SealOutcome::Stale {
            term: Term(term),
            generation: WitnessGeneration(generation),
        }),
    ];
    (any_cell(), any_member(), (any::<u64>(), any::<u64>()), outcome).prop_map(
        |(cell, from, (term, sequence), outcome)| SealReply {
            cell,
            term: Term(term),
            from,
            sequence: Sequence(sequence),
            outcome,
        },
    )
}
