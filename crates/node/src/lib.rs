//! The entry node: composition of all services, and its shells.
