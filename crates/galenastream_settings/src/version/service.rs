//! A service of the tree.

use galenastream_ownership::{FastMap, PlaceId, ServiceId};

use crate::{EffectiveSettings, FieldSet, KeyBounds};

/// A service of the tree, with its places and key ranges.
#[derive(Debug, Clone)]
pub struct ServiceSettings {
    pub(crate) id: ServiceId,
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) fields: FieldSet,
    /// Sorted by their first keys, without overlaps.
    pub(crate) key_ranges: Vec<KeyRange>,
    pub(crate) places: Vec<ServicePlace>,
    pub(crate) resolved: Resolved,
    pub(crate) resolved_by_place: FastMap<PlaceId, Resolved>,
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
    pub(crate) id: PlaceId,
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) fields: FieldSet,
    pub(crate) key_ranges: Vec<PlaceKeyRange>,
}

/// What a place overrides in a key range of its service.
#[derive(Debug, Clone)]
pub(crate) struct PlaceKeyRange {
    pub(crate) name: String,
    pub(crate) line: usize,
    pub(crate) fields: FieldSet,
}

/// The resolved settings of a service in one place.
#[derive(Debug, Clone)]
pub(crate) struct Resolved {
    pub(crate) base: EffectiveSettings,
    /// Parallel to the key ranges of the service.
    pub(crate) key_ranges: Vec<EffectiveSettings>,
}

impl ServiceSettings {
    /// The service.
    pub fn id(&self) -> ServiceId {
        self.id
    }

    /// Its name.
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The places that the service runs in.
    pub fn places(&self) -> impl Iterator<Item = PlaceId> {
        self.places.iter().map(|place| place.id)
    }

    /// The settings of the whole service, for what is the same in all places and for all keys.
    pub fn settings(&self) -> &EffectiveSettings {
        &self.resolved.base
    }

    /// The settings in a place, for what is the same for all keys.
    pub fn settings_in(&self, place: PlaceId) -> &EffectiveSettings {
        &self.resolved_in(place).base
    }

    /// The settings of a request.
    pub fn effective(&self, place: PlaceId, key: &[u8]) -> &EffectiveSettings {
        let resolved = self.resolved_in(place);
        match self.find_key_range(key) {
            Some(position) => &resolved.key_ranges[position],
            None => &resolved.base,
        }
    }

    fn resolved_in(&self, place: PlaceId) -> &Resolved {
        self.resolved_by_place.get(&place).unwrap_or(&self.resolved)
    }

    pub(crate) fn find_key_range(&self, key: &[u8]) -> Option<usize> {
        let after = self.key_ranges.partition_point(|range| range.bounds.first.as_slice() <= key);
        let position = after.checked_sub(1)?;
        self.key_ranges[position].bounds.contains(key).then_some(position)
    }
}

impl ServicePlace {
    pub(crate) fn key_range(&self, name: &str) -> Option<&PlaceKeyRange> {
        self.key_ranges.iter().find(|range| range.name == name)
    }
}
