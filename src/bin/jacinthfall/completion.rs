//! `jacinthfall completion`.

use jacinthfall::ops::Outcome;

use crate::COMMANDS;
use crate::options::{self, Command, Failure};

const BRIEF: &str = "\
Prints a script that completes commands in a shell: bash, zsh or fish.

Examples:
    jacinthfall completion bash > ~/.local/share/bash-completion/completions/jacinthfall
    jacinthfall completion fish > ~/.config/fish/completions/jacinthfall.fish";

/// Runs the command.
pub fn run(arguments: &[String]) -> Result<Outcome, Failure> {
    let command = Command::new("completion SHELL", BRIEF);
    let Some(arguments) = command.parse(arguments)? else { return Ok(Outcome::Done) };
    let script = match arguments.operand()? {
        "bash" => bash(),
        "zsh" => {
            format!("#compdef jacinthfall\nautoload -U bashcompinit\nbashcompinit\n{}", bash())
        }
        "fish" => fish(),
        other => {
            let text = format!("unknown shell `{other}`; use bash, zsh or fish");
            return Err(Failure::usage(text));
        }
    };
    options::write(&script);
    Ok(Outcome::Done)
}

fn command_names() -> String {
    COMMANDS.map(|command| command.name).join(" ")
}

/// Returns the commands that take one of a fixed set of words, with these words.
fn completed_words() -> impl Iterator<Item = (&'static str, String)> {
    let completed_words = COMMANDS.into_iter().filter(|command| !command.words.is_empty());
    completed_words.map(|command| (command.name, command.words.join(" ")))
}

fn bash() -> String {
    let cases = completed_words().map(|(name, words)| {
        format!("    {name}) COMPREPLY=($(compgen -W \"{words}\" -- \"$word\")) ;;\n")
    });
    let cases: String = cases.collect();
    format!(
        "_jacinthfall() {{\n  local word=\"${{COMP_WORDS[COMP_CWORD]}}\"\n  \
         if [ \"$COMP_CWORD\" -eq 1 ]; then\n    \
         COMPREPLY=($(compgen -W \"{}\" -- \"$word\"))\n    return\n  fi\n  \
         case \"${{COMP_WORDS[1]}}\" in\n{cases}    \
         *) COMPREPLY=($(compgen -f -- \"$word\")) ;;\n  esac\n}}\n\
         complete -F _jacinthfall jacinthfall\n",
        command_names()
    )
}

fn fish() -> String {
    let lines = completed_words().map(|(name, words)| {
        format!(
            "complete -c jacinthfall -n \"__fish_seen_subcommand_from {name}\" -f -a \"{words}\"\n"
        )
    });
    let lines: String = lines.collect();
    let names = command_names();
    format!("complete -c jacinthfall -n __fish_use_subcommand -f -a \"{names}\"\n{lines}")
}
