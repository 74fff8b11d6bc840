#include "Completion.h"

namespace masticdrift::ctl {

namespace {

void addCases(const CLI::App &At, const std::string &Path, std::string &Out) {
  std::string Words;
  for (const CLI::App *Each : At.get_subcommands([](const CLI::App *) { return true; }))
    Words += " " + Each->get_name();
  for (const CLI::Option *Each : At.get_options())
    for (const std::string &Name : Each->get_lnames())
      Words += " --" + Name;
  Out += "    '" + Path + "') words='" + (Words.empty() ? "" : Words.substr(1)) + "' ;;\n";
  for (const CLI::App *Each : At.get_subcommands([](const CLI::App *) { return true; }))
    addCases(*Each, Path.empty() ? Each->get_name() : Path + " " + Each->get_name(), Out);
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
