//! Seeds of the fault soak that once failed, as a file lists them.

use std::path::Path;

use anyhow::Context;
use serde::Deserialize;

use super::ScenarioPlan;

/// A seed of the fault soak.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SoakSeed {
    /// The seed.
    pub seed: u64,
    /// The most VMs of its deployment.
    pub max_vms: usize,
    /// The kind of its scenario.
    #[serde(default)]
    pub kind: SoakKind,
    /// Whether keys are granted by calls.
    #[serde(default)]
    pub has_lease_calls: bool,
    /// What failed, and why.
    #[serde(default)]
    pub cause: String,
}

/// A kind of scenarios of the fault soak.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum SoakKind {
    /// Short faults of every kind.
    #[default]
    Faults,
    /// Faults that last long enough for several takeovers of the same keys.
    Ownership,
    /// Requests that crash their targets, beside faults of nodes, links and the store.
    Crashes,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SoakSeeds {
    #[serde(default)]
    seeds: Vec<SoakSeed>,
}

impl SoakSeed {
    /// Creates a seed that has not failed yet. In one of three scenarios, keys are granted by calls.
    pub fn new(kind: SoakKind, seed: u64, max_vms: usize) -> Self {
        let has_lease_calls = seed.is_multiple_of(3);
        Self { seed, max_vms, kind, has_lease_calls, cause: String::new() }
    }

    /// Draws the scenario of the seed.
    pub fn scenario(&self) -> ScenarioPlan {
        let scenario = match self.kind {
            SoakKind::Faults => ScenarioPlan::soak(self.seed, self.max_vms),
            SoakKind::Ownership => ScenarioPlan::ownership_soak(self.seed, self.max_vms),
            SoakKind::Crashes => ScenarioPlan::crash_soak(self.seed, self.max_vms),
        };
        match self.has_lease_calls {
            true => scenario.with_lease_calls(self.seed),
            false => scenario,
        }
    }

    /// Reads a file of seeds.
    pub fn load_all(file: &Path) -> anyhow::Result<Vec<Self>> {
        let text = std::fs::read_to_string(file)
            .with_context(|| format!("cannot read {}; check the path", file.display()))?;
        let seeds: SoakSeeds = toml::from_str(&text)
            .with_context(|| format!("{} is not a valid list of seeds", file.display()))?;
        Ok(seeds.seeds)
    }
}
