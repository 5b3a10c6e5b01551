//! Errors shown to the operator if the directory cannot be locked.

use super::*;

/// On a file system without support for locks, the error must not say that another process has the
/// directory, because there is no such process to look for.
#[test]
fn distinguishes_held_lock_from_failing_lock() {
    let directory = Path::new("/var/kept");
    let held = lock_error(directory, TryLockError::WouldBlock);
    assert_eq!(held.to_string(), "/var/kept: another process has it");
    let unsupported = io::Error::other("locks are not supported");
    let failed = lock_error(directory, TryLockError::Error(unsupported));
    let expected = "/var/kept: cannot be locked: locks are not supported";
    assert_eq!(failed.to_string(), expected);
}
