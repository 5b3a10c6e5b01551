//! The operator file is checked completely before anything starts.

use crate::common::SETTINGS;
use crate::program::program;
use crate::support::{STOP_MS, dependencies_at};
use madderbay_testkit::peer::loopback_listener;
use madderbay_testkit::server::{command, configuration, write_config};

/// Runs the program with these arguments. Returns its exit status and the lines of its standard error.
fn run_command(args: &[&str], config: Option<&str>) -> (i32, Vec<String>) {
    let path = config.map(write_config);
    let found = command(program(), path.as_deref())
        .args(args)
        .output()
        .expect("the program runs");
    path.iter()
        .for_each(|p| std::fs::remove_file(p).expect("the removal succeeds"));
    let text = String::from_utf8(found.stderr).expect("valid UTF-8");
    (
        found.status.code().expect("an exit status"),
        text.lines().map(str::to_string).collect(),
    )
}

/// Every error in an operator file is reported, one per line, and nothing starts. If there is a configuration, the
/// handlers that the operator file names are checked against it.
#[test]
fn operator_file_is_checked_before_start() {
    let address = loopback_listener().local_addr().unwrap();
    let dependencies = dependencies_at(address);
    let config = configuration("127.0.0.1:0", dependencies, 128, STOP_MS, SETTINGS);
    let file = write_config(
        "[pools]\nenabled = on\n[pool a]\nhandlers = quote, bock\n[reserve]\nhandlers = seek\n",
    );
    let name = file.to_str().expect("a name");
    assert_eq!(run_command(&["check", name], None), (0, vec![]));
    let wrong = vec![
        format!(
            "madderbay: {name}:4: [pool a] handlers: 'bock' is no handler; known are search, quote, book"
        ),
        format!(
            "madderbay: {name}:6: [reserve] handlers: 'seek' is no handler; known are search, quote, book"
        ),
    ];
    assert_eq!(
        run_command(&["check", name], Some(&config)),
        (2, wrong.clone())
    );
    assert_eq!(
        run_command(&["--operator", name], Some(&config)),
        (2, wrong.clone())
    );
    assert_eq!(
        run_command(&["run", "--operator", name], Some(&config)),
        (2, wrong)
    );
    std::fs::write(&file, "[pools]\nenabled = maybe\n[pols]\n").expect("the write succeeds");
    let (status, lines) = run_command(&["check", name], None);
    assert_eq!((status, lines.len()), (2, 2), "{lines:?}");
    std::fs::remove_file(&file).expect("the removal succeeds");
    let (status, lines) = run_command(&["check", name], None);
    assert!(
        status == 2 && lines.len() == 1 && lines[0].contains(name),
        "{lines:?}"
    );
    let (status, lines) = run_command(&["chekc"], None);
    assert!(
        status == 2 && lines.len() == 1 && lines[0].starts_with("madderbay: error"),
        "{lines:?}"
    );
}
