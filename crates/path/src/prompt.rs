//! Long and short prompts on the same engines: the cost of the time until a prompt's first event,
//! and its place in the order in which engines prefill.

use std::net::{IpAddr, SocketAddr};
use std::time::Duration;

use site::Model;

/// Rank that operators assign to a request, 0 first.
pub type Rank = u8;
/// Place in the order in which engines prefill, 0 first.
pub type Level = u8;

/// Number of ranks, and of levels of an engine.
const LEVELS: u8 = 10;
/// Levels that each rank needs for an order within it.
const MIN_LEVELS_PER_RANK: u8 = 2;
/// Length of the prompts at the last level of a rank, in mean prompts.
const LONGEST_PROMPT: f64 = 3.0;
/// Shortest prompt that the load of engines is estimated with, in mean prompts.
const SHORTEST_PROMPT: f64 = 0.25;
/// Fraction of the time left that prefill may take. Token steps of running streams come between the
/// pieces of a prompt, and are not part of the estimate.
const PREFILL_FRACTION: f64 = 0.5;
/// Shortest time against which prefill is weighed. With less, the slowest engine of a path would
/// decide alone.
const MIN_PREFILL_TIME: Duration = Duration::from_millis(50);
/// Cost of prefill that takes all of its time, per second. The same as the cost of a wait for
/// prefill without a goal.
const PREFILL_COST: f64 = 24.0;
/// Maximum cost of prefill, seconds: that of an engine whose memory is full, which refuses the
/// request. A late first event is better.
const MAX_PREFILL_COST: f64 = 5.0;
/// Largest spread of the costs of engines between requests, as a fraction of the costs, with very
/// many VMs.
const MAX_SPREAD: f64 = 4.0;
/// Number of other VMs with which the spread is half the largest. The interval between the views of
/// a VM, and with it the number of requests that others have sent meanwhile, grows with their
/// number.
const HALF_SPREAD_VMS: f64 = 32.0;
/// Utilisation of an engine by prefill above which its queue grows rather than varies.
const MAX_UTILISATION: f64 = 0.9;

/// A prompt that is about to be sent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prompt {
    /// Length, tokens.
    tokens: f64,
    /// Shortest length to assume, tokens.
    shortest: f64,
    /// Fraction of the latency goal that is left, from 0 to 1.
    left: f64,
    /// Seconds that prefill may take.
    allowed: f64,
    /// Number that differs between requests.
    seed: u64,
}

impl Prompt {
    /// Returns a prompt of `tokens` tokens that has not waited. The length is 0 if it is not known:
    /// the mean is assumed.
    pub fn new(model: &Model, tokens: f64, goal: Duration) -> Self {
        Self {
            tokens: if tokens > 0.0 { tokens } else { model.prompt_tokens },
            shortest: model.prompt_tokens * SHORTEST_PROMPT,
            left: 1.0,
            allowed: allowed(goal),
            seed: 0,
        }
    }

    /// Returns the prompt after it has waited for `waited` of its latency goal.
    pub fn after(self, waited: Duration, goal: Duration) -> Self {
        let left = goal.saturating_sub(waited);
        let fraction = if goal.is_zero() { 0.0 } else { left.div_duration_f64(goal) };
        Self { left: fraction, allowed: allowed(left), ..self }
    }

    /// Returns the prompt with a number that differs between requests.
    pub fn with_seed(self, seed: u64) -> Self {
        Self { seed, ..self }
    }

    /// Returns the length that the load of engines is estimated with, in tokens. Prompts that are
    /// said to be very short count as longer: if that is untrue of many, their engines would look
    /// idle.
    pub fn tokens(self) -> f64 {
        self.tokens.max(self.shortest)
    }

