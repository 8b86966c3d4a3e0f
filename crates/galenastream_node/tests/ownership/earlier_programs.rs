//! Checks that rows of programs of earlier versions, which drop what they do not know, neither let
//! keys move too early nor keep them from moving.

use std::time::Duration;

use bytes::Bytes;
use galenastream_adapter::{HeartbeatReply, Row};
use galenastream_node::{ControlEvent, ControlState, Effect, HeartbeatAnswer};
use galenastream_ranges::{Assignment, LeaseTerms, TermsStatement};

use crate::{
    earlier_program::rewritten,
    fixtures::{HEARTBEAT_MS, config, config_event, settings_with_bound},
    simulation::at,
    single_node::{ALL_KEYS, START_MS, TARGET, begin_move, next_owner, owned_by, row, send},
};

/// Leases on a row of an earlier version last up to this time after it was replaced.
const ROW_VALIDITY_MS: u64 = 12_000;

/// How long a planner waits at most for keys that leave a lost owner, with rows of earlier versions.
const MAX_WAIT_MS: u64 = 30_000;

const LOST_MS: u64 = START_MS + 5_000;

fn configured(state: ControlState) -> ControlState {
    let mut state = state;
    let config = config_event(config());
    state.handle(config, at(START_MS + 10));
    state
}

/// A planner, all writes of which succeed at once, up to the one that frees keys.
struct Planner {
    state: ControlState,
    version: u64,
    written: Vec<Assignment>,
    freed_ms: Option<u64>,
}

impl Planner {
    fn with_bound(max_lease_ms: u64) -> Self {
        let settings = settings_with_bound(0, max_lease_ms);
        let mut state = configured(ControlState::new(settings, at(START_MS)));
        state.handle(ControlEvent::StoreReached(true), at(START_MS + 20));
        Self { state, version: 3, written: Vec::new(), freed_ms: None }
    }

    /// Creates a planner that has read at `LOST_MS` that the keys of a lost owner leave, in version 4,
    /// and has recorded their departure in version 5.
    fn new() -> Self {
        let mut planner = Self::with_bound(10_000);
        planner.read(4, &leaving(), LOST_MS);
        assert_eq!(planner.version, 5, "the departure is written");
        planner
    }

    fn read(&mut self, version: u64, assignment: &Assignment, now_ms: u64) {
        self.version = version;
        let effects = self.state.handle(row(assignment, version, now_ms - 10), at(now_ms));
        self.write(effects, now_ms);
    }

    fn last_statement(&self) -> TermsStatement {
        self.written.last().expect("it has written").terms_statement()
    }

    fn read_node_row(&mut self, version: u64, now_ms: u64) {
        let row = Row { key: "node/vm-9".to_owned(), value: None, version };
        let confirmed_at = Some(at(now_ms - 10));
        let event = ControlEvent::Rows { rows: vec![row], version, confirmed_at };
        self.version = version;
        let effects = self.state.handle(event, at(now_ms));
        self.write(effects, now_ms);
    }

    fn run(&mut self, from_ms: u64, to_ms: u64) {
        for now_ms in (from_ms..to_ms).step_by(100) {
            let effects = self.state.tick(at(now_ms));
            self.write(effects, now_ms);
        }
    }

    fn write(&mut self, effects: Vec<Effect>, now_ms: u64) {
        for effect in effects {
            let Effect::Commit { assignment, .. } = effect else {
                continue;
            };
            if assignment.holders().is_empty() {
                self.freed_ms.get_or_insert(now_ms);
                continue;
            }
            self.version += 1;
            self.written.push(Assignment::clone(&assignment));
            let result = Ok(self.version);
            let service = "carts".to_owned();
            let committed = ControlEvent::Committed { service, assignment, result };
            let effects = self.state.handle(committed, at(now_ms));
            self.write(effects, now_ms);
        }
    }
}

