//! Permits for requests to targets that limit them: a target in need names the requests per second
//! that it takes from all VMs together, and that limit is one sum over all VMs.
//!
//! Each target has one issuer among the VMs, chosen by a hash, that counts for all of them. A VM
//! that sends a request to a limited target asks its issuer for a permit first. Permits are spent at
//! once: one that is lost on the way, or not used, reduces what the target gets and never adds to
//! it. An issuer that begins to count tells all VMs, and each of them answers with what it has sent
//! of late, so that calls from before they knew the limit count as well.
//!
//! A VM issues in proportion to the VMs that it hears: two halves of a divided fleet, which choose
//! two issuers, issue together no more than the limit. VMs that are registered and issue nothing
//! (they are frozen or ended, or run an earlier build) keep their part, so that what those send
//! without permits has room.
//!
//! [`Permits`] is a state machine without clock or socket.

use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::net::SocketAddr;
use std::time::Duration;

use site::Rate;

use crate::window::{SPAN, Window};

mod message;

pub use message::{Address, Answer, Class, Limit, Outgoing, Request, Verdict, Vm, Word};

/// Longest time between two requests to a target that takes fewer, or none: without any request,
/// nobody would learn that its limit has ended.
const TRIAL_INTERVAL: Duration = Duration::from_secs(4);
/// Time by which requests may be ahead of an even distribution.
const BURST: Duration = Duration::from_millis(100);
/// The same for streams that resume, which go before new requests.
const RESUMPTION_BURST: Duration = Duration::from_millis(500);
/// Further requests by which streams that resume may be ahead.
const RESUMPTION_EXTRA: u32 = 2;
/// Requests for each own call of a VM, while callers' requests use the limit.
const REQUESTS_PER_CALL: u32 = 8;
/// Longest time between two own calls that requests leave: a target that is left out is used again
/// only after one.
const MAX_CALL_PAUSE: Duration = Duration::from_secs(4);
/// Time since the last request within which callers' requests are said to use the limit.
const IN_USE_TIME: Duration = Duration::from_secs(1);
/// Span over which the calls that reach a target are counted.
const COUNTED_SPAN: Duration = Duration::from_secs(4);
/// Calls that a target tolerates in that span, as a multiple of its limit.
const TOLERATED_FACTOR: f64 = 1.5;
/// Calls that a target tolerates beyond that, less those of VMs that have not yet told what they
/// have sent.
const TOLERATED_EXTRA: f64 = 3.0;
/// Time for which a target is left alone whose issuer does not answer.
const SILENCE_PAUSE: Duration = Duration::from_millis(100);
/// Longest time for which a VM does not ask again for a permit that it was denied.
const MAX_PAUSE: Duration = Duration::from_secs(4);
/// Time for which a permit that was not used serves another request.
const SPARE_TIME: Duration = Duration::from_millis(200);
/// Time in which the VMs tell an issuer that begins to count what they have sent.
const GATHER_TIME: Duration = Duration::from_millis(20);
/// Time after which a target that has said nothing is forgotten.
const RETENTION: Duration = Duration::from_secs(600);

/// Latest statement of a target on its limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Statement {
    /// The limit; `None` if the target takes any number of requests.
    rate: Option<Rate>,
    /// Time of the statement.
    at: Duration,
    /// Time at which the target first named this limit or a higher one.
    named_at: Duration,
}

impl Statement {
    fn word(&self, now: Duration) -> Word {
        let age = |at: Duration| now.saturating_sub(at).as_millis() as u64;
        Word { rate: self.rate, age_ms: age(self.at), named_ms: age(self.named_at) }
    }

    fn from_word(word: Word, now: Duration) -> Self {
        let time = |age: u64| now.saturating_sub(Duration::from_millis(age));
        Self { rate: word.rate, at: time(word.age_ms), named_at: time(word.named_ms) }
    }

    /// Returns this statement, or the other one if that is later.
    fn merged(self, other: Statement) -> Self {
        if other.at <= self.at {
            return self;
        }
        let is_same = self.rate.is_some() && other.rate >= self.rate;
        let named_at = if is_same { self.named_at.min(other.named_at) } else { other.named_at };
        Statement { named_at, ..other }
    }
}

