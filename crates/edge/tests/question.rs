//! Which answers to queries count.

use std::net::SocketAddr;
use std::time::Duration;

use edge::Queries;
use yare::parameterized;

const NOW: Duration = Duration::from_secs(1);

struct Case {
    /// Subjects in the order in which both nodes are queried.
    asked: &'static [&'static str],
    /// Answers: the position of their query in that order, and the node.
    answers: &'static [(usize, u16)],
    /// Positions of the answers that count.
    count: &'static [usize],
}

#[parameterized(
    each_node = { Case { asked: &["a"], answers: &[(0, 1), (0, 2)], count: &[0, 1] } },
    twice = { Case { asked: &["a"], answers: &[(0, 1), (0, 1)], count: &[0] } },
    late = { Case { asked: &["a", "a"], answers: &[(0, 1), (1, 1)], count: &[1] } },
    not_asked = { Case { asked: &["a"], answers: &[(0, 3)], count: &[] } },
    two_services = { Case { asked: &["a", "b"], answers: &[(0, 1), (1, 1), (0, 2)], count: &[0, 1, 2] } },
)]
fn first_answer_of_each_node_to_the_latest_query_counts(case: Case) {
    let node = |number: u16| SocketAddr::from(([10, 0, 0, 1], number));
    let mut queries = Queries::default();
    let subjects = || case.asked.iter().map(|subject| (*subject).into());
    let numbers: Vec<u64> =
        subjects().map(|subject| queries.register(NOW, &subject, &[node(1), node(2)])).collect();
    let counted = |queries: &mut Queries, &(place, from): &(usize, u16)| {
        queries.accept_answer(case.asked[place], numbers[place], node(from)) == Some(NOW)
    };
    let count: Vec<usize> = (0..case.answers.len())
        .filter(|&place| counted(&mut queries, &case.answers[place]))
        .collect();
    assert_eq!(count, case.count);
}
