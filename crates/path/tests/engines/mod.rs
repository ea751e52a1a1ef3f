//! Engines that prefill prompts in pieces, and nodes that choose among them, in simulated time.

use std::net::SocketAddr;
use std::time::Duration;

use fleet::Layers;
use path::{Level, Prompt, Query, Rank, Ranks, Table};
use site::{Card, Model, State, Target, TargetKey};

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(1);
/// Tokens that an engine prefills before it looks for a more urgent prompt.
const PIECE_TOKENS: f64 = 512.0;
/// Tokens that the reference accelerator prefills per second.
const PREFILL_TOKENS_PER_S: f64 = 40_000.0;
/// Mean prompt, tokens.
pub(crate) const MEAN_PROMPT: f64 = 760.0;
/// Longest prompt, tokens.
pub(crate) const LONGEST_PROMPT: f64 = 2_280.0;
/// Tokens of each answer.
const ANSWER_TOKENS: f64 = 170.0;
/// Time from the first event of an answer to its last one.
const DECODE_TIME: Duration = Duration::from_secs(2);
/// Latency goal of all requests.
pub(crate) const GOAL: Duration = Duration::from_millis(500);
/// Prefill factors of the engines.
const PREFILL_FACTORS: [f64; 6] = [1.0, 1.0, 2.0, 2.0, 4.0, 4.0];
/// Number of layers of the model.
const DEPTH: u16 = 80;

/// A request that arrives.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Arrival {
    pub(crate) at: Duration,
    /// Length of the prompt, tokens.
    pub(crate) prompt: f64,
    /// Length that its caller states; 0 for none.
    pub(crate) stated: f64,
    pub(crate) rank: Rank,
}

/// The outcome of a request.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Outcome {
    pub(crate) arrival: Arrival,
    /// Time from its arrival to its first event; `None` if there was none by the end.
    pub(crate) first: Option<Duration>,
}

impl Outcome {
    pub(crate) fn is_late(&self) -> bool {
        self.first.is_none_or(|first| first > GOAL)
    }
}

/// Returns the number of late requests that `is_counted` chooses.
pub(crate) fn late(outcomes: &[Outcome], is_counted: impl Fn(&Arrival) -> bool) -> usize {
    outcomes.iter().filter(|outcome| is_counted(&outcome.arrival) && outcome.is_late()).count()
}

/// Returns the model for chains of `stages` engines, which together prefill as fast as one.
pub(crate) fn model(stages: u16) -> Model {
    let cards = PREFILL_FACTORS.iter().enumerate();
    let cards = cards.map(|(number, &prefill_factor)| Card {
        name: card(number),
        mb: 80_000.0 / f64::from(stages),
        step_factor: 1.0,
        prefill_factor: prefill_factor * f64::from(stages),
    });
    Model {
        name: "m".into(),
        depth: DEPTH,
        layer_mb: 100.0,
        token_bytes: 400_000.0,
        load_time: Duration::from_secs(10),
        prompt_tokens: MEAN_PROMPT,
        answer_tokens: ANSWER_TOKENS,
        slots: 192,
        step: DECODE_TIME.div_f64(ANSWER_TOKENS),
        step_per_stream: Duration::ZERO,
        step_per_token: Duration::ZERO,
        prefill_tokens_per_s: PREFILL_TOKENS_PER_S,
        cards: cards.collect(),
    }
}

fn card(number: usize) -> smol_str::SmolStr {
    format!("c{number}").into()
}

fn address(number: usize, stage: u16) -> SocketAddr {
    SocketAddr::from(([10, 0, stage as u8, number as u8], 80))
}

/// Returns an engine of a chain. Each chain of several engines is in a domain of its own.
fn target(number: usize, stage: u16, stages: u16) -> Target {
    let held = DEPTH / stages;
    Target {
        id: format!("t{number}-{stage}").into(),
        service: "s".into(),
        address: address(number, stage),
        domain: format!("d{}", if stages > 1 { number } else { number % 2 }).into(),
        state: State::Ready,
        started_unix_ms: 1,
        slots: 192,
        card: card(number),
        layers: Some(Layers::new(stage * held, (stage + 1) * held)),
    }
}

/// A prompt that an engine prefills.
struct Queued {
    request: usize,
    node: usize,
    level: Level,
    /// Tokens that are left.
    left: f64,
}

/// An engine. It prefills the first prompt by level and then by arrival, a piece at a time.
struct Engine {
    tokens_per_step: f64,
    queue: Vec<Queued>,
    /// Request whose piece is being prefilled, and the tokens left of the piece.
    piece: Option<(usize, f64)>,
}

impl Engine {
    /// Prefills for one step. Returns the requests whose prompts are complete, with their nodes.
    fn run(&mut self) -> Vec<(usize, usize)> {
        let mut budget = self.tokens_per_step;
        let mut complete = Vec::new();
        while budget > 0.0 && !self.queue.is_empty() {
            let next = || {
                let first = self.queue.iter().min_by_key(|queued| (queued.level, queued.request));
                first.map_or((0, 0.0), |first| (first.request, PIECE_TOKENS.min(first.left)))
            };
            let (request, piece) = self.piece.take().unwrap_or_else(next);
            let tokens = piece.min(budget);
            budget -= tokens;
            let index = self.queue.iter().position(|queued| queued.request == request);
            let index = index.expect("a queued prompt");
            self.queue[index].left -= tokens;
            if self.queue[index].left <= 0.0 {
                let Queued { request, node, .. } = self.queue.remove(index);
                complete.push((request, node));
            } else if piece > tokens {
                self.piece = Some((request, piece - tokens));
            }
        }
        complete
    }
}

