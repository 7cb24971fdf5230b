package cli

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// Reference returns a Markdown section on every command, argument and flag of a
// program. Target is the pointer that Parse takes.
func Reference(target any, name string) (string, error) {
	parser, err := kong.New(target, kong.Name(name), kong.Vars{"version": Version})
	if err != nil {
		return "", err
	}
	var b strings.Builder
	writeCommand(&b, parser.Model.Node)
	return b.String(), nil
}

// writeCommand writes a command that has settings, and the commands beneath it.
func writeCommand(b *strings.Builder, command *kong.Node) {
	flags := settable(command.Flags)
	if len(flags)+len(command.Positional) > 0 {
		fmt.Fprintf(b, "## %s\n\n", command.FullPath())
		if command.Type == kong.CommandNode {
			fmt.Fprintf(b, "%s\n\n", command.Help)
		}
		b.WriteString("| flag | environment | default | meaning |\n| --- | --- | --- | --- |\n")
	}
	for _, argument := range command.Positional {
		fmt.Fprintf(b, "| %s | | %s | %s |\n", code(argument.Summary()), defaultOf(argument), argument.Help)
	}
	for _, flag := range flags {
		fmt.Fprintf(b, "| `--%s` | %s | %s | %s |\n", flag.Name, code(strings.Join(flag.Envs, ", ")), defaultOf(flag.Value), flag.Help)
	}
	if len(flags)+len(command.Positional) > 0 {
		b.WriteString("\n")
	}
	for _, child := range command.Children {
		writeCommand(b, child)
	}
}

// settable leaves out the flags that only print something.
func settable(flags []*kong.Flag) []*kong.Flag {
	var out []*kong.Flag
	for _, flag := range flags {
		if flag.Name != "help" && flag.Name != "version" {
			out = append(out, flag)
		}
	}
	return out
}

func defaultOf(v *kong.Value) string {
	switch {
	case v.Required:
		return "required"
	case v.HasDefault:
		return code(v.Default)
	case v.IsBool():
		return code("false")
	default:
		return "none"
	}
}

func code(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
