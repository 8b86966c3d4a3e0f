//! One node between scripted neighbours, under virtual time.

use std::{
    net::{Ipv4Addr, SocketAddrV4},
    time::Duration,
};

use galenastream_ownership::*;

/// One node between scripted neighbours, under virtual time.
pub struct Bench {
    pub node: OwnershipNode,
    pub now: BootInstant,
    pub actions: Vec<Action>,
}

pub fn member(index: u16, incarnation: u64) -> Member {
    let address = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7_000 + index);
    Member::new(VmId::from(address), Incarnation(incarnation))
}

pub fn place(index: u16) -> PlaceId {
    PlaceId::from_name(&format!("place-{index}"))
}

pub fn cell() -> CellId {
    CellId::new(ServiceId::from_name("catalogue"), 0)
}

/// A slice of a row with two halves of the hash space.
pub fn half(index: u32, epoch: u64, owner: Option<Member>) -> Slice {
    let first = KeyHash(u64::from(index) << 63);
    Slice { id: SliceId(index), first, epoch: Epoch(epoch), owner }
}

pub fn id(slice: u32, epoch: u64) -> SliceEpoch {
    SliceEpoch { slice: SliceId(slice), epoch: Epoch(epoch) }
}

/// A granted half of the hash space.
pub fn granted(slice: u32, epoch: u64, release: bool) -> GrantedSlice {
    let first = KeyHash(u64::from(slice) << 63);
    let last = if slice == 0 { KeyHash((1 << 63) - 1) } else { KeyHash::MAX };
    GrantedSlice { id: id(slice, epoch), first, last, release }
}

/// Node 0 owns the first half, node 1 coordinates and owns the second, nodes 0 to 2 are witnesses.
pub fn row() -> CellRow {
    let witness = |it| Witness { member: member(it, 1), place: place(it) };
    CellRow {
        cell: cell(),
        term: Term(3),
        coordinator: member(1, 1),
        witnesses: WitnessSet {
            generation: WitnessGeneration(2),
            witnesses: (0..3).map(witness).collect(),
        },
        grant_checkers: vec![member(0, 1), member(1, 1)],
        slices: vec![half(0, 5, Some(member(0, 1))), half(1, 5, Some(member(1, 1)))],
        next_slice: SliceId(2),
    }
}

impl Bench {
    /// A node that has just started, with a target.
    pub fn new() -> Self {
        let config = NodeConfig {
            member: member(0, 1),
            place: place(0),
            cell: cell(),
            divided_by_key: true,
            initial_slices: 2,
            timing: Timing::default(),
            seed: 7,
        };
        let now = BootInstant::new(1_000_000_000);
        let node = OwnershipNode::new(config, now);
        let mut bench = Self { node, now, actions: Vec::new() };
        bench.event(Event::TargetUp { slots: 20, checks_grants: true });
        bench
    }

    /// A node that has read this row.
    pub fn with_row(row: CellRow) -> Self {
        let mut bench = Self::new();
        let request = bench.await_read();
        bench.store(request, stored(10, 1, row));
        bench
    }

    /// Lets the node handle an event; the actions replace those of the last one.
    pub fn event(&mut self, event: Event) {
        self.actions.clear();
        self.node.handle(self.now, event, &mut self.actions);
    }

    pub fn message(&mut self, from: Member, message: ControlMessage) {
        self.event(Event::Message { from: from.vm, message });
    }

    pub fn store(&mut self, request: StoreRequestId, reply: StoreReply) {
        self.event(Event::Store { request, reply });
    }

    /// Lets time pass, with the wakeups that fall due. The actions are those of all of them.
    pub fn pass_ms(&mut self, ms: u64) {
        let end = self.now + Duration::from_millis(ms);
        let mut actions = Vec::new();
        while let Some(due) = self.node.next_wakeup().filter(|it| *it <= end) {
            self.now = due.max(self.now);
            self.event(Event::Wakeup);
            actions.append(&mut self.actions);
        }
        self.now = end;
        self.actions = actions;
    }

    /// The messages that the last event or wait caused.
    pub fn sent(&self) -> impl Iterator<Item = &ControlMessage> {
        self.actions.iter().filter_map(|it| match it {
            Action::Send { message, .. } => Some(message),
            _ => None,
        })
    }

    /// The last beat that the last event or wait caused.
    pub fn beat(&self) -> Option<Beat> {
        let beats = self.sent().filter_map(|it| match it {
            ControlMessage::Beat(beat) => Some(beat.clone()),
            _ => None,
        });
        beats.last()
    }

    /// Waits for the next beat.
    pub fn await_beat(&mut self) -> Beat {
        for _ in 0..1_000 {
            if let Some(beat) = self.beat() {
                return beat;
            }
            self.pass_ms(1);
        }
        panic!("no beat within a second");
    }

    /// The requests to the platform that the last event or wait caused.
    pub fn requests(&self) -> Vec<(StoreRequestId, StoreOperation)> {
        let request = |it: &Action| match it {
            Action::Store { request, operation } => Some((*request, operation.clone())),
            _ => None,
        };
        self.actions.iter().filter_map(request).collect()
    }

    pub fn await_request(&mut self, wanted: fn(&StoreOperation) -> bool) -> StoreRequestId {
        for _ in 0..10_000 {
            if let Some((request, _)) = self.requests().into_iter().find(|it| wanted(&it.1)) {
                return request;
            }
            self.pass_ms(1);
        }
        panic!("no such request within ten seconds");
    }

    pub fn await_read(&mut self) -> StoreRequestId {
        self.await_request(|it| matches!(it, StoreOperation::Read { .. }))
    }

    /// The slices that take new work now.
    pub fn serving(&self) -> Vec<SliceEpoch> {
        let held = self.node.held_slices();
        let live = held.slices.iter().filter(|it| held.serving(it.first, self.now).is_some());
        live.map(|it| it.id).collect()
    }
}

/// What a read finds.
pub fn stored(version: u64, write: u64, row: CellRow) -> StoreReply {
    let (version, write) = (RowVersion(version), WriteId(write));
    StoreReply::Row(Some(StoredRow { version, write, row }))
}

/// The reply of node 1 to a beat of node 0.
pub fn grant(beat: &Beat, term: u64, set: GrantSet) -> Grant {
    Grant {
        cell: cell(),
        term: Term(term),
        from: member(1, 1),
        to: beat.from,
        sequence: beat.sequence,
        lease_ms: 600,
        set,
        witnesses: None,
        settings: SettingsVersion(0),
    }
}

pub fn full(version: u64, slices: Vec<GrantedSlice>) -> GrantSet {
    GrantSet::Full { version: HoldingVersion(version), slices }
}
