//! One node in virtual time, with the events that its target, its store and its probes cause.

use galenastream_adapter::{HeartbeatReply, Row};
use galenastream_node::{ControlEvent, ControlState, HeartbeatAnswer, ProbeAnswer, TargetProbe};
use galenastream_ranges::{Assignment, KeyRange, Owner, TargetIncarnation};
use galenastream_standin::{HeartbeatFields, heartbeat_body};
use tokio::sync::oneshot;

use crate::{
    fixtures::{HEARTBEAT_MS, address, config, config_event, settings},
    simulation::at,
};

/// When the process of the node starts. A process before it has granted leases until then.
pub const START_MS: u64 = 100_000;

/// Within this time of the start, leases of the process before may last.
pub const EARLIER_LEASES_MS: u64 = 5_900;

pub type Reply = oneshot::Receiver<HeartbeatAnswer>;
pub type Held<'a> = &'a [(u16, u16, u64)];

pub const ALL_KEYS: Held<'static> = &[(0, u16::MAX, 1)];

/// An incarnation of a target beside the node.
#[derive(Clone, Copy)]
pub struct Sender {
    pub id: &'static str,
    pub born_ms: Option<u64>,
}

impl Sender {
    pub fn incarnation(self) -> TargetIncarnation {
        TargetIncarnation::new(self.id, self.born_ms.unwrap_or(0))
    }

    pub fn owner(self) -> Owner {
        Owner::new(self.incarnation(), settings(0).node_name)
    }
}

pub const TARGET: Sender = Sender { id: "t", born_ms: None };

/// The next owner of the keys, beside another node.
pub fn next_owner() -> Owner {
    Owner::new(TargetIncarnation::new("u", 0), settings(1).node_name)
}

pub fn send(
    state: &mut ControlState,
    sender: Sender,
    sequence: u64,
    held: Held<'_>,
    now_ms: u64,
) -> Reply {
    send_releases(state, sender, sequence, held, &[], now_ms)
}

pub fn send_releases(
    state: &mut ControlState,
    sender: Sender,
    sequence: u64,
    held: Held<'_>,
    released: &[(u16, u16, String)],
    now_ms: u64,
) -> Reply {
    let (heartbeat, reply) = heartbeat(sender, sequence, held, released);
    state.handle(heartbeat, at(now_ms));
    reply
}

/// A heartbeat as an event for the node, and its reply.
pub fn heartbeat(
    sender: Sender,
    sequence: u64,
    held: Held<'_>,
    released: &[(u16, u16, String)],
) -> (ControlEvent, Reply) {
    let body = heartbeat_body(HeartbeatFields {
        address: &address(0),
        service: "carts",
        slots: 8,
        sequence,
        held,
        released,
        born_ms: sender.born_ms,
    });
    let (answer, reply) = oneshot::channel();
    let target_id = sender.id.to_owned();
    (ControlEvent::Heartbeat { target_id, body: body.into(), answer }, reply)
}

pub fn send_probe(
    state: &mut ControlState,
    target: Sender,
    began_at_ms: u64,
    open_connections: usize,
    now_ms: u64,
) {
    let probe = TargetProbe {
        target: target.incarnation(),
        began_at: at(began_at_ms),
        answer: ProbeAnswer::Refused,
        open_connections,
    };
    state.handle(ControlEvent::TargetProbed(probe), at(now_ms));
}

pub fn row(assignment: &Assignment, version: u64, confirmed_at_ms: u64) -> ControlEvent {
    let row =
        Row { key: "keys/carts".to_owned(), value: Some(assignment.encode_row().into()), version };
    ControlEvent::Rows { rows: vec![row], version, confirmed_at: Some(at(confirmed_at_ms)) }
}

pub fn owned_by(owner: &Owner) -> Assignment {
    let mut assignment = Assignment::new();
    assignment.assign(KeyRange::ALL, owner);
    assignment
}

/// Starts to move all keys, in a change that is based on the row with this version.
pub fn begin_move(assignment: &mut Assignment, to: Option<&Owner>, row_version: u64) {
    assignment.begin_move(KeyRange::ALL, to, row_version);
}

/// A process that has just started and has read a row. It does not reach the store any longer, so
/// its status states what it takes for proven.
pub fn started_node(assignment: &Assignment) -> ControlState {
    let mut state = ControlState::new(settings(0), at(START_MS));
    let config = config_event(config());
    state.handle(config, at(START_MS + 10));
    state.handle(row(assignment, 3, START_MS + 20), at(START_MS + 30));
    state.handle(ControlEvent::StoreReached(false), at(START_MS + 40));
    state
}

/// A node whose target has got leases in reply to its last heartbeat, after the end of all leases of
/// the process before. Returns the time of that heartbeat as well.
pub fn node_with_leases(target: Sender) -> (ControlState, u64) {
    let assignment = owned_by(&target.owner());
    let mut state = started_node(&assignment);
    let mut now_ms = START_MS;
    for sequence in 1..=12 {
        now_ms = START_MS + 100 + sequence * HEARTBEAT_MS;
        state.handle(row(&assignment, 3, now_ms - 10), at(now_ms - 5));
        let held = if sequence == 1 { &[][..] } else { ALL_KEYS };
        let mut reply = send(&mut state, target, sequence, held, now_ms);
        state.tick(at(now_ms + 800));
        let reply = reply.try_recv().expect("the heartbeat is answered");
        assert!(matches!(reply, HeartbeatAnswer::Reply(HeartbeatReply::Leases { .. })));
    }
    (state, now_ms)
}

/// The ids of the incarnations that the node takes for ended.
pub fn ended(state: &ControlState, now_ms: u64) -> Vec<String> {
    let facts = state.status(at(now_ms)).facts;
    facts.into_iter().flat_map(|it| [it.gone, it.expired].concat()).map(|it| it.id).collect()
}

/// The handover tokens of the keys that the node takes for released.
pub fn released(state: &ControlState, now_ms: u64) -> Vec<String> {
    let facts = state.status(at(now_ms)).facts;
    facts.into_iter().flat_map(|it| it.releases).map(|it| it.handover).collect()
}
