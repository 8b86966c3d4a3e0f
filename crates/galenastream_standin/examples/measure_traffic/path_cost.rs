//! What the way through entry node and owner's node costs against calling the target directly.

use galenastream_standin::{LoadEntry, LoadOutcome, LoadPlan, LoadSummary, run_load};

use crate::{
    processor::ProcessorTime,
    setting::{KEYED, even_plan, head, line, start},
};

const VMS: usize = 3;

/// Enough slots that none is waited for.
const SLOTS: u32 = 500;

const RATES_PER_S: [f64; 3] = [500.0, 2_000.0, 4_000.0];
const ROUNDS: usize = 3;

/// The search for the highest rate starts here and grows by this factor.
const FIRST_RATE_PER_S: f64 = 2_000.0;
const RATE_FACTOR: f64 = 1.3;

/// How often a rate is tried, since other work on the machine may disturb an attempt.
const ATTEMPTS: u32 = 3;

/// A rate is sustained if this share of it runs, 99 of 100 within the limit.
const SUSTAINED_SHARE: f64 = 0.99;
const SUSTAINED_P99_MS: f64 = 12.0;

/// Measures both ways in turns, at several rates, and then the highest rate of each.
pub async fn measure(seconds: u64) -> anyhow::Result<()> {
    let deployment = start("path", KEYED, VMS, SLOTS, 0.0).await?;
    let ways = [
        ("direct", LoadEntry::Targets(deployment.targets())),
        ("entry + owner", LoadEntry::Nodes(deployment.entries())),
    ];
    println!("{}", head());
    for rate_per_s in RATES_PER_S {
        for round in 1..=ROUNDS {
            for (name, entry) in &ways {
                let plan = even_plan(entry.clone(), KEYED, seconds).with_rate_per_s(rate_per_s);
                let before = ProcessorTime::read(&deployment)?;
                let summary = run_load(&plan).await?;
                let all = (plan.rate_per_s * plan.duration.as_secs_f64()) as u64;
                let used = ProcessorTime::read(&deployment)?.per_request_since(before, all);
                println!(
                    "{}  processor us a request: nodes {}, targets {}",
                    line(&format!("{name}, round {round}"), &summary),
                    used.nodes_us,
                    used.targets_us
                );
            }
        }
    }
    for (name, entry) in &ways {
        let plan = even_plan(entry.clone(), KEYED, seconds);
        let sustained_per_s = highest_rate(name, plan).await?;
        println!("{name}: {sustained_per_s:.0} requests a second sustained");
    }
    deployment.close()
}

async fn highest_rate(name: &str, plan: LoadPlan) -> anyhow::Result<f64> {
    let mut sustained_per_s = 0.0;
    let mut rate_per_s = FIRST_RATE_PER_S;
    while let Some(ran_per_s) = try_rate(name, plan.clone().with_rate_per_s(rate_per_s)).await? {
        sustained_per_s = ran_per_s;
        rate_per_s *= RATE_FACTOR;
    }
    Ok(sustained_per_s)
}

/// The requests a second that ran, if the rate was sustained in one of the attempts.
async fn try_rate(name: &str, plan: LoadPlan) -> anyhow::Result<Option<f64>> {
    for attempt in 1..=ATTEMPTS {
        let summary = run_load(&plan).await?;
        println!("{}", line(&format!("{name}, search {attempt}"), &summary));
        if is_sustained(&summary) {
            return Ok(Some(summary.rate_per_s(LoadOutcome::Ran)));
        }
    }
    Ok(None)
}

fn is_sustained(summary: &LoadSummary) -> bool {
    let ran = summary.count(LoadOutcome::Ran) as f64;
    ran >= SUSTAINED_SHARE * summary.total() as f64 && summary.ran_ms(99.0) <= SUSTAINED_P99_MS
}
