use super::*;

fn error_of(text: &str) -> String {
    History::parse("x", text).unwrap_err().to_string()
}

#[test]
fn parses_what_it_writes() {
    for seed in 0..50 {
        let drawn = History::default().with_drawn_faults(seed, 20);
        assert_eq!(History::parse("x", &drawn.to_string()), Ok(drawn));
    }
}

#[test]
fn names_the_line_and_the_word_that_is_wrong() {
    assert_eq!(
        error_of("servers 3\n@5 kill n4\n"),
        "x: 'kill n4' names a server or a backend that there is not"
    );
    assert_eq!(error_of("@5 jump\n"), "x:1: no such deed 'jump'");
    assert_eq!(error_of("\nparts all\n"), "x:2: no such part all");
    assert_eq!(error_of("rate\n"), "x:1: a number is wanted");
    assert_eq!(error_of("rate fast\n"), "x:1: 'fast' is no number");
    assert_eq!(error_of("@5 kill\n"), "x:1: a server is wanted");
    assert_eq!(error_of("@5 kill n0\n"), "x:1: no such server n0");
    assert_eq!(error_of("speed 5\n"), "x:1: no such line speed");
    assert_eq!(error_of("plant none\n"), "x:1: no such fault none");
    assert_eq!(
        error_of("@5 backend 1 odd\n"),
        "x:1: a backend is not 'odd'"
    );
}

#[test]
fn errors_are_typed() {
    let expected = HistoryError::Line {
        source_name: "x".into(),
        line: 2,
        error: LineError::InvalidNumber("many".into()),
    };
    assert_eq!(
        History::parse("x", "servers 3\nzones many\n"),
        Err(expected)
    );
}
