//! Everything that waits and runs for one model or plain service.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::RequestId;
use smol_str::SmolStr;

use crate::organisation::{Organisation, OrganisationId, credit_part};
use crate::share::{Claim, divide};
use crate::waiting::Waiting;
use crate::{Class, Estimate, Settings};

/// Classes whose estimates are kept in a lane.
const CLASSES: usize = 4_096;
/// Least part of the slots that failures leave in use.
const FACTOR_LEAST: f64 = 0.25;
/// Step up for each whole answer, and its multiple down for each failure.
const FACTOR_STEP: f64 = 0.01;

/// An admitted request.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) waiting: Waiting,
    pub(crate) admitted: Duration,
    pub(crate) started: bool,
}

/// One model or plain service.
#[derive(Debug)]
pub(crate) struct Lane {
    pub(crate) service: SmolStr,
    /// Slots of the whole fleet.
    pub(crate) fleet_slots: u32,
    /// Slots that this node may use now.
    pub(crate) slots: u32,
    /// Part of the slots that is used, lowered by failures.
    factor: f64,
    /// Virtual time: the start tag of the last admitted request.
    virtual_time: f64,
    pub(crate) organisations: BTreeMap<OrganisationId, Organisation>,
    pub(crate) running: BTreeMap<RequestId, Running>,
    estimates: BTreeMap<Class, Estimate>,
}

impl Lane {
    pub(crate) fn new(service: SmolStr) -> Self {
        Self {
            service,
            fleet_slots: 0,
            slots: 0,
            factor: 1.0,
            virtual_time: 0.0,
            organisations: BTreeMap::new(),
            running: BTreeMap::new(),
            estimates: BTreeMap::new(),
        }
    }

