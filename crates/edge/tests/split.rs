//! Streams are forwarded in complete events.

use edge::Splitter;
use yare::parameterized;

struct Case {
    pieces: &'static [&'static str],
    ids: &'static [Option<u64>],
    torn: bool,
}

#[parameterized(
    one = { Case { pieces: &["id: 1\ndata: a\n\n"], ids: &[Some(1)], torn: false } },
    two_at_once = {
        Case { pieces: &["id: 1\ndata: a\n\nid: 2\ndata: b\n\n"], ids: &[Some(1), Some(2)], torn: false }
    },
    cut_in_the_middle = {
        Case { pieces: &["id: 1\nda", "ta: a\n", "\nid: 2\nda"], ids: &[Some(1)], torn: true }
    },
    cut_between_the_line_ends = {
        Case { pieces: &["id:7\r\ndata: a\r\n\r", "\n"], ids: &[Some(7)], torn: false }
    },
    without_id = { Case { pieces: &["data: a\n\n"], ids: &[None], torn: false } },
    nothing = { Case { pieces: &[""], ids: &[], torn: false } },
)]
fn events_are_split_without_changes(case: Case) {
    let mut splitter = Splitter::default();
    let mut ids = Vec::new();
    let mut bytes = Vec::new();
    for piece in case.pieces {
        splitter.push(piece.as_bytes());
        while let Some(event) = splitter.pop() {
            ids.push(event.id);
            bytes.extend_from_slice(&event.bytes);
        }
    }
    assert_eq!(ids, case.ids);
    assert_eq!(splitter.is_partial(), case.torn);
    let sent = case.pieces.concat();
    assert!(sent.as_bytes().starts_with(&bytes), "no byte is changed");
}

#[parameterized(
    comment = { ": alive\n\n", true },
    two_comments = { ":\n: alive\r\n\r\n", true },
    data = { "data: x\n\n", false },
    both = { ": alive\nid: 3\ndata: x\n\n", false },
)]
fn comments_are_distinguished_from_events(text: &str, is_comment: bool) {
    let mut splitter = Splitter::default();
    splitter.push(text.as_bytes());
    assert_eq!(splitter.pop().map(|event| event.is_comment), Some(is_comment));
}

#[test]
fn unterminated_event_becomes_oversized() {
    let mut splitter = Splitter::default();
    let piece = [b'x'; 64 << 10];
    for _ in 0..16 {
        splitter.push(&piece);
        assert!(splitter.pop().is_none() && !splitter.is_oversized());
    }
    splitter.push(&piece);
    assert!(splitter.is_oversized());
}
