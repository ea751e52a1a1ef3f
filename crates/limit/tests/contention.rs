//! Admission to engines whose memory is short: single decisions, and whole sites in virtual time.

use std::time::Duration;

use fleet::OrganisationName;
use limit::admission::{Decision, Demanded, FULL_PRESSURE, Place, Rank, Room, Ticket, Verdict};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use smol_str::SmolStr;
use yare::parameterized;

mod shortage;

use shortage::{Counts, Outcome, Policy, Site, Source, sum};

static SERVICE: SmolStr = SmolStr::new_static("model");
static FIRST: OrganisationName = OrganisationName::new_static("first");
const TOKENS: f64 = 800.0;
const GOAL: Duration = Duration::from_millis(500);
/// Pressures with and without room.
const FREE: f64 = 0.5;
const FULL: f64 = 1.05;

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn request(rank: Rank, until: Duration) -> Demanded<'static> {
    Demanded {
        service: &SERVICE,
        rank,
        organisation: &FIRST,
        tokens: TOKENS,
        bytes: 1000,
        share: 0.025,
        until: Some(until),
        is_new: true,
    }
}

fn ticket(verdict: Verdict) -> Ticket {
    match verdict.decision {
        Decision::Queue(ticket) => ticket,
        other => panic!("{other:?}"),
    }
}

/// Returns a room that has refused this number of urgent requests.
fn room_after_refusals(refusals: u32) -> Room {
    let mut room = Room::default();
    for _ in 0..refusals {
        let refused = Demanded { until: None, ..request(0, GOAL) };
        room.enter(ms(0), &refused, FULL);
    }
    room
}

// Guards against a change of decisions where nothing distinguishes requests: one rank and one
// organisation are admitted exactly up to full memory, whatever was refused before.
#[parameterized(
    least_urgent = { 9 },
    most_urgent = { 0 },
)]
fn equal_ranks_are_admitted_up_to_full_memory(rank: Rank) {
    let mut room = Room::default();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut now = Duration::ZERO;
    for _ in 0..5000 {
        now += Duration::from_secs_f64(rng.random::<f64>() * 0.1);
        let pressure = 0.5 + rng.random::<f64>();
        let asked = Demanded { until: None, tokens: TOKENS * pressure, ..request(rank, GOAL) };
        let verdict = room.enter(now, &asked, pressure);
        let admitted = verdict.decision == Decision::Admit;
        assert_eq!(admitted, pressure <= FULL_PRESSURE, "pressure {pressure}");
        assert!(admitted || verdict.decision == Decision::Refuse(ms(1500)), "{verdict:?}");
    }
    assert!(room.is_empty());
}

// Guards against a reserve that nobody uses, and against one that is not there for urgent requests.
#[parameterized(
    urgent_only = { 30, 0, false },
    urgent_were_refused = { 30, 1, true },
    nobody_was_refused = { 0, 1, false },
)]
fn reserve_follows_refusals_of_more_urgent_ranks(refusals: u32, rank: Rank, is_reserved: bool) {
    let mut room = room_after_refusals(refusals);
    let verdict = room.enter(ms(1), &request(rank, GOAL), FREE);
    assert_eq!(verdict.decision, Decision::Admit);
    assert_eq!(verdict.threshold < FULL_PRESSURE, is_reserved, "{verdict:?}");
}

// Guards against a reserve that stays when the shortage has passed.
#[test]
fn reserve_ends_after_the_shortage() {
    let mut room = room_after_refusals(30);
    let later = Duration::from_secs(60);
    let verdict = room.enter(later, &request(1, later + GOAL), 0.999);
    assert_eq!(verdict.decision, Decision::Admit, "{verdict:?}");
}

struct Order {
    /// Ranks and ends of the waits of queued requests, milliseconds.
    queued: &'static [(Rank, u64)],
    /// Their indices in the order in which they go.
    expected: &'static [usize],
}

