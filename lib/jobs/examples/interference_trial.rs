//! Trials of the detection of interference with the light model of the tests. Arguments: servers,
//! jobs a second, seconds, seeds, and the slowdown of the kinds 2 and 5 beside each other.

#[path = "../tests/support/sampler.rs"]
mod sampler;

fn argument<T: std::str::FromStr>(position: usize, default: T) -> T {
    let text = std::env::args().nth(position);
    text.and_then(|text| text.parse().ok()).unwrap_or(default)
}

fn main() {
    let (servers, jobs_per_s) = (argument(1, 40), argument(2, 15.0));
    let (duration_s, seeds, slowdown) = (argument(3, 60), argument(4, 20_u64), argument(5, 1.5));
    let real = [("k2", "k5"), ("k5", "k2")];
    let (mut found_ms, mut false_pairs, mut ended_runs, mut score_max) = (Vec::new(), 0, 0, 0.0);
    let mut both = 0;
    for seed in 0..seeds {
        let mut sampler = sampler::Sampler::new(servers, jobs_per_s, seed);
        if slowdown > 1.0 {
            sampler.slowdowns.insert((2, 5), slowdown);
            sampler.slowdowns.insert((5, 2), slowdown);
        }
        for _ in 0..duration_s {
            sampler.run_s(1);
        }
        let is_real = |kind: &str, neighbour: &str| real.contains(&(kind, neighbour));
        let began = sampler.changes.iter().filter(|(_, change)| change.counts);
        let (right, wrong): (Vec<_>, Vec<_>) =
            began.partition(|(_, change)| is_real(&change.kind, &change.neighbour));
        found_ms.extend(right.first().map(|(at_ms, _)| *at_ms));
        false_pairs += wrong.len();
        both += usize::from(sampler.found().len() == 2);
        ended_runs += sampler.ended_runs;
        for pair in sampler.table.report(sampler.now_ms) {
            if pair.evidence >= 3.0 && !is_real(&pair.kind, &pair.neighbour) {
                score_max = f64::max(score_max, pair.score);
            }
        }
    }
    found_ms.sort_unstable();
    println!(
        "seeds {seeds}: found in {}, both directions in {both}, first after {:?} ms (median) and \
         {:?} ms (latest), false pairs {false_pairs}, highest other score {score_max:.2}, runs of \
         a seed {}",
        found_ms.len(),
        found_ms.get(found_ms.len() / 2),
        found_ms.last(),
        ended_runs / seeds.max(1)
    );
}
