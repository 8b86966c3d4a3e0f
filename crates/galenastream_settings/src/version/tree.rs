//! Trees of settings.

use std::sync::Arc;

use galenastream_utils::FastMap;

use crate::{
    EffectiveSettings, ExplainedField, FieldId, FieldSet, PlaceSettings, ServiceSettings,
    SettingsErrors, parse,
};

/// A valid, immutable tree of settings.
#[derive(Debug, Clone)]
pub struct SettingsTree {
    pub(crate) source_name: String,
    pub(crate) defaults: Arc<FieldSet>,
    pub(crate) root: EffectiveSettings,
    pub(crate) places: Vec<PlaceSettings>,
    pub(crate) services: Vec<ServiceSettings>,
    pub(crate) service_positions: FastMap<String, usize>,
    pub(crate) removed: Vec<String>,
}

impl Default for SettingsTree {
    /// Returns a tree without entries: all fields have their built-in defaults.
    fn default() -> Self {
        Self {
            source_name: "built-in".to_owned(),
            defaults: Arc::default(),
            root: EffectiveSettings::default(),
            places: Vec::new(),
            services: Vec::new(),
            service_positions: FastMap::default(),
            removed: Vec::new(),
        }
    }
}

impl SettingsTree {
    /// Parses and validates a TOML document. `source_name` names it in messages.
    ///
    /// # Errors
    ///
    /// Returns all errors at once, sorted by line. After a syntax error only syntax errors are
    /// reported.
    pub fn parse(source_name: &str, toml: &str) -> Result<Self, SettingsErrors> {
        parse::parse_tree(source_name, toml)
    }

    /// Returns the name of the source in messages.
    pub fn source_name(&self) -> &str {
        &self.source_name
    }

    /// Returns the services in the order of the file.
    pub fn services(&self) -> &[ServiceSettings] {
        &self.services
    }

    /// Returns the declared places in the order of the file.
    pub fn places(&self) -> &[PlaceSettings] {
        &self.places
    }

    /// Returns the settings at the root, for uses that belong to no service.
    pub fn root(&self) -> &EffectiveSettings {
        &self.root
    }

    /// Returns the service with the name `service`.
    pub fn service(&self, service: &str) -> Option<&ServiceSettings> {
        self.service_positions.get(service).map(|&position| &self.services[position])
    }

    /// Returns the settings of a request, or those at the root if the tree does not contain the
    /// service. Resolved settings are cached, so this is cheap enough for each request.
    pub fn effective(&self, service: &str, place: &str, key: Option<u16>) -> &EffectiveSettings {
        match self.service(service) {
            Some(service) => service.effective(place, key),
            None => &self.root,
        }
    }

    /// Returns each field with the origin of its value, or `None` for an unknown service.
    pub fn explain(
        &self,
        service: &str,
        place: Option<&str>,
        key: Option<u16>,
    ) -> Option<Vec<ExplainedField>> {
        let service = self.service(service)?;
        let place = place.and_then(|place| service.place(place));
        let range = key.and_then(|key| service.find_key_range(key));
        let layers = service.layers(place, range);
        let mut explained = Vec::new();
        for field in FieldId::all() {
            let (value, origin) = layers.find(field);
            explained.push(ExplainedField {
                field: field.name(),
                value: value.to_string(),
                level: origin.path.level(),
                origin: origin.path.to_string(),
                line: origin.line,
            });
        }
        Some(explained)
    }
}
