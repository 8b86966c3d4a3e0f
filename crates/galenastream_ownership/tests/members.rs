//! Routing learns of members that come and go, although no row is written for it.

use std::net::{Ipv4Addr, SocketAddrV4};

use galenastream_ownership::{
    Action, BootInstant, CellId, Event, Incarnation, Member, NodeConfig, OwnershipNode, PlaceId,
    RowVersion, ServiceId, StoreOperation, StoreReply, StoredRow, Timing,
};

const STEP_NS: u64 = 5_000_000;
const SECOND_STEPS: u32 = 200;

/// A node alone with a store that always answers at once.
struct LoneNode {
    node: OwnershipNode,
    now: BootInstant,
    stored: Option<StoredRow>,
    /// Slots of the members as they were last published.
    published: Vec<u32>,
}

impl LoneNode {
    fn new() -> Self {
        let vm = SocketAddrV4::new(Ipv4Addr::LOCALHOST, 7000).into();
        let now = BootInstant::new(1_000_000_000);
        let config = NodeConfig {
            member: Member::new(vm, Incarnation(1)),
            place: PlaceId::from_name("east"),
            cell: CellId::new(ServiceId::from_name("booking"), 0),
            divided_by_key: false,
            initial_slices: 1,
            // With witnesses no row is written for long, and here none shall be written either.
            timing: Timing { store_term_ms: 600_000, ..Timing::default() },
            seed: 1,
        };
        let node = OwnershipNode::new(config, now);
        Self { node, now, stored: None, published: Vec::new() }
    }

    fn handle(&mut self, event: Event) {
        let mut actions = Vec::new();
        self.node.handle(self.now, event, &mut actions);
        for action in actions {
            match action {
                Action::PublishRoutes(_) => {
                    let members = self.node.cell_view().members;
                    self.published = members.iter().map(|it| it.slots).collect();
                }
                Action::Store { request, operation } => {
                    let reply = self.answer(operation);
                    self.handle(Event::Store { request, reply });
                }
                _ => {}
            }
        }
    }

    fn answer(&mut self, operation: StoreOperation) -> StoreReply {
        let StoreOperation::Write { expected, write, row } = operation else {
            return StoreReply::Row(self.stored.clone());
        };
        let current = self.stored.as_ref().map(|it| it.version);
        if expected != current {
            return StoreReply::Conflict;
        }
        let version = RowVersion(current.map_or(1, |it| it.0 + 1));
        self.stored = Some(StoredRow { version, write, row });
        StoreReply::Written(version)
    }

    fn run_for_seconds(&mut self, seconds: u32) {
        for _ in 0..seconds * SECOND_STEPS {
            self.now = BootInstant::new(self.now.as_ns() + STEP_NS);
            self.handle(Event::Wakeup);
        }
    }
}

#[test]
fn a_target_that_comes_later_or_goes_is_published() {
    let mut node = LoneNode::new();
    node.run_for_seconds(5);
    assert_eq!(node.published, [0], "the node coordinates, and has no target yet");
    node.handle(Event::TargetUp { slots: 6, checks_grants: true });
    node.run_for_seconds(1);
    assert_eq!(node.published, [6]);
    node.handle(Event::TargetDown);
    node.run_for_seconds(1);
    assert_eq!(node.published, [0]);
    node.handle(Event::TargetUp { slots: 8, checks_grants: true });
    node.run_for_seconds(1);
    assert_eq!(node.published, [8]);
}
