//! Checks what a node takes for proof that a target holds keys no longer.

use bytes::Bytes;
use galenastream_adapter::{HeartbeatReply, Row};
use galenastream_node::{
    ControlEvent, ControlState, Effect, HeartbeatAnswer, ProbeAnswer, TargetProbe,
};
use galenastream_ranges::{Assignment, KeyRange, Owner, TargetIncarnation};
use galenastream_standin::{HeartbeatFields, heartbeat_body};
use tokio::sync::oneshot;

use crate::{
    fixtures::{HEARTBEAT_MS, address, config, settings},
    simulation::at,
};

/// When the process of the node starts. A process before it has granted leases until then.
const START_MS: u64 = 100_000;

/// Within this time of the start, leases of the process before may last.
const EARLIER_LEASES_MS: u64 = 5_900;

type Reply = oneshot::Receiver<HeartbeatAnswer>;
type Held<'a> = &'a [(u16, u16, u64)];

const ALL_KEYS: Held<'static> = &[(0, u16::MAX, 1)];

/// An incarnation of a target beside the node.
#[derive(Clone, Copy)]
struct Sender {
    id: &'static str,
    born_ms: Option<u64>,
}

impl Sender {
    fn incarnation(self) -> TargetIncarnation {
        TargetIncarnation::new(self.id, self.born_ms.unwrap_or(0))
    }

    fn owner(self) -> Owner {
        Owner::new(self.incarnation(), settings(0).node_name)
    }
}

const TARGET: Sender = Sender { id: "t", born_ms: None };

/// The next owner of the keys, beside another node.
fn next_owner() -> Owner {
    Owner::new(TargetIncarnation::new("u", 0), settings(1).node_name)
}

fn send(
    state: &mut ControlState,
    sender: Sender,
    sequence: u64,
    held: Held<'_>,
    now_ms: u64,
) -> Reply {
    send_releases(state, sender, sequence, held, &[], now_ms)
}

fn send_releases(
    state: &mut ControlState,
    sender: Sender,
    sequence: u64,
    held: Held<'_>,
    released: &[(u16, u16, String)],
    now_ms: u64,
) -> Reply {
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
    state.handle(ControlEvent::Heartbeat { target_id, body: body.into(), answer }, at(now_ms));
    reply
}