/// Tokens that a request holds at an engine until it ends.
struct Running {
    ends_at: Duration,
    node: usize,
    place: usize,
    tokens: f64,
}

/// Returns the outcome of each request if `nodes` nodes receive them in turn. `is_mixed` states
/// whether the nodes look at the lengths of the prompts.
pub(crate) fn run(nodes: usize, stages: u16, is_mixed: bool, arrivals: &[Arrival]) -> Vec<Outcome> {
    let model = model(stages);
    let ids = |place: usize| (0..stages).map(move |stage| target(place, stage, stages).id);
    let ranks = Ranks::new(arrivals.iter().map(|arrival| arrival.rank));
    let mut tables: Vec<Table> = (0..nodes).map(|_| table(nodes, stages)).collect();
    let mut engines: Vec<Engine> = PREFILL_FACTORS.iter().map(|factor| engine(*factor)).collect();
    let mut outcomes: Vec<Outcome> =
        arrivals.iter().map(|&arrival| Outcome { arrival, first: None }).collect();
    let mut running: Vec<Running> = Vec::new();
    let mut places: Vec<usize> = Vec::new();
    let mut prefills: Vec<f64> = Vec::new();
    // As `edge::peers` sends them.
    let view_interval =
        Duration::from_millis(150).max(Duration::from_millis(15) * (nodes as u32 - 1));
    let end = arrivals.last().map_or(Duration::ZERO, |last| last.at) + 4 * GOAL;
    let mut now = Duration::ZERO;
    while now < end {
        while let Some(arrival) = arrivals.get(places.len()).filter(|arrival| arrival.at <= now) {
            let request = places.len();
            let node = request % nodes;
            let table = &mut tables[node];
            let prompt = Prompt::new(&model, arrival.stated, GOAL).with_seed(request as u64);
            let tokens = arrival.stated + ANSWER_TOKENS;
            let query = Query {
                service: "s",
                excluded: &[],
                allowed_first: None,
                closed_first: &[],
                tokens,
                prompt: is_mixed.then_some(prompt),
            };
            let path = table.path(now, &model, &query).expect("a path");
            let place =
                (0..engines.len()).find(|&number| address(number, 0) == path.first().address);
            let place = place.expect("an engine");
            assert_eq!(path.stages.len(), usize::from(stages));
            let prefill = if is_mixed { prompt.tokens() } else { arrival.stated };
            for id in ids(place) {
                table.add_request(&id, tokens);
                table.add_prefill(&id, prefill);
            }
            prefills.push(prefill);
            let level = match is_mixed {
                true => ranks.level(arrival.rank, &model, prompt),
                false => arrival.rank,
            };
            engines[place].queue.push(Queued { request, node, level, left: arrival.prompt });
            places.push(place);
        }
        now += STEP;
        for engine in &mut engines {
            for (request, node) in engine.run() {
                let arrival = outcomes[request].arrival;
                outcomes[request].first = Some(now.saturating_sub(arrival.at));
                let place = places[request];
                for id in ids(place) {
                    tables[node].add_prefill(&id, -prefills[request]);
                }
                let (ends_at, tokens) = (now + DECODE_TIME, arrival.stated + ANSWER_TOKENS);
                running.push(Running { ends_at, node, place, tokens });
            }
        }
        running.retain(|request| {
            let runs = request.ends_at > now;
            if !runs {
                for id in ids(request.place) {
                    tables[request.node].remove_request(&id, request.tokens);
                }
            }
            runs
        });
        send_views(&mut tables, now, view_interval);
    }
    outcomes
}

fn table(vms: usize, stages: u16) -> Table {
    let mut table = Table::new("d0".into());
    table.vms = vms;
    for number in 0..PREFILL_FACTORS.len() {
        for stage in 0..stages {
            table.set(Duration::ZERO, target(number, stage, stages));
        }
    }
    table
}

fn engine(prefill_factor: f64) -> Engine {
    let tokens_per_step = PREFILL_TOKENS_PER_S / prefill_factor * STEP.as_secs_f64();
    Engine { tokens_per_step, queue: Vec::new(), piece: None }
}

/// Sends the views of the nodes that send one in the step up to `now`, spread over the interval.
fn send_views(tables: &mut [Table], now: Duration, interval: Duration) {
    let (now_ms, interval_ms) = (now.as_millis(), interval.as_millis());
    for node in 0..tables.len() {
        let offset_ms = interval_ms * node as u128 / tables.len() as u128;
        if !(now_ms + offset_ms).is_multiple_of(interval_ms) {
            continue;
        }
        let loads = tables[node].entries().filter(|entry| entry.tokens >= 1.0);
        let loads: Vec<(TargetKey, u32)> =
            loads.map(|entry| (entry.target.id.clone(), entry.tokens as u32)).collect();
        let sender = SocketAddr::from(([10, 1, 0, node as u8], 80));
        for (other, table) in tables.iter_mut().enumerate() {
            if other != node {
                table.record_peer_load(sender, loads.clone(), now + 4 * interval);
                table.expire(now);
            }
        }
    }
}
