//! Seeds of the fault soak that once failed, as a file lists them.

use std::path::Path;

use anyhow::Context;
use serde::Deserialize;

/// A seed of the fault soak.
#[derive(Debug, Clone, PartialEq, Eq, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SoakSeed {
    /// The seed.
    pub seed: u64,
    /// The most VMs of its deployment.
    pub max_vms: usize,
    /// What failed, and why.
    #[serde(default)]
    pub cause: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
struct SoakSeeds {
    #[serde(default)]
    seeds: Vec<SoakSeed>,
}

impl SoakSeed {
    /// Creates a seed that has not failed yet.
    pub fn new(seed: u64, max_vms: usize) -> Self {
        Self { seed, max_vms, cause: String::new() }
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
