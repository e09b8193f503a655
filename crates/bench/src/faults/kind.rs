//! The failures.

use std::time::Duration;

macro_rules! faults {
    ($($(#[doc = $doc:literal])* $name:ident = $text:literal, $target:ident;)*) => {
        /// A failure of the brief.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub enum Fault { $($(#[doc = $doc])* $name,)* }

        impl Fault {
            /// Every failure, in the order of the table.
            pub const ALL: &'static [Fault] = &[$(Fault::$name,)*];

            /// Returns the name shown in the table.
            pub const fn name(self) -> &'static str {
                match self { $(Fault::$name => $text,)* }
            }

            /// Returns what the failure strikes.
            pub const fn target(self) -> Target {
                match self { $(Fault::$name => Target::$target,)* }
            }
        }
    };
}

/// What a failure strikes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Target {
    /// One engine, or the link to it.
    Engine,
    /// The plain service.
    Service,
    /// One instance.
    Instance,
    /// All instances, or the links between them.
    Fleet,
    /// The platform's service.
    Platform,
    /// What the platform publishes about instances and endpoints.
    List,
    /// What the platform publishes as catalogue.
    Catalogue,
}

faults! {
    /// An engine is killed and comes back.
    EngineDies = "engine dies", Engine;
    /// An engine's process is paused.
    EnginePauses = "engine pauses", Engine;
    /// An engine stalls in the middle of streams.
    EngineStalls = "engine stalls", Engine;
    /// An engine says that it is leaving.
    EngineLeaves = "engine leaves", Engine;
    /// The list says that an engine is leaving.
    EngineListedLeaving = "engine listed as leaving", List;
    /// An engine says that it is leaving and is gone a second later.
    EngineReclaimed = "engine reclaimed", Engine;
    /// An engine refuses for want of room.
    EngineBusy = "engine refuses as busy", Engine;
    /// An engine answers 500 although it generates.
    EngineErrors = "engine answers 500", Engine;
    /// An engine sends bytes that are no event.
    GarbageAnswers = "garbage answers", Engine;
    /// An engine sends half an event and cuts the connection.
    HalfFrames = "half frames", Engine;
    /// An engine leaves the end mark out.
    TruncatedAnswers = "truncated answers", Engine;
    /// An engine sends tokens of another request.
    CrossedAnswers = "crossed answers", Engine;
    /// An engine sends tokens twice.
    DuplicateTokens = "duplicate tokens", Engine;
    /// An engine sends tokens in the wrong order.
    ReorderedTokens = "reordered tokens", Engine;
    /// An engine cuts connections and keeps the generations.
    CutStreams = "cut streams", Engine;
    /// An engine cuts connections and forgets the generations.
    LostGenerations = "lost generations", Engine;
    /// The link to an engine stalls.
    LinkStalls = "link stalls", Engine;
    /// Connections to an engine are cut in the middle of a frame.
    LinkCutMidFrame = "link cut in mid-frame", Engine;
    /// All connections to an engine are cut, again and again.
    LinkFlaps = "link flaps", Engine;
    /// Answers of an engine are late.
    LinkSlow = "late answers", Engine;
    /// Requests reach an engine, answers do not come back.
    AnswersLost = "one-way link to an engine", Engine;
    /// A service runs calls and loses the answers.
    ServiceLosesAnswers = "service loses answers", Service;
    /// A service answers with another call's id.
    ServiceCrosses = "service crosses answers", Service;
    /// A service runs calls and never answers.
    ServiceStalls = "service stalls", Service;
    /// A service is killed and comes back.
    ServiceDies = "service dies", Service;
    /// An instance is killed and comes back later.
    InstanceKilled = "instance killed", Instance;
    /// An instance is killed and comes back at once at the same address.
    InstanceRestarted = "instance restarted at once", Instance;
    /// An instance's process is paused and wakes late.
    InstancePaused = "instance paused", Instance;
    /// An instance is stopped as planned in the middle of its streams.
    InstanceStopped = "planned stop", Instance;
    /// All instances are killed and come back at once.
    FleetRestarts = "whole fleet restarts", Fleet;
    /// The two halves of the instances cannot reach each other.
    HalvesParted = "halves parted", Fleet;
    /// One half reaches the other, but not the other way.
    OneWayPartition = "one-way partition", Fleet;
    /// Links between instances are cut, again and again.
    PeerLinksFlap = "peer links flap", Fleet;
    /// The platform answers 503.
    PlatformDown = "platform down", Platform;
    /// The platform does not answer.
    PlatformSilent = "platform silent", Platform;
    /// The platform serves old values, and an instance restarts meanwhile.
    PlatformOlder = "platform stale, instance restarted", Platform;
    /// The list is empty.
    ListEmpty = "list empty", List;
    /// The list is cut short.
    ListHalf = "list half-written", List;
    /// The list leaves out most of the fleet.
    ListShort = "list without most instances", List;
    /// Revisions follow each other within milliseconds.
    CatalogueRaces = "catalogue changes race", Catalogue;
    /// A revision is broken.
    CatalogueBroken = "broken catalogue", Catalogue;
    /// A lower revision is published.
    CatalogueLower = "lower catalogue revision", Catalogue;
}

