//! Plays the scripts of a directory on real processes, several at the same time.

use madderbay_testkit::fleet::script::Script;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

/// A script and its name.
pub(crate) type NamedScript = (String, Script);

/// Plays all scripts on `players` threads, and panics with all failures once every script was played. `play` is called
/// with the index of a script and the script, and returns one line for each failure.
pub(crate) fn play_all(
    scripts: &[NamedScript],
    players: usize,
    play: impl Fn(usize, &NamedScript) -> Vec<String> + Sync,
) {
    let (next, failures) = (AtomicUsize::new(0), Mutex::new(vec![]));
    let play_next = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some(script) = scripts.get(index) else {
                return;
            };
            let found = play(index, script);
            failures
                .lock()
                .expect("no thread has panicked")
                .extend(found);
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..players {
            scope.spawn(play_next);
        }
    });
    let failures = failures.into_inner().expect("no thread has panicked");
    assert!(
        failures.is_empty(),
        "{} failures:\n{}",
        failures.len(),
        failures.join("\n")
    );
}
