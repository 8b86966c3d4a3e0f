//! A single error of a tree.

use std::fmt;

use serde::{Serialize, Serializer, ser::SerializeStruct};

use crate::SettingsErrorKind;

/// An error of a tree. `Display` and `Serialize` also give what is allowed and the remedy.
#[derive(Debug, Clone, PartialEq)]
pub struct SettingsError {
    /// The name of the source, usually the file.
    pub source_name: String,
    /// The one-based line; `None` if the error has none.
    pub line: Option<usize>,
    /// The path of the entry, for example `services.booking.queue_per_slot`; empty for the whole
    /// file.
    pub path: String,
    /// The value as it is written in the file; `None` if the error is not about a value.
    pub value: Option<String>,
    /// The kind of the error.
    pub kind: SettingsErrorKind,
}

impl std::error::Error for SettingsError {}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.source_name)?;
        if let Some(line) = self.line {
            write!(f, ":{line}")?;
        }
        f.write_str(": ")?;
        if !self.path.is_empty() {
            f.write_str(&self.path)?;
            if let Some(value) = &self.value {
                write!(f, " = {value}")?;
            }
            f.write_str(": ")?;
        }
        writeln!(f, "{}", self.kind)?;
        writeln!(f, "  allowed: {}", self.kind.allowed())?;
        write!(f, "  remedy: {}", self.kind.remedy())
    }
}

impl Serialize for SettingsError {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let mut object = serializer.serialize_struct("SettingsError", 7)?;
        object.serialize_field("file", &self.source_name)?;
        object.serialize_field("line", &self.line)?;
        object.serialize_field("path", &self.path)?;
        object.serialize_field("value", &self.value)?;
        object.serialize_field("message", &self.kind.to_string())?;
        object.serialize_field("allowed", &self.kind.allowed())?;
        object.serialize_field("remedy", &self.kind.remedy())?;
        object.end()
    }
}
