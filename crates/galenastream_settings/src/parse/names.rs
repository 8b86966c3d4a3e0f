//! Checks of names and their ids.

use galenastream_ownership::FastMap;

use crate::{SettingsErrorKind, parse::document::Document};

const MAX_NAME_BYTES: usize = 63;

/// Names with their ids, to find two with the same id.
#[derive(Debug, Default)]
pub(crate) struct NameIds {
    names: FastMap<u32, String>,
}

impl NameIds {
    /// Records a name, and refuses it if another has the same id.
    pub(crate) fn insert(
        &mut self,
        document: &mut Document<'_>,
        line: usize,
        path: &str,
        name: &str,
        id: u32,
    ) {
        if let Some(other) = self.names.get(&id) {
            document.refuse(line, path, SettingsErrorKind::SameId { other: other.clone() });
            return;
        }
        self.names.insert(id, name.to_owned());
    }
}

/// Refuses a name that cannot stand in a URL path or a header.
pub(crate) fn check_name(document: &mut Document<'_>, line: usize, path: &str, name: &str) {
    if !is_usable(name) {
        document.refuse(line, path, SettingsErrorKind::BadName);
    }
}

pub(crate) fn is_usable(name: &str) -> bool {
    let starts_with_letter = name.starts_with(|first: char| first.is_ascii_lowercase());
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    starts_with_letter && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}
