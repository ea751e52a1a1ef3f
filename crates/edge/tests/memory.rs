//! The bound on the bytes that the process holds: who waits, who ends, and what is released.

use std::future::Future;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use edge::{Full, Holding, Memory, UNCOUNTED_BYTES};
use tokio::runtime::Builder;
use tokio::time::{sleep, timeout};
use yare::parameterized;

/// Bound of the tests, bytes.
const MOST: usize = 1 << 20;
/// Long enough for messages to be ended for others.
const LONG: Duration = Duration::from_secs(2);
/// Too short for that.
const SHORT: Duration = Duration::from_millis(20);

fn source(number: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, number], 80))
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = Builder::new_current_thread().enable_time().build().expect("a runtime");
    runtime.block_on(test)
}

/// Returns a message that has room.
fn holding(memory: &Memory, number: u8, bytes: usize) -> Holding {
    let mut holding = memory.begin(source(number));
    assert!(holding.try_reserve(bytes), "{bytes} of {number}");
    holding
}

#[test]
fn small_messages_always_have_room() {
    let memory = Memory::new(MOST);
    let _full = holding(&memory, 1, MOST);
    for number in 0..200 {
        assert!(memory.begin(source(number)).try_reserve(UNCOUNTED_BYTES));
    }
    assert!(!memory.begin(source(2)).try_reserve(UNCOUNTED_BYTES + 1));
}

/// What is done with a message that fills the bound.
enum End {
    Dropped,
    /// It has arrived, and its bytes are dropped after this number of copies.
    Arrived(usize),
    Released,
}

// Guards against bytes that are counted for ever, or no more although they are held.
#[parameterized(
    dropped = { End::Dropped },
    arrived = { End::Arrived(0) },
    arrived_and_copied = { End::Arrived(3) },
    released = { End::Released },
)]
fn room_is_released_with_the_last_copy(end: End) {
    let memory = Memory::new(MOST);
    let mut full = holding(&memory, 1, MOST);
    match end {
        End::Dropped => drop(full),
        End::Released => full.release(),
        End::Arrived(copies) => {
            let bytes = full.split(MOST).attach(Bytes::from(vec![7; MOST]));
            drop(full);
            let copies: Vec<Bytes> = (0..copies).map(|at| bytes.slice(at..)).collect();
            drop(bytes);
            for copy in copies {
                assert_eq!(memory.held(), MOST);
                drop(copy);
            }
        }
    }
    assert_eq!(memory.held(), 0);
}

#[test]
fn message_waits_until_there_is_room() {
    let memory = Memory::new(MOST);
    run(async {
        let full = holding(&memory, 1, MOST);
        let mut next = memory.begin(source(1));
        assert!(timeout(SHORT, next.reserve(MOST / 2)).await.is_err(), "it waits");
        drop(full);
        assert_eq!(timeout(SHORT, next.reserve(MOST / 2)).await, Ok(Ok(())));
    });
}

/// Messages that fill the bound, as the source and the part of the bound of each, and the source of
/// another one.
struct Case {
    held: &'static [(u8, f64)],
    /// Whether they have arrived whole.
    arrived: bool,
    next: u8,
    /// Source whose messages end.
    ends: Option<u8>,
}

// Guards against messages that end for another source's, and against those that never get room.
#[parameterized(
    one_source_fills_it = { Case { held: &[(1, 1.0)], arrived: false, next: 2, ends: Some(1) } },
    most_of_it = { Case { held: &[(1, 0.3), (2, 0.3), (2, 0.4)], arrived: false, next: 3, ends: Some(2) } },
    its_own_messages = { Case { held: &[(1, 1.0)], arrived: false, next: 1, ends: None } },
    others_hold_less = { Case { held: &[(1, 0.3), (2, 0.7)], arrived: false, next: 2, ends: None } },
    callers_read_slowly = { Case { held: &[(1, 1.0)], arrived: true, next: 2, ends: None } },
)]
fn messages_of_the_source_that_fills_it_end(case: Case) {
    let memory = Memory::new(MOST);
    run(async {
        let part = |part: f64| (MOST as f64 * part) as usize;
        let mut held: Vec<(u8, Holding)> =
            case.held.iter().map(|&(at, of)| (at, holding(&memory, at, part(of)))).collect();
        let shares: Vec<_> = match case.arrived {
            true => held.iter_mut().map(|(_, holding)| holding.split(MOST)).collect(),
            false => Vec::new(),
        };
        let mut next = memory.begin(source(case.next));
        let waiting = timeout(LONG, next.reserve(MOST / 4));
        let evicted = async {
            let mut ended = Vec::new();
            for (at, holding) in held {
                if timeout(LONG / 2, holding.evicted()).await.is_ok() {
                    ended.push(at);
                }
            }
            ended
        };
        let (outcome, ended) = tokio::join!(waiting, evicted);
        assert!(ended.iter().all(|at| Some(*at) == case.ends), "{ended:?}");
        assert_eq!(ended.is_empty(), case.ends.is_none());
        let has_room = outcome.is_ok_and(|outcome| outcome == Ok(()));
        assert_eq!(has_room, !case.arrived, "those that ended, or were dropped, have made room");
        drop(shares);
    });
}

