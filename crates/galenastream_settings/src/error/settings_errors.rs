//! Lists of errors of a tree.

use std::fmt;

use serde::Serialize;

use crate::SettingsError;

/// All errors of a tree, sorted by line and path, without duplicates. Never empty.
#[derive(Debug, Clone, PartialEq, Serialize)]
#[serde(transparent)]
pub struct SettingsErrors {
    errors: Vec<SettingsError>,
}

impl SettingsErrors {
    /// Returns an error unless the list is empty.
    pub(crate) fn check(errors: Vec<SettingsError>) -> Result<(), Self> {
        if errors.is_empty() { Ok(()) } else { Err(Self::new(errors)) }
    }

    pub(crate) fn new(mut errors: Vec<SettingsError>) -> Self {
        errors.sort_by(|a, b| (a.line, &a.path).cmp(&(b.line, &b.path)));
        errors.dedup();
        Self { errors }
    }

    /// Returns the errors, sorted by line and path.
    pub fn iter(&self) -> impl Iterator<Item = &SettingsError> {
        self.errors.iter()
    }
}

impl std::error::Error for SettingsErrors {}

impl fmt::Display for SettingsErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (position, error) in self.errors.iter().enumerate() {
            if position > 0 {
                writeln!(f)?;
            }
            error.fmt(f)?;
        }
        Ok(())
    }
}
