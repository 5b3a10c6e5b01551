//! Steps that the tests share.

use madderbay_operator_config::{OperatorConfig, read};

/// Sections that turn the membership on.
pub(crate) const MEMBERS: &str = "[members]\nenabled = on\nlisten = 127.0.0.1:7946\n";

/// Reads a text that has no errors.
pub(crate) fn read_valid(text: &str) -> OperatorConfig {
    read("o.ini", text).unwrap_or_else(|errors| panic!("{errors}"))
}

/// The lines of the errors of a text that has some.
pub(crate) fn error_lines(text: &str) -> Vec<String> {
    read("o.ini", text).expect_err("it has errors").lines()
}

/// The deployed file that shows every key.
pub(crate) fn full_file() -> String {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/operator-full.ini"
    );
    std::fs::read_to_string(path).expect("the full file")
}
