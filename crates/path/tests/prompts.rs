//! Long and short prompts on the same engines: fewer late first events than with paths chosen for
//! the mean prompt, and never an order against the ranks.

mod engines;

use std::time::Duration;

use engines::{Arrival, GOAL, LONGEST_PROMPT, MEAN_PROMPT, late, model, run};
use path::{Prompt, Rank, Ranks};
use yare::parameterized;

const SHORT_PROMPT: f64 = 200.0;
/// Time after which requests are counted. Nodes that start know nothing of each other's requests.
const WARM_UP: Duration = Duration::from_secs(4);
/// Time in which requests arrive.
const END: Duration = Duration::from_secs(14);

/// Requests that arrive at regular intervals.
#[derive(Clone, Copy)]
struct Load {
    per_second: f64,
    /// Returns the prompt of a request by its number, in tokens.
    prompt: fn(usize) -> f64,
    /// Returns the length that a caller states for a prompt.
    stated: fn(f64) -> f64,
    /// Engines of each chain.
    stages: u16,
}

const ONE_LONG_IN_A_HUNDRED: Load = Load {
    per_second: 300.0,
    prompt: |number| long_if(number % 100 == 50),
    stated: |prompt| prompt,
    stages: 1,
};
const BURST: Load = Load {
    per_second: 250.0,
    prompt: |number| long_if((1500..1580).contains(&number)),
    ..ONE_LONG_IN_A_HUNDRED
};
const STREAM: Load =
    Load { per_second: 110.0, prompt: |number| long_if(number % 4 == 0), ..ONE_LONG_IN_A_HUNDRED };
const ONLY_LONG: Load =
    Load { per_second: 40.0, prompt: |_| LONGEST_PROMPT, ..ONE_LONG_IN_A_HUNDRED };
const UNKNOWN: Load = Load { stated: |_| 0.0, ..STREAM };
const CHAINS: Load = Load { stages: 4, ..STREAM };
const UNTRUE: Load = Load { stated: |_| 10.0, ..STREAM };

fn long_if(is_long: bool) -> f64 {
    if is_long { LONGEST_PROMPT } else { SHORT_PROMPT }
}

fn arrivals(load: Load) -> Vec<Arrival> {
    let count = (load.per_second * END.as_secs_f64()) as usize;
    let arrivals = (0..count).map(|number| {
        let at = Duration::from_secs_f64(number as f64 / load.per_second);
        let prompt = (load.prompt)(number);
        Arrival { at, prompt, stated: (load.stated)(prompt), rank: 1 }
    });
    arrivals.collect()
}

// Guards against short prompts that are late behind long ones, and against more late ones of both
// kinds together than with paths chosen for the mean prompt.
#[parameterized(
    one_long_at_one_node = { 1, ONE_LONG_IN_A_HUNDRED },
    one_long_at_four_nodes = { 4, ONE_LONG_IN_A_HUNDRED },
    one_long_at_many_nodes = { 97, ONE_LONG_IN_A_HUNDRED },
    burst_at_one_node = { 1, BURST },
    burst_at_four_nodes = { 4, BURST },
    burst_at_many_nodes = { 97, BURST },
    stream_at_one_node = { 1, STREAM },
    stream_at_four_nodes = { 4, STREAM },
    stream_at_many_nodes = { 97, STREAM },
    one_long_at_some_nodes = { 26, ONE_LONG_IN_A_HUNDRED },
    burst_at_some_nodes = { 26, BURST },
    stream_at_some_nodes = { 26, STREAM },
    only_long_at_some_nodes = { 26, ONLY_LONG },
    unknown_at_some_nodes = { 26, UNKNOWN },
    untrue_at_some_nodes = { 26, UNTRUE },
    chains_at_four_nodes = { 4, CHAINS },
    chains_at_some_nodes = { 26, CHAINS },
    chains_at_many_nodes = { 97, CHAINS },
    only_long_at_one_node = { 1, ONLY_LONG },
    only_long_at_four_nodes = { 4, ONLY_LONG },
    only_long_at_many_nodes = { 97, ONLY_LONG },
    unknown_at_one_node = { 1, UNKNOWN },
    unknown_at_four_nodes = { 4, UNKNOWN },
    unknown_at_many_nodes = { 97, UNKNOWN },
    untrue_at_one_node = { 1, UNTRUE },
    untrue_at_four_nodes = { 4, UNTRUE },
    untrue_at_many_nodes = { 97, UNTRUE },
)]
fn no_more_prompts_are_late(nodes: usize, load: Load) {
    let arrivals = arrivals(load);
    let counted = |arrival: &Arrival| arrival.at >= WARM_UP;
    let short = |arrival: &Arrival| counted(arrival) && arrival.prompt <= SHORT_PROMPT;
    let mean = run(nodes, load.stages, false, &arrivals);
    let mixed = run(nodes, load.stages, true, &arrivals);
    let (before, after) = (late(&mean, counted), late(&mixed, counted));
    let (short_before, short_after) = (late(&mean, short), late(&mixed, short));
    println!("late: {before} before, {after} after; short: {short_before}, {short_after}");
    assert!(after <= before, "{before} late before, {after} after");
    assert!(short_after <= short_before, "{short_before} short late before, {short_after} after");
}