/// Another limit of a target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Change {
    /// The target.
    pub target: Address,
    /// The limit that was known before; `None` if the target took any number of requests.
    pub before: Option<Rate>,
    /// The limit.
    pub rate: Option<Rate>,
}

/// What a VM does with a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The target has no limit.
    Free,
    /// The call may be sent after this time.
    Granted(Duration),
    /// The limit is used up for this time.
    Denied(Duration),
    /// The issuer decides.
    Ask(Vm, Request),
}

/// VMs that can issue permits.
#[derive(Clone, Debug)]
struct Members {
    own: Vm,
    /// Whether this VM issues permits.
    issues: bool,
    /// The other VMs in the store's list.
    registered: BTreeSet<Vm>,
    /// Those that say that they issue permits, with the time until which the word counts.
    issuing: BTreeMap<Vm, Duration>,
}

impl Members {
    fn issuers(&self, now: Duration) -> impl Iterator<Item = Vm> {
        let others = self.issuing.iter();
        let others =
            others.filter(move |(vm, until)| **until > now && self.registered.contains(vm));
        others.map(|(vm, _)| *vm).chain(self.issues.then_some(self.own))
    }

    /// Returns the VM that issues the permits for a target.
    fn issuer(&self, now: Duration, target: Address) -> Option<Vm> {
        self.issuers(now).max_by_key(|vm| (mix(hash(*vm) ^ hash(target).rotate_left(32)), *vm))
    }

    /// Returns the part of a limit that this VM may issue.
    fn portion(&self, now: Duration) -> f64 {
        self.issuers(now).count() as f64 / (1 + self.registered.len()) as f64
    }
}

/// Hashes an address, the same in all builds.
fn hash(address: SocketAddr) -> u64 {
    let ip = match address.ip() {
        std::net::IpAddr::V4(ip) => u128::from(ip.to_bits()),
        std::net::IpAddr::V6(ip) => ip.to_bits(),
    };
    mix(mix(ip as u64 ^ mix((ip >> 64) as u64)) ^ u64::from(address.port()))
}

/// Mixes the bits of a number (the finaliser of SplitMix64).
fn mix(mut bits: u64) -> u64 {
    bits = bits.wrapping_add(0x9e37_79b9_7f4a_7c15);
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}

/// What an issuer counts for a target, over all VMs.
#[derive(Clone, Debug)]
struct Ledger {
    /// Calls of all VMs, as far as they are known.
    calls: Window,
    /// Time at which the calls so far are spent if they are distributed evenly.
    next: Duration,
    last_request: Option<Duration>,
    last_call: Option<Duration>,
}

impl Ledger {
    /// Returns the ledger of an issuer that begins to count. The issuer before it may have granted a
    /// permit a moment ago.
    fn new(now: Duration, interval: Duration) -> Self {
        let next = now + GATHER_TIME + interval;
        Self { calls: Window::default(), next, last_request: None, last_call: None }
    }

    /// Takes a permit, and returns the time after which it may be used.
    ///
    /// # Errors
    ///
    /// Returns the time until there is one if that is longer than `patience`.
    fn take(
        &mut self,
        now: Duration,
        (class, patience): (Class, Duration),
        interval: Duration,
        tolerated: Tolerated,
    ) -> Result<Duration, Duration> {
        let wait = match class {
            Class::Order => Duration::ZERO,
            _ => self.even_wait(now, class, interval).max(self.wait(now, tolerated)),
        };
        if wait > patience {
            return Err(wait);
        }
        self.next = self.next.max(now) + interval;
        self.calls.add(now, 1);
        match class {
            Class::Resumption | Class::Request => self.last_request = Some(now),
            Class::Call | Class::Order | Class::Notice => self.last_call = Some(now),
        }
        Ok(wait)
    }

