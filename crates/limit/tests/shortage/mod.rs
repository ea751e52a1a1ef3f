//! Nodes that share engines with too little memory, in virtual time.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use limit::admission::{Decision, Demanded, FULL_PRESSURE, Place, Rank, Room, Ticket};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::SmolStr;

/// Shortest interval at which the first queued request of a node is decided on again.
const POLL: Duration = Duration::from_millis(30);
/// Mean time for which a request holds its memory, seconds.
const MEAN_RUN_S: f64 = 3.0;
/// Time after which a caller no longer retries.
const PATIENCE: Duration = Duration::from_secs(10);
/// Size of the body of each request, bytes.
const BODY_BYTES: usize = 2000;
/// Name of the service.
static SERVICE: SmolStr = SmolStr::new_static("model");

/// Requests of one organisation with one rank.
#[derive(Clone, Debug)]
pub(crate) struct Source {
    pub(crate) organisation: &'static str,
    pub(crate) rank: Rank,
    /// Requests per second at all nodes.
    pub(crate) rate: f64,
    /// Times at which the rate applies, seconds.
    pub(crate) active: (f64, f64),
    /// Tokens of a request, least and most; evenly spread over the logarithm.
    pub(crate) tokens: (f64, f64),
    pub(crate) goal: Duration,
}

/// What became of the requests of a source.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub(crate) offered: u32,
    /// Times that one of them was offered, with those after refusals.
    pub(crate) tries: u32,
    /// Admitted without a refusal.
    pub(crate) unrefused: u32,
    /// Admitted within the latency goal.
    pub(crate) in_time: u32,
    /// Admitted at any time.
    pub(crate) served: u32,
    /// Tokens of the offered requests and of those admitted without a refusal.
    pub(crate) tokens: (f64, f64),
    /// The offered and unrefused requests of the larger half of the sizes.
    pub(crate) large: (u32, u32),
}

impl Counts {
    pub(crate) fn unrefused_share(&self) -> f64 {
        f64::from(self.unrefused) / f64::from(self.offered.max(1))
    }

    pub(crate) fn in_time_share(&self) -> f64 {
        f64::from(self.in_time) / f64::from(self.offered.max(1))
    }

    /// Returns the admitted share of all tries.
    pub(crate) fn rate(&self) -> f64 {
        f64::from(self.served) / f64::from(self.tries.max(1))
    }
}

/// Returns the sum of counts.
pub(crate) fn sum<'a>(counts: impl IntoIterator<Item = &'a Counts>) -> Counts {
    counts.into_iter().fold(Counts::default(), |sum, counts| Counts {
        offered: sum.offered + counts.offered,
        tries: sum.tries + counts.tries,
        unrefused: sum.unrefused + counts.unrefused,
        in_time: sum.in_time + counts.in_time,
        served: sum.served + counts.served,
        tokens: (sum.tokens.0 + counts.tokens.0, sum.tokens.1 + counts.tokens.1),
        large: (sum.large.0 + counts.large.0, sum.large.1 + counts.large.1),
    })
}

/// How requests are admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Policy {
    /// By [`Room`].
    Room,
    /// Below full pressure; all others are refused.
    Refuse,
}

/// The nodes and engines.
#[derive(Clone, Debug)]
pub(crate) struct Site {
    pub(crate) nodes: usize,
    pub(crate) engines: usize,
    /// Memory of an engine, tokens.
    pub(crate) memory: f64,
    pub(crate) time: Duration,
    /// Requests that arrive before are not counted.
    pub(crate) warm_up: Duration,
    /// Interval at which nodes learn each other's loads. What they learn is as old again.
    pub(crate) exchange: Duration,
    pub(crate) seed: u64,
    pub(crate) policy: Policy,
}

/// Counts by source, and what was observed of the engines and nodes.
#[derive(Clone, Debug, Default)]
pub(crate) struct Outcome {
    pub(crate) counts: Vec<Counts>,
    /// Longest wait in a queue beyond the latency goal.
    pub(crate) max_excess: Duration,
}

#[derive(Clone, Debug)]
struct Request {
    source: usize,
    tokens: f64,
    arrived: Duration,
    tried: Duration,
    refused: bool,
    node: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Next(usize),
    Try(usize),
    End(usize, usize),
    Poll(usize),
    Exchange(usize),
}

