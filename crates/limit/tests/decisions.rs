//! Single decisions of the limiter and its parts.

use std::time::Duration;

use fleet::{Request, Shape};
use limit::{
    Action, Builder, Capacity, Claim, Demand, Ending, Limiter, Message, Patience, Reason, Settings,
    divide,
};
use rand::SeedableRng;
use rand::rngs::SmallRng;
use yare::parameterized;

struct Division {
    capacity: f64,
    claims: &'static [(f64, f64)],
    expected: &'static [f64],
}

#[parameterized(
    enough_for_all = { Division { capacity: 10.0, claims: &[(1.0, 2.0), (1.0, 3.0)], expected: &[2.0, 3.0] } },
    greedy_gets_the_rest = { Division { capacity: 10.0, claims: &[(1.0, 2.0), (1.0, 90.0)], expected: &[2.0, 8.0] } },
    weights = { Division { capacity: 9.0, claims: &[(2.0, 90.0), (1.0, 90.0)], expected: &[6.0, 3.0] } },
    no_claims = { Division { capacity: 9.0, claims: &[], expected: &[] } },
    no_capacity = { Division { capacity: 0.0, claims: &[(1.0, 5.0)], expected: &[0.0] } },
)]
fn division(case: Division) {
    let claims: Vec<Claim> =
        case.claims.iter().map(|&(weight, demand)| Claim { weight, demand }).collect();
    assert_eq!(divide(case.capacity, &claims), case.expected);
}

struct Waits {
    left_ms: &'static [u64],
    served_ms: &'static [u64],
    /// Bounds of what is to be learned, if anything.
    learned_ms: Option<(u64, u64)>,
}

#[parameterized(
    nobody_left = { Waits { left_ms: &[], served_ms: &[100, 900, 5_000], learned_ms: None } },
    one_is_chance = { Waits { left_ms: &[50], served_ms: &[], learned_ms: None } },
    all_leave_alike = { Waits { left_ms: &[3_000; 5], served_ms: &[200; 20], learned_ms: Some((2_000, 3_000)) } },
    served_early_say_little = { Waits { left_ms: &[3_000; 5], served_ms: &[10; 500], learned_ms: Some((2_000, 3_000)) } },
    served_late_say_much = { Waits { left_ms: &[1_000; 2], served_ms: &[9_000; 200], learned_ms: None } },
)]
fn patience(case: Waits) {
    let mut patience = Patience::default();
    for &waited in case.served_ms {
        patience.served(Duration::from_millis(waited));
    }
    for &waited in case.left_ms {
        patience.left(Duration::from_millis(waited));
    }
    let learned = patience.learned().map(|learned| learned.as_millis() as u64);
    match case.learned_ms {
        None => assert_eq!(learned, None),
        Some((least, most)) => {
            assert!(learned.is_some_and(|ms| (least..=most).contains(&ms)), "{learned:?}");
        }
    }
}

/// Once patience is respected nobody leaves any more; that must not undo the learning.
#[test]
fn patience_outlasts_its_success() {
    let mut patience = Patience::default();
    for _ in 0..5 {
        patience.left(Duration::from_secs(3));
    }
    let learned = patience.learned();
    for _ in 0..10_000 {
        patience.served(Duration::from_millis(200));
    }
    assert!(learned.is_some());
    assert_eq!(patience.learned(), learned);
}

/// Callers who stay longer than those before them replace what was learned.
#[test]
fn patience_is_learned_anew() {
    let mut patience = Patience::default();
    for _ in 0..5 {
        patience.left(Duration::from_secs(3));
    }
    for _ in 0..1_000 {
        patience.served(Duration::from_secs(6));
    }
    assert_eq!(patience.learned(), None);
}

fn request(id: u128) -> Request {
    Request {
        id,
        organisation: "o".into(),
        service: "m".into(),
        shape: Shape { prompt_tokens: 10, max_tokens: 10, stream: true },
        fingerprint: id as u64,
        idempotent: true,
    }
}

