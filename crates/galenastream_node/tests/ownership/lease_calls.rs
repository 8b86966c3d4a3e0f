//! Checks what a node takes from calls to its target: which keys are held, and which are not any more.

use galenastream_adapter::{HeartbeatReply, LeaseDelivery};
use galenastream_node::{ControlEvent, ControlState, Effect, HeartbeatAnswer};
use galenastream_ranges::{Assignment, CallId, CallOutcome, LeaseOrder, PlannedCall};

use crate::{
    fixtures::{HEARTBEAT_MS, config_event, config_with_delivery, settings},
    simulation::at,
    single_node::{
        EARLIER_LEASES_MS, Reply, START_MS, Sender, TARGET, begin_move, heartbeat, next_owner,
        owned_by, released, row, send_probe,
    },
};

/// A lease of 6 s, with the margin for clocks.
const LEASE_END_MS: u64 = 6_190;

/// A node whose target is granted keys by calls, and what it has sent.
struct Caller {
    state: ControlState,
    now_ms: u64,
    sequence: u64,
    heard_ms: u64,
    row_version: u64,
    calls: Vec<PlannedCall>,
}

impl Caller {
    /// A process that has just started and has read a row, and whose target has sent a heartbeat.
    fn new(assignment: &Assignment) -> Self {
        Self::with_delivery(assignment, &LeaseDelivery::Calls)
    }

    fn with_delivery(assignment: &Assignment, delivery: &LeaseDelivery) -> Self {
        let state = ControlState::new(settings(0), at(START_MS));
        let mut node = Self {
            state,
            now_ms: START_MS + 30,
            sequence: 0,
            heard_ms: 0,
            row_version: 3,
            calls: Vec::new(),
        };
        node.handle(config_event(config_with_delivery(1, delivery)));
        node.read(assignment);
        node.handle(ControlEvent::StoreReached(false));
        node.beat(TARGET);
        node
    }

    /// Lets time pass, with rows that stay current and a target that is heard.
    fn run_until(&mut self, assignment: &Assignment, until_ms: u64) {
        while self.now_ms < until_ms {
            self.now_ms += 100;
            self.handle(row(assignment, self.row_version, self.now_ms - 10));
            if self.now_ms >= self.heard_ms + HEARTBEAT_MS {
                self.beat(TARGET);
            }
            let effects = self.state.tick(at(self.now_ms));
            self.record(effects);
        }
    }

    fn read(&mut self, assignment: &Assignment) {
        self.handle(row(assignment, self.row_version, self.now_ms - 5));
    }

    fn beat(&mut self, sender: Sender) -> Reply {
        self.sequence += 1;
        self.heard_ms = self.now_ms;
        let (event, reply) = heartbeat(sender, self.sequence, &[], &[]);
        self.handle(event);
        reply
    }

    /// Sends a heartbeat and waits for its reply.
    fn beat_answered(&mut self) -> HeartbeatAnswer {
        let mut reply = self.beat(TARGET);
        self.now_ms += HEARTBEAT_MS;
        let effects = self.state.tick(at(self.now_ms));
        self.record(effects);
        reply.try_recv().expect("the heartbeat is answered")
    }

    fn handle(&mut self, event: ControlEvent) {
        let effects = self.state.handle(event, at(self.now_ms));
        self.record(effects);
    }

    fn record(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            if let Effect::CallTarget { call, .. } = effect {
                self.calls.push(call);
            }
        }
    }

    fn end(&mut self, id: CallId, outcome: CallOutcome) {
        let target = TARGET.incarnation();
        self.handle(ControlEvent::LeaseCallEnded { target, id, outcome });
    }

    /// Takes the calls that were sent since the last time.
    fn take_calls(&mut self) -> Vec<PlannedCall> {
        std::mem::take(&mut self.calls)
    }

    /// Answers all calls, also those that are sent because of an answer.
    fn answer_all(&mut self) {
        while let Some(call) = self.calls.pop() {
            self.end(call.id, done(""));
        }
    }

    /// Ends the only call that was sent, a grant.
    fn end_grant(&mut self, outcome: CallOutcome) {
        let calls = self.take_calls();
        assert_eq!(calls.len(), 1, "{calls:?}");
        assert!(matches!(calls[0].order, LeaseOrder::Grant { .. }), "{calls:?}");
        self.end(calls[0].id, outcome);
    }

    /// Lets all keys leave the target, and answers the release at once.
    fn leave_and_release(&mut self, assignment: &mut Assignment) {
        begin_move(assignment, Some(&next_owner()), self.row_version);
        self.row_version += 1;
        self.read(assignment);
        let calls = self.take_calls();
        let releases = calls.iter().filter(|it| matches!(it.order, LeaseOrder::Release { .. }));
        for release in releases.map(|it| it.id).collect::<Vec<_>>() {
            self.end(release, done("token"));
        }
    }

    fn holds(&self, key: u16) -> bool {
        let directory = self.state.directory(at(self.now_ms));
        directory.local.is_some_and(|it| it.leases.covers(key, at(self.now_ms)))
    }

    fn released(&self) -> Vec<String> {
        released(&self.state, self.now_ms)
    }
}