/// Returns prompts of all lengths that have waited for all parts of their goal.
fn prompts() -> Vec<Prompt> {
    let lengths = [0.0, 1.0, SHORT_PROMPT, MEAN_PROMPT, LONGEST_PROMPT, 1e9];
    let waits = [Duration::ZERO, GOAL / 2, GOAL, GOAL * 2];
    let model = model(1);
    let prompt = |tokens| Prompt::new(&model, tokens, GOAL);
    let of_length = |tokens| waits.map(|waited| prompt(tokens).after(waited, GOAL));
    lengths.into_iter().flat_map(of_length).collect()
}

// Guards against a request that engines prefill before one of a more urgent rank, for any ranks in
// use, prompts and waits.
#[test]
fn ranks_are_never_reversed() {
    let model = model(1);
    for used in 1_u16..1 << 10 {
        let used: Vec<Rank> = (0..10).filter(|rank| used & 1 << rank != 0).collect();
        let ranks = Ranks::new(used.iter().copied());
        let levels = |rank: Rank| prompts().into_iter().map(move |prompt| (rank, prompt));
        let mut last = None;
        for &rank in &used {
            let levels = levels(rank).map(|(rank, prompt)| ranks.level(rank, &model, prompt));
            let levels: Vec<u8> = levels.collect();
            let first = levels.iter().min().copied();
            assert!(last < first, "{used:?}: rank {rank} from {first:?} after {last:?}");
            last = levels.into_iter().max();
        }
        assert!(last <= Some(9), "{used:?}");
    }
}

// Guards against a rank of another version of the configuration that comes before a more urgent one.
#[parameterized(
    between_two = { &[1, 6], 3 },
    before_all = { &[4, 6], 2 },
    after_all = { &[0, 1, 2], 9 },
    beyond_the_last = { &[0, 1, 2], 200 },
    none_in_use = { &[], 5 },
)]
fn unused_rank_keeps_the_order(used: &[Rank], rank: Rank) {
    let model = model(1);
    let ranks = Ranks::new(used.iter().copied());
    for prompt in prompts() {
        let level = ranks.level(rank, &model, prompt);
        for other in prompts() {
            for &used in used {
                let used_level = ranks.level(used, &model, other);
                let holds = if used < rank { used_level <= level } else { level <= used_level };
                assert!(holds, "rank {rank} at {level}, rank {used} at {used_level}");
            }
        }
    }
}

struct Order {
    used: &'static [Rank],
    rank: Rank,
    tokens: f64,
    /// Part of the goal that has passed, percent.
    waited: u32,
    level: u8,
}

const THREE: Order = Order { used: &[0, 1, 2], rank: 1, tokens: 760.0, waited: 0, level: 4 };
const SPACED: Order = Order { used: &[0, 4, 8], ..THREE };

// Guards against an order within a rank other than short before long, and waiting before new.
#[parameterized(
    short = { Order { tokens: 200.0, level: 3, ..THREE } },
    mean = { THREE },
    unknown = { Order { tokens: 0.0, ..THREE } },
    long = { Order { tokens: 2_280.0, level: 5, ..THREE } },
    long_that_has_waited = { Order { tokens: 2_280.0, waited: 60, level: 4, ..THREE } },
    long_whose_goal_has_passed = { Order { tokens: 2_280.0, waited: 100, level: 3, ..THREE } },
    first_rank = { Order { rank: 0, tokens: 2_280.0, level: 2, ..THREE } },
    last_rank = { Order { rank: 2, tokens: 2_280.0, level: 9, ..THREE } },
    spaced_ranks_keep_their_place = { Order { rank: 4, tokens: 200.0, level: 4, ..SPACED } },
    spaced_ranks_use_the_gap = { Order { rank: 4, tokens: 2_280.0, level: 7, ..SPACED } },
    one_rank = { Order { used: &[5], rank: 5, tokens: 2_280.0, level: 9, ..THREE } },
    all_ranks = { Order { used: &[0, 1, 2, 3, 4, 5, 6, 7, 8, 9], rank: 7, level: 7, ..THREE } },
)]
fn level_depends_on_length_and_wait(case: Order) {
    let model = model(1);
    let ranks = Ranks::new(case.used.iter().copied());
    let waited = GOAL * case.waited / 100;
    let prompt = Prompt::new(&model, case.tokens, GOAL).after(waited, GOAL);
    assert_eq!(ranks.level(case.rank, &model, prompt), case.level);
}
