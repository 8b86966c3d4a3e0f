//! Tests of the limits on leases against clocks of different rates.

use std::time::Duration;

use galenastream_ranges::LeaseTerms;
use galenastream_utils::BootInstant;

const TERMS: LeaseTerms =
    LeaseTerms::new(Duration::from_millis(12_000), Duration::from_millis(6_000));

/// The rates of the clocks of a target, of its node and of a planner, as a share of the true rate.
const TARGET_RATE: f64 = 1.0 / 1.02;
const NODE_RATES: [f64; 3] = [0.991, 1.0, 1.009];
const PLANNER_RATES: [f64; 3] = [0.991, 1.0, 1.009];

fn at_ms(ms: u64) -> BootInstant {
    BootInstant::new(ms * 1_000_000)
}

/// The planner reads that the keys are leaving just when the node has confirmed the row before. The
/// node is then cut off, and goes on to grant leases on that row.
#[test]
fn leases_end_before_a_planner_with_a_faster_clock_takes_the_keys_for_vacant() {
    let confirmed_ms = 50_000;
    let seen = at_ms(70_000);
    let vacant_ms = TERMS.all_leases_end(seen).saturating_since(seen).as_millis() as f64;
    for node_rate in NODE_RATES {
        for planner_rate in PLANNER_RATES {
            for age_ms in 0..=12_000 {
                let now = at_ms(confirmed_ms + age_ms);
                let Some(lease) = TERMS.lease(at_ms(confirmed_ms), now) else {
                    continue;
                };
                let lease_ms = lease.as_millis() as f64;
                let ends_ms = age_ms as f64 / node_rate + lease_ms / TARGET_RATE;
                assert!(
                    ends_ms <= vacant_ms / planner_rate,
                    "a lease of {lease_ms} ms, granted {age_ms} ms after the confirmation, ends \
                     after {ends_ms:.0} ms, and the keys are vacant after {:.0} ms",
                    vacant_ms / planner_rate,
                );
            }
        }
    }
}
