//! The connections that a request has used.
//!
//! A faulty target may write an answer once more on a kept connection. The copy bears the id of its
//! request, and would count as the answer if the same request were sent there again. So no request
//! is sent twice over one connection.

use std::cell::RefCell;

/// Number of a connection, in the order in which they were opened.
pub(crate) type ConnectionNumber = u64;

/// The connections that a request must not use again.
#[derive(Debug, Default)]
pub(crate) struct Used(RefCell<Vec<ConnectionNumber>>);

impl Used {
    /// Records that the request is sent over a connection.
    pub(crate) fn record(&self, connection: ConnectionNumber) {
        self.0.borrow_mut().push(connection);
    }

    /// Returns whether the request has not been sent over any connection.
    pub(crate) fn is_empty(&self) -> bool {
        self.0.borrow().is_empty()
    }

    /// Returns whether the request has been sent over a connection.
    pub(crate) fn contains(&self, connection: ConnectionNumber) -> bool {
        self.0.borrow().contains(&connection)
    }
}
