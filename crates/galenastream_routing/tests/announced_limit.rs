//! Tests of the order in which announcements of a request limit take effect.

use std::time::Duration;

use galenastream_routing::{AnnouncedLimit, RequestRate};
use galenastream_utils::BootInstant;

const HIGH: Option<RequestRate> = Some(RequestRate::new(72_800));
const LOW: Option<RequestRate> = Some(RequestRate::new(22_000));

fn at(ms: u64) -> BootInstant {
    BootInstant::new(0) + Duration::from_millis(ms)
}

#[test]
fn a_late_response_neither_raises_nor_ends_a_limit() {
    let mut limit = AnnouncedLimit::default();
    assert!(limit.record_response(LOW, at(0), at(60)));
    for older in [HIGH, None] {
        assert!(!limit.record_response(older, at(30), at(90)), "{older:?}");
        assert_eq!(limit.current(), LOW);
    }
    assert!(limit.record_response(HIGH, at(60), at(120)));
    assert!(limit.record_response(None, at(120), at(180)));
    assert_eq!(limit.current(), None);
}

#[test]
fn a_lower_limit_takes_effect_at_once() {
    let mut limit = AnnouncedLimit::default();
    limit.record_response(HIGH, at(50), at(100));
    assert!(limit.record_response(LOW, at(40), at(110)));
    assert_eq!(limit.current(), LOW);
}

#[test]
fn a_limit_that_another_node_reports_holds_until_a_response_says_otherwise() {
    let mut limit = AnnouncedLimit::default();
    assert!(limit.record_report(RequestRate::new(72_800), at(10)));
    assert!(limit.record_report(RequestRate::new(22_000), at(20)));
    assert!(!limit.record_report(RequestRate::new(72_800), at(25)));
    assert_eq!(limit.current(), LOW);
    assert!(limit.record_response(None, at(30), at(90)));
    assert!(!limit.record_report(RequestRate::new(22_000), at(100)), "the response is newer");
    assert_eq!(limit.current(), None);
}

#[test]
fn the_last_exchange_is_the_later_one_of_the_last_request_and_the_last_response() {
    let mut limit = AnnouncedLimit::default();
    limit.record_response(LOW, at(0), at(60));
    assert_eq!(limit.last_exchange_at(), at(60));
    limit.record_request(at(80));
    assert_eq!(limit.last_exchange_at(), at(80));
    limit.record_response(LOW, at(80), at(150));
    assert_eq!(limit.last_exchange_at(), at(150));
}
