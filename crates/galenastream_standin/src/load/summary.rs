//! The outcomes and latencies of a run.

use std::time::Duration;

use anyhow::Context;
use galenastream_utils::FastMap;
use hdrhistogram::Histogram;

use super::{LoadOutcome, LoadPlan, LoadSample};

const LOWEST_LATENCY_US: u64 = 1;
const HIGHEST_LATENCY_US: u64 = 120_000_000;
const SIGNIFICANT_DIGITS: u8 = 3;

/// The outcomes and latencies of a run, by class and by second.
#[derive(Debug, Clone)]
pub struct LoadSummary {
    /// One entry per class, in the order of the plan, without the warm-up.
    pub classes: Vec<ClassSummary>,
    /// One entry per second of the run, with the warm-up.
    pub seconds: Vec<SecondSummary>,
    /// How many requests each target ran, by its id, without the warm-up.
    pub targets: FastMap<String, u64>,
    warm_up: Duration,
    measured: Duration,
}

/// The outcomes and latencies of one class.
#[derive(Debug, Clone)]
pub struct ClassSummary {
    /// The name of the class.
    pub name: String,
    counts: OutcomeCounts,
    ran_us: Histogram<u64>,
    refused_us: Histogram<u64>,
}

/// The outcomes and latencies of the requests with an intended start in one second.
#[derive(Debug, Clone)]
pub struct SecondSummary {
    counts: OutcomeCounts,
    ran_us: Histogram<u64>,
}

/// The number of requests with each outcome.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct OutcomeCounts {
    counts: [u64; LoadOutcome::ALL.len()],
}

impl LoadSummary {
    /// Creates the summary of a run without requests.
    pub fn new(plan: &LoadPlan) -> anyhow::Result<Self> {
        let mut classes = Vec::with_capacity(plan.classes.len());
        for class in &plan.classes {
            classes.push(ClassSummary {
                name: class.name.clone(),
                counts: OutcomeCounts::default(),
                ran_us: new_histogram()?,
                refused_us: new_histogram()?,
            });
        }
        let second = SecondSummary { counts: OutcomeCounts::default(), ran_us: new_histogram()? };
        let seconds = vec![second; plan.duration.as_secs_f64().ceil() as usize];
        let measured = plan.duration.saturating_sub(plan.warm_up);
        let targets = FastMap::default();
        Ok(Self { classes, seconds, targets, warm_up: plan.warm_up, measured })
    }

    /// Records a finished request.
    pub fn record(&mut self, sample: &LoadSample) {
        if let Some(second) = self.seconds.get_mut(sample.at.as_secs() as usize) {
            second.record(sample);
        }
        if sample.at < self.warm_up {
            return;
        }
        if let Some(class) = self.classes.get_mut(sample.class) {
            class.record(sample);
        }
        if sample.outcome == LoadOutcome::Ran {
            *self.targets.entry(sample.target.clone()).or_insert(0) += 1;
        }
    }

    /// Returns how many requests of all classes had an outcome, without the warm-up.
    pub fn count(&self, outcome: LoadOutcome) -> u64 {
        self.classes.iter().map(|it| it.count(outcome)).sum()
    }

    /// Returns how many requests of all classes per second had an outcome, without the warm-up.
    pub fn rate_per_s(&self, outcome: LoadOutcome) -> f64 {
        self.count(outcome) as f64 / self.measured.as_secs_f64()
    }

    /// Returns how many requests there were, without the warm-up.
    pub fn total(&self) -> u64 {
        self.classes.iter().map(ClassSummary::total).sum()
    }

    /// Returns a percentile of the latencies of all requests that ran, in milliseconds; NaN if none
    /// ran.
    pub fn ran_latency_ms(&self, percentile: f64) -> f64 {
        percentile_ms(&self.merged(|it| &it.ran_us), percentile)
    }

    /// Returns a percentile of the latencies of refusals, in milliseconds; NaN if there were none.
    pub fn refused_latency_ms(&self, percentile: f64) -> f64 {
        percentile_ms(&self.merged(|it| &it.refused_us), percentile)
    }

