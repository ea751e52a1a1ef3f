//! Differences between two documents.

use std::collections::BTreeMap;

use site::{Kind, Model};
use smol_str::{SmolStr, format_smolstr};

use crate::document::{Document, Key, Limits, Organisation, Route, Service};
use crate::{Cause, Finding, fingerprint};

/// Named fields of a part of a document, as text.
type Fields = Vec<(&'static str, SmolStr)>;

/// Parts of one kind by their names.
type Parts = BTreeMap<SmolStr, Fields>;

/// Selects the parts of one kind.
type Select = fn(&Document) -> Parts;

/// Returns the differences of `after` from `before`, the version in force: by setting, limit, route,
/// service, organisation and key. Parts are matched by name, and keys are shown as fingerprints.
///
/// Of several parts with one name, the one that is in force is compared: the first route, the last
/// service and organisation.
pub fn compare(before: &Document, after: &Document) -> Vec<Finding> {
    let mut findings = Vec::new();
    for (kind, parts) in KINDS {
        compare_parts(kind, &parts(before), &parts(after), &mut findings);
    }
    compare_keys(before, after, &mut findings);
    if let (Some(old), Some(new)) = (before.version, after.version)
        && (new < old || new == old && !findings.is_empty())
    {
        let reason =
            format!("version {new} is not above version {old} in force: nodes ignore the document");
        findings.insert(0, Finding::new(Cause::Version, "version", reason));
    }
    findings
}

const KINDS: [(&str, Select); 5] = [
    ("setting", settings),
    ("limits", limits),
    ("route", routes),
    ("service", services),
    ("organisation", organisations),
];

fn compare_parts(kind: &str, before: &Parts, after: &Parts, findings: &mut Vec<Finding>) {
    let mut add = |name: &str, reason: SmolStr| {
        let place = match name.is_empty() {
            true => SmolStr::from(kind),
            false => format_smolstr!("{kind} {name:?}"),
        };
        findings.push(Finding::new(Cause::Difference, place, reason));
    };
    for name in before.keys().filter(|name| !after.contains_key(*name)) {
        add(name, "removed".into());
    }
    for (name, fields) in after {
        let Some(old) = before.get(name) else {
            add(name, "added".into());
            continue;
        };
        // The fields of a kind have one order.
        for ((field, new), (_, old)) in fields.iter().zip(old) {
            if new != old {
                add(name, format_smolstr!("{field}: {old} before, {new} now"));
            }
        }
    }
}

fn compare_keys(before: &Document, after: &Document, findings: &mut Vec<Finding>) {
    let [old, new] = [before, after].map(owners);
    let mut add = |key: &str, reason: SmolStr| {
        let place = format_smolstr!("key {}", fingerprint(key));
        findings.push(Finding::new(Cause::Difference, place, reason));
    };
    for (key, owner) in old.iter().filter(|(key, _)| !new.contains_key(*key)) {
        add(key, format_smolstr!("removed from organisation {owner:?}"));
    }
    for (key, owner) in &new {
        match old.get(key) {
            None => add(key, format_smolstr!("added to organisation {owner:?}")),
            Some(former) if former != owner => {
                add(key, format_smolstr!("moved from organisation {former:?} to {owner:?}"));
            }
            Some(_) => {}
        }
    }
}

/// Returns the organisation of each key.
fn owners(document: &Document) -> BTreeMap<&str, SmolStr> {
    let mut owners = BTreeMap::new();
    for organisation in document.organisations.iter().flatten() {
        let name = organisation.name.clone().unwrap_or_default();
        let keys: &[Key] = organisation.keys.as_deref().unwrap_or_default();
        owners.extend(keys.iter().map(|key| (key.text.as_str(), name.clone())));
    }
    owners
}

fn settings(document: &Document) -> Parts {
    let settings = document.settings.iter();
    settings.map(|setting| (setting.name.clone(), vec![("value", setting.value.clone())])).collect()
}

fn limits(document: &Document) -> Parts {
    if !document.has_routes {
        return Parts::new();
    }
    let keys = match document.organisations {
        Some(_) => "required",
        None => "not required",
    };
    let of = |field: fn(&Limits) -> SmolStr| document.limits.as_ref().map_or("unset".into(), field);
    let fields = vec![
        ("keys", keys.into()),
        ("header bytes", of(|limits| text(limits.head_bytes))),
        ("body bytes", of(|limits| text(limits.body_bytes))),
        ("header timeout", of(|limits| debug(&limits.head_timeout))),
        ("idle timeout", of(|limits| debug(&limits.idle_timeout))),
    ];
    [(SmolStr::default(), fields)].into()
}

fn routes(document: &Document) -> Parts {
    let routes = document.routes.iter().flatten().rev();
    routes.filter_map(|route| Some((route.name.clone()?, route_fields(route)))).collect()
}

fn route_fields(route: &Route) -> Fields {
    let kind = route.kind.map_or("unset", |kind| match kind {
        Kind::Safe => "safe",
        Kind::Unsafe => "unsafe",
        Kind::Stream { resumable: true } => "resumable stream",
        Kind::Stream { resumable: false } => "stream",
    });
    let backends = route.backends.iter().flatten();
    let backends: Vec<String> =
        backends.map(|backend| format!("{:?} {}", backend.service, backend.weight)).collect();
    vec![
        ("host", debug(&route.host)),
        ("prefix", debug(&route.prefix)),
        ("kind", kind.into()),
        ("timeout", debug(&route.timeout)),
        ("latency goal", debug(&route.latency_goal)),
        ("pause goal", debug(&route.pause_goal)),
        ("attempts", text(route.attempts)),
        ("priority", text(route.priority)),
        ("public", format_smolstr!("{}", route.public)),
        ("services", backends.join(", ").into()),
    ]
}

fn services(document: &Document) -> Parts {
    let services = document.services.iter().flatten();
    services.map(|service| (service.name.clone(), service_fields(service))).collect()
}

fn service_fields(service: &Service) -> Fields {
    let model = service.model.as_deref();
    let of = |field: fn(&Model) -> SmolStr| model.map_or("unset".into(), field);
    vec![
        ("connections", text(service.connections)),
        ("model", of(|model| format_smolstr!("{:?}", model.name))),
        ("layers", of(|model| format_smolstr!("{}", model.depth))),
        ("megabytes of a layer", of(|model| format_smolstr!("{}", model.layer_mb))),
        ("bytes of a token", of(|model| format_smolstr!("{}", model.token_bytes))),
        ("load time", of(|model| format_smolstr!("{:?}", model.load_time))),
        ("prompt tokens", of(|model| format_smolstr!("{}", model.prompt_tokens))),
        ("answer tokens", of(|model| format_smolstr!("{}", model.answer_tokens))),
        ("slots", of(|model| format_smolstr!("{}", model.slots))),
        ("token step", of(|model| format_smolstr!("{:?}", model.step))),
        ("step of a stream", of(|model| format_smolstr!("{:?}", model.step_per_stream))),
        ("step of a token", of(|model| format_smolstr!("{:?}", model.step_per_token))),
        ("prefill tokens/s", of(|model| format_smolstr!("{}", model.prefill_tokens_per_s))),
        ("accelerators", of(accelerators)),
    ]
}

fn accelerators(model: &Model) -> SmolStr {
    let cards = model.cards.iter().map(|card| {
        format!(
            "{:?} {} MB, step {}, prefill {}",
            card.name, card.mb, card.step_factor, card.prefill_factor
        )
    });
    cards.collect::<Vec<_>>().join("; ").into()
}

fn organisations(document: &Document) -> Parts {
    let organisations = document.organisations.iter().flatten();
    organisations
        .filter_map(|organisation| {
            Some((organisation.name.clone()?, organisation_fields(organisation)))
        })
        .collect()
}

fn organisation_fields(organisation: &Organisation) -> Fields {
    vec![("priority", text(organisation.priority)), ("weight", text(organisation.weight))]
}

fn text(value: Option<f64>) -> SmolStr {
    value.map_or("unset".into(), |value| format_smolstr!("{value}"))
}

fn debug<T: std::fmt::Debug>(value: &Option<T>) -> SmolStr {
    value.as_ref().map_or("unset".into(), |value| format_smolstr!("{value:?}"))
}
