//! Recent demand for one service by rank, organisation and size, and the thresholds from it.

use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use fleet::OrganisationName;

use super::tally::{TIME_CONSTANT_SECONDS, Tally};
use super::{FULL_PRESSURE, Rank};
use crate::share::{Claim, max_min_shares};

/// Reserve for more urgent requests that were blocked, in units of their part of all requests. The
/// reserve then follows what they lack: a few requests of a small organisation keep little free.
const RESERVE_GAIN: f64 = 1.0;
/// Largest reserve: the rest of the memory remains for the least urgent rank.
const MAX_RESERVE: f64 = 0.12;
/// Blocked share of a rank above which less urgent ranks leave it a reserve, and its organisations
/// are held to their shares.
const CONTENTION: f64 = 0.02;
/// Served share of a rank or organisation, relative to that of all requests, below which it goes
/// first. It is above the guaranteed quarter, because the shares follow with a delay.
const MIN_SERVED: f64 = 0.4;
/// Served share of a size, relative to that of its rank, below which it goes first. It is above the
/// guaranteed half for the same reason.
const MIN_SIZE_SERVED: f64 = 0.65;
/// Requests from which a served share is known.
const MIN_OFFERED: f64 = 3.0;
/// Requests below which a rank or organisation has no recent demand.
const MIN_DEMAND: f64 = 0.05;
/// Factor by which an organisation may exceed its share, beside one mean request.
const SHARE_TOLERANCE: f64 = 1.05;
/// Interval between two divisions of the capacity.
const SHARE_INTERVAL: Duration = Duration::from_millis(250);
/// Maximum number of organisations of a rank that are told apart.
const MAX_ORGANISATIONS: usize = 256;

/// Order of the requests of one rank.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Standing {
    /// Of a rank, organisation or size that was served too rarely.
    Owed,
    /// Of an organisation within its share.
    Within,
    /// Of an organisation above its share.
    Above,
}

/// What the recent demand means for a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct View {
    /// Urgency in the queue.
    pub(super) rank: Rank,
    pub(super) standing: Standing,
    /// Pressure up to which the request is admitted.
    pub(super) threshold: f64,
}

#[derive(Clone, Copy, Debug, Default)]
struct OrganisationDemand {
    requests: Tally,
    tokens: Tally,
    is_above: bool,
}

#[derive(Clone, Debug, Default)]
struct RankDemand {
    requests: Tally,
    tokens: Tally,
    organisations: HashMap<OrganisationName, OrganisationDemand>,
    /// By the binary logarithm of the tokens.
    sizes: BTreeMap<u8, Tally>,
    /// Time of the next division of the capacity.
    divides_at: Duration,
}

impl RankDemand {
    /// Divides what was admitted of late between the organisations.
    fn divide(&mut self, now: Duration) {
        self.divides_at = now + SHARE_INTERVAL;
        self.organisations.retain(|_, demand| demand.requests.offered(now) >= MIN_DEMAND);
        let mean = self.tokens.offered(now) / self.requests.offered(now).max(1.0);
        let claim =
            |demand: &OrganisationDemand| Claim { weight: 1.0, demand: demand.tokens.offered(now) };
        let claims: Vec<Claim> = self.organisations.values().map(claim).collect();
        let admitted = self.organisations.values().map(|demand| demand.tokens.admitted(now)).sum();
        let shares = max_min_shares(admitted, &claims);
        for (demand, share) in self.organisations.values_mut().zip(shares) {
            demand.is_above = demand.tokens.admitted(now) > share * SHARE_TOLERANCE + mean;
        }
    }
}

/// Recent demand for one service.
#[derive(Clone, Debug, Default)]
pub(super) struct Demand {
    all: Tally,
    /// All requests, and the binary logarithms of their tokens.
    sizes: Tally,
    logarithms: Tally,
    ranks: BTreeMap<Rank, RankDemand>,
}

impl Demand {
    /// Records the size of a request.
    pub(super) fn record_size(&mut self, now: Duration, tokens: f64) {
        self.sizes.offer(now, 1.0);
        self.logarithms.offer(now, tokens.max(1.0).log2());
    }

    pub(super) fn record_offered(
        &mut self,
        now: Duration,
        rank: Rank,
        organisation: &OrganisationName,
        tokens: f64,
    ) {
        self.all.offer(now, 1.0);
        let demand = self.ranks.entry(rank).or_default();
        demand.requests.offer(now, 1.0);
        demand.tokens.offer(now, tokens);
        demand.sizes.entry(size(tokens)).or_default().offer(now, 1.0);
        if demand.organisations.len() >= MAX_ORGANISATIONS && now >= demand.divides_at {
            demand.divide(now);
        }
        let is_known = demand.organisations.contains_key(organisation);
        if is_known || demand.organisations.len() < MAX_ORGANISATIONS {
            let of = demand.organisations.entry(organisation.clone()).or_default();
            of.requests.offer(now, 1.0);
            of.tokens.offer(now, tokens);
        }
    }

