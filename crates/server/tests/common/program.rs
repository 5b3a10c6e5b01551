//! Path of the program under test.

use std::path::Path;

/// Returns the path of the program under test.
pub(crate) fn program() -> &'static Path {
    Path::new(env!("CARGO_BIN_EXE_madderbay"))
}
