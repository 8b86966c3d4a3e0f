//! Files of scenarios are parsed and validated, and the scenarios of the soak are drawn from seeds.

use std::{collections::BTreeSet, fs, path::Path, time::Duration};

use expect_test::{Expect, expect};
use galenastream_standin::{ScenarioFault, ScenarioFaultKind, ScenarioPlan, SoakSeed};

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
        &expect!["the path /other/ is not under /carts/, /stock/, /orders/ or /added-N/"],
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
            unknown variant `node-lost`, expected one of `node-killed`, `node-stopped`, `node-suspended`, `target-replaced`, `target-sheds`, `target-fails`, `target-cuts-answers`, `target-mixes-answers`, `target-unsigned`, `target-slow`, `target-limited`, `store-refuses`, `store-silent`, `store-loses-answers`, `store-late`, `store-slow`, `store-forgets`, `store-restored`, `config-changed`, `link-delayed`, `link-reset`, `link-cut-to-server`, `link-cut-to-client`, `link-silent`, `link-endless-head`, `link-endless-body`, `node-cut`, `target-stopped`, `heartbeats-late`, `calls-late`, `store-stale`, `store-deaf`"#]],
    );
}

#[test]
fn a_seed_of_the_soak_always_gives_the_same_scenario() {
    assert_eq!(ScenarioPlan::soak(5, 12), ScenarioPlan::soak(5, 12));
    assert_ne!(ScenarioPlan::soak(5, 12), ScenarioPlan::soak(6, 12));
}

#[test]
fn the_seeds_of_the_soak_draw_valid_scenarios_with_every_fault() {
    let mut kinds = BTreeSet::new();
    let mut links = BTreeSet::new();
    for seed in 1..=50 {
        let scenario = ScenarioPlan::soak(seed, 12);
        scenario.load_plan(vec![([127, 0, 0, 1], 1).into()], seed).check().unwrap();
        assert!((4..=12).contains(&scenario.vms.len()));
        for fault in &scenario.faults {
            assert!(fault.vm < scenario.vms.len(), "{fault:?}");
            // The rest of the traffic shows whether the deployment recovers.
            assert!(fault.end() + Duration::from_secs(15) < scenario.length, "{fault:?}");
            kinds.insert(format!("{:?}", fault.kind));
            links.extend(fault.link.map(|it| format!("{it:?}")));
        }
    }
    assert_eq!(kinds.len(), 26, "{kinds:?}");
    assert_eq!(links.len(), 5, "{links:?}");
}

#[test]
fn the_seeds_of_the_ownership_soak_draw_valid_scenarios_with_every_fault() {
    assert_eq!(ScenarioPlan::ownership_soak(5, 6), ScenarioPlan::ownership_soak(5, 6));
    let mut kinds = BTreeSet::new();
    let mut series = 0;
    for seed in 1..=50 {
        let scenario = ScenarioPlan::ownership_soak(seed, 6);
        scenario.load_plan(vec![([127, 0, 0, 1], 1).into()], seed).check().unwrap();
        assert!((3..=6).contains(&scenario.vms.len()));
        for fault in &scenario.faults {
            assert!(fault.vm < scenario.vms.len(), "{fault:?}");
            assert!(fault.end() + Duration::from_secs(20) <= scenario.length, "{fault:?}");
            kinds.insert(format!("{:?}", fault.kind));
        }
        let is_lost_twice = |vm| {
            let is_loss = |it: &&ScenarioFault| {
                it.vm == vm && it.kind == ScenarioFaultKind::NodeCut && it.length.as_secs() >= 4
            };
            scenario.faults.iter().filter(is_loss).count() >= 2
        };
        series += usize::from((0..scenario.vms.len()).any(is_lost_twice));
    }
    assert_eq!(kinds.len(), 12, "{kinds:?}");
    assert!(series >= 40, "{series}");
}

#[test]
fn the_seeds_of_the_crash_soak_draw_valid_scenarios_in_which_crashes_are_remembered() {
    assert_eq!(ScenarioPlan::crash_soak(5, 6), ScenarioPlan::crash_soak(5, 6));
    let mut kinds = BTreeSet::new();
    let mut total_restarts = 0;
    for seed in 1..=50 {
        let scenario = ScenarioPlan::crash_soak(seed, 6);
        scenario.load_plan(vec![([127, 0, 0, 1], 1).into()], seed).check().unwrap();
        assert!((4..=6).contains(&scenario.vms.len()));
        for fault in &scenario.faults {
            assert!(fault.vm < scenario.vms.len(), "{fault:?}");
            assert!(fault.end() + Duration::from_secs(20) <= scenario.length, "{fault:?}");
            kinds.insert(format!("{:?}", fault.kind));
        }
        let is_store_fault = |it: &ScenarioFault| {
            matches!(it.kind, ScenarioFaultKind::StoreSilent | ScenarioFaultKind::StoreRefuses)
        };
        let is_of_first_node =
            |it: &ScenarioFault| it.vm == 0 && it.kind != ScenarioFaultKind::TargetReplaced;
        match scenario.faults.iter().any(is_store_fault) {
            // The node of the first VM remembers.
            true => {
                let mut faults = scenario.faults.iter().filter(|it| !is_store_fault(it));
                assert!(!faults.any(is_of_first_node), "{scenario:?}");
            }
            // The store remembers.
            false => {
                let is_killed = |vm| {
                    let is_kill = |it: &ScenarioFault| {
                        it.vm == vm && it.kind == ScenarioFaultKind::NodeKilled
                    };
                    scenario.faults.iter().any(is_kill)
                };
                total_restarts += usize::from((0..scenario.vms.len()).all(is_killed));
            }
        }
    }
    assert_eq!(kinds.len(), 10, "{kinds:?}");
    assert!(total_restarts >= 5, "{total_restarts}");
}

#[test]
fn the_list_of_failed_seeds_names_a_cause_for_each() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples/soak/seeds.toml");
    for seed in SoakSeed::load_all(&file).unwrap() {
        assert!(!seed.cause.is_empty(), "{seed:?}");
    }
}
