//! `oriolemux serve`.

use super::{ExitStatus, Output, ServeArgs, check};
use crate::serve;
use crate::settings::{Secrets, Settings};

pub(super) fn run(args: &ServeArgs, output: Output) -> ExitStatus {
    let settings = match Settings::load(&args.settings) {
        Ok(settings) => settings,
        Err(findings) => return check::report(&[findings], 1, output),
    };
    if args.check {
        return match Secrets::read(&settings) {
            Ok(_) => check::report(&[], 1, output),
            Err(findings) => check::report(&[findings], 1, output),
        };
    }
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .build();
    let runtime = match runtime {
        Ok(runtime) => runtime,
        Err(error) => {
            eprintln!("oriolemux: cannot start the runtime: {error}");
            return ExitStatus::CannotStart;
        }
    };
    match runtime.block_on(serve::run(settings)) {
        Ok(()) => ExitStatus::Done,
        Err(error) => {
            eprintln!("oriolemux: {error}");
            error.exit_status()
        }
    }
}