// Guards against memory that becomes free for a request while a more urgent one waits.
#[parameterized(
    ranks = { Order { queued: &[(2, 1000), (1, 1000), (0, 1000)], expected: &[2, 1, 0] } },
    rank_before_slack = { Order { queued: &[(1, 900), (0, 1000)], expected: &[1, 0] } },
    slack = { Order { queued: &[(1, 1000), (1, 900)], expected: &[1, 0] } },
    arrival = { Order { queued: &[(1, 1000), (1, 1000)], expected: &[0, 1] } },
)]
fn queue_is_ordered(case: Order) {
    let mut room = Room::default();
    let enter =
        |&(rank, until): &(Rank, u64)| ticket(room.enter(ms(0), &request(rank, ms(until)), FULL));
    let tickets: Vec<Ticket> = case.queued.iter().map(enter).collect();
    // A request that arrives goes behind those before it, also if there is room for it.
    assert!(matches!(
        room.enter(ms(1), &request(2, ms(1100)), FREE).decision,
        Decision::Queue(_) | Decision::Refuse(_)
    ));
    for index in case.expected {
        let behind = tickets.iter().filter(|ticket| room.place(**ticket) == Place::Behind);
        for &behind in behind.collect::<Vec<_>>() {
            let verdict = room.poll(ms(2), behind, FREE);
            assert_eq!(verdict.decision, Decision::Queue(behind), "not the first");
        }
        assert_eq!(room.place(tickets[*index]), Place::First);
        assert_eq!(room.poll(ms(2), tickets[*index], FREE).decision, Decision::Admit);
        assert_eq!(room.place(tickets[*index]), Place::Gone);
    }
}

// Guards against a queue that keeps requests whose callers have left, and so is full for others.
#[test]
fn caller_that_leaves_frees_its_place() {
    let mut room = Room::default();
    let first = ticket(room.enter(ms(0), &request(0, GOAL), FULL));
    let second = ticket(room.enter(ms(0), &request(0, GOAL + GOAL), FULL));
    assert_eq!((room.len(), room.place(second)), (2, Place::Behind));
    room.leave(ms(10), first);
    assert_eq!((room.len(), room.place(second)), (1, Place::First));
    room.leave(ms(10), second);
    room.leave(ms(10), second);
    assert!(room.is_empty());
    // The next request with room is admitted at once.
    assert_eq!(room.enter(ms(20), &request(9, GOAL), FREE).decision, Decision::Admit);
}

// Guards against waits beyond the latency goal, of the first request and of those behind it.
#[test]
fn wait_ends_at_the_latency_goal() {
    let mut room = Room::default();
    let first = ticket(room.enter(ms(0), &request(0, ms(600)), FULL));
    let second = ticket(room.enter(ms(0), &request(1, ms(500)), FULL));
    assert_eq!(room.until(second), ms(500));
    assert_eq!(room.poll(ms(499), second, FULL).decision, Decision::Queue(second));
    assert!(matches!(room.poll(ms(500), second, FULL).decision, Decision::Refuse(_)));
    assert!(matches!(room.poll(ms(600), first, FULL).decision, Decision::Refuse(_)));
    assert!(room.is_empty());
}

struct Unlikely {
    until: Option<Duration>,
    pressure: f64,
    share: f64,
    /// Requests that have waited in vain before.
    in_vain: u32,
}

