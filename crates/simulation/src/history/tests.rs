use super::*;

#[test]
fn what_is_written_is_read() {
    for seed in 0..50 {
        let drawn = History::drawn(seed, History::default(), 20);
        assert_eq!(History::read("x", &drawn.to_string()), Ok(drawn));
    }
    let wrong = |text: &str| History::read("x", text).unwrap_err();
    assert_eq!(
        wrong("servers 3\n@5 kill n4\n"),
        "x: 'kill n4' names a server or a backend that there is not"
    );
    assert_eq!(wrong("@5 jump\n"), "x:1: no such deed 'jump'");
    assert_eq!(wrong("\nparts all\n"), "x:2: no such part all");
    assert_eq!(wrong("rate\n"), "x:1: a number is wanted");
}
