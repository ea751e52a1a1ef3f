//! The operators' configuration: validation, version, propagation.
