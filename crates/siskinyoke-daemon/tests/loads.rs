//! Load reports read from engines' metrics pages.

use siskinyoke_daemon::loads::parse;

#[test]
fn a_page_gives_what_runs_and_waits() {
    let page = "# TYPE vllm:num_requests_running gauge\n\
        vllm:num_requests_running{model_name=\"a\"} 3\n\
        vllm:num_requests_running{model_name=\"b\"} 2\n\
        vllm:num_requests_waiting{model_name=\"a\"} 7\n";
    let report = parse(page).expect("the metrics are there");
    assert_eq!((report.running, report.waiting), (5, 7));
}

#[test]
fn a_page_without_the_metrics_gives_nothing() {
    assert!(parse("").is_none());
    assert!(parse("other_metric 1\n").is_none());
    assert!(parse("<html>not a metrics page</html>").is_none());
}

#[test]
fn absurd_values_are_bounded() {
    let report = parse("vllm:num_requests_running -4\n").expect("the metric is there");
    assert_eq!(report.running, 0);
}