/// The keys of a lost owner leave, by a program of an earlier version.
fn leaving() -> Assignment {
    let mut assignment = owned_by(&next_owner());
    begin_move(&mut assignment, None, 3);
    rewritten(&assignment)
}

/// Guards against a wait that goes on over a version in which the owner got its keys back, which the
/// planner has not read.
#[test]
fn a_departure_does_not_continue_over_a_version_that_was_not_read() {
    let mut planner = Planner::new();
    let (back_ms, leaving_ms) = (LOST_MS + 6_000, LOST_MS + 11_000);
    planner.run(LOST_MS + 100, leaving_ms);
    assert_eq!(planner.version, 5);
    // Its owner has the keys by version 6, and leases on it.
    planner.read(7, &leaving(), leaving_ms);
    planner.run(leaving_ms + 100, leaving_ms + 60_000);
    let freed_ms = planner.freed_ms.expect("the keys are free in the end");
    assert!(
        freed_ms >= leaving_ms + ROW_VALIDITY_MS,
        "free {} ms after a version in which they were owned",
        freed_ms - back_ms
    );
}

/// Guards against the same if the planner cannot decode the version in between.
#[test]
fn a_departure_does_not_continue_over_a_version_that_cannot_be_decoded() {
    let mut planner = Planner::new();
    let leaving_ms = LOST_MS + 11_000;
    planner.run(LOST_MS + 100, leaving_ms - 5_000);
    let key = "keys/carts".to_owned();
    let row = Row { key, value: Some(Bytes::from_static(b"\xff\xff")), version: 6 };
    let confirmed_at = Some(at(leaving_ms - 5_000));
    let event = ControlEvent::Rows { rows: vec![row], version: 6, confirmed_at };
    planner.state.handle(event, at(leaving_ms - 5_000));
    planner.run(leaving_ms - 4_900, leaving_ms);
    planner.read(7, &leaving(), leaving_ms);
    planner.run(leaving_ms + 100, leaving_ms + 60_000);
    let freed_ms = planner.freed_ms.expect("the keys are free in the end");
    let after_ms = freed_ms - leaving_ms;
    assert!(after_ms >= ROW_VALIDITY_MS, "free {after_ms} ms after the unreadable version");
}

/// Guards against a wait that begins anew with each row of an earlier version, since versions of
/// other rows are in between.
#[test]
fn a_departure_continues_over_versions_of_other_rows() {
    let mut planner = Planner::new();
    let mut now_ms = LOST_MS;
    while now_ms < LOST_MS + 60_000 && planner.freed_ms.is_none() {
        planner.run(now_ms + 100, now_ms + 5_000);
        now_ms += 5_000;
        planner.read_node_row(planner.version + 1, now_ms);
        planner.read(planner.version + 1, &leaving(), now_ms + 10);
    }
    let after_ms = planner.freed_ms.map(|it| it - LOST_MS);
    assert!(after_ms.is_some_and(|it| it <= MAX_WAIT_MS), "free after {after_ms:?} ms");
    assert!(after_ms.is_some_and(|it| it >= ROW_VALIDITY_MS), "free after {after_ms:?} ms");
}

/// When a planner whose settings permit leases of 4 s frees the keys of a lost owner, whose departure
/// it has read in a row with these limits.
fn freed_after_ms(stated: impl Fn(&mut Assignment)) -> u64 {
    let mut planner = Planner::with_bound(4_000);
    let mut assignment = owned_by(&next_owner());
    stated(&mut assignment);
    begin_move(&mut assignment, None, 3);
    planner.read(4, &assignment, LOST_MS);
    planner.run(LOST_MS + 100, LOST_MS + 60_000);
    planner.freed_ms.expect("the keys are free in the end") - LOST_MS
}

