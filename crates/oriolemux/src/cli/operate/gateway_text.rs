//! Prints the state of a gateway as text.

use crate::cli::print_line;
use oriolemux_gateway::GatewayStatus;
use oriolemux_gateway::status::{Availability, EndpointStatus, HomeStatus};
use std::net::SocketAddrV4;

pub(super) fn print_status(status: &GatewayStatus) {
    let readiness = status.readiness.as_str();
    print_line(format_args!(
        "{}: {readiness}, incarnation {}",
        status.instance, status.incarnation
    ));
    let version = status.catalogue_version;
    let version = version.map_or("none in force".to_owned(), |it| format!("version {it}"));
    print_line(format_args!("catalogue  {version}"));
    let store = &status.store;
    let answered = store.answered_ms_ago;
    let answered = answered.map_or("never".to_owned(), |age| format!("{age} ms ago"));
    print_line(format_args!(
        "store      revision {} of epoch {}, answered {answered}{}{}",
        store.revision,
        store.epoch,
        if store.watches { ", watched here" } else { "" },
        if store.unsettled { ", unsettled" } else { "" },
    ));
    print_line(format_args!(
        "callers    {} connections, {} generations",
        status.connections, status.generations
    ));
    print_line(format_args!("peers      {} take part", status.peers.len()));
    for peer in &status.peers {
        let stopping = if peer.stopping { ", stopping" } else { "" };
        let heard = match peer.heard_ms_ago {
            Some(ms) => format!("heard {ms} ms ago, revision {}", peer.revision),
            None => "known through others".to_owned(),
        };
        print_line(format_args!(
            "           {} {heard}{stopping}",
            peer.address
        ));
    }
    for sent in &status.sent {
        print_line(format_args!(
            "sent       {}: {} messages, {} bytes",
            sent.purpose, sent.messages, sent.bytes
        ));
    }
    for cordon in &status.cordons {
        print_line(format_args!(
            "cordon     {}: {} endpoints get nothing new, heard {} ms ago, revision {}",
            cordon.data_centre, cordon.endpoints, cordon.heard_ms_ago, cordon.revision,
        ));
    }
    for service in &status.partitioned {
        print_line(format_args!(
            "partition  no endpoint of {service} is reached, peers serve its callers"
        ));
    }
    if status.served_for_peers > 0 {
        print_line(format_args!(
            "proxied    {} requests are being served for peers",
            status.served_for_peers
        ));
    }
    for suspect in &status.suspects {
        print_line(format_args!(
            "suspect    {}: ended {} endpoints, the last {} ms ago{}",
            suspect.request,
            suspect.ended,
            suspect.ended_ms_ago,
            if suspect.refused { ", refused" } else { "" },
        ));
    }
    for home in &status.homes {
        print_home(home);
    }
    for endpoint in &status.endpoints {
        print_endpoint(endpoint);
    }
}

fn print_home(home: &HomeStatus) {
    let shown = |address: Option<SocketAddrV4>| match address {
        Some(address) => address.to_string(),
        None => "nobody".to_owned(),
    };
    print_line(format_args!(
        "home       {} at {}{}, next {}, {} wait here",
        home.service,
        shown(home.home),
        if home.passed_over { " (silent)" } else { "" },
        shown(home.next),
        home.waiting_here,
    ));
    if let Some(rate) = home.freed_per_second {
        print_line(format_args!(
            "forecast   {}: {rate} tokens a second become free, {} places promised",
            home.service, home.promised
        ));
    }
    for share in &home.shares {
        print_line(format_args!(
            "share      {} of {}: {} in 100 of recent grants",
            share.workspace, home.service, share.percent
        ));
    }
}

fn print_endpoint(endpoint: &EndpointStatus) {
    let takes = match endpoint.takes {
        Availability::Work => "takes work",
        Availability::PassedOver => "passed over",
        Availability::BackedOff => "backed off",
        Availability::Cordoned => "data centre cordoned",
        Availability::Lapsed => "entry lapsed",
        Availability::Absent => "entry gone",
        Availability::Nothing => "leaves",
    };
    let failing = if endpoint.failing { ", failing" } else { "" };
    print_line(format_args!(
        "{} of {} at {} in {}: {takes}{failing}; {} running, {} tokens, {} copied, {} unread",
        endpoint.name,
        endpoint.service,
        endpoint.address,
        endpoint.data_centre,
        endpoint.running,
        endpoint.tokens,
        endpoint.copied,
        endpoint.unread
    ));
}
