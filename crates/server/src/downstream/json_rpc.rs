//! Reads JSON-RPC 2.0 from one downstream connection and calls the core.
//!
//! `JsonRpcSession` owns the incomplete line of one connection, the lines left for its next turn, and whether reading
//! continues. It is given the bytes
//! that were read and, for each call, the event loop. It answers the lines that can't be served; all other answers
//! come from the core. It reads no sockets and makes no decisions about requests.

use crate::core::event_loop::EventLoop;
use crate::downstream::flood_detector::FloodDetector;
use crate::downstream::open_requests::{LineProgress, MAX_OPEN_REQUESTS, OpenRequestError};
use crate::downstream::request_validation::InvalidRequest;
use crate::downstream::response;
use crate::downstream::wire_names::{VERSION, envelope, error_code, method, param};
use crate::support::attempt_name;
use crate::support::io::{LineSplitter, NextInput, SplitOutcome};
use crate::support::json::{JsonObject, is_value};
use madderbay::time::Timestamp;
use std::ops::ControlFlow;

/// Maximum length of a line. Every legal line is shorter: a body of 2 KiB in base64 with each character escaped,
/// and the other fields.
const MAX_LINE_BYTES: usize = 20 << 10;
/// Maximum number of lines of one connection that are served before other connections get their turn: as many as it
/// may have requests open.
const MAX_LINES_PER_TURN: usize = MAX_OPEN_REQUESTS;

/// The reason why a line can't be served.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
enum LineError {
    /// It exceeds [`MAX_LINE_BYTES`]. The start of the next line is unknown.
    #[error("line too long")]
    TooLong,
    /// It is not valid UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// It is not a JSON value.
    #[error("not JSON")]
    NotJson,
    /// It is a JSON value but not an object.
    #[error("not an object")]
    NotAnObject,
    /// Its JSON-RPC version is missing or not [`VERSION`].
    #[error("{} is not {}", envelope::VERSION, VERSION)]
    WrongVersion,
    /// It has no method.
    #[error("no {}", envelope::METHOD)]
    NoMethod,
    /// Its id is not an unsigned integer, so no answer can carry it.
    #[error("{} is not a whole number", envelope::ID)]
    MalformedId,
    /// It has no id, but its method is one that is answered.
    #[error("no {}", envelope::ID)]
    NoId,
    /// No handler has the name of the method.
    #[error("no such {}", envelope::METHOD)]
    UnknownMethod,
    /// Its params are missing or not a JSON object.
    #[error("{} is not an object", envelope::PARAMS)]
    ParamsNotAnObject,
    /// No further request with its id may be opened on its connection.
    #[error(transparent)]
    Open(#[from] OpenRequestError),
    /// A member of its params is missing, malformed or out of range.
    #[error(transparent)]
    Request(#[from] InvalidRequest),
}

impl LineError {
    /// Returns the JSON-RPC error code for the line.
    fn code(self) -> i32 {
        match self {
            LineError::TooLong | LineError::NotUtf8 | LineError::NotJson => error_code::PARSE_ERROR,
            LineError::NotAnObject
            | LineError::WrongVersion
            | LineError::NoMethod
            | LineError::MalformedId
            | LineError::NoId
            | LineError::Open(_) => error_code::INVALID_REQUEST,
            LineError::UnknownMethod => error_code::METHOD_NOT_FOUND,
            LineError::ParamsNotAnObject | LineError::Request(_) => error_code::INVALID_PARAMS,
        }
    }

    /// Reports whether the rest of the connection's input can't be trusted. This includes two requests with one id,
    /// whose answers could not be told apart.
    fn is_protocol_violation(self) -> bool {
        matches!(self, LineError::TooLong | LineError::Open(_))
    }
}

/// A line that can't be served, with its id if that could be read.
struct InvalidLine {
    id: Option<u64>,
    error: LineError,
}

impl From<LineError> for InvalidLine {
    fn from(error: LineError) -> InvalidLine {
        InvalidLine { id: None, error }
    }
}

/// A call with a valid envelope.
struct Call<'a> {
    id: Option<u64>,
    method: std::borrow::Cow<'a, str>,
    /// The raw text of the params.
    params: Option<&'a str>,
}

/// The JSON-RPC session of one downstream connection.
pub struct JsonRpcSession {
    connection: u64,
    lines: LineSplitter,
    /// The peer violated the protocol. Nothing more is read.
    ended: bool,
    flood: FloodDetector,
}

impl JsonRpcSession {
    /// Creates the session of the connection with this number.
    pub fn new(connection: u64) -> JsonRpcSession {
        JsonRpcSession {
            connection,
            lines: LineSplitter::with_max_line_bytes(MAX_LINE_BYTES),
            ended: false,
            flood: FloodDetector::default(),
        }
    }

