//! Tables for people.

use super::compare::{Comparison, MixComparison};
use super::{PolicyKind, Run};

/// Prints each mix, then the ratios, then where the product loses.
pub(super) fn print(runs: &[Run], comparison: &Comparison, classes: bool) {
    for mix in &comparison.mixes {
        println!("{}", mix.mix);
        print_runs(runs, mix);
        if classes {
            print_classes(runs, mix);
        }
        println!();
    }
    print_ratios(comparison);
    print_losses(runs, comparison);
}

fn print_runs(runs: &[Run], mix: &MixComparison) {
    println!(
        "  {:<20} {:>9} {:>8} {:>9} {:>9} {:>7} {:>8} {:>9} {:>6} {:>6} {:>7} {:>6}",
        "policy",
        "stall_s",
        "preempt",
        "late_s",
        "urg_p99ms",
        "refused",
        "in_target",
        "goodput_k",
        "gap50",
        "gap95",
        "gap99",
        "lost"
    );
    for run in of_mix(runs, mix) {
        let s = &run.summary;
        let mark = if mix.qualifying.contains(&run.policy) {
            "*"
        } else {
            ""
        };
        println!(
            "  {:<20} {:>9.1} {:>8} {:>9.0} {:>9.0} {:>7} {:>8.2}% {:>9.0} {:>6.1} {:>6.1} {:>7.1} {:>6}",
            format!("{}{mark}", run.policy),
            s.stall_s,
            s.preemptions,
            s.late_first_s,
            s.short_urgent_p99_ms,
            s.refused,
            100.0 * s.within_target as f64 / s.arrived as f64,
            s.good_tokens as f64 / 1e3,
            s.gap_p50_ms,
            s.gap_p95_ms,
            s.gap_p99_ms,
            s.lost,
        );
    }
}

fn print_classes(runs: &[Run], mix: &MixComparison) {
    println!(
        "    {:<20} {:<8} {:>7} {:>7} {:>9} {:>9} {:>9} {:>8} {:>10} {:>10} {:>9}",
        "policy",
        "class",
        "arrived",
        "refused",
        "in_target",
        "stall_s",
        "late_s",
        "preempt",
        "first50ms",
        "first99ms",
        "gapmax_ms"
    );
    for run in of_mix(runs, mix) {
        for c in &run.summary.classes {
            println!(
                "    {:<20} {:<8} {:>7} {:>7} {:>9} {:>9.1} {:>9.0} {:>8} {:>10.0} {:>10.0} {:>9.0}",
                run.policy,
                c.class,
                c.arrived,
                c.refused,
                c.within_target,
                c.stall_s,
                c.late_first_s,
                c.preemptions,
                c.first_p50_ms,
                c.first_p99_ms,
                c.gap_max_ms,
            );
        }
    }
}

fn print_ratios(comparison: &Comparison) {
    println!("ours against the best baseline; stall and preemptions against those marked * only,");
    println!(
        "which refuse at most one request in a hundred and reach nine tenths of the best goodput"
    );
    println!(
        "  {:<20} {:>7} {:>9} {:>9} {:>8} {:>9} {:>10} {:>5}  qualifying for stall and preemptions",
        "mix", "stall", "preempt", "urg_p99", "goodput", "vs_oracle", "stall+late", "lost"
    );
    for mix in &comparison.mixes {
        let r = &mix.ratios;
        let names: Vec<String> = mix.qualifying.iter().map(PolicyKind::to_string).collect();
        println!(
            "  {:<20} {:>7.3} {:>9.3} {:>9.3} {:>8.3} {:>9.3} {:>10.3} {:>5}  {}",
            mix.mix,
            r.stall_ratio,
            r.preemption_ratio,
            r.short_urgent_p99_ratio,
            r.goodput_ratio,
            r.stall_vs_oracle,
            r.stall_and_late_ratio,
            r.lost,
            names.join(" ")
        );
    }
}

/// Prints every policy, baseline or not, that beats the product on a measure.
fn print_losses(runs: &[Run], comparison: &Comparison) {
    println!("where ours loses");
    let mut none = true;
    for mix in &comparison.mixes {
        let Some(ours) = of_mix(runs, mix).find(|run| run.policy == PolicyKind::Ours) else {
            continue;
        };
        for run in of_mix(runs, mix).filter(|run| run.policy != PolicyKind::Ours) {
            let (a, b) = (&ours.summary, &run.summary);
            let mut lost = Vec::new();
            let mut less = |name: &str, ours: f64, other: f64| {
                if ours > other {
                    lost.push(format!("{name} {ours:.1} > {other:.1}"));
                }
            };
            less("stall_s", a.stall_s, b.stall_s);
            less("preemptions", a.preemptions as f64, b.preemptions as f64);
            less("late_s", a.late_first_s, b.late_first_s);
            less(
                "urgent_p99_ms",
                a.short_urgent_p99_ms,
                b.short_urgent_p99_ms,
            );
            less("missed", missed(a), missed(b));
            less("refused", a.refused as f64, b.refused as f64);
            if !lost.is_empty() {
                none = false;
                println!("  {:<20} {:<20} {}", mix.mix, run.policy, lost.join(", "));
            }
        }
    }
    if none {
        println!("  nowhere");
    }
}

fn missed(summary: &super::Summary) -> f64 {
    (summary.arrived - summary.within_target) as f64
}

fn of_mix<'a>(runs: &'a [Run], mix: &'a MixComparison) -> impl Iterator<Item = &'a Run> {
    runs.iter().filter(|run| run.mix == mix.mix)
}