fn send_probe(
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

fn row(assignment: &Assignment, version: u64, confirmed_at_ms: u64) -> ControlEvent {
    let row =
        Row { key: "keys/carts".to_owned(), value: Some(assignment.encode_row().into()), version };
    ControlEvent::Rows { rows: vec![row], version, confirmed_at: Some(at(confirmed_at_ms)) }
}

fn owned_by(owner: &Owner) -> Assignment {
    let mut assignment = Assignment::new();
    assignment.assign(KeyRange::ALL, owner);
    assignment
}

/// Starts to move all keys, in a change that is based on the row with this version.
fn begin_move(assignment: &mut Assignment, to: Option<&Owner>, row_version: u64) {
    assignment.begin_move(KeyRange::ALL, to, row_version);
}

/// A process that has just started and has read a row. It does not reach the store any longer, so
/// its status states what it takes for proven.
fn started_node(assignment: &Assignment) -> ControlState {
    let mut state = ControlState::new(settings(0), at(START_MS));
    let config = ControlEvent::Config { config: Box::new(config()), encoded: Bytes::new() };
    state.handle(config, at(START_MS + 10));
    state.handle(row(assignment, 3, START_MS + 20), at(START_MS + 30));
    state.handle(ControlEvent::StoreReached(false), at(START_MS + 40));
    state
}

/// A node whose target has got leases in reply to its last heartbeat, after the end of all leases of
/// the process before. Returns the time of that heartbeat as well.
fn node_with_leases(target: Sender) -> (ControlState, u64) {
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
fn ended(state: &ControlState, now_ms: u64) -> Vec<String> {
    let facts = state.status(at(now_ms)).facts;
    facts.into_iter().flat_map(|it| it.ended).map(|it| it.id).collect()
}

/// The handover tokens of the keys that the node takes for released.
fn released(state: &ControlState, now_ms: u64) -> Vec<String> {
    let facts = state.status(at(now_ms)).facts;
    facts.into_iter().flat_map(|it| it.releases).map(|it| it.handover).collect()
}

/// The start times of targets are times of day, which may be set, and heartbeats may be delayed.
#[test]
fn one_heartbeat_with_a_later_start_does_not_end_a_live_target() {
    let target = Sender { id: "t", born_ms: Some(50_000) };
    let (mut state, now_ms) = node_with_leases(target);
    send(&mut state, Sender { id: "earlier", born_ms: Some(50_001) }, 70, &[], now_ms + 850);
    assert_eq!(ended(&state, now_ms + 860), Vec::<String>::new());
    let mut reply = send(&mut state, target, 13, ALL_KEYS, now_ms + 900);
    state.tick(at(now_ms + 1_700));
    let reply = reply.try_recv().expect("the heartbeat is answered");
    let HeartbeatAnswer::Reply(HeartbeatReply::Leases { grants, .. }) = reply else {
        panic!("the live target gets no leases: {reply:?}");
    };
    assert!(!grants.is_empty(), "the live target keeps its keys");
}

/// The heartbeats of the known target may only be delayed, however long it is silent. Its leases last
/// for 6 s.
#[test]
fn a_heartbeat_of_another_id_does_not_end_a_target_with_delayed_heartbeats() {
    for silence_ms in [1_300, 2_500, 5_500] {
        let (mut state, now_ms) = node_with_leases(TARGET);
        let earlier = Sender { id: "earlier", born_ms: None };
        send(&mut state, earlier, 70, &[], now_ms + silence_ms);
        let ended = ended(&state, now_ms + silence_ms + 10);
        assert_eq!(ended, Vec::<String>::new(), "after {silence_ms} ms");
    }
}

/// The process of the node has started beside a running target, and hears of an earlier one first.
#[test]
fn delayed_heartbeats_of_an_ended_target_do_not_end_the_running_one() {
    let mut state = started_node(&owned_by(&TARGET.owner()));
    let earlier = Sender { id: "earlier", born_ms: None };
    for sequence in 70..73 {
        let now_ms = START_MS + 100 + sequence;
        send(&mut state, earlier, sequence, &[], now_ms);
        assert_eq!(ended(&state, now_ms + 1), Vec::<String>::new(), "sequence {sequence}");
    }
    let now_ms = START_MS + EARLIER_LEASES_MS;
    state.tick(at(now_ms));
    assert_eq!(ended(&state, now_ms), Vec::<String>::new(), "leases may last");
}

#[test]
fn refused_connections_do_not_end_a_target_with_open_connections() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    send_probe(&mut state, TARGET, now_ms + 1_200, 2, now_ms + 1_260);
    assert_eq!(ended(&state, now_ms + 1_270), Vec::<String>::new());
}

#[test]
fn refused_connections_do_not_end_a_target_that_has_sent_a_heartbeat_meanwhile() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    let probe_ms = now_ms + 1_200;
    send(&mut state, TARGET, 13, ALL_KEYS, probe_ms + 30);
    send_probe(&mut state, TARGET, probe_ms, 0, probe_ms + 60);
    assert_eq!(ended(&state, probe_ms + 70), Vec::<String>::new());
}

#[test]
fn refused_connections_to_an_earlier_target_do_not_end_its_successor() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    let earlier = Sender { id: "earlier", born_ms: None };
    send_probe(&mut state, earlier, START_MS - 500, 0, now_ms + 100);
    assert_eq!(ended(&state, now_ms + 110), Vec::<String>::new());
}

