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

// maxLogLine is the maximum length of a log line in bytes.
const maxLogLine = 1 << 20

// explainCommand finds the cause of a failed request in log files.
type explainCommand struct {
	Failed bool     `help:"Count the failed requests by outcome and reason instead."`
	Args   []string `arg:"" optional:"" name:"id-and-files" help:"ID of the request (omitted with --failed), then the log files; without files, standard input is read."`
}

// Run implements the command.
func (c *explainCommand) Run(w io.Writer) error {
	files := c.Args
	id := ""
	if !c.Failed {
		if len(files) == 0 {
			return cli.UsageError{Err: eris.New("the ID of the request is missing")}
		}
		id, files = files[0], files[1:]
	}
	logs := logReader{out: w}
	if err := logs.readAll(files); err != nil {
		return err
	}
	if logs.invalid > 0 {
		fmt.Fprintf(w, "%d lines could not be read\n", logs.invalid)
	}
	if c.Failed {
		for _, g := range explain.Failed(logs.lines) {
			fmt.Fprintf(w, "%6d  %-9s %-18s e.g. %s\n", g.Count, g.Outcome, g.Reason, g.Example)
		}
		return nil
	}
	trace := explain.Request(logs.lines, id)
	for _, line := range trace.Lines {
		fmt.Fprintln(w, line)
	}
	fmt.Fprintln(w, "cause:", trace.Cause)
	return nil
}

// logReader collects the lines of log files. Lines that cannot be parsed are
// counted, and the first few of them, over all files, are reported on out.
type logReader struct {
	out     io.Writer
	lines   []explain.Line
	invalid int
}

func (r *logReader) readAll(files []string) error {
	if len(files) == 0 {
		return r.read("standard input", os.Stdin)
	}
	for _, name := range files {
		file, err := os.Open(name)
		if err != nil {
			return eris.Wrap(err, "opening a log file")
		}
		err = r.read(name, file)
		_ = file.Close() // the file was opened for reading only
		if err != nil {
			return err
		}
	}
	return nil
}

func (r *logReader) read(name string, in io.Reader) error {
	const maxReported = 3
	scanner := bufio.NewScanner(in)
	scanner.Buffer(nil, maxLogLine)
	for number := 1; scanner.Scan(); number++ {
		line, err := explain.Parse(scanner.Bytes())
		if err == nil {
			r.lines = append(r.lines, line)
			continue
		}
		r.invalid++
		if r.invalid <= maxReported {
			fmt.Fprintf(r.out, "%s:%d: %v\n", name, number, err)
		}
	}
	return eris.Wrapf(scanner.Err(), "reading %s", name)
}
