//! The file under `deploy/` that shows every key.

use crate::support::{full_file, read_valid};

/// The deployed file reads the same as a file that sets none of the optional keys, and mentions each key.
#[test]
fn full_file_shows_each_key_with_its_default() {
    let text = full_file();
    let full = read_valid(&text).concurrency.expect("on");
    let bare = "[pools]\nenabled = on\n[pool seats]\nhandlers = seat-book\n[reserve]\n";
    let bare = read_valid(bare).concurrency.expect("on");
    assert_eq!(
        (full.adaptive, full.pools[0].weight),
        (bare.adaptive, bare.pools[0].weight)
    );
    assert_eq!(
        full.reserve.map(|r| r.fraction),
        bare.reserve.map(|r| r.fraction)
    );
    for key in [
        "enabled",
        "limits",
        "handlers",
        "weight",
        "calls_weight",
        "runs",
        "calls",
        "part",
    ] {
        assert!(
            text.lines()
                .any(|l| l.trim_start_matches("; ").starts_with(&format!("{key} ="))),
            "{key}"
        );
    }
}
