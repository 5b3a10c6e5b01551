//! Guards the names of the catalogue's protocol, on which the catalogue and the backends depend.

use super::*;

#[test]
fn catalogue_wire_has_these_words() {
    use outcome::*;
    assert_eq!((CALL, CRLF), ("FETCH", &b"\r\n"[..]));
    let words = [COMPLETED, REJECTED, FAILED, TIMED_OUT, UNREACHABLE];
    assert_eq!(words, ["DATA", "LATER", "FAULT", "TOOSLOW", "NOUSE"]);
}
