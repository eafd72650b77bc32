//! Terms pass between hosts in parts. Each test names the failure it guards against.

use camphorbeam_host::terms_parts;
use camphorbeam_model::id;
use rstest::rstest;

fn source(version: u64, text: &str) -> terms_parts::SourceTerms {
    terms_parts::SourceTerms {
        version: id::TermsVersion(version),
        text: text.into(),
    }
}

/// Receives the text of `sources`, each of which answers one call in turn, and the last all others.
fn receive(sources: &[terms_parts::SourceTerms]) -> (String, usize) {
    let mut partial = terms_parts::PartialTerms::default();
    for call in 0.. {
        let position = partial.position(id::TermsVersion(1));
        let source = &sources[call.min(sources.len() - 1)];
        let part = terms_parts::TermsPart::after(position, Some(source), true);
        assert!(!part.text.is_empty());
        if let Some(text) = partial.add(&part) {
            return (text, call + 1);
        }
    }
    unreachable!()
}

/// Guards against a text that is changed or never whole: cut inside a character, or put together
/// from two versions.
#[rstest]
#[case::short("{}", 1)]
#[case::of_one_byte_characters(&"x".repeat(200_000), 4)]
#[case::of_characters_that_no_part_ends_with(&"\u{20ac}\u{1f30d}".repeat(30_000), 4)]
fn test_terms_parts_make_the_whole_text(#[case] text: &str, #[case] calls: usize) {
    assert_eq!(receive(&[source(2, text)]), (text.to_owned(), calls));
    let older = source(2, &"y".repeat(150_000));
    let newer = source(3, text);
    let (received, _) = receive(&[older.clone(), older, newer]);
    assert_eq!(received, text);
}

/// Guards against hosts that send each other a text again and again that both have.
#[test]
fn test_terms_parts_have_no_text_for_a_host_that_has_the_version() {
    let position = terms_parts::PartialTerms::default().position(id::TermsVersion(2));
    let part = terms_parts::TermsPart::after(position, Some(&source(2, "terms")), true);
    assert_eq!(part.text, "");
    let part = terms_parts::TermsPart::after(position, None, true);
    assert_eq!(part.version, id::TermsVersion(0));
}
