//! The finished steps of a job with many occurrences, held as ranges.

use std::collections::BTreeMap;
use std::fmt;
use std::ops::RangeInclusive;

use rangemap::RangeInclusiveSet;
use serde::de::{self, SeqAccess, Visitor};
use serde::ser::SerializeTuple as _;

/// Finished steps. The size follows the number of gaps between finished occurrences, not the number
/// of these.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FinishedSteps {
    /// Occurrences by step.
    occurrences: BTreeMap<u32, RangeInclusiveSet<u32>>,
}

impl FinishedSteps {
    /// Whether no step has finished.
    pub fn is_empty(&self) -> bool {
        self.occurrences.is_empty()
    }

    /// Whether a step has finished in `occurrence`.
    pub fn contains(&self, occurrence: u32, step: u32) -> bool {
        let of_step = self.occurrences.get(&step);
        of_step.is_some_and(|occurrences| occurrences.contains(&occurrence))
    }

    /// Records a step as finished in `occurrence`.
    pub fn insert(&mut self, occurrence: u32, step: u32) {
        self.insert_range(occurrence..=occurrence, step);
    }

    fn insert_range(&mut self, occurrences: RangeInclusive<u32>, step: u32) {
        self.occurrences
            .entry(step)
            .or_default()
            .insert(occurrences);
    }

    /// Number of ranges, which determines the size.
    pub fn range_count(&self) -> usize {
        self.occurrences.values().map(RangeInclusiveSet::len).sum()
    }

    /// The parts of `occurrences` in which a step has finished, in ascending order.
    pub(crate) fn within(
        &self,
        step: u32,
        occurrences: &RangeInclusive<u32>,
    ) -> Vec<RangeInclusive<u32>> {
        let of_step = self.occurrences.get(&step);
        of_step.map_or_else(Vec::new, |finished| {
            let overlapping = finished.overlapping(occurrences.clone());
            overlapping
                .map(|range| {
                    *range.start().max(occurrences.start())..=*range.end().min(occurrences.end())
                })
                .collect()
        })
    }

    /// The parts of `occurrences` in which a step hasn't finished, in ascending order.
    pub(crate) fn missing_within(
        &self,
        step: u32,
        occurrences: &RangeInclusive<u32>,
    ) -> Vec<RangeInclusive<u32>> {
        match self.occurrences.get(&step) {
            Some(finished) => finished.gaps(occurrences).collect(),
            None => vec![occurrences.clone()],
        }
    }
}

/// One entry of the stored form: occurrence and step, or the first occurrence, the step and the last
/// occurrence of a range.
struct FinishedRange {
    occurrences: RangeInclusive<u32>,
    step: u32,
}

impl serde::Serialize for FinishedRange {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let (first, last) = (self.occurrences.start(), self.occurrences.end());
        let is_range = first != last;
        let mut tuple = serializer.serialize_tuple(2 + usize::from(is_range))?;
        tuple.serialize_element(first)?;
        tuple.serialize_element(&self.step)?;
        if is_range {
            tuple.serialize_element(last)?;
        }
        tuple.end()
    }
}

struct FinishedRangeVisitor;

impl<'de> Visitor<'de> for FinishedRangeVisitor {
    type Value = FinishedRange;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("finished steps as an array of two or three numbers")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<FinishedRange, A::Error> {
        let mut required = |position| {
            let element: Option<u32> = seq.next_element()?;
            element.ok_or_else(|| de::Error::invalid_length(position, &self))
        };
        let (first, step) = (required(0)?, required(1)?);
        let last = seq.next_element()?.unwrap_or(first);
        match first <= last {
            true => Ok(FinishedRange {
                occurrences: first..=last,
                step,
            }),
            false => Err(de::Error::custom("the range of occurrences is invalid")),
        }
    }
}

impl<'de> serde::Deserialize<'de> for FinishedRange {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(FinishedRangeVisitor)
    }
}

impl serde::Serialize for FinishedSteps {
    fn serialize<S: serde::Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        let of_steps = self.occurrences.iter();
        serializer.collect_seq(of_steps.flat_map(|(step, occurrences)| {
            occurrences.iter().map(|range| FinishedRange {
                occurrences: range.clone(),
                step: *step,
            })
        }))
    }
}

struct FinishedStepsVisitor;

impl<'de> Visitor<'de> for FinishedStepsVisitor {
    type Value = FinishedSteps;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a list of finished steps")
    }

    fn visit_seq<A: SeqAccess<'de>>(self, mut seq: A) -> Result<FinishedSteps, A::Error> {
        let mut finished = FinishedSteps::default();
        while let Some(FinishedRange { occurrences, step }) = seq.next_element()? {
            finished.insert_range(occurrences, step);
        }
        Ok(finished)
    }
}

impl<'de> serde::Deserialize<'de> for FinishedSteps {
    fn deserialize<D: serde::Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_seq(FinishedStepsVisitor)
    }
}
