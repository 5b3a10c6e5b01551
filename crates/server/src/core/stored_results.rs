//! Results that outlast a life: what a former life promised answers its tries, and what the writing thread
//! tells lets runs and answers go.

use super::durability::{PendingWork, StorageEvent};
use super::event_loop::EventLoop;
use crate::downstream::response;
use madderbay::time::Timestamp;
use madderbay_idempotency_store::Lookup;

impl EventLoop {
    /// A try of a keyed req that a former life has promised is answered from what is known of it, and never
    /// run. True where that, or a promise that can't be made, was its answer.
    pub(super) fn former_life(
        &mut self,
        now: Timestamp,
        (no, rpc): (u64, u64),
        handler: usize,
        key: u128,
        print: u64,
    ) -> Result<bool, &'static str> {
        let away = self.unavailable_retry_after();
        let executor = &mut self.executor;
        let Some(keep) = executor
            .durability
            .as_mut()
            .filter(|_| !executor.idempotency.knows(key))
        else {
            return Ok(false);
        };
        let verdict = keep.book.lookup(key, print);
        let report = executor.status.load_report();
        match verdict {
            Lookup::Mismatch => return Err("replay came with another body"),
            Lookup::NotFound if keep.book.admit_intent().is_ok() => return Ok(false),
            Lookup::NotFound => {
                executor
                    .connections
                    .answer(now, no, |out| response::shed(out, rpc, away, false, report));
                executor.counters.shed += 1;
            }
            Lookup::Completed(result) => {
                let blob = String::from_utf8_lossy(&result);
                executor
                    .connections
                    .answer(now, no, |out| response::done(out, rpc, &blob, report));
                executor.counters.answered(true, false);
            }
            Lookup::NoResult => {
                executor
                    .connections
                    .answer(now, no, |out| response::errored(out, rpc, report));
                executor.counters.answered(false, false);
            }
        }
        executor.counters.read[handler] += 1;
        Ok(true)
    }

    /// The writing thread tells how far things last.
    pub fn storage_event(&mut self, now: Timestamp, told: StorageEvent) {
        self.executor.now = now;
        let Some(keep) = &mut self.executor.durability else {
            return;
        };
        let (waits, lasts) = match told {
            StorageEvent::Works { disk } => {
                log::info!("kept: writing works again");
                return keep.book.on_storage_recovered(disk);
            }
            StorageEvent::Written { seq, disk } => {
                keep.writes += 1;
                keep.book.on_committed(seq, disk);
                (keep.upto(seq), true)
            }
            StorageEvent::Failed { seq, why } => {
                log::error!("kept: can't be written, no new keyed req is run: {why}");
                keep.book.on_commit_failed(seq);
                (keep.upto(seq), false)
            }
        };
        for wait in waits {
            match wait {
                PendingWork::Run(id) if lasts => self.executor.release(id),
                PendingWork::Run(id) => self.executor.deferred_events.run_not_sent(id),
                PendingWork::Answer(id, result) => self
                    .executor
                    .durable_answer_ready(id, result.as_deref().filter(|_| lasts)),
                PendingWork::Nobody => {}
            }
        }
        self.decide(now, |_, _| ());
    }
}
