//! Entries and reports with absurd values: they end nothing, and the other targets are used.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::Layers;
use path::{Query, Table};
use proptest::prelude::*;
use site::{Card, Model, Report, State, Target};
use yare::parameterized;

const NOW: Duration = Duration::from_secs(100);
const DEPTH: u16 = 8;

fn model() -> Model {
    Model {
        name: "m".into(),
        depth: DEPTH,
        layer_mb: 100.0,
        token_bytes: 8_000.0,
        load_time: Duration::from_secs(1),
        prompt_tokens: 100.0,
        answer_tokens: 50.0,
        slots: 64,
        step: Duration::from_millis(1),
        step_per_stream: Duration::ZERO,
        step_per_token: Duration::ZERO,
        prefill_tokens_per_s: 100_000.0,
        cards: vec![Card {
            name: "card".into(),
            mb: 1000.0,
            step_factor: 1.0,
            prefill_factor: 1.0,
        }],
    }
}

fn target(number: u16, layers: Option<(u16, u16)>) -> Target {
    Target {
        id: format!("t{number}").into(),
        service: "s".into(),
        address: SocketAddr::from(([10, 0, 0, 1], number)),
        domain: "a".into(),
        state: State::Ready,
        started_unix_ms: 1,
        slots: 64,
        card: "card".into(),
        layers: layers.map(|(start, end)| Layers::new(start, end)),
    }
}

/// Returns a table with two engines that hold the model together.
fn table() -> Table {
    let mut table = Table::new("a".into());
    table.set(NOW, target(1, Some((0, 5))));
    table.set(NOW, target(2, Some((5, 8))));
    table
}

fn path(table: &Table) -> Option<Vec<String>> {
    let query = Query {
        service: "s",
        excluded: &[],
        allowed_first: None,
        closed_first: &[],
        tokens: 150.0,
        prompt: None,
    };
    let path = table.path(NOW, &model(), &query)?;
    Some(path.stages.iter().map(|stage| stage.target.to_string()).collect())
}

// Guards against one odd entry leaving no path through the other engines.
#[parameterized(
    beyond_the_model = { (100, 200) },
    from_the_end = { (8, 9) },
    across_the_end = { (4, 9) },
    all_there_can_be = { (0, u16::MAX) },
    last_there_can_be = { (u16::MAX - 1, u16::MAX) },
    // Guards against its start counting as a boundary beyond the model, which no path reaches.
    ends_before_it_starts = { (9, 0) },
)]
fn layers_beyond_the_model_are_not_used(odd: (u16, u16)) {
    let mut table = table();
    table.set(NOW, target(3, Some(odd)));
    assert_eq!(path(&table).expect("a path"), ["t1", "t2"]);
}

#[test]
fn number_of_orders_may_be_the_largest() {
    let mut table = table();
    let report = Report { orders: u64::MAX, slowdown: 1.0, ..Report::default() };
    table.record_report(NOW + NOW, "t1", &report);
    table.record_order(NOW + NOW, "t1");
    assert_eq!(table.entry("t1").and_then(|entry| entry.orders), Some(u64::MAX));
}

proptest! {
    #[test]
    fn path_of_odd_engines_is_whole(
        layers in proptest::collection::vec(proptest::option::of((any::<u16>(), any::<u16>())), 0..6),
        slowdown in any::<f64>().prop_filter("a number", |pace| !pace.is_nan()),
        tokens in 0.0..1e9_f64,
    ) {
        let mut table = table();
        for (number, layers) in (3..).zip(layers) {
            table.set(NOW, target(number, layers));
        }
        let layers = Some(Layers::new(0, DEPTH));
        let report = Report { slowdown, layers, ..Report::default() };
        table.record_report(NOW + NOW, "t3", &report);
        table.add_request("t1", tokens);
        let query = Query { service: "s", excluded: &[], allowed_first: None, closed_first: &[], tokens, prompt: None };
        let path = table.path(NOW, &model(), &query);
        prop_assert!(path.is_some_and(|path| path.verify(DEPTH)));
    }
}
