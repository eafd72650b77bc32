//! Terms that entry hosts pass on to each other, in parts.
//!
//! The text of the terms grows with the number of queues, and links are narrow. So each call carries
//! a part of it, and what has arrived isn't lost with a call that fails: another host continues.

use std::sync::Arc;

use camphorbeam_model::id;

/// Maximum length of a [`TermsPart`]. It takes a tenth of a second on a link of 10 Mbit/s that
/// carries other calls too.
const TERMS_PART_BYTES: usize = 64 * 1024;

/// Terms of the operators as a host has received them.
#[derive(Clone, Debug)]
pub struct SourceTerms {
    /// Version of the terms.
    pub version: id::TermsVersion,
    /// The operators' original text.
    pub text: Arc<str>,
}

/// A part of the text of another host's terms.
#[derive(Clone, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TermsPart {
    /// Version of the host's terms; zero before it has received any.
    pub version: id::TermsVersion,
    /// Whether the host's own connection to the store works, as far as it knows.
    pub reaches_store: bool,
    /// Length of the whole text, in bytes.
    pub whole_bytes: usize,
    /// Position in the text from which on this part has it, in bytes.
    pub offset_bytes: usize,
    /// The text; empty if the version isn't newer than the one that the caller has.
    pub text: String,
}

/// What the caller of a [`TermsPart`] has.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct TermsPosition {
    /// Version in force at the caller; zero before it has any.
    pub version: id::TermsVersion,
    /// Version of which the caller has received a part; zero if none.
    pub partial_version: id::TermsVersion,
    /// Length of that part from the start of the text, in bytes.
    pub partial_bytes: usize,
}

impl TermsPart {
    /// Returns the part of `terms` that continues `position`.
    pub fn after(
        position: TermsPosition,
        terms: Option<&SourceTerms>,
        reaches_store: bool,
    ) -> Self {
        let Some(terms) = terms else {
            return Self {
                reaches_store,
                ..Self::default()
            };
        };
        let text = &*terms.text;
        let offset_bytes = match position.partial_bytes {
            bytes if position.partial_version == terms.version && text.is_char_boundary(bytes) => {
                bytes
            }
            _ => 0,
        };
        let end = match terms.version > position.version {
            true => (offset_bytes + TERMS_PART_BYTES).min(text.len()),
            false => offset_bytes,
        };
        // A character has at most four bytes, so the part isn't empty.
        let end = (offset_bytes..=end)
            .rev()
            .find(|end| text.is_char_boundary(*end));
        Self {
            version: terms.version,
            reaches_store,
            whole_bytes: text.len(),
            offset_bytes,
            text: text[offset_bytes..end.unwrap_or(offset_bytes)].to_owned(),
        }
    }
}

/// The part of another version's text that has arrived from other hosts. All of them have the same
/// text of a version.
#[derive(Debug, Default)]
pub struct PartialTerms {
    version: id::TermsVersion,
    text: String,
}

impl PartialTerms {
    /// Version that the part belongs to; zero if nothing has arrived.
    pub fn version(&self) -> id::TermsVersion {
        self.version
    }

    /// Returns what to ask another host for, while `version` is in force.
    pub fn position(&self, version: id::TermsVersion) -> TermsPosition {
        TermsPosition {
            version,
            partial_version: self.version,
            partial_bytes: self.text.len(),
        }
    }

    /// Adds `part`; returns the text once it is whole, and starts anew.
    pub fn add(&mut self, part: &TermsPart) -> Option<String> {
        match part.offset_bytes {
            0 => {
                self.version = part.version;
                self.text.clear();
            }
            offset if part.version == self.version && offset == self.text.len() => {}
            _ => return None,
        }
        self.text.push_str(&part.text);
        (self.text.len() >= part.whole_bytes).then(|| std::mem::take(self).text)
    }
}