    /// Returns the wait that distributes the calls evenly.
    fn even_wait(&self, now: Duration, class: Class, interval: Duration) -> Duration {
        let is_in_use = self.last_request.is_some_and(|last| last + IN_USE_TIME > now);
        let ahead = match class {
            Class::Resumption => RESUMPTION_BURST + interval * RESUMPTION_EXTRA,
            Class::Request => BURST,
            _ if is_in_use => BURST + interval,
            _ => Duration::ZERO,
        };
        let wait = self.next.saturating_sub(now + ahead);
        match self.last_call.filter(|_| class == Class::Call && is_in_use) {
            Some(last) => {
                let pause = (interval * REQUESTS_PER_CALL).min(MAX_CALL_PAUSE).max(interval);
                wait.max((last + pause).saturating_sub(now))
            }
            None => wait,
        }
    }

    /// Returns the wait after which one more call is tolerated.
    fn wait(&self, now: Duration, tolerated: Tolerated) -> Duration {
        let Tolerated { calls, since } = tolerated;
        let start = now.max(since).saturating_sub(SPAN);
        let clear_at = self.calls.clears(start, calls.saturating_sub(1));
        clear_at.map_or(Duration::ZERO, |at| (at + SPAN).saturating_sub(now))
    }
}

/// Calls that a target tolerates in a span.
#[derive(Clone, Copy, Debug)]
struct Tolerated {
    calls: u32,
    /// Time at which the VMs have had time to learn of the limit.
    since: Duration,
}

impl Tolerated {
    fn new(rate: Rate, since: Duration) -> Self {
        let per_span = rate.per_second() * COUNTED_SPAN.as_secs_f64();
        Self { calls: (TOLERATED_FACTOR * per_span + TOLERATED_EXTRA) as u32, since }
    }
}

/// State of one target.
#[derive(Clone, Debug, Default)]
struct Target {
    statement: Statement,
    /// Calls that this VM has sent.
    sent: Window,
    /// Issuer that knows what this VM has sent.
    told: Option<Vm>,
    /// Time until which the limit is used up for new requests.
    requests_closed_until: Duration,
    /// Time until which it is used up for streams that resume.
    resumptions_closed_until: Duration,
    /// Time until which it is used up for the VM's own calls.
    calls_closed_until: Duration,
    /// Time until which a permit that was not used serves another request.
    spare_until: Option<Duration>,
    /// Present on a VM that issues the permits of the target.
    ledger: Option<Ledger>,
}

impl Target {
    /// Returns the time between two requests if this VM issues a portion of the limit.
    fn interval(&self, portion: f64) -> Duration {
        let whole = self.statement.rate.map(|rate| rate.interval(TRIAL_INTERVAL));
        let interval = whole.unwrap_or_default().div_f64(portion.max(f64::EPSILON));
        interval.min(TRIAL_INTERVAL * 2)
    }

    /// Returns the time until which the limit is used up for a class.
    fn closed_until(&self, class: Class) -> Duration {
        match class {
            Class::Resumption => self.resumptions_closed_until,
            Class::Request => self.requests_closed_until,
            Class::Call | Class::Order | Class::Notice => self.calls_closed_until,
        }
    }

    fn close(&mut self, class: Class, until: Duration) {
        match class {
            Class::Resumption => self.resumptions_closed_until = until,
            Class::Request => self.requests_closed_until = until,
            Class::Call | Class::Order | Class::Notice => self.calls_closed_until = until,
        }
    }

    /// Lets requests of all classes ask again.
    fn open(&mut self) {
        (self.requests_closed_until, self.resumptions_closed_until) = Default::default();
        self.calls_closed_until = Duration::ZERO;
    }
}

/// Limits of all targets, the permits that this VM issues, and those that it has been denied.
#[derive(Clone, Debug)]
pub struct Permits {
    members: Members,
    /// Time that VMs have to learn of a limit.
    contact: Duration,
    targets: HashMap<Address, Target>,
    /// Targets that name a limit: few of many.
    limited: BTreeSet<Address>,
    newest: u64,
    outbox: Vec<(Vm, Outgoing)>,
    changes: Vec<Change>,
}

impl Permits {
    /// Returns the state of the VM `own`, without any other VM; `contact` is the time that VMs have
    /// to learn of a limit.
    pub fn new(own: Vm, contact: Duration) -> Self {
        let (registered, issuing) = Default::default();
        let members = Members { own, issues: false, registered, issuing };
        let (targets, limited) = Default::default();
        let (newest, outbox, changes) = Default::default();
        Self { members, contact, targets, limited, newest, outbox, changes }
    }

