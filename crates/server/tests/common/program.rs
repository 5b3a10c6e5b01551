//! Where the program under test is.

use std::path::Path;

/// The program under test.
pub(crate) fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_madderbay"))
}
