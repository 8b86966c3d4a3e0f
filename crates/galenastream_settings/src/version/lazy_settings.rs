//! Settings that are resolved at their first use.

use std::sync::OnceLock;

use crate::{EffectiveSettings, Layers};

/// The settings of a service, or of one of its places, resolved at their first use.
///
/// A node uses few services in one place, so most of a large tree is never resolved.
#[derive(Debug, Clone)]
pub(crate) struct LazySettings {
    base: OnceLock<EffectiveSettings>,
    /// One entry per key range of the service, in the same order.
    key_ranges: Vec<OnceLock<EffectiveSettings>>,
}

impl LazySettings {
    pub(crate) fn new(key_ranges: usize) -> Self {
        Self { base: OnceLock::new(), key_ranges: vec![OnceLock::new(); key_ranges] }
    }

    /// Returns the settings outside of key ranges. The first use resolves `layers`.
    pub(crate) fn base<'a>(&self, layers: impl FnOnce() -> Layers<'a>) -> &EffectiveSettings {
        self.base.get_or_init(|| layers().resolve())
    }

    /// Returns the settings of the key range at a position. The first use resolves `layers`.
    pub(crate) fn key_range<'a>(
        &self,
        position: usize,
        layers: impl FnOnce() -> Layers<'a>,
    ) -> &EffectiveSettings {
        self.key_ranges[position].get_or_init(|| layers().resolve())
    }
}
