//! When statements of other VMs that a target gives them no reports take it out of use.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use path::{Agreement, MissedReports, engines_to_ask};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use site::TargetKey;
use yare::parameterized;

fn vm(number: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (number >> 8) as u8, number as u8], 7000))
}

fn target(number: usize) -> TargetKey {
    format!("target-{number}").into()
}

struct Case {
    /// Number of VMs.
    vms: usize,
    /// Number of VMs that miss the reports of the target.
    witnesses: usize,
    expected: Agreement,
}

// Guards against targets left out by all VMs because one of many VMs is late, and against lost ones
// that a small fleet finds later than before.
#[parameterized(
    alone = { Case { vms: 1, witnesses: 1, expected: Agreement::Silent } },
    small_fleet = { Case { vms: 4, witnesses: 1, expected: Agreement::Silent } },
    medium_fleet = { Case { vms: 32, witnesses: 1, expected: Agreement::Silent } },
    one_of_many = { Case { vms: 97, witnesses: 2, expected: Agreement::Suspected } },
    enough_of_many = { Case { vms: 97, witnesses: 3, expected: Agreement::Silent } },
    few_of_a_large_fleet = { Case { vms: 620, witnesses: 7, expected: Agreement::Suspected } },
    enough_of_a_large_fleet = { Case { vms: 620, witnesses: 8, expected: Agreement::Silent } },
)]
fn more_vms_must_agree_in_larger_fleets(case: Case) {
    let mut missed = MissedReports::default();
    let mut last = Vec::new();
    for witness in 0..case.witnesses {
        last = missed.record(vm(witness), &[target(0)], case.vms);
    }
    assert_eq!(last, [(target(0), case.expected)]);
}

struct Withdrawal {
    /// Statements in order: the VM, and whether it misses the reports.
    statements: &'static [(usize, bool)],
    expected: Agreement,
}

// Guards against false statements that count on after they have been withdrawn, and against one VM
// that counts more than once.
#[parameterized(
    repeated = { Withdrawal { statements: &[(1, true), (1, true), (1, true)], expected: Agreement::Suspected } },
    withdrawn = { Withdrawal { statements: &[(1, true), (2, true), (1, false), (3, true)], expected: Agreement::Suspected } },
    stated_again = { Withdrawal { statements: &[(1, true), (1, false), (2, true), (3, true), (1, true)], expected: Agreement::Silent } },
)]
fn only_latest_statements_count(case: Withdrawal) {
    let mut missed = MissedReports::default();
    let mut last = Vec::new();
    for (witness, misses) in case.statements {
        let targets = if *misses { vec![target(0)] } else { Vec::new() };
        last = missed.record(vm(*witness), &targets, 97);
    }
    assert_eq!(last, [(target(0), case.expected)]);
}

/// Number of targets.
const TARGETS: usize = 90;
/// Rounds of statements of all VMs, one every 150 ms: a minute.
const ROUNDS: usize = 400;
/// Probability that a VM is late in a round, and misses the reports of a path's engines.
const LATE: f64 = 0.005;
/// Engines of one path.
const PATH: usize = 18;

/// Returns how often targets are taken out of use in a minute by statements of late VMs.
fn false_alarms(vms: usize) -> usize {
    let mut rng = SmallRng::seed_from_u64(7);
    let mut missed = MissedReports::default();
    let mut stated: BTreeMap<usize, Vec<TargetKey>> = BTreeMap::new();
    let mut alarms = 0;
    for _ in 0..ROUNDS {
        for witness in 0..vms {
            if rng.random::<f64>() < LATE {
                let first = rng.random_range(0..TARGETS);
                let path = (first..first + PATH).map(|number| target(number % TARGETS)).collect();
                stated.insert(witness, path);
            } else if stated.remove(&witness).is_none() {
                continue;
            }
            let targets = stated.get(&witness).cloned().unwrap_or_default();
            let agreements = missed.record(vm(witness), &targets, vms);
            alarms += agreements.iter().filter(|(_, a)| *a == Agreement::Silent).count();
        }
    }
    alarms
}

// Guards against false alarms that each VM gets more of the more VMs there are.
#[parameterized(thirty = { 30 }, hundred = { 100 }, three_hundred = { 300 })]
fn false_alarms_do_not_grow_with_the_fleet(vms: usize) {
    let (few, many) = (false_alarms(10), false_alarms(vms));
    // A fleet of up to 32 VMs acts on each statement, as one of ten does.
    let allowed = few * vms.min(32) / 10 * 12 / 10;
    assert!(many <= allowed, "{many} false alarms a minute of {vms} VMs, {few} of 10");
}

struct Asked {
    /// Engines of the path.
    stages: usize,
    vms: usize,
    expected: usize,
}

// Guards against many VMs that ask all engines of a long path at once and are late for it, and
// against engines that too few VMs ask for enough of them to agree.
#[parameterized(
    small_fleet = { Asked { stages: 18, vms: 4, expected: 18 } },
    medium_fleet = { Asked { stages: 9, vms: 32, expected: 9 } },
    large_fleet = { Asked { stages: 18, vms: 97, expected: 6 } },
    short_path = { Asked { stages: 3, vms: 97, expected: 3 } },
    largest_fleet = { Asked { stages: 18, vms: 620, expected: 4 } },
)]
fn larger_fleets_share_the_questions(case: Asked) {
    assert_eq!(engines_to_ask(case.stages, case.vms), case.expected);
    // Half of the VMs with streams on the path suffice for an agreement.
    let witnesses = case.vms * case.expected / case.stages / 2;
    let mut missed = MissedReports::default();
    let last =
        (0..witnesses.max(1)).map(|witness| missed.record(vm(witness), &[target(0)], case.vms));
    assert_eq!(last.last(), Some(vec![(target(0), Agreement::Silent)]));
}
