//! Draws summaries as bar charts in an SVG file.

use std::path::Path;

use plotters::prelude::*;

use crate::policies;
use crate::summary::Summary;

/// Width and height of the image, in pixels.
const SIZE: (u32, u32) = (1_400, 1_500);

/// One chart of the image: a caption and the value that its bars show.
struct Panel {
    caption: &'static str,
    value: fn(&Summary) -> f64,
}

const PANELS: [Panel; 5] = [
    Panel {
        caption: "completion ratio, median",
        value: |summary| summary.completion.completion_ratio_p50,
    },
    Panel {
        caption: "completion ratio, 99th percentile",
        value: |summary| summary.completion.completion_ratio_p99,
    },
    Panel {
        caption: "fragmentation of free and borrowed accelerators, share",
        value: |summary| summary.fragmentation_ratio,
    },
    Panel {
        caption: "mean wait of large gangs, s",
        value: |summary| summary.large_gang_wait_mean_s,
    },
    Panel {
        caption: "guaranteed requests not started within 5.3 s",
        value: |summary| summary.guarantee_violations as f64,
    },
];

/// Writes the image.
///
/// # Errors
///
/// Returns an error if the file can't be written.
pub fn write(path: &Path, summaries: &[Summary]) -> anyhow::Result<()> {
    let root = SVGBackend::new(path, SIZE).into_drawing_area();
    root.fill(&WHITE)?;
    let areas = root.split_evenly((PANELS.len(), 1));
    for (panel, area) in PANELS.iter().zip(&areas) {
        draw(panel, area, summaries)?;
    }
    root.present()?;
    Ok(())
}

fn draw(
    panel: &Panel,
    area: &DrawingArea<SVGBackend<'_>, plotters::coord::Shift>,
    summaries: &[Summary],
) -> anyhow::Result<()> {
    let lists = lists(summaries);
    let highest = summaries.iter().map(panel.value).fold(1e-3, f64::max);
    let mut chart = ChartBuilder::on(area)
        .caption(panel.caption, ("sans-serif", 18))
        .margin(8)
        .x_label_area_size(28)
        .y_label_area_size(70)
        .build_cartesian_2d(0.0..lists.len() as f64, 0.0..highest * 1.1)?;
    let name = |position: &f64| {
        let index = position.floor() as usize;
        lists.get(index).cloned().unwrap_or_default()
    };
    chart
        .configure_mesh()
        .disable_x_mesh()
        .x_labels(lists.len() + 1)
        .x_label_formatter(&name)
        .draw()?;
    let width = 0.8 / policies::NAMES.len() as f64;
    for (number, policy) in policies::NAMES.iter().enumerate() {
        let color = Palette99::pick(number).to_rgba();
        let bars = summaries.iter().filter(|summary| summary.policy == *policy);
        let bars = bars.filter_map(|summary| {
            let list = lists.iter().position(|list| *list == summary.list)?;
            let left = list as f64 + 0.1 + number as f64 * width;
            let corners = [(left, 0.0), (left + width, (panel.value)(summary))];
            Some(Rectangle::new(corners, color.filled()))
        });
        chart
            .draw_series(bars)?
            .label(*policy)
            .legend(move |(x, y)| Rectangle::new([(x, y - 5), (x + 10, y + 5)], color.filled()));
    }
    chart
        .configure_series_labels()
        .background_style(WHITE.mix(0.8))
        .border_style(BLACK)
        .position(SeriesLabelPosition::UpperRight)
        .draw()?;
    Ok(())
}

/// Returns the names of the lists in the order of their first summaries.
fn lists(summaries: &[Summary]) -> Vec<String> {
    let mut lists: Vec<String> = Vec::new();
    for summary in summaries {
        if !lists.contains(&summary.list) {
            lists.push(summary.list.clone());
        }
    }
    lists
}
