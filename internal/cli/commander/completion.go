package commander

import (
	"context"
	"reflect"
	"strings"

	"github.com/pkg/errors"
)

// CompletionCmd implements the completion command.
type CompletionCmd struct {
	Shell string `arg:"positional,required" help:"bash or zsh"`
}

// Run prints the script. Its word lists are derived from the fields of Commands.
func (c *CompletionCmd) Run(_ context.Context, env Env) (int, error) {
	if c.Shell != "bash" && c.Shell != "zsh" {
		return codeUsage, errors.Errorf("shell is %q; it must be bash or zsh", c.Shell)
	}
	p := printer{w: env.Out}
	if c.Shell == "zsh" {
		p.printf("autoload -U +X bashcompinit && bashcompinit\n")
	}
	p.printf("%s", completionHead)
	writeWords(&p, "", reflect.TypeFor[Commands]())
	p.printf("%s", completionTail)

	return codeOK, p.err
}

// completionHead is the beginning of the script. It collects the leading words
// that are subcommands; the cases written after it select the possible next
// words.
const completionHead = `_greengagewall() {
    local word path="" words="" i
    for ((i = 1; i < COMP_CWORD; i++)); do
        word="${COMP_WORDS[i]}"
        case "$word" in -*) break ;; esac
        path="$path $word"
    done
    case "${path# }" in
`

const completionTail = `    esac
    COMPREPLY=($(compgen -W "$words" -- "${COMP_WORDS[COMP_CWORD]}"))
}
complete -o default -F _greengagewall greengagewall
`

// writeWords writes the cases of a command and of its subcommands. The longest
// path comes first, because the shell takes the first case that matches.
func writeWords(p *printer, path string, command reflect.Type) {
	words := []string{"--help"}
	for _, field := range reflect.VisibleFields(command) {
		for part := range strings.SplitSeq(field.Tag.Get("arg"), ",") {
			name, isSubcommand := strings.CutPrefix(part, "subcommand:")
			switch {
			case isSubcommand:
				words = append(words, name)
				writeWords(p, strings.TrimSpace(path+" "+name), field.Type.Elem())
			case strings.HasPrefix(part, "--"):
				words = append(words, part)
			}
		}
	}
	pattern := `"` + path + `"`
	if path != "" {
		pattern += `|"` + path + ` "*`
	}
	p.printf("    %s) words=\"%s\" ;;\n", pattern, strings.Join(words, " "))
}