    /// Returns the place of the prompt in the order of its rank, from 0 to 1. Short prompts go
    /// first, because they delay long ones by little. A prompt that has waited goes ahead of longer
    /// ones that have not, and one whose goal has passed ahead of all.
    fn place(self, model: &Model) -> f64 {
        let length = self.tokens / model.prompt_tokens.max(1.0);
        (length * self.left / LONGEST_PROMPT).clamp(0.0, 1.0)
    }
}

/// Returns the seconds that prefill may take if `left` of the latency goal is left.
fn allowed(left: Duration) -> f64 {
    left.mul_f64(PREFILL_FRACTION).max(MIN_PREFILL_TIME).as_secs_f64()
}

/// Returns a number from 0 to 1 that looks random for different seeds and engines (SplitMix64).
fn fraction(seed: u64, engine: SocketAddr) -> f64 {
    let address = match engine.ip() {
        IpAddr::V4(address) => u128::from(address.to_bits()),
        IpAddr::V6(address) => address.to_bits(),
    };
    let folded = (address ^ address >> 64) as u64;
    let mut mixed = seed ^ folded << 16 ^ u64::from(engine.port());
    mixed = mixed.wrapping_add(0x9e37_79b9_7f4a_7c15);
    mixed = (mixed ^ mixed >> 30).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ mixed >> 27).wrapping_mul(0x94d0_49bb_1331_11eb);
    (mixed ^ mixed >> 31) as f64 / u64::MAX as f64
}

/// Levels of one rank, first and last.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Band {
    first: Level,
    last: Level,
}

/// Levels of the engines that the ranks of a configuration use. All levels of a rank come before
/// all levels of the next one.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ranks {
    bands: [Band; LEVELS as usize],
}

impl Ranks {
    /// Assigns the levels to the ranks in use.
    ///
    /// Each rank gets the levels up to the next one in use, if these are at least
    /// [`MIN_LEVELS_PER_RANK`] for each rank. Nodes that send the ranks themselves then agree with
    /// this node on the order of ranks. Otherwise the levels are divided evenly.
    pub fn new(ranks: impl IntoIterator<Item = Rank>) -> Self {
        let mut used: Vec<Rank> = ranks.into_iter().map(|rank| rank.min(LEVELS - 1)).collect();
        used.sort_unstable();
        used.dedup();
        let count = used.len() as u8;
        let ends = used.iter().skip(1).copied().chain([LEVELS]);
        let has_gaps = used.iter().zip(ends).all(|(rank, end)| end - rank >= MIN_LEVELS_PER_RANK);
        let starts: Vec<Level> = match has_gaps {
            true => used.clone(),
            false => (0..count).map(|index| index * LEVELS / count).collect(),
        };
        let band = |rank: Rank| {
            // A rank that is not in use comes with the last level of the one before it.
            let next = used.partition_point(|&other| other <= rank);
            let Some(index) = next.checked_sub(1) else {
                let first = starts.first().map_or(rank, |&start| start.min(rank));
                return Band { first, last: first };
            };
            let last = starts.get(next).copied().unwrap_or(LEVELS) - 1;
            let first = if used[index] == rank { starts[index] } else { last };
            Band { first, last }
        };
        Self { bands: std::array::from_fn(|rank| band(rank as Rank)) }
    }

    /// Returns the level at which engines prefill a prompt of this rank.
    pub fn level(&self, rank: Rank, model: &Model, prompt: Prompt) -> Level {
        let Band { first, last } = self.bands[usize::from(rank.min(LEVELS - 1))];
        let count = f64::from(last - first + 1);
        first + (prompt.place(model) * count).min(count - 1.0) as Level
    }
}

/// The prompt for which a path is chosen, with what is the same for all engines.
pub(crate) struct Choice {
    prompt: Prompt,
    /// Cost per square of the seconds until the prompt has been prefilled.
    cost: f64,
    /// Maximum of that cost.
    max_cost: f64,
    /// Smallest factor on the time at an engine.
    min_discount: f64,
    /// Number of VMs.
    vms: f64,
    /// Mean prompt, tokens.
    mean_prompt: f64,
    /// Requests per token that they hold.
    requests_per_token: f64,
}

