//! The host of the simulated instances: passes events to their decision modules and collects the
//! resulting actions.
//!
//! The host holds all instances and keeps them independent of each other. It performs no I/O.

mod instance;

use crate::codec::{
    Action, Batch, Event, EventCode, FieldReader, InstanceActions, RecordHeader, Reply,
};
use crate::error::AdapterError;
use crate::instance_id::InstanceId;
use instance::Instance;
use madderbay::time::Timestamp;
use std::any::Any;
use std::collections::BTreeMap;
use std::panic::{AssertUnwindSafe, catch_unwind};

/// All instances that are simulated by this process.
#[derive(Default)]
pub struct Host {
    instances: BTreeMap<InstanceId, Instance>,
    reply: Reply,
}

impl Host {
    /// Processes one batch and returns the frame that answers it.
    ///
    /// # Errors
    ///
    /// Returns [`AdapterError::Record`] for the first invalid record, and
    /// [`AdapterError::TrailingBytes`] if bytes are left after the last record.
    pub fn process_batch(&mut self, batch: &Batch) -> Result<Vec<u8>, AdapterError> {
        let now = batch.header.clock;
        let count = batch.header.record_count;
        let mut fields = FieldReader::new(&batch.body);
        let mut instances_to_settle = vec![];
        for number in 1..=count {
            self.process_record(now, &mut fields, &mut instances_to_settle)
                .map_err(|cause| AdapterError::Record {
                    number,
                    count,
                    cause: Box::new(cause),
                })?;
        }
        if fields.remaining() > 0 {
            return Err(AdapterError::TrailingBytes {
                bytes: fields.remaining(),
                records: count,
            });
        }
        for instance in instances_to_settle {
            self.call_instance(instance, |state, actions| {
                state.decider.settle(now, actions);
            })?;
        }
        Ok(self.reply.take_frame())
    }

    /// Decodes and processes one record. `instances_to_settle` collects the running instances that
    /// have an event in the batch, in the order of their first event. A killed instance is removed
    /// from it.
    fn process_record(
        &mut self,
        now: Timestamp,
        fields: &mut FieldReader,
        instances_to_settle: &mut Vec<InstanceId>,
    ) -> Result<(), AdapterError> {
        let RecordHeader { code, instance } = RecordHeader::decode(fields)?;
        if code == EventCode::Arrival {
            // If the instance is unknown, that error is reported rather than one of the request's
            // fields.
            self.instance(instance)?;
        }
        self.process_event(now, instance, Event::decode(code, fields)?)?;
        if code == EventCode::Kill {
            instances_to_settle.retain(|other| *other != instance);
        } else if !instances_to_settle.contains(&instance) {
            instances_to_settle.push(instance);
        }
        Ok(())
    }

    /// Passes one event to the instance to which it belongs.
    fn process_event(
        &mut self,
        now: Timestamp,
        instance: InstanceId,
        event: Event,
    ) -> Result<(), AdapterError> {
        match event {
            Event::Start { seed, settings } => self.start(now, instance, seed, settings),
            Event::Arrival(arrival) => {
                let arrival = self.instance(instance)?.validate(arrival)?;
                self.call_instance(instance, |state, actions| {
                    state.decider.on_arrival(now, &arrival, actions);
                })
            }
            Event::RunEnded(result) => self.call_instance(instance, |state, _| {
                let id = result.request_id;
                let decider = &mut state.decider;
                decider.on_run_ended(now, id, result.outcome, result.elapsed);
            }),
            Event::CallNeeded { request_id } => self.call_instance(instance, |state, actions| {
                state.decider.on_call_needed(now, request_id, actions);
            }),
            Event::CallFinished(result) => self.call_instance(instance, |state, actions| {
                let id = result.request_id;
                let decider = &mut state.decider;
                decider.on_call_finished(now, id, result.outcome, result.elapsed, actions);
            }),
            Event::Drain { remaining } => self.call_instance(instance, |state, _| {
                state.decider.drain(now, remaining);
            }),
            Event::ClientGone { request_id } => self.call_instance(instance, |state, actions| {
                state.decider.on_client_gone(now, request_id, actions);
            }),
            Event::Tick { gauges } => self.call_instance(instance, |state, actions| {
                let gauges = state.gauges(&gauges);
                state.decider.on_tick(now, &gauges, actions);
            }),
            Event::Kill => self.kill(instance),
        }
    }

    /// Creates an instance with these settings. It replaces a running one with the same number.
    fn start(
        &mut self,
        now: Timestamp,
        instance: InstanceId,
        seed: u64,
        settings: &[u8],
    ) -> Result<(), AdapterError> {
        let settings = madderbay_settings::read(settings)?;
        let started = Instance::new(now, seed, &settings);
        self.instances.insert(instance, started);
        self.call_instance(instance, |state, actions| state.decider.on_start(actions))
    }

    /// Removes an instance whose process was killed.
    fn kill(&mut self, instance: InstanceId) -> Result<(), AdapterError> {
        match self.instances.remove(&instance) {
            Some(_) => Ok(()),
            None => Err(AdapterError::UnknownInstance { instance }),
        }
    }

    /// Returns a running instance, or an error if there is none with this number.
    fn instance(&self, instance: InstanceId) -> Result<&Instance, AdapterError> {
        self.instances
            .get(&instance)
            .ok_or(AdapterError::UnknownInstance { instance })
    }

    /// Runs `step` on an instance and collects the resulting actions. A panic of the decision
    /// module is sent to the simulator as a `FAULT`.
    fn call_instance(
        &mut self,
        instance: InstanceId,
        step: impl FnOnce(&mut Instance, &mut InstanceActions),
    ) -> Result<(), AdapterError> {
        let state = self
            .instances
            .get_mut(&instance)
            .ok_or(AdapterError::UnknownInstance { instance })?;
        let mut actions = self.reply.actions_for(instance);
        let result = catch_unwind(AssertUnwindSafe(|| step(state, &mut actions)));
        if let Err(panic) = result {
            let message = panic_message(panic.as_ref());
            self.reply.push(instance, &Action::Fault { message });
        }
        Ok(())
    }
}

/// Returns the message of a panic, or a general one if the panic has no text.
fn panic_message(panic: &(dyn Any + Send)) -> &str {
    if let Some(text) = panic.downcast_ref::<String>() {
        text
    } else if let Some(text) = panic.downcast_ref::<&str>() {
        text
    } else {
        "the decision code failed"
    }
}
