//! The scenario language and its runner over the pure decision code.
