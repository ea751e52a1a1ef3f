//! The limiter's part of the fleet's slots: capacity, demand and their division.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::{Event, OrganisationName};
use smol_str::SmolStr;

use crate::lane::Lane;
use crate::organisation::OrganisationId;
use crate::{Action, Bounds, Capacity, Demand, Limiter, event};

/// Demand in slots that is not worth a report.
const DEMAND_LEAST: f64 = 0.01;

impl Limiter {
    pub(crate) fn capacity(
        &mut self,
        now: Duration,
        capacity: Capacity,
        actions: &mut Vec<Action>,
    ) {
        let service = capacity.service.clone();
        let lane = self.lanes.entry(service.clone()).or_insert_with(|| Lane::new(service.clone()));
        lane.fleet_slots = capacity.slots;
        self.divide(now, &service, actions);
        self.dispatch(now, &service, actions);
    }

    pub(crate) fn peers(
        &mut self,
        now: Duration,
        live: u32,
        demand: &[Demand],
        actions: &mut Vec<Action>,
    ) {
        self.live = live.max(1);
        let mut elsewhere: BTreeMap<OrganisationId, f64> = BTreeMap::new();
        for report in demand {
            if report.node == self.settings.node {
                continue;
            }
            let id = self.organisation(&report.organisation);
            *elsewhere.entry(id).or_default() += report.cost;
        }
        let parts = self.lane_parts(now);
        let fair = self.settings.fair;
        for (lane, part) in self.lanes.values_mut().zip(parts) {
            for organisation in lane.organisations.values_mut() {
                organisation.elsewhere = 0.0;
            }
            for (&id, &cost) in &elsewhere {
                let id = if fair { id } else { 0 };
                lane.organisations.entry(id).or_default().elsewhere += cost * part;
            }
        }
        self.divide_all(now, actions);
    }

    /// Each lane's part of the cost offered here: reports from other nodes name no
    /// service, and their callers are taken to ask for the same mix.
    fn lane_parts(&self, now: Duration) -> Vec<f64> {
        let costs: Vec<f64> = self
            .lanes
            .values()
            .map(|lane| lane.organisations.values().map(|o| o.offered.get(now)).sum())
            .collect();
        let total: f64 = costs.iter().sum();
        costs.iter().map(|cost| if total > 0.0 { cost / total } else { 0.0 }).collect()
    }

    pub(crate) fn bounds(&mut self, bounds: Bounds) {
        self.settings.queue = bounds.queue;
        self.settings.wait = bounds.wait;
        self.named_weights = bounds.weights.into_iter().collect();
        for (name, weight) in self.names.iter().zip(&mut self.weights) {
            *weight = self.named_weights.get(name).copied().unwrap_or(1.0);
        }
    }

    pub(crate) fn demand(&self, now: Duration) -> Vec<(OrganisationName, f64)> {
        let mut costs = vec![0.0; self.names.len()];
        for lane in self.lanes.values() {
            for (&id, organisation) in &lane.organisations {
                costs[id as usize] += organisation.offered.get(now);
            }
        }
        let named = self.names.iter().cloned().zip(costs);
        named.filter(|(_, cost)| *cost >= DEMAND_LEAST).collect()
    }

    pub(crate) fn divide_all(&mut self, now: Duration, actions: &mut Vec<Action>) {
        let services: Vec<SmolStr> = self.lanes.keys().cloned().collect();
        for service in services {
            self.divide(now, &service, actions);
            self.dispatch(now, &service, actions);
        }
    }

    fn divide(&mut self, now: Duration, service: &SmolStr, actions: &mut Vec<Action>) {
        let Some(lane) = self.lanes.get_mut(service) else { return };
        let before = lane.slots;
        lane.divide(now, self.live, &self.weights);
        if before != lane.slots {
            actions.push(Action::Log(
                Event::new(&event::SLOTS)
                    .with("service", &lane.service)
                    .with("slots", lane.slots)
                    .with("fleet_slots", lane.fleet_slots)
                    .with("nodes", self.live),
            ));
        }
    }
}
