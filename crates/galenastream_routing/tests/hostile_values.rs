//! Fuzz tests of decisions on values that targets, peers and configs report, up to the limits of
//! their types.

use std::time::Duration;

use galenastream_routing::{
    Admission, AdmissionLimits, AdmitDecision, AnnouncedLimit, Class, Deadline, NodeKey,
    ObservedLoad, RequestRate, TargetCandidate, TargetSelector, TransitDelay, WeightedSplit,
};
use galenastream_standin::fuzz_config;
use galenastream_utils::BootInstant;
use proptest::{collection::vec, option, prelude::*};

const LIMITS: AdmissionLimits = AdmissionLimits {
    slots: u32::MAX,
    queue_limit: u32::MAX,
    queue_wait_ms: 1_000,
    retry_after_ms: 100,
    ramp_up_ms: 0,
};

fn number() -> impl Strategy<Value = u64> {
    prop_oneof![Just(0), Just(1), Just(u64::MAX), Just(u64::MAX - 1), 0_u64..1 << 40, any::<u64>()]
}

fn small_number() -> impl Strategy<Value = u32> {
    prop_oneof![Just(0), Just(1), Just(u32::MAX), 0_u32..2_000, any::<u32>()]
}

fn limit() -> impl Strategy<Value = Option<RequestRate>> {
    option::of(number().prop_map(RequestRate::new))
}

#[derive(Debug, Clone)]
enum Step {
    Arrive {
        class: u16,
        rank: u8,
        prompt_ms: u32,
        remaining_ms: u32,
    },
    /// The service time is measured on the clock of this node, so that it is no longer than a
    /// deadline.
    Finish {
        service_time_ms: u32,
    },
    SetLimit(Option<RequestRate>),
    SetSlots(u32),
    Assume {
        class: u16,
        service_time_ms: u32,
    },
    Advance {
        ms: u64,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        3 => (any::<u16>(), any::<u8>(), small_number(), small_number()).prop_map(
            |(class, rank, prompt_ms, remaining_ms)| {
                Step::Arrive { class, rank, prompt_ms, remaining_ms }
            }
        ),
        2 => small_number().prop_map(|service_time_ms| Step::Finish { service_time_ms }),
        1 => limit().prop_map(Step::SetLimit),
        1 => small_number().prop_map(|it| Step::SetSlots(it.max(1))),
        1 => (any::<u16>(), small_number())
            .prop_map(|(class, service_time_ms)| Step::Assume { class, service_time_ms }),
        2 => (0_u64..100_000).prop_map(|ms| Step::Advance { ms }),
    ]
}

