//! Findings and differences of documents as plain data, without a decoder.

use std::time::{Duration, Instant};

use check::{Backend, Bounds, Cause, Document, Key, Organisation, Route, Service};
use check::{compare, fingerprint, review};
use smol_str::format_smolstr;
use yare::parameterized;

/// Time within which a document of any test ends. It is far above the time of linear work, and far
/// below that of work by pairs of rows.
const MAX_TIME: Duration = Duration::from_secs(60);

fn route(index: usize) -> Route {
    let place = format_smolstr!("routes[{index}]");
    let backend = Backend { place: place.clone(), service: "s".into(), weight: 1.0 };
    Route {
        name: Some(format_smolstr!("r{index}")),
        host: Some("h".into()),
        prefix: Some(format_smolstr!("/{index}/")),
        timeout: Some(Duration::from_secs(1)),
        backends: Some(vec![backend]),
        place,
        ..Route::default()
    }
}

fn organisation(index: usize) -> Organisation {
    let place = format_smolstr!("organisations[{index}]");
    let key = Key { place: format_smolstr!("{place}.keys[0]"), text: format_smolstr!("k{index}") };
    Organisation {
        name: Some(format_smolstr!("o{index}")),
        priority: None,
        weight: None,
        keys: Some(vec![key]),
        is_name_key: false,
        place,
    }
}

fn document(count: usize) -> Document {
    let service =
        Service { place: "services[0]".into(), name: "s".into(), connections: None, model: None };
    Document {
        version: Some(1),
        routes: Some((0..count).map(route).collect()),
        services: Some(vec![service]),
        organisations: Some((0..count).map(organisation).collect()),
        has_routes: true,
        ..Document::default()
    }
}

fn causes(document: &Document) -> Vec<Cause> {
    review(document, &Bounds::default()).into_iter().map(|finding| finding.cause).collect()
}

type Change = fn(&mut Document);

// Guards against a finding that follows from a part which the decoder could not read.
#[parameterized(
    none = { |_| {}, &[] },
    no_routes = { |document| document.routes = None, &[] },
    no_services = { |document| document.services = None, &[] },
    no_keys = { |document| first(document).keys = None, &[] },
    no_row = { |document| route_mut(document).clone_from(&Route::default()), &[] },
    no_backends = { |document| route_mut(document).backends = None, &[] },
    no_timeout = { |document| route_mut(document).timeout = None, &[] },
    empty_backends = { |document| route_mut(document).backends = Some(Vec::new()), &[Cause::Weights] },
    no_service = { |document| document.services = Some(Vec::new()), &[Cause::UnknownService] },
    empty_keys = { |document| first(document).keys = Some(Vec::new()), &[Cause::UnusedOrganisation] },
    empty_routes = { |document| document.routes = Some(Vec::new()), &[Cause::UnusedOrganisation] },
)]
fn undecoded_parts_lead_to_no_finding(change: Change, expected: &[Cause]) {
    let mut document = document(1);
    change(&mut document);
    assert_eq!(causes(&document), expected);
}

fn route_mut(document: &mut Document) -> &mut Route {
    &mut document.routes.as_mut().expect("routes")[0]
}

fn first(document: &mut Document) -> &mut Organisation {
    &mut document.organisations.as_mut().expect("organisations")[0]
}

// Guards against work by pairs of rows.
#[test]
fn large_documents_are_reviewed_and_compared_in_bounded_time() {
    const COUNT: usize = 50_000;
    let started = Instant::now();
    let mut after = document(COUNT);
    for route in after.routes.iter_mut().flatten() {
        route.prefix = Some("/".into());
    }
    for organisation in after.organisations.iter_mut().flatten() {
        organisation.keys.iter_mut().flatten().for_each(|key| key.text = "k".into());
    }
    let causes = causes(&after);
    for cause in [Cause::ShadowedRoute, Cause::SharedKey] {
        assert_eq!(causes.iter().filter(|found| **found == cause).count(), COUNT - 1);
    }
    assert!(compare(&document(COUNT), &after).len() >= 2 * COUNT);
    assert!(started.elapsed() < MAX_TIME, "{:?}", started.elapsed());
}

// Guards against a fingerprint, or the debug form of a key, that contains the key.
#[test]
fn keys_are_shown_as_fingerprints() {
    let key = Key { place: "p".into(), text: "secret".into() };
    let print = fingerprint("secret");
    assert_eq!(print, "2bb80d537b1da3e3");
    let shown = format!("{key:?}");
    assert!(shown.contains(print.as_str()) && !shown.contains("secret"), "{shown}");
}
