//! The plan of a load run.

use std::{net::SocketAddr, time::Duration};

use anyhow::ensure;

/// The number of keys of a service whose targets hold keys.
const KEY_COUNT: u64 = 65_536;

/// The load to generate.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPlan {
    /// The addresses of the nodes where requests enter, used in turn.
    pub entries: Vec<SocketAddr>,
    /// The average rate outside of bursts, in requests per second.
    pub rate_per_s: f64,
    /// Periods with a different rate.
    pub bursts: Vec<Burst>,
    /// The period in which requests are started.
    pub duration: Duration,
    /// How long from the start of the run requests are left out of the totals.
    pub warm_up: Duration,
    /// The number of keys.
    pub keys: u64,
    /// The exponent of the Zipf distribution of keys; zero makes all keys equally likely.
    pub zipf_exponent: f64,
    /// The number of hottest keys that each shift replaces.
    pub hot_keys: u64,
    /// The time between two shifts of the hottest keys; zero for no shifts.
    pub shift_interval: Duration,
    /// The classes of requests.
    pub classes: Vec<LoadClass>,
    /// The seed of arrivals, keys and classes.
    pub seed: u64,
}

/// A period in which the rate is a multiple of the usual one.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Burst {
    /// The start of the period, from the start of the run.
    pub from: Duration,
    /// The end of the period, from the start of the run.
    pub until: Duration,
    /// The factor by which the usual rate is multiplied.
    pub factor: f64,
}

/// A class of requests that share their path, method and deadline.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadClass {
    /// The name in reports.
    pub name: String,
    /// The path of the requests.
    pub path: String,
    /// Whether the requests read or write.
    pub kind: LoadKind,
    /// Whether the requests carry a key.
    pub has_key: bool,
    /// The share of all requests. The shares of all classes add up to 100.
    pub share_percent: f64,
    /// The time that a request may take, from its intended start.
    pub deadline_ms: u64,
    /// The size of the bodies of the requests.
    pub body_bytes: usize,
    /// When the requests of the class begin, from the start of the run. Requests of the first class
    /// take their place before.
    pub from: Duration,
}

/// Whether the requests of a class read or write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadKind {
    /// The requests read state (GET).
    Read,
    /// The requests change state (POST).
    Write,
}

impl LoadPlan {
    /// Creates a plan with ten seconds of reads from `carts`, of which the first second is warm-up.
    pub fn new(entries: Vec<SocketAddr>, rate_per_s: f64) -> Self {
        let read = LoadClass::new("read", "/carts/1", LoadKind::Read, 100.0).with_key();
        Self {
            entries,
            rate_per_s,
            bursts: Vec::new(),
            duration: Duration::from_secs(10),
            warm_up: Duration::from_secs(1),
            keys: KEY_COUNT,
            zipf_exponent: 1.0,
            hot_keys: 400,
            shift_interval: Duration::ZERO,
            classes: vec![read],
            seed: 1,
        }
    }

    /// Sets the classes.
    pub fn with_classes(self, classes: Vec<LoadClass>) -> Self {
        Self { classes, ..self }
    }

    /// Sets the period in which requests are started, and how much of it is warm-up.
    pub fn with_duration(self, duration: Duration, warm_up: Duration) -> Self {
        Self { duration, warm_up, ..self }
    }

    /// Returns the average rate at a time from the start of the run, in requests per second.
    pub fn rate_per_s_at(&self, at: Duration) -> f64 {
        let burst = self.bursts.iter().find(|it| it.from <= at && at < it.until);
        self.rate_per_s * burst.map_or(1.0, |it| it.factor)
    }

    /// Checks that the plan is valid.
    pub fn check(&self) -> anyhow::Result<()> {
        ensure!(!self.entries.is_empty(), "the plan has no nodes; name at least one");
        ensure!(self.rate_per_s > 0.0, "the rate must be above zero");
        ensure!(
            self.bursts.iter().all(|it| it.factor > 0.0),
            "the factor of a burst must be above zero"
        );
        ensure!(
            (1..=KEY_COUNT).contains(&self.keys),
            "the number of keys must be from 1 to {KEY_COUNT}"
        );
        ensure!(self.zipf_exponent >= 0.0, "the Zipf exponent must not be negative");
        ensure!(self.warm_up < self.duration, "the warm-up must be shorter than the run");
        let total: f64 = self.classes.iter().map(|it| it.share_percent).sum();
        ensure!(
            (total - 100.0).abs() < 0.01,
            "the shares of the classes add up to {total}% instead of 100%"
        );
        Ok(())
    }
}

impl LoadClass {
    /// Creates a class without keys and with a deadline of one second.
    pub fn new(name: &str, path: &str, kind: LoadKind, share_percent: f64) -> Self {
        Self {
            name: name.to_owned(),
            path: path.to_owned(),
            kind,
            has_key: false,
            share_percent,
            deadline_ms: 1_000,
            body_bytes: 0,
            from: Duration::ZERO,
        }
    }

    /// Makes the requests carry a key.
    pub fn with_key(self) -> Self {
        Self { has_key: true, ..self }
    }

    /// Sets the size of the bodies.
    pub fn with_body_bytes(self, body_bytes: usize) -> Self {
        Self { body_bytes, ..self }
    }

    /// Sets when the requests of the class begin.
    pub fn with_start(self, from: Duration) -> Self {
        Self { from, ..self }
    }

    /// Sets the deadline.
    pub fn with_deadline_ms(self, deadline_ms: u64) -> Self {
        Self { deadline_ms, ..self }
    }
}
