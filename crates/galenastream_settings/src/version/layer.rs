//! Inheritance between the layers that apply to a request.

use std::{collections::BTreeMap, sync::LazyLock};

use crate::{EffectiveSettings, FieldId, FieldSet, LayerPath};

/// A table of the tree that applies to a request, with the fields that it sets itself.
#[derive(Debug, Clone)]
pub(crate) struct Layer<'a> {
    pub(crate) path: LayerPath<'a>,
    pub(crate) fields: &'a FieldSet,
}

/// The layer and line that set a value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Origin<'a> {
    pub(crate) path: LayerPath<'a>,
    pub(crate) line: Option<usize>,
}

/// The layers that apply to a request, from the root down. Later ones override earlier ones.
#[derive(Debug, Clone)]
pub(crate) struct Layers<'a> {
    layers: Vec<Layer<'a>>,
}

impl<'a> Layers<'a> {
    pub(crate) fn new(defaults: &'a FieldSet) -> Self {
        Self { layers: vec![Layer { path: LayerPath::Root, fields: defaults }] }
    }

    /// Creates an empty list, which resolves to the built-in defaults.
    pub(crate) const fn built_in() -> Self {
        Self { layers: Vec::new() }
    }

    pub(crate) fn push(&mut self, path: LayerPath<'a>, fields: &'a FieldSet) {
        self.layers.push(Layer { path, fields });
    }

    /// Returns the value of a field and its origin.
    pub(crate) fn find(&self, field: FieldId) -> (toml::Value, Origin<'a>) {
        for layer in self.layers.iter().rev() {
            let Some(set) = layer.fields.get(field) else {
                continue;
            };
            let origin = Origin { path: layer.path, line: Some(set.line) };
            return (set.value.clone(), origin);
        }
        let origin = Origin { path: LayerPath::BuiltIn, line: None };
        (built_in_value(field), origin)
    }

    /// Resolves all fields.
    pub(crate) fn resolve(&self) -> EffectiveSettings {
        let mut table = toml::Table::new();
        for field in FieldId::all() {
            let (value, _) = self.find(field);
            table.insert(field.name().to_owned(), value);
        }
        table.try_into().expect("values that passed their checks fit their fields")
    }
}

/// Returns the built-in default of a field, which is parsed only once.
fn built_in_value(field: FieldId) -> toml::Value {
    static VALUES: LazyLock<BTreeMap<FieldId, toml::Value>> =
        LazyLock::new(|| FieldId::all().map(|field| (field, parse_default(field))).collect());
    VALUES[&field].clone()
}

fn parse_default(field: FieldId) -> toml::Value {
    let document = format!("value = {}", field.spec().default);
    let mut table: toml::Table = document.parse().expect("the table of fields has valid defaults");
    table.remove("value").expect("the document has the value")
}
