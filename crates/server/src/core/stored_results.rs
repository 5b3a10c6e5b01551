//! Results that outlast a life: what a former life promised answers its tries, and what the writing thread
//! tells lets runs and answers go.

use super::durability::{Told, Waits};
use super::event_loop::{KEEP_AWAY, Serve};
use crate::downstream::response;
use madderbay::time::Timestamp;
use madderbay_idempotency_store::Lookup;

impl Serve {
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
        let hands = &mut self.hands;
        let Some(keep) = hands.keep.as_mut().filter(|_| !hands.door.knows(key)) else {
            return Ok(false);
        };
        let verdict = keep.book.lookup(key, print);
        let away = KEEP_AWAY.min(self.settings.callers.max_retry_after);
        let report = hands.load_report;
        match verdict {
            Lookup::Mismatch => return Err("replay came with another body"),
            Lookup::NotFound if keep.book.admit_intent().is_ok() => return Ok(false),
            Lookup::NotFound => {
                hands
                    .conns
                    .answer(now, no, |out| response::shed(out, rpc, away, false, report));
                hands.counters.shed += 1;
            }
            Lookup::Completed(result) => {
                let blob = String::from_utf8_lossy(&result);
                hands
                    .conns
                    .answer(now, no, |out| response::done(out, rpc, &blob, report));
                hands.counters.answered(true, false);
            }
            Lookup::NoResult => {
                hands
                    .conns
                    .answer(now, no, |out| response::errored(out, rpc, report));
                hands.counters.answered(false, false);
            }
        }
        hands.counters.read[handler] += 1;
        Ok(true)
    }

    /// The writing thread tells how far things last.
    pub fn told(&mut self, now: Timestamp, told: Told) {
        self.hands.now = now;
        let Some(keep) = &mut self.hands.keep else {
            return;
        };
        let (waits, lasts) = match told {
            Told::Works { disk } => {
                log::info!("kept: writing works again");
                return keep.book.on_storage_recovered(disk);
            }
            Told::Written { seq, disk } => {
                keep.writes += 1;
                keep.book.on_committed(seq, disk);
                (keep.upto(seq), true)
            }
            Told::Failed { seq, why } => {
                log::error!("kept: can't be written, no new keyed req is run: {why}");
                keep.book.on_commit_failed(seq);
                (keep.upto(seq), false)
            }
        };
        for wait in waits {
            match wait {
                Waits::Run(id) if lasts => self.hands.release(id),
                Waits::Run(id) => self.hands.unrun.push_back(id),
                Waits::Answer(id, result) => {
                    self.hands.settled(id, result.as_deref().filter(|_| lasts))
                }
                Waits::Nobody => {}
            }
        }
        self.decide(now, |_, _| ());
    }
}