struct Run<'a> {
    site: &'a Site,
    sources: &'a [Source],
    rng: SmallRng,
    /// For the arrivals, so that they are the same under both policies.
    arrivals: SmallRng,
    now: Duration,
    events: BinaryHeap<Reverse<(Duration, u64, Event)>>,
    event_count: u64,
    requests: Vec<Request>,
    rooms: Vec<Room>,
    queues: Vec<BTreeMap<Ticket, usize>>,
    /// Tokens held by requests of each node at each engine.
    own: Vec<Vec<f64>>,
    /// What each node knows of the others, and what it will know next.
    known: Vec<[Vec<f64>; 2]>,
    outcome: Outcome,
}

impl Site {
    /// Runs the requests of these sources.
    pub(crate) fn run(&self, sources: &[Source]) -> Outcome {
        let none = vec![0.0; self.engines];
        let mut run = Run {
            site: self,
            sources,
            rng: SmallRng::seed_from_u64(self.seed),
            arrivals: SmallRng::seed_from_u64(!self.seed),
            now: Duration::ZERO,
            events: BinaryHeap::new(),
            event_count: 0,
            requests: Vec::new(),
            rooms: vec![Room::default(); self.nodes],
            queues: vec![BTreeMap::new(); self.nodes],
            own: vec![none.clone(); self.nodes],
            known: vec![[none.clone(), none]; self.nodes],
            outcome: Outcome {
                counts: vec![Counts::default(); sources.len()],
                ..Outcome::default()
            },
        };
        run.all();
        run.outcome
    }
}

