//! The table of targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::DomainName;
use site::{Model, Report, Target, TargetKey};

use crate::availability::Availability;
use crate::entry::{Entry, orders};
use crate::health::{Fault, Health};
use crate::search::{self, Able, Path};

/// A failing target looks this many times as loaded, at a failure rate of 1.
const FAILURE_WEIGHT: f64 = 12.0;
/// Reports show an engine as it was some hundred milliseconds ago: until so long after a change
/// that the store or the engine itself told of, they are older than it.
const REPORT_LAG: Duration = Duration::from_millis(300);
/// A plain target that has told another VM that it wants nothing looks loaded by this many more
/// requests.
const DISCOURAGED_WEIGHT: f64 = 10.0;
/// How long marks of a target are kept whose entry is gone: as long as outages of the store, in
/// which entries lapse of targets that live.
const MARKS_KEPT: Duration = Duration::from_secs(600);
/// A plain target in another failure domain looks loaded by this many more requests.
const REMOTE_WEIGHT: f64 = 0.3;

/// What a request needs.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Service that runs it.
    pub service: &'a str,
    /// Targets that are not to be used.
    pub excluded: &'a [SocketAddr],
    /// Engines at which a path may begin; any, without it.
    pub allowed_first: Option<&'a [SocketAddr]>,
    /// Prompt and expected answer, tokens.
    pub tokens: f64,
}

/// What another VM's requests hold.
#[derive(Clone, Debug)]
struct Others {
    loads: Vec<(TargetKey, u32)>,
    until: Duration,
}

/// Availability of a target whose entry is gone.
#[derive(Clone, Copy, Debug)]
struct Gone {
    born: u64,
    marks: Availability,
    until: Duration,
}

/// All targets known.
#[derive(Clone, Debug)]
pub struct Table {
    entries: HashMap<TargetKey, Entry>,
    /// Availability of targets whose entries are gone: an entry can lapse and come back.
    gone: HashMap<TargetKey, Gone>,
    home: DomainName,
    /// What other VMs tell of their requests, with the time until which it counts.
    others: HashMap<SocketAddr, Others>,
    /// VMs that share the targets.
    pub vms: usize,
}

impl Table {
    /// An empty table of a VM in the failure domain `home`.
    pub fn new(home: DomainName) -> Self {
        Self { entries: HashMap::new(), gone: HashMap::new(), home, others: HashMap::new(), vms: 1 }
    }

    /// All entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// A target by id.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Whether a target is gone or left out.
    pub fn is_down(&self, id: &str) -> bool {
        self.entry(id).is_none_or(|entry| entry.health.is_down())
    }

    /// Whether a target is known to have ended without a word before: it was registered as ready
    /// and answers no probe. One that is only left out may be well, and one that leaves goes on for
    /// a while after its entry has gone; what they run has run.
    pub fn is_lost(&self, id: &str) -> bool {
        self.entry(id).is_some_and(|entry| entry.health.is_lost() && !entry.is_draining())
    }

    /// Takes what a target registered. Returns whether something that matters changed.
    ///
    /// Of two targets at one address only the younger lives: the entry of the other stays in
    /// the store until it lapses.
    pub fn set(&mut self, now: Duration, target: Target) -> bool {
        let twins = self.entries.values().map(|entry| &entry.target);
        let mut twins =
            twins.filter(|other| other.address == target.address && other.id != target.id);
        if twins.any(|other| other.started_unix_ms > target.started_unix_ms) {
            self.entries.remove(&target.id);
            return false;
        }
        self.entries.retain(|id, entry| {
            *id == target.id
                || entry.target.address != target.address
                || entry.target.started_unix_ms >= target.started_unix_ms
        });
        let Some(entry) = self.entries.get_mut(&target.id) else {
            let gone =
                self.gone.remove(&target.id).filter(|gone| gone.born == target.started_unix_ms);
            let marks = gone.map(|gone| gone.marks).unwrap_or_default();
            let entry = Entry { availability: marks, ..Entry::new(target) };
            self.entries.insert(entry.target.id.clone(), entry);
            return true;
        };
        entry.removed_at = None;
        if entry.target == target {
            return false;
        }
        if entry.target.started_unix_ms != target.started_unix_ms
            || entry.target.address != target.address
        {
            entry.health = Health::default();
            if entry.target.started_unix_ms != target.started_unix_ms {
                entry.availability = Availability::default();
            }
            entry.layers = target.layers;
            entry.orders = orders(&target);
            entry.layers_changed_at = now;
            entry.slowdown = 1.0;
        }
        if entry.target.layers != target.layers {
            entry.layers = target.layers;
            entry.layers_changed_at = now;
        }
        entry.target = target;
        true
    }