fn done(handover: &str) -> CallOutcome {
    CallOutcome::Done { handover: handover.to_owned() }
}

#[test]
fn a_target_is_granted_its_keys_by_a_call_and_holds_them_once_it_has_answered() {
    let mut node = Caller::new(&owned_by(&TARGET.owner()));
    assert!(!node.holds(7), "nothing is held before the answer");
    node.end_grant(done(""));
    assert!(node.holds(7));
}

#[test]
fn a_lease_is_renewed_before_it_ends_and_not_without_need() {
    let assignment = owned_by(&TARGET.owner());
    let mut node = Caller::new(&assignment);
    node.end_grant(done(""));
    let granted_ms = node.now_ms;
    node.run_until(&assignment, granted_ms + 2_200);
    assert_eq!(node.take_calls(), [], "a lease of 6 s is not renewed within 2.2 s");
    node.run_until(&assignment, granted_ms + 3_200);
    node.end_grant(done(""));
    node.run_until(&assignment, granted_ms + 6_500);
    assert!(node.holds(7), "the first lease was renewed");
}

/// Guards against a handover that waits for a grant of the last moment, which may get no answer.
#[test]
fn a_process_that_is_about_to_stop_renews_only_leases_that_would_lapse() {
    let assignment = owned_by(&TARGET.owner());
    let mut node = Caller::new(&assignment);
    node.end_grant(done(""));
    let granted_ms = node.now_ms;
    node.handle(ControlEvent::Closing);
    node.run_until(&assignment, granted_ms + 4_300);
    assert_eq!(node.take_calls(), []);
    node.run_until(&assignment, granted_ms + 5_000);
    node.end_grant(done(""));
    assert!(node.holds(7));
}

#[test]
fn keys_are_released_when_the_target_has_answered_the_release() {
    let mut assignment = owned_by(&TARGET.owner());
    let mut node = Caller::new(&assignment);
    node.end_grant(done(""));
    node.run_until(&assignment, START_MS + EARLIER_LEASES_MS + 1_000);
    node.answer_all();
    node.leave_and_release(&mut assignment);
    assert!(!node.holds(7), "no request is sent for a key that is being released");
    assert_eq!(node.released(), ["token"]);
}

/// The target may carry the first grant out at any time until the lease would have ended, also after
/// it has released the keys.
#[test]
fn an_answered_release_does_not_count_while_a_grant_without_an_answer_may_be_carried_out() {
    let mut assignment = owned_by(&TARGET.owner());
    let mut node = Caller::new(&assignment);
    node.end_grant(done(""));
    node.run_until(&assignment, START_MS + EARLIER_LEASES_MS + 1_000);
    let renewals = node.take_calls();
    let (lost, others) = renewals.split_last().expect("the lease was renewed");
    for call in others {
        node.end(call.id, done(""));
    }
    node.end(lost.id, CallOutcome::NoAnswer);
    let closed_ms = node.now_ms;
    node.now_ms += 300;
    let assignment_before = assignment.clone();
    node.run_until(&assignment_before, node.now_ms + 100);
    node.answer_all();
    node.leave_and_release(&mut assignment);
    node.run_until(&assignment, closed_ms + LEASE_END_MS - 200);
    assert_eq!(node.released(), Vec::<String>::new(), "the grant may be carried out");
    node.run_until(&assignment, closed_ms + LEASE_END_MS + 200);
    assert_eq!(node.released(), ["token"]);
}

/// A grant of the process before may have got no answer as well.
#[test]
fn an_answered_release_does_not_count_while_grants_of_the_process_before_may_last() {
    let mut assignment = owned_by(&TARGET.owner());
    let mut node = Caller::new(&assignment);
    node.end_grant(done(""));
    node.leave_and_release(&mut assignment);
    node.run_until(&assignment, START_MS + EARLIER_LEASES_MS);
    assert_eq!(node.released(), Vec::<String>::new());
    node.run_until(&assignment, START_MS + EARLIER_LEASES_MS + 500);
    assert_eq!(node.released(), ["token"]);
}

/// Long work holds the answer to a release back. The work ends with the lease.
#[test]
fn keys_whose_release_is_not_answered_are_free_when_their_leases_have_ended() {
    let mut assignment = owned_by(&TARGET.owner());
    let mut node = Caller::new(&assignment);
    node.end_grant(done(""));
    let granted_ms = node.now_ms;
    begin_move(&mut assignment, Some(&next_owner()), 3);
    node.row_version = 4;
    node.run_until(&assignment, granted_ms + LEASE_END_MS - 200);
    assert_eq!(node.released(), Vec::<String>::new());
    node.run_until(&assignment, granted_ms + LEASE_END_MS + 200);
    assert_eq!(node.released(), [""]);
}

