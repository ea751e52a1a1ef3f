//! Handlers for capacity, demand and bounds, and the division of the fleet's slots.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{Event, OrganisationName};
use smol_str::SmolStr;

use crate::organisation::OrganisationId;
use crate::pool::Pool;
use crate::{Action, Bounds, Capacity, Demand, Limiter, event};

/// Minimum demand, in slots, that is reported to other nodes.
const MIN_REPORTED_SLOTS: f64 = 0.01;

impl Limiter {
    pub(crate) fn set_capacity(
        &mut self,
        now: Duration,
        capacity: Capacity,
        actions: &mut Vec<Action>,
    ) {
        let service = capacity.service.clone();
        let pool = self.pools.entry(service.clone()).or_insert_with(|| Pool::new(service.clone()));
        pool.fleet_slots = capacity.slots;
        self.divide_slots(now, &service, actions);
        self.dispatch(now, &service, actions);
    }

    pub(crate) fn set_peers(
        &mut self,
        now: Duration,
        live: u32,
        demand: &[Demand],
        actions: &mut Vec<Action>,
    ) {
        self.live_nodes = live.max(1);
        let mut elsewhere: BTreeMap<OrganisationId, f64> = BTreeMap::new();
        for report in demand {
            if report.node == self.settings.node {
                continue;
            }
            let id = self.organisation_id(&report.organisation);
            *elsewhere.entry(id).or_default() += report.cost;
        }
        let shares = self.pool_shares(now);
        let fair = self.settings.fair;
        for (pool, share) in self.pools.values_mut().zip(shares) {
            for organisation in pool.organisations.values_mut() {
                organisation.offered_elsewhere = 0.0;
            }
            for (&id, &cost) in &elsewhere {
                let id = if fair { id } else { 0 };
                pool.organisations.entry(id).or_default().offered_elsewhere += cost * share;
            }
        }
        self.divide_all_slots(now, actions);
    }

    /// Returns each pool's fraction of the load offered here. Demand reported by other nodes
    /// names no service, so their load is assumed to have the same mix of services.
    fn pool_shares(&self, now: Duration) -> Vec<f64> {
        let costs: Vec<f64> = self
            .pools
            .values()
            .map(|pool| pool.organisations.values().map(|o| o.offered.get(now)).sum())
            .collect();
        let total: f64 = costs.iter().sum();
        costs.iter().map(|cost| if total > 0.0 { cost / total } else { 0.0 }).collect()
    }

    pub(crate) fn set_bounds(&mut self, bounds: Bounds) {
        self.settings.queue = bounds.queue;
        self.settings.wait = bounds.wait;
        self.configured_weights = bounds.weights.into_iter().collect();
        for (name, weight) in self.organisation_names.iter().zip(&mut self.weights) {
            *weight = self.configured_weights.get(name).copied().unwrap_or(1.0);
        }
    }

    pub(crate) fn local_demand(&self, now: Duration) -> Vec<(OrganisationName, f64)> {
        let mut costs = vec![0.0; self.organisation_names.len()];
        for pool in self.pools.values() {
            for (&id, organisation) in &pool.organisations {
                costs[id as usize] += organisation.offered.get(now);
            }
        }
        let named = self.organisation_names.iter().cloned().zip(costs);
        named.filter(|(_, cost)| *cost >= MIN_REPORTED_SLOTS).collect()
    }

    pub(crate) fn divide_all_slots(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let services: Vec<SmolStr> = self.pools.keys().cloned().collect();
        for service in services {
            self.divide_slots(now, &service, actions);
            self.dispatch(now, &service, actions);
        }
    }

    fn divide_slots(&mut self, now: Duration, service: &SmolStr, actions: &mut Vec<Action>) {
        let Some(pool) = self.pools.get_mut(service) else { return };
        let before = pool.slots;
        pool.divide_slots(now, self.live_nodes, &self.weights);
        if before != pool.slots {
            actions.push(Action::Log(
                Event::new(&event::SLOTS)
                    .with("service", &pool.service)
                    .with("slots", pool.slots)
                    .with("fleet_slots", pool.fleet_slots)
                    .with("nodes", self.live_nodes),
            ));
        }
    }
}
