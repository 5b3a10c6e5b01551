//! Settings of a server that what it calls upstream limits, and nothing else.

use crate::common::SETTINGS;

/// The tests' settings with capacity for the runs of all requests.
pub(crate) fn settings() -> String {
    SETTINGS
        .replace("\"tip_multiple\": 5.0", "\"tip_multiple\": 40.0")
        .replace("\"memory_kb\": 4000.0", "\"memory_kb\": 400000.0")
}