// Guards against waits that are likely to be in vain: the caller could have gone elsewhere.
#[parameterized(
    node_stops_or_no_goal = { Unlikely { until: None, pressure: FULL, share: 0.025, in_vain: 0 } },
    goal_has_passed = { Unlikely { until: Some(ms(0)), pressure: FULL, share: 0.025, in_vain: 0 } },
    short_slack = { Unlikely { until: Some(ms(10)), pressure: FULL, share: 0.025, in_vain: 0 } },
    larger_than_an_engine = { Unlikely { until: Some(GOAL), pressure: FULL, share: 1.02, in_vain: 0 } },
    far_too_full = { Unlikely { until: Some(GOAL), pressure: 2.0, share: 0.025, in_vain: 0 } },
    others_in_vain = { Unlikely { until: Some(GOAL), pressure: FULL, share: 0.025, in_vain: 8 } },
)]
fn request_that_is_unlikely_to_be_admitted_is_refused(case: Unlikely) {
    let mut room = Room::default();
    // Enough admitted requests before that no rank has been served too rarely.
    for _ in 0..100 {
        room.enter(ms(0), &request(0, GOAL), FREE);
    }
    let mut now = Duration::ZERO;
    for _ in 0..case.in_vain {
        if let Decision::Queue(ticket) = room.enter(now, &request(0, now + GOAL), FULL).decision {
            now += GOAL;
            room.poll(now, ticket, FULL);
        }
    }
    let until = case.until.map(|until| now + until);
    let asked = Demanded { until, share: case.share, ..request(0, GOAL) };
    let verdict = room.enter(now, &asked, case.pressure);
    assert!(matches!(verdict.decision, Decision::Refuse(_)), "{verdict:?}");
    assert!(room.is_empty());
}

struct Bound {
    bytes: usize,
    /// Largest number of requests of that size.
    most: usize,
}

// Guards against a queue that takes the memory of the node, and against urgent requests that are
// refused because less urgent ones have filled it.
#[parameterized(
    number = { Bound { bytes: 1000, most: 128 } },
    bytes = { Bound { bytes: 1 << 20, most: 4 } },
    one_that_is_too_large = { Bound { bytes: 5 << 20, most: 0 } },
)]
fn queue_is_bounded(case: Bound) {
    let mut room = Room::default();
    let until = Duration::from_secs(3600);
    let asked = Demanded { bytes: case.bytes, ..request(1, until) };
    let mut tickets = Vec::new();
    for _ in 0..200 {
        match room.enter(ms(0), &asked, FULL).decision {
            Decision::Queue(ticket) => tickets.push(ticket),
            decision => assert!(matches!(decision, Decision::Refuse(_)), "{decision:?}"),
        }
    }
    assert_eq!(room.len(), case.most);
    let urgent = Demanded { rank: 0, ..asked };
    if let Decision::Queue(urgent) = room.enter(ms(0), &urgent, FULL).decision {
        assert_eq!(room.place(urgent), Place::First);
        assert_eq!(room.place(tickets[case.most - 1]), Place::Gone);
        let gone = room.poll(ms(1), tickets[case.most - 1], FREE);
        assert!(matches!(gone.decision, Decision::Refuse(_)), "{gone:?}");
    }
    assert_eq!(room.len(), case.most);
}

// Guards against refused callers that all return at once, and against urgent ones that return last.
#[test]
fn urgent_callers_return_sooner() {
    let mut room = Room::default();
    let mut refuse = |rank| {
        let asked = Demanded { until: None, ..request(rank, GOAL) };
        match room.enter(ms(0), &asked, 3.0).decision {
            Decision::Refuse(after) => after,
            decision => panic!("{decision:?}"),
        }
    };
    assert_eq!(refuse(1), ms(1500), "the only rank");
    refuse(0);
    refuse(2);
    let (urgent, other, last) = (refuse(0), refuse(1), refuse(2));
    assert!(urgent < other && other < last, "{urgent:?} {other:?} {last:?}");
}

/// Longest interval between two decisions on the first queued request of a node.
const MAX_POLL_INTERVAL: Duration = ms(60);
/// Names of organisations; the first has the largest demand.
const NAMES: [&str; 12] = ["a", "b", "c", "d", "e", "f", "g", "h", "i", "j", "k", "l"];
/// Tokens of requests, least and most, and their mean.
const SIZES: (f64, f64) = (300.0, 2400.0);
const MEAN_SIZE: f64 = 1010.0;
/// Requests that fit into the memory of one engine.
const REQUESTS_PER_ENGINE: f64 = 40.0;
const ENGINES: usize = 8;
/// Requests that the engines can run per second: each holds its memory for 3 s.
const CAPACITY: f64 = REQUESTS_PER_ENGINE * ENGINES as f64 / 3.0;

