//! Checks that rows of programs of earlier versions, which drop what they do not know, neither let
//! keys move too early nor keep them from moving.

use bytes::Bytes;
use galenastream_adapter::Row;
use galenastream_node::{ControlEvent, ControlState, Effect};
use galenastream_ranges::Assignment;

use crate::{
    earlier_program::rewritten,
    fixtures::{config, settings},
    simulation::at,
    single_node::{START_MS, begin_move, next_owner, owned_by, row},
};

/// Leases on a row of an earlier version last up to this time after it was replaced.
const ROW_VALIDITY_MS: u64 = 12_000;

/// How long a planner waits at most for keys that leave a lost owner, with rows of earlier versions.
const MAX_WAIT_MS: u64 = 30_000;

const LOST_MS: u64 = START_MS + 5_000;

/// A planner that has read at `LOST_MS` that the keys of a lost owner leave, in version 4, has
/// recorded their departure in version 5, and reads rows of an earlier version from then on.
struct Planner {
    state: ControlState,
    version: u64,
    freed_ms: Option<u64>,
}

impl Planner {
    fn new() -> Self {
        let mut state = ControlState::new(settings(0), at(START_MS));
        let config = ControlEvent::Config { config: Box::new(config()), encoded: Bytes::new() };
        state.handle(config, at(START_MS + 10));
        state.handle(ControlEvent::StoreReached(true), at(START_MS + 20));
        let mut planner = Self { state, version: 3, freed_ms: None };
        planner.read(4, &leaving(), LOST_MS);
        assert_eq!(planner.version, 5, "the departure is written");
        planner
    }

    fn read(&mut self, version: u64, assignment: &Assignment, now_ms: u64) {
        self.version = version;
        let effects = self.state.handle(row(assignment, version, now_ms - 10), at(now_ms));
        self.write(effects, now_ms);
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
