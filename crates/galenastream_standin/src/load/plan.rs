//! What load to make.

use std::{net::SocketAddr, str::FromStr, time::Duration};

use anyhow::{Context, bail, ensure};

/// What load to make.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadPlan {
    /// Where requests enter.
    pub entry: LoadEntry,
    /// The service.
    pub service: String,
    /// Requests a second, on average.
    pub rate_per_s: f64,
    /// How long requests are started.
    pub duration: Duration,
    /// How long after the start samples are left out of the summary.
    pub warm_up: Duration,
    /// How many keys there are.
    pub keys: u64,
    /// The exponent of the Zipf distribution of keys.
    pub zipf_exponent: f64,
    /// How many of the hottest keys change at each shift.
    pub hot_keys: u64,
    /// Time between two shifts; zero for none.
    pub shift_interval: Duration,
    /// The classes of requests.
    pub classes: Vec<LoadClass>,
    /// Seeds arrivals, keys and classes.
    pub seed: u64,
}

/// Where requests enter.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum LoadEntry {
    /// Nodes, taken in turn.
    Nodes(Vec<SocketAddr>),
    /// Targets without a node in front, chosen by key. The baseline.
    Targets(Vec<SocketAddr>),
}

/// A class of requests.
#[derive(Debug, Clone, PartialEq)]
pub struct LoadClass {
    /// The name.
    pub name: String,
    /// What its requests do.
    pub kind: LoadKind,
    /// Its share of the requests.
    pub share_percent: f64,
    /// The deadline, from the intended start.
    pub deadline_ms: u64,
    /// The least length of an answer.
    pub answer_bytes: usize,
}

/// What the requests of a class do.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LoadKind {
    /// Read a key's state (GET).
    Read,
    /// Change a key's state (POST), with a ticket that is obtained first.
    Reserve,
    /// Change a key's state (POST), without a ticket.
    Write,
}

impl LoadPlan {
    /// Creates a plan of reads alone, ten seconds long.
    pub fn new(entry: LoadEntry, service: &str, rate_per_s: f64) -> Self {
        Self {
            entry,
            service: service.to_owned(),
            rate_per_s,
            duration: Duration::from_secs(10),
            warm_up: Duration::from_secs(1),
            keys: 100_000,
            zipf_exponent: 1.0,
            hot_keys: 400,
            shift_interval: Duration::ZERO,
            classes: vec![LoadClass::new("read", LoadKind::Read, 100.0)],
            seed: 1,
        }
    }

    /// Sets the classes.
    pub fn with_classes(self, classes: Vec<LoadClass>) -> Self {
        Self { classes, ..self }
    }

    /// Sets how long requests are started, and how long of that is warm-up.
    pub fn with_duration(self, duration: Duration, warm_up: Duration) -> Self {
        Self { duration, warm_up, ..self }
    }

    /// Sets where requests enter.
    pub fn with_entry(self, entry: LoadEntry) -> Self {
        Self { entry, ..self }
    }

    /// Sets the requests a second.
    pub fn with_rate_per_s(self, rate_per_s: f64) -> Self {
        Self { rate_per_s, ..self }
    }

    /// Checks that the plan can be carried out.
    pub fn check(&self) -> anyhow::Result<()> {
        ensure!(!self.entry.addresses().is_empty(), "name at least one node or target");
        ensure!(self.rate_per_s > 0.0, "the rate must be above zero");
        ensure!(self.keys > 0, "there must be at least one key");
        ensure!(self.zipf_exponent >= 0.0, "the exponent must not be negative");
        ensure!(self.warm_up < self.duration, "the warm-up must be shorter than the run");
        let total: f64 = self.classes.iter().map(|it| it.share_percent).sum();
        ensure!((total - 100.0).abs() < 0.01, "the shares of the classes add up to {total}%");
        Ok(())
    }
}

impl LoadEntry {
    /// The addresses.
    pub fn addresses(&self) -> &[SocketAddr] {
        match self {
            Self::Nodes(addresses) | Self::Targets(addresses) => addresses,
        }
    }
}

impl LoadClass {
    /// Creates a class with a deadline of a second and small answers.
    pub fn new(name: &str, kind: LoadKind, share_percent: f64) -> Self {
        Self { name: name.to_owned(), kind, share_percent, deadline_ms: 1_000, answer_bytes: 256 }
    }

    /// Sets the deadline.
    pub fn with_deadline_ms(self, deadline_ms: u64) -> Self {
        Self { deadline_ms, ..self }
    }

    /// Sets the least length of an answer.
    pub fn with_answer_bytes(self, answer_bytes: usize) -> Self {
        Self { answer_bytes, ..self }
    }
}

/// Reads `NAME:KIND:SHARE_PERCENT:DEADLINE_MS:ANSWER_BYTES`.
impl FromStr for LoadClass {
    type Err = anyhow::Error;

    fn from_str(text: &str) -> anyhow::Result<Self> {
        let parts: Vec<&str> = text.split(':').collect();
        let [name, kind, share_percent, deadline_ms, answer_bytes] = parts[..] else {
            bail!("{text:?} is not NAME:KIND:SHARE_PERCENT:DEADLINE_MS:ANSWER_BYTES");
        };
        let kind = match kind {
            "read" => LoadKind::Read,
            "reserve" => LoadKind::Reserve,
            "write" => LoadKind::Write,
            other => bail!("{other:?} is no kind; allowed are read, reserve and write"),
        };
        let share_percent = share_percent.parse().context("the share is no number")?;
        Ok(Self::new(name, kind, share_percent)
            .with_deadline_ms(deadline_ms.parse().context("the deadline is no number")?)
            .with_answer_bytes(answer_bytes.parse().context("the length is no number")?))
    }
}
