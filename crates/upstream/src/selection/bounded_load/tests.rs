use super::*;
use std::collections::HashSet;

#[test]
fn key_stays_at_its_backend_until_that_is_overloaded() {
    let home = backend_for_key(7, 10, |_| 0).expect("ten backends");
    assert_eq!(backend_for_key(7, 10, |_| 0), Some(home));
    let load = |index: usize| if index == home { 50 } else { 1 };
    assert_ne!(backend_for_key(7, 10, load), Some(home));
}

#[test]
fn keys_spread_over_all_backends() {
    let homes: HashSet<_> = (0..100)
        .filter_map(|key| backend_for_key(key, 10, |_| 0))
        .collect();
    assert_eq!(homes.len(), 10);
}
