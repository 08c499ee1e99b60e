//! shalespindle-adapter: runs instances of the decision module behind the bench's wire protocol, on standard
//! input and output. An error is written to standard error, sent to the bench as a text record, and ends the
//! process.

mod codec;
mod host;

use std::io::{self, Write};
use std::process::ExitCode;

fn main() -> ExitCode {
    let (mut input, mut output) = (io::stdin().lock(), io::stdout().lock());
    let (mut host, mut batch, mut reply) =
        (host::Host::default(), codec::Batch::default(), codec::Reply::default());
    loop {
        match batch.read(&mut input) {
            Ok(true) => {}
            Ok(false) => return ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("shalespindle-adapter: {error}");
                return ExitCode::FAILURE;
            }
        }
        let answered = host.answer(&batch, &mut reply);
        if let Err(error) = &answered {
            eprintln!("shalespindle-adapter: {error}");
            reply.clear();
            reply.push_text(host::action_code::ERROR, error);
        }
        let written = output.write_all(reply.finish()).and_then(|()| output.flush());
        if let Err(error) = written {
            eprintln!("shalespindle-adapter: reply: {error}");
            return ExitCode::FAILURE;
        }
        if answered.is_err() {
            return ExitCode::FAILURE;
        }
    }
}
