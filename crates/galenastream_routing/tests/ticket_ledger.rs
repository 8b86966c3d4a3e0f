//! Tests of at most once: no ticket runs twice, whatever is forgotten.

use galenastream_ownership::{BootInstant, Epoch, FastMap, SliceEpoch, SliceId};
use galenastream_routing::{Ticket, TicketDecision, TicketLedger, TicketLimits, TicketResult};
use proptest::prelude::*;

const LIMITS: TicketLimits = TicketLimits { tickets_per_slice: 4, kept_ms: 100, answer_bytes: 250 };

fn at_ms(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

fn assignment(epoch: u64) -> SliceEpoch {
    SliceEpoch { slice: SliceId(1), epoch: Epoch(epoch) }
}

fn ran(answer: u64) -> TicketResult<u64> {
    TicketResult::Ran { answer, size_bytes: 100 }
}

#[test]
fn runs_once_and_gives_the_same_answer_again() {
    let mut ledger = TicketLedger::new(LIMITS);
    let ticket = ledger.issue(at_ms(0), assignment(1));
    assert_eq!(ledger.begin(at_ms(0), assignment(1), ticket), TicketDecision::Run);
    assert_eq!(ledger.begin(at_ms(0), assignment(1), ticket), TicketDecision::InProgress);
    ledger.finish(ticket, ran(42));
    assert_eq!(ledger.begin(at_ms(1), assignment(1), ticket), TicketDecision::Answered(42));
}

#[test]
fn runs_again_only_after_it_provably_did_not_run() {
    let cases = [
        (TicketResult::NotRun, TicketDecision::Run),
        (TicketResult::Unknown, TicketDecision::Unknown),
        (ran(1), TicketDecision::Answered(1)),
    ];
    for (result, expected) in cases {
        let mut ledger = TicketLedger::new(LIMITS);
        let ticket = ledger.issue(at_ms(0), assignment(1));
        ledger.begin(at_ms(0), assignment(1), ticket);
        ledger.finish(ticket, result.clone());
        assert_eq!(ledger.begin(at_ms(0), assignment(1), ticket), expected, "{result:?}");
    }
}

#[test]
fn a_ticket_of_another_assignment_is_unknown() {
    let mut ledger: TicketLedger<u64> = TicketLedger::new(LIMITS);
    let ticket = ledger.issue(at_ms(0), assignment(1));
    assert_eq!(ledger.begin(at_ms(0), assignment(2), ticket), TicketDecision::Unknown);
}

#[test]
fn a_ticket_that_was_never_issued_is_refused() {
    let mut ledger: TicketLedger<u64> = TicketLedger::new(LIMITS);
    let forged = Ticket { assignment: assignment(1), serial: 7 };
    assert_eq!(ledger.begin(at_ms(0), assignment(1), forged), TicketDecision::NeverIssued);
    ledger.issue(at_ms(0), assignment(1));
    assert_eq!(ledger.begin(at_ms(0), assignment(1), forged), TicketDecision::NeverIssued);
}

#[test]
fn a_forgotten_ticket_is_unknown() {
    for (issued_after, later_ms) in [(LIMITS.tickets_per_slice, 0), (0, 101)] {
        let mut ledger: TicketLedger<u64> = TicketLedger::new(LIMITS);
        let ticket = ledger.issue(at_ms(0), assignment(1));
        for _ in 0..issued_after {
            ledger.issue(at_ms(0), assignment(1));
        }
        let decision = ledger.begin(at_ms(later_ms), assignment(1), ticket);
        assert_eq!(decision, TicketDecision::Unknown);
    }
}

#[test]
fn kept_answers_stay_within_their_bytes() {
    let mut ledger = TicketLedger::new(LIMITS);
    let tickets: Vec<Ticket> = (0..3).map(|_| ledger.issue(at_ms(0), assignment(1))).collect();
    for (answer, ticket) in tickets.iter().enumerate() {
        ledger.begin(at_ms(0), assignment(1), *ticket);
        ledger.finish(*ticket, ran(answer as u64));
    }
    let decisions: Vec<_> =
        tickets.iter().map(|it| ledger.begin(at_ms(0), assignment(1), *it)).collect();
    let expected =
        [TicketDecision::Unknown, TicketDecision::Answered(1), TicketDecision::Answered(2)];
    assert_eq!(decisions, expected);
}

#[test]
fn an_assignment_that_ends_takes_its_tickets_with_it() {
    let mut ledger: TicketLedger<u64> = TicketLedger::new(LIMITS);
    ledger.issue(at_ms(0), assignment(1));
    ledger.issue(at_ms(0), assignment(2));
    ledger.retain(&[assignment(2)]);
    assert_eq!(ledger.len(), 1);
}

#[derive(Debug, Clone)]
enum Step {
    Issue,
    Begin { ticket: usize },
    Finish { ticket: usize, result: u8 },
    Pass { ms: u64 },
    NextAssignment,
}

fn any_step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => Just(Step::Issue),
        5 => (0..20_usize).prop_map(|ticket| Step::Begin { ticket }),
        4 => (0..20_usize, 0..3_u8).prop_map(|(ticket, result)| Step::Finish { ticket, result }),
        1 => (0..60_u64).prop_map(|ms| Step::Pass { ms }),
        1 => Just(Step::NextAssignment),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 500, ..ProptestConfig::default() })]

    /// A ticket is begun again only if all that it was begun before ended without having run.
    #[test]
    fn no_ticket_runs_twice(steps in prop::collection::vec(any_step(), 1..150)) {
        let mut ledger = TicketLedger::new(LIMITS);
        let mut tickets: Vec<Ticket> = Vec::new();
        let mut may_have_run: FastMap<Ticket, bool> = FastMap::default();
        let mut running: Vec<Ticket> = Vec::new();
        let (mut now_ms, mut epoch) = (0, 1);
        for step in steps {
            match step {
                Step::Issue => tickets.push(ledger.issue(at_ms(now_ms), assignment(epoch))),
                Step::Pass { ms } => now_ms += ms,
                Step::NextAssignment => {
                    epoch += 1;
                    ledger.retain(&[assignment(epoch)]);
                }
                Step::Begin { ticket } => {
                    let Some(ticket) = tickets.get(ticket) else { continue };
                    let decision = ledger.begin(at_ms(now_ms), assignment(epoch), *ticket);
                    if decision == TicketDecision::Run {
                        let before = may_have_run.insert(*ticket, true);
                        prop_assert_ne!(before, Some(true), "{:?} ran twice", ticket);
                        running.push(*ticket);
                    }
                }
                Step::Finish { ticket, result } => {
                    let Some(ticket) = tickets.get(ticket) else { continue };
                    let Some(index) = running.iter().position(|it| it == ticket) else { continue };
                    running.swap_remove(index);
                    let result = match result {
                        0 => TicketResult::NotRun,
                        1 => TicketResult::Unknown,
                        _ => ran(1),
                    };
                    may_have_run.insert(*ticket, result != TicketResult::NotRun);
                    ledger.finish(*ticket, result);
                }
            }
        }
    }
}
