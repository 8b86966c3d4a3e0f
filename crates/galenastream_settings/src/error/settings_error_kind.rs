//! Kinds of errors of a tree.

use thiserror::Error;

use crate::{FieldKind, Level};

/// The kind of an error of a tree. `Display` gives the message.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum SettingsErrorKind {
    /// The file exceeds the maximum size.
    #[error("the file has {size_bytes} bytes")]
    FileTooLarge {
        /// The size of the file.
        size_bytes: usize,
        /// The maximum size.
        max_bytes: usize,
    },
    /// The file is not valid TOML.
    #[error("not valid TOML: {message}")]
    Syntax {
        /// The message of the parser.
        message: String,
    },
    /// A field or table that does not exist.
    #[error("unknown {entry_kind}")]
    UnknownEntry {
        /// The kind of entry that is expected there, for example `field of a service`.
        entry_kind: &'static str,
        /// The most similar allowed name, if one is similar enough.
        suggestion: Option<String>,
        /// The allowed names.
        allowed: Vec<String>,
    },
    /// The name of a field with another unit or without one.
    #[error("the unit in the name is wrong or missing")]
    WrongUnit {
        /// The name with the right unit.
        expected: &'static str,
    },
    /// A string that starts with a digit, such as a number with its unit, instead of a number.
    #[error("a number without its unit is expected")]
    UnitInValue {
        /// The name of the field, which ends in the unit.
        field: &'static str,
        /// The allowed values.
        kind: FieldKind,
    },
    /// A value of the wrong type.
    #[error("{found} instead of {expected}")]
    WrongType {
        /// The type of the value.
        found: &'static str,
        /// The expected type, in words.
        expected: String,
    },
    /// Zero for a limit, which would refuse everything.
    #[error("a limit of zero would refuse everything")]
    ZeroLimit {
        /// The allowed values.
        kind: FieldKind,
    },
    /// A number outside of the field's bounds.
    #[error("the number is out of bounds")]
    OutOfBounds {
        /// The allowed values.
        kind: FieldKind,
    },
    /// A field that may not be set at this level.
    #[error("this field cannot be set for a {level}")]
    WrongLevel {
        /// The level at which the field is set.
        level: Level,
        /// The lowest level at which it may be set.
        lowest: Level,
    },
    /// A name that is not valid in a URL path or a header.
    #[error("the name is invalid")]
    InvalidName,
    /// A place of a service that the file does not declare.
    #[error("the place is not declared")]
    UnknownPlace {
        /// The most similar declared name, if one is similar enough.
        suggestion: Option<String>,
        /// The names of the declared places.
        declared: Vec<String>,
    },
    /// A key range that a place overrides and its service does not declare.
    #[error("the service has no such key range")]
    UnknownKeyRange {
        /// The names of the key ranges that the service declares.
        declared: Vec<String>,
    },
    /// A key range that gives neither of its bounds.
    #[error("the key range needs first_key or last_key or both")]
    MissingKeyBounds,
    /// A key range that contains no keys.
    #[error("first_key is greater than last_key, so the range is empty")]
    EmptyKeyRange,
    /// A key range that overlaps another one.
    #[error("the key range overlaps {other:?} of line {other_line}")]
    OverlappingKeyRanges {
        /// The name of the other range.
        other: String,
        /// The line that declares the other range.
        other_line: usize,
    },
    /// An entry that the file lists as removed but still contains.
    #[error("{entry:?} is listed as removed but still present")]
    RemovedButPresent {
        /// The path of the entry.
        entry: String,
    },
    /// An entry of the version in force that is missing from the new version and not listed as
    /// removed.
    #[error(
        "the entry is missing without an explicit removal; it was {old_value} in line {old_line} of {old_source}"
    )]
    MissingEntry {
        /// The value in the version in force.
        old_value: String,
        /// The name of the source of the version in force.
        old_source: String,
        /// The line of the entry in that source.
        old_line: usize,
    },
}

