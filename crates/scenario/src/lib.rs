//! Runner of the scenario language, and the measures.
