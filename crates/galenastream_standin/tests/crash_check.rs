//! The check of requests that crash their targets finds each kind of violation, and counts the retries
//! of undisturbed nodes only.

use std::time::{Duration, Instant};

use expect_test::{Expect, expect};
use galenastream_standin::{
    Disturbance, LoadOutcome, LoadSample, TargetArrival, TargetEnd, TargetHistory, check_crashes,
};

/// The path of the requests that crash their targets.
const PATH: &str = "/stock/crash-1";

struct Case {
    began_at: Instant,
    /// The histories of the targets of two VMs.
    histories: Vec<Vec<TargetHistory>>,
    samples: Vec<LoadSample>,
    disturbances: Vec<Disturbance>,
}

impl Case {
    fn new() -> Self {
        Self {
            began_at: Instant::now(),
            histories: vec![Vec::new(), Vec::new()],
            samples: Vec::new(),
            disturbances: Vec::new(),
        }
    }

    fn at(&self, ms: u64) -> Instant {
        // Room for windows before the start.
        self.began_at + Duration::from_secs(10) + Duration::from_millis(ms)
    }

    /// A request of a caller on `entry` arrives at a target of `vm`, and crashes it or not.
    fn arrived(mut self, entry: usize, vm: usize, ms: u64, crashes: bool) -> Self {
        let (arrived_at, at) = (self.at(ms), self.at(ms + 50));
        let request_id = format!("r-{}", self.samples.len());
        let history = TargetHistory {
            id: format!("t-{vm}-{}", self.histories[vm].len()),
            service: "stock".to_owned(),
            runs: Vec::new(),
            held: Vec::new(),
            arrivals: vec![TargetArrival {
                request_id: request_id.clone(),
                path: PATH.to_owned(),
                caller_service: "stock".to_owned(),
                arrived_at,
            }],
            limits: Vec::new(),
            end: crashes.then(|| TargetEnd { at, crashed_by: Some(request_id.clone()) }),
        };
        self.histories[vm].push(history);
        self.answered(&request_id, PATH, entry, false)
    }

    /// Three crashes in the first 100 ms, and retries from `first_ms` on, 100 ms apart.
    fn crashed_and_retried(self, first_ms: u64, count: u64) -> Self {
        let crashed = (0..3).fold(self, |case, it| case.arrived(0, 0, it * 25, true));
        (0..count).fold(crashed, |case, it| case.arrived(1, 0, first_ms + it * 100, false))
    }

    fn disturbed(mut self, vm: usize, ms: (u64, u64)) -> Self {
        let (from, until) = (self.at(ms.0), self.at(ms.1));
        self.disturbances.push(Disturbance { vm, from, until });
        self
    }

    fn answered(mut self, id: &str, path: &str, entry: usize, is_quarantined: bool) -> Self {
        self.samples.push(LoadSample {
            request_id: id.to_owned(),
            class: 0,
            path: path.to_owned(),
            at: Duration::ZERO,
            latency: Duration::ZERO,
            outcome: LoadOutcome::NotRun,
            target: String::new(),
            entry,
            status: 503,
            is_signed: false,
            is_quarantined,
        });
        self
    }

    fn check(self, expected: &Expect) {
        let violations = check_crashes(&self.histories, &self.samples, &self.disturbances);
        let text: String = violations.iter().map(|it| format!("{it}\n")).collect();
        expected.assert_eq(&text);
    }
}

#[test]
fn more_than_three_retries_after_the_window_are_a_violation() {
    Case::new().crashed_and_retried(3_101, 3).check(&expect![]);
    Case::new().crashed_and_retried(2_700, 7).check(&expect![]);
    let violation = expect![[r#"
        /stock/crash-1 of stock reached targets 4 times later than 3 s after it had crashed three
    "#]];
    Case::new().crashed_and_retried(3_101, 4).check(&violation);
}

#[test]
fn retries_of_nodes_that_were_disturbed_do_not_count() {
    let violation = expect![[r#"
        /stock/crash-1 of stock reached targets 4 times later than 3 s after it had crashed three
    "#]];
    // The caller's node, or the one beside the target, is disturbed or was so less than 3 s ago.
    for vm in [0, 1] {
        Case::new().crashed_and_retried(9_000, 4).disturbed(vm, (5_000, 8_000)).check(&expect![]);
        Case::new().crashed_and_retried(9_000, 4).disturbed(vm, (8_000, 20_000)).check(&expect![]);
        Case::new().crashed_and_retried(9_000, 4).disturbed(vm, (4_000, 5_900)).check(&violation);
    }
}

#[test]
fn crashes_that_the_node_beside_the_target_cannot_report_do_not_count() {
    Case::new().crashed_and_retried(9_000, 4).disturbed(0, (90, 200)).check(&expect![]);
    Case::new().crashed_and_retried(9_000, 4).disturbed(1, (90, 200)).check(&expect![[r#"
        /stock/crash-1 of stock reached targets 4 times later than 3 s after it had crashed three
    "#]]);
}

#[test]
fn an_ordinary_request_that_is_refused_as_quarantined_is_a_violation() {
    Case::new()
        .answered("crash-1", PATH, 0, true)
        .answered("read-1", "/stock/1", 0, false)
        .answered("read-2", "/stock/1", 0, true)
        .check(&expect![[r#"
            read-2 was refused like a request that crashes its targets
        "#]]);
}