impl Run<'_> {
    fn all(&mut self) {
        for source in 0..self.sources.len() {
            let start = Duration::from_secs_f64(self.sources[source].active.0);
            let pause = exponential(&mut self.arrivals, 1.0 / self.sources[source].rate);
            self.push(start + pause, Event::Next(source));
        }
        for node in 0..self.site.nodes {
            let phase = self.rng.random::<f64>();
            self.push(self.site.exchange.mul_f64(phase), Event::Exchange(node));
            self.push(POLL.mul_f64(phase), Event::Poll(node));
        }
        while let Some(Reverse((at, _, event))) = self.events.pop() {
            if at > self.site.time {
                break;
            }
            self.now = at;
            self.handle(event);
        }
    }

    fn push(&mut self, at: Duration, event: Event) {
        self.event_count += 1;
        self.events.push(Reverse((at, self.event_count, event)));
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Next(source) => self.arrive(source),
            Event::Try(request) => self.enter(request),
            Event::End(request, engine) => {
                let Request { node, tokens, .. } = self.requests[request];
                self.own[node][engine] -= tokens;
                self.poll(node);
            }
            Event::Poll(node) => {
                self.poll(node);
                let spread = self.rng.random::<f64>();
                self.push(self.now + POLL.mul_f64(1.0 + spread), Event::Poll(node));
            }
            Event::Exchange(node) => {
                let total: Vec<f64> = (0..self.site.engines).map(|e| self.held(e)).collect();
                let others = total.iter().zip(&self.own[node]).map(|(all, own)| all - own);
                let others: Vec<f64> = others.collect();
                let [known, next] = &mut self.known[node];
                *known = std::mem::replace(next, others);
                self.push(self.now + self.site.exchange, Event::Exchange(node));
            }
        }
    }

    fn held(&self, engine: usize) -> f64 {
        self.own.iter().map(|own| own[engine]).sum()
    }

    fn arrive(&mut self, source: usize) {
        let Source { rate, active, tokens: (least, most), .. } = self.sources[source];
        if self.now.as_secs_f64() > active.1 {
            return;
        }
        let draw: f64 = self.arrivals.random();
        let tokens = least * (most / least).powf(draw);
        let node = self.arrivals.random_range(0..self.site.nodes);
        let (arrived, tried) = (self.now, self.now);
        self.requests.push(Request { source, tokens, arrived, tried, refused: false, node });
        if self.now >= self.site.warm_up {
            let counts = &mut self.outcome.counts[source];
            counts.offered += 1;
            counts.tokens.0 += tokens;
            counts.large.0 += u32::from(draw > 0.5);
        }
        self.enter(self.requests.len() - 1);
        let pause = exponential(&mut self.arrivals, 1.0 / rate);
        self.push(self.now + pause, Event::Next(source));
    }

    /// Returns the engine with the lowest pressure as the node knows it, and the pressure.
    fn best(&self, node: usize, tokens: f64) -> (usize, f64) {
        let held = |engine: usize| self.own[node][engine] + self.known[node][0][engine];
        let engines = 0..self.site.engines;
        let engine = engines.min_by(|a, b| held(*a).total_cmp(&held(*b))).expect("some engines");
        (engine, (held(engine) + tokens) / self.site.memory)
    }

    fn enter(&mut self, request: usize) {
        let Request { source, tokens, node, .. } = self.requests[request];
        self.requests[request].tried = self.now;
        if self.requests[request].arrived >= self.site.warm_up {
            self.outcome.counts[source].tries += 1;
        }
        let (engine, pressure) = self.best(node, tokens);
        if self.site.policy == Policy::Refuse {
            match pressure <= FULL_PRESSURE {
                true => self.start(request, engine),
                false => self.refuse(request, Duration::from_millis(1500)),
            }
            return;
        }
        let Source { organisation, rank, goal, .. } = self.sources[source];
        let organisation = organisation.into();
        let demanded = Demanded {
            service: &SERVICE,
            rank,
            organisation: &organisation,
            tokens,
            bytes: BODY_BYTES,
            share: tokens / self.site.memory,
            until: Some(self.now + goal),
            is_new: true,
        };
        match self.rooms[node].enter(self.now, &demanded, pressure).decision {
            Decision::Admit => self.start(request, engine),
            Decision::Refuse(after) => self.refuse(request, after),
            Decision::Queue(ticket) => {
                self.queues[node].insert(ticket, request);
                self.poll(node);
            }
        }
    }

    /// Decides on queued requests until none can leave the queue.
    fn poll(&mut self, node: usize) {
        while self.poll_once(node) {}
    }

    /// Returns whether a request has left the queue.
    fn poll_once(&mut self, node: usize) -> bool {
        let room = &self.rooms[node];
        let is_due =
            |ticket: Ticket| room.place(ticket) != Place::Behind || room.until(ticket) <= self.now;
        let queue = self.queues[node].iter().map(|(ticket, request)| (*ticket, *request));
        let due: Vec<(Ticket, usize)> = queue.filter(|(ticket, _)| is_due(*ticket)).collect();
        let mut is_changed = false;
        for (ticket, request) in due {
            let (engine, pressure) = self.best(node, self.requests[request].tokens);
            match self.rooms[node].poll(self.now, ticket, pressure).decision {
                Decision::Queue(_) => continue,
                Decision::Admit => self.start(request, engine),
                Decision::Refuse(after) => self.refuse(request, after),
            }
            self.queues[node].remove(&ticket);
            is_changed = true;
        }
        is_changed
    }

    fn start(&mut self, request: usize, engine: usize) {
        let Request { source, tokens, arrived, tried, refused, node } = self.requests[request];
        let goal = self.sources[source].goal;
        self.outcome.max_excess =
            self.outcome.max_excess.max((self.now - tried).saturating_sub(goal));
        self.own[node][engine] += tokens;
        let run = exponential(&mut self.rng, MEAN_RUN_S);
        self.push(self.now + run, Event::End(request, engine));
        if arrived >= self.site.warm_up {
            let (least, most) = self.sources[source].tokens;
            let counts = &mut self.outcome.counts[source];
            counts.served += 1;
            counts.in_time += u32::from(self.now - arrived <= goal);
            counts.unrefused += u32::from(!refused);
            counts.tokens.1 += if refused { 0.0 } else { tokens };
            counts.large.1 += u32::from(!refused && tokens > (least * most).sqrt());
        }
    }

    fn refuse(&mut self, request: usize, after: Duration) {
        let Request { arrived, .. } = self.requests[request];
        self.requests[request].refused = true;
        let retry = self.now + after.mul_f64(1.0 + 1.5 * self.rng.random::<f64>());
        if retry < arrived + PATIENCE {
            // Callers return to any node.
            self.requests[request].node = self.rng.random_range(0..self.site.nodes);
            self.push(retry, Event::Try(request));
        }
    }
}

fn exponential(rng: &mut SmallRng, mean_s: f64) -> Duration {
    let draw: f64 = rng.random();
    Duration::from_secs_f64(-mean_s * (1.0 - draw).ln())
}
