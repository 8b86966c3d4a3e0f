//! Admission control in front of a server of your own: requests beyond its slots wait in the order
//! of their deadlines, and requests that could not be answered in time are refused immediately.

use std::time::Duration;

use galenastream::{prelude::*, routing::AdmitDecision};

const SLOTS: u32 = 2;
const SERVICE_TIME_MS: u64 = 100;

fn main() {
    let limits = AdmissionLimits {
        slots: SLOTS,
        queue_limit: 8,
        queue_wait_ms: 1_000,
        retry_after_ms: 50,
        ramp_up_ms: 0,
    };
    let start = BootInstant::new(0);
    let mut admission = Admission::new(limits, start);
    let class = Class::new(0, 1);
    admission.assume_service_time(class, Duration::from_millis(SERVICE_TIME_MS));
    // Six requests at once, each with a deadline of 250 ms: two run, some wait, the others are
    // refused with a retry time.
    for number in 1..=6 {
        let deadline = Deadline::new(start, 250);
        match admission.arrive(start, class, deadline).decision {
            AdmitDecision::Start => println!("request {number} starts"),
            AdmitDecision::Wait { .. } => println!("request {number} waits"),
            AdmitDecision::Shed { retry_after_ms } => {
                println!("request {number} is refused; retry in {retry_after_ms} ms");
            }
        }
    }
    let later = start + Duration::from_millis(SERVICE_TIME_MS);
    let dequeued = admission.finish_answered(later, class, Duration::from_millis(SERVICE_TIME_MS));
    println!("waiting requests that start when the first one ends: {}", dequeued.started.len());
}
