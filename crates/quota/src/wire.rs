//! What servers say to each other of budgets and counts, by postcard; members' datagrams bring it, which are
//! checked and bounded there. Spans are in milliseconds.

use serde::{Deserialize, Serialize};

/// One datagram: of which life of the sender, for which life of the receiver (0: whichever), and how the
/// sender stands.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Words {
    pub life: u64,
    pub to: u64,
    /// The seat that its birthright stands on; 0 without one.
    pub seat: u32,
    pub words: Vec<Word>,
}

#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Word {
    /// How many units the asker wants of the receiver in all, what it has beside them, and has work for.
    Ask {
        budget: u32,
        number: u32,
        units: u32,
        base: u32,
        wants: u32,
        weight: f32,
    },
    /// The answer, and what else could be lent.
    Grant {
        budget: u32,
        number: u32,
        units: u32,
        spare: u32,
    },
    /// Of a grant, and all before it, only so many are kept.
    Back {
        budget: u32,
        number: u32,
        keep: u32,
    },
    /// The lender wants back what is beyond `keep`.
    Recall {
        budget: u32,
        keep: u32,
    },
    /// What counts are known? The answer brings the stamp back, which bounds how old it can be.
    Pull {
        stamp: u32,
    },
    Cells {
        stamp: u32,
        cells: Vec<Cell>,
    },
    /// So many units more lie idle here: whoever asked of late and had too few may ask again.
    Spare {
        budget: u32,
        units: u32,
    },
}

/// What one server counted, as of its latest slot that is over.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Cell {
    pub count: u32,
    /// The server by name, and its life.
    pub name: compact_str::CompactString,
    pub life: u64,
    pub slot: u64,
    /// That slot was over at least, and at most, so long ago when this was said.
    pub least_ms: u32,
    pub most_ms: u32,
    /// The heaviest: by slot, the latest first.
    pub heavy: Vec<(u32, Vec<u32>)>,
    /// What any key may have beyond what is told of it: some could not be counted one by one.
    pub hidden: u32,
    /// The others over all slots told of, by places of a sketch: none has more than stands in its place and is
    /// hidden, nor more than `rest_most`.
    pub rest_most: u32,
    pub rest: Vec<u32>,
}

pub fn read(bytes: &[u8]) -> Option<Words> {
    postcard::from_bytes(bytes).ok()
}

pub fn write(words: &Words) -> Vec<u8> {
    // Writing to memory fails for nothing that stands here.
    postcard::to_stdvec(words).unwrap_or_default()
}

/// A name as it goes over the wire.
pub fn name_hash(name: &str) -> u32 {
    xxhash_rust::xxh3::xxh3_64(name.as_bytes()) as u32
}
