//! Parses and validates the TOML document of a tree.

mod document;
mod field_reader;
mod key_ranges;
mod names;
mod place_reader;
mod removed_reader;
mod service_reader;
mod suggestion;
mod tree_reader;
mod value_reader;

pub use suggestion::suggest;
pub(crate) use tree_reader::parse_tree;
