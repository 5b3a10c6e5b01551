//! The optional parts of the program that the simulated servers use.

use std::fmt;

/// The features that are on. Without any, a server consists of its core alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Features {
    /// Membership: the view of the fleet.
    pub membership: bool,
    /// Quotas of the whole fleet, which require `membership`.
    pub quota: bool,
    /// Backend selection, with outlier detection and retries.
    pub backends: bool,
    /// Concurrency limits for each pool.
    pub concurrency: bool,
}

impl Features {
    /// All features are on.
    pub const ALL: Features = Features {
        membership: true,
        quota: true,
        backends: true,
        concurrency: true,
    };

    /// All features are off.
    pub const NONE: Features = Features {
        membership: false,
        quota: false,
        backends: false,
        concurrency: false,
    };

    /// Returns the word of each feature in a history, and whether the feature is on.
    fn words(self) -> [(&'static str, bool); 4] {
        [
            ("members", self.membership),
            ("shared", self.quota),
            ("routes", self.backends),
            ("pools", self.concurrency),
        ]
    }

    /// Parses the words of a history, and also turns on the features that the named ones require.
    ///
    /// # Errors
    ///
    /// Returns the first word that is not a feature.
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