/// A release that got no answer may be carried out after the keys were granted again.
#[test]
fn keys_that_the_target_denies_are_granted_again_at_once_and_not_in_a_loop() {
    let assignment = owned_by(&TARGET.owner());
    let mut node = Caller::new(&assignment);
    node.end_grant(done(""));
    let target = TARGET.incarnation();
    node.now_ms += 500;
    node.handle(ControlEvent::KeyDenied { target: target.clone(), key: 7 });
    assert!(!node.holds(7), "a key is not held against the word of the target");
    node.end_grant(done(""));
    assert!(node.holds(7));
    for _ in 0..20 {
        node.now_ms += 20;
        node.handle(ControlEvent::KeyDenied { target: target.clone(), key: 7 });
    }
    assert!(node.take_calls().len() <= 1);
}

#[test]
fn a_grant_that_the_target_refuses_for_its_fence_is_not_held_nor_repeated_at_once() {
    let mut node = Caller::new(&owned_by(&TARGET.owner()));
    node.end_grant(CallOutcome::HigherFenceSeen);
    assert!(!node.holds(7));
    node.now_ms += 500;
    node.handle(ControlEvent::StoreReached(false));
    assert_eq!(node.take_calls(), []);
}

/// A call reaches whichever target is at the address.
#[test]
fn nothing_is_granted_while_it_is_open_which_target_runs() {
    let assignment = owned_by(&TARGET.owner());
    let mut node = Caller::new(&assignment);
    node.end_grant(done(""));
    node.beat(Sender { id: "t", born_ms: Some(5) });
    node.now_ms += 3_000;
    node.read(&assignment);
    assert_eq!(node.take_calls(), []);
}

/// The connection of a grant proves that somebody listens, maybe the next target.
#[test]
fn refused_connections_do_not_end_a_target_that_was_granted_keys_meanwhile() {
    let assignment = owned_by(&TARGET.owner());
    let mut node = Caller::new(&assignment);
    node.end_grant(done(""));
    let began_ms = node.now_ms + 2_400;
    node.run_until(&assignment, began_ms + 700);
    node.take_calls();
    send_probe(&mut node.state, TARGET, began_ms, 0, node.now_ms);
    let gone = node.state.status(at(node.now_ms)).facts.into_iter().flat_map(|it| it.gone);
    assert_eq!(gone.count(), 0);
}

/// The end of one run of the target, whose delayed heartbeat arrives while the next run under the same id
/// holds its keys: a call names the id only, so it would take them from that one.
#[test]
fn a_delayed_heartbeat_of_an_ended_run_takes_no_keys_from_the_next_run_under_its_id() {
    let mut node = Caller::new(&owned_by(&TARGET.owner()));
    node.end_grant(done(""));
    node.now_ms += 1_200;
    let probed_ms = node.now_ms;
    send_probe(&mut node.state, TARGET, probed_ms, 0, probed_ms + 60);
    node.now_ms += 100;
    let next_run = Sender { id: "t", born_ms: Some(5) };
    node.beat(next_run);
    node.take_calls();
    node.now_ms += 100;
    node.beat(TARGET);
    assert_eq!(node.take_calls(), []);
}

/// A target that was taken for ended may have been granted keys by a call that was on its way.
#[test]
fn a_target_that_was_taken_for_ended_and_is_heard_again_has_to_release_its_keys() {
    let mut node = Caller::new(&owned_by(&TARGET.owner()));
    node.end_grant(done(""));
    node.now_ms += 1_200;
    let probed_ms = node.now_ms;
    send_probe(&mut node.state, TARGET, probed_ms, 0, probed_ms + 60);
    node.now_ms += 100;
    node.beat(TARGET);
    let calls = node.take_calls();
    assert!(
        matches!(calls[..], [PlannedCall { order: LeaseOrder::Release { .. }, .. }]),
        "{calls:?}"
    );
}

#[test]
fn no_keys_are_granted_in_a_way_that_is_not_known() {
    let delivery = LeaseDelivery::Unknown("letter".to_owned());
    let mut node = Caller::with_delivery(&owned_by(&TARGET.owner()), &delivery);
    let answer = node.beat_answered();
    assert_eq!(node.take_calls(), []);
    assert!(matches!(answer, HeartbeatAnswer::Reply(HeartbeatReply::Acknowledged)));
    let target = node.state.status_page(at(node.now_ms)).target.expect("the target is known");
    let reason = target.leases_withheld.expect("operators see that nothing is granted");
    assert!(reason.contains("letter"), "{reason}");
}

/// Heartbeats whose replies carry leases would take back what was granted by calls.
#[test]
fn replies_to_heartbeats_carry_no_leases_where_keys_are_granted_by_calls() {
    let mut node = Caller::new(&owned_by(&TARGET.owner()));
    node.end_grant(done(""));
    let answer = node.beat_answered();
    assert!(matches!(answer, HeartbeatAnswer::Reply(HeartbeatReply::Acknowledged)));
}
