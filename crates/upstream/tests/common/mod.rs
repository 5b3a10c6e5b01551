//! Helpers shared by the tests of this package.

use madderbay::interface::HandlerId;
use madderbay_upstream::BackendSettings;

/// The handler that [`backend`] serves.
pub(crate) const HANDLER: HandlerId = HandlerId::new(0);

/// Returns a backend of weight 1 in the zone "north". Its name and its address are derived from a number.
pub(crate) fn backend(n: usize) -> BackendSettings {
    BackendSettings {
        name: format!("b{n}").as_str().into(),
        address: ([127, 0, 0, 1], 7_000 + n as u16).into(),
        zone: "north".into(),
        weight: 1.0,
        handlers: vec![HANDLER],
    }
}
