//! What the tests of this package share.

use madderbay::interface::HandlerId;
use madderbay_upstream::BackendSettings;

/// The handler that [`backend`] serves.
pub(crate) const HANDLER: HandlerId = HandlerId::new(0);

/// A backend of weight 1 in the zone "north"; its name and its address follow from a number.
pub(crate) fn backend(n: usize) -> BackendSettings {
    BackendSettings {
        name: format!("b{n}").as_str().into(),
        address: ([127, 0, 0, 1], 7_000 + n as u16).into(),
        zone: "north".into(),
        weight: 1.0,
        handlers: vec![HANDLER],
    }
}
