//! The interface between the driver of a connection and the state machine that serves its input.

/// What a state machine wants from the driver after it was given input.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum NextInput {
    /// More input.
    Read,
    /// To be resumed once other connections had their turn, with the input that it has. Nothing is read before.
    Resume,
    /// Nothing more.
    Stop,
}

/// A state machine that serves the input of one connection.
pub trait InputHandler {
    /// Serves bytes that were read, as far as one turn goes. An empty slice tells that the peer will send no more.
    fn feed(&mut self, bytes: &[u8]) -> NextInput;

    /// Goes on with input that was fed, after [`NextInput::Resume`].
    fn resume(&mut self) -> NextInput {
        NextInput::Read
    }

    /// Handles a peer that has closed its sending side, before its last input is fed. Returns whether something was
    /// appended to the outbox that shows whether the peer still reads; if not, the input is fed at once.
    fn peer_closed(&mut self) -> bool {
        false
    }
}

/// A handler that serves all bytes at once. The function is given the bytes and returns whether to read on.
pub struct BytesOnly<F>(pub F);

impl<F: FnMut(&[u8]) -> bool> InputHandler for BytesOnly<F> {
    fn feed(&mut self, bytes: &[u8]) -> NextInput {
        let reads_on = (self.0)(bytes);
        if reads_on && !bytes.is_empty() {
            NextInput::Read
        } else {
            NextInput::Stop
        }
    }
}
