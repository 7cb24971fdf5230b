package bench

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the result of one run of the tool.
type Report struct {
	Tables []Table `json:"tables"`
}

// Table is the result of one experiment.
type Table struct {
	Title string `json:"title"`
	// Setup describes the load, the faults and the seed.
	Setup   string     `json:"setup"`
	Columns []string   `json:"columns"`
	Rows    [][]string `json:"rows"`
}

func (t Table) write(w io.Writer) error {
	fmt.Fprintf(w, "%s\n%s\n", t.Title, t.Setup)
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(table, strings.Join(t.Columns, "\t")+"\t")
	for _, row := range t.Rows {
		fmt.Fprintln(table, strings.Join(row, "\t")+"\t")
	}
	return table.Flush()
}

func (r Report) writeJSON(path string) error {
	body, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return err
	}
	return os.WriteFile(path, append(body, '\n'), 0o644)
}

// milliseconds formats a duration in milliseconds with two decimals.
func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.2f ms", float64(d)/float64(time.Millisecond))
}

// percent formats part as a percentage of whole, or "-" if whole is 0.
func percent(part, whole int) string {
	if whole == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f %%", 100*float64(part)/float64(whole))
}
