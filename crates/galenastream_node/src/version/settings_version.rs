//! The version of the settings that is in force at this node.

use galenastream_ownership::{PlaceId, ServiceId, SettingsVersion};
use galenastream_settings::{EffectiveSettings, SettingsErrors, SettingsTree};

use crate::process::Bootstrap;

/// The version of the settings that is in force at this node.
#[derive(Debug, Clone)]
pub struct SettingsVersionInForce {
    version: SettingsVersion,
    toml: String,
    tree: SettingsTree,
    place: PlaceId,
}

impl SettingsVersionInForce {
    /// The built-in defaults for the node's own service, until a version that names it is read.
    pub fn defaults(bootstrap: &Bootstrap) -> Result<Self, SettingsErrors> {
        let toml = format!("[services.{}]\n", bootstrap.service);
        Self::parse(SettingsVersion(0), toml, bootstrap.place_id())
    }

    /// Checks a version for a node in a place.
    pub fn parse(
        version: SettingsVersion,
        toml: String,
        place: PlaceId,
    ) -> Result<Self, SettingsErrors> {
        let source = format!("settings version {}", version.0);
        let tree = SettingsTree::parse(&source, &toml)?;
        Ok(Self { version, toml, tree, place })
    }

    /// The version; zero for the built-in defaults.
    pub fn version(&self) -> SettingsVersion {
        self.version
    }

    /// Whether the version has an entry for the service.
    pub fn names(&self, service: ServiceId) -> bool {
        self.tree.service(service).is_some()
    }

    /// The tree, as TOML.
    pub fn toml(&self) -> &str {
        &self.toml
    }

    /// The tree.
    pub fn tree(&self) -> &SettingsTree {
        &self.tree
    }

    /// The settings of a request at this node, `None` for an unknown service.
    pub fn effective(&self, service: ServiceId, key: &[u8]) -> Option<&EffectiveSettings> {
        self.tree.effective(service, self.place, key)
    }

    /// The settings of a service at this node; those of the root for an unknown service.
    pub fn service_or_root(&self, service: ServiceId) -> &EffectiveSettings {
        match self.tree.service(service) {
            Some(settings) => settings.settings_in(self.place),
            None => self.tree.root(),
        }
    }
}
