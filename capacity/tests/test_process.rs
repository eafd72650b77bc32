//! Tests reading the resource usage of a process from the kernel.

use camphorbeam_capacity::process;

const STATUS: &str =
    "Name:\tcamphor beam\nVmHWM:\t  2048 kB\nVmRSS:\t  1024 kB\nRssAnon:\t  512 kB\n\
                      Threads:\t8\n";

const STAT: &str = "42 (camphor) beam) S 1 2 3 4 5 6 7 8 9 10 150 50 0 0 20 0 8 0 100 0 0";

#[test]
fn test_process_parse_reads_memory_threads_and_processor_time() {
    let sample = process::parse(STATUS, STAT).expect("both texts are whole");
    assert_eq!(sample.resident_bytes, 1024 * 1024);
    assert_eq!(sample.resident_anonymous_bytes, 512 * 1024);
    assert_eq!(sample.resident_peak_bytes, 2048 * 1024);
    assert_eq!(sample.threads, 8);
    assert!((sample.processor_time_s - 2.0).abs() < f64::EPSILON);
}

#[test]
fn test_process_parse_rejects_a_status_without_memory() {
    let error = process::parse("Threads:\t8\n", STAT).expect_err("no VmRSS");
    assert!(error.to_string().contains("VmRSS"), "{error}");
}

#[test]
fn test_process_parse_rejects_a_truncated_stat_line() {
    assert!(process::parse(STATUS, "42 (camphorbeam) S 1 2").is_err());
}

#[test]
fn test_process_sample_reads_this_process() {
    let sample = process::sample(std::process::id()).expect("this process runs");
    assert!(sample.resident_bytes > 0);
    assert!(sample.threads > 0);
}
