//! Tables of command lines: what is printed, and the exit code.

use std::{path::Path, process::Command};

use expect_test::{Expect, expect};

/// Runs the program and checks its exit code, standard output and standard error.
fn check(arguments: &[&str], expected: &Expect) {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../..");
    let output = Command::new(env!("CARGO_BIN_EXE_galenastreamctl"))
        .args(arguments)
        .env_remove("GALENASTREAM_NODE")
        .env_remove("GALENASTREAM_TABLE_ADDRESS")
        .env_remove("GALENASTREAM_OBJECT_ADDRESS")
        .current_dir(root)
        .output()
        .expect("the program can be run");
    let code = output.status.code().expect("the program ends by itself");
    let text = format!(
        "exit {code}\n{}{}",
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr)
    );
    expected.assert_eq(&without_trailing_spaces(&text));
}

/// The formatter and the update of expectations drop spaces at the end of lines.
fn without_trailing_spaces(text: &str) -> String {
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n") + "\n"
}

#[test]
fn help() {
    check(
        &["--help"],
        &expect![[r#"
            exit 0
            Looks at and steers a galenastream router.

            `settings` talks to the platform, where the settings live. The other commands talk to the admin address of a node; any node of the service will do.

            Usage: galenastreamctl [OPTIONS] <COMMAND>

            Commands:
              settings  Checks, compares, applies, shows and explains the tree of settings
              cells     Lists the cells that a node knows: term, coordinator, witnesses, slices
              owner     Shows which VM owns a key
              targets   Lists the targets that a node knows: slots, slices, and whether they drain
              drain     Takes a target out of service: hands its keys over, then gives it no new work
              move      Moves the slice of a key to another target, as a planned handoff
              cell      Steers a whole cell
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
              4  the platform or the node did not answer; nothing was changed
              5  the answer was lost; it is not known whether the command took effect
        "#]],
    );
}

#[test]
fn no_command_shows_the_help() {
    check(
        &["settings"],
        &expect![[r#"
        exit 2
        Checks, compares, applies, shows and explains the tree of settings

        Usage: galenastreamctl settings [OPTIONS] <COMMAND>

        Commands:
          check    Checks a file without talking to the platform
          diff     Shows what applying a file would change, and whether it would be refused
          apply    Makes a file the next version, or changes nothing
          show     Prints the version in force
          explain  Shows each value of a request and the level it came from
          help     Print this message or the help of the given subcommand(s)

        Options:
              --output <FORMAT>  Lines for people, or one JSON document for programs [default: text] [possible values: text, json]
              --timeout-ms <MS>  How long to wait for each answer [default: 2000]
          -h, --help             Print help
    "#]],
    );
}

#[test]
fn help_of_apply_says_what_is_checked() {
    check(
        &["settings", "apply", "-h"],
        &expect![[r#"
            exit 0
            Makes a file the next version, or changes nothing

            Usage: galenastreamctl settings apply [OPTIONS] --table-address <IP:PORT> --object-address <IP:PORT> <FILE>

            Arguments:
              <FILE>  A tree of settings in TOML

            Options:
                  --output <FORMAT>           Lines for people, or one JSON document for programs [default: text] [possible values: text, json]
                  --table-address <IP:PORT>   Where the platform's table service listens [env: GALENASTREAM_TABLE_ADDRESS=]
                  --object-address <IP:PORT>  Where the platform's object store listens [env: GALENASTREAM_OBJECT_ADDRESS=]
                  --timeout-ms <MS>           How long to wait for each answer [default: 2000]
                  --stopped <SERVICE>         Every node of this service is stopped: it may be removed, and its leases may change
                  --expect <VERSION>          Refuse unless this version is in force; 0 if there is none yet
              -h, --help                      Print help (see more with '--help')
        "#]],
    );
}

#[test]
fn help_of_takeover_says_what_it_does() {
    check(
        &["cell", "takeover", "--help"],
        &expect![[r#"
            exit 0
            Makes a node the coordinator of its cell although too few witnesses answer.

            Use it only after the loss of more than one place, and only when you are sure that the old coordinator and its witnesses are stopped or cut off for good. The node takes the next term in the platform's table, waits until every lease that the old coordinator may have granted has run out, and then assigns the keys of lost VMs anew. The node logs the takeover.

            Usage: galenastreamctl cell takeover [OPTIONS] --node <IP:PORT> --service <SERVICE>

            Options:
                  --node <IP:PORT>
                      The admin address of a node

                      [env: GALENASTREAM_NODE=]

                  --output <FORMAT>
                      Lines for people, or one JSON document for programs

                      [default: text]
                      [possible values: text, json]

                  --service <SERVICE>
                      A service's name

                  --timeout-ms <MS>
                      How long to wait for each answer

                      [default: 2000]

                  --yes
                      Confirm that the missing VMs are gone for good or stopped

              -h, --help
                      Print help (see a summary with '-h')
        "#]],
    );
}

#[test]
fn unknown_command_gets_a_suggestion() {
    check(
        &["onwer", "frame-1"],
        &expect![[r#"
        exit 2
        error: unrecognized subcommand 'onwer'

          tip: a similar subcommand exists: 'owner'

        Usage: galenastreamctl [OPTIONS] <COMMAND>

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn unknown_settings_command_gets_a_suggestion() {
    check(
        &["settings", "aply", "x.toml"],
        &expect![[r#"
        exit 2
        error: unrecognized subcommand 'aply'

          tip: a similar subcommand exists: 'apply'

        Usage: galenastreamctl settings [OPTIONS] <COMMAND>

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn unknown_option_gets_a_suggestion() {
    check(
        &["cells", "--nodes", "127.0.0.1:1"],
        &expect![[r#"
        exit 2
        error: unexpected argument '--nodes' found

          tip: a similar argument exists: '--node'

        Usage: galenastreamctl cells --node <IP:PORT>

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn unknown_output_format() {
    check(
        &["cells", "--node", "127.0.0.1:1", "--output", "yaml"],
        &expect![[r#"
        exit 2
        error: invalid value 'yaml' for '--output <FORMAT>'
          [possible values: text, json]

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn missing_node() {
    check(
        &["targets"],
        &expect![[r#"
        exit 2
        error: the following required arguments were not provided:
          --node <IP:PORT>

        Usage: galenastreamctl targets --node <IP:PORT>

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn names_are_not_looked_up() {
    check(
        &["targets", "--node", "localhost:7401"],
        &expect![[r#"
        exit 2
        error: invalid value 'localhost:7401' for '--node <IP:PORT>': invalid socket address syntax

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn timeout_of_zero() {
    check(
        &["cells", "--node", "127.0.0.1:1", "--timeout-ms", "0"],
        &expect![[r#"
        exit 2
        error: invalid value '0' for '--timeout-ms <MS>': 0 is not in 1..=600000

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn valid_file() {
    check(
        &["settings", "check", "examples/settings/pamplemousses.toml"],
        &expect![[r#"
        exit 0
        examples/settings/pamplemousses.toml: valid, 4 places, 3 services
    "#]],
    );
}

#[test]
fn valid_file_as_json() {
    check(
        &["settings", "check", "examples/settings/halvorsen.toml", "--output", "json"],
        &expect![[r#"
            exit 0
            {
              "file": "examples/settings/halvorsen.toml",
              "places": 3,
              "services": 3,
              "warnings": []
            }
        "#]],
    );
}

#[test]
fn file_with_few_places_is_valid_with_a_warning() {
    check(
        &["settings", "check", "crates/galenastream_ctl/tests/data/few_places.toml"],
        &expect![[r#"
        exit 0
        crates/galenastream_ctl/tests/data/few_places.toml: valid, 2 places, 1 services
        warning: crates/galenastream_ctl/tests/data/few_places.toml: region "default" has 2 of the 3 places that witnesses need; its cells run on the store alone
          remedy: declare a third place in the region, or accept that an outage of the platform stops the granting of leases
    "#]],
    );
}

#[test]
fn file_with_errors() {
    check(
        &["settings", "check", "crates/galenastream_ctl/tests/data/errors.toml"],
        &expect![[r#"
        exit 1
        error: crates/galenastream_ctl/tests/data/errors.toml:2: defaults.lease_s: the unit in the name is wrong or missing
          allowed: lease_ms
          remedy: write lease_ms and convert the value to that unit
        crates/galenastream_ctl/tests/data/errors.toml:5: services.catalogue.slots = 0: a limit of zero would refuse everything
          allowed: a whole number from 1 to 100000
          remedy: write a positive limit, or delete the line to inherit one
    "#]],
    );
}

#[test]
fn file_with_errors_as_json() {
    check(
        &[
            "--output",
            "json",
            "settings",
            "check",
            "crates/galenastream_ctl/tests/data/errors.toml",
        ],
        &expect![[r#"
            exit 1
            {
              "error": {
                "exit_code": 1,
                "message": "crates/galenastream_ctl/tests/data/errors.toml:2: defaults.lease_s: the unit in the name is wrong or missing\n  allowed: lease_ms\n  remedy: write lease_ms and convert the value to that unit\ncrates/galenastream_ctl/tests/data/errors.toml:5: services.catalogue.slots = 0: a limit of zero would refuse everything\n  allowed: a whole number from 1 to 100000\n  remedy: write a positive limit, or delete the line to inherit one",
                "settings_errors": [
                  {
                    "file": "crates/galenastream_ctl/tests/data/errors.toml",
                    "line": 2,
                    "path": "defaults.lease_s",
                    "value": null,
                    "message": "the unit in the name is wrong or missing",
                    "allowed": "lease_ms",
                    "remedy": "write lease_ms and convert the value to that unit"
                  },
                  {
                    "file": "crates/galenastream_ctl/tests/data/errors.toml",
                    "line": 5,
                    "path": "services.catalogue.slots",
                    "value": "0",
                    "message": "a limit of zero would refuse everything",
                    "allowed": "a whole number from 1 to 100000",
                    "remedy": "write a positive limit, or delete the line to inherit one"
                  }
                ]
              }
            }
        "#]],
    );
}

#[test]
fn file_with_errors_is_refused_before_the_platform_is_asked() {
    check(
        &[
            "settings",
            "apply",
            "crates/galenastream_ctl/tests/data/errors.toml",
            "--table-address",
            "127.0.0.1:1",
            "--object-address",
            "127.0.0.1:1",
        ],
        &expect![[r#"
            exit 1
            error: crates/galenastream_ctl/tests/data/errors.toml:2: defaults.lease_s: the unit in the name is wrong or missing
              allowed: lease_ms
              remedy: write lease_ms and convert the value to that unit
            crates/galenastream_ctl/tests/data/errors.toml:5: services.catalogue.slots = 0: a limit of zero would refuse everything
              allowed: a whole number from 1 to 100000
              remedy: write a positive limit, or delete the line to inherit one
        "#]],
    );
}

#[test]
fn missing_file() {
    check(
        &["settings", "check", "examples/settings/none.toml"],
        &expect![[r#"
        exit 1
        error: examples/settings/none.toml: No such file or directory (os error 2)
          remedy: check the path and its permissions
    "#]],
    );
}

#[test]
fn explain_names_the_level_of_each_value() {
    check(
        &[
            "settings",
            "explain",
            "--file",
            "examples/settings/halvorsen.toml",
            "--service",
            "catalog",
            "--place",
            "northwest-2",
            "--key",
            "popular/chess",
        ],
        &expect![[r#"
            exit 0
            divided_by_key = true                                 # service [services.catalog], line 40
            initial_slices = 192                                  # service [services.catalog], line 42
            slots = 6                                             # root [defaults], line 6
            connections = 110                                     # root [defaults], line 7
            connect_timeout_ms = 20                               # root [defaults], line 9
            request_deadline_ms = 400                             # key range [services.catalog.key_ranges.popular], line 51
            max_deadline_ms = 10000                               # root [defaults], line 11
            max_body_bytes = 1048576                              # built-in
            max_key_bytes = 512                                   # built-in
            queue_limit = 30                                      # root [defaults], line 12
            queue_wait_ms = 40                                    # key range [services.catalog.key_ranges.popular], line 52
            classes = [{ name = "payment", priority = 90 }, { name = "enrolment", priority = 80 }, { name = "roster", priority = 60 }, { name = "listing", priority = 30 }, { name = "attendance", priority = 10 }]  # root [defaults], line 16
            default_class = "listing"                             # root [defaults], line 23
            idempotent_methods = ["GET", "HEAD"]                  # built-in
            retry_budget_percent = 10                             # built-in
            retry_after_ms = 500                                  # key range [services.catalog.key_ranges.popular], line 53
            breaker_failures_in_row = 8                           # built-in
            breaker_open_ms = 1000                                # built-in
            ramp_up_ms = 10000                                    # built-in
            drain_ms = 4000                                       # root [defaults], line 24
            order_limit_ms = 1000                                 # built-in
            lease_ms = 600                                        # built-in
            beat_ms = 150                                         # built-in
            promise_ms = 250                                      # built-in
            promise_beat_ms = 60                                  # built-in
            store_term_ms = 2000                                  # built-in
            store_timeout_ms = 500                                # built-in
            planner_imbalance_percent = 10                        # root [defaults], line 25
            planner_unavailable_percent = 90                      # root [defaults], line 26
            planner_churn_budget_percent_per_minute = 2           # built-in
            planner_churn_burst_percent = 10                      # built-in
            planner_minimum_stay_ms = 300000                      # root [defaults], line 27
            planner_smoothing_ms = 5000                           # built-in
            planner_slices_per_member = 64                        # built-in
            ticket_kept_ms = 60000                                # built-in
            ticket_limit = 100000                                 # built-in
        "#]],
    );
}

#[test]
fn explain_unknown_service_gets_a_suggestion() {
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
            error: unknown service "catalogue"
              allowed: catalog, enrolment, rosters
              remedy: write catalog
        "#]],
    );
}

#[test]
fn explain_unknown_place() {
    check(
        &[
            "settings",
            "explain",
            "--file",
            "examples/settings/halvorsen.toml",
            "--service",
            "catalog",
            "--place",
            "mars",
        ],
        &expect![[r#"
            exit 1
            error: unknown place "mars"
              allowed: northwest-1, northwest-2, northwest-3
              remedy: use one of the known names
        "#]],
    );
}

#[test]
fn explain_needs_a_file_or_the_platform() {
    check(
        &["settings", "explain", "--service", "catalog"],
        &expect![[r#"
        exit 2
        error: the following required arguments were not provided:
          --table-address <IP:PORT>
          --object-address <IP:PORT>

        Usage: galenastreamctl settings explain --service <SERVICE> --table-address <IP:PORT> --object-address <IP:PORT>

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn platform_that_does_not_answer() {
    check(
        &["settings", "show", "--table-address", "127.0.0.1:1", "--object-address", "127.0.0.1:1"],
        &expect![[r#"
            exit 4
            error: the platform did not answer (http://127.0.0.1:1: sending request error to addr 127.0.0.1:1: Connection refused (os error 111)); nothing was changed
              remedy: check --table-address and --object-address, and try again when the platform answers
        "#]],
    );
}

#[test]
fn node_that_does_not_answer() {
    check(
        &["owner", "frame-1", "--service", "catalogue", "--node", "127.0.0.1:1"],
        &expect![[r#"
        exit 4
        error: node 127.0.0.1:1 did not answer (sending request error to addr 127.0.0.1:1: Connection refused (os error 111))
          remedy: check --node, or ask another node; any node of the service knows the same
    "#]],
    );
}

#[test]
fn node_that_does_not_answer_as_json() {
    check(
        &["cells", "--node", "127.0.0.1:1", "--output", "json"],
        &expect![[r#"
        exit 4
        {
          "error": {
            "exit_code": 4,
            "message": "node 127.0.0.1:1 did not answer (sending request error to addr 127.0.0.1:1: Connection refused (os error 111))\n  remedy: check --node, or ask another node; any node of the service knows the same"
          }
        }
    "#]],
    );
}

#[test]
fn drain_takes_the_address_of_a_vm() {
    check(
        &["drain", "target-1", "--node", "127.0.0.1:1"],
        &expect![[r#"
        exit 2
        error: invalid value 'target-1' for '<TARGET>': invalid IPv4 socket address syntax

        For more information, try '--help'.
    "#]],
    );
}

#[test]
fn takeover_asks_for_a_confirmation() {
    check(
        &["cell", "takeover", "--service", "catalogue", "--node", "127.0.0.1:1"],
        &expect![[r#"
        exit 1
        error: nothing was done: the command needs a confirmation

        Makes a node the coordinator of its cell although too few witnesses answer.

        Use it only after the loss of more than one place, and only when you are sure that the old coordinator and its witnesses are stopped or cut off for good. The node takes the next term in the platform's table, waits until every lease that the old coordinator may have granted has run out, and then assigns the keys of lost VMs anew. The node logs the takeover.
          remedy: repeat the command with --yes if this is what you want
    "#]],
    );
}
