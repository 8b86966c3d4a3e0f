//! Services of a tree.

use std::sync::Arc;

use galenastream_utils::FastMap;

use crate::{EffectiveSettings, FieldSet, KeyBounds, LayerPath, Layers, LazySettings};

/// A service of a tree, with its places and key ranges.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) defaults: Arc<FieldSet>,
    pub(crate) fields: FieldSet,
    /// Sorted by first key, without overlaps.
    pub(crate) key_ranges: Vec<KeyRange>,
    pub(crate) places: Vec<ServicePlace>,
    pub(crate) place_positions: FastMap<String, usize>,
    pub(crate) resolved: LazySettings,
}

/// A key range of a service.
#[derive(Debug, Clone)]
pub(crate) struct KeyRange {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) bounds: KeyBounds,
    pub(crate) fields: FieldSet,
}

/// A place of a service.
#[derive(Debug, Clone)]
pub(crate) struct ServicePlace {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) fields: FieldSet,
    pub(crate) key_ranges: Vec<PlaceKeyRange>,
    pub(crate) resolved: LazySettings,
}

/// The fields that a place overrides in a key range of its service.
#[derive(Debug, Clone)]
pub(crate) struct PlaceKeyRange {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) fields: FieldSet,
}

impl ServiceSettings {
    /// Returns the name of the service.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// Returns the names of the places for which the service has a table.
    pub fn places(&self) -> impl Iterator<Item = &str> {
        self.places.iter().map(|place| place.name.as_str())
    }

    /// Returns the settings of the whole service, for uses that depend on neither place nor key.
    pub fn settings(&self) -> &EffectiveSettings {
        self.resolved.base(|| self.layers(None, None))
    }

    /// Returns the settings of a request with an optional key in a place. They are resolved at the
    /// first use and cached. A place without a table has the settings of the whole service.
    pub fn effective(&self, place: &str, key: Option<u16>) -> &EffectiveSettings {
        self.resolve(self.place(place), key.and_then(|it| self.find_key_range(it)))
    }

    pub(crate) fn place(&self, place: &str) -> Option<&ServicePlace> {
        self.place_positions.get(place).map(|&position| &self.places[position])
    }

    /// Returns the position of the key range that contains a key.
    pub(crate) fn find_key_range(&self, key: u16) -> Option<usize> {
        let after = self.key_ranges.partition_point(|range| range.bounds.first <= key);
        let position = after.checked_sub(1)?;
        self.key_ranges[position].bounds.contains(key).then_some(position)
    }

    fn resolve<'a>(
        &'a self,
        place: Option<&'a ServicePlace>,
        range: Option<usize>,
    ) -> &'a EffectiveSettings {
        let resolved = place.map_or(&self.resolved, |place| &place.resolved);
        match range {
            Some(position) => resolved.key_range(position, || self.layers(place, range)),
            None => resolved.base(|| self.layers(place, None)),
        }
    }

    /// Returns the layers that apply in a place and to the key range at a position.
    pub(crate) fn layers<'a>(
        &'a self,
        place: Option<&'a ServicePlace>,
        range: Option<usize>,
    ) -> Layers<'a> {
        let service = self.name.as_str();
        let mut layers = Layers::new(&self.defaults);
        layers.push(LayerPath::Service { service }, &self.fields);
        if let Some(place) = place {
            layers.push(LayerPath::Place { service, place: &place.name }, &place.fields);
        }
        let Some(range) = range.map(|position| &self.key_ranges[position]) else {
            return layers;
        };
        layers.push(LayerPath::KeyRange { service, range: &range.name }, &range.fields);
        let in_place = place.and_then(|place| Some((place, place.key_range(&range.name)?)));
        if let Some((place, in_place)) = in_place {
            let (place, range) = (place.name.as_str(), range.name.as_str());
            layers.push(LayerPath::PlaceKeyRange { service, place, range }, &in_place.fields);
        }
        layers
    }
}

impl ServicePlace {
    pub(crate) fn key_range(&self, name: &str) -> Option<&PlaceKeyRange> {
        self.key_ranges.iter().find(|range| range.name == name)
    }
}
