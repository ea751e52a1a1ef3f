//! Slots, queues and running requests of one model or plain service.

use std::collections::BTreeMap;
use std::time::Duration;

use fleet::RequestId;
use smol_str::SmolStr;

use crate::organisation::{Organisation, OrganisationId, credit_fraction};
use crate::queue::Entry;
use crate::share::{Claim, max_min_shares};
use crate::{Class, Estimate, Settings};

/// Maximum number of classes with an estimate in a pool.
const MAX_CLASSES: usize = 4_096;
/// Minimum fraction of the slots that stays in use after failures.
const MIN_SLOT_FACTOR: f64 = 0.25;
/// Increase of the fraction per complete answer; a failure decreases it by twice as much.
const SLOT_FACTOR_STEP: f64 = 0.01;

/// An admitted request.
#[derive(Clone, Debug)]
pub(crate) struct Running {
    pub(crate) entry: Entry,
    pub(crate) admitted: Duration,
    pub(crate) started: bool,
}

/// Scheduling state of one model or plain service.
#[derive(Debug)]
pub(crate) struct Pool {
    pub(crate) service: SmolStr,
    /// Slots of the whole fleet.
    pub(crate) fleet_slots: u32,
    /// Slots that this node may use now.
    pub(crate) slots: u32,
    /// Fraction of the fleet's slots in use, lowered by failures.
    slot_factor: f64,
    /// Virtual time of the fair queue, in slot-seconds per weight; see [`Pool::charge`].
    virtual_time: f64,
    pub(crate) organisations: BTreeMap<OrganisationId, Organisation>,
    pub(crate) running: BTreeMap<RequestId, Running>,
    estimates: BTreeMap<Class, Estimate>,
}

impl Pool {
    pub(crate) fn new(service: SmolStr) -> Self {
        Self {
            service,
            fleet_slots: 0,
            slots: 0,
            slot_factor: 1.0,
            virtual_time: 0.0,
            organisations: BTreeMap::new(),
            running: BTreeMap::new(),
            estimates: BTreeMap::new(),
        }
    }

    /// Number of queued requests.
    pub(crate) fn waiting(&self) -> usize {
        self.organisations.values().map(|organisation| organisation.queue.len()).sum()
    }

    pub(crate) fn has_free_slot(&self) -> bool {
        self.running.len() < self.slots as usize
    }

    /// Returns the estimate of a class, creating it if needed. A new one evicts the least
    /// recently used one when the pool is full.
    pub(crate) fn estimate(&mut self, class: Class, now: Duration) -> &mut Estimate {
        if self.estimates.len() >= MAX_CLASSES && !self.estimates.contains_key(&class) {
            let oldest = self.estimates.iter().min_by_key(|(_, estimate)| estimate.used);
            if let Some((&oldest, _)) = oldest {
                self.estimates.remove(&oldest);
            }
        }
        let estimate = self.estimates.entry(class).or_default();
        estimate.used = now;
        estimate
    }

    /// Returns the class of a request that is queued or running in this pool.
    pub(crate) fn class_of(&self, request: RequestId) -> Option<Class> {
        if let Some(running) = self.running.get(&request) {
            return Some(running.entry.class);
        }
        self.organisations.values().find_map(|organisation| organisation.queue.class_of(request))
    }

    /// Returns the predicted wait of a request that is not yet in the queue.
    ///
    /// The requests ahead of it are served by the slots of its organisation that are left
    /// over by the load of less tolerant callers. At least one in [`Settings::oldest_every`]
    /// of the slots is left over, because one in so many starts is that of the oldest request.
    pub(crate) fn predicted_wait(
        &self,
        entry: &Entry,
        now: Duration,
        settings: &Settings,
    ) -> Duration {
        let ageing = 1.0 / f64::from(settings.oldest_every.max(1));
        let Some(organisation) = self.organisations.get(&entry.class.organisation) else {
            return Duration::ZERO;
        };
        if self.has_free_slot() && organisation.queue.is_empty() {
            return Duration::ZERO;
        }
        let slots = organisation.slots.max(0.01);
        let before = organisation.offered_by_less_tolerant(now, entry.tolerance);
        let left = (slots - before).max(slots * ageing);
        let ahead = organisation.queue.cost_ahead(entry.rank);
        let credit = settings.credit.as_secs_f64() * credit_fraction(entry.tolerance);
        let ahead = (ahead - credit).max(0.0);
        Duration::from_secs_f64((ahead / left).min(1e6))
    }

