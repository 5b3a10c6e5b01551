use super::*;

#[test]
fn two_are_drawn_by_weight_and_the_better_has_it() {
    let drawn = Drawn::of([(4, 1.0), (5, 0.0), (6, 3.0)]);
    assert_eq!(
        (drawn.at(0.0), drawn.at(0.24), drawn.at(0.26), drawn.at(1.0)),
        (Some(4), Some(4), Some(6), Some(6))
    );
    assert_eq!(drawn.len(), 2, "without weight none is drawn");
    let mut places = [0.1, 0.9].into_iter().cycle();
    let costs = [0.0, 0.0, 0.0, 0.0, 2.0, 0.0, 1.0];
    assert_eq!(
        drawn.better(None, || places.next().expect("endless"), |i| costs[i]),
        Some(6)
    );
    for place in [0.0, 0.1, 0.5, 0.99] {
        assert_eq!(drawn.better(Some(6), || place, |_| 0.0), Some(4));
    }
    let one = Drawn::of([(3, 1.0)]);
    assert_eq!(
        one.better(Some(3), || 0.5, |_| 0.0),
        Some(3),
        "there is nobody else"
    );
    assert_eq!(Drawn::default().better(None, || 0.5, |_| 0.0), None);
}

#[test]
fn a_subject_keeps_its_place_until_that_is_full() {
    let home = by_subject(7, 10, |_| 0).expect("ten");
    assert_eq!(by_subject(7, 10, |_| 0), Some(home));
    let load = |i: usize| if i == home { 50 } else { 1 };
    assert_ne!(by_subject(7, 10, load), Some(home));
    let homes: std::collections::HashSet<_> =
        (0..100).filter_map(|s| by_subject(s, 10, |_| 0)).collect();
    assert_eq!(homes.len(), 10);
}
