//! Plays one case of the third review: `standin-3 CASE RECORD FOLDER`. Exits with 1 if the rule was broken, 0 if it
//! held, and 2 if the case could not run. With `TROUBLE=0` the disruption is left out.

mod cases;
mod http;
mod record;
mod runner;
mod store;
mod system;

use std::process::ExitCode;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record, folder] = &arguments[..] else {
        eprintln!("usage: standin-3 CASE RECORD FOLDER");
        return ExitCode::from(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    match cases::play(case, record, folder, trouble) {
        Ok(true) => ExitCode::from(1),
        Ok(false) => ExitCode::SUCCESS,
        Err(reason) => {
            eprintln!("the case could not run: {reason}");
            ExitCode::from(2)
        }
    }
}
