//! A retry budget that several processes share without communication: each process counts its own
//! requests only, and the retries of all together stay within the limits.

use std::time::Duration;

use galenastream::{prelude::*, routing::RetryBudgetLimits};

const PROCESSES: usize = 4;

fn main() {
    let limits = RetryBudgetLimits { ratio: 0.1, allowance: 20.0, window: Duration::from_secs(10) };
    let mut budget = WindowedRetryBudget::new(limits);
    let mut granted = 0;
    for number in 0..100_u64 {
        let now = BootInstant::new(0) + Duration::from_millis(number * 50);
        budget.add_request(now);
        // Every request fails and needs a retry.
        granted += u32::from(budget.take(now, PROCESSES));
    }
    println!("100 failing requests in 5 s were retried {granted} times");
    println!("(a tenth of the requests, plus a quarter of the allowance of 20)");
}
