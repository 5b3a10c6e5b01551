use super::*;

fn at(ms: u64) -> Timestamp {
    Timestamp::from_micros(10_000_000 + ms * 1_000)
}

fn heard(words: &[(&str, &str, f64, f64)]) -> Heard {
    let mut heard = Heard::default();
    for (from, zone, good, bad) in words {
        let said = Said {
            mark: 1,
            good: *good,
            bad: *bad,
            age: Duration::ZERO,
        };
        heard.hear(at(0), &(*from).into(), &(*zone).into(), 1, true, said);
    }
    heard
}

#[test]
fn a_crowd_behind_one_cut_is_little_more_than_one() {
    let one = heard(&[("a", "north", 0.0, 5.0)]).summary(at(0), 1);
    let many: Vec<String> = (0..30).map(|n| format!("n{n}")).collect();
    let crowd: Vec<(&str, &str, f64, f64)> = many
        .iter()
        .map(|n| (n.as_str(), "north", 0.0, 5.0))
        .collect();
    let crowd = heard(&crowd).summary(at(0), 1);
    assert!(
        one.units < 1.0 && crowd.units <= ZONE_MOST && crowd.zones == 1,
        "{one:?} {crowd:?}"
    );
    let two = heard(&[
        ("a", "north", 0.0, 5.0),
        ("b", "north", 0.0, 5.0),
        ("c", "south", 0.0, 5.0),
        ("d", "south", 0.0, 5.0),
    ]);
    let two = two.summary(at(0), 1);
    assert!(two.zones == 2 && two.units > one.units, "{two:?}");
    // In a zone that sees both, the good speaks against the bad.
    let split = heard(&[
        ("a", "north", 0.0, 5.0),
        ("b", "north", 5.0, 0.0),
        ("c", "north", 9.0, 0.0),
    ]);
    let split = split.summary(at(0), 1);
    assert!(
        split.units < 0.4 && split.zones == 0 && split.well == Some(at(0)),
        "{split:?}"
    );
}

#[test]
fn words_fade_end_with_their_lives_and_stay_bounded() {
    let mut heard = heard(&[("a", "north", 0.0, 5.0)]);
    assert!(heard.summary(at(2_500), 1).units < heard.summary(at(0), 1).units);
    assert_eq!(heard.summary(at(5_000), 1), Summary::default());
    heard.gone(&"a".into(), Some(1));
    assert_eq!(heard.len(), 1, "it goes on");
    heard.gone(&"a".into(), Some(2));
    assert_eq!(heard.len(), 0);
    for n in 0..500 {
        let said = Said {
            mark: 1,
            good: 0.0,
            bad: 1.0,
            age: Duration::ZERO,
        };
        heard.hear(
            at(n),
            &format!("n{n}").as_str().into(),
            &"z".into(),
            1,
            true,
            said,
        );
    }
    assert_eq!(heard.len(), WITNESSES_MOST);
    heard.tidy(at(10_000), |_| true);
    assert_eq!(heard.len(), 0);
}
