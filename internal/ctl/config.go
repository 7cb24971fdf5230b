package ctl

import (
	"fmt"
	"io"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/cli"
)

// configCommands are the commands on settings trees.
type configCommands struct {
	Check configCheck `cmd:"" help:"Check the documents of a settings tree before they are published."`
}

// configCheck is the command that checks the documents in a directory.
type configCheck struct {
	Dir string `arg:"" help:"Directory with root.yaml, teams/*.yaml and evacuations/*.yaml." type:"existingdir"`
}

// Run prints all findings and returns an error if there are any.
func (c *configCheck) Run(stdout io.Writer) error {
	tree, err := readTree(c.Dir)
	if err != nil {
		return err
	}
	list := tree.check()
	for _, f := range list {
		fmt.Fprintln(stdout, f)
	}
	if len(list) > 0 {
		return cli.UsageError{Err: eris.Errorf("findings: %d, documents: %d", len(list), len(tree.documents))}
	}
	fmt.Fprintf(stdout, "documents: %d, no findings\n", len(tree.documents))
	return nil
}
