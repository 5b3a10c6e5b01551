//! Selection of a backend: two are drawn by weight, and the call goes to the one with less work (power of two choices).
//! The samplers are rebuilt at each evaluation, so that one selection costs about the same with ten backends as with a
//! thousand.

mod bounded_load;
mod weighted;
mod zone_aware;

pub use bounded_load::backend_for_key;
pub use weighted::WeightedSampler;
pub(crate) use zone_aware::{Candidate, ZoneAwareSelector};
