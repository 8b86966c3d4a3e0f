//! The check of invariants finds each kind of violation, and none in a run without violations.

use std::time::{Duration, Instant};

use expect_test::{Expect, expect};
use galenastream_standin::{
    HeldSpan, LimitSpan, LoadOutcome, LoadSample, TargetArrival, TargetHistory, TargetRun,
    check_invariants,
};

struct Case {
    began_at: Instant,
    histories: Vec<TargetHistory>,
    samples: Vec<LoadSample>,
}

impl Case {
    fn new() -> Self {
        let history = |id: &str| TargetHistory {
            id: id.to_owned(),
            service: "carts".to_owned(),
            runs: Vec::new(),
            held: Vec::new(),
            arrivals: Vec::new(),
            limits: Vec::new(),
            end: None,
        };
        let histories = vec![history("t-0"), history("t-1")];
        Self { began_at: Instant::now(), histories, samples: Vec::new() }
    }

    fn held(mut self, target: usize, keys: (u16, u16), fence: u64, ms: (u64, u64)) -> Self {
        let at = |ms| self.began_at + Duration::from_millis(ms);
        let (from, until) = (at(ms.0), at(ms.1));
        self.histories[target].held.push(HeldSpan {
            first: keys.0,
            last: keys.1,
            fence,
            from,
            until,
        });
        self
    }

    fn ran(mut self, target: usize, request_id: &str, changes_state: bool) -> Self {
        self.histories[target].runs.push(TargetRun {
            request_id: request_id.to_owned(),
            caller_service: "stock".to_owned(),
            deadline_ms: 500,
            key: None,
            changes_state,
            status: 200,
            began_at: self.began_at,
        });
        self
    }

    /// The target announces a limit of two requests per second for eight seconds. The requests
    /// arrive 100 ms apart.
    fn limited(mut self, target: usize, first_arrival_ms: u64, count: u64) -> Self {
        let at = |ms| self.began_at + Duration::from_millis(ms);
        let history = &mut self.histories[target];
        history.limits.push(LimitSpan { per_s: 2.0, from: at(0), until: at(8_000) });
        for number in 0..count {
            let arrived_at = at(first_arrival_ms + number * 100);
            history.arrivals.push(TargetArrival {
                request_id: String::new(),
                path: "/carts/1".to_owned(),
                caller_service: "stock".to_owned(),
                arrived_at,
            });
        }
        self
    }

    fn answered(self, request_id: &str, outcome: LoadOutcome) -> Self {
        self.answered_with(request_id, outcome, 0, false)
    }

    fn answered_with(
        mut self,
        request_id: &str,
        outcome: LoadOutcome,
        status: u16,
        is_signed: bool,
    ) -> Self {
        self.samples.push(LoadSample {
            request_id: request_id.to_owned(),
            class: 0,
            path: "/carts/1".to_owned(),
            at: Duration::ZERO,
            latency: Duration::ZERO,
            outcome,
            target: if is_signed { "t-0".to_owned() } else { String::new() },
            entry: 0,
            status,
            is_signed,
            is_quarantined: false,
        });
        self
    }

    fn check(self, expected: &Expect) {
        let violations = check_invariants(&self.histories, &self.samples);
        let text: String = violations.iter().map(|it| format!("{it}\n")).collect();
        expected.assert_eq(&text);
    }
}

#[test]
fn a_planned_move_with_a_higher_fencing_token_is_no_violation() {
    Case::new()
        .held(0, (0, 999), 1, (0, 500))
        .held(1, (500, 999), 2, (500, 900))
        .held(0, (0, 499), 1, (500, 900))
        .check(&expect![]);
}

#[test]
fn two_concurrent_owners_of_a_key_are_a_violation() {
    Case::new().held(0, (0, 999), 1, (0, 500)).held(1, (500, 1_500), 2, (480, 900)).check(
        &expect![[r#"
            key 500 was held by both t-0 and t-1 for 20ms
        "#]],
    );
}

#[test]
fn a_fencing_token_that_does_not_rise_is_a_violation() {
    Case::new().held(0, (0, 999), 3, (0, 500)).held(1, (7, 7), 3, (600, 900)).check(&expect![[
        r#"
            key 7 was held by t-0 with fencing token 3 and later by t-1 with fencing token 3; the token must rise
        "#
    ]]);
}

#[test]
fn wrong_run_counts_and_answers_are_violations() {
    Case::new()
        .ran(0, "order-1", true)
        .ran(1, "order-1", true)
        .ran(0, "read-1", false)
        .ran(1, "read-1", false)
        .ran(0, "order-2", true)
        .answered("order-2", LoadOutcome::NotRun)
        .answered("order-3", LoadOutcome::Ran)
        .answered("order-4", LoadOutcome::Wrong)
        .answered("order-5", LoadOutcome::NotRun)
        .check(&expect![[r#"
            order-1 ran more than once
            order-2 ran although its caller was told that it had not
            order-3 did not run on the target that its successful answer names
            order-4 received an answer with a wrong id, body or status
        "#]]);
}

#[test]
fn an_end_for_good_without_a_signature_and_a_changed_status_are_violations() {
    Case::new()
        .ran(0, "order-1", true)
        .answered_with("order-1", LoadOutcome::Denied, 404, false)
        .answered_with("order-2", LoadOutcome::Denied, 302, false)
        .ran(0, "order-3", true)
        .answered_with("order-3", LoadOutcome::Failed, 500, true)
        .ran(0, "order-4", true)
        .answered_with("order-4", LoadOutcome::Ran, 200, true)
        .check(&expect![[r#"
            order-1 was ended for good with status 404 of no target
            order-2 was ended for good with status 302 of no target
            order-3 received status 500, which its target did not give
        "#]]);
}

#[test]
fn more_requests_than_a_limit_allows_are_a_violation_once_the_limit_is_binding() {
    Case::new().limited(0, 3_000, 17).check(&expect![]);
    Case::new().limited(0, 0, 40).check(&expect![]);
    Case::new().limited(0, 3_000, 18).check(&expect![[r#"
        t-0 got 18 requests where its limit allows 17
    "#]]);
}