struct Bench {
    limiter: Limiter,
    rng: SmallRng,
}

impl Bench {
    fn new(settings: Settings, slots: u32) -> Self {
        let mut bench = Self { limiter: Limiter::new(settings), rng: SmallRng::seed_from_u64(1) };
        bench.tell(0, Message::Capacity(capacity(slots)));
        bench
    }

    fn tell(&mut self, now_ms: u64, message: Message) -> Vec<Action> {
        let mut actions = Vec::new();
        self.limiter.step(Duration::from_millis(now_ms), message, &mut self.rng, &mut actions);
        actions.retain(|action| matches!(action, Action::Admit { .. } | Action::Refuse { .. }));
        actions
    }

    /// What the node reports of its demand when it wakes.
    fn demand(&mut self, now_ms: u64) -> Vec<Demand> {
        let mut actions = Vec::new();
        let now = Duration::from_millis(now_ms);
        self.limiter.step(now, Message::Wake, &mut self.rng, &mut actions);
        let reports = actions.into_iter().find_map(|action| match action {
            Action::Demand(reports) => Some(reports),
            _ => None,
        });
        let demand = |(organisation, cost)| Demand { node: "far".into(), organisation, cost };
        reports.unwrap_or_default().into_iter().map(demand).collect()
    }

    fn refusals(&mut self, now_ms: u64, message: Message) -> Vec<(u128, Reason)> {
        let actions = self.tell(now_ms, message);
        let refused = actions.into_iter().filter_map(|action| match action {
            Action::Refuse { request, reason, retry_after } => {
                assert!(retry_after >= Duration::from_secs(1));
                Some((request, reason))
            }
            _ => None,
        });
        refused.collect()
    }
}

fn capacity(slots: u32) -> Capacity {
    Capacity { service: "m".into(), tokens_per_second: 0.0, slots }
}

#[test]
fn without_capacity_it_is_refused_at_once() {
    let mut bench = Bench::new(Settings::default(), 0);
    let refused = bench.refusals(0, Message::Arrive(request(1)));
    assert_eq!(refused, vec![(1, Reason::NoCapacity)]);
}

#[test]
fn slot_freed_goes_to_the_waiting() {
    let mut bench = Bench::new(Settings::default(), 1);
    assert!(matches!(
        bench.tell(0, Message::Arrive(request(1)))[..],
        [Action::Admit { request: 1, .. }]
    ));
    assert_eq!(bench.tell(1, Message::Arrive(request(2))), vec![]);
    let ending = Message::Finished { request: 1, ending: Ending::Complete };
    assert!(matches!(bench.tell(2, ending)[..], [Action::Admit { request: 2, .. }]));
}

#[test]
fn caller_that_left_frees_its_place() {
    let mut bench = Bench::new(Settings::default(), 1);
    bench.tell(0, Message::Arrive(request(1)));
    bench.tell(1, Message::Arrive(request(2)));
    bench.tell(2, Message::HungUp(2));
    assert_eq!(bench.limiter.waiting(), 0);
    bench.tell(3, Message::HungUp(1));
    assert_eq!(bench.limiter.running(), 0);
}

/// A request that can no longer be answered in time hears so at once, not when its
/// caller has given up.
#[test]
fn late_request_is_refused_before_its_caller_leaves() {
    let patience = Duration::from_secs(10);
    let settings = Settings { stream_patience: patience, ..Settings::default() };
    let mut bench = Bench::new(settings, 1);
    bench.tell(0, Message::Arrive(request(1)));
    bench.tell(1, Message::Arrive(request(2)));
    assert_eq!(bench.refusals(9_000, Message::Wake), vec![]);
    assert_eq!(bench.refusals(10_002, Message::Wake).len(), 1);
}