    /// Serves the lines that `bytes` complete, as far as one turn goes. Empty `bytes` mean the end of the input.
    #[must_use]
    pub fn feed(&mut self, now: Timestamp, bytes: &[u8], event_loop: &mut EventLoop) -> NextInput {
        let next = self.serve_turn(now, bytes, event_loop);
        if bytes.is_empty() {
            event_loop.input_ended(self.connection);
            self.probe_waiting_client(event_loop);
            return NextInput::Stop;
        }
        next
    }

    /// Serves further lines of those that were fed.
    #[must_use]
    pub fn resume(&mut self, now: Timestamp, event_loop: &mut EventLoop) -> NextInput {
        self.serve_turn(now, &[], event_loop)
    }

    /// Handles a client that has closed its sending side before its last input was fed. Returns whether it was sent
    /// something that shows whether it still reads.
    pub fn client_closed(&mut self, event_loop: &mut EventLoop) -> bool {
        event_loop.connections_mut().probe_peer(self.connection)
    }

    /// Learns whether a client that sends no more still waits for its open requests.
    fn probe_waiting_client(&self, event_loop: &mut EventLoop) {
        let connections = event_loop.connections_mut();
        if connections.has_open_requests(self.connection) {
            connections.probe_peer(self.connection);
        }
    }

    /// Counts the lines of a turn, and reports a connection whose input does not let up.
    fn count_lines(&mut self, now: Timestamp, lines: usize, event_loop: &mut EventLoop) {
        if self.flood.turn_ended(now, lines) {
            event_loop.counters_mut().connection_flooding();
            log::warn!(
                "connection: input exceeds its share, id={}",
                self.connection
            );
        }
    }

