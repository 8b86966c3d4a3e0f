//! Carries a plan out.

use std::{
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

use anyhow::Context;
use tokio::{runtime::Handle, sync::mpsc};

use super::{Arrival, Arrivals, LoadPlan, LoadSample, LoadSummary, requester::Requester};

/// Carries a plan out and sums up what became of its requests.
///
/// Requests start when the plan says, however long earlier ones take.
pub async fn run_load(plan: &LoadPlan) -> anyhow::Result<LoadSummary> {
    let arrivals = Arrivals::new(plan)?;
    let requester = Arc::new(Requester::new(plan.clone())?);
    let (samples, mut finished) = mpsc::unbounded_channel();
    let runtime = Handle::current();
    // A thread of its own wakes more punctually than a timer of the runtime.
    let starter = thread::Builder::new()
        .name("load-starter".to_owned())
        .spawn(move || start_requests(arrivals, &requester, &runtime, &samples))
        .context("cannot start a thread")?;
    let mut summary = LoadSummary::new(plan)?;
    while let Some(sample) = finished.recv().await {
        summary.record(&sample);
    }
    // The channel closes only after the thread has let go of its end.
    let _ = starter.join();
    Ok(summary)
}

fn start_requests(
    arrivals: Arrivals,
    requester: &Arc<Requester>,
    runtime: &Handle,
    samples: &mpsc::UnboundedSender<LoadSample>,
) {
    let started = Instant::now();
    for arrival in arrivals {
        let intended = started + arrival.at;
        let wait = intended.saturating_duration_since(Instant::now());
        if wait > Duration::ZERO {
            thread::sleep(wait);
        }
        let requester = Arc::clone(requester);
        let samples = samples.clone();
        runtime.spawn(async move {
            let sample = finish(&requester, arrival, intended).await;
            // The receiver lives until every sender is gone.
            let _ = samples.send(sample);
        });
    }
}

async fn finish(requester: &Requester, arrival: Arrival, intended: Instant) -> LoadSample {
    let finish = requester.request(arrival, intended).await;
    LoadSample {
        class: arrival.class,
        at: arrival.at,
        latency: intended.elapsed(),
        outcome: finish.outcome,
        target: finish.target,
    }
}
