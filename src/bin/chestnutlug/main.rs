//! The command-line program `chestnutlug`.

mod app;
mod clap_app;
mod clap_bench;
mod clap_config;
mod clap_coordinate;
mod clap_local;
mod clap_serve;
mod clap_settings;
mod clap_standin;
mod clap_status;

use std::process::ExitCode;

fn main() -> ExitCode {
    let matches = clap_app::build_app().get_matches();
    match app::run(&matches) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("chestnutlug: {error}");
            ExitCode::from(error.exit_code())
        }
    }
}