    /// Sets whether this VM issues permits.
    pub fn set_issuing(&mut self, issues: bool) {
        self.members.issues = issues;
    }

    /// Sets the other VMs that are registered in the store.
    pub fn set_registered(&mut self, others: BTreeSet<Vm>) {
        self.members.issuing.retain(|vm, _| others.contains(vm));
        self.members.registered = others;
    }

    /// Records whether another VM issues permits. The word counts until `until`.
    pub fn record_issuing(&mut self, vm: Vm, issues: bool, until: Duration) {
        match issues {
            true => self.members.issuing.insert(vm, until),
            false => self.members.issuing.remove(&vm),
        };
    }

    /// Records a call that is sent to a target.
    pub fn record_sent(&mut self, now: Duration, target: Address) {
        self.targets.entry(target).or_default().sent.add(now, 1);
    }

    /// Records what an answer to a call sent at `sent_at` says of the target's limit.
    pub fn record_statement(
        &mut self,
        now: Duration,
        target: Address,
        sent_at: Duration,
        rate: Option<Rate>,
    ) {
        let Statement { rate: before, at, named_at } = self.statement(target);
        if rate.is_none() && sent_at < at {
            // Answers may overtake each other: this one may be older than the limit.
            return;
        }
        let is_same = before.is_some() && rate >= before;
        let named_at = if is_same { named_at } else { now };
        if self.state(target, Statement { rate, at: now, named_at }) {
            self.tell(now, target);
        }
    }

    /// Returns the latest statement of a target.
    fn statement(&self, target: Address) -> Statement {
        self.targets.get(&target).map(|target| target.statement).unwrap_or_default()
    }

    /// Takes over a statement of a target. Returns whether it names another limit: then requests of
    /// all classes may ask again.
    fn state(&mut self, address: Address, statement: Statement) -> bool {
        let target = self.targets.entry(address).or_default();
        let before = std::mem::replace(&mut target.statement, statement).rate;
        let rate = statement.rate;
        if rate == before {
            return false;
        }
        target.open();
        match rate {
            Some(_) => self.limited.insert(address),
            None => self.limited.remove(&address),
        };
        self.changes.push(Change { target: address, before, rate });
        true
    }

    /// Takes over the word of another VM if it is later than what is known. Returns whether it names
    /// another limit.
    fn merge(&mut self, now: Duration, target: Address, word: Word) -> bool {
        let statement = self.statement(target).merged(Statement::from_word(word, now));
        self.state(target, statement)
    }

    /// Tells of another limit of a target: all VMs if this one issues its permits, else the issuer.
    fn tell(&mut self, now: Duration, address: Address) {
        match self.members.issuer(now, address) {
            None => {}
            Some(issuer) if issuer == self.members.own => {
                self.ledger(now, address);
                self.broadcast(now, address);
            }
            Some(issuer) => self.notify(now, address, issuer),
        }
    }

    /// Tells all VMs of the limit of a target.
    fn broadcast(&mut self, now: Duration, address: Address) {
        let Some(target) = self.targets.get(&address) else { return };
        let limit = Limit { target: address, word: target.statement.word(now) };
        let others = self.members.issuers(now).filter(|vm| *vm != self.members.own);
        self.outbox.extend(others.map(|vm| (vm, Outgoing::Limit(limit))));
    }

    /// Tells an issuer what this VM knows of a target's limit and has sent to it.
    fn notify(&mut self, now: Duration, address: Address, issuer: Vm) {
        if let Some(request) = self.request(now, address, issuer, Class::Notice, Duration::ZERO) {
            self.outbox.push((issuer, Outgoing::Notice(request)));
        }
    }

    /// Returns the messages to be sent.
    pub fn take_outbox(&mut self) -> Vec<(Vm, Outgoing)> {
        std::mem::take(&mut self.outbox)
    }

    /// Returns the limits that have changed since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// Records what the issuer of a target's permits tells of its limit.
    pub fn record_limit(&mut self, now: Duration, issuer: Vm, limit: &Limit) {
        self.merge(now, limit.target, limit.word);
        let target = self.targets.entry(limit.target).or_default();
        if target.statement.rate.is_some() && target.told != Some(issuer) {
            self.notify(now, limit.target, issuer);
        }
    }