/// A burst from an organisation that was quiet before: with 4 slots of 2 s each the last
/// of 12 starts within 4 s, well before its caller leaves.
#[test]
fn burst_of_a_quiet_organisation_waits() {
    let mut bench = Bench::new(Settings::default(), 4);
    for id in 1..=12 {
        assert_eq!(bench.refusals(1_000, Message::Arrive(request(id))), vec![]);
    }
    assert_eq!((bench.limiter.running(), bench.limiter.waiting()), (4, 8));
}

/// Requests of a kind that is new to this node, while another node reports its own burst.
struct Cold {
    /// Requests that end before the rest arrives.
    ended: u128,
    /// Slots' time that the other node reports, in slots.
    elsewhere: f64,
}

/// How long a new kind of request holds a slot is a guess; a guess refuses nobody.
#[parameterized(
    alone = { Cold { ended: 0, elsewhere: 0.0 } },
    beside_a_burst = { Cold { ended: 0, elsewhere: 40.0 } },
    one_known = { Cold { ended: 1, elsewhere: 40.0 } },
    some_known = { Cold { ended: 4, elsewhere: 40.0 } },
)]
fn guessed_cost_refuses_nobody(case: Cold) {
    let mut bench = Bench::new(Settings::default(), 6);
    let elsewhere =
        Demand { node: "elsewhere".into(), organisation: "o".into(), cost: case.elsewhere };
    for id in 1..=15 {
        assert_eq!(bench.refusals(1_000, Message::Arrive(request(id))), vec![]);
    }
    bench.tell(1_020, Message::Peers { live: 4, demand: vec![elsewhere] });
    for id in 1..=case.ended {
        let ended = Message::Finished { request: id, ending: Ending::Complete };
        assert_eq!(bench.refusals(1_000 + 50 * id as u64, ended), vec![]);
    }
    for id in 16..=20 {
        assert_eq!(bench.refusals(1_300, Message::Arrive(request(id))), vec![]);
    }
}

/// A burst of a new kind at two nodes at once, of which one knows by now what it costs.
struct Uneven {
    /// How long the first requests hold their slots, milliseconds.
    held_ms: u64,
    /// Requests at the node that knows, before the first of them ends and after.
    before: u128,
    after: u128,
}

/// What another node guesses takes no share from a node that knows better: with six slots for
/// both, the last of these starts long before its caller leaves.
#[parameterized(
    quick = { Uneven { held_ms: 50, before: 2, after: 18 } },
    slow = { Uneven { held_ms: 800, before: 2, after: 18 } },
    slow_and_early = { Uneven { held_ms: 800, before: 6, after: 14 } },
    slower = { Uneven { held_ms: 1_200, before: 3, after: 14 } },
)]
fn guesses_of_other_nodes_take_no_share(case: Uneven) {
    let mut far = Bench::new(Builder::new("far").build(), 6);
    let mut near = Bench::new(Builder::new("near").build(), 6);
    for id in 101..=120 {
        assert_eq!(far.refusals(1_000, Message::Arrive(request(id))), vec![]);
    }
    for id in 1..=case.before {
        assert_eq!(near.refusals(1_000, Message::Arrive(request(id))), vec![]);
    }
    let demand = far.demand(1_010);
    near.tell(1_020, Message::Peers { live: 2, demand });
    let ended = Message::Finished { request: 1, ending: Ending::Complete };
    assert_eq!(near.refusals(1_000 + case.held_ms, ended), vec![]);
    for id in case.before + 1..=case.before + case.after {
        let arrives = Message::Arrive(request(id));
        assert_eq!(near.refusals(1_010 + case.held_ms, arrives), vec![]);
    }
}

#[test]
fn full_queue_loses_the_last() {
    let settings = Settings { queue: 2, early_refusal: false, ..Settings::default() };
    let mut bench = Bench::new(settings, 1);
    for id in 1..=3 {
        assert_eq!(bench.refusals(id, Message::Arrive(request(u128::from(id)))), vec![]);
    }
    assert_eq!(bench.refusals(4, Message::Arrive(request(4))), vec![(4, Reason::QueueFull)]);
}
