//! Reads and validates single values.

use toml::{
    Spanned,
    de::{DeInteger, DeValue},
};

use crate::{FieldId, FieldKind, SettingsErrorKind, parse::document::Document};

/// Reads the value of a field. Returns the kind of the error if it is invalid.
pub(crate) fn read_value(
    field: FieldId,
    value: &Spanned<DeValue<'_>>,
) -> Result<toml::Value, SettingsErrorKind> {
    let kind = field.spec().kind;
    match (kind, value.get_ref()) {
        (FieldKind::Integer { min, max }, DeValue::Integer(integer)) => {
            read_integer(kind, integer, min, max)
        }
        (FieldKind::Integer { .. }, DeValue::String(text))
            if text.starts_with(|first: char| first.is_ascii_digit()) =>
        {
            Err(SettingsErrorKind::UnitInValue { field: field.name(), kind })
        }
        _ => Err(wrong_type(kind, value)),
    }
}

/// Reads a string that is not the value of a field. Reports an error if the value is not a string.
pub(crate) fn read_string(
    document: &mut Document<'_>,
    path: &str,
    value: &Spanned<DeValue<'_>>,
) -> Option<String> {
    if let Some(text) = value.get_ref().as_str() {
        return Some(text.to_owned());
    }
    let kind = SettingsErrorKind::WrongType {
        found: value.get_ref().type_str(),
        expected: "a string".to_owned(),
    };
    document.report_value_error(value.span(), path, kind);
    None
}

/// Reads a bound of a key range. Reports an error if the value is not a key.
pub(crate) fn read_key(
    document: &mut Document<'_>,
    path: &str,
    value: &Spanned<DeValue<'_>>,
) -> Option<u16> {
    let integer = value.get_ref().as_integer();
    let key = integer.and_then(|it| u16::from_str_radix(it.as_str(), it.radix()).ok());
    if key.is_none() {
        let kind = SettingsErrorKind::WrongType {
            found: value.get_ref().type_str(),
            expected: "a key from 0 to 65535".to_owned(),
        };
        document.report_value_error(value.span(), path, kind);
    }
    key
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

fn wrong_type(kind: FieldKind, value: &Spanned<DeValue<'_>>) -> SettingsErrorKind {
    SettingsErrorKind::WrongType { found: value.get_ref().type_str(), expected: kind.to_string() }
}
