//! Which parts of the program a simulated server uses.

use std::fmt;

/// The parts that are on. Without any, a server is its core alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// The view of the fleet.
    pub membership: bool,
    /// Quotas over the whole fleet; they need `membership`.
    pub quota: bool,
    /// Selection of backends, with outlier detection and retries.
    pub backends: bool,
    /// Concurrency limits by pool.
    pub concurrency: bool,
}

impl Features {
    /// Everything on.
    pub const ALL: Features = Features {
        membership: true,
        quota: true,
        backends: true,
        concurrency: true,
    };

    /// Everything off.
    pub const NONE: Features = Features {
        membership: false,
        quota: false,
        backends: false,
        concurrency: false,
    };

    /// Each part's word in a history and whether it is on.
    fn words(self) -> [(&'static str, bool); 4] {
        [
            ("members", self.membership),
            ("shared", self.quota),
            ("routes", self.backends),
            ("pools", self.concurrency),
        ]
    }

    /// Reads the words of a history, and turns on what they need.
    ///
    /// # Errors
    ///
    /// The first word that names no part.
    pub(crate) fn from_words<'a>(words: &[&'a str]) -> Result<Features, &'a str> {
        let mut features = Features::NONE;
        for word in words {
            match *word {
                "members" => features.membership = true,
                "shared" => (features.membership, features.quota) = (true, true),
                "routes" => features.backends = true,
                "pools" => features.concurrency = true,
                "none" => {}
                unknown => return Err(unknown),
            }
        }
        Ok(features)
    }
}

impl fmt::Display for Features {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let words = self.words().into_iter().filter(|(_, is_on)| *is_on);
        let on: Vec<&str> = words.map(|(word, _)| word).collect();
        f.write_str(&if on.is_empty() {
            "none".into()
        } else {
            on.join(" ")
        })
    }
}
