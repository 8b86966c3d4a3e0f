//! The kinds of errors of a tree.

use thiserror::Error;

use crate::{FieldKind, Level};

/// What is wrong with a tree of settings.
#[derive(Debug, Clone, PartialEq, Error)]
pub enum SettingsErrorKind {
    /// The file is larger than any tree may be.
    #[error("the file has {size_bytes} bytes")]
    FileTooLarge {
        /// Its size.
        size_bytes: usize,
        /// The largest size.
        max_bytes: usize,
    },
    /// The file is not TOML.
    #[error("not valid TOML: {message}")]
    Syntax {
        /// What the parser says.
        message: String,
    },
    /// No such field or table.
    #[error("unknown {what}")]
    Unknown {
        /// What was expected there, for example a field of a service.
        what: &'static str,
        /// The nearest known name.
        suggestion: Option<String>,
        /// What may stand there.
        allowed: Vec<String>,
    },
    /// The name of a known field with another unit, or without one.
    #[error("the unit in the name is wrong or missing")]
    WrongUnit {
        /// The name with the right unit.
        expected: &'static str,
    },
    /// A text with a unit where a number is expected.
    #[error("a number without its unit is expected")]
    UnitInValue {
        /// The field, which names the unit.
        field: &'static str,
        /// What the field takes.
        kind: FieldKind,
    },
    /// A value of another type.
    #[error("{found} instead of {expected}")]
    WrongType {
        /// The type of the value.
        found: &'static str,
        /// What is expected.
        expected: String,
    },
    /// A limit of zero would refuse everything.
    #[error("a limit of zero would refuse everything")]
    ZeroLimit {
        /// What the field takes.
        kind: FieldKind,
    },
    /// A number that is too low or too high.
    #[error("the number is out of bounds")]
    OutOfBounds {
        /// What the field takes.
        kind: FieldKind,
    },
    /// A field that cannot be set at this level.
    #[error("this field cannot be set for a {level}")]
    WrongLevel {
        /// The level.
        level: Level,
        /// The lowest level that may set it.
        lowest: Level,
    },
    /// A name that cannot stand in a URL path or a header.
    #[error("the name is not usable")]
    InvalidName,
    /// A service runs in a place that is not declared.
    #[error("the place is not declared")]
    UnknownPlace {
        /// The nearest declared name.
        suggestion: Option<String>,
        /// The declared places.
        declared: Vec<String>,
    },
    /// A place overrides a key range that its service does not declare.
    #[error("the service has no such key range")]
    UnknownKeyRange {
        /// The declared key ranges.
        declared: Vec<String>,
    },
    /// A key range without usable bounds.
    #[error("the key range needs first_key or last_key or both")]
    MissingKeyBounds,
    /// A key range without a key.
    #[error("first_key lies behind last_key, so the range is empty")]
    EmptyKeyRange,
    /// Two key ranges with a key in common.
    #[error("the key range overlaps {other:?} of line {other_line}")]
    OverlappingKeyRanges {
        /// The other range.
        other: String,
        /// The line that declares it.
        other_line: usize,
    },
    /// An entry that is listed as removed but still present.
    #[error("{entry:?} is listed as removed but still present")]
    RemovedButPresent {
        /// The entry.
        entry: String,
    },
    /// An entry of the version in force that is missing and not listed as removed.
    #[error(
        "the entry is missing without an explicit removal; it was {old_value} in line {old_line} of {old_source}"
    )]
    MissingEntry {
        /// Its old value.
        old_value: String,
        /// The source of the version in force.
        old_source: String,
        /// The line there.
        old_line: usize,
    },
}

impl SettingsErrorKind {
    /// What is allowed instead.
    pub fn allowed(&self) -> String {
        match self {
            Self::FileTooLarge { max_bytes, .. } => format!("at most {max_bytes} bytes"),
            Self::Syntax { .. } => "a document as described at https://toml.io".to_owned(),
            Self::Unknown { allowed, .. } if allowed.is_empty() => "nothing".to_owned(),
            Self::Unknown { allowed, .. } => allowed.join(", "),
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
            Self::EmptyKeyRange => "a first_key that is not behind last_key".to_owned(),
            Self::OverlappingKeyRanges { .. } => "key ranges without a common key".to_owned(),
            Self::RemovedButPresent { .. } => {
                "in `removed` only entries that the file no longer has".to_owned()
            }
            Self::MissingEntry { .. } => {
                "each entry of the version in force, or its name in `removed`".to_owned()
            }
        }
    }

    /// What to do about it.
    pub fn remedy(&self) -> String {
        match self {
            Self::FileTooLarge { .. } => {
                "move what many entries share up to their parent, so that they inherit it"
                    .to_owned()
            }
            Self::Syntax { .. } => "correct the line".to_owned(),
            Self::Unknown { suggestion: Some(name), .. }
            | Self::UnknownPlace { suggestion: Some(name), .. } => format!("write {name}"),
            Self::Unknown { .. } => "delete the entry or use an allowed name".to_owned(),
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
