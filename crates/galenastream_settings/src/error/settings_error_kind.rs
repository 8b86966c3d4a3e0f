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
    BadName,
    /// Two names whose ids are the same.
    #[error("the name has the same id as {other:?}")]
    SameId {
        /// The other name.
        other: String,
    },
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
    #[error("the key range needs either key_prefix, or first_key or last_key or both")]
    KeyRangeBounds,
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
    /// Key ranges in a service that is not divided by key.
    #[error("the service is not divided by key, so it has no key ranges")]
    NotDividedByKey,
    /// Two classes with the same name.
    #[error("the class {name:?} is listed twice")]
    DuplicateClass {
        /// The name.
        name: String,
    },
    /// The default class is not among the classes.
    #[error("the class is not one of the service's classes")]
    UnknownClass {
        /// The classes.
        classes: Vec<String>,
    },
    /// Not an HTTP method.
    #[error("{method:?} is not an HTTP method")]
    BadMethod {
        /// The text.
        method: String,
    },
    /// A duration that must be a multiple of another.
    #[error("{duration} = {duration_ms} is less than {factor} times {interval} = {interval_ms}")]
    TooFewIntervals {
        /// The duration that is too short.
        duration: &'static str,
        /// Its value.
        duration_ms: i64,
        /// The interval that must pass several times within it.
        interval: &'static str,
        /// Its value.
        interval_ms: i64,
        /// How many times.
        factor: i64,
    },
    /// A value that must lie below or at another.
    #[error("{upper} = {upper_value} is too high for {limit} = {limit_value}")]
    AboveOther {
        /// The field that is too high.
        upper: &'static str,
        /// Its value.
        upper_value: i64,
        /// The field that bounds it.
        limit: &'static str,
        /// Its value.
        limit_value: i64,
        /// Whether both may be equal.
        equal_allowed: bool,
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
    Vanished {
        /// Its old value.
        old_value: String,
        /// The source of the version in force.
        old_source: String,
        /// The line there.
        old_line: usize,
    },
    /// A field on which all nodes of a running service must agree was changed.
    #[error("the value cannot change from {old_value} while the service runs")]
    FixedWhileRunning {
        /// The field.
        field: &'static str,
        /// The service.
        service: String,
        /// The value in force.
        old_value: String,
    },
    /// A service was removed that may be running.
    #[error("the service cannot be removed while it runs")]
    RemovedWhileRunning {
        /// The service.
        service: String,
    },
}

impl SettingsErrorKind {
    /// What is allowed instead.
    pub fn allowed(&self) -> String {
        match self {
            Self::FileTooLarge { max_bytes, .. } => format!("at most {max_bytes} bytes"),
            Self::Syntax { .. } => "a document as described at https://toml.io".to_owned(),
            Self::Unknown { allowed, .. } => allowed.join(", "),
            Self::WrongUnit { expected } => (*expected).to_owned(),
            Self::UnitInValue { kind, .. }
            | Self::ZeroLimit { kind }
            | Self::OutOfBounds { kind } => kind.to_string(),
            Self::WrongType { expected, .. } => expected.clone(),
            Self::WrongLevel { lowest, .. } => format!("at the levels from root to {lowest}"),
            Self::BadName => {
                "1 to 63 of the characters a-z, 0-9 and -, the first one a letter".to_owned()
            }
            Self::SameId { .. } => "names with different ids".to_owned(),
            Self::UnknownPlace { declared, .. } | Self::UnknownKeyRange { declared } => {
                list_or_none(declared)
            }
            Self::KeyRangeBounds => {
                "key_prefix = \"…\", or first_key = \"…\" and last_key = \"…\"".to_owned()
            }
            Self::EmptyKeyRange => "a first_key that is not behind last_key".to_owned(),
            Self::OverlappingKeyRanges { .. } => "key ranges without a common key".to_owned(),
            Self::NotDividedByKey => "key ranges where divided_by_key = true".to_owned(),
            Self::DuplicateClass { .. } => "each class once".to_owned(),
            Self::UnknownClass { classes } => list_or_none(classes),
            Self::BadMethod { .. } => FieldKind::Methods.to_string(),
            Self::TooFewIntervals { duration, interval_ms, factor, .. } => {
                format!("{duration} = {} or more", interval_ms.saturating_mul(*factor))
            }
            Self::AboveOther { upper, limit_value, equal_allowed: true, .. } => {
                format!("{upper} = {limit_value} or less")
            }
            Self::AboveOther { upper, limit_value, equal_allowed: false, .. } => {
                format!("{upper} below {limit_value}")
            }
            Self::RemovedButPresent { .. } => {
                "in `removed` only entries that the file no longer has".to_owned()
            }
            Self::FixedWhileRunning { field, old_value, .. } => format!("{field} = {old_value}"),
            Self::RemovedWhileRunning { .. } => "services of which no node runs".to_owned(),
            Self::Vanished { .. } => {
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
            Self::BadName => "rename the entry".to_owned(),
            Self::SameId { .. } => "rename one of the two".to_owned(),
            Self::UnknownPlace { .. } => "declare it as [places.NAME]".to_owned(),
            Self::UnknownKeyRange { .. } => {
                "declare the range with its bounds as [services.SERVICE.key_ranges.NAME]".to_owned()
            }
            Self::KeyRangeBounds => "give the range one kind of bounds".to_owned(),
            Self::EmptyKeyRange => "swap the two keys".to_owned(),
            Self::OverlappingKeyRanges { .. } => {
                "narrow one of the two, or put their settings into one range".to_owned()
            }
            Self::NotDividedByKey => {
                "delete the key ranges, or set divided_by_key = true for the service".to_owned()
            }
            Self::DuplicateClass { .. } => "delete or rename one of the two".to_owned(),
            Self::UnknownClass { .. } => {
                "set default_class to one of the classes, or add the class".to_owned()
            }
            Self::BadMethod { .. } => "write the method in capital letters".to_owned(),
            Self::TooFewIntervals { duration, interval, .. } => {
                format!("raise {duration} or lower {interval}")
            }
            Self::AboveOther { upper, limit, .. } => format!("lower {upper} or raise {limit}"),
            Self::RemovedButPresent { .. } => {
                "delete the entry itself, or take its name out of `removed`".to_owned()
            }
            Self::RemovedWhileRunning { service } => {
                format!("stop every node of the service, and apply with `--stopped {service}`")
            }
            Self::FixedWhileRunning { service, .. } => format!(
                "keep the value; or stop every node of the service, apply with `--stopped {service}`, and start the nodes"
            ),
            Self::Vanished { .. } => {
                "put the entry back, or add its name to `removed` at the top of the file".to_owned()
            }
        }
    }
}

fn list_or_none(names: &[String]) -> String {
    if names.is_empty() { "none is declared".to_owned() } else { names.join(", ") }
}
