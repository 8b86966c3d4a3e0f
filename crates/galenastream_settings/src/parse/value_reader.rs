//! Reads and checks one value of a field.

use toml::{
    Spanned,
    de::{DeInteger, DeValue},
};

use crate::{
    ClassSettings, FieldId, FieldKind, SettingsErrorKind,
    parse::{document::Document, names},
};

const MAX_CLASSES: usize = 16;

/// Reads a value of a field, or says why it is refused.
pub(crate) fn read_value(
    field: FieldId,
    value: &Spanned<DeValue<'_>>,
) -> Result<toml::Value, SettingsErrorKind> {
    let kind = field.spec().kind;
    match (kind, value.get_ref()) {
        (FieldKind::Bool, DeValue::Boolean(flag)) => Ok(toml::Value::from(*flag)),
        (FieldKind::Integer { min, max }, DeValue::Integer(integer)) => {
            read_integer(kind, integer, min, max)
        }
        (FieldKind::Integer { .. }, DeValue::String(text))
            if text.starts_with(|first: char| first.is_ascii_digit()) =>
        {
            Err(SettingsErrorKind::UnitInValue { field: field.name(), kind })
        }
        (FieldKind::ClassName, DeValue::String(text)) => Ok(toml::Value::from(text.as_ref())),
        (FieldKind::Classes, DeValue::Array(_)) => read_classes(value),
        (FieldKind::Methods, DeValue::Array(_)) => read_methods(value),
        _ => Err(wrong_type(kind, value)),
    }
}

/// Reads a text of an entry that is not a field.
pub(crate) fn read_text(
    document: &mut Document<'_>,
    path: &str,
    value: &Spanned<DeValue<'_>>,
) -> Option<String> {
    if let Some(text) = value.get_ref().as_str() {
        return Some(text.to_owned());
    }
    let kind = SettingsErrorKind::WrongType {
        found: value.get_ref().type_str(),
        expected: "a text".to_owned(),
    };
    document.refuse_value(value.span(), path, kind);
    None
}

fn read_integer(
    kind: FieldKind,
    integer: &DeInteger<'_>,
    min: i64,
    max: i64,
) -> Result<toml::Value, SettingsErrorKind> {
    let Ok(number) = i64::from_str_radix(integer.as_str(), integer.radix()) else {
        return Err(SettingsErrorKind::OutOfBounds { kind });
    };
    if number == 0 && min > 0 {
        return Err(SettingsErrorKind::ZeroLimit { kind });
    }
    if number < min || number > max {
        return Err(SettingsErrorKind::OutOfBounds { kind });
    }
    Ok(toml::Value::from(number))
}

fn read_classes(value: &Spanned<DeValue<'_>>) -> Result<toml::Value, SettingsErrorKind> {
    let refused = || wrong_list(FieldKind::Classes);
    let array = to_value(value).ok_or_else(refused)?;
    let classes: Vec<ClassSettings> = array.clone().try_into().map_err(|_| refused())?;
    if classes.is_empty() || classes.len() > MAX_CLASSES {
        return Err(refused());
    }
    for (position, class) in classes.iter().enumerate() {
        if !names::is_usable(&class.name) {
            return Err(SettingsErrorKind::BadName);
        }
        if classes[..position].iter().any(|other| other.name == class.name) {
            return Err(SettingsErrorKind::DuplicateClass { name: class.name.clone() });
        }
    }
    Ok(array)
}

fn read_methods(value: &Spanned<DeValue<'_>>) -> Result<toml::Value, SettingsErrorKind> {
    const MAX_METHOD_BYTES: usize = 32;
    let refused = || wrong_list(FieldKind::Methods);
    let array = to_value(value).ok_or_else(refused)?;
    let methods: Vec<String> = array.clone().try_into().map_err(|_| refused())?;
    for method in methods {
        let is_token = method.bytes().all(|byte| byte.is_ascii_uppercase() || byte == b'-');
        if method.is_empty() || method.len() > MAX_METHOD_BYTES || !is_token {
            return Err(SettingsErrorKind::BadMethod { method });
        }
    }
    Ok(array)
}

fn to_value(value: &Spanned<DeValue<'_>>) -> Option<toml::Value> {
    use serde::{Deserialize, de::IntoDeserializer};
    toml::Value::deserialize(value.clone().into_deserializer()).ok()
}

fn wrong_list(kind: FieldKind) -> SettingsErrorKind {
    SettingsErrorKind::WrongType { found: "another list", expected: kind.to_string() }
}

fn wrong_type(kind: FieldKind, value: &Spanned<DeValue<'_>>) -> SettingsErrorKind {
    SettingsErrorKind::WrongType { found: value.get_ref().type_str(), expected: kind.to_string() }
}
