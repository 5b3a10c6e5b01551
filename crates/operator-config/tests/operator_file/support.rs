//! Helper functions for the tests.

use madderbay_operator_config::{OperatorConfig, read};

/// The section that enables the membership.
pub(crate) const MEMBERS: &str = "[members]\nenabled = on\nlisten = 127.0.0.1:7946\n";

/// Reads a text that must have no errors.
pub(crate) fn read_valid(text: &str) -> OperatorConfig {
    read("o.ini", text).unwrap_or_else(|errors| panic!("{errors}"))
}

/// Returns the error messages of a text that must have errors.
pub(crate) fn error_lines(text: &str) -> Vec<String> {
    read("o.ini", text).expect_err("it has errors").lines()
}

/// Returns the text of the deployed file that shows every key.
pub(crate) fn full_file() -> String {
    let path = concat!(
        env!("CARGO_MANIFEST_DIR"),
        "/../../deploy/operator-full.ini"
    );
    std::fs::read_to_string(path).expect("the full file")
}
