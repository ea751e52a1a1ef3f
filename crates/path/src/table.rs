//! Table of targets.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Duration;

use fleet::{DomainName, Layers};
use site::{Model, Report, State, Target, TargetKey};

use crate::availability::Availability;
use crate::entry::{Entry, initial_orders};
use crate::health::{Fault, Health, ProbeFailure};
use crate::missed::{Agreement, MissedReports, engines_to_ask};
use crate::prompt::Prompt;
use crate::search::{self, Candidate, Path};

/// Weight of the failure rate in the apparent load of a target.
const FAILURE_LOAD_FACTOR: f64 = 12.0;
/// Age of reports: they show an engine as it was some hundred milliseconds earlier. For this long
/// after a change that the store or the engine itself has announced, reports predate the change.
const REPORT_AGE: Duration = Duration::from_millis(300);
/// Requests that are added to the apparent load of a service target that has told another VM to
/// back off.
const BACKOFF_LOAD: f64 = 10.0;
/// Time for which the availability of a removed target is kept: as long as store outages, during
/// which entries of running targets lapse.
const AVAILABILITY_TTL: Duration = Duration::from_secs(600);
/// Time for which it is known that a target was replaced: longer than requests last.
const REPLACED_TTL: Duration = Duration::from_secs(60);
/// Requests that are added to the apparent load of a service target in another failure domain.
const REMOTE_LOAD: f64 = 0.3;

/// Requirements of a request on the targets that run it.
#[derive(Clone, Debug)]
pub struct Query<'a> {
    /// Service that runs the request.
    pub service: &'a str,
    /// Targets that must not be used.
    pub excluded: &'a [SocketAddr],
    /// Engines at which a path may start; `None` allows all.
    pub allowed_first: Option<&'a [SocketAddr]>,
    /// Engines at which no path may start, because they take no more requests for now.
    pub closed_first: &'a [SocketAddr],
    /// Length of the prompt and the expected answer, tokens.
    pub tokens: f64,
    /// The prompt, if the path is to be chosen for it; with `None`, for the mean prompt.
    pub prompt: Option<Prompt>,
}

/// Maximum prompts of all VMs that are sent from one failure domain to another at a time. They
/// share one link, and delay the tokens of all streams on it.
const MAX_CROSSING_PROMPTS: usize = 4;

/// Load that the requests of another VM place on the targets.
#[derive(Clone, Debug)]
struct PeerLoad {
    loads: Vec<(TargetKey, u32)>,
    until: Duration,
}

/// Availability of a removed target.
#[derive(Clone, Copy, Debug)]
struct Removed {
    started_unix_ms: u64,
    availability: Availability,
    until: Duration,
}

/// All known targets.
#[derive(Clone, Debug)]
pub struct Table {
    entries: HashMap<TargetKey, Entry>,
    /// Availability of removed targets: an entry can lapse and reappear.
    removed: HashMap<TargetKey, Removed>,
    /// Targets whose addresses others have taken while they were registered as ready, with the time
    /// until which this is known.
    replaced: HashMap<TargetKey, Duration>,
    home: DomainName,
    /// Load of other VMs as they report it, with the time until which it counts.
    peer_loads: HashMap<SocketAddr, PeerLoad>,
    /// Targets whose reports other VMs miss.
    missed: MissedReports,
    /// Number of VMs that share the targets.
    pub vms: usize,
    /// Number of prompts of this VM that are being prefilled on paths that cross failure domains.
    crossing_prompts: usize,
}

impl Table {
    /// Returns an empty table for a VM in the failure domain `home`.
    pub fn new(home: DomainName) -> Self {
        Self {
            entries: HashMap::new(),
            removed: HashMap::new(),
            replaced: HashMap::new(),
            home,
            peer_loads: HashMap::new(),
            missed: MissedReports::default(),
            vms: 1,
            crossing_prompts: 0,
        }
    }

    /// Returns all entries.
    pub fn entries(&self) -> impl Iterator<Item = &Entry> {
        self.entries.values()
    }

    /// Returns the entry of a target.
    pub fn entry(&self, id: &str) -> Option<&Entry> {
        self.entries.get(id)
    }