    /// Number of requests that wait.
    pub(crate) fn waiting(&self) -> usize {
        self.organisations.values().map(|organisation| organisation.queue.len()).sum()
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    /// Returns the estimate of a class, which may forget the one unused for longest.
    pub(crate) fn estimate(&mut self, class: Class, now: Duration) -> &mut Estimate {
        if self.estimates.len() >= CLASSES && !self.estimates.contains_key(&class) {
            let oldest = self.estimates.iter().min_by_key(|(_, estimate)| estimate.used);
            if let Some((&oldest, _)) = oldest {
                self.estimates.remove(&oldest);
            }
        }
        let estimate = self.estimates.entry(class).or_default();
        estimate.used = now;
        estimate
    }

    /// Class of a request that waits or runs here.
    pub(crate) fn class_of(&self, request: RequestId) -> Option<Class> {
        if let Some(running) = self.running.get(&request) {
            return Some(running.waiting.class);
        }
        self.organisations.values().find_map(|organisation| organisation.queue.class_of(request))
    }

    /// Predicted wait of a request that is not yet in the queue.
    ///
    /// What goes before it is done with what callers with less patience leave of its
    /// organisation's slots; ageing guarantees that this is never nothing.
    pub(crate) fn predicted_wait(
        &self,
        waiting: &Waiting,
        now: Duration,
        settings: &Settings,
    ) -> Duration {
        let ageing = 1.0 / f64::from(settings.oldest_every.max(1));
        let Some(organisation) = self.organisations.get(&waiting.class.organisation) else {
            return Duration::ZERO;
        };
        if self.has_free_slot() && organisation.queue.is_empty() {
            return Duration::ZERO;
        }
        let slots = organisation.slots.max(0.01);
        let before = organisation.offered_before(now, waiting.patience);
        let left = (slots - before).max(slots * ageing);
        let ahead = organisation.queue.cost_before(waiting.rank);
        let credit = settings.credit.as_secs_f64() * credit_part(waiting.patience);
        let ahead = (ahead - credit).max(0.0);
        Duration::from_secs_f64((ahead / left).min(1e6))
    }

    /// Takes the request that is to run next, by fair shares and then by rank.
    ///
    /// An organisation whose first request is pressed for time may go ahead of its
    /// share by the credit: all that it takes is charged, so it never gains more.
    pub(crate) fn next(
        &mut self,
        now: Duration,
        settings: &Settings,
        weights: &[f64],
    ) -> Option<Waiting> {
        let virtual_time = self.virtual_time;
        let credit = settings.credit.as_secs_f64();
        let tag = |id: OrganisationId, organisation: &Organisation| {
            let first = organisation.queue.first().filter(|first| first.is_pressed(now));
            let part = first.map_or(0.0, |first| credit_part(first.patience));
            let ahead = credit * part / weight(weights, id);
            organisation.finish.max(virtual_time) - ahead
        };
        let (&id, organisation) = self
            .organisations
            .iter_mut()
            .filter(|(_, organisation)| !organisation.queue.is_empty())
            .min_by(|(a, one), (b, other)| tag(**a, one).total_cmp(&tag(**b, other)))?;
        organisation.starts += 1;
        let oldest = settings.urgency && organisation.starts >= settings.oldest_every;
        let waiting = if oldest {
            organisation.starts = 0;
            organisation.queue.pop_oldest()?
        } else {
            organisation.queue.pop_first()?
        };
        self.charge(id, waiting.cost, weights);
        Some(waiting)
    }

    /// Advances an organisation's virtual time by a request's cost.
    pub(crate) fn charge(&mut self, id: OrganisationId, cost: f64, weights: &[f64]) {
        let organisation = self.organisations.entry(id).or_default();
        let start = organisation.finish.max(self.virtual_time);
        organisation.finish = start + cost / weight(weights, id);
        // A request that went ahead on credit does not move the others' time.
        let backlogged = self.organisations.values().filter(|o| !o.queue.is_empty());
        let least = backlogged.map(|o| o.finish).fold(start, f64::min);
        self.virtual_time = self.virtual_time.max(least);
    }

    /// Corrects an organisation's virtual time once the true cost is known.
    pub(crate) fn correct(&mut self, running: &Running, now: Duration, weights: &[f64]) {
        let id = running.waiting.class.organisation;
        let held = now.saturating_sub(running.admitted).as_secs_f64();
        if let Some(organisation) = self.organisations.get_mut(&id) {
            organisation.finish += (held - running.waiting.cost) / weight(weights, id);
        }
    }

    /// Lowers the slots in use after a failure, and raises them again after whole answers.
    pub(crate) fn adapt(&mut self, complete: bool) {
        let step = if complete { FACTOR_STEP } else { -2.0 * FACTOR_STEP };
        self.factor = (self.factor + step).clamp(FACTOR_LEAST, 1.0);
    }

    /// Divides the fleet's slots between organisations and nodes.
    ///
    /// Of an organisation's share this node takes the part that its own callers ask
    /// for; what nobody asks for is split evenly over the `live` nodes.
    pub(crate) fn divide(&mut self, now: Duration, live: u32, weights: &[f64]) {
        let own: Vec<f64> = self.organisations.values().map(|o| o.offered.get(now)).collect();
        let claims: Vec<Claim> = self
            .organisations
            .iter()
            .zip(&own)
            .map(|((&id, organisation), own)| Claim {
                weight: weight(weights, id),
                demand: own + organisation.elsewhere,
            })
            .collect();
        let capacity = f64::from(self.fleet_slots) * self.factor;
        let parts = divide(capacity, &claims);
        let spare = (capacity - parts.iter().sum::<f64>()).max(0.0) / f64::from(live.max(1));
        let mut slots = spare;
        for ((organisation, part), (claim, own)) in
            self.organisations.values_mut().zip(parts).zip(claims.iter().zip(own))
        {
            let taken = if claim.demand > 0.0 { part * own / claim.demand } else { 0.0 };
            organisation.slots = taken + spare;
            slots += taken;
        }
        self.slots = if self.fleet_slots == 0 { 0 } else { (slots.round() as u32).max(1) };
    }

    /// Organisation whose waiting requests cost most per weight.
    pub(crate) fn largest_backlog(&self, weights: &[f64]) -> Option<OrganisationId> {
        self.organisations
            .iter()
            .max_by(|(a, one), (b, other)| {
                let one = one.queue.cost() / weight(weights, **a);
                let other = other.queue.cost() / weight(weights, **b);
                one.total_cmp(&other)
            })
            .map(|(&id, _)| id)
    }
}

/// Weight of an organisation, 1 when none is set.
pub(crate) fn weight(weights: &[f64], id: OrganisationId) -> f64 {
    weights.get(id as usize).copied().unwrap_or(1.0)
}