/// A closed listener without connections and heartbeats is that of an ended process: its keys need
/// not wait for its leases.
#[test]
fn refused_connections_end_a_silent_target_without_connections() {
    let (mut state, now_ms) = node_with_leases(TARGET);
    send_probe(&mut state, TARGET, now_ms + 1_200, 0, now_ms + 1_260);
    assert_eq!(ended(&state, now_ms + 1_270), ["t"]);
}

/// The heartbeat was sent before the process before granted the keys, and arrives after the restart.
#[test]
fn a_heartbeat_from_before_the_grant_does_not_prove_that_keys_were_never_held() {
    let mut assignment = owned_by(&TARGET.owner());
    begin_move(&mut assignment, Some(&next_owner()), 2);
    let mut state = started_node(&assignment);
    send(&mut state, TARGET, 7, &[], START_MS + 100);
    for now_ms in (START_MS + 110..START_MS + EARLIER_LEASES_MS).step_by(100) {
        state.tick(at(now_ms));
        assert_eq!(released(&state, now_ms), Vec::<String>::new(), "at {now_ms} ms");
    }
}

/// The heartbeat reports a release of keys that the target has got again since.
#[test]
fn a_release_from_before_the_grant_does_not_count() {
    let mut assignment = owned_by(&TARGET.owner());
    begin_move(&mut assignment, Some(&next_owner()), 2);
    let mut state = started_node(&assignment);
    let release = (0, u16::MAX, "earlier".to_owned());
    send_releases(&mut state, TARGET, 7, &[], &[release], START_MS + 100);
    for now_ms in (START_MS + 110..START_MS + EARLIER_LEASES_MS).step_by(100) {
        state.tick(at(now_ms));
        assert_eq!(released(&state, now_ms), Vec::<String>::new(), "at {now_ms} ms");
    }
}

/// What a target releases in reply to this process is handed over at once.
#[test]
fn a_release_after_the_start_counts_at_once() {
    let mut assignment = owned_by(&TARGET.owner());
    begin_move(&mut assignment, Some(&next_owner()), 2);
    let mut state = started_node(&assignment);
    send(&mut state, TARGET, 8, ALL_KEYS, START_MS + 100);
    state.tick(at(START_MS + 110));
    let release = (0, u16::MAX, "token".to_owned());
    send_releases(&mut state, TARGET, 9, &[], &[release], START_MS + 300);
    state.tick(at(START_MS + 310));
    assert!(released(&state, START_MS + 310).contains(&"token".to_owned()));
}

/// The planner misses the row in which the owner is back. All leases that the owner has got on it
/// end within the validity of a row after the second departure.
#[test]
fn a_departure_that_was_taken_back_does_not_count_for_the_vacancy() {
    let target = TARGET.owner();
    let mut state = ControlState::new(settings(1), at(START_MS));
    let config = ControlEvent::Config { config: Box::new(config()), encoded: Bytes::new() };
    state.handle(config, at(START_MS + 10));
    state.handle(ControlEvent::StoreReached(true), at(START_MS + 20));
    let mut departed = owned_by(&target);
    begin_move(&mut departed, None, 1);
    state.handle(row(&departed, 2, START_MS + 5_000), at(START_MS + 5_010));
    let mut departed_again = owned_by(&target);
    begin_move(&mut departed_again, None, 3);
    let again_ms = START_MS + 16_500;
    state.handle(row(&departed_again, 4, again_ms), at(again_ms + 10));
    let mut completed_ms = None;
    for now_ms in (again_ms + 20..again_ms + 14_000).step_by(100) {
        let is_completed = |it: &Effect| matches!(it, Effect::Commit { assignment, .. } if assignment.holders().is_empty());
        if state.tick(at(now_ms)).iter().any(is_completed) {
            completed_ms = Some(now_ms);
            break;
        }
        state.handle_dropped_commit("carts");
    }
    let completed_ms = completed_ms.expect("the keys become vacant");
    let after_ms = completed_ms - again_ms;
    assert!(after_ms >= 12_000, "vacant {after_ms} ms after the second departure");
}
