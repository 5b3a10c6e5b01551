//! Tests of lines that are passed on with pauses between them.

use super::*;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

/// Feeds pieces to a splitter that pauses after every `per_turn` lines, and resumes it until it is drained. Returns the
/// lines, and whether a line was too long.
fn split(pieces: &[Vec<u8>], per_turn: usize, max_line_bytes: usize) -> (Vec<Vec<u8>>, bool) {
    let mut splitter = LineSplitter::with_max_line_bytes(max_line_bytes);
    let mut lines = vec![];
    for piece in pieces {
        let mut bytes: &[u8] = piece;
        loop {
            let mut left = per_turn;
            let outcome = splitter.feed_until(bytes, |line| {
                lines.push(line.to_vec());
                left -= 1;
                if left == 0 {
                    ControlFlow::Break(())
                } else {
                    ControlFlow::Continue(())
                }
            });
            bytes = &[];
            match outcome {
                SplitOutcome::Paused => assert!(!splitter.has_partial_line()),
                SplitOutcome::Drained => break,
                SplitOutcome::TooLong => return (lines, true),
            }
        }
    }
    (lines, false)
}

#[test]
fn goes_on_with_the_line_after_a_pause() {
    let mut splitter = LineSplitter::with_max_line_bytes(10);
    let mut lines = vec![];
    let mut take_one = |line: &[u8]| {
        lines.push(String::from_utf8_lossy(line).into_owned());
        ControlFlow::Break(())
    };
    let outcome = splitter.feed_until(b"a\r\nb\nc\nd", &mut take_one);
    assert_eq!(outcome, SplitOutcome::Paused);
    assert_eq!(
        splitter.feed_until(b"", &mut take_one),
        SplitOutcome::Paused
    );
    assert_eq!(
        splitter.feed_until(b"", &mut take_one),
        SplitOutcome::Drained
    );
    assert!(splitter.has_partial_line());
    assert_eq!(
        splitter.feed_until(b"e\n", &mut take_one),
        SplitOutcome::Drained
    );
    assert_eq!(lines, ["a", "b", "c", "de"]);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 500,
        rng_seed: RngSeed::Fixed(3),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Pauses change neither the lines nor which line is too long.
    #[test]
    fn pauses_change_no_line(
        pieces in proptest::collection::vec(
            proptest::collection::vec(prop_oneof![Just(b'\n'), Just(b'\r'), Just(b'x')], 0..40),
            0..8,
        ),
        per_turn in 1_usize..5,
    ) {
        let max_line_bytes = 12;
        let unpaused = split(&pieces, usize::MAX, max_line_bytes);
        prop_assert_eq!(split(&pieces, per_turn, max_line_bytes), unpaused);
    }
}