    /// Serves the lines of one turn: those left over from the last one, then those that `bytes` complete.
    fn serve_turn(
        &mut self,
        now: Timestamp,
        bytes: &[u8],
        event_loop: &mut EventLoop,
    ) -> NextInput {
        let connection = self.connection;
        let outbox = event_loop.outbox(connection).cloned();
        let ended = &mut self.ended;
        let mut lines_served = 0;
        let outcome = self.lines.feed_until(bytes, |line| {
            if *ended {
                return ControlFlow::Continue(());
            }
            lines_served += 1;
            if let Err(invalid) = serve_line(now, connection, line, event_loop) {
                *ended = invalid.error.is_protocol_violation();
                invalid.answer(now, connection, event_loop);
            }
            let has_backlog = outbox.as_ref().is_some_and(|outbox| outbox.has_backlog());
            if lines_served >= MAX_LINES_PER_TURN || has_backlog {
                ControlFlow::Break(())
            } else {
                ControlFlow::Continue(())
            }
        });
        if outcome == SplitOutcome::TooLong && !self.ended {
            self.ended = true;
            InvalidLine::from(LineError::TooLong).answer(now, connection, event_loop);
        }
        let progress = LineProgress {
            partial: self.lines.has_partial_line(),
            completed: lines_served > 0,
        };
        event_loop
            .connections_mut()
            .line_read(now, connection, progress);
        self.count_lines(now, lines_served, event_loop);
        match outcome {
            _ if self.ended => NextInput::Stop,
            SplitOutcome::Paused => NextInput::Resume,
            SplitOutcome::Drained | SplitOutcome::TooLong => NextInput::Read,
        }
    }
}

impl InvalidLine {
    /// Answers the line with its error, and closes a connection that violated the protocol.
    fn answer(&self, now: Timestamp, connection: u64, event_loop: &mut EventLoop) {
        let error = self.error;
        event_loop.counters_mut().line_unreadable();
        log::debug!("connection: line rejected, id={connection}, error={error}");
        if let Some(outbox) = event_loop.outbox(connection) {
            outbox.put(|out| response::invalid(out, self.id, error.code(), error));
        }
        if error.is_protocol_violation() {
            event_loop.reject_connection(now, connection);
        }
    }
}

impl<'a> Call<'a> {
    /// Parses the envelope of a line.
    fn read(line: &'a [u8]) -> Result<Call<'a>, InvalidLine> {
        let text = std::str::from_utf8(line).map_err(|_| LineError::NotUtf8)?;
        let Some(members) = JsonObject::read(text) else {
            return Err(if is_value(text) {
                LineError::NotAnObject.into()
            } else {
                LineError::NotJson.into()
            });
        };
        let id = members.unsigned(envelope::ID);
        let invalid = |error| InvalidLine { id, error };
        if members.text(envelope::VERSION).as_deref() != Some(VERSION) {
            return Err(invalid(LineError::WrongVersion));
        }
        let method = members
            .text(envelope::METHOD)
            .ok_or_else(|| invalid(LineError::NoMethod))?;
        if members.raw(envelope::ID).is_some() && id.is_none() {
            return Err(LineError::MalformedId.into());
        }
        Ok(Call {
            id,
            method,
            params: members.raw(envelope::PARAMS),
        })
    }

    /// Returns the members of the params, if the params are an object.
    fn params(&self) -> Option<JsonObject<'a>> {
        self.params.and_then(JsonObject::read)
    }
}

/// Serves one line: a withdrawal, a health check or a request.
fn serve_line(
    now: Timestamp,
    connection: u64,
    line: &[u8],
    event_loop: &mut EventLoop,
) -> Result<(), InvalidLine> {
    let call = Call::read(line)?;
    if call.method == method::WITHDRAW {
        withdraw(now, connection, &call, event_loop);
        return Ok(());
    }
    let id = call.id.ok_or(LineError::NoId)?;
    if call.method == method::HEALTH_CHECK {
        event_loop.health_checked(now, connection, id);
        return Ok(());
    }
    serve_request(now, connection, id, &call, event_loop).map_err(|error| InvalidLine {
        id: Some(id),
        error,
    })
}

/// Withdraws a request by its id or by the name of the attempt. Without either, nothing happens.
fn withdraw(now: Timestamp, connection: u64, call: &Call, event_loop: &mut EventLoop) {
    if let Some(params) = call.params() {
        let attempt = params.text(param::ATTEMPT_NAME);
        let attempt = attempt.as_deref().and_then(attempt_name::parse);
        event_loop.attempt_withdrawn(
            now,
            connection,
            params.unsigned(param::WITHDRAWN_ID),
            attempt,
        );
    }
}

/// Validates a request and passes it to the core.
fn serve_request(
    now: Timestamp,
    connection: u64,
    id: u64,
    call: &Call,
    event_loop: &mut EventLoop,
) -> Result<(), LineError> {
    let handler = event_loop
        .handler(&call.method)
        .ok_or(LineError::UnknownMethod)?;
    event_loop.check_open(connection, id)?;
    let params = call.params().ok_or(LineError::ParamsNotAnObject)?;
    let request = event_loop.validate(now, handler, &params)?;
    event_loop.request_arrived(now, connection, id, request)?;
    Ok(())
}
