//! Prints status and explanations as text.

use crate::cli::print_line;
use crate::status::{CellStatus, EndpointStatus, Explanation, NodeStatus};

pub(super) fn print_status(status: &NodeStatus) {
    let NodeStatus {
        instance,
        data_centre,
        version,
        incarnation,
        ..
    } = status;
    let uptime = seconds(status.uptime_ms);
    print_line(format_args!(
        "{instance} in {data_centre}: {}, up {uptime}, version {version}, incarnation {incarnation}",
        status.readiness.as_str(),
    ));
    print_catalogue(status);
    let list = &status.list;
    let age = list
        .age_ms
        .map_or("never".to_owned(), |age| seconds(age) + " ago");
    print_line(format_args!(
        "list       revision {}, confirmed {age}, {} live instances",
        list.revision, list.live_instances
    ));
    let requests = &status.requests;
    print_line(format_args!(
        "requests   {} running, {} waiting, {} being judged",
        requests.running, requests.waiting, requests.judging
    ));
    let up = status.links.iter().filter(|link| link.up).count();
    print_line(format_args!("links      {up} of {} up", status.links.len()));
    for link in status.links.iter().filter(|link| !link.up) {
        print_line(format_args!("           {} is down", link.peer));
    }
    for cell in &status.cells {
        print_cell(cell);
    }
}

fn print_catalogue(status: &NodeStatus) {
    let catalogue = &status.catalogue;
    print_line(format_args!("catalogue  revision {}", catalogue.revision));
    let Some(rejected) = &catalogue.rejected else {
        return;
    };
    print_line(format_args!(
        "           revision {} was rejected:",
        rejected.revision
    ));
    for finding in &rejected.findings {
        print_line(format_args!("           {finding}"));
    }
}

fn print_cell(cell: &CellStatus) {
    let name = match cell.serves.is_empty() {
        true => "a cell that the list no longer makes".to_owned(),
        false => format!("{} in {}", cell.serves.join(" and "), cell.data_centre),
    };
    print_line(format_args!(
        "{name} ({}): {} running, {} queued, oldest wait {}",
        cell.cell,
        cell.running,
        cell.queued,
        seconds(cell.oldest_wait_ms)
    ));
    for endpoint in &cell.endpoints {
        print_endpoint(endpoint);
    }
}

fn print_endpoint(endpoint: &EndpointStatus) {
    let state = match (endpoint.leaving, endpoint.ejected) {
        (true, _) => " leaving",
        (false, true) => " ejected",
        (false, false) => "",
    };
    print_line(format_args!(
        "  {}{state}: {} running, of {} in all {} counted, {} foreign, {} free",
        endpoint.endpoint,
        endpoint.running,
        endpoint.total,
        endpoint.counted,
        endpoint.foreign,
        endpoint.free
    ));
}

pub(super) fn print_explanation(explanation: &Explanation) {
    print_line(&explanation.request);
    for step in &explanation.steps {
        print_line(format_args!(
            "{:>10}  {:<18} {}",
            seconds(step.at_ms),
            step.step,
            step.detail
        ));
    }
}

fn seconds(millis: u64) -> String {
    format!("{}.{:03} s", millis / 1000, millis % 1000)
}
