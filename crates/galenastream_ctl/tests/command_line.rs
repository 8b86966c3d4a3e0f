//! Tables of command lines: what is printed, and the exit code.

use std::{path::Path, process::Command};

use expect_test::{Expect, expect};

/// Runs the program and checks its exit code, standard output and standard error.
fn check(arguments: &[&str], expected: &Expect) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(env!("CARGO_BIN_EXE_galenastreamctl"))
        .args(arguments)
        .env_remove("GALENASTREAM_STORE")
        .current_dir(root)
        .output()
        .expect("the program can be run");
    let code = output.status.code().expect("the program ends by itself");
    let text = format!(
        "exit {code}\n{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    // The formatter and the update of expectations drop spaces at the end of lines.
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    expected.assert_eq(&(lines.join("\n") + "\n"));
}

#[test]
fn help() {
    check(
        &["--help"],
        &expect![[r#"
        exit 0
        Looks at and steers a galenastream router.

        Settings, owners and nodes are read from the platform's store; `members` also asks each node. `trace` reads log files alone.

        Usage: galenastreamctl [OPTIONS] <COMMAND>

        Commands:
          settings  Checks, compares, applies, shows and explains the tree of settings
          config    Checks and explains the config of routes and services
          ranges    Shows which target owns which keys, under which fencing token, and what moves
          members   Lists the nodes: target, config and settings in force, roles, leases, drain state
          trace     Follows a request by its id through the logs of nodes
          help      Print this message or the help of the given subcommand(s)

        Options:
              --output <FORMAT>
                  Lines for people, or one JSON document for programs

                  [default: text]
                  [possible values: text, json]

              --timeout-ms <MS>
                  How long to wait for each answer

                  [default: 2000]

          -h, --help
                  Print help (see a summary with '-h')

          -V, --version
                  Print version

        Exit codes:
          0  done
          1  refused or failed; nothing was changed
          2  the command line is wrong
          3  conflict: another operator was first; nothing was changed
          4  the store did not answer; nothing was changed
          5  the answer was lost; it is not known whether the command took effect
    "#]],
    );
}

#[test]
fn what_is_missing_or_wrong_on_the_command_line_ends_with_code_2() {
    check(
        &["settings", "apply", "examples/settings/halvorsen.toml"],
        &expect![[r#"
        exit 2
        error: the following required arguments were not provided:
          --store <IP:PORT>

        Usage: galenastreamctl settings apply --store <IP:PORT> <FILE>

        For more information, try '--help'.
    "#]],
    );
    check(
        &["ranges", "--store", "127.0.0.1:1", "--key", "65536"],
        &expect![[r#"
        exit 2
        error: invalid value '65536' for '--key <KEY>': 65536 is not in 0..=65535

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn a_valid_tree_passes_its_check() {
    check(
        &["settings", "check", "examples/settings/halvorsen.toml"],
        &expect![[r#"
        exit 0
        examples/settings/halvorsen.toml: valid, 3 places, 2 services
    "#]],
    );
    check(
        &["--output", "json", "settings", "check", "examples/settings/pamplemousses.toml"],
        &expect![[r#"
            exit 0
            {
              "file": "examples/settings/pamplemousses.toml",
              "places": 4,
              "services": 2
            }
        "#]],
    );
}

#[test]
fn values_are_explained_by_the_level_that_set_them() {
    check(
        &[
            "settings",
            "explain",
            "--file",
            "examples/settings/halvorsen.toml",
            "--service",
            "catalog",
            "--place",
            "pnw-a",
            "--key",
            "7",
        ],
        &expect![[r#"
            exit 0
            queue_per_slot = 4                                    # built-in
            hold_percent = 50                                     # service [services.catalog], line 15
            retry_after_ms = 200                                  # key range [services.catalog.key_ranges.popular], line 25
            retry_budget_percent = 45                             # built-in
            remote_penalty_percent = 25                           # built-in
            log_lines_per_s = 400                                 # built-in
            planner_imbalance_percent = 150                       # root [defaults], line 6
            planner_busy_percent = 55                             # built-in
            planner_moves_per_round = 3                           # root [defaults], line 7
            planner_round_ms = 1000                               # built-in
        "#]],
    );
    check(
        &[
            "settings",
            "explain",
            "--file",
            "examples/settings/halvorsen.toml",
            "--service",
            "catalogue",
        ],
        &expect![[r#"
            exit 1
            error: there is no service catalogue
              known: catalog, enrolment
              remedy: write catalog
        "#]],
    );
}

#[test]
fn a_file_that_is_not_there_or_not_a_tree_is_refused() {
    check(
        &["settings", "check", "nowhere.toml"],
        &expect![[r#"
        exit 1
        error: nowhere.toml: No such file or directory (os error 2)
          remedy: check the path and its permissions
    "#]],
    );
    check(
        &["--output", "json", "settings", "check", "README.md"],
        &expect![[r#"
        exit 1
        {
          "error": {
            "exit_code": 1,
            "message": "README.md:3: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:4: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:5: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:7: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:8: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:9: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:13: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:14: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:16: not valid TOML: missing value for key, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:18: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:20: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:24: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:25: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:26: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:27: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:28: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:29: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:30: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:31: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:32: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:33: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:34: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:35: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:36: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:37: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:38: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:39: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:40: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:41: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:42: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:43: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:45: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:46: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:47: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:48: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:52: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:53: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:54: not valid TOML: unexpected key or value, expected newline, `#`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:55: not valid TOML: unexpected key or value, expected newline, `#`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:56: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:58: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:60: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:64: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:65: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:66: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:67: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:71: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:72: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:73: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:74: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:75: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:76: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:77: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:78: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:79: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:80: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:81: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:82: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:83: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:84: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:88: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:89: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:90: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:91: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:92: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:93: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:94: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:95: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line\nREADME.md:96: not valid TOML: key with no value, expected `=`\n  allowed: a document as described at https://toml.io\n  remedy: correct the line",
            "settings_errors": [
              {
                "file": "README.md",
                "line": 3,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 4,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 5,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 7,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 8,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 9,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 13,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 14,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 16,
                "path": "",
                "value": null,
                "message": "not valid TOML: missing value for key, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 18,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 20,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 24,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 25,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 26,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 27,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 28,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 29,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 30,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 31,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 32,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 33,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 34,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 35,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 36,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 37,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 38,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 39,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 40,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 41,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 42,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 43,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 45,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 46,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 47,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 48,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 52,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 53,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 54,
                "path": "",
                "value": null,
                "message": "not valid TOML: unexpected key or value, expected newline, `#`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 55,
                "path": "",
                "value": null,
                "message": "not valid TOML: unexpected key or value, expected newline, `#`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 56,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 58,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 60,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 64,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 65,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 66,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 67,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 71,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 72,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 73,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 74,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 75,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 76,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 77,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 78,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 79,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 80,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 81,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 82,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 83,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 84,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 88,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 89,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 90,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 91,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 92,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 93,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 94,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 95,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              },
              {
                "file": "README.md",
                "line": 96,
                "path": "",
                "value": null,
                "message": "not valid TOML: key with no value, expected `=`",
                "allowed": "a document as described at https://toml.io",
                "remedy": "correct the line"
              }
            ]
          }
        }
    "#]],
    );
    check(
        &["config", "check", "--file", "Cargo.toml"],
        &expect![[r#"
        exit 1
        error: nodes would refuse the config: the document cannot be decoded (expected value at line 1 column 2); correct it at its writer
    "#]],
    );
}

#[test]
fn a_store_that_does_not_answer_ends_with_code_4() {
    check(
        &["members", "--store", "127.0.0.1:1"],
        &expect![[r#"
        exit 4
        error: the store at 127.0.0.1:1 did not answer (the store did not respond (the request was not sent (Connection refused (os error 111)); it may be sent again on another connection); read the row to learn what was written); nothing was changed
          remedy: check --store, and try again when the store answers
    "#]],
    );
}

#[test]
fn a_request_that_no_log_names_is_not_traced() {
    check(
        &["trace", "id-1", "README.md"],
        &expect![[r#"
        exit 1
        error: no line of the 1 logs names id-1
          remedy: give the log of the node on the caller's VM first; lines about requests are bounded, and `request_lines_dropped` tells when some were left out
    "#]],
    );
}