    /// Returns the most requests that one target ran, divided by the mean of all targets that ran
    /// any; NaN if none ran.
    pub fn imbalance(&self) -> f64 {
        let total: u64 = self.targets.values().sum();
        let max = self.targets.values().max().copied().unwrap_or(0);
        max as f64 * self.targets.len() as f64 / total as f64
    }

    /// Returns the duration of the run without the warm-up.
    pub fn measured(&self) -> Duration {
        self.measured
    }

    fn merged(&self, select: impl Fn(&ClassSummary) -> &Histogram<u64>) -> Histogram<u64> {
        let mut merged: Option<Histogram<u64>> = None;
        for class in &self.classes {
            match &mut merged {
                Some(sum) => *sum += select(class),
                None => merged = Some(select(class).clone()),
            }
        }
        merged.unwrap_or_else(|| self.seconds[0].ran_us.clone())
    }
}

impl ClassSummary {
    /// Returns how many requests of the class had an outcome.
    pub fn count(&self, outcome: LoadOutcome) -> u64 {
        self.counts.get(outcome)
    }

    /// Returns how many requests the class had.
    pub fn total(&self) -> u64 {
        self.counts.total()
    }

    /// Returns a percentile of the latencies of the requests that ran, in milliseconds; NaN if none
    /// ran.
    pub fn ran_latency_ms(&self, percentile: f64) -> f64 {
        percentile_ms(&self.ran_us, percentile)
    }

    /// Returns a percentile of the latencies of refusals of the class, in milliseconds; NaN if
    /// there were none.
    pub fn refused_latency_ms(&self, percentile: f64) -> f64 {
        percentile_ms(&self.refused_us, percentile)
    }

    fn record(&mut self, sample: &LoadSample) {
        self.counts.add(sample.outcome);
        match sample.outcome {
            LoadOutcome::Ran => record_latency(&mut self.ran_us, sample.latency),
            LoadOutcome::NotRun => record_latency(&mut self.refused_us, sample.latency),
            LoadOutcome::Failed
            | LoadOutcome::Unknown
            | LoadOutcome::NoAnswer
            | LoadOutcome::Wrong
            | LoadOutcome::Denied => {}
        }
    }
}

impl SecondSummary {
    /// Returns how many requests of the second had an outcome.
    pub fn count(&self, outcome: LoadOutcome) -> u64 {
        self.counts.get(outcome)
    }

    /// Returns a percentile of the latencies of the requests that ran, in milliseconds; NaN if none
    /// ran.
    pub fn ran_latency_ms(&self, percentile: f64) -> f64 {
        percentile_ms(&self.ran_us, percentile)
    }

    fn record(&mut self, sample: &LoadSample) {
        self.counts.add(sample.outcome);
        if sample.outcome == LoadOutcome::Ran {
            record_latency(&mut self.ran_us, sample.latency);
        }
    }
}

impl OutcomeCounts {
    fn add(&mut self, outcome: LoadOutcome) {
        self.counts[outcome as usize] += 1;
    }

    fn get(&self, outcome: LoadOutcome) -> u64 {
        self.counts[outcome as usize]
    }

    fn total(&self) -> u64 {
        self.counts.iter().sum()
    }
}

fn new_histogram() -> anyhow::Result<Histogram<u64>> {
    Histogram::new_with_bounds(LOWEST_LATENCY_US, HIGHEST_LATENCY_US, SIGNIFICANT_DIGITS)
        .context("the bounds of the latency histogram are invalid")
}

fn record_latency(histogram: &mut Histogram<u64>, latency: Duration) {
    histogram.saturating_record(u64::try_from(latency.as_micros()).unwrap_or(u64::MAX));
}

fn percentile_ms(histogram: &Histogram<u64>, percentile: f64) -> f64 {
    if histogram.is_empty() {
        return f64::NAN;
    }
    histogram.value_at_percentile(percentile) as f64 / 1_000.0
}
