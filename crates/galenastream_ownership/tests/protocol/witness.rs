//! What a witness promises, seals and refuses.

use galenastream_ownership::*;

use crate::bench::*;

fn promise_request(from: Member, term: u64, role: PromiseRole) -> PromiseRequest {
    PromiseRequest {
        cell: cell(),
        term: Term(term),
        from,
        to: member(0, 1),
        sequence: Sequence(1),
        generation: WitnessGeneration(2),
        role,
    }
}

fn seal_request(from: Member, term: u64) -> SealRequest {
    SealRequest {
        cell: cell(),
        term: Term(term),
        from,
        to: member(0, 1),
        sequence: Sequence(1),
        generation: WitnessGeneration(2),
    }
}

/// What a witness answers to a request, in one word.
fn ask(bench: &mut Bench, from: Member, message: ControlMessage) -> String {
    bench.message(from, message);
    let answer = bench.sent().find_map(|it| match it {
        ControlMessage::Promise(_) => Some("promise".to_owned()),
        ControlMessage::SealReply(reply) => Some(match reply.outcome {
            SealOutcome::Sealed { first: true } => "first seal".to_owned(),
            SealOutcome::Sealed { first: false } => "later seal".to_owned(),
            SealOutcome::Promised { .. } => "promised".to_owned(),
            SealOutcome::Stale { term, generation } => {
                format!("stale, term {}, generation {}", term.0, generation.0)
            }
        }),
        _ => None,
    });
    answer.unwrap_or_else(|| "nothing".to_owned())
}

fn promise(bench: &mut Bench, term: u64) -> String {
    let request = promise_request(member(1, 1), term, PromiseRole::Coordinator);
    ask(bench, member(1, 1), ControlMessage::PromiseRequest(request))
}

fn deputize(bench: &mut Bench, from: Member) -> String {
    let request = promise_request(from, 3, PromiseRole::Deputy);
    ask(bench, from, ControlMessage::PromiseRequest(request))
}

fn seal(bench: &mut Bench, from: Member, term: u64) -> String {
    ask(bench, from, ControlMessage::SealRequest(seal_request(from, term)))
}

/// Longer than a promise with the margin for clock rates.
const PROMISE_MS: u64 = 253;

#[test]
fn a_seal_waits_for_the_end_of_the_promise_with_the_margin() {
    let mut bench = Bench::with_row(row());
    assert_eq!(promise(&mut bench, 3), "promise");
    bench.pass_ms(252);
    assert_eq!(seal(&mut bench, member(2, 1), 3), "promised");
    bench.pass_ms(1);
    assert_eq!(seal(&mut bench, member(2, 1), 3), "first seal");
}

#[test]
fn a_seal_is_final() {
    let mut bench = Bench::with_row(row());
    assert_eq!(promise(&mut bench, 3), "promise");
    bench.pass_ms(PROMISE_MS);
    assert_eq!(seal(&mut bench, member(2, 1), 3), "first seal");
    assert_eq!(promise(&mut bench, 3), "first seal", "refused, and told why");
    assert_eq!(promise(&mut bench, 4), "promise", "the next term is another matter");
    assert_eq!(promise(&mut bench, 3), "stale, term 4, generation 2");
}

#[test]
fn a_deputy_needs_the_first_and_only_seal() {
    let mut bench = Bench::with_row(row());
    bench.pass_ms(PROMISE_MS);
    let (first, second) = (member(2, 1), member(5, 1));
    assert_ne!(deputize(&mut bench, first), "promise", "no seal yet");
    assert_eq!(seal(&mut bench, first, 3), "first seal");
    assert_eq!(deputize(&mut bench, first), "promise");
    assert_eq!(seal(&mut bench, second, 3), "promised", "the deputy's promise is live");
    bench.pass_ms(PROMISE_MS);
    assert_eq!(seal(&mut bench, second, 3), "later seal");
    assert_eq!(deputize(&mut bench, first), "later seal", "never again");
    assert_eq!(deputize(&mut bench, second), "later seal");
}

#[test]
fn a_request_for_another_life_gets_no_answer() {
    let mut bench = Bench::with_row(row());
    let mut request = promise_request(member(1, 1), 3, PromiseRole::Coordinator);
    request.to = member(0, 2);
    assert_eq!(ask(&mut bench, member(1, 1), ControlMessage::PromiseRequest(request)), "nothing");
    let mut request = seal_request(member(2, 1), 3);
    request.to = member(0, 2);
    assert_eq!(ask(&mut bench, member(2, 1), ControlMessage::SealRequest(request)), "nothing");
}

#[test]
fn an_older_set_of_witnesses_than_was_acknowledged_is_stale() {
    let mut bench = Bench::with_row(row());
    assert_eq!(promise(&mut bench, 3), "promise");
    bench.pass_ms(PROMISE_MS);
    let mut request = seal_request(member(2, 1), 3);
    request.generation = WitnessGeneration(1);
    let answer = ask(&mut bench, member(2, 1), ControlMessage::SealRequest(request));
    assert_eq!(answer, "stale, term 3, generation 2");
}

#[test]
fn a_witness_whose_promise_ran_out_asks_the_others_and_takes_the_next_term() {
    let mut bench = Bench::with_row(row());
    assert_eq!(promise(&mut bench, 3), "promise");
    bench.pass_ms(PROMISE_MS + 100);
    let asked = bench.sent().filter_map(|it| match it {
        ControlMessage::SealRequest(request) => Some(*request),
        _ => None,
    });
    let request = asked.last().unwrap();
    assert_eq!(request.term, Term(3));
    let read = bench.requests().iter().find_map(|(request, operation)| {
        matches!(operation, StoreOperation::Read { .. }).then_some(*request)
    });
    bench.store(read.unwrap(), stored(11, 2, row()));
    let wrote = |bench: &Bench| {
        let mut requests = bench.requests().into_iter();
        requests.find_map(|(_, operation)| match operation {
            StoreOperation::Write { expected, row, .. } => Some((expected, row)),
            StoreOperation::Read { .. } => None,
        })
    };
    assert!(wrote(&bench).is_none(), "one seal is not enough");
    let reply = SealReply {
        cell: cell(),
        term: Term(3),
        from: request.to,
        sequence: request.sequence,
        outcome: SealOutcome::Sealed { first: true },
    };
    bench.message(request.to, ControlMessage::SealReply(reply));
    let (expected, row) = wrote(&bench).unwrap();
    assert_eq!(expected, Some(RowVersion(11)));
    assert_eq!((row.term, row.coordinator), (Term(4), member(0, 1)));
}
