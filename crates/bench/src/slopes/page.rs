//! The tables of `docs/CAPACITY.md`, written from the slopes.
//!
//! The page's text is written by people; its tables stand between marks and are
//! computed. A test computes them again, so that page and figures cannot drift.

use super::Slope;
use super::capacity::{BUDGET, Capacity, Demand, NodeCapacity, capacity, spread_s};
use core::fmt::Write;

/// Stands before the tables in the page.
pub const BEGIN: &str = "<!-- computed from capacity/slopes.json -->";
/// Stands after the tables in the page.
pub const END: &str = "<!-- end of what is computed -->";

/// Returns the tables as they stand in the page.
///
/// # Panics
///
/// Panics if a slope is missing.
pub fn tables(slopes: &[Slope]) -> String {
    let mut text = String::new();
    let planned = capacity(slopes, &Demand::PLANNED);
    let today = capacity(slopes, &Demand::TODAY);
    fleet_table(&mut text, slopes, &today, &planned);
    node_table(
        &mut text,
        "The busiest node at the planned size",
        &planned.busiest,
    );
    node_table(
        &mut text,
        "The median node at the planned size",
        &planned.median,
    );
    node_table(&mut text, "The busiest node today", &today.busiest);
    slope_table(&mut text, slopes);
    text
}

/// Returns `page` with its tables computed anew, or `None` if it has no marks.
pub fn with_tables(page: &str, slopes: &[Slope]) -> Option<String> {
    let (before, rest) = page.split_once(BEGIN)?;
    let (_, after) = rest.split_once(END)?;
    Some(format!("{before}{BEGIN}\n\n{}{END}{after}", tables(slopes)))
}

fn line(text: &mut String, line: core::fmt::Arguments<'_>) {
    writeln!(text, "{line}").expect("writing to a string does not fail");
}

fn fleet_table(text: &mut String, slopes: &[Slope], today: &Capacity, planned: &Capacity) {
    line(
        text,
        format_args!("| fleet | today | planned |\n| --- | --- | --- |"),
    );
    let mut row = |name: &str, today: String, planned: String| {
        line(text, format_args!("| {name} | {today} | {planned} |"));
    };
    row("cells", today.cells.to_string(), planned.cells.to_string());
    row(
        "cells of the busiest node",
        today.busiest_cells.to_string(),
        planned.busiest_cells.to_string(),
    );
    row(
        "cells of the median node",
        today.median_cells.to_string(),
        planned.median_cells.to_string(),
    );
    row(
        "platform calls a second, steady",
        format!("{:.1}", today.platform_calls_per_s),
        format!("{:.1}", planned.platform_calls_per_s),
    );
    row(
        "a revision in force everywhere, s",
        format!("{:.2}", spread_s(slopes, &Demand::TODAY)),
        format!("{:.2}", spread_s(slopes, &Demand::PLANNED)),
    );
    text.push('\n');
}

fn node_table(text: &mut String, title: &str, node: &NodeCapacity) {
    line(text, format_args!("{title}:\n"));
    line(
        text,
        format_args!("| role | has | core % | MB | bytes/s |\n| --- | --- | --- | --- | --- |"),
    );
    for role in &node.roles {
        let it = role.spending;
        line(
            text,
            format_args!(
                "| {} | {} | {:.3} | {:.2} | {:.0} |",
                role.role, role.share, it.core_pct, it.megabytes, it.bytes_per_s
            ),
        );
    }
    let (total, budget) = (node.total, BUDGET);
    line(
        text,
        format_args!(
            "| **total** | | **{:.2}** | **{:.1}** | **{:.0}** |",
            total.core_pct, total.megabytes, total.bytes_per_s
        ),
    );
    line(
        text,
        format_args!(
            "| budget | | {} | {} | {} |\n",
            budget.core_pct, budget.megabytes, budget.bytes_per_s
        ),
    );
}

fn slope_table(text: &mut String, slopes: &[Slope]) {
    line(
        text,
        format_args!(
            "The slopes:\n\n| slope | one more | costs | at none | error of the slope | points |\n\
             | --- | --- | --- | --- | --- | --- |"
        ),
    );
    for slope in slopes {
        line(
            text,
            format_args!(
                "| {} | {} | {:.3} {} | {:.0} | {:.1} % | {} |",
                slope.name,
                slope.driver,
                slope.fit.slope,
                slope.cost,
                slope.fit.intercept,
                slope.fit.slope_error * 100.0,
                slope.points.len()
            ),
        );
    }
    text.push('\n');
}
