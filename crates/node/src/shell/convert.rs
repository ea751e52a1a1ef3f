//! Conversions between the types of membership and their wire format.

use std::time::Duration;

use member::{Fact, Heartbeat, State, Update};
use wire::{fact, standing};

/// Converts a heartbeat to its wire format.
pub(crate) fn to_wire(heartbeat: Heartbeat) -> wire::Heartbeat {
    wire::Heartbeat {
        from: heartbeat.from.to_string(),
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        preset_version: heartbeat.preset,
        facts: heartbeat.facts.into_iter().map(fact_to_wire).collect(),
        leaving: heartbeat.leaving,
        digest: heartbeat.digest,
        wants_facts: heartbeat.wants_facts,
        proof_age_ms: heartbeat.proof_age.map(millis),
        demand: heartbeat.demand.into_iter().map(share_to_wire).collect(),
        ..wire::Heartbeat::default()
    }
}

/// Converts a heartbeat from its wire format. Skips facts that cannot be parsed.
pub(crate) fn from_wire(heartbeat: wire::Heartbeat) -> Heartbeat {
    Heartbeat {
        from: heartbeat.from.into(),
        incarnation: heartbeat.incarnation,
        sequence: heartbeat.sequence,
        preset: heartbeat.preset_version,
        facts: heartbeat.facts.into_iter().filter_map(fact_from_wire).collect(),
        leaving: heartbeat.leaving,
        digest: heartbeat.digest,
        wants_facts: heartbeat.wants_facts,
        proof_age: heartbeat.proof_age_ms.map(age),
        demand: heartbeat.demand.into_iter().map(share_from_wire).collect(),
    }
}

/// Returns an age in milliseconds, rounded up. `u64::MAX` stands for `Duration::MAX`.
fn millis(age: Duration) -> u64 {
    if age == Duration::MAX {
        return u64::MAX;
    }
    u64::try_from(age.as_millis()).map_or(u64::MAX, |millis| millis.saturating_add(1))
}

fn age(millis: u64) -> Duration {
    if millis == u64::MAX { Duration::MAX } else { Duration::from_millis(millis) }
}

fn share_to_wire((organisation, cost): (fleet::OrganisationName, f64)) -> wire::Share {
    wire::Share { organisation: organisation.to_string(), cost: cost as f32 }
}

fn share_from_wire(share: wire::Share) -> (fleet::OrganisationName, f64) {
    (share.organisation.into(), f64::from(share.cost))
}

fn fact_to_wire(fact: Fact) -> wire::Fact {
    let ttl_ms = fact.ttl.map_or(0, |ttl| {
        // Zero means that the fact never expires, so a TTL below 1 ms is rounded up to 1 ms.
        u64::try_from(ttl.as_millis()).unwrap_or(u64::MAX).max(1)
    });
    let (key, body) = match fact.update {
        Update::Standing { node, incarnation, address, state } => {
            let state = state_to_wire(state) as i32;
            let (key, address) = (format!("standing/{node}"), address.to_string());
            let node = node.to_string();
            (key, fact::Body::Standing(wire::Standing { node, incarnation, state, address }))
        }
        Update::Quarantine { fingerprint, target, confirmed } => {
            let key = format!("quarantine/{fingerprint:016x}/{target}");
            let target = target.to_string();
            (
                key,
                fact::Body::Quarantine(wire::Quarantine {
                    fingerprint,
                    target,
                    condemned: confirmed,
                }),
            )
        }
        Update::Demand { node, organisation, cost } => {
            let key = format!("demand/{node}/{organisation}");
            let (node, organisation) = (node.to_string(), organisation.to_string());
            (key, fact::Body::Demand(wire::Demand { node, organisation, cost }))
        }
        Update::Leaving { target } => {
            let key = format!("leaving/{target}");
            (key, fact::Body::Leaving(wire::Leaving { target: target.to_string() }))
        }
    };
    wire::Fact { key, version: fact.version, ttl_ms, body: Some(body) }
}

fn fact_from_wire(fact: wire::Fact) -> Option<Fact> {
    let update = match fact.body? {
        fact::Body::Standing(standing) => Update::Standing {
            state: state_from_wire(standing.state()),
            node: standing.node.into(),
            incarnation: standing.incarnation,
            address: standing.address.parse().ok()?,
        },
        fact::Body::Quarantine(quarantine) => Update::Quarantine {
            fingerprint: quarantine.fingerprint,
            target: quarantine.target.into(),
            confirmed: quarantine.condemned,
        },
        fact::Body::Demand(demand) => Update::Demand {
            node: demand.node.into(),
            organisation: demand.organisation.into(),
            cost: demand.cost,
        },
        fact::Body::Leaving(leaving) => Update::Leaving { target: leaving.target.into() },
    };
    let ttl = (fact.ttl_ms > 0).then(|| Duration::from_millis(fact.ttl_ms));
    Some(Fact { version: fact.version, ttl, update })
}

fn state_to_wire(state: State) -> standing::State {
    match state {
        State::Alive => standing::State::Alive,
        State::Suspect => standing::State::Suspect,
        State::Dead => standing::State::Dead,
        State::Left => standing::State::Left,
    }
}

fn state_from_wire(state: standing::State) -> State {
    match state {
        standing::State::Alive => State::Alive,
        standing::State::Suspect => State::Suspect,
        standing::State::Dead => State::Dead,
        standing::State::Left => State::Left,
    }
}
