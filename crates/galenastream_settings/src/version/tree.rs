//! A version of the settings.

use galenastream_ownership::{FastMap, PlaceId, ServiceId, Timing};

use crate::{
    EffectiveSettings, ExplainedField, FieldId, FieldSet, Layers, Level, PlaceSettings,
    ServiceSettings, SettingsErrors, SettingsWarning, parse,
};

/// A checked, immutable tree of settings.
#[derive(Debug, Clone)]
pub struct SettingsTree {
    pub(crate) source_name: String,
    pub(crate) defaults: FieldSet,
    pub(crate) root: EffectiveSettings,
    pub(crate) places: Vec<PlaceSettings>,
    pub(crate) services: Vec<ServiceSettings>,
    pub(crate) service_positions: FastMap<ServiceId, usize>,
    pub(crate) removed: Vec<String>,
    pub(crate) warnings: Vec<SettingsWarning>,
}

impl SettingsTree {
    /// Reads and checks a tree. `source_name` is the file's name in messages.
    ///
    /// Returns all errors at once, in the order of their lines.
    pub fn parse(source_name: &str, toml: &str) -> Result<Self, SettingsErrors> {
        parse::parse_tree(source_name, toml)
    }

    /// The name of the source in messages.
    pub fn source_name(&self) -> &str {
        &self.source_name
    }

    /// What the operator should know although the tree is valid.
    pub fn warnings(&self) -> &[SettingsWarning] {
        &self.warnings
    }

    /// The services, in the order of the file.
    pub fn services(&self) -> &[ServiceSettings] {
        &self.services
    }

    /// The places, in the order of the file.
    pub fn places(&self) -> &[PlaceSettings] {
        &self.places
    }

    /// The settings at the root, for what belongs to no service.
    pub fn root(&self) -> &EffectiveSettings {
        &self.root
    }

    /// The service with this id.
    pub fn service(&self, service: ServiceId) -> Option<&ServiceSettings> {
        self.service_positions.get(&service).map(|&position| &self.services[position])
    }

    /// The place with this id.
    pub fn place(&self, place: PlaceId) -> Option<&PlaceSettings> {
        self.places.iter().find(|settings| settings.id == place)
    }

    /// The settings of a request, `None` for an unknown service. Cheap enough for each request.
    pub fn effective(
        &self,
        service: ServiceId,
        place: PlaceId,
        key: &[u8],
    ) -> Option<&EffectiveSettings> {
        Some(self.service(service)?.effective(place, key))
    }

    /// The durations of the ownership protocol, the same in all places of a service.
    pub fn timing(&self, service: ServiceId) -> Option<Timing> {
        Some(self.service(service)?.settings().timing())
    }

    /// Each field with the level that its value came from, `None` for an unknown service.
    pub fn explain(
        &self,
        service: ServiceId,
        place: Option<PlaceId>,
        key: Option<&[u8]>,
    ) -> Option<Vec<ExplainedField>> {
        let layers = self.layers(self.service(service)?, place, key);
        let mut explained = Vec::new();
        for field in FieldId::all() {
            let (value, origin) = layers.find(field);
            explained.push(ExplainedField {
                field: field.name(),
                value: value.to_string(),
                level: origin.level,
                origin: origin.path,
                line: origin.line,
            });
        }
        Some(explained)
    }

    pub(crate) fn layers<'a>(
        &'a self,
        service: &'a ServiceSettings,
        place: Option<PlaceId>,
        key: Option<&[u8]>,
    ) -> Layers<'a> {
        let place = service.places.iter().find(|candidate| Some(candidate.id) == place);
        let range = key.and_then(|key| service.find_key_range(key));
        let service_path = format!("services.{}", service.name);
        let mut layers =
            Layers::new(&self.defaults).with(Level::Service, service_path.clone(), &service.fields);
        if let Some(place) = place {
            let path = format!("{service_path}.places.{}", place.name);
            layers = layers.with(Level::Place, path, &place.fields);
        }
        let Some(range) = range.map(|position| &service.key_ranges[position]) else {
            return layers;
        };
        let path = format!("{service_path}.key_ranges.{}", range.name);
        layers = layers.with(Level::KeyRange, path, &range.fields);
        let Some(place) = place else {
            return layers;
        };
        let Some(in_place) = place.key_range(&range.name) else {
            return layers;
        };
        let path = format!("{service_path}.places.{}.key_ranges.{}", place.name, range.name);
        layers.with(Level::KeyRange, path, &in_place.fields)
    }
}