    /// Removes and returns the request that runs next, by fair shares and then by rank.
    ///
    /// An organisation whose first request is urgent may exceed its share by up to the
    /// credit. Every start is charged, so the organisation's lead cannot grow beyond it.
    pub(crate) fn pop_next(
        &mut self,
        now: Duration,
        settings: &Settings,
        weights: &[f64],
    ) -> Option<Entry> {
        let virtual_time = self.virtual_time;
        let credit = settings.credit.as_secs_f64();
        let tag = |id: OrganisationId, organisation: &Organisation| {
            let first = organisation.queue.first().filter(|first| first.is_urgent(now));
            let fraction = first.map_or(0.0, |first| credit_fraction(first.tolerance));
            let ahead = credit * fraction / weight(weights, id);
            organisation.virtual_finish.max(virtual_time) - ahead
        };
        let (&id, organisation) = self
            .organisations
            .iter_mut()
            .filter(|(_, organisation)| !organisation.queue.is_empty())
            .min_by(|(a, one), (b, other)| tag(**a, one).total_cmp(&tag(**b, other)))?;
        organisation.starts_since_oldest += 1;
        let oldest = settings.urgency && organisation.starts_since_oldest >= settings.oldest_every;
        let entry = if oldest {
            organisation.starts_since_oldest = 0;
            organisation.queue.pop_oldest()?
        } else {
            organisation.queue.pop_first()?
        };
        self.charge(id, entry.cost, weights);
        Some(entry)
    }

    /// Advances an organisation's virtual finish time by a request's cost.
    pub(crate) fn charge(&mut self, id: OrganisationId, cost: f64, weights: &[f64]) {
        let organisation = self.organisations.entry(id).or_default();
        let start = organisation.virtual_finish.max(self.virtual_time);
        organisation.virtual_finish = start + cost / weight(weights, id);
        // The virtual time advances at most to the lowest finish time of the backlogged
        // organisations, so a request that started on credit does not advance it for the others.
        let backlogged = self.organisations.values().filter(|o| !o.queue.is_empty());
        let least = backlogged.map(|o| o.virtual_finish).fold(start, f64::min);
        self.virtual_time = self.virtual_time.max(least);
    }

    /// Corrects an organisation's virtual finish time by the difference of actual and
    /// predicted cost.
    pub(crate) fn correct_charge(&mut self, running: &Running, now: Duration, weights: &[f64]) {
        let id = running.entry.class.organisation;
        let held = now.saturating_sub(running.admitted).as_secs_f64();
        if let Some(organisation) = self.organisations.get_mut(&id) {
            organisation.virtual_finish += (held - running.entry.cost) / weight(weights, id);
        }
    }

    /// Lowers the fraction of slots in use after a failure, and raises it after a complete
    /// answer.
    pub(crate) fn adapt_slot_factor(&mut self, complete: bool) {
        let step = if complete { SLOT_FACTOR_STEP } else { -2.0 * SLOT_FACTOR_STEP };
        self.slot_factor = (self.slot_factor + step).clamp(MIN_SLOT_FACTOR, 1.0);
    }

    /// Divides the fleet's slots between organisations and nodes.
    ///
    /// This node gets the fraction of an organisation's share that its own callers demand.
    /// Slots that no organisation demands are split evenly over the `live` nodes.
    pub(crate) fn divide_slots(&mut self, now: Duration, live: u32, weights: &[f64]) {
        let own: Vec<f64> = self.organisations.values().map(|o| o.offered.get(now)).collect();
        let claims: Vec<Claim> = self
            .organisations
            .iter()
            .zip(&own)
            .map(|((&id, organisation), own)| Claim {
                weight: weight(weights, id),
                demand: own + organisation.offered_elsewhere,
            })
            .collect();
        let capacity = f64::from(self.fleet_slots) * self.slot_factor;
        let shares = max_min_shares(capacity, &claims);
        let spare = (capacity - shares.iter().sum::<f64>()).max(0.0) / f64::from(live.max(1));
        let mut slots = spare;
        for ((organisation, share), (claim, own)) in
            self.organisations.values_mut().zip(shares).zip(claims.iter().zip(own))
        {
            let taken = if claim.demand > 0.0 { share * own / claim.demand } else { 0.0 };
            organisation.slots = taken + spare;
            slots += taken;
        }
        self.slots = if self.fleet_slots == 0 { 0 } else { (slots.round() as u32).max(1) };
    }

    /// Returns the organisation with the highest cost of queued requests per weight.
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

/// Returns the weight of an organisation, 1 if none is set.
pub(crate) fn weight(weights: &[f64], id: OrganisationId) -> f64 {
    weights.get(id as usize).copied().unwrap_or(1.0)
}
