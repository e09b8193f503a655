//! The two users: their classes, entries, workspaces and data centres.

use super::{ClassSpec, DataCentreSpec, EntrySpec, ServiceSpec, User, WorkspaceSpec};
use core::time::Duration;

/// Time between tokens that 95 of 100 should stay under.
const INTER_TOKEN_TARGET: Duration = Duration::from_millis(32);

const URGENT: usize = 0;
const SOON: usize = 1;
const LONG: usize = 2;

pub(super) static CLASSES: [ClassSpec; 3] = [
    ClassSpec {
        name: "urgent",
        urgency: 0,
        wait_target: Duration::from_millis(980),
        longest_wait: Duration::from_secs(10),
        completion_target: Duration::from_secs(3),
        inter_token_target: INTER_TOKEN_TARGET,
    },
    ClassSpec {
        name: "soon",
        urgency: 1,
        wait_target: Duration::from_secs(10),
        longest_wait: Duration::from_secs(60),
        completion_target: Duration::from_secs(60),
        inter_token_target: INTER_TOKEN_TARGET,
    },
    ClassSpec {
        name: "long",
        urgency: 2,
        wait_target: Duration::from_secs(60),
        longest_wait: Duration::from_secs(600),
        completion_target: Duration::from_secs(420),
        inter_token_target: INTER_TOKEN_TARGET,
    },
];

static SAVANNAH_ENTRIES: [EntrySpec; 3] = [
    EntrySpec {
        name: "fabric-check",
        class: URGENT,
        base_rate: 3.0,
        surge: 1_800.0,
        prompt_median: 220.0,
        shared_blocks: 2,
        output_median: 8.0,
        max_tokens: 64,
        long: false,
    },
    EntrySpec {
        name: "sizing-list",
        class: SOON,
        base_rate: 0.6,
        surge: 400.0,
        prompt_median: 420.0,
        shared_blocks: 2,
        output_median: 260.0,
        max_tokens: 1_024,
        long: false,
    },
    EntrySpec {
        name: "tailoring-plan",
        class: LONG,
        base_rate: 1.2,
        surge: 2_400.0,
        prompt_median: 700.0,
        shared_blocks: 6,
        output_median: 2_000.0,
        max_tokens: 16_384,
        long: true,
    },
];

static QAFSA_ENTRIES: [EntrySpec; 3] = [
    EntrySpec {
        name: "verse-verdict",
        class: URGENT,
        base_rate: 4.0,
        surge: 2_400.0,
        prompt_median: 140.0,
        shared_blocks: 1,
        output_median: 5.0,
        max_tokens: 32,
        long: false,
    },
    EntrySpec {
        name: "clearance-note",
        class: SOON,
        base_rate: 0.5,
        surge: 250.0,
        prompt_median: 500.0,
        shared_blocks: 2,
        output_median: 320.0,
        max_tokens: 1_024,
        long: false,
    },
    EntrySpec {
        name: "rights-report",
        class: LONG,
        base_rate: 0.8,
        surge: 1_600.0,
        prompt_median: 1_500.0,
        shared_blocks: 4,
        output_median: 1_800.0,
        max_tokens: 16_384,
        long: true,
    },
];

static STOCK_LOOKUP: ServiceSpec = ServiceSpec {
    name: "stock-lookup",
    workers: 3,
    base_rate: 6.0,
    surge: 900.0,
    median_time: Duration::from_millis(20),
};

static CLERK_SCREEN: ServiceSpec = ServiceSpec {
    name: "clerk-screen",
    workers: 3,
    base_rate: 4.0,
    surge: 600.0,
    median_time: Duration::from_millis(30),
};

const fn workspace(name: &'static str, share: f64, output_scale: f64) -> WorkspaceSpec {
    WorkspaceSpec {
        name,
        share,
        output_scale,
    }
}

static SAVANNAH_WORKSPACES: [WorkspaceSpec; 10] = [
    workspace("house-one", 0.30, 1.0),
    workspace("house-two", 0.22, 0.8),
    workspace("house-three", 0.16, 1.3),
    workspace("house-four", 0.10, 1.0),
    workspace("schools-north", 0.06, 1.2),
    workspace("schools-south", 0.05, 0.9),
    workspace("schools-east", 0.04, 1.1),
    workspace("counter-app", 0.03, 0.6),
    workspace("parents", 0.02, 0.7),
    workspace("trials", 0.02, 1.5),
];

static QAFSA_WORKSPACES: [WorkspaceSpec; 10] = [
    workspace("broadcaster", 0.45, 1.1),
    workspace("label-one", 0.15, 0.8),
    workspace("label-two", 0.12, 1.2),
    workspace("radio", 0.08, 0.9),
    workspace("festival", 0.06, 1.4),
    workspace("archive", 0.05, 1.0),
    workspace("clerks", 0.04, 0.6),
    workspace("publishers", 0.02, 1.1),
    workspace("estates", 0.02, 1.3),
    workspace("trials", 0.01, 1.5),
];

const fn data_centre(name: &'static str, engines: usize, share: f64) -> DataCentreSpec {
    DataCentreSpec {
        name,
        engines,
        share,
    }
}

static SAVANNAH_DATA_CENTRES: [DataCentreSpec; 3] = [
    data_centre("chaguanas", 4, 0.40),
    data_centre("arima", 4, 0.32),
    data_centre("san-juan", 4, 0.28),
];

static QAFSA_DATA_CENTRES: [DataCentreSpec; 3] = [
    data_centre("tunis-lac", 4, 0.45),
    data_centre("tunis-charguia", 3, 0.30),
    data_centre("tunis-ariana", 3, 0.25),
];

pub(super) fn entries(user: User) -> &'static [EntrySpec] {
    match user {
        User::SavannahThreads => &SAVANNAH_ENTRIES,
        User::QafsaLyricworks => &QAFSA_ENTRIES,
    }
}

pub(super) fn service(user: User) -> &'static ServiceSpec {
    match user {
        User::SavannahThreads => &STOCK_LOOKUP,
        User::QafsaLyricworks => &CLERK_SCREEN,
    }
}

pub(super) fn workspaces(user: User) -> &'static [WorkspaceSpec] {
    match user {
        User::SavannahThreads => &SAVANNAH_WORKSPACES,
        User::QafsaLyricworks => &QAFSA_WORKSPACES,
    }
}

pub(super) fn data_centres(user: User) -> &'static [DataCentreSpec] {
    match user {
        User::SavannahThreads => &SAVANNAH_DATA_CENTRES,
        User::QafsaLyricworks => &QAFSA_DATA_CENTRES,
    }
}
