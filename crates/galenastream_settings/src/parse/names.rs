//! Validation of names.

use crate::{SettingsErrorKind, parse::document::Document};

const MAX_NAME_BYTES: usize = 63;

/// Reports an error if a name is not valid in a URL path or a header.
pub(crate) fn check_name(document: &mut Document<'_>, line: usize, path: &str, name: &str) {
    if !is_valid_name(name) {
        document.report_error(line, path, SettingsErrorKind::InvalidName);
    }
}

fn is_valid_name(name: &str) -> bool {
    let starts_with_letter = name.starts_with(|first: char| first.is_ascii_lowercase());
    let is_allowed = |byte: u8| byte.is_ascii_lowercase() || byte.is_ascii_digit() || byte == b'-';
    starts_with_letter && name.len() <= MAX_NAME_BYTES && name.bytes().all(is_allowed)
}
