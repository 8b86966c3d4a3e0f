//! Runs a load plan.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;
use tokio::{runtime::Handle, sync::mpsc};

use super::{Arrival, Arrivals, LoadPlan, LoadSample, LoadSummary, load_caller::LoadCaller};

/// The result of a load run.
#[derive(Debug)]
pub struct LoadRun {
    /// The outcomes and latencies of the requests.
    pub summary: LoadSummary,
    /// All finished requests, in the order of their ends.
    pub samples: Vec<LoadSample>,
}

/// Runs a load plan and records the outcomes of its requests.
///
/// Requests start at their intended times, however long earlier ones take. Fails if the plan is
/// invalid.
pub async fn run_load(plan: &LoadPlan) -> anyhow::Result<LoadRun> {
    let arrivals = Arrivals::new(plan)?;
    let caller = Arc::new(LoadCaller::new(plan.clone())?);
    let (samples, mut finished_samples) = mpsc::unbounded_channel();
    let runtime = Handle::current();
    // A dedicated thread wakes up closer to the intended starts than a timer of the runtime.
    let starter = thread::Builder::new()
        .name("load-starter".to_owned())
        .spawn(move || start_requests(arrivals, &caller, &runtime, &samples))
        .context("cannot start a thread")?;
    let mut run = LoadRun { summary: LoadSummary::new(plan)?, samples: Vec::new() };
    while let Some(sample) = finished_samples.recv().await {
        run.summary.record(&sample);
        run.samples.push(sample);
    }
    // The channel closes only after the thread has dropped its sender.
    let _ = starter.join();
    Ok(run)
}

fn start_requests(
    arrivals: Arrivals,
    caller: &Arc<LoadCaller>,
    runtime: &Handle,
    samples: &mpsc::UnboundedSender<LoadSample>,
) {
    let started = Instant::now();
    for arrival in arrivals {
        let intended_start = started + arrival.at;
        let wait = intended_start.saturating_duration_since(Instant::now());
        if wait > Duration::ZERO {
            thread::sleep(wait);
        }
        let caller = Arc::clone(caller);
        let samples = samples.clone();
        runtime.spawn(async move {
            let sample = run_request(&caller, arrival, intended_start).await;
            // The receiver is dropped only after all senders.
            let _ = samples.send(sample);
        });
    }
}

async fn run_request(caller: &LoadCaller, arrival: Arrival, intended_start: Instant) -> LoadSample {
    let result = caller.request(arrival, intended_start).await;
    LoadSample {
        request_id: result.request_id,
        class: arrival.class,
        path: result.path,
        at: arrival.at,
        latency: intended_start.elapsed(),
        outcome: result.outcome,
        target: result.target,
        entry: result.entry,
        status: result.status,
        is_signed: result.is_signed,
        is_quarantined: result.is_quarantined,
    }
}
