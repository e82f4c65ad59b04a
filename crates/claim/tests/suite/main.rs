//! Tests of the claim engine through its public interface.

mod fault_free;
mod matrix;
mod random;
mod refusal;
mod support;