    /// Returns whether a target is unknown or out of use.
    pub fn is_down(&self, id: &str) -> bool {
        self.entry(id).is_none_or(|entry| entry.health.is_down())
    }

    /// Returns whether a target is known to have ended without notice: it is registered as ready,
    /// and refuses probes or has left them unanswered for long. A target that is only out of use or
    /// silent may be healthy, and a draining target goes on for a while after its entry has been
    /// removed; the requests that it ran count as run.
    pub fn is_lost(&self, id: &str) -> bool {
        self.entry(id).is_some_and(|entry| entry.health.is_lost() && !entry.is_draining())
    }

    /// Returns whether nothing has come from a target out of use for longer than a sound one is
    /// silent, and it does not drain.
    pub fn is_silent(&self, now: Duration, id: &str) -> bool {
        self.entry(id).is_some_and(|entry| entry.health.is_silent(now) && !entry.is_draining())
    }

    /// Returns whether another target has taken the address of one that was registered as ready. The
    /// address of one that drained says nothing: the requests that it ran count as run.
    pub fn is_replaced(&self, id: &str) -> bool {
        self.replaced.contains_key(id) && self.entry(id).is_none()
    }

    /// Records that something came from a target.
    pub fn record_arrival(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.health.end_silence(now);
        }
    }

    /// Stores a registration. Returns whether anything relevant changed.
    ///
    /// Of two targets at one address only the younger one is alive. The entry of the other stays in
    /// the store until it lapses.
    pub fn set(&mut self, now: Duration, target: Target) -> bool {
        let same_address = self.entries.values().map(|entry| &entry.target);
        let mut same_address =
            same_address.filter(|other| other.address == target.address && other.id != target.id);
        if same_address.any(|other| other.started_unix_ms > target.started_unix_ms) {
            self.entries.remove(&target.id);
            return false;
        }
        let older = self.entries.extract_if(|id, entry| {
            *id != target.id
                && entry.target.address == target.address
                && entry.target.started_unix_ms < target.started_unix_ms
        });
        let ended = older.filter(|(_, entry)| !entry.is_draining() && entry.removed_at.is_none());
        let until = now + REPLACED_TTL;
        self.replaced.extend(ended.map(|(id, _)| (id, until)));
        let Some(entry) = self.entries.get_mut(&target.id) else {
            let removed = self
                .removed
                .remove(&target.id)
                .filter(|removed| removed.started_unix_ms == target.started_unix_ms);
            let availability = removed.map(|removed| removed.availability).unwrap_or_default();
            let entry = Entry { availability, ..Entry::new(now, target) };
            self.entries.insert(entry.target.id.clone(), entry);
            return true;
        };
        entry.removed_at = None;
        let was_removed = std::mem::take(&mut entry.removed);
        let mut target = target;
        // A target that drains ends; only an old copy of its entry can say otherwise.
        if entry.target.started_unix_ms == target.started_unix_ms
            && entry.target.state == State::Draining
        {
            target.state = State::Draining;
        }
        if entry.target == target {
            return was_removed;
        }
        if entry.target.started_unix_ms != target.started_unix_ms
            || entry.target.address != target.address
        {
            entry.health = Health::default();
            if entry.target.started_unix_ms != target.started_unix_ms {
                entry.availability = Availability::default();
            }
            entry.layers = target.layers;
            entry.orders = initial_orders(&target);
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

    /// Updates a target from an entry of a store that has come back from a copy. What is known of
    /// the same start of the target is later, and so is a later start. Returns as [`Table::set`].
    pub fn set_copied(&mut self, now: Duration, mut target: Target) -> bool {
        if let Some(entry) = self.entries.get(&target.id) {
            if entry.target.started_unix_ms > target.started_unix_ms {
                return false;
            }
            if entry.target.started_unix_ms == target.started_unix_ms {
                target.layers = entry.target.layers;
            }
        }
        self.set(now, target)
    }

    /// Returns the targets that must have ended if `target` is running: earlier starts of its id,
    /// and older targets at its address.
    pub fn replaced_by(&self, target: &Target) -> Vec<Target> {
        let known = self.entries.values().filter(|entry| !entry.removed);
        let targets = known.map(|entry| &entry.target);
        let earlier = targets.filter(|other| {
            let same = other.id == target.id || other.address == target.address;
            same && other.started_unix_ms < target.started_unix_ms
        });
        earlier.cloned().collect()
    }

    /// Records that the entry of a target is missing from the store, and that the target counts as
    /// removed from `removed_at` on.
    pub fn mark_missing(&mut self, id: &str, removed_at: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            let earlier = entry.removed_at.is_some_and(|at| at <= removed_at);
            entry.removed_at = if earlier { entry.removed_at } else { Some(removed_at) };
        }
    }

    /// Removes the targets that count as removed, and returns them. Also drops the load of VMs
    /// whose reports have expired.
    pub fn expire(&mut self, now: Duration) -> Vec<Target> {
        self.expire_peer_loads(now);
        self.removed.retain(|_, removed| removed.until > now);
        self.replaced.retain(|_, until| *until > now);
        let lapsed = self.entries.values_mut().filter(|entry| {
            !entry.removed && entry.removed_at.is_some_and(|removed_at| removed_at <= now)
        });
        let lapsed = lapsed.map(|entry| {
            entry.removed = true;
            entry.target.clone()
        });
        let lapsed = lapsed.collect();
        self.forget_removed(now);
        lapsed
    }

    /// Drops removed targets on which no request of this VM runs.
    fn forget_removed(&mut self, now: Duration) {
        let idle = self.entries.extract_if(|_, entry| entry.removed && entry.running_requests == 0);
        for (id, entry) in idle.filter(|(_, entry)| entry.availability.is_restricted(now)) {
            let (started_unix_ms, availability, until) =
                (entry.target.started_unix_ms, entry.availability, now + AVAILABILITY_TTL);
            self.removed.insert(id, Removed { started_unix_ms, availability, until });
        }
    }

    /// Records that the target at an address drains. Returns its id if this was not known before.
    pub fn mark_draining(&mut self, address: SocketAddr) -> Option<TargetKey> {
        let entry = self.entry_at(address)?;
        let is_new = entry.availability.mark_draining();
        is_new.then(|| entry.target.id.clone())
    }

    /// Records a back-off that the target at an address requests. Returns its id if the back-off
    /// became longer.
    pub fn back_off(
        &mut self,
        now: Duration,
        address: SocketAddr,
        pause: Duration,
    ) -> Option<TargetKey> {
        let entry = self.entry_at(address)?;
        let is_new = entry.availability.back_off(now, pause);
        is_new.then(|| entry.target.id.clone())
    }

    /// Returns whether the target at an address is backing off. It is then sent no probe and no
    /// report request either.
    pub fn is_backing_off(&self, now: Duration, address: SocketAddr) -> bool {
        let mut entries = self.entries.values();
        entries
            .any(|entry| entry.target.address == address && entry.availability.is_backing_off(now))
    }

    /// Returns whether any target is backing off.
    pub fn has_backing_off(&self, now: Duration) -> bool {
        self.entries.values().any(|entry| entry.availability.is_backing_off(now))
    }

    /// Returns the time until a service has a target again, if all of its targets that do not drain
    /// are backing off.
    pub fn service_available_in(&self, now: Duration, service: &str) -> Option<Duration> {
        let entries = self.entries.values().filter(|entry| entry.target.service == service);
        let staying = entries.filter(|entry| !entry.is_draining());
        // A target that is not backing off may accept requests at any moment.
        let left: Option<Vec<Duration>> =
            staying.map(|entry| entry.availability.backoff_remaining(now)).collect();
        left?.into_iter().min()
    }

    /// Returns the time until there is a path again, if it is only missing because engines are
    /// backing off.
    pub fn path_available_in(
        &self,
        now: Duration,
        model: &Model,
        query: &Query<'_>,
    ) -> Option<Duration> {
        let entries = self.entries.values().filter(|entry| entry.target.service == query.service);
        let mut ends: Vec<Duration> =
            entries.filter_map(|entry| entry.availability.backoff_remaining(now)).collect();
        ends.sort_unstable();
        let is_missing =
            |left: &Duration| self.path_with_backoff_at(now, now + *left, model, query).is_none();
        let first = ends.partition_point(is_missing);
        ends.get(first).copied()
    }

    /// Replaces the targets whose reports another VM misses by its latest statement. Returns the
    /// addresses of those that enough VMs miss; the others are used less until `until`.
    pub fn record_missed_reports(
        &mut self,
        vm: SocketAddr,
        targets: &[TargetKey],
        until: Duration,
    ) -> Vec<SocketAddr> {
        let mut silent = Vec::new();
        for (id, agreement) in self.missed.record(vm, targets, self.vms) {
            match agreement {
                Agreement::Suspected => self.deprioritise(&id, until),
                Agreement::Silent => silent.extend(self.entry(&id).map(|e| e.target.address)),
            }
        }
        silent
    }

    /// Lowers the priority of a target until `until`, because it has told another VM to back off.
    pub fn deprioritise(&mut self, id: &str, until: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.deprioritised_until = entry.deprioritised_until.max(until);
        }
    }

    /// Records that a request is sent to a target.
    pub fn request_sent(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.availability.request_sent(now);
        }
    }

    /// Records that a target has accepted a request.
    pub fn request_accepted(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.availability.request_accepted(now);
        }
    }

    /// Records a fault of the target at an address. Returns its id if this takes it out of use.
    pub fn record_fault(
        &mut self,
        now: Duration,
        address: SocketAddr,
        fault: Fault,
    ) -> Option<TargetKey> {
        let entry = self.entry_at(address)?;
        let is_newly_down = entry.health.record_fault(now, fault);
        is_newly_down.then(|| entry.target.id.clone())
    }

    /// Records that the target at an address refused a request (`own`: of this VM). Returns its id
    /// and the pause, unless it was paused already.
    pub fn record_refusal(
        &mut self,
        now: Duration,
        address: SocketAddr,
        own: bool,
    ) -> Option<(TargetKey, Duration)> {
        let entry = self.entry_at(address)?;
        let paused = entry.health.pause_remaining(now).is_some();
        entry.health.record_fault(now, if own { Fault::Full } else { Fault::ReportedFull });
        let pause = entry.health.pause_remaining(now).filter(|_| !paused)?;
        Some((entry.target.id.clone(), pause))
    }

    /// Records a correct answer of the target at an address.
    pub fn record_success(&mut self, address: SocketAddr) {
        if let Some(entry) = self.entry_at(address) {
            entry.health.record_success();
        }
    }

    /// Stores a report. Returns whether the target was out of use and is used again.
    pub fn record_report(&mut self, now: Duration, id: &str, report: &Report) -> bool {
        let Some(entry) = self.entries.get_mut(id) else { return false };
        if now >= entry.layers_changed_at + REPORT_AGE {
            entry.layers = report.layers;
            entry.orders = Some(report.orders);
        } else if entry.orders.is_none() {
            entry.orders = Some(report.orders);
        }
        entry.slowdown = report.slowdown;
        entry.health.restore(now)
    }

    /// Records that an engine has accepted an order.
    pub fn record_order(&mut self, now: Duration, id: &str) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.layers_changed_at = now;
            entry.orders = entry.orders.map(|orders| orders.saturating_add(1));
        }
    }

    /// Records that a target accepts requests again. Returns whether it was out of use.
    pub fn restore(&mut self, now: Duration, id: &str) -> bool {
        self.entries.get_mut(id).is_some_and(|entry| entry.health.restore(now))
    }

    /// Makes a probe of each target that is out of use due at once, because this VM was cut off: what
    /// it observed meanwhile does not show that a target is lost.
    pub fn probe_all(&mut self, now: Duration) {
        for entry in self.entries.values_mut() {
            entry.health.end_silence(now);
            entry.health.probe_at_once(now);
        }
    }

    /// Makes a probe of a target due within `delay`, if it is out of use.
    pub fn probe_within(&mut self, now: Duration, id: &str, delay: Duration) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.health.probe_within(now, delay);
        }
    }

    /// Returns the targets for which a probe is due: those out of use, and slow engines.
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

    /// Records that the probe sent to a target at `sent_at` was not answered. Returns whether this
    /// shows for the first time that the target is lost.
    pub fn record_unanswered_probe(
        &mut self,
        id: &str,
        sent_at: Duration,
        failure: ProbeFailure,
    ) -> bool {
        let entry = self.entries.get_mut(id);
        entry.is_some_and(|entry| entry.health.record_unanswered_probe(sent_at, failure))
    }

    /// Returns engines of a silent path for which a report request is due: as many as this VM asks at
    /// a time, from the one at `start` (0 to 1 of the path) on.
    pub fn due_report_requests(
        &mut self,
        now: Duration,
        path: &Path,
        start: f64,
    ) -> Vec<(TargetKey, SocketAddr)> {
        let length = path.stages.len();
        let first = (start * length as f64) as usize;
        let stages = path.stages.iter().cycle().skip(first).take(length).filter(|stage| {
            let entry = self.entries.get_mut(&stage.target);
            let entry = entry.filter(|entry| !entry.availability.is_backing_off(now));
            entry.is_some_and(|entry| entry.poll_report_request(now))
        });
        let asked = stages.take(engines_to_ask(length, self.vms));
        asked.map(|stage| (stage.target.clone(), stage.address)).collect()
    }

    /// Returns whether another VM has reported its load.
    pub fn has_peer_load(&self, vm: SocketAddr) -> bool {
        self.peer_loads.contains_key(&vm)
    }

    /// Stores the load that another VM reports, in tokens by target. It counts until `until`.
    pub fn record_peer_load(
        &mut self,
        vm: SocketAddr,
        loads: Vec<(TargetKey, u32)>,
        until: Duration,
    ) {
        if let Some(before) = self.peer_loads.remove(&vm) {
            self.add_peer_tokens(&before.loads, -1.0);
        }
        self.add_peer_tokens(&loads, 1.0);
        self.peer_loads.insert(vm, PeerLoad { loads, until });
    }

    fn add_peer_tokens(&mut self, loads: &[(TargetKey, u32)], sign: f64) {
        for (id, tokens) in loads {
            if let Some(entry) = self.entries.get_mut(id) {
                entry.peer_tokens = (entry.peer_tokens + sign * f64::from(*tokens)).max(0.0);
            }
        }
    }

    /// Drops the load of VMs whose last report has expired.
    fn expire_peer_loads(&mut self, now: Duration) {
        let expired = self.peer_loads.extract_if(|_, load| load.until <= now);
        let expired: Vec<(SocketAddr, PeerLoad)> = expired.collect();
        for (vm, load) in expired {
            self.add_peer_tokens(&load.loads, -1.0);
            self.missed.forget(vm);
        }
    }

    /// Returns the best path through the layers of a model.
    pub fn path(&self, now: Duration, model: &Model, query: &Query<'_>) -> Option<Path> {
        self.path_with_backoff_at(now, now, model, query)
    }

    /// Returns whether there would be a path, if the targets went on that may only be silent for a
    /// moment.
    pub fn has_path_beyond_silence(&self, now: Duration, model: &Model, query: &Query<'_>) -> bool {
        self.path_of(now, model, query, |entry| entry.may_be_usable_soon(now)).is_some()
    }

    /// Returns the best path, with back-offs evaluated at `then` instead of `now`.
    fn path_with_backoff_at(
        &self,
        now: Duration,
        then: Duration,
        model: &Model,
        query: &Query<'_>,
    ) -> Option<Path> {
        self.path_of(now, model, query, |entry| entry.is_usable_by(now, then))
    }

    /// Returns the best path through these targets.
    fn path_of(
        &self,
        now: Duration,
        model: &Model,
        query: &Query<'_>,
        is_usable: impl Fn(&Entry) -> bool,
    ) -> Option<Path> {
        // A VM that does not report its load is assumed to place the mean load of those that do and
        // of this one. After a start no VM has reported yet.
        let reported = 1 + self.peer_loads.len();
        let scale = self.vms.max(reported) as f64 / reported as f64;
        let whole = Layers::new(0, model.depth);
        // The entry of another writer may name layers that the model does not have.
        let usable = self
            .chosen(query, is_usable)
            .filter(|entry| entry.layers.is_none_or(|layers| whole.contains(layers)));
        let usable = usable.map(|entry| {
            let held = (entry.tokens + entry.peer_tokens) * scale;
            let address = &entry.target.address;
            let is_allowed = query.allowed_first.is_none_or(|first| first.contains(address));
            let may_start = is_allowed && !query.closed_first.contains(address);
            Candidate { entry, held, deprioritised: entry.is_deprioritised(now), may_start }
        });
        let usable: Vec<Candidate<'_>> = usable.collect();
        search::search(&usable, model, query.tokens, self.vms, query.prompt)
    }

    /// Returns the best target of a plain service.
    pub fn best_target(&self, now: Duration, query: &Query<'_>) -> Option<(TargetKey, SocketAddr)> {
        let weight = |entry: &Entry| {
            let remote = if entry.target.domain == self.home { 0.0 } else { REMOTE_LOAD };
            let deprioritised = if entry.is_deprioritised(now) { BACKOFF_LOAD } else { 0.0 };
            let busy = 1.0 + f64::from(entry.running_requests) + remote + deprioritised;
            busy * (1.0 + FAILURE_LOAD_FACTOR * entry.health.failure_rate())
        };
        let usable = self.chosen(query, |entry| entry.is_usable(now));
        let best = usable.min_by(|a, b| weight(a).total_cmp(&weight(b)))?;
        Some((best.target.id.clone(), best.target.address))
    }

    /// Adds prompt tokens that a target starts to prefill; a negative number removes those it has
    /// finished.
    pub fn add_prefill(&mut self, id: &str, tokens: f64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.prefill_tokens = (entry.prefill_tokens + tokens).max(0.0);
        }
    }

    /// Returns whether this VM may send another prompt over a path that crosses failure domains.
    pub fn may_cross(&self) -> bool {
        self.crossing_prompts < (MAX_CROSSING_PROMPTS / self.vms.max(1)).max(1)
    }

    /// Records that a prompt is sent over a path that crosses failure domains.
    pub fn crossing_started(&mut self) {
        self.crossing_prompts += 1;
    }

    /// Records that a prompt that crosses failure domains has been prefilled, or was given up.
    pub fn crossing_ended(&mut self) {
        self.crossing_prompts = self.crossing_prompts.saturating_sub(1);
    }

    /// Adds streams that start at an engine, and the number of them that are stalled; negative
    /// numbers remove those that end or resume.
    pub fn add_streams(&mut self, id: &str, streams: i32, stalled: i32) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.streams = entry.streams.saturating_add_signed(streams);
            entry.stalled_streams = entry.stalled_streams.saturating_add_signed(stalled);
        }
    }

    /// Adds a request that starts to run at a target.
    pub fn add_request(&mut self, id: &str, tokens: f64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.running_requests += 1;
            entry.tokens += tokens;
        }
    }

    /// Removes a request that [`Table::add_request`] added.
    pub fn remove_request(&mut self, id: &str, tokens: f64) {
        if let Some(entry) = self.entries.get_mut(id) {
            entry.running_requests = entry.running_requests.saturating_sub(1);
            entry.tokens = (entry.tokens - tokens).max(0.0);
        }
    }

    /// Returns those targets of a service that `is_usable` chooses and that are not excluded.
    fn chosen<'a>(
        &'a self,
        query: &'a Query<'_>,
        is_usable: impl Fn(&Entry) -> bool + 'a,
    ) -> impl Iterator<Item = &'a Entry> + 'a {
        self.entries.values().filter(move |entry| {
            entry.target.service == query.service
                && is_usable(entry)
                && !query.excluded.contains(&entry.target.address)
        })
    }

    fn entry_at(&mut self, address: SocketAddr) -> Option<&mut Entry> {
        // An address can be reused: the newest target there is meant.
        let entries = self.entries.values_mut();
        entries
            .filter(|entry| entry.target.address == address)
            .max_by_key(|e| e.target.started_unix_ms)
    }
}
