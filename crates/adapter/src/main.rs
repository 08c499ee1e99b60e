//! shalespindle-adapter: the decision module on the bench's wire.

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
            Err(why) => {
                eprintln!("shalespindle-adapter: {why}");
                return ExitCode::FAILURE;
            }
        }
        let answered = host.answer(&batch, &mut reply);
        if let Err(why) = &answered {
            eprintln!("shalespindle-adapter: {why}");
            reply.clear();
            reply.push_text(50, why);
        }
        let written = output.write_all(reply.finish()).and_then(|()| output.flush());
        if let Err(why) = written {
            eprintln!("shalespindle-adapter: reply: {why}");
            return ExitCode::FAILURE;
        }
        if answered.is_err() {
            return ExitCode::FAILURE;
        }
    }
}
