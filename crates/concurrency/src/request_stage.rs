//! The stages that a request passes through, as the limiter counts them.

/// Progress of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestStage {
    /// Admitted but not started.
    Queued,
    /// Its run executes.
    Running,
    /// Its run waits to make a call.
    AwaitingCall,
    /// Its run waits for the reply to a call.
    Calling,
}
