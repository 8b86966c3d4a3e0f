//! Tests of the order and the pace of long answers on a slow link.

use std::time::Duration;

use galenastream_routing::{LinkSchedule, TransferId, TransferOrder};
use galenastream_utils::BootInstant;

const LINK_MBIT_PER_S: f64 = 13.0;
const PART_BYTES: usize = 16 * 1_024;
const ANSWER_BYTES: usize = 90_000;

/// How long a short message may wait for long answers: the time that is handed out ahead, and one
/// part.
const MAX_SHORT_WAIT: Duration = Duration::from_millis(35);

fn at(ms: u64) -> BootInstant {
    BootInstant::new(1_000_000_000) + Duration::from_millis(ms)
}

fn order(rank: u8, due_ms: u64) -> TransferOrder {
    TransferOrder { rank, due: at(due_ms) }
}

/// A long answer of the replay.
struct Answer {
    order: TransferOrder,
    id: TransferId,
    left_bytes: usize,
    sent_at_ms: Option<u64>,
}

fn new_answer(schedule: &mut LinkSchedule, order: TransferOrder) -> Answer {
    let id = schedule.announce(order);
    schedule.set_bytes(order, id, ANSWER_BYTES);
    schedule.set_ready(order, id, PART_BYTES);
    Answer { order, id, left_bytes: ANSWER_BYTES, sent_at_ms: None }
}

/// Sends parts whenever the link has room. Returns how long a short message would have waited at
/// most.
fn send_until(
    schedule: &mut LinkSchedule,
    answers: &mut [Answer],
    from_ms: u64,
    until_ms: u64,
) -> Duration {
    let mut longest = Duration::ZERO;
    for now_ms in from_ms..until_ms {
        while let Some(id) = schedule.start_next(at(now_ms)) {
            let Some(answer) = answers.iter_mut().find(|it| it.id == id) else {
                panic!("an unknown transfer got a turn");
            };
            answer.left_bytes = answer.left_bytes.saturating_sub(PART_BYTES);
            if answer.left_bytes == 0 {
                answer.sent_at_ms = Some(now_ms);
                schedule.remove(answer.order, id);
                continue;
            }
            schedule.set_ready(answer.order, id, answer.left_bytes.min(PART_BYTES));
        }
        // A place before all others.
        longest = longest.max(link_backlog(schedule, now_ms));
    }
    longest
}

fn link_backlog(schedule: &LinkSchedule, now_ms: u64) -> Duration {
    schedule.expected_wait(TransferOrder { rank: 0, due: BootInstant::default() }, at(now_ms))
}

/// Load: 40 long answers are ready at once, 2.5 s of the link's time.
#[test]
fn short_messages_hardly_wait_while_long_answers_fill_the_link() {
    let mut schedule = LinkSchedule::new(Some(LINK_MBIT_PER_S));
    let mut answers: Vec<Answer> =
        (0..40).map(|it| new_answer(&mut schedule, order(1, 1_000 + it))).collect();
    let longest = send_until(&mut schedule, &mut answers, 0, 4_000);
    assert!(longest <= MAX_SHORT_WAIT, "{longest:?}");
    let last = answers.iter().map(|it| it.sent_at_ms).max().flatten().expect("all are sent");
    let link_ms = 40.0 * ANSWER_BYTES as f64 * 8.0 / (LINK_MBIT_PER_S * 1_000.0);
    assert!((last as f64) < link_ms * 1.2, "sent after {last} ms, {link_ms} ms of the link");
}

/// Load: twice what the link carries. In equal turns, all answers would be late together.
#[test]
fn the_answer_that_is_due_first_is_sent_first_and_the_urgent_route_before_it() {
    let mut schedule = LinkSchedule::new(Some(LINK_MBIT_PER_S));
    let mut answers = vec![
        new_answer(&mut schedule, order(1, 900)),
        new_answer(&mut schedule, order(1, 300)),
        new_answer(&mut schedule, order(0, 2_000)),
    ];
    send_until(&mut schedule, &mut answers, 0, 1_000);
    let sent: Vec<u64> = answers.iter().map(|it| it.sent_at_ms.expect("all are sent")).collect();
    assert!(sent[2] < sent[1] && sent[1] < sent[0], "{sent:?}");
}

/// Load: requests that run now, whose answers will fill the link.
#[test]
fn announced_answers_count_before_they_are_ready() {
    let mut schedule = LinkSchedule::new(Some(LINK_MBIT_PER_S));
    let later = order(1, 5_000);
    assert_eq!(schedule.expected_wait(later, at(0)), Duration::ZERO);
    let ids: Vec<TransferId> = (0..10).map(|it| schedule.announce(order(1, it))).collect();
    let wait = schedule.expected_wait(later, at(0));
    assert_eq!(wait.as_millis(), (schedule.mean_duration() * 10).as_millis());
    assert_eq!(schedule.expected_wait(order(0, 5_000), at(0)), Duration::ZERO, "it goes first");
    for (due_ms, id) in ids.into_iter().enumerate() {
        schedule.remove(order(1, due_ms as u64), id);
    }
    assert_eq!(schedule.expected_wait(later, at(0)), Duration::ZERO, "none of them ran");
}

/// Load: a sender whose peer does not read has nothing ready.
#[test]
fn a_transfer_that_is_not_ready_does_not_hold_up_those_behind_it() {
    let mut schedule = LinkSchedule::new(Some(LINK_MBIT_PER_S));
    let stuck = schedule.announce(order(0, 10));
    let mut answers = vec![new_answer(&mut schedule, order(1, 500))];
    send_until(&mut schedule, &mut answers, 0, 200);
    assert!(answers[0].sent_at_ms.is_some());
    schedule.remove(order(0, 10), stuck);
}

/// Guards deployments whose settings name no bandwidth.
#[test]
fn nothing_waits_on_a_link_of_unknown_bandwidth() {
    let mut schedule = LinkSchedule::new(None);
    let mut answers: Vec<Answer> =
        (0..40).map(|it| new_answer(&mut schedule, order(1, it))).collect();
    send_until(&mut schedule, &mut answers, 0, 1);
    assert!(answers.iter().all(|it| it.sent_at_ms == Some(0)));
}
