//! Waits for the first of several operations to end.

use std::future::poll_fn;
use std::task::{Context, Poll};

/// Waits until one of the items ends, as `poll` finds, and takes it from the list.
pub(crate) async fn take_first<I, T>(
    items: &mut Vec<I>,
    mut poll: impl FnMut(&mut I, &mut Context<'_>) -> Poll<T>,
) -> (I, T) {
    poll_fn(|context| {
        for index in 0..items.len() {
            if let Poll::Ready(result) = poll(&mut items[index], context) {
                return Poll::Ready((items.remove(index), result));
            }
        }
        Poll::Pending
    })
    .await
}
