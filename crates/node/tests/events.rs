//! docs/EVENTS.md agrees with the tables of all crates.
//!
//! `MAGNOLIA_WRITE=1 cargo test -p node --test events` writes it anew.

use std::collections::BTreeSet;
use std::fmt::Write as _;
use std::path::Path;
use std::{env, fs};

use fleet::EventKind;

/// Crates with the first number of their hundred, in the order of the catalogue.
const CRATES: &[(&str, u16, u16, &[&EventKind])] = &[
    ("member", 200, 299, member::EVENTS),
    ("route", 300, 399, route::EVENTS),
    ("limit", 400, 499, limit::EVENTS),
    ("ledger", 500, 599, ledger::EVENTS),
    ("preset", 600, 699, preset::EVENTS),
    ("order", 700, 799, order::EVENTS),
    ("store", 800, 899, store::EVENTS),
    ("node", 900, 999, node::EVENTS),
    ("standin", 1000, 1099, standin::EVENTS),
    ("edge", 1100, 1199, edge::EVENTS),
];

const HEAD: &str = "# Events

Each log line is one event: time, level, `event=NUMBER name=NAME`, then fields as `key=value`. \
Numbers are never used again for another meaning. The hundreds name the crate; 1xx (kernel) is not in \
use. Stand-ins (10xx) run in tests and demos only.

Written from the tables in the code by `MAGNOLIA_WRITE=1 cargo test -p node --test events`.
";

fn catalogue() -> String {
    let mut text = HEAD.to_owned();
    for (name, _, _, events) in CRATES {
        write!(text, "\n## {name}\n\n| number | name | meaning |\n| --- | --- | --- |\n")
            .expect("text");
        for event in *events {
            writeln!(text, "| {} | `{}` | {} |", event.number, event.name, event.meaning)
                .expect("text");
        }
    }
    text
}

#[test]
fn catalogue_agrees_with_the_code() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/EVENTS.md");
    let fresh = catalogue();
    if env::var_os("MAGNOLIA_WRITE").is_some() {
        fs::write(&file, &fresh).expect("catalogue written");
    }
    let current = fs::read_to_string(&file).unwrap_or_default();
    assert!(current == fresh, "run MAGNOLIA_WRITE=1 cargo test -p node --test events");
}

#[test]
fn numbers_and_names_are_unique_and_in_their_hundred() {
    let mut numbers = BTreeSet::new();
    for (name, first, last, events) in CRATES {
        let mut names = BTreeSet::new();
        for event in *events {
            assert!((*first..=*last).contains(&event.number), "{} of {name}", event.number);
            assert!(numbers.insert(event.number), "{} is used twice", event.number);
            assert!(names.insert(event.name), "{} is used twice in {name}", event.name);
            assert!(event.meaning.ends_with('.'), "{} is no sentence", event.name);
        }
    }
}
