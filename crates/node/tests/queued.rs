//! Streams that wait for engines whose memory is full.

mod entry;
mod site;

use std::io::Write;
use std::net::TcpStream;
use std::thread::JoinHandle;
use std::time::Duration;

use platform_standin::{Call, Document, Reply, Route, spawn_call};
use site::{EVENTS, Site, ended};

/// Tokens of a prompt at which an engine that holds all layers has memory for some eight requests.
const PROMPT: u32 = 3000;
/// Requests that are sent at once: many more than the engines have memory for.
const REQUESTS: usize = 120;
const GOAL: Duration = Duration::from_millis(1500);
/// Longest wait until requests are queued.
const QUEUE_TIMEOUT: Duration = Duration::from_secs(5);
const QUEUED: &str = "magnolia_admissions{rank=\"11\",outcome=\"queued\"}";
const LESS_URGENT_QUEUED: &str = "magnolia_admissions{rank=\"22\",outcome=\"queued\"}";

fn document(latency_goal: Option<Duration>) -> Document {
    Document { latency_goal, priorities: Some((1, 2)), ..Document::default() }
}

/// Sends all requests at once; their ids are `id` followed by a number.
fn streams(site: &Site, id: &str) -> Vec<JoinHandle<Reply>> {
    let stream = |number| {
        let call = Call::new(Route::Resumable, &format!("{id}{number}"));
        spawn_call(site.nodes[0].front, Call { prompt: PROMPT, ..call })
    };
    (0..REQUESTS).map(stream).collect()
}

/// Checks that each request was served as a whole or refused without having run. Returns the number
/// of those that were served.
fn check(site: &Site, id: &str, replies: &[Reply]) -> usize {
    let mut served = 0;
    for (index, reply) in replies.iter().enumerate() {
        let id = format!("{id}{index}");
        let runs = site.runs(&id).into_iter().filter(|run| run.request == id).count();
        if reply.status == Some(200) {
            assert!(reply.is_complete(EVENTS), "{id}: {reply:?}");
            served += 1;
        } else {
            assert_eq!(reply.status, Some(503), "{id}: {reply:?}");
            assert!(reply.retry_after.is_some(), "{id}: {reply:?}");
            assert_eq!(runs, 0, "a refused request has run: {id}");
        }
    }
    served
}

// Guards against a refusal of each request that finds the memory of the engines full, although it
// becomes free within the latency goal.
#[test]
fn requests_wait_for_memory_within_their_latency_goal() {
    let site = Site::start(246, 1, &document(Some(GOAL)));
    let replies = ended(streams(&site, "q"));
    let served = check(&site, "q", &replies);
    assert!(site.counter(0, QUEUED) > 0, "requests are queued");
    let admitted = site.counter(0, "magnolia_admissions{rank=\"11\",outcome=\"admitted\"}");
    assert!(admitted > 0, "of {} queued", site.counter(0, QUEUED));
    assert!(served < REQUESTS, "the engines have memory for fewer requests than arrive");
    assert!(replies.iter().all(|reply| reply.elapsed < GOAL * 2), "nothing waits beyond its goal");
}

// Guards against waits on routes that state no latency goal: they are refused as before.
#[test]
fn requests_without_a_latency_goal_do_not_wait() {
    let site = Site::start(247, 1, &document(None));
    let replies = ended(streams(&site, "n"));
    let served = check(&site, "n", &replies);
    assert!(served < REQUESTS);
    assert_eq!(site.counter(0, QUEUED), 0);
}

// Guards against queued requests that a node that stops keeps, or sends to engines.
#[test]
fn node_that_stops_refuses_queued_requests() {
    let site = Site::start(248, 1, &document(Some(Duration::from_secs(20))));
    let streams = streams(&site, "s");
    assert!(site.platform.wait(QUEUE_TIMEOUT, || site.counter(0, QUEUED) > 0), "some are queued");
    site.nodes[0].signal("TERM");
    let replies = ended(streams);
    let served = check(&site, "s", &replies);
    assert!(served > 0 && served < REQUESTS, "{served} served");
}

// Guards against requests in the queue that run although their callers have left.
#[test]
fn request_whose_caller_leaves_is_not_sent() {
    let site = Site::start(249, 1, &document(Some(Duration::from_secs(20))));
    let before = site.counter(0, QUEUED);
    let others = streams(&site, "o");
    let is_queued = || site.counter(0, QUEUED) > before;
    assert!(site.platform.wait(QUEUE_TIMEOUT, is_queued), "others are queued");
    let queued_others = site.counter(0, QUEUED);
    // Less urgent than the others, so that it goes last.
    let request = format!(
        "POST {}x HTTP/1.1\r\nHost: {}\r\nRequest-Id: leaver\r\nDeadline-Ms: 20000\r\n\
         Token-Count: {PROMPT},40\r\nContent-Length: 4\r\n\r\nbody",
        Route::Stream.prefix(),
        Document::HOST,
    );
    let mut caller = TcpStream::connect(site.nodes[0].front).expect("a connection");
    caller.write_all(request.as_bytes()).expect("a request is sent");
    let is_queued = || site.counter(0, LESS_URGENT_QUEUED) > 0;
    assert!(site.platform.wait(QUEUE_TIMEOUT, is_queued), "the request is queued");
    drop(caller);
    let replies = ended(others);
    assert!(queued_others > before && check(&site, "o", &replies) > 0);
    // The place of the one that has left is free for the next.
    let next = ended(vec![spawn_call(site.nodes[0].front, Call::new(Route::Stream, "next"))]);
    assert!(next[0].is_complete(EVENTS), "{next:?}");
    assert!(site.runs("leaver").is_empty(), "the request of a caller that has left ran");
}
