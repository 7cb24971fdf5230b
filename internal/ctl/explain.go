package ctl

import (
	"bufio"
	"fmt"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/cli"
	"github.com/galenalever/galenalever/internal/decision/explain"
)

// maxLogLine bounds a line of a log in bytes.
const maxLogLine = 1 << 20

type explainCommand struct {
	Failed bool     `help:"List the failed requests by their reason instead."`
	Args   []string `arg:"" optional:"" name:"id-and-files" help:"The request's ID, but not with --failed, then log files; none reads standard input."`
}

// Run implements the command.
func (c *explainCommand) Run(w io.Writer) error {
	files := c.Args
	id := ""
	if !c.Failed {
		if len(files) == 0 {
			return cli.UsageError{Err: eris.New("the ID of a request is missing")}
		}
		id, files = files[0], files[1:]
	}
	logs := logReader{report: w}
	if err := logs.readAll(files); err != nil {
		return err
	}
	if logs.bad > 0 {
		fmt.Fprintf(w, "%d lines could not be read\n", logs.bad)
	}
	if c.Failed {
		for _, g := range explain.Failed(logs.lines) {
			fmt.Fprintf(w, "%6d  %-9s %-18s e.g. %s\n", g.Count, g.Outcome, g.Reason, g.Example)
		}
		return nil
	}
	course := explain.Request(logs.lines, id)
	for _, line := range course.Lines {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintln(w, "cause:", course.Cause)
	return nil
}

// logReader collects the lines of logs. Lines that cannot be read are counted
// and the first few named.
type logReader struct {
	report io.Writer
	lines  []explain.Line
	bad    int
}

func (r *logReader) readAll(files []string) error {
	if len(files) == 0 {
		return r.read("standard input", os.Stdin)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "opening a log")
		}
		err = r.read(name, file)
		_ = file.Close() // it was only read
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *logReader) read(name string, in io.Reader) error {
	const named = 3
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for number := 1; scanner.Scan(); number++ {
		line, err := explain.Parse(scanner.Bytes())
		if err == nil {
			r.lines = append(r.lines, line)
			continue
		}
		r.bad++
		if r.bad <= named {
			fmt.Fprintf(r.report, "%s:%d: %v\n", name, number, err)
		}
	}
	return eris.Wrapf(scanner.Err(), "reading %s", name)
}
