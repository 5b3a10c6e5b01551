//! What the operator file may say, and how what it may not say is told.

use madderbay_operator::{Operator, read};

fn wrong(text: &str) -> Vec<String> {
    read("o.ini", text).expect_err("told as wrong")
}

#[test]
fn nothing_set_is_all_off() {
    assert_eq!(read("o.ini", "").expect("an empty file"), Operator::default());
    assert_eq!(read("o.ini", "; only\n# comments\n").expect("read"), Operator::default());
    let off = read("o.ini", "[pools]\nenabled = off\n[pool a]\nhandlers = x\n").expect("read");
    assert_eq!(off.pools, None);
}

#[test]
fn pools_and_the_reserve() {
    let text = "[pools]\nenabled = on\nlimits = fixed\n\n[pool seat-book]\nhandlers = seat-book, seat-hold\n\
                weight = 2.5\ncalls_weight = 0\nruns = 8\ncalls = 6\n[reserve]\n\
                handlers = fare-quote\npart = 0.2\n";
    let pools = read("o.ini", text).expect("read").pools.expect("on");
    assert!(!pools.adapts);
    let pool = &pools.pools[0];
    assert_eq!(pool.calls_weight, 0.0);
    assert_eq!(
        (pool.name.as_str(), pool.weight, pool.runs, pool.calls),
        ("seat-book", 2.5, Some(8), Some(6))
    );
    let reserve = pools.reserve.expect("a reserve");
    assert_eq!(reserve.part, 0.2);
    let known = ["fare-quote".to_string(), "seat-hold".into(), "seat-book".into()];
    assert_eq!(pool.handlers.among(&known, "handler"), Ok(vec![2, 1]));
    assert_eq!(
        reserve.handlers.among(&known[1..], "handler"),
        Err("o.ini:12: [reserve] handlers: 'fare-quote' is no handler; known are seat-hold, seat-book".into())
    );
}

/// Every mistake is told at once, each in one line that names its place.
#[test]
fn all_mistakes_are_told_with_their_lines() {
    let text = "stray = 1\n[pools]\nenabled = yes\nlimit = fixed\n[pool a]\nhandlers = x, x\nweight = -1\n\
                [pool b]\nhandlers = x\nruns = 0\n[pool]\nhandlers =\n[reserve]\npart = 0.9\n[poools]\n";
    let found = wrong(text);
    let places = [
        "o.ini:1: stray: stands in no section",
        "o.ini:3: [pools] enabled: 'yes' is none of on, off",
        "o.ini:4: [pools] limit: no such key; known are enabled, limits",
        "o.ini:6: [pool a] handlers: 'x' stands twice",
        "o.ini:7: [pool a] weight: '-1' is no number from 0 to 1000000",
        "o.ini:9: [pool b] handlers: 'x' is in pool a already",
        "o.ini:10: [pool b] runs: '0' is no number from 1 to 100000",
        "o.ini:11: [pool]: a pool has a name: [pool NAME]",
        "o.ini:12: [pool] handlers: a pool has at least one handler",
        "o.ini:14: [reserve] part: '0.9' is no number from 0 to 0.5",
        "o.ini:15: [poools]: no such section",
    ];
    assert_eq!(found, places);
}

#[test]
fn parts_that_do_not_go_together() {
    assert_eq!(wrong("[reserve]\npart = 0.1\n"), ["o.ini:1: [reserve]: goes with a section [pools]"]);
    assert_eq!(wrong("[pools]\nenabled = on\nenabled = off\n"), ["o.ini:3: [pools] enabled: stands twice"]);
    assert_eq!(wrong("[pools]\n[pool a]\nhandlers = x\n[pool a]\nhandlers = y\n").len(), 1);
    assert_eq!(wrong("[pools x]\n"), ["o.ini:1: [pools x]: has no name of its own"]);
    assert_eq!(
        wrong("[pools]\n[pool rest]\nhandlers = x\n"),
        ["o.ini:2: [pool rest]: 'rest' is the pool of what is in no other"]
    );
}

/// What is no INI at all is told in a line, too, and whatever comes never ends in a panic.
#[test]
fn any_text_is_read_or_told() {
    assert_eq!(wrong("[pools\nenabled = on\n").len(), 1);
    let text =
        std::fs::read_to_string(concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator-full.ini"));
    let text = text.expect("the full file");
    for cut in 0..text.len() {
        if text.is_char_boundary(cut)
            && let Err(lines) = read("o.ini", &text[..cut])
        {
            assert!(lines.iter().all(|l| l.starts_with("o.ini:") && !l.contains('\n')), "{lines:?}");
        }
    }
}

/// The file that shows every key shows each with its default: with all comments taken for keys it reads the
/// same as with none of its keys.
#[test]
fn the_full_file_shows_the_defaults() {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator-full.ini");
    let text = std::fs::read_to_string(path).expect("the full file");
    let full = read("full", &text).expect("it reads").pools.expect("on");
    let bare = "[pools]\nenabled = on\n[pool seats]\nhandlers = seat-book\n[reserve]\n";
    let bare = read("bare", bare).expect("it reads").pools.expect("on");
    assert_eq!((full.adapts, full.pools[0].weight), (bare.adapts, bare.pools[0].weight));
    assert_eq!(full.reserve.map(|r| r.part), bare.reserve.map(|r| r.part));
    for key in ["enabled", "limits", "handlers", "weight", "calls_weight", "runs", "calls", "part"] {
        assert!(text.lines().any(|l| l.trim_start_matches("; ").starts_with(&format!("{key} ="))), "{key}");
    }
}

#[test]
fn kept_results() {
    let kept =
        read("o.ini", "[kept-results]\nenabled = on\ndirectory = var/kept\nsync = each\n").expect("read");
    let kept = kept.kept.expect("on");
    assert_eq!((kept.directory.to_str(), kept.memory_mb, kept.disk_mb), (Some("var/kept"), 16, 64));
    assert!(!kept.grouped);
    assert_eq!(read("o.ini", "[kept-results]\ndirectory = x\n").expect("read").kept, None);
    assert_eq!(
        wrong("[kept-results]\nenabled = on\ndisk_mb = 0\n"),
        [
            "o.ini:1: [kept-results] directory: has to name a folder",
            "o.ini:3: [kept-results] disk_mb: '0' is no number from 1 to 1048576",
        ]
    );
}