proptest! {
    #![proptest_config(fuzz_config(500))]

    #[test]
    fn admission_decides_on_any_deadlines_limits_and_service_times(steps in vec(step(), 1..60)) {
        let mut now = BootInstant::new(1_000_000_000);
        let mut admission = Admission::new(LIMITS, now);
        let mut running = 0_u32;
        for step in steps {
            match step {
                Step::Arrive { class, rank, prompt_ms, remaining_ms } => {
                    let (soft, hard) = (Deadline::new(now, prompt_ms), Deadline::new(now, remaining_ms));
                    let class = Class::new(class, rank);
                    let admitted = admission.arrive_with_soft_deadline(now, class, soft, hard);
                    running += u32::from(admitted.decision == AdmitDecision::Start);
                }
                Step::Finish { service_time_ms } if running > 0 => {
                    let service_time = Some(Duration::from_millis(u64::from(service_time_ms)));
                    let dequeued = admission.finish(now, service_time);
                    running = running - 1 + u32::try_from(dequeued.started.len()).expect("few");
                }
                Step::Finish { .. } => {}
                Step::SetLimit(limit) => {
                    let dequeued = admission.set_request_limit(now, limit);
                    running += u32::try_from(dequeued.started.len()).expect("few");
                }
                Step::SetSlots(slots) => admission.set_limits(AdmissionLimits { slots, ..LIMITS }),
                Step::Assume { class, service_time_ms } => {
                    let assumed = Duration::from_millis(u64::from(service_time_ms));
                    admission.assume_service_time(Class::new(class, 0), assumed);
                }
                Step::Advance { ms } => {
                    now = now + Duration::from_millis(ms);
                    let dequeued = admission.dequeue(now);
                    running += u32::try_from(dequeued.started.len()).expect("few");
                }
            }
            prop_assert_eq!(admission.in_progress(), running);
            if let Some(start_at) = admission.next_start_at(now) {
                prop_assert!(start_at >= now);
            }
            let _ = admission.retry_after_ms(now);
        }
    }

    #[test]
    fn a_deadline_leaves_at_most_the_time_that_was_asked_for(
        now_ns in number(),
        wait_ms in small_number(),
        later_ms in number(),
    ) {
        let now = BootInstant::new(now_ns);
        let later = now + Duration::from_millis(later_ms);
        for deadline in [Deadline::new(now, wait_ms), Deadline::of_answer(now, wait_ms)] {
            prop_assert!(deadline.remaining_ms(now) <= wait_ms);
            prop_assert!(deadline.remaining_ms(later) <= deadline.remaining_ms(now));
            prop_assert_eq!(deadline.has_passed(later), deadline.remaining(later).is_zero());
        }
    }

    #[test]
    fn the_delay_of_a_message_is_known_for_any_clock_of_the_sender(
        messages in vec((number(), 0_u64..20_000_000_000), 1..12),
    ) {
        let mut transit_delay = TransitDelay::new();
        let mut now = BootInstant::new(1_000_000_000);
        for (position, (sent_at_ns, step_ns)) in messages.into_iter().enumerate() {
            now = now + Duration::from_nanos(step_ns);
            let delay = transit_delay.record(sent_at_ns, now);
            prop_assert!(position > 0 || delay.is_zero(), "the first one took {:?}", delay);
        }
    }

    #[test]
    fn a_lower_announced_limit_is_in_force_at_once(
        announced in vec((limit(), number(), number()), 1..12),
    ) {
        let mut announced_limit = AnnouncedLimit::default();
        for (limit, sent_at_ns, now_ns) in announced {
            let before = announced_limit.current();
            let (sent_at, now) = (BootInstant::new(sent_at_ns), BootInstant::new(now_ns));
            let is_changed = announced_limit.record_response(limit, sent_at, now);
            let current = announced_limit.current();
            prop_assert_eq!(is_changed, current != before);
            let lowest = limit.into_iter().chain(before).min();
            prop_assert!(current == limit || current == before);
            prop_assert!(limit.is_none() || limit != lowest || current == limit);
        }
    }

    #[test]
    fn a_split_keeps_to_any_weights_with_a_finite_sum(
        weights in vec(prop_oneof![Just(0.0), Just(5e-324), Just(1e300), 0.0..100.0], 1..6),
    ) {
        const REQUESTS: u32 = 1_000;
        let total: f64 = weights.iter().sum();
        let mut split = WeightedSplit::new();
        let mut counts = vec![0_u32; weights.len()];
        for _ in 0..REQUESTS {
            match split.next(&weights) {
                Some(chosen) => counts[chosen] += 1,
                None => prop_assert!(total <= 0.0),
            }
        }
        for (count, weight) in counts.iter().zip(&weights) {
            let expected = if total > 0.0 { weight / total * f64::from(REQUESTS) } else { 0.0 };
            let difference = (f64::from(*count) - expected).abs();
            prop_assert!(difference <= weights.len() as f64, "{:?} of {:?}", counts, weights);
            prop_assert!(*weight > 0.0 || *count == 0);
        }
    }

    #[test]
    fn a_target_is_chosen_among_any_candidates_and_observations(
        candidates in vec((small_number(), any::<bool>(), limit()), 1..9),
        loads in vec((0_u32..9, small_number(), small_number(), any::<bool>()), 0..9),
    ) {
        let now = BootInstant::new(1_000_000_000);
        let mut selector = TargetSelector::new(7);
        for (node, pending, service_time_us, is_failed) in loads {
            selector.observe(NodeKey(node), ObservedLoad { pending, service_time_us }, now);
            selector.record_result(NodeKey(node), is_failed, now);
        }
        let mut all = Vec::new();
        for (node, (slots, is_same_data_centre, limit)) in (0_u32..).zip(candidates) {
            all.push(TargetCandidate { node: NodeKey(node), slots, is_same_data_centre, limit });
        }
        let chosen = selector.choose(&all, 4.0, now);
        prop_assert!(all.iter().any(|it| Some(it.node) == chosen));
    }
}

/// Guards against a short time, or a panic, where callers have to wait for longer than a time in
/// milliseconds can say.
#[test]
fn the_longest_retry_time_does_not_overflow() {
    let now = BootInstant::new(1_000_000_000);
    let mut admission = Admission::new(AdmissionLimits { slots: 1, ..LIMITS }, now);
    let class = Class::new(0, 0);
    admission.assume_service_time(class, Duration::from_millis(u64::from(u32::MAX)));
    let deadline = Deadline::new(now, 1_000);
    assert_eq!(admission.arrive(now, class, deadline).decision, AdmitDecision::Start);
    for _ in 0..8 {
        let decision = admission.arrive(now, class, deadline).decision;
        assert_eq!(decision, AdmitDecision::Shed { retry_after_ms: u32::MAX });
    }
}