/// Guards against a wait by short limits while leases on rows that state none may be longer.
#[test]
fn short_limits_do_not_count_for_leases_on_rows_before_their_statement() {
    let short = LeaseTerms::new(Duration::from_secs(6), Duration::from_secs(4));
    assert_eq!(freed_after_ms(|_| ()), ROW_VALIDITY_MS);
    assert_eq!(freed_after_ms(|it| it.raise_terms(short)), ROW_VALIDITY_MS);
    let just_stated = |it: &mut Assignment| {
        it.raise_terms(short);
        it.state_terms_since(2);
    };
    assert_eq!(freed_after_ms(just_stated), ROW_VALIDITY_MS);
    let stated_long_ago = |it: &mut Assignment| {
        it.raise_terms(short);
        it.state_terms_of_all_rows();
    };
    assert_eq!(freed_after_ms(stated_long_ago), 6_000);
}

/// Guards against leases by longer settings on a row that states no limits, for which nobody waits.
#[test]
fn leases_on_a_row_without_limits_do_not_depend_on_the_settings() {
    let state = ControlState::new(settings_with_bound(0, 20_000), at(START_MS));
    let mut state = configured(state);
    let assignment = owned_by(&TARGET.owner());
    let confirmed_ms = START_MS + 6_000;
    state.handle(row(&assignment, 3, confirmed_ms), at(confirmed_ms));
    let mut last_end_ms = 0;
    for sequence in 1..30 {
        let now_ms = confirmed_ms + sequence * HEARTBEAT_MS;
        let mut reply = send(&mut state, TARGET, sequence, ALL_KEYS, now_ms);
        state.tick(at(now_ms + 800));
        if let Ok(HeartbeatAnswer::Reply(HeartbeatReply::Leases { grants, lease_ms })) =
            reply.try_recv()
            && !grants.is_empty()
        {
            last_end_ms = now_ms + 800 + lease_ms;
        }
    }
    assert!(last_end_ms > confirmed_ms, "the node grants leases");
    assert!(last_end_ms <= confirmed_ms + ROW_VALIDITY_MS, "{last_end_ms} ms");
}

/// Guards against limits that never count for earlier leases, or that do after a program of an earlier
/// version has dropped them, or may have.
#[test]
fn limits_count_for_earlier_rows_once_leases_on_those_have_ended() {
    let mut planner = Planner::with_bound(4_000);
    let owned = rewritten(&owned_by(&next_owner()));
    planner.read(4, &owned, LOST_MS);
    assert_eq!(planner.last_statement(), TermsStatement::Since(4));
    let counts_ms = LOST_MS + ROW_VALIDITY_MS;
    planner.run(LOST_MS + 100, counts_ms);
    assert_eq!(planner.last_statement(), TermsStatement::Since(4));
    planner.run(counts_ms, counts_ms + 100);
    assert_eq!(planner.last_statement(), TermsStatement::AllRows);
    let dropped = planner.version + 1;
    planner.read(dropped, &owned, counts_ms + 200);
    assert_eq!(planner.last_statement(), TermsStatement::Since(dropped));
    // A program that knows limits, but not which leases they cover, writes the next version.
    let mut kept = owned;
    kept.raise_terms(LeaseTerms::new(Duration::from_secs(6), Duration::from_secs(4)));
    planner.read(planner.version + 1, &kept, counts_ms + 300);
    assert_eq!(planner.last_statement(), TermsStatement::Since(dropped));
    let after_gap = planner.version + 2;
    planner.read(after_gap, &kept, counts_ms + 400);
    assert_eq!(planner.last_statement(), TermsStatement::Since(after_gap));
}

/// Guards against limits that are shorter than before, since a program of an earlier version has
/// dropped the longer ones.
#[test]
fn limits_that_an_earlier_program_has_dropped_are_not_lowered() {
    let mut planner = Planner::new();
    let long = LeaseTerms::new(Duration::from_secs(20), Duration::from_secs(9));
    let mut owned = owned_by(&next_owner());
    owned.raise_terms(long);
    planner.read(6, &owned, LOST_MS + 200);
    planner.read(planner.version + 1, &rewritten(&owned), LOST_MS + 300);
    let stated = planner.written.last().and_then(Assignment::terms);
    assert_eq!(stated, Some(long));
}
