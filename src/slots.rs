//! Keys of the entries in the table of requests and in the table of idempotency keys.

use slotmap::new_key_type;

new_key_type! {
    /// Slot of a request in the table of requests.
    pub(crate) struct RequestSlot;

    /// Slot of an idempotency key in the table of keys.
    pub(crate) struct KeySlot;
}
