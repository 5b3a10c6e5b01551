//! Selection that prefers the local zone as long as enough of its weight is available.

use super::WeightedSampler;
use crate::backend_id::BackendId;
use oorandom::Rand64;

/// A backend that may be selected.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub(crate) backend: BackendId,
    /// Its current weight; 0 while it is out of selection.
    pub(crate) weight: f64,
    pub(crate) is_local: bool,
}

/// Draws backends from the local zone or from the other zones.
pub(crate) struct ZoneAwareSelector {
    local: WeightedSampler,
    remote: WeightedSampler,
    /// The fraction of the calls that stay in the local zone, 0 to 1.
    local_fraction: f64,
}

impl ZoneAwareSelector {
    /// Creates a selector without backends.
    pub(crate) fn empty() -> ZoneAwareSelector {
        ZoneAwareSelector {
            local: WeightedSampler::default(),
            remote: WeightedSampler::default(),
            local_fraction: 1.0,
        }
    }

    /// Creates a selector of these candidates. All calls stay in the local zone while it has at least
    /// `min_local_fraction` of the weight that is configured there, and proportionally fewer if it has less.
    pub(crate) fn new(
        candidates: &[Candidate],
        configured_local_weight: f64,
        min_local_fraction: f64,
    ) -> ZoneAwareSelector {
        let sampler = |is_local: bool| {
            let of_zone = candidates
                .iter()
                .filter(|candidate| candidate.is_local == is_local);
            WeightedSampler::new(of_zone.map(|candidate| (candidate.backend, candidate.weight)))
        };
        let (local, remote) = (sampler(true), sampler(false));
        let local_fraction = match (local.is_empty(), remote.is_empty()) {
            (true, _) => 0.0,
            (false, true) => 1.0,
            (false, false) => {
                (local.total_weight() / configured_local_weight / min_local_fraction).min(1.0)
            }
        };
        ZoneAwareSelector {
            local,
            remote,
            local_fraction,
        }
    }

    /// Draws two backends of one zone and returns the one with the lower cost. The backend to `avoid` is drawn only if
    /// there is no other. Returns `None` if no backend can be drawn.
    pub(crate) fn pick(
        &self,
        avoid: Option<BackendId>,
        rng: &mut Rand64,
        cost: impl Fn(BackendId) -> f64,
    ) -> Option<BackendId> {
        let stays_local = rng.rand_float() < self.local_fraction;
        let (preferred, other) = if stays_local {
            (&self.local, &self.remote)
        } else {
            (&self.remote, &self.local)
        };
        let is_exhausted = preferred.is_empty() || avoid.is_some() && preferred.len() < 2;
        let sampler = if is_exhausted && !other.is_empty() {
            other
        } else {
            preferred
        };
        sampler.cheaper_of_two(avoid, || rng.rand_float(), cost)
    }
}
