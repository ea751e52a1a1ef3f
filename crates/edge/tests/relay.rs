//! Which nodes follow the store closely, and what their answers prove to the others.

use std::net::SocketAddr;
use std::time::Duration;

use edge::{Freshness, Listing, Relay, Replica};
use platform::kv::{Page, Position};
use yare::parameterized;

const NOW: Duration = Duration::from_secs(50);

const fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

fn node(number: usize) -> SocketAddr {
    SocketAddr::from(([10, (number % 5) as u8, (number / 250) as u8, (number % 250) as u8], 80))
}

/// Returns the relay of each of `count` nodes.
fn relays(count: usize) -> Vec<Relay> {
    let relay = |own: usize| {
        let mut relay = Relay::default();
        // Each node knows the others in a different order.
        let others: Vec<SocketAddr> = (1..count).map(|other| node((own + other) % count)).collect();
        relay.set_nodes(node(own), &others);
        relay
    };
    (0..count).map(relay).collect()
}

#[parameterized(
    alone = { 1, 1 },
    small = { 4, 4 },
    some = { 29, 4 },
    large = { 118, 8 },
    largest = { 620, 39 },
)]
fn all_nodes_agree_on_the_followers(count: usize, followers: usize) {
    let mut relays = relays(count);
    let asked: Vec<Option<SocketAddr>> =
        relays.iter_mut().map(|relay| relay.next_query(NOW, 0.4).map(|(node, _)| node)).collect();
    let following: Vec<usize> = (0..count).filter(|&own| asked[own].is_none()).collect();
    assert_eq!(following.len(), followers);
    for follower in asked.iter().flatten() {
        assert!(following.iter().any(|&own| node(own) == *follower), "{follower} follows");
    }
}

/// Returns the relay of a node that is not a follower.
fn non_follower() -> Relay {
    let non_follower = relays(40).into_iter().find_map(|mut relay| {
        relay.next_query(NOW, 0.0)?;
        Some(relay)
    });
    non_follower.expect("a node that does not follow")
}

/// Returns the positions of a node that knows a revision of an era.
fn replica(era: u64, revision: u64) -> Replica {
    let (mut replica, mut listing) = (Replica::default(), Listing::default());
    replica.accept_era(Some(era));
    let page = Page { items: vec![], has_more: false, position: Position::new(era, revision) };
    assert!(replica.accept_page(&mut listing, &page));
    replica.complete(listing);
    replica
}

struct Case {
    /// Revision that the querying node knows.
    own: u64,
    /// Revision that the follower knows, and the age of that knowledge in milliseconds.
    follower: (u64, u64),
    /// Time before the query up to which the state is proved, milliseconds.
    age: Option<u64>,
}

#[parameterized(
    the_same = { Case { own: 7, follower: (7, 300), age: Some(300) } },
    just_now = { Case { own: 7, follower: (7, 0), age: Some(0) } },
    knows_more = { Case { own: 9, follower: (7, 300), age: Some(300) } },
    lacks_a_change = { Case { own: 6, follower: (7, 0), age: None } },
    older_than_its_start = { Case { own: 7, follower: (7, 60_000), age: None } },
)]
fn proof_dates_from_the_query(case: Case) {
    let mut relay = non_follower();
    let (from, query) = relay.next_query(NOW, 0.3).expect("a follower");
    let answer =
        Freshness { query, position: Position::new(0, case.follower.0), age: ms(case.follower.1) };
    let expected = case.age.map(|age| NOW - ms(age));
    assert_eq!(relay.accept_answer(from, &answer, &replica(0, case.own)), expected);
    assert_eq!(relay.has_recent_proof(NOW + ms(1400)), case.own >= case.follower.0);
    assert!(!relay.has_recent_proof(NOW + ms(1600)));
    // Neither a second copy nor an answer to an older query proves anything.
    assert_eq!(relay.accept_answer(from, &answer, &replica(0, case.own)), None);
}

#[test]
fn answer_to_the_previous_query_proves_nothing() {
    let mut relay = non_follower();
    let (from, query) = relay.next_query(NOW, 0.3).expect("a follower");
    relay.next_query(NOW + ms(600), 0.3);
    let answer = Freshness { query, position: Position::new(0, 7), age: ms(0) };
    assert_eq!(relay.accept_answer(from, &answer, &replica(0, 7)), None);
}

// Guards against a node that takes a revision for current which the store has given out again.
#[parameterized(same = { 2, true }, later = { 3, false }, earlier = { 1, false })]
fn revisions_of_another_era_prove_nothing(era: u64, proved: bool) {
    let mut relay = non_follower();
    let (from, query) = relay.next_query(NOW, 0.3).expect("a follower");
    let answer = Freshness { query, position: Position::new(era, 7), age: ms(0) };
    assert_eq!(relay.accept_answer(from, &answer, &replica(2, 7)).is_some(), proved);
}
