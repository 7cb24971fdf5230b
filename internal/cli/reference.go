package cli

import (
	"fmt"
	"strings"

	"github.com/alecthomas/kong"
)

// Reference returns Markdown sections that document every command, argument and
// flag of a program. Target is the same pointer as for Parse.
func Reference(target any, name string) (string, error) {
	parser, err := kong.New(target, kong.Name(name), kong.Vars{"version": Version})
	if err != nil {
		return "", err
	}
	var b strings.Builder
	writeCommand(&b, parser.Model.Node)
	return b.String(), nil
}

// writeCommand writes the section of a command, if it has arguments or flags, and
// those of its subcommands.
func writeCommand(b *strings.Builder, command *kong.Node) {
	flags := documentedFlags(command.Flags)
	if len(flags)+len(command.Positional) > 0 {
		fmt.Fprintf(b, "## %s\n\n", command.FullPath())
		if command.Type == kong.CommandNode {
			fmt.Fprintf(b, "%s\n\n", command.Help)
		}
		b.WriteString("| flag | environment | default | meaning |\n| --- | --- | --- | --- |\n")
	}
	for _, argument := range command.Positional {
		fmt.Fprintf(b, "| %s | | %s | %s |\n", codeSpan(argument.Summary()), defaultText(argument), argument.Help)
	}
	for _, flag := range flags {
		fmt.Fprintf(b, "| `--%s` | %s | %s | %s |\n", flag.Name, codeSpan(strings.Join(flag.Envs, ", ")), defaultText(flag.Value), flag.Help)
	}
	if len(flags)+len(command.Positional) > 0 {
		b.WriteString("\n")
	}
	for _, child := range command.Children {
		writeCommand(b, child)
	}
}

// documentedFlags leaves out help and version, which every command has.
func documentedFlags(flags []*kong.Flag) []*kong.Flag {
	var out []*kong.Flag
	for _, flag := range flags {
		if flag.Name != "help" && flag.Name != "version" {
			out = append(out, flag)
		}
	}
	return out
}

func defaultText(v *kong.Value) string {
	switch {
	case v.Required:
		return "required"
	case v.HasDefault:
		return codeSpan(v.Default)
	case v.IsBool():
		return codeSpan("false")
	default:
		return "none"
	}
}

func codeSpan(text string) string {
	if text == "" {
		return ""
	}
	return "`" + text + "`"
}
