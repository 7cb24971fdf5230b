package bench

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// nodeUsage is what one node has used and what role it plays.
type nodeUsage struct {
	usage
	at             time.Time
	role           string
	received, sent uint64
	busy           time.Duration
}

func (f *largeFleet) observe(ctx context.Context) ([]nodeUsage, error) {
	var all []nodeUsage
	serving := make(map[string]bool)
	for _, n := range f.mesh.Nodes {
		report, err := f.client.Report(ctx, n.Addresses().Operator)
		if err != nil {
			return nil, err
		}
		used, err := processUsage(n.PID())
		if err != nil {
			return nil, err
		}
		var section struct {
			Reader   bool   `json:"reader"`
			Upstream string `json:"upstream"`
			Received uint64 `json:"received_bytes"`
			Sent     uint64 `json:"sent_bytes"`
		}
		if err := json.Unmarshal(report.Sections["exchange"], &section); err != nil {
			return nil, err
		}
		serving[section.Upstream] = true
		one := nodeUsage{usage: used, at: time.Now(), received: section.Received, sent: section.Sent, busy: report.Loop.Busy}
		if section.Reader {
			one.role = "reader"
		}
		all = append(all, one)
	}
	for i, n := range f.mesh.Nodes {
		if all[i].role == "" {
			all[i].role = followerRole(serving[n.ID])
		}
	}
	return all, nil
}

func followerRole(serves bool) string {
	if serves {
		return "serves others"
	}
	return "serves none"
}

// rows condenses the usage between two observations, the mean of each role.
func (f *largeFleet) rows(before, after []nodeUsage, loaded time.Duration) [][]string {
	byRole := make(map[string][]int)
	for i, u := range after {
		byRole[u.role] = append(byRole[u.role], i)
	}
	var rows [][]string
	for role, nodes := range byRole {
		rows = append(rows, roleRow(role, nodes, before, after, loaded))
	}
	slices.SortFunc(rows, func(a, b []string) int { return cmp.Compare(a[0], b[0]) })
	return rows
}

func roleRow(role string, nodes []int, before, after []nodeUsage, loaded time.Duration) []string {
	var core, memory, highest, received, sent, busy float64
	for _, i := range nodes {
		seconds := after[i].at.Sub(before[i].at).Seconds()
		core += (after[i].processor - before[i].processor).Seconds() / seconds
		busy += (after[i].busy - before[i].busy).Seconds() / seconds
		received += float64(after[i].received-before[i].received) / seconds
		sent += float64(after[i].sent-before[i].sent) / seconds
		memory += float64(after[i].resident)
		highest += float64(after[i].highest)
	}
	n := float64(len(nodes))
	return []string{
		role, fmt.Sprint(len(nodes)), fmt.Sprintf("%.2f %%", 100*core/n),
		fmt.Sprintf("%.0f MB", memory/n/1e6), fmt.Sprintf("%.0f MB", highest/n/1e6),
		fmt.Sprintf("%.0f B/s", received/n), fmt.Sprintf("%.0f B/s", sent/n), fmt.Sprintf("%.3f %%", 100*busy/n),
		loaded.Round(100 * time.Millisecond).String(),
	}
}
