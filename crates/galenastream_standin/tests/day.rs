//! Files of scenarios are parsed and validated.

use std::{fs, path::Path};

use expect_test::{Expect, expect};
use galenastream_standin::ScenarioPlan;

const HEAD: &str = r#"
name = "a-day"
length_ms = 1_000
warm_up_ms = 0
rate_per_s = 10.0
vms = [{ service = "carts", data_centre = "east", slots = 1, service_time_ms = 1 }]
"#;

fn check_refused(rest: &str, expected: &Expect) {
    let error = ScenarioPlan::parse(&format!("{HEAD}{rest}")).expect_err("the scenario is refused");
    expected.assert_eq(error.to_string().trim_end());
}

#[test]
fn the_scenarios_of_the_repository_are_valid() {
    let folder = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/days");
    let mut count = 0;
    for entry in fs::read_dir(folder).unwrap() {
        let scenario = ScenarioPlan::load(&entry.unwrap().path()).unwrap();
        scenario.load_plan(vec![([127, 0, 0, 1], 1).into()], 1).check().unwrap();
        count += 1;
    }
    assert!(count > 0);
}

#[test]
fn an_invalid_scenario_is_refused() {
    check_refused(
        "traffic = [{ name = \"a\", path = \"/other/\", share_percent = 100.0, deadline_ms = 1 }]",
        &expect!["the path /other/ is not under /carts/, /stock/ or /orders/"],
    );
    check_refused(
        "traffic = []\n[[faults]]\nkind = \"node-killed\"\nvm = 1\nat_ms = 0\nfor_ms = 1\n",
        &expect!["a fault names VM 1, which does not exist; VMs are numbered from 0"],
    );
    check_refused(
        "traffic = []\n[[faults]]\nkind = \"node-lost\"\nat_ms = 0\nfor_ms = 1\n",
        &expect![[r#"
            TOML parse error at line 9, column 8
              |
            9 | kind = "node-lost"
              |        ^^^^^^^^^^^
            unknown variant `node-lost`, expected one of `node-killed`, `node-stopped`, `node-suspended`, `target-replaced`, `target-sheds`, `target-fails`, `target-cuts-answers`, `target-mixes-answers`, `target-slow`, `target-limited`, `store-refuses`, `store-silent`, `store-loses-answers`, `store-late`, `store-slow`, `store-forgets`"#]],
    );
}
