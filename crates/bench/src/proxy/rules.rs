//! What a proxy does to connections.

use serde::{Deserialize, Serialize};

/// What a proxy does to connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default)]
pub struct Rules {
    /// What becomes of new connections.
    pub accept: Accept,
    /// What becomes of bytes towards the server.
    pub to_server: Flow,
    /// What becomes of bytes towards the client.
    pub to_client: Flow,
}

impl Rules {
    /// Everything stands still and nothing is closed, as when a switch hangs.
    pub const STALLED: Rules = Rules {
        accept: Accept::Hang,
        to_server: Flow::Stall,
        to_client: Flow::Stall,
    };

    /// New connections are closed at once; open ones are left alone.
    pub const REFUSING: Rules = Rules {
        accept: Accept::Refuse,
        to_server: Flow::Pass,
        to_client: Flow::Pass,
    };

    /// Bytes pass towards the server only.
    pub const ANSWERS_LOST: Rules = Rules {
        accept: Accept::Yes,
        to_server: Flow::Pass,
        to_client: Flow::Stall,
    };

    /// Bytes pass towards the client only.
    pub const QUESTIONS_LOST: Rules = Rules {
        accept: Accept::Yes,
        to_server: Flow::Stall,
        to_client: Flow::Pass,
    };

    /// The next bytes towards the client are sent in half, then the connection is cut.
    pub const CUT_ANSWERS: Rules = Rules {
        accept: Accept::Yes,
        to_server: Flow::Pass,
        to_client: Flow::CutMidFrame,
    };

    /// Bytes towards the client come so much later.
    pub const fn delayed(millis: u64) -> Rules {
        Rules {
            accept: Accept::Yes,
            to_server: Flow::Pass,
            to_client: Flow::Delay { millis },
        }
    }
}

/// What becomes of new connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Accept {
    /// They are passed on.
    #[default]
    Yes,
    /// They are closed at once.
    Refuse,
    /// They are open, but nothing stands behind them.
    Hang,
}

/// What becomes of bytes in one direction.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "flow", rename_all = "snake_case")]
pub enum Flow {
    /// They pass.
    #[default]
    Pass,
    /// They pass later.
    Delay {
        /// In milliseconds.
        millis: u64,
    },
    /// They wait until the rule changes.
    Stall,
    /// Half of the next bytes pass, then the connection is cut.
    CutMidFrame,
}