impl SettingsErrorKind {
    /// Describes what is allowed instead.
    pub fn allowed(&self) -> String {
        match self {
            Self::FileTooLarge { max_bytes, .. } => format!("at most {max_bytes} bytes"),
            Self::Syntax { .. } => "a document as described at https://toml.io".to_owned(),
            Self::UnknownEntry { allowed, .. } if allowed.is_empty() => "nothing".to_owned(),
            Self::UnknownEntry { allowed, .. } => allowed.join(", "),
            Self::WrongUnit { expected } => (*expected).to_owned(),
            Self::UnitInValue { kind, .. }
            | Self::ZeroLimit { kind }
            | Self::OutOfBounds { kind } => kind.to_string(),
            Self::WrongType { expected, .. } => expected.clone(),
            Self::WrongLevel { lowest, .. } => format!("at the levels from root to {lowest}"),
            Self::InvalidName => {
                "1 to 63 of the characters a-z, 0-9 and -, the first one a letter".to_owned()
            }
            Self::UnknownPlace { declared, .. } | Self::UnknownKeyRange { declared } => {
                list_or_none(declared)
            }
            Self::MissingKeyBounds => {
                "first_key = NUMBER and last_key = NUMBER, each from 0 to 65535".to_owned()
            }
            Self::EmptyKeyRange => "a first_key that is not greater than last_key".to_owned(),
            Self::OverlappingKeyRanges { .. } => "key ranges that do not overlap".to_owned(),
            Self::RemovedButPresent { .. } => {
                "in `removed` only entries that the file no longer has".to_owned()
            }
            Self::MissingEntry { .. } => {
                "each entry of the version in force, or its name in `removed`".to_owned()
            }
        }
    }

    /// Describes how to correct the error.
    pub fn remedy(&self) -> String {
        match self {
            Self::FileTooLarge { .. } => {
                "move what many entries share up to their parent, so that they inherit it"
                    .to_owned()
            }
            Self::Syntax { .. } => "correct the line".to_owned(),
            Self::UnknownEntry { suggestion: Some(name), .. }
            | Self::UnknownPlace { suggestion: Some(name), .. } => format!("write {name}"),
            Self::UnknownEntry { .. } => "delete the entry or use an allowed name".to_owned(),
            Self::WrongUnit { expected } => {
                format!("write {expected} and convert the value to that unit")
            }
            Self::UnitInValue { field, .. } => {
                format!("write {field} = NUMBER; the name tells the unit")
            }
            Self::WrongType { .. } => "write a value of the allowed kind".to_owned(),
            Self::ZeroLimit { .. } => {
                "write a positive limit, or delete the line to inherit one".to_owned()
            }
            Self::OutOfBounds { .. } => "write a number within the bounds".to_owned(),
            Self::WrongLevel { lowest, .. } => format!("move the line up to its {lowest}"),
            Self::InvalidName => "rename the entry".to_owned(),
            Self::UnknownPlace { .. } => "declare it as [places.NAME]".to_owned(),
            Self::UnknownKeyRange { .. } => {
                "declare the range with its bounds as [services.SERVICE.key_ranges.NAME]".to_owned()
            }
            Self::MissingKeyBounds => "give the range its bounds".to_owned(),
            Self::EmptyKeyRange => "swap the two keys".to_owned(),
            Self::OverlappingKeyRanges { .. } => {
                "narrow one of the two, or put their settings into one range".to_owned()
            }
            Self::RemovedButPresent { .. } => {
                "delete the entry itself, or take its name out of `removed`".to_owned()
            }
            Self::MissingEntry { .. } => {
                "put the entry back, or add its name to `removed` at the top of the file".to_owned()
            }
        }
    }
}

fn list_or_none(names: &[String]) -> String {
    if names.is_empty() { "none is declared".to_owned() } else { names.join(", ") }
}
