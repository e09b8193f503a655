//! One page with the plots that people would rather look at than tables.
//!
//! The page holds everything it shows; it is made from the JSON that the
//! experiments write with `--out`.

mod chart;

pub use chart::ChartError;

use crate::policy::{Figures, PolicyKind, Run, Summary};
use crate::slopes::Slope;
use chart::{Bars, Line, grouped_bars, lines};
use clap::Args;
use core::fmt::Write;
use std::path::{Path, PathBuf};
use std::process::ExitCode;

/// Arguments of `oriolemux-bench report`.
#[derive(Clone, Debug, Args)]
pub struct ReportArgs {
    /// What `policy --out` wrote.
    #[arg(long)]
    policy: Option<PathBuf>,
    /// What `slopes --out` wrote.
    #[arg(long)]
    slopes: Option<PathBuf>,
    /// The page to write.
    #[arg(long, default_value = "report.html")]
    out: PathBuf,
}

/// Why the report could not be made.
#[derive(Debug, displaydoc::Display, thiserror::Error)]
pub enum ReportError {
    /// {path}: {source}
    Io {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// {path} is not what the experiment writes: {source}
    Json {
        /// The file.
        path: PathBuf,
        /// What is wrong with it.
        source: serde_json::Error,
    },
    /// {0}
    Chart(#[from] ChartError),
}

/// Makes the page.
pub fn run(args: ReportArgs) -> ExitCode {
    match write_report(&args) {
        Ok(charts) => {
            println!("{} with {charts} charts", args.out.display());
            ExitCode::SUCCESS
        }
        Err(err) => {
            eprintln!("oriolemux-bench report: {err}");
            ExitCode::FAILURE
        }
    }
}

fn write_report(args: &ReportArgs) -> Result<usize, ReportError> {
    let mut charts = Vec::new();
    if let Some(path) = &args.policy {
        charts.extend(policy_charts(&read::<Figures>(path)?)?);
    }
    if let Some(path) = &args.slopes {
        charts.extend(slope_charts(&read::<Vec<Slope>>(path)?)?);
    }
    let page = page(&charts);
    std::fs::write(&args.out, page).map_err(|source| ReportError::Io {
        path: args.out.clone(),
        source,
    })?;
    Ok(charts.len())
}

fn read<T: serde::de::DeserializeOwned>(path: &Path) -> Result<T, ReportError> {
    let bytes = std::fs::read(path).map_err(|source| ReportError::Io {
        path: path.to_owned(),
        source,
    })?;
    serde_json::from_slice(&bytes).map_err(|source| ReportError::Json {
        path: path.to_owned(),
        source,
    })
}

/// Returns a page that holds `charts`, which are SVG.
pub fn page(charts: &[String]) -> String {
    let mut page = String::from(
        "<!doctype html>\n<html lang=\"en\">\n<meta charset=\"utf-8\">\n<title>oriolemux: experiments</title>\n\
         <body style=\"font-family: sans-serif; max-width: 1020px; margin: auto\">\n\
         <h1>oriolemux: experiments</h1>\n",
    );
    for chart in charts {
        writeln!(page, "<figure style=\"margin: 1em 0\">{chart}</figure>")
            .expect("writing to a string does not fail");
    }
    page.push_str("</body>\n</html>\n");
    page
}

/// A figure of a run, how it is drawn and from where on it tells.
struct Measure {
    title: &'static str,
    unit: &'static str,
    floor: f64,
    of: fn(&Summary) -> f64,
}

const MEASURES: [Measure; 6] = [
    Measure {
        title: "Stall between tokens",
        unit: "seconds in all",
        floor: 0.1,
        of: |it| it.stall_s,
    },
    Measure {
        title: "Preemptions",
        unit: "count",
        floor: 0.5,
        of: |it| it.preemptions as f64,
    },
    Measure {
        title: "First token of short urgent requests, 99 of 100",
        unit: "ms",
        floor: 10.0,
        of: |it| it.short_urgent_p99_ms,
    },
    Measure {
        title: "Requests not complete within their class's target",
        unit: "count",
        floor: 0.5,
        of: |it| (it.arrived - it.within_target) as f64,
    },
    Measure {
        title: "First tokens beyond their class's target",
        unit: "seconds in all",
        floor: 100.0,
        of: |it| it.late_first_s,
    },
    Measure {
        title: "Time between tokens, 99 of 100",
        unit: "ms",
        floor: 5.0,
        of: |it| it.gap_p99_ms,
    },
];

/// Returns the charts of the policy experiment.
///
/// # Errors
///
/// Fails if a chart cannot be drawn.
pub fn policy_charts(figures: &Figures) -> Result<Vec<String>, ChartError> {
    let mut mixes: Vec<String> = figures.runs.iter().map(|run| run.mix.clone()).collect();
    mixes.dedup();
    let mut policies: Vec<PolicyKind> = figures.runs.iter().map(|run| run.policy).collect();
    policies.sort();
    policies.dedup();
    MEASURES
        .iter()
        .map(|measure| {
            let bars: Vec<Bars> = policies
                .iter()
                .map(|policy| Bars {
                    name: policy.to_string(),
                    values: values(&figures.runs, &mixes, *policy, measure.of),
                })
                .collect();
            grouped_bars(measure.title, measure.unit, &mixes, &bars, measure.floor)
        })
        .collect()
}

fn values(runs: &[Run], mixes: &[String], policy: PolicyKind, of: fn(&Summary) -> f64) -> Vec<f64> {
    let value = |mix: &String| {
        let run = runs
            .iter()
            .find(|run| run.mix == *mix && run.policy == policy);
        run.map_or(0.0, |run| of(&run.summary))
    };
    mixes.iter().map(value).collect()
}

/// Returns a chart of each slope: its points and the line through them.
///
/// # Errors
///
/// Fails if a chart cannot be drawn.
pub fn slope_charts(slopes: &[Slope]) -> Result<Vec<String>, ChartError> {
    let chart = |slope: &Slope| {
        let points: Vec<(f64, f64)> = slope.points.iter().map(|it| (it.x, it.y)).collect();
        let fitted = |x: f64| (x, slope.fit.slope * x + slope.fit.intercept);
        let ends = [points.first(), points.last()];
        let fit = ends.into_iter().flatten().map(|it| fitted(it.0)).collect();
        let drawn = [
            Line {
                name: "measured".to_owned(),
                points,
                markers: true,
            },
            Line {
                name: format!("{:.3} {} per {}", slope.fit.slope, slope.cost, slope.driver),
                points: fit,
                markers: false,
            },
        ];
        lines(&slope.name, &slope.driver, &slope.cost, &drawn)
    };
    slopes.iter().map(chart).collect()
}