/// Requests at an engine, of all VMs.
pub(crate) struct Shared {
    /// Tokens that they hold in its memory.
    pub(crate) held: f64,
    /// Prompt tokens of this VM in prefill.
    pub(crate) own: f64,
    /// Seconds in which the engine prefills a token in its layers.
    pub(crate) prefill_per_token: f64,
    /// Seconds from the first token of an answer to its last one.
    pub(crate) decode: f64,
}

impl Choice {
    /// Returns the choice of a path for a prompt, where `vms` VMs share the engines.
    pub(crate) fn new(prompt: Prompt, model: &Model, vms: usize) -> Self {
        let others = vms.saturating_sub(1) as f64;
        let spread = 1.0 + MAX_SPREAD * others / (others + HALF_SPREAD_VMS);
        Self {
            prompt,
            cost: PREFILL_COST * spread / prompt.allowed,
            max_cost: MAX_PREFILL_COST / spread,
            min_discount: 1.0 / spread,
            vms: vms.max(1) as f64,
            mean_prompt: model.prompt_tokens.max(1.0),
            requests_per_token: 1.0 / (model.prompt_tokens + model.answer_tokens).max(1.0),
        }
    }

    /// Returns the length of the prompt, tokens.
    pub(crate) fn tokens(&self) -> f64 {
        self.prompt.tokens()
    }

    /// Returns the cost of `time` seconds until all queued prompts and this one have been
    /// prefilled. It grows with the square of the time: a prompt that meets its goal on each of two
    /// paths leaves the one with the faster prefill to those that need it.
    pub(crate) fn cost(&self, time: f64) -> f64 {
        let cost = self.cost * time * time;
        self.max_cost * cost / (self.max_cost + cost)
    }

    /// Returns the factor on the time at an engine, up to 1, which differs between requests. All
    /// VMs see about the same loads, which are as old as the views that they exchange. Without it,
    /// they would all choose the same engine until the next views. An engine whose memory is full
    /// has no discount, so that it does not become cheaper than others by chance.
    pub(crate) fn discount(&self, engine: SocketAddr, is_full: bool) -> f64 {
        let fraction = if is_full { 1.0 } else { fraction(self.prompt.seed, engine) };
        self.min_discount + (1.0 - self.min_discount) * fraction
    }

    /// Returns the prompt tokens of all VMs that an engine is expected to prefill at present.
    ///
    /// VMs report the tokens that their requests hold, and not those in prefill. Requests hold
    /// them for about `decode`, which gives the rate at which prompts arrive, the utilisation and
    /// the mean queue. What this VM has there itself says whether the queue is longer or shorter at
    /// present: the number of prompts of a VM is taken to be Poisson, with a mean that varies
    /// exponentially around its part of the mean queue. With a hundred VMs, a single prompt of this
    /// one thus does not count as a hundred.
    pub(crate) fn queued_tokens(&self, shared: &Shared) -> f64 {
        if self.vms <= 1.0 {
            return shared.own;
        }
        let prompts_per_s = shared.held * self.requests_per_token / shared.decode;
        let utilisation = prompts_per_s * self.mean_prompt * shared.prefill_per_token;
        // The mean queue of an M/M/1 system is `busy / free`. Above the highest utilisation for
        // which this says anything about the next second, it goes on as a line.
        let free = (1.0 - utilisation).max(1.0 - MAX_UTILISATION);
        let busy = match utilisation <= MAX_UTILISATION {
            true => utilisation,
            false => MAX_UTILISATION + (utilisation - MAX_UTILISATION) / free,
        };
        // For a mean of `m` and `n` own prompts, the mean for each VM becomes `m (1 + n) / (1 + m)`.
        let own = self.mean_prompt + shared.own;
        shared.own + (self.vms - 1.0) * busy * own / (free * self.vms + busy)
    }
}
