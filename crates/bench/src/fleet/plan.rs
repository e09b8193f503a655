//! What a fleet consists of.

/// Claims that settle within seconds, so that keys are granted soon after the
/// start of a fleet, and a claim is void after a pause of seconds.
const SHORT_CLAIMS: &str = "[claims]\nsettle_ms = 3000\nmemory_ms = 3000\nvalid_ms = 1900\n\
    list_fresh_ms = 1000\n";

/// How long after its start an instance with short claims grants no key that
/// it knows nothing of.
pub const SHORT_SETTLE: core::time::Duration = core::time::Duration::from_millis(3_000);

/// How long after its end an instance with short claims remembers the outcome
/// of a request under a key.
pub const SHORT_MEMORY: core::time::Duration = core::time::Duration::from_millis(3_000);

/// What a fleet consists of. Build it with [`Plan::default`] and the `with_` methods.
#[derive(Clone, Debug)]
pub struct Plan {
    pub(super) instances: usize,
    pub(super) engines: usize,
    pub(super) services: usize,
    pub(super) views: usize,
    pub(super) proxied: bool,
    pub(super) engine_args: Vec<String>,
    pub(super) service_args: Vec<String>,
    pub(super) platform_args: Vec<String>,
    pub(super) settings: String,
}

impl Default for Plan {
    /// One instance before one engine, without proxies.
    fn default() -> Self {
        Plan {
            instances: 1,
            engines: 1,
            services: 0,
            views: 1,
            proxied: false,
            engine_args: Vec::new(),
            service_args: Vec::new(),
            platform_args: Vec::new(),
            settings: String::new(),
        }
    }
}

impl Plan {
    /// Sets how many instances there are.
    pub fn with_instances(mut self, instances: usize) -> Self {
        self.instances = instances;
        self
    }

    /// Sets how many model engines there are.
    pub fn with_engines(mut self, engines: usize) -> Self {
        self.engines = engines;
        self
    }

    /// Sets how many plain services there are.
    pub fn with_services(mut self, services: usize) -> Self {
        self.services = services;
        self
    }

    /// Splits the instances over two views, which can be parted.
    pub fn with_two_views(mut self) -> Self {
        self.views = 2;
        self.proxied()
    }

    /// Puts a proxy into every connection.
    pub fn proxied(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Adds options of every engine, as one line of arguments.
    pub fn with_engine_args(mut self, args: &str) -> Self {
        self.engine_args.extend(words(args));
        self
    }

    /// Adds options of every service, as one line of arguments.
    pub fn with_service_args(mut self, args: &str) -> Self {
        self.service_args.extend(words(args));
        self
    }

    /// Lets keys be granted [`SHORT_SETTLE`] after the start. Adds a section of settings.
    pub fn with_short_claims(self) -> Self {
        self.with_settings(SHORT_CLAIMS)
    }

    /// Adds options of every platform, as one line of arguments.
    pub fn with_platform_args(mut self, args: &str) -> Self {
        self.platform_args.extend(words(args));
        self
    }

    /// Adds lines of TOML after the settings of every instance.
    pub fn with_settings(mut self, toml: &str) -> Self {
        self.settings.push_str(toml);
        self
    }
}

fn words(args: &str) -> impl Iterator<Item = String> {
    args.split_whitespace().map(str::to_owned)
}