/// How long a failure lasts.
const HOLD: Duration = Duration::from_millis(2_000);
/// How long processes are paused and instances parted: longer than claims of
/// keys are valid and new homes of keys wait, so that both sides act.
const HOLD_APART: Duration = Duration::from_millis(6_000);
/// How long an endpoint is leaving: longer than work may still arrive.
const HOLD_LEAVING: Duration = Duration::from_millis(8_000);

impl Fault {
    /// Returns how long the failure lasts.
    pub const fn hold(self) -> Duration {
        match self {
            Fault::EngineLeaves | Fault::EngineListedLeaving | Fault::EngineReclaimed => {
                HOLD_LEAVING
            }
            Fault::InstancePaused | Fault::HalvesParted | Fault::OneWayPartition => HOLD_APART,
            _ => HOLD,
        }
    }

    /// Returns whether a stand-in shows the failure to single requests, and notes each.
    pub const fn is_shown_by_endpoint(self) -> bool {
        matches!(
            self,
            Fault::EngineStalls
                | Fault::EngineBusy
                | Fault::EngineErrors
                | Fault::GarbageAnswers
                | Fault::HalfFrames
                | Fault::TruncatedAnswers
                | Fault::CrossedAnswers
                | Fault::DuplicateTokens
                | Fault::ReorderedTokens
                | Fault::CutStreams
                | Fault::LostGenerations
                | Fault::ServiceLosesAnswers
                | Fault::ServiceCrosses
                | Fault::ServiceStalls
        )
    }

    /// Returns whether both failures together can be told from one of them.
    ///
    /// A failure goes with itself where it can strike two targets. Left out: two failures that set the same switch of
    /// the platform or publish the same value; news that only the list tells
    /// while the list cannot be read; and a restart of all instances while the
    /// service is stale, after which nobody is left who knew better.
    pub fn goes_with(self, other: Fault) -> bool {
        use Target::{Catalogue, Fleet, Instance, List, Platform};
        let published = |target| matches!(target, List | Catalogue | Platform);
        match (self.target(), other.target()) {
            (a, _) if self == other => matches!(a, Target::Engine | Instance),
            (a, b) if published(a) && published(b) => false,
            (Instance | Fleet, Instance | Fleet) => {
                // One of them restarts what the other one pauses or parts.
                let parts = |fault| matches!(fault, Fault::HalvesParted | Fault::OneWayPartition);
                parts(self) != parts(other)
                    && self != Fault::FleetRestarts
                    && other != Fault::FleetRestarts
            }
            (Platform, Fleet | Instance) | (Fleet | Instance, Platform) => {
                self != Fault::FleetRestarts && other != Fault::FleetRestarts
            }
            // A service that is dead shows nothing else.
            (Target::Service, Target::Service) => {
                self != Fault::ServiceDies && other != Fault::ServiceDies
            }
            _ => true,
        }
    }
}
