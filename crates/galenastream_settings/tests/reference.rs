//! Compares the reference page of the fields with the table in the code.

use expect_test::expect_file;
use galenastream_settings::{FIELDS, SettingsTree};

#[test]
fn reference_page_agrees_with_the_table_of_fields() {
    expect_file!["../../../docs/settings-fields.md"].assert_eq(&reference_page());
}

#[test]
fn examples_on_the_settings_page_are_valid() {
    let page = include_str!("../../../docs/settings.md");
    let mut examples = 0;
    for part in page.split("```toml\n").skip(1) {
        let (toml, _) = part.split_once("```").expect("the block has an end");
        if let Err(errors) = SettingsTree::parse("settings.md", toml) {
            panic!("{errors}");
        }
        examples += 1;
    }
    assert!(examples > 0);
}

fn reference_page() -> String {
    let mut page = String::from(
        "# Fields of the settings\n\n\
         This page is written by `UPDATE_EXPECT=1 cargo test -p galenastream_settings --test \
         reference` from the table in the code. [settings.md](settings.md) tells how fields are \
         inherited and how a tree is applied.\n\n",
    );
    for spec in FIELDS {
        page.push_str(&format!(
            "## `{}`\n\n{}\n\n- takes {}\n- default `{}`\n- set at the levels from root to {}\n\n",
            spec.name, spec.description, spec.kind, spec.default, spec.lowest_level,
        ));
    }
    page.truncate(page.trim_end().len());
    page.push('\n');
    page
}
