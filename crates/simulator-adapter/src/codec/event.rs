//! Records of events. The doc comment of each event code gives its name in the protocol
//! specification.

use super::field_reader::FieldReader;
use crate::error::AdapterError;
use crate::instance_id::InstanceId;
use madderbay::interface::{Arrival, HandlerId, Outcome, TenantId};
use madderbay::time::Duration;

/// Bit in the flags of a request: the work hint, an estimate of its work, is valid.
const FLAG_WORK_HINT: u8 = 1;
/// Bit in the flags of a request: the client marked the request as a retry or a hedge.
const FLAG_RETRY: u8 = 2;

/// The kind of an event. It is the first byte of the event's record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventCode {
    /// `BEGIN`
    Start = 1,
    /// `QUERY`
    Arrival = 2,
    /// `ENDED`
    RunEnded = 3,
    /// `AWAITING`
    CallNeeded = 4,
    /// `DEP_REPLY`
    CallFinished = 5,
    /// `WIND_DOWN`
    Drain = 6,
    /// `ABANDONED`
    ClientGone = 7,
    /// `BELL`
    Tick = 8,
    /// `KILL`
    Kill = 9,
}

impl EventCode {
    /// All kinds of events.
    const ALL: [EventCode; 9] = [
        EventCode::Start,
        EventCode::Arrival,
        EventCode::RunEnded,
        EventCode::CallNeeded,
        EventCode::CallFinished,
        EventCode::Drain,
        EventCode::ClientGone,
        EventCode::Tick,
        EventCode::Kill,
    ];
}

impl TryFrom<u8> for EventCode {
    type Error = AdapterError;

    fn try_from(code: u8) -> Result<EventCode, AdapterError> {
        EventCode::ALL
            .into_iter()
            .find(|event| *event as u8 == code)
            .ok_or(AdapterError::UnknownEventCode { code })
    }
}

/// The fields that every record begins with.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordHeader {
    /// The kind of the event.
    pub code: EventCode,
    /// The instance to which the event belongs.
    pub instance: InstanceId,
}

impl RecordHeader {
    /// Decodes the header of a record.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::TruncatedRecord`] or [`AdapterError::UnknownEventCode`].
    pub fn decode(fields: &mut FieldReader) -> Result<RecordHeader, AdapterError> {
        let code = fields.read_u8()?;
        let instance = InstanceId(fields.read_u16()?);
        Ok(RecordHeader {
            code: EventCode::try_from(code)?,
            instance,
        })
    }
}

/// One event of an instance.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The instance starts. It replaces a running instance with the same number.
    Start {
        /// Seed of the instance's random number generator.
        seed: u64,
        /// The instance's settings, as JSON.
        settings: &'a [u8],
    },
    /// A request arrived.
    Arrival(Arrival),
    /// A run ended.
    RunEnded(ResultRecord),
    /// A run waits for the decision whether it may make its upstream call.
    CallNeeded {
        /// The request whose run needs the call.
        request_id: u64,
    },
    /// An upstream call ended.
    CallFinished(ResultRecord),
    /// A graceful shutdown begins.
    Drain {
        /// Time until the process is stopped.
        remaining: Duration,
    },
    /// No client waits for the answer to the request any longer.
    ClientGone {
        /// The request.
        request_id: u64,
    },
    /// The instance's timer fired.
    Tick {
        /// The values of the instance's gauges, in the order in which the settings list them.
        gauges: Vec<f64>,
    },
    /// The process of the instance was killed.
    Kill,
}

impl<'a> Event<'a> {
    /// Decodes the fields that follow a record's header.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::TruncatedRecord`], [`AdapterError::NumberNotFinite`] or
    /// [`AdapterError::UnknownOutcome`].
    pub fn decode(
        code: EventCode,
        fields: &mut FieldReader<'a>,
    ) -> Result<Event<'a>, AdapterError> {
        Ok(match code {
            EventCode::Start => Event::decode_start(fields)?,
            EventCode::Arrival => Event::decode_arrival(fields)?,
            EventCode::RunEnded => Event::RunEnded(ResultRecord::decode(fields)?),
            EventCode::CallNeeded => Event::CallNeeded {
                request_id: fields.read_u64()?,
            },
            EventCode::CallFinished => Event::CallFinished(ResultRecord::decode(fields)?),
            EventCode::Drain => Event::Drain {
                remaining: fields.read_duration()?,
            },
            EventCode::ClientGone => Event::ClientGone {
                request_id: fields.read_u64()?,
            },
            EventCode::Tick => Event::decode_tick(fields)?,
            EventCode::Kill => Event::Kill,
        })
    }

    fn decode_start(fields: &mut FieldReader<'a>) -> Result<Event<'a>, AdapterError> {
        let seed = fields.read_u64()?;
        let length = fields.read_u32()? as usize;
        let settings = fields.read_bytes(length)?;
        Ok(Event::Start { seed, settings })
    }

    fn decode_tick(fields: &mut FieldReader<'a>) -> Result<Event<'a>, AdapterError> {
        // An instance has only one timer, so the token of the timer is not needed.
        let _token = fields.read_u64()?;
        let gauge_count = fields.read_u8()?;
        let gauges = (0..gauge_count)
            .map(|_| fields.read_f32())
            .collect::<Result<_, _>>()?;
        Ok(Event::Tick { gauges })
    }

    /// Decodes a request. Whether its handler and its tenant exist is not checked here.
    fn decode_arrival(fields: &mut FieldReader<'a>) -> Result<Event<'a>, AdapterError> {
        let id = fields.read_u64()?;
        let handler = HandlerId::new(fields.read_u16()?.into());
        let tenant = TenantId::new(fields.read_u32()? as usize);
        let subject = fields.read_u64()?;
        let timeout = fields.read_duration()?;
        let work_hint = fields.read_duration()?;
        let memory_kb = fields.read_f32()?;
        let rank = fields.read_f32()?;
        let flags = fields.read_u8()?;
        let client = fields.read_u16()?;
        let read_delay = fields.read_duration()?;
        let retry_of = fields.read_u64()?;
        Ok(Event::Arrival(Arrival {
            id,
            handler,
            tenant,
            subject,
            timeout,
            work_hint: (flags & FLAG_WORK_HINT != 0).then_some(work_hint),
            memory_kb,
            rank,
            is_retry: flags & FLAG_RETRY != 0,
            client,
            read_delay,
            retry_of,
        }))
    }
}

/// Record of the end of a run or an upstream call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ResultRecord {
    /// The request that the run or call belongs to.
    pub request_id: u64,
    /// How the run or call ended.
    pub outcome: Outcome,
    /// Time since the action that started the run or the call.
    pub elapsed: Duration,
}

impl ResultRecord {
    fn decode(fields: &mut FieldReader) -> Result<ResultRecord, AdapterError> {
        Ok(ResultRecord {
            request_id: fields.read_u64()?,
            outcome: decode_outcome(fields.read_u8()?)?,
            elapsed: fields.read_duration()?,
        })
    }
}

fn decode_outcome(code: u8) -> Result<Outcome, AdapterError> {
    Ok(match code {
        1 => Outcome::Completed,
        2 => Outcome::Failed,
        3 => Outcome::Rejected,
        4 => Outcome::TimedOut,
        5 => Outcome::Unreachable,
        6 => Outcome::Disconnected,
        7 => Outcome::Cancelled,
        8 => Outcome::AlreadyEnded,
        _ => return Err(AdapterError::UnknownOutcome { code }),
    })
}
