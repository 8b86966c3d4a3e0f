//! A retry budget that many processes share without talking to each other: each counts its own
//! requests, and the shares of all together stay within the terms.

use std::time::Duration;

use galenastream::{prelude::*, routing::RetryBudgetLimits};

const PROCESSES: usize = 4;

fn main() {
    let terms = RetryBudgetLimits { ratio: 0.1, allowance: 20.0, window: Duration::from_secs(10) };
    let mut budget = WindowedRetryBudget::new(terms);
    let mut granted = 0;
    for number in 0..100_u64 {
        let now = BootInstant::new(0) + Duration::from_millis(number * 50);
        budget.add_request(now);
        // Every request fails and asks for a retry.
        granted += u32::from(budget.take(now, PROCESSES));
    }
    println!("100 failing requests in 5 s were repeated {granted} times");
    println!("(a tenth of the requests, and a quarter of the allowance of 20)");
}