fn site(nodes: usize, seed: u64, policy: Policy) -> Site {
    Site {
        nodes,
        engines: ENGINES,
        memory: REQUESTS_PER_ENGINE * MEAN_SIZE,
        time: Duration::from_secs(90),
        warm_up: Duration::from_secs(20),
        exchange: ms(150),
        seed,
        policy,
    }
}

fn source(organisation: &'static str, rank: Rank, load: f64) -> Source {
    let goal = if rank == 2 { ms(1000) } else { GOAL };
    let active = (0.0, f64::MAX);
    Source { organisation, rank, rate: load * CAPACITY, active, tokens: SIZES, goal }
}

/// Returns requests of three ranks and organisations of very different size. The `loads` of the
/// ranks are multiples of the capacity.
fn mixed(loads: [f64; 3]) -> Vec<Source> {
    let total: f64 = (1..=NAMES.len()).map(|place| 1.0 / place as f64).sum();
    let parts = NAMES.iter().enumerate();
    let parts = parts.map(|(index, name)| (*name, 1.0 / (index + 1) as f64 / total));
    let ranks =
        |(name, part)| [0, 1, 2].map(|rank| source(name, rank, loads[rank as usize] * part));
    parts.flat_map(ranks).collect()
}

/// Returns the counts of a rank, in what [`mixed`] returned.
fn rank(outcome: &Outcome, rank: usize) -> Counts {
    sum(outcome.counts.iter().skip(rank).step_by(3))
}

fn refused(counts: &Counts) -> f64 {
    1.0 - counts.unrefused_share()
}

// Guards against urgent requests that are refused as often as others: of few requests at each of
// many nodes, with mixed ranks under shortage. Without the decision all ranks are refused alike.
#[parameterized(
    few_nodes = { 4, 1.15, ms(150) },
    many_nodes = { 26, 1.15, ms(150) },
    many_nodes_half_as_much_again = { 26, 1.5, ms(150) },
    a_hundred_nodes = { 97, 1.5, ms(150) },
    late_messages = { 26, 1.5, ms(300) },
)]
fn urgent_ranks_go_first_under_shortage(nodes: usize, load: f64, exchange: Duration) {
    let sources = mixed([load / 3.0; 3]);
    let run = |policy| Site { exchange, ..site(nodes, 1, policy) }.run(&sources);
    let (with, without) = (run(Policy::Room), run(Policy::Refuse));
    let [first, second, third] = [0, 1, 2].map(|index| refused(&rank(&with, index)));
    assert!(first < second && second < third, "{first} {second} {third}");
    assert!(first * 2.0 < refused(&rank(&without, 0)), "{first} of the most urgent refused");
    let late = 1.0 - rank(&with, 0).in_time_share();
    assert!(late * 2.0 < 1.0 - rank(&without, 0).in_time_share(), "{late} of them late");
    assert!(with.max_excess <= MAX_POLL_INTERVAL, "waited {:?} too long", with.max_excess);
}

// Guards against a loss where there is no contention, or none between ranks.
#[parameterized(
    no_contention = { [0.2; 3] },
    urgent_only = { [1.3, 0.0001, 0.0001] },
    least_urgent_only = { [0.0001, 0.0001, 1.3] },
)]
fn nothing_is_lost_without_contention_between_ranks(loads: [f64; 3]) {
    let run = |policy| sum(&site(26, 2, policy).run(&mixed(loads)).counts);
    let (with, without) = (run(Policy::Room), run(Policy::Refuse));
    assert!(with.tokens.1 >= without.tokens.1, "{with:?} {without:?}");
}

