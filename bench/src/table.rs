//! Renders summaries as a text table.

use std::fmt::Write;

use crate::summary::Summary;

/// Renders a header and one line for each summary.
pub fn render(summaries: &[Summary]) -> String {
    let mut text = String::new();
    // Writing to a string can't fail.
    let _ = writeln!(
        text,
        "{:<20} {:<14} {:>8} {:>9} {:>9} {:>7} {:>7} {:>9} {:>9} {:>6} {:>9} {:>8} {:>8}",
        "list",
        "policy",
        "finished",
        "ratio_p50",
        "ratio_p99",
        "frag",
        "frag_fr",
        "gang_w_s",
        "violated",
        "preempt",
        "lost_acc_s",
        "p50_us",
        "p99_us",
    );
    for summary in summaries {
        let violated = format!(
            "{}/{}",
            summary.guarantee_violations, summary.guaranteed_requests
        );
        let _ = writeln!(
            text,
            "{:<20} {:<14} {:>8} {:>9.3} {:>9.2} {:>7.4} {:>7.4} {:>9.1} {:>9} {:>6} {:>9.0} \
             {:>8.1} {:>8.1}",
            summary.list,
            summary.policy,
            summary.completion.finished_requests,
            summary.completion.completion_ratio_p50,
            summary.completion.completion_ratio_p99,
            summary.fragmentation_ratio,
            summary.fragmentation_free_ratio,
            summary.large_gang_wait_mean_s,
            violated,
            summary.preemptions,
            summary.work_lost_accelerator_s,
            summary.decision_p50_us,
            summary.decision_p99_us,
        );
    }
    text
}
