//! Inheritance: the levels that apply to a request, from the root down.

use crate::{EffectiveSettings, FieldId, FieldSet, Level};

/// A level that applies to a request, with the fields it sets.
#[derive(Debug, Clone)]
pub(crate) struct Layer<'a> {
    pub(crate) level: Level,
    pub(crate) path: String,
    pub(crate) fields: &'a FieldSet,
}

/// Where a value comes from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Origin {
    pub(crate) level: Level,
    pub(crate) path: String,
    pub(crate) line: Option<usize>,
}

/// The levels that apply to a request. A later one overrides those before it.
#[derive(Debug, Clone)]
pub(crate) struct Layers<'a> {
    layers: Vec<Layer<'a>>,
}

impl<'a> Layers<'a> {
    pub(crate) fn new(defaults: &'a FieldSet) -> Self {
        let root = Layer { level: Level::Root, path: "defaults".to_owned(), fields: defaults };
        Self { layers: vec![root] }
    }

    pub(crate) fn with(&self, level: Level, path: String, fields: &'a FieldSet) -> Self {
        let mut layers = self.layers.clone();
        layers.push(Layer { level, path, fields });
        Self { layers }
    }

    /// The value of a field, and the level that it comes from.
    pub(crate) fn find(&self, field: FieldId) -> (toml::Value, Origin) {
        for layer in self.layers.iter().rev() {
            let Some(set) = layer.fields.get(field) else {
                continue;
            };
            let origin =
                Origin { level: layer.level, path: layer.path.clone(), line: Some(set.line) };
            return (set.value.clone(), origin);
        }
        let origin = Origin { level: Level::BuiltIn, path: Level::BuiltIn.to_string(), line: None };
        (built_in_value(field), origin)
    }

    /// Whether a level sets the field to a value that was refused.
    pub(crate) fn is_refused(&self, field: FieldId) -> bool {
        self.layers.iter().any(|layer| layer.fields.is_refused(field))
    }

    /// All fields, resolved.
    pub(crate) fn resolve(&self) -> Result<EffectiveSettings, toml::de::Error> {
        let mut table = toml::Table::new();
        for field in FieldId::all() {
            let (value, _) = self.find(field);
            table.insert(field.name().to_owned(), value);
        }
        table.try_into()
    }
}

/// The built-in default of a field.
fn built_in_value(field: FieldId) -> toml::Value {
    let document = format!("value = {}", field.spec().default);
    let mut table: toml::Table = document.parse().expect("the table of fields has valid defaults");
    table.remove("value").expect("the document has the value")
}
