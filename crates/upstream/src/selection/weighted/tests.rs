use super::*;

const FOUR: BackendId = BackendId::new(4);
const FIVE: BackendId = BackendId::new(5);
const SIX: BackendId = BackendId::new(6);

fn sampler() -> WeightedSampler {
    WeightedSampler::new([(FOUR, 1.0), (FIVE, 0.0), (SIX, 3.0)])
}

#[test]
fn draws_by_weight() {
    let sampler = sampler();
    let drawn = [0.0, 0.24, 0.26, 1.0].map(|fraction| sampler.at(fraction));
    assert_eq!(drawn, [Some(FOUR), Some(FOUR), Some(SIX), Some(SIX)]);
    assert_eq!(
        sampler.len(),
        2,
        "a backend without a weight is never drawn"
    );
}

#[test]
fn cheaper_of_two_is_selected() {
    let mut fractions = [0.1, 0.9].into_iter().cycle();
    let costs = [0.0, 0.0, 0.0, 0.0, 2.0, 0.0, 1.0];
    let random = || fractions.next().expect("endless");
    assert_eq!(
        sampler().cheaper_of_two(None, random, |id| costs[id.index()]),
        Some(SIX)
    );
}

#[test]
fn avoided_backend_is_drawn_only_if_alone() {
    for fraction in [0.0, 0.1, 0.5, 0.99] {
        assert_eq!(
            sampler().cheaper_of_two(Some(SIX), || fraction, |_| 0.0),
            Some(FOUR)
        );
    }
    let three = BackendId::new(3);
    let single = WeightedSampler::new([(three, 1.0)]);
    assert_eq!(
        single.cheaper_of_two(Some(three), || 0.5, |_| 0.0),
        Some(three)
    );
    assert_eq!(
        WeightedSampler::default().cheaper_of_two(None, || 0.5, |_| 0.0),
        None
    );
}