// Guards against a source that goes on filling the memory with messages that had to wait.
#[test]
fn messages_that_wait_end_with_their_source() {
    let memory = Memory::new(MOST);
    run(async {
        let full = holding(&memory, 1, MOST);
        let mut waits = memory.begin(source(1));
        let mut other = memory.begin(source(2));
        let ends = async {
            full.evicted().await;
            drop(full);
        };
        let (ended, has_room, ()) =
            tokio::join!(waits.reserve(MOST / 2), other.reserve(MOST), ends);
        assert_eq!((ended, has_room), (Err(Full), Ok(())));
        assert_eq!(timeout(SHORT, memory.begin(source(1)).reserve(0)).await, Ok(Ok(())));
    });
}

// Guards against many small messages that are counted nowhere.
#[parameterized(one_byte = { 1 }, small = { UNCOUNTED_BYTES / 2 }, usual = { UNCOUNTED_BYTES })]
fn exact_memory_counts_messages_of_any_size(bytes: usize) {
    let memory = Memory::exact(MOST);
    let held: Vec<_> = (0..MOST / bytes).map(|_| holding(&memory, 1, bytes)).collect();
    assert_eq!(memory.held(), MOST);
    assert!(!memory.begin(source(2)).try_reserve(1));
    drop(held);
    assert_eq!(memory.held(), 0);
}

// Guards against a message that waits for ever, or whose wait nobody is told of.
#[parameterized(room_is_made = { true }, no_room_is_made = { false })]
fn owner_of_the_memory_is_told_of_a_shortage(is_made: bool) {
    let memory = Memory::exact(MOST);
    run(async {
        let mut full = Some(holding(&memory, 1, MOST));
        let mut next = memory.begin(source(1));
        let makes_room = async {
            timeout(LONG, memory.shortage()).await.expect("it is told");
            if is_made {
                full.take();
            }
        };
        let (has_room, ()) = tokio::join!(next.reserve_within(1, SHORT), makes_room);
        assert_eq!(has_room, is_made);
        assert_eq!(next.bytes(), usize::from(is_made));
    });
}

// Guards against a bound that a later configuration does not change.
#[test]
fn bound_can_be_replaced() {
    let memory = Memory::exact(MOST);
    let mut held = holding(&memory, 1, MOST);
    assert!(!held.try_reserve(MOST + 1));
    memory.set_max_bytes(2 * MOST);
    assert!(held.try_reserve(2 * MOST));
    memory.set_max_bytes(MOST);
    assert!(!memory.begin(source(2)).try_reserve(1));
    assert_eq!((memory.held(), memory.max_bytes()), (2 * MOST, MOST));
}

/// Bytes of a message that arrive after it was begun, and its number.
type Fed = (usize, usize);

// Guards against stalled messages that keep others out, against the end of one that arrives, and
// against single bytes that count as progress.
#[parameterized(
    all_stalled = { LONG / 8, None, Some(0) },
    first_arrives = { LONG / 8, Some((0, 4 << 10)), Some(1) },
    first_drips = { LONG / 8, Some((0, 1)), Some(0) },
    all_recent = { Duration::ZERO, None, None },
)]
fn message_that_stalls_ends_for_another(age: Duration, fed: Option<Fed>, ends: Option<usize>) {
    let memory = Memory::evicting(MOST);
    run(async {
        let mut held = vec![holding(&memory, 1, MOST / 2), holding(&memory, 1, MOST / 2)];
        sleep(age).await;
        if let Some((number, bytes)) = fed {
            held[number].record_bytes(bytes);
        }
        let mut next = memory.begin(source(1));
        assert!(!next.reserve_within(1, SHORT).await, "nothing has ended yet");
        let ended = held.iter().position(Holding::must_end);
        assert_eq!(ended, ends);
        if let Some(ended) = ended {
            drop(held.remove(ended));
            assert!(next.reserve_within(1, SHORT).await);
        }
    });
}
