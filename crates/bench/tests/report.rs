//! The report: one page that holds its charts.

use oriolemux_bench::policy::{Comparison, Figures, PolicyKind, Run, run_one};
use oriolemux_bench::report::{page, policy_charts, slope_charts};
use oriolemux_bench::slopes::{Point, Slope, fit};
use oriolemux_bench::workload::{Mix, generate};

/// Figures of a run of a few requests.
fn figures() -> Figures {
    let mix = Mix::ALL[0];
    let mut workload = generate(mix, 1, 1);
    workload.requests.truncate(40);
    let runs: Vec<Run> = [PolicyKind::Fixed(8), PolicyKind::Ours, PolicyKind::Oracle]
        .into_iter()
        .map(|policy| Run {
            mix: mix.to_string(),
            policy,
            summary: run_one(mix, &workload, policy),
        })
        .collect();
    Figures {
        seed: 1,
        turns: 1,
        comparison: Comparison::of(&runs),
        runs,
        reclaim: Vec::new(),
    }
}

fn slope() -> Slope {
    let points: Vec<Point> = (1..5)
        .map(|x| Point {
            x: f64::from(x),
            y: f64::from(x * 3),
        })
        .collect();
    Slope {
        name: "a.slope".to_owned(),
        driver: "thing".to_owned(),
        cost: "us".to_owned(),
        fit: fit(&points),
        points,
    }
}

#[test]
fn the_page_holds_every_chart_and_fetches_nothing() {
    let mut charts = policy_charts(&figures()).unwrap();
    charts.extend(slope_charts(&[slope()]).unwrap());

    let page = page(&charts);

    assert_eq!(page.matches("<svg").count(), charts.len());
    assert!(page.contains("a.slope") && page.contains("oracle"));
    let fetched = ["src=", "href=", "@import"];
    assert!(fetched.iter().all(|it| !page.contains(it)));
}

#[test]
fn what_the_experiments_write_is_read_again() {
    let written = figures();
    let json = serde_json::to_string(&written).unwrap();

    let read: Figures = serde_json::from_str(&json).unwrap();

    assert_eq!(read.runs, written.runs);
}