    /// Targets that must have ended if `target` lives: earlier starts of its id, and those at its
    /// address.
    pub fn replaced_by(&self, target: &Target) -> Vec<Target> {
        let targets = self.entries.values().map(|entry| &entry.target);
        let earlier = targets.filter(|other| {
            let same = other.id == target.id || other.address == target.address;
            same && other.started_unix_ms < target.started_unix_ms
        });
        earlier.cloned().collect()
    }

    /// Notes that an entry is missing from the store, and counts as gone from `gone_at` on.
    pub fn mark_missing(&mut self, id: &str, gone_at: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            let earlier = entry.removed_at.is_some_and(|at| at <= gone_at);
            entry.removed_at = if earlier { entry.removed_at } else { Some(gone_at) };
        }
    }

    /// Removes the targets that count as gone, and returns them. What VMs told that fell
    /// silent is forgotten too.
    pub fn expire(&mut self, now: Duration) -> Vec<Target> {
        self.forget_others(now);
        self.gone.retain(|_, gone| gone.until > now);
        let gone = self.entries.extract_if(|_, entry| entry.removed_at.is_some_and(|at| at <= now));
        let gone: Vec<Entry> = gone.map(|(_, entry)| entry).collect();
        for entry in gone.iter().filter(|entry| entry.availability.is_restricted(now)) {
            let (born, marks, until) =
                (entry.target.started_unix_ms, entry.availability, now + MARKS_KEPT);
            self.gone.insert(entry.target.id.clone(), Gone { born, marks, until });
        }
        gone.into_iter().map(|entry| entry.target).collect()
    }

    /// Notes that the target at an address said that it leaves; returns it if that is news.
    pub fn mark_draining(&mut self, address: SocketAddr) -> Option<TargetKey> {
        let entry = self.at(address)?;
        let news = entry.availability.mark_draining();
        news.then(|| entry.target.id.clone())
    }

    /// Notes that the target at an address wants nothing for a time; returns it if its pause
    /// has grown.
    pub fn back_off(
        &mut self,
        now: Duration,
        address: SocketAddr,
        pause: Duration,
    ) -> Option<TargetKey> {
        let entry = self.at(address)?;
        let news = entry.availability.back_off(now, pause);
        news.then(|| entry.target.id.clone())
    }

    /// Whether the target at an address wants nothing now, not even a question.
    pub fn is_backing_off(&self, now: Duration, address: SocketAddr) -> bool {
        let mut entries = self.entries.values();
        entries
            .any(|entry| entry.target.address == address && entry.availability.is_backing_off(now))
    }

    /// How long it takes until a plain service has a target again, where all that stay want
    /// nothing now.
    pub fn service_available_in(&self, now: Duration, service: &str) -> Option<Duration> {
        let entries = self.entries.values().filter(|entry| entry.target.service == service);
        let staying = entries.filter(|entry| !entry.is_draining());
        // One that wants no pause may take requests again at any moment.
        let left: Option<Vec<Duration>> =
            staying.map(|entry| entry.availability.backoff_remaining(now)).collect();
        left?.into_iter().min()
    }

    /// How long it takes until there is a path again, where engines that want nothing now are
    /// all that is missing.
    pub fn path_available_in(
        &self,
        now: Duration,
        model: &Model,
        wish: &Query<'_>,
    ) -> Option<Duration> {
        let entries = self.entries.values().filter(|entry| entry.target.service == wish.service);
        let mut ends: Vec<Duration> =
            entries.filter_map(|entry| entry.availability.backoff_remaining(now)).collect();
        ends.sort_unstable();
        let lacks = |left: &Duration| self.path_at(now, now + *left, model, wish).is_none();
        let first = ends.partition_point(lacks);
        ends.get(first).copied()
    }

    /// Lets a target be used less until a time: it told another VM that it wants nothing.
    pub fn deprioritise(&mut self, id: &str, until: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.deprioritised_until = until;
        }
    }

    /// Notes that a request is sent to a target.
    pub fn request_sent(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.availability.request_sent(now);
        }
    }

    /// Notes that a target has taken a request.
    pub fn request_accepted(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.availability.request_accepted(now);
        }
    }

    /// Notes a fault of the target at an address; returns the target when it is newly left out.
    pub fn record_fault(
        &mut self,
        now: Duration,
        address: SocketAddr,
        fault: Fault,
    ) -> Option<TargetKey> {
        let entry = self.at(address)?;
        let newly = entry.health.record_fault(now, fault);
        newly.then(|| entry.target.id.clone())
    }

    /// Notes that the target at an address refused a request (`own`: of this VM); returns it with
    /// the pause that begins, if none has begun before.
    pub fn record_refusal(
        &mut self,
        now: Duration,
        address: SocketAddr,
        own: bool,
    ) -> Option<(TargetKey, Duration)> {
        let entry = self.at(address)?;
        let paused = entry.health.pause_remaining(now).is_some();
        entry.health.record_fault(now, if own { Fault::Full } else { Fault::ReportedFull });
        let pause = entry.health.pause_remaining(now).filter(|_| !paused)?;
        Some((entry.target.id.clone(), pause))
    }

    /// Notes an answer of a target that was as it should be.
    pub fn record_success(&mut self, address: SocketAddr) {
        if let Some(entry) = self.at(address) {
            entry.health.record_success();
        }
    }

    /// Takes a target's report. Returns whether it is used again from now on.
    pub fn record_report(&mut self, now: Duration, id: &str, report: &Report) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if now >= entry.layers_changed_at + REPORT_LAG {
            entry.layers = report.layers;
            entry.orders = Some(report.orders);
        } else if entry.orders.is_none() {
            entry.orders = Some(report.orders);
        }
        entry.slowdown = report.slowdown;
        entry.health.restore(now)
    }

    /// Notes that an engine has accepted an order.
    pub fn record_order(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.layers_changed_at = now;
            entry.orders = entry.orders.map(|orders| orders + 1);
        }
    }

    /// Notes that a target takes requests again. Returns whether it was left out.
    pub fn restore(&mut self, now: Duration, id: &str) -> bool {
        self.entries.get_mut(id).is_some_and(|entry| entry.health.restore(now))
    }

    /// Targets that are to be probed now: those that are left out, and slow ones.
    pub fn due_probes(&mut self, now: Duration) -> Vec<(TargetKey, SocketAddr)> {
        let entries = self.entries.values_mut();
        let asked = entries.filter(|entry| !entry.availability.is_backing_off(now));
        let due = asked.filter_map(|entry| {
            let slow = entry.is_slow() && entry.poll_report_request(now);
            let due = entry.health.poll_probe(now) || slow;
            due.then(|| (entry.target.id.clone(), entry.target.address))
        });
        due.collect()
    }

    /// Notes that a target did not answer a probe sent at `asked`.
    pub fn record_unanswered_probe(&mut self, id: &str, asked: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.health.record_unanswered_probe(asked);
        }
    }

    /// Engines of a path whose reports are to be asked for now.
    pub fn due_report_requests(
        &mut self,
        now: Duration,
        path: &Path,
    ) -> Vec<(TargetKey, SocketAddr)> {
        let stages = path.stages.iter().filter(|stage| {
            let entry = self.entries.get_mut(&stage.target);
            let entry = entry.filter(|entry| !entry.availability.is_backing_off(now));
            entry.is_some_and(|entry| entry.poll_report_request(now))
        });
        stages.map(|stage| (stage.target.clone(), stage.address)).collect()
    }

    /// Takes what another VM's requests hold, in tokens by target; it counts until `until`.
    pub fn record_peer_load(
        &mut self,
        vm: SocketAddr,
        loads: Vec<(TargetKey, u32)>,
        until: Duration,
    ) {
        if let Some(before) = self.others.remove(&vm) {
            self.count_others(&before.loads, -1.0);
        }
        self.count_others(&loads, 1.0);
        self.others.insert(vm, Others { loads, until });
    }

    fn count_others(&mut self, loads: &[(TargetKey, u32)], sign: f64) {
        for (id, tokens) in loads {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.peer_tokens = (entry.peer_tokens + sign * f64::from(*tokens)).max(0.0);
            }
        }
    }

    /// Forgets what VMs told that have not told again.
    fn forget_others(&mut self, now: Duration) {
        let silent = self.others.extract_if(|_, others| others.until <= now);
        let silent: Vec<Others> = silent.map(|(_, others)| others).collect();
        for others in silent {
            self.count_others(&others.loads, -1.0);
        }
    }

    /// The best path through the layers of a model.
    pub fn path(&self, now: Duration, model: &Model, wish: &Query<'_>) -> Option<Path> {
        self.path_at(now, now, model, wish)
    }

    /// The best path, if no engine wants a pause any more whose pause ends by `then`.
    fn path_at(
        &self,
        now: Duration,
        then: Duration,
        model: &Model,
        wish: &Query<'_>,
    ) -> Option<Path> {
        // VMs that do not tell what they hold count like this one.
        let silent = self.vms.saturating_sub(1 + self.others.len());
        let alike = (1 + silent) as f64;
        let able = self.able(now, then, wish).map(|entry| {
            let held = entry.tokens * alike + entry.peer_tokens;
            let address = &entry.target.address;
            let may_begin = wish.allowed_first.is_none_or(|first| first.contains(address));
            Able { entry, held, discouraged: entry.is_deprioritised(now), may_begin }
        });
        let able: Vec<Able<'_>> = able.collect();
        search::search(&able, model, wish.tokens, self.vms)
    }

    /// The best target of a plain service.
    pub fn best_target(&self, now: Duration, wish: &Query<'_>) -> Option<(TargetKey, SocketAddr)> {
        let weight = |entry: &Entry| {
            let remote = if entry.target.domain == self.home { 0.0 } else { REMOTE_WEIGHT };
            let discouraged = if entry.is_deprioritised(now) { DISCOURAGED_WEIGHT } else { 0.0 };
            let busy = 1.0 + f64::from(entry.running_requests) + remote + discouraged;
            busy * (1.0 + FAILURE_WEIGHT * entry.health.failure_rate())
        };
        let best = self.able(now, now, wish).min_by(|a, b| weight(a).total_cmp(&weight(b)))?;
        Some((best.target.id.clone(), best.target.address))
    }

    /// Counts tokens of a prompt that a target begins to read; negative when it has read them.
    pub fn add_prefill(&mut self, id: &str, tokens: f64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.prefill_tokens = (entry.prefill_tokens + tokens).max(0.0);
        }
    }

    /// Counts streams that begin at an engine, and those of them that pause; negative when
    /// they end or go on.
    pub fn add_streams(&mut self, id: &str, streams: i32, silent: i32) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.streams = entry.streams.saturating_add_signed(streams);
            entry.stalled_streams = entry.stalled_streams.saturating_add_signed(silent);
        }
    }

    /// Counts a request that begins to run at a target.
    pub fn add_request(&mut self, id: &str, tokens: f64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.running_requests += 1;
            entry.tokens += tokens;
        }
    }

    /// Counts the end of a request that [`Table::begin`] counted.
    pub fn remove_request(&mut self, id: &str, tokens: f64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.running_requests = entry.running_requests.saturating_sub(1);
            entry.tokens = (entry.tokens - tokens).max(0.0);
        }
    }

    /// Targets of a service that take new work, as far as they want any by `then`.
    fn able<'a>(
        &'a self,
        now: Duration,
        then: Duration,
        wish: &'a Query<'_>,
    ) -> impl Iterator<Item = &'a Entry> + 'a {
        self.entries.values().filter(move |entry| {
            entry.target.service == wish.service
                && entry.is_usable_by(now, then)
                && !wish.excluded.contains(&entry.target.address)
        })
    }

    fn at(&mut self, address: SocketAddr) -> Option<&mut Entry> {
        // An address can be used again: the newest target that stands there is meant.
        let entries = self.entries.values_mut();
        entries
            .filter(|entry| entry.target.address == address)
            .max_by_key(|e| e.target.started_unix_ms)
    }
}
