//! Engines at which a request may have run: which of them count among those that its route allows.

use edge::Attempts;
use fleet::Layers;
use path::Stage;
use yare::parameterized;

fn engine(id: &str) -> Stage {
    let address = ([127, 0, 0, 1], 1).into();
    Stage { target: id.into(), address, layers: Layers::new(0, 8) }
}

#[derive(Clone, Copy)]
enum Step {
    /// The request may have run at this engine.
    Runs(&'static str),
    /// Another node may use this many attempts.
    Forwarded(u32),
    /// The attempts are counted while these engines are known to have ended.
    Counts(&'static [&'static str], u32),
    /// The same, including an attempt at the first engine.
    CountsWith(&'static str, &'static [&'static str], u32),
}

use Step::{Counts, CountsWith, Forwarded, Runs};

// Guards against requests that run at more engines than allowed, since attempts at other nodes were
// forgotten, and against streams cut for an engine that has ended and whose entry was replaced.
#[parameterized(
    none = { &[Counts(&[], 0)] },
    same_again = { &[Runs("a"), Runs("a"), Counts(&[], 1)] },
    two = { &[Runs("a"), Runs("b"), Counts(&[], 2)] },
    forwarded = { &[Runs("a"), Forwarded(1), Counts(&[], 2)] },
    forwarded_stays = { &[Runs("a"), Forwarded(1), Counts(&["a"], 1), Forwarded(1), Counts(&["a"], 2)] },
    ended = { &[Runs("a"), Runs("b"), Counts(&["a"], 1)] },
    stays_ended = { &[Runs("a"), Counts(&["a"], 0), Counts(&[], 0)] },
    next_start_counts = { &[Runs("a"), Counts(&["a"], 0), Runs("a"), Counts(&[], 1)] },
    next = { &[Runs("a"), CountsWith("b", &[], 2)] },
    next_is_the_same = { &[Runs("a"), CountsWith("a", &[], 1)] },
    next_has_ended = { &[Runs("a"), CountsWith("b", &["b"], 1)] },
)]
fn attempts_count_unless_their_engine_has_ended(steps: &[Step]) {
    let mut attempts = Attempts::default();
    for step in steps {
        match *step {
            Runs(id) => attempts.record(&engine(id)),
            Forwarded(count) => attempts.record_forwarded(count),
            Counts(ended, expected) => {
                let count = attempts.count(None, |one| ended.contains(&one.target.as_str()));
                assert_eq!(count, expected);
            }
            CountsWith(next, ended, expected) => {
                let next = engine(next);
                let count = attempts.count(Some(&next), |one| ended.contains(&one.target.as_str()));
                assert_eq!(count, expected);
            }
        }
    }
}
