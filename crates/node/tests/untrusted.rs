//! Crowds of untrusted callers that hold what they get: the process stays within the memory and the
//! descriptors of its VM, and an ordinary caller still gets an answer.

mod crowd;
mod entry;
mod flood;

use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use crowd::{Crowd, Habit, Port, Vm};
use entry::Entry;
use flood::{SOON, Site};
use platform_standin::{Call, Document, Fault, Limits, Reply, Route, send_call};
use yare::parameterized;

/// One case runs at a time: each has hundreds of callers.
static TURN: Mutex<()> = Mutex::new(());
/// Callers at once.
const CALLERS: usize = 600;
/// VM with little memory for the callers.
const LOW_MEMORY: Vm = Vm { memory_mb: 32, max_fds: 2_870 };
/// VM with fewer descriptors than callers.
const FEW_DESCRIPTORS: Vm = Vm { memory_mb: 260, max_fds: 500 };
/// Largest body that is allowed, bytes.
const MAX_BODY: usize = 256 << 10;
/// Time for which the crowd may hold what it has: longer than a case takes.
const HOLD: Duration = Duration::from_secs(60);
/// Size of the body of an ordinary request, bytes: larger than what was not accounted for.
const ORDINARY_BODY: usize = 20 << 10;
/// Size of an answer that does not fit into the buffers of sockets, bytes.
const LARGE_ANSWER: usize = 4 << 20;

/// Starts a site whose node has such a VM.
fn start(number: u8, vm: &Vm) -> Site {
    let hosts = format!("127.89.{number}");
    Site::start_with(&hosts, &document(), &vm.settings(), |settings| {
        Entry::start_limited(&format!("untrusted-{number}"), settings, vm.max_fds)
    })
}

fn document() -> Document {
    let limits = Limits {
        body_bytes: MAX_BODY,
        head_timeout: HOLD,
        idle_timeout: HOLD,
        ..Limits::default()
    };
    Document { limits, ..Document::default() }
}

/// Sends an ordinary request, with a body of this size.
fn ask(site: &Site, body: usize) -> Reply {
    let body = "o".repeat(body).leak();
    send_call(site.node.front, &Call { body, ..Call::new(Route::Unsafe, "ordinary") })
}

struct Case {
    vm: Vm,
    port: Port,
    habit: Habit,
}

const fn low_memory(habit: Habit) -> Case {
    Case { vm: LOW_MEMORY, port: Port::Callers, habit }
}

const fn few_descriptors(habit: Habit) -> Case {
    Case { vm: FEW_DESCRIPTORS, port: Port::Callers, habit }
}

const fn at_node_port(case: Case) -> Case {
    Case { port: Port::Nodes, ..case }
}

// Guards against a process that runs out of memory or descriptors, or that serves nobody else,
// because each of many callers holds what one caller may hold.
#[parameterized(
    bodies_with_a_length = { 1, low_memory(Habit::Body { bytes: 15 << 10 }) },
    bodies_in_chunks = { 2, low_memory(Habit::Chunks { bytes: 15 << 10, each: 15 << 10 }) },
    bodies_in_small_chunks = { 3, low_memory(Habit::Chunks { bytes: 15 << 10, each: 100 }) },
    bodies_in_tiny_chunks = { 4, low_memory(Habit::Chunks { bytes: 3_000, each: 1 }) },
    large_bodies_with_a_length = { 5, low_memory(Habit::Body { bytes: MAX_BODY }) },
    large_bodies_in_chunks = { 6, low_memory(Habit::Chunks { bytes: MAX_BODY, each: 16 << 10 }) },
    heads_without_end = { 7, low_memory(Habit::Head { bytes: 15 << 10 }) },
    heads_that_drip = { 8, low_memory(Habit::DrippingHead) },
    refused_bodies = { 9, low_memory(Habit::Refused { bytes: MAX_BODY }) },
    silent_connections = { 10, low_memory(Habit::Silent) },
    unread_answers = { 11, low_memory(Habit::Unread) },
    bodies_from_nodes = { 12, at_node_port(low_memory(Habit::Body { bytes: 15 << 10 })) },
    heads_from_nodes = { 13, at_node_port(low_memory(Habit::Head { bytes: 15 << 10 })) },
    silent_without_descriptors = { 14, few_descriptors(Habit::Silent) },
    heads_without_descriptors = { 15, few_descriptors(Habit::Head { bytes: 100 }) },
    bodies_without_descriptors = { 16, few_descriptors(Habit::Body { bytes: 100 }) },
    refused_without_descriptors = { 17, few_descriptors(Habit::Refused { bytes: 100 }) },
    unread_without_descriptors = { 18, few_descriptors(Habit::Unread) },
    nodes_without_descriptors = { 19, at_node_port(few_descriptors(Habit::Silent)) },
)]
fn crowd_is_survived(number: u8, case: Case) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = start(number, &case.vm);
    if case.habit == Habit::Unread {
        site.plain.iter().for_each(|at| site.platform.set_fault(*at, Fault::Sends(LARGE_ANSWER)));
    }
    let watch = crowd::watch_sockets(site.node.child.id());
    let crowd = Crowd::gather(case.port.of(&site), case.habit, CALLERS);
    site.plain.iter().for_each(|at| site.platform.set_fault(*at, Fault::None));
    let is_served = site.platform.wait(SOON, || ask(&site, ORDINARY_BODY).status == Some(200));
    let (peak, sockets) = (site.memory_kb() * 1024, watch.most());
    eprintln!("peak {} MB, {sockets} sockets, served {is_served}", peak / 1_000_000);
    assert!(peak < case.vm.memory_mb * 1_000_000, "{peak} bytes");
    assert!(sockets <= case.vm.max_sockets(), "{sockets} sockets");
    assert!(is_served, "an ordinary caller gets its answer");
    drop(crowd);
    site.assert_goes_on();
}

// Guards against bounds that refuse what the configuration allows when there is no overload.
#[test]
fn largest_request_is_served_without_overload() {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = start(30, &LOW_MEMORY);
    assert_eq!(ask(&site, MAX_BODY).status, Some(200));
    assert_eq!(crowd::send_slowly(site.node.front, MAX_BODY), Some(200));
    site.assert_goes_on();
}

// Guards against a planned stop that a crowd delays beyond the grace, or a reload that ends the
// process.
#[parameterized(
    heads = { 31, Habit::Head { bytes: 15 << 10 } },
    bodies = { 32, Habit::Chunks { bytes: 15 << 10, each: 100 } },
    silent = { 33, Habit::Silent },
)]
fn process_reloads_and_stops_under_a_crowd(number: u8, habit: Habit) {
    let _turn = TURN.lock().unwrap_or_else(PoisonError::into_inner);
    let mut site = start(number, &LOW_MEMORY);
    let _crowd = Crowd::gather(site.node.front, habit, CALLERS);
    site.node.signal("HUP");
    assert!(site.platform.wait(SOON, || ask(&site, ORDINARY_BODY).status == Some(200)));
    site.assert_goes_on();
}
