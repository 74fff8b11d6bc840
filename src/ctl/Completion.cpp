#include "Completion.h"

namespace masticdrift::ctl {

namespace {

void addCases(const CLI::App &Command, const std::string &Path, std::string &CaseClauses) {
  std::string Words;
  for (const CLI::App *Child : Command.get_subcommands([](const CLI::App *) { return true; }))
    Words += " " + Child->get_name();
  for (const CLI::Option *NamedOption : Command.get_options())
    for (const std::string &Name : NamedOption->get_lnames())
      Words += " --" + Name;
  CaseClauses += "    '" + Path + "') words='" + (Words.empty() ? "" : Words.substr(1)) + "' ;;\n";
  for (const CLI::App *Child : Command.get_subcommands([](const CLI::App *) { return true; }))
    addCases(*Child, Path.empty() ? Child->get_name() : Path + " " + Child->get_name(),
             CaseClauses);
}

} // namespace

std::string completionScript(const CLI::App &Root) {
  std::string Cases;
  addCases(Root, "", Cases);
  return "_masticdriftctl() {\n"
         "  local cur=${COMP_WORDS[COMP_CWORD]} path='' words='' word\n"
         "  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n"
         "    case $word in\n"
         "      [a-z]*) path=\"${path:+$path }$word\" ;;\n"
         "      *) break ;;\n"
         "    esac\n"
         "  done\n"
         "  case $path in\n" +
         Cases +
         "  esac\n"
         "  COMPREPLY=($(compgen -W \"$words\" -- \"$cur\"))\n"
         "  [ ${#COMPREPLY[@]} -gt 0 ] || COMPREPLY=($(compgen -f -- \"$cur\"))\n"
         "}\n"
         "complete -F _masticdriftctl masticdriftctl\n";
}

} // namespace masticdrift::ctl
