//! Slopes: the fit, and a page of capacity that says what the slopes say.

use oriolemux_bench::slopes::capacity::{Demand, capacity};
use oriolemux_bench::slopes::page::{tables, with_tables};
use oriolemux_bench::slopes::{Point, Slope, fit};
use std::path::PathBuf;

fn docs(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../docs")
        .join(name);
    std::fs::read_to_string(&path).unwrap_or_else(|err| panic!("{}: {err}", path.display()))
}

fn committed() -> Vec<Slope> {
    serde_json::from_str(&docs("capacity/slopes.json")).unwrap()
}

fn points(y: impl Fn(f64) -> f64) -> Vec<Point> {
    let xs = [1.0, 2.0, 4.0, 8.0];
    xs.into_iter().map(|x| Point { x, y: y(x) }).collect()
}

#[test]
fn a_line_is_found_again_without_error() {
    let found = fit(&points(|x| 3.0 * x + 5.0));
    assert!((found.slope - 3.0).abs() < 1e-9 && (found.intercept - 5.0).abs() < 1e-9);
    assert!(found.slope_error < 1e-9 && found.worst_residual < 1e-9);
}

#[test]
fn a_curve_shows_in_the_error() {
    let found = fit(&points(|x| x * x));
    assert!(found.slope_error > 0.05, "{found:?}");
    assert!(found.worst_residual > 0.05, "{found:?}");
}

#[test]
fn the_page_of_capacity_says_what_the_slopes_say() {
    let page = docs("CAPACITY.md");
    let again = with_tables(&page, &committed()).expect("the page has its marks");
    assert!(
        page == again,
        "run `oriolemux-bench slopes --from` and `--page` again"
    );
}

#[test]
fn every_slope_has_four_points_and_their_fit() {
    for slope in committed() {
        assert!(slope.points.len() >= 4, "{}", slope.name);
        let again = fit(&slope.points);
        let close = |a: f64, b: f64| (a - b).abs() <= 1e-9 * a.abs().max(1.0);
        assert!(close(slope.fit.slope, again.slope), "{}", slope.name);
        assert!(
            close(slope.fit.intercept, again.intercept),
            "{}",
            slope.name
        );
    }
}

#[test]
fn a_larger_fleet_takes_no_less_memory_of_its_busiest_node() {
    let slopes = committed();
    let today = capacity(&slopes, &Demand::TODAY).busiest.total;
    let planned = capacity(&slopes, &Demand::PLANNED).busiest.total;
    assert!(planned.megabytes > today.megabytes);
    assert!(tables(&slopes).contains("| budget |"));
}

#[test]
fn more_requests_take_more_of_the_busiest_node() {
    let slopes = committed();
    for demand in [Demand::TODAY, Demand::PLANNED] {
        let twice = Demand {
            requests_per_s: 2.0 * demand.requests_per_s,
            ..demand
        };
        let once = capacity(&slopes, &demand).busiest.total;
        let twice = capacity(&slopes, &twice).busiest.total;
        assert!(twice.bytes_per_s > once.bytes_per_s);
        assert!(twice.core_pct > once.core_pct);
        assert!(twice.megabytes >= once.megabytes);
    }
}
