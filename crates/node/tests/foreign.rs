//! Streams that break off and whose next engine answers with something else than their next events:
//! none of it reaches the caller, and the stream goes on elsewhere or is cut visibly.

mod entry;
mod site;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::thread::sleep;
use std::time::Duration;

use platform_standin::{Cut, Document, Fault, Reply, Resumption, Route};
use site::{EVENTS, Site, ended, view};
use yare::parameterized;

/// Events after which the first engine breaks off.
const CUT_AFTER: u64 = 5;
/// Time from the start of streams after which their node is cut off from the engines.
const CUT_AT: Duration = Duration::from_millis(150);
/// Streams of each part of a test.
const STREAMS: usize = 6;
const EVENT_STREAM: &str = "text/event-stream";
const HTML: &str = "<html>\n<h1>Bad gateway</h1>\n\n</html>\n\n";
const HEAD: &str = "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 4\r\n\r\nfail\n\n";
const TEXT_AND_EVENT: &str = "upstream failed\nid: 6\ndata: token 6\n\n";
const UNNUMBERED: &str = "data: upstream failed\n\n";
const GAP: &str = "id: 9\ndata: token 9\n\n";
const RESTART: &str = "id: 1\ndata: token 1\n\nid: 6\ndata: token 6\n\n";

fn answer(status: u16, content_type: &'static str, body: &'static str) -> Resumption {
    Resumption { status, content_type, body, has_length: false, is_signed: true }
}

fn with_length(answer: Resumption) -> Resumption {
    Resumption { has_length: true, ..answer }
}

fn unsigned(answer: Resumption) -> Resumption {
    Resumption { is_signed: false, ..answer }
}

// Guards against an error of the next engine, its head or its end reaching the caller in the middle
// of a stream.
#[parameterized(
    errors = {
        180,
        &[
            answer(500, "text/html", HTML),
            with_length(answer(500, "", "")),
            with_length(answer(404, "text/plain", UNNUMBERED)),
        ]
    },
    other_types = {
        181,
        &[
            answer(200, "text/html", HTML),
            with_length(answer(200, "application/json", "{}\n\n")),
            with_length(answer(200, "text/html", "")),
        ]
    },
    text = {
        182,
        &[
            answer(200, EVENT_STREAM, HEAD),
            answer(200, "", HTML),
            answer(200, EVENT_STREAM, TEXT_AND_EVENT),
            answer(200, EVENT_STREAM, UNNUMBERED),
        ]
    },
    other_numbers = { 183, &[answer(200, EVENT_STREAM, GAP), answer(200, EVENT_STREAM, RESTART)] },
    without_signature = { 184, &[unsigned(answer(200, EVENT_STREAM, ""))] },
)]
fn only_events_of_the_stream_follow(number: u8, answers: &[Resumption]) {
    let document = Document { attempts: 4, ..Document::default() };
    let mut site = Site::start(number, 1, &document);
    let first = site.path("probe")[0];
    let others = site.engines.iter().copied().filter(|engine| *engine != first);
    let others: Vec<SocketAddr> = others.collect();
    site.set_fault(&[first], Fault::Cuts(CUT_AFTER));
    for answer in answers {
        site.set_fault(&others, Fault::Resumes(*answer));
        for number in 0..STREAMS {
            let reply = site.ask(0, Route::Resumable, &format!("odd{number}-"));
            assert!(has_only_events(&reply), "{answer:?} {reply:?}");
            assert!(!reply.ended || reply.is_complete(EVENTS), "{answer:?} {reply:?}");
        }
    }
    // The other engines are sound again: streams go on there.
    site.set_fault(&others, Fault::None);
    for number in 0..STREAMS {
        let reply = site.ask(0, Route::Resumable, &format!("sound{number}-"));
        assert!(reply.is_complete(EVENTS) && has_only_events(&reply), "{reply:?}");
    }
    let resumed = site.runs("").into_iter().filter(|run| run.after == Some(CUT_AFTER));
    assert!(resumed.count() >= answers.len() * STREAMS, "streams are resumed");
    site.nodes[0].signal("TERM");
    assert_eq!(site.nodes[0].child.wait().expect("it ends").code(), Some(0));
}

/// Returns whether a reply has the first events of its stream, in order, and nothing else.
fn has_only_events(reply: &Reply) -> bool {
    let count = reply.events.len() as u64;
    reply.events.iter().copied().eq(1..=count) && reply.other_lines.is_empty()
}

// Guards against the same where another node sends the rest of the stream: an answer of its own or
// of its engine that is no stream; and against streams that run at more engines than their route
// allows, because such an answer does not count as a run.
#[parameterized(
    server_error = { 185, answer(500, "text/html", HTML) },
    not_found_without_body = { 186, with_length(answer(404, "", "")) },
    head_as_events = { 187, answer(200, EVENT_STREAM, HEAD) },
    unavailable = { 188, answer(503, "", "") },
    unavailable_unsigned = { 189, unsigned(answer(503, "", "")) },
)]
fn only_events_of_the_stream_follow_from_another_node(number: u8, answer: Resumption) {
    let mut site = Site::start_with_views(number, 3, &Document::default());
    site.set_fault(&site.engines, Fault::Resumes(answer));
    let streams = site.streams(0, "s", STREAMS);
    sleep(CUT_AT);
    site.platform.set_cut(&view(&site.nodes[0]), Some(Cut::Silent));
    for reply in ended(streams) {
        assert!(reply.events.len() > 1 && has_only_events(&reply), "{reply:?}");
        assert!(!reply.ended || reply.is_complete(EVENTS), "{reply:?}");
    }
    let resumed = site.runs("s").into_iter().filter(|run| run.after.is_some());
    assert!(resumed.count() > 0, "streams are resumed elsewhere");
    for number in 0..STREAMS {
        // The engine at which the stream began is cut off from its node, and does not count.
        let runs = site.runs(&format!("s{number}"));
        let resumed = runs.iter().filter(|run| run.after.is_some());
        let targets: BTreeSet<&str> = resumed.map(|run| run.target.as_str()).collect();
        assert!(targets.len() <= Document::default().attempts as usize, "{number}: {targets:?}");
    }
    site.nodes[1].signal("TERM");
    assert_eq!(site.nodes[1].child.wait().expect("it ends").code(), Some(0));
}