    /// Forgets a target that has ended: the next one at its address has named no limit yet.
    pub fn forget(&mut self, now: Duration, target: Address) {
        if self.targets.contains_key(&target) {
            let statement = Statement { rate: None, at: now, named_at: now };
            self.state(target, statement);
            self.targets.insert(target, Target { statement, ..Target::default() });
        }
    }

    /// Drops what is no longer of use.
    pub fn expire(&mut self, now: Duration) {
        self.members.issuing.retain(|_, until| *until > now);
        self.targets.retain(|_, target| {
            let Statement { rate, at, .. } = target.statement;
            let retention = if rate.is_some() { RETENTION } else { SPAN };
            at + retention > now || target.sent.clears(now.saturating_sub(SPAN), 0).is_some()
        });
        self.limited.retain(|target| self.targets.contains_key(target));
    }

    /// Returns the limit of a target.
    pub fn limit(&self, target: Address) -> Option<Rate> {
        self.targets.get(&target)?.statement.rate
    }

    /// Returns the number of targets that name a limit.
    pub fn limited(&self) -> usize {
        self.limited.len()
    }

    /// Returns the targets whose limits are used up for a class for longer than `patience`.
    pub fn closed(&self, now: Duration, class: Class, patience: Duration) -> Vec<Address> {
        let limited = self.limited.iter().copied();
        limited.filter(|target| self.opens_in(now, class, *target) > patience).collect()
    }

    /// Returns the time until the limit of a target is no longer used up for a class.
    pub fn opens_in(&self, now: Duration, class: Class, target: Address) -> Duration {
        let known = self.targets.get(&target).filter(|target| target.statement.rate.is_some());
        known.map_or(Duration::ZERO, |target| target.closed_until(class).saturating_sub(now))
    }

    /// Returns whether this VM has lately been denied permits for requests to a target.
    pub fn is_used_up(&self, now: Duration, target: Address) -> bool {
        let known = self.targets.get(&target).filter(|target| target.statement.rate.is_some());
        known.is_some_and(|target| target.requests_closed_until + IN_USE_TIME > now)
    }

    /// Decides on a call that can wait for `patience`.
    pub fn decide(
        &mut self,
        now: Duration,
        address: Address,
        class: Class,
        patience: Duration,
    ) -> Decision {
        let issuer = self.members.issuer(now, address);
        let Some(target) = self.targets.get_mut(&address) else { return Decision::Free };
        if target.statement.rate.is_none() {
            return Decision::Free;
        }
        let is_request = matches!(class, Class::Resumption | Class::Request);
        if is_request && target.spare_until.take().is_some_and(|until| until > now) {
            return Decision::Granted(Duration::ZERO);
        }
        let closed_for = target.closed_until(class).saturating_sub(now);
        if closed_for > patience && class != Class::Order {
            return Decision::Denied(closed_for);
        }
        let Some(issuer) = issuer else {
            return self.apply(now, address, class, Verdict::NotIssuer);
        };
        if issuer == self.members.own {
            let verdict = self.issue(now, address, class, patience);
            return self.apply(now, address, class, verdict);
        }
        match self.request(now, address, issuer, class, patience) {
            Some(request) => Decision::Ask(issuer, request),
            None => Decision::Free,
        }
    }

    /// Returns a request to the issuer of a target; `None` for an unknown target.
    fn request(
        &mut self,
        now: Duration,
        address: Address,
        issuer: Vm,
        class: Class,
        patience: Duration,
    ) -> Option<Request> {
        let target = self.targets.get_mut(&address)?;
        target.ledger = None;
        let sent = match target.told == Some(issuer) {
            true => Vec::new(),
            false => target.sent.counts(now),
        };
        self.newest += 1;
        let (number, word) = (self.newest, target.statement.word(now));
        let patience_ms = patience.as_millis() as u64;
        Some(Request { target: address, number, class, patience_ms, word, sent })
    }

