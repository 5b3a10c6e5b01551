//! Guards the names of the catalogue's protocol, on which the catalogue and the backends depend.

use super::*;

#[test]
fn catalogue_protocol_keeps_its_names() {
    use outcome::*;
    assert_eq!((CALL, CRLF), ("FETCH", &b"\r\n"[..]));
    let words = [COMPLETED, REJECTED, FAILED, TIMED_OUT, UNREACHABLE];
    assert_eq!(words, ["DATA", "LATER", "FAULT", "TOOSLOW", "NOUSE"]);
}
