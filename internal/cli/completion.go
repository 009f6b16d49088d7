package cli

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh,fish" help:"bash, zsh or fish."`
}

// Run prints a completion script for the shell. The script is generated from the definitions of the commands.
func (c *completionCommand) Run(s *session, k *kong.Kong) error {
	wordsByPath := map[string][]string{}
	collectWords(k.Model.Node, "", wordsByPath)
	var err error
	switch c.Shell {
	case "fish":
		_, err = fmt.Fprint(s.stdout, fishScript(wordsByPath))
	case "zsh":
		_, err = fmt.Fprint(s.stdout, "autoload -U +X bashcompinit && bashcompinit\n"+bashScript(wordsByPath))
	default:
		_, err = fmt.Fprint(s.stdout, bashScript(wordsByPath))
	}
	return err
}

// collectWords adds entries to wordsByPath: for the command n, whose path of command names is path, and for each command below it,
// the flags and subcommands that may follow.
func collectWords(n *kong.Node, path string, wordsByPath map[string][]string) {
	words := []string{}
	for _, group := range n.AllFlags(true) {
		for _, flag := range group {
			words = append(words, "--"+flag.Name)
		}
	}
	for _, child := range n.Children {
		words = append(words, child.Name)
		collectWords(child, strings.TrimSpace(path+" "+child.Name), wordsByPath)
	}
	wordsByPath[path] = words
}

func bashScript(wordsByPath map[string][]string) string {
	var b strings.Builder
	b.WriteString("_bamboohook() {\n  local path=\"\" word words\n")
	b.WriteString("  for word in \"${COMP_WORDS[@]:1:COMP_CWORD-1}\"; do\n    case \"$word\" in -*) ;; *) path=\"${path:+$path }$word\" ;; esac\n  done\n")
	b.WriteString("  case \"$path\" in\n")
	for _, path := range sortedKeys(wordsByPath) {
		fmt.Fprintf(&b, "    %q) words=%q ;;\n", path, strings.Join(wordsByPath[path], " "))
	}
	b.WriteString("    *) words=\"\" ;;\n  esac\n")
	b.WriteString("  COMPREPLY=($(compgen -W \"$words\" -- \"${COMP_WORDS[COMP_CWORD]}\"))\n")
	b.WriteString("  [ ${#COMPREPLY[@]} -gt 0 ] || COMPREPLY=($(compgen -f -- \"${COMP_WORDS[COMP_CWORD]}\"))\n}\n")
	b.WriteString("complete -F _bamboohook bamboohook\n")
	return b.String()
}

func fishScript(wordsByPath map[string][]string) string {
	var b strings.Builder
	for _, path := range sortedKeys(wordsByPath) {
		condition := "__fish_use_subcommand"
		if path != "" {
			condition = "__fish_seen_subcommand_from " + path[strings.LastIndex(path, " ")+1:]
		}
		fmt.Fprintf(&b, "complete -c bamboohook -n '%s' -a '%s'\n", condition, strings.Join(wordsByPath[path], " "))
	}
	return b.String()
}