    /// Answers a request of another VM.
    pub fn answer(&mut self, now: Duration, request: &Request) -> Answer {
        let address = request.target;
        let is_other = self.merge(now, address, request.word);
        let is_issuer = self.members.issuer(now, address) == Some(self.members.own);
        let verdict = if is_issuer {
            self.ledger(now, address).calls.merge(now, &request.sent);
            if is_other {
                self.broadcast(now, address);
            }
            let patience = Duration::from_millis(request.patience_ms);
            self.issue(now, address, request.class, patience)
        } else {
            self.targets.entry(address).or_default().ledger = None;
            Verdict::NotIssuer
        };
        let word = self.statement(address).word(now);
        Answer { target: address, number: request.number, verdict, word }
    }

    /// Records an answer, also one that nobody waits for: its issuer knows what this VM has sent.
    pub fn record_answer(&mut self, issuer: Vm, answer: &Answer) {
        if answer.verdict == Verdict::NotIssuer {
            return;
        }
        if let Some(target) = self.targets.get_mut(&answer.target) {
            target.told = Some(issuer);
        }
    }

    /// Applies the answer of an issuer to a request of this VM.
    pub fn accept(
        &mut self,
        now: Duration,
        issuer: Vm,
        request: &Request,
        answer: &Answer,
    ) -> Decision {
        self.record_answer(issuer, answer);
        self.merge(now, request.target, answer.word);
        match self.apply(now, request.target, request.class, answer.verdict) {
            // A call waits no longer than it can, whatever the issuer says.
            Decision::Granted(wait) => {
                Decision::Granted(wait.min(Duration::from_millis(request.patience_ms)))
            }
            decision => decision,
        }
    }

    /// Records that the issuer of a target has not answered a request.
    pub fn record_silence(&mut self, now: Duration, request: &Request) -> Decision {
        self.apply(now, request.target, request.class, Verdict::NotIssuer)
    }

    /// Returns a permit that was not used, because the target could not be connected to.
    pub fn give_back(&mut self, now: Duration, target: Address) {
        if let Some(target) = self.targets.get_mut(&target) {
            target.spare_until = Some(now + SPARE_TIME);
        }
    }

    /// Returns the ledger of a target whose permits this VM issues. Tells all VMs if it begins to.
    fn ledger(&mut self, now: Duration, address: Address) -> &mut Ledger {
        let is_new = self.targets.get(&address).is_none_or(|target| target.ledger.is_none());
        if is_new {
            self.broadcast(now, address);
        }
        let (own, portion) = (self.members.own, self.members.portion(now));
        let target = self.targets.entry(address).or_default();
        let interval = target.interval(portion);
        let ledger = target.ledger.get_or_insert_with(|| Ledger::new(now, interval));
        if target.told.replace(own) != Some(own) {
            ledger.calls.merge(now, &target.sent.counts(now));
        }
        ledger
    }

    /// Issues a permit.
    fn issue(
        &mut self,
        now: Duration,
        address: Address,
        class: Class,
        patience: Duration,
    ) -> Verdict {
        let portion = self.members.portion(now);
        let target = self.targets.entry(address).or_default();
        let Some(rate) = target.statement.rate else { return Verdict::Unlimited };
        if class == Class::Notice {
            return Verdict::Granted(0);
        }
        let interval = target.interval(portion);
        let tolerated = Tolerated::new(rate, target.statement.named_at + self.contact);
        match self.ledger(now, address).take(now, (class, patience), interval, tolerated) {
            Ok(wait) => Verdict::Granted(wait.as_millis() as u64),
            // Rounded up: a call that comes earlier is denied again.
            Err(wait) => Verdict::Denied(wait.as_millis() as u64 + 1),
        }
    }

    /// Returns what follows from a verdict.
    fn apply(
        &mut self,
        now: Duration,
        address: Address,
        class: Class,
        verdict: Verdict,
    ) -> Decision {
        let target = self.targets.entry(address).or_default();
        let wait = match verdict {
            Verdict::Granted(wait) => return Decision::Granted(Duration::from_millis(wait)),
            Verdict::Unlimited => return Decision::Free,
            Verdict::Denied(wait) => Duration::from_millis(wait).min(MAX_PAUSE),
            Verdict::NotIssuer => SILENCE_PAUSE,
        };
        target.close(class, now + wait);
        Decision::Denied(wait)
    }
}