    pub(super) fn record_admitted(
        &mut self,
        now: Duration,
        rank: Rank,
        organisation: &OrganisationName,
        tokens: f64,
    ) {
        self.all.admit(now, 1.0);
        let demand = self.ranks.entry(rank).or_default();
        demand.requests.admit(now, 1.0);
        demand.tokens.admit(now, tokens);
        demand.sizes.entry(size(tokens)).or_default().admit(now, 1.0);
        if let Some(of) = demand.organisations.get_mut(organisation) {
            of.requests.admit(now, 1.0);
            of.tokens.admit(now, tokens);
        }
    }

    /// Records that a request was not admitted at once. One that is queued counts in part, and in
    /// full if it is refused after the wait.
    pub(super) fn record_blocked(&mut self, now: Duration, rank: Rank, part: f64) {
        self.ranks.entry(rank).or_default().requests.block(now, part);
    }

    /// Returns the geometric mean of the tokens of recent requests, which few large ones change little.
    pub(super) fn typical_tokens(&self) -> f64 {
        self.logarithms.ratio(&self.sizes).exp2()
    }

    /// Returns the requests of a rank that were admitted of late, per second.
    pub(super) fn rate(&self, now: Duration, rank: Rank) -> f64 {
        let demand = self.ranks.get(&rank);
        demand.map_or(0.0, |demand| demand.requests.admitted(now) / TIME_CONSTANT_SECONDS)
    }

    /// Returns what the demand means for a request.
    pub(super) fn view(
        &mut self,
        now: Duration,
        rank: Rank,
        organisation: &OrganisationName,
        tokens: f64,
    ) -> View {
        let all = self.all.served_share();
        let threshold = FULL_PRESSURE - self.reserve(now, rank);
        let most_urgent = self.present(now).next().unwrap_or(rank).min(rank);
        let demand = self.ranks.entry(rank).or_default();
        let contention = demand.requests.blocked_share(now);
        if contention > CONTENTION && now >= demand.divides_at {
            demand.divide(now);
        }
        let of = demand.organisations.get(organisation);
        let is_starved = is_below(&demand.requests, now, MIN_SERVED * all)
            || of.is_some_and(|of| is_below(&of.requests, now, MIN_SERVED * all));
        if is_starved {
            let standing = Standing::Owed;
            return View { rank: most_urgent, standing, threshold: FULL_PRESSURE };
        }
        let rank_served = demand.requests.served_share();
        let sizes = demand.sizes.get(&size(tokens));
        if sizes.is_some_and(|size| is_below(size, now, MIN_SIZE_SERVED * rank_served)) {
            return View { rank, standing: Standing::Owed, threshold };
        }
        let is_above = contention > CONTENTION && of.is_some_and(|of| of.is_above);
        let standing = if is_above { Standing::Above } else { Standing::Within };
        View { rank, standing, threshold }
    }

    /// Returns the part of the memory that is kept for ranks more urgent than this one.
    fn reserve(&self, now: Duration, rank: Rank) -> f64 {
        let urgent = self.ranks.range(..rank).map(|(_, demand)| demand.requests);
        let pressed = urgent.filter(|requests| requests.blocked_share(now) > CONTENTION);
        let blocked: f64 = pressed.map(|requests| requests.blocked(now)).sum();
        let offered = self.all.offered(now).max(1.0);
        (RESERVE_GAIN * blocked / offered).min(MAX_RESERVE)
    }

    /// Returns the ranks with recent demand.
    fn present(&self, now: Duration) -> impl Iterator<Item = Rank> {
        let ranks = self.ranks.iter();
        let present = ranks.filter(move |(_, demand)| demand.requests.offered(now) >= MIN_DEMAND);
        present.map(|(rank, _)| *rank)
    }

    /// Returns the number of more urgent ranks with recent demand, and of all others with it.
    pub(super) fn urgency(&self, now: Duration, rank: Rank) -> (usize, usize) {
        let others = self.present(now).filter(|other| *other != rank);
        others.fold((0, 0), |(before, all), other| (before + usize::from(other < rank), all + 1))
    }
}

/// Returns whether the served share is known to be below `least`.
fn is_below(tally: &Tally, now: Duration, least: f64) -> bool {
    tally.served_share() < least && tally.offered(now) >= MIN_OFFERED
}

/// Returns the class of size of a request.
fn size(tokens: f64) -> u8 {
    tokens.max(1.0).log2() as u8
}