// Guards against a burst of one large organisation that has the requests of all others refused.
#[parameterized(
    few_nodes = { 4 },
    many_nodes = { 26 },
)]
fn burst_of_one_organisation_waits_behind_the_others(nodes: usize) {
    let others = NAMES[1..].iter().map(|name| source(name, 1, 0.5 / (NAMES.len() - 1) as f64));
    let mut sources: Vec<Source> = others.collect();
    sources.push(Source { active: (40.0, 70.0), ..source(NAMES[0], 1, 1.5) });
    let run = |policy| site(nodes, 3, policy).run(&sources).counts;
    let split = |counts: &[Counts]| {
        let (burst, others) = counts.split_last().expect("some counts");
        (refused(burst), refused(&sum(others)))
    };
    let (burst, others) = split(&run(Policy::Room));
    let (_, without) = split(&run(Policy::Refuse));
    assert!(others < burst, "{others} of the others refused, {burst} of the burst");
    assert!(others < without, "{others} of the others refused, {without} without shares");
}

// Guards against ranks, organisations and sizes that get nothing while others demand all of the
// memory: each keeps a quarter of the rate of all requests, a size half of that of its class.
#[parameterized(
    urgent_overload = { 26, [2.0, 0.2, 0.2] },
    overload = { 26, [0.8; 3] },
    few_nodes = { 4, [2.0, 0.2, 0.2] },
)]
fn nobody_starves(nodes: usize, loads: [f64; 3]) {
    let outcome = site(nodes, 4, Policy::Room).run(&mixed(loads));
    let all = sum(&outcome.counts).rate();
    for index in 0..3 {
        let counts = rank(&outcome, index);
        assert!(counts.rate() * 4.0 >= all, "rank {index}: {} of {all}", counts.rate());
        let large = f64::from(counts.large.1) / f64::from(counts.large.0.max(1));
        let share = counts.unrefused_share();
        assert!(large * 2.0 >= share, "large ones of rank {index}: {large} of {share}");
    }
    for (name, counts) in NAMES.iter().zip(outcome.counts.chunks(3)) {
        let rate = sum(counts).rate();
        assert!(rate * 4.0 >= all, "organisation {name}: {rate} of {all}");
    }
}

// Guards against requests for most of an engine that hold up those behind them while there is room.
#[parameterized(
    never_fit = { 4, 0.5, 0.9 },
    rarely_fit = { 4, 0.5, 0.6 },
    fit_at_times = { 4, 0.8, 0.3 },
    many_nodes = { 26, 0.8, 0.6 },
)]
fn large_requests_do_not_hold_up_others(nodes: usize, load: f64, share: f64) {
    let mut sources = mixed([load / 3.0; 3]);
    let tokens = share * REQUESTS_PER_ENGINE * MEAN_SIZE;
    let large = Source { tokens: (tokens, tokens * 1.01), rate: 2.0, ..source("large", 0, 0.0) };
    sources.push(large);
    let run = |policy| {
        let counts = site(nodes, 1, policy).run(&sources).counts;
        refused(&sum(&counts[..counts.len() - 1]))
    };
    let (with, without) = (run(Policy::Room), run(Policy::Refuse));
    assert!(with <= without + 0.01, "{with} of the others refused, {without} without a queue");
}

// Guards against a rank that goes first because it is sent large requests, which are refused
// whatever their rank.
#[test]
fn large_requests_do_not_raise_their_rank() {
    let mut room = Room::default();
    for round in 0..400 {
        let now = ms(20 * round);
        room.enter(now, &request(0, now + GOAL), FREE);
        room.enter(now, &request(1, now + GOAL), FREE);
        if round % 4 == 0 {
            let large = Demanded { tokens: 30.0 * TOKENS, share: 0.75, ..request(1, now + GOAL) };
            let refused = room.enter(now, &large, 1.2);
            assert!(matches!(refused.decision, Decision::Refuse(_)), "{refused:?}");
        }
    }
    let now = Duration::from_secs(8);
    let less_urgent = ticket(room.enter(now, &request(1, now + GOAL), FULL));
    let urgent = ticket(room.enter(now, &request(0, now + GOAL), FULL));
    assert_eq!((room.place(urgent), room.place(less_urgent)), (Place::First, Place::Behind));
    room.leave(now, urgent);
    room.leave(now, less_urgent);
    let verdict = room.enter(now, &request(2, now + GOAL), FREE);
    assert!(verdict.threshold > 0.98, "no reserve for large requests: {verdict:?}");
}
