//! Work that is done later, on one thread, in the order of its times.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

type Work = Box<dyn FnOnce() + Send>;

struct Item(Instant, u64, Work);

impl PartialEq for Item {
    fn eq(&self, other: &Item) -> bool {
        (self.0, self.1) == (other.0, other.1)
    }
}
impl Eq for Item {}
impl PartialOrd for Item {
    fn partial_cmp(&self, other: &Item) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}
impl Ord for Item {
    fn cmp(&self, other: &Item) -> std::cmp::Ordering {
        (self.0, self.1).cmp(&(other.0, other.1))
    }
}

#[derive(Default)]
struct Queue {
    items: BinaryHeap<Reverse<Item>>,
    last: u64,
    paused: bool,
}

#[derive(Clone)]
pub struct Later(Arc<(Mutex<Queue>, Condvar)>);

impl Later {
    pub fn start() -> Later {
        let later = Later(Arc::default());
        let worker = later.clone();
        std::thread::spawn(move || worker.work());
        later
    }

    pub fn after(&self, ms: u64, work: impl FnOnce() + Send + 'static) {
        let mut queue = self.0.0.lock().unwrap();
        queue.last += 1;
        let number = queue.last;
        let at = Instant::now() + Duration::from_millis(ms);
        queue.items.push(Reverse(Item(at, number, Box::new(work))));
        self.0.1.notify_one();
    }

    /// While the machine pauses, the stand-ins write nothing to it: what is due is done afterwards.
    pub fn set_paused(&self, paused: bool) {
        self.0.0.lock().unwrap().paused = paused;
        self.0.1.notify_one();
    }

    fn work(&self) {
        let mut queue = self.0.0.lock().unwrap();
        loop {
            let now = Instant::now();
            let next = queue.items.peek().map(|Reverse(item)| item.0);
            match next.filter(|_| !queue.paused) {
                Some(at) if at <= now => {
                    let Reverse(item) = queue.items.pop().unwrap();
                    drop(queue);
                    (item.2)();
                    queue = self.0.0.lock().unwrap();
                }
                Some(at) => queue = self.0.1.wait_timeout(queue, at - now).unwrap().0,
                None => queue = self.0.1.wait(queue).unwrap(),
            }
        }
    }
}
