//! Settings of a server that is limited only by its upstream.

use crate::common::SETTINGS;

/// Returns the settings of the tests with enough capacity to run all requests.
pub(crate) fn settings() -> String {
    SETTINGS
        .replace("\"tip_multiple\": 5.0", "\"tip_multiple\": 40.0")
        .replace("\"memory_kb\": 4000.0", "\"memory_kb\": 400000.0")
}
