package bench

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"time"
)

// nodeUsage is the resource usage of one node since its start, and its role.
type nodeUsage struct {
	usage
	observedAt time.Time
	role       string
	// received and sent are in bytes of control traffic.
	received, sent uint64
	// loopBusy is the time that the control loop spent on handlers.
	loopBusy time.Duration
}

// observe reads the usage and role of every node.
func (e *capacityExperiment) observe(ctx context.Context) ([]nodeUsage, error) {
	var all []nodeUsage
	serving := make(map[string]bool)
	for _, n := range e.mesh.Nodes {
		report, err := e.client.Report(ctx, n.Addresses().Operator)
		if err != nil {
			return nil, err
		}
		used, err := readUsage(n.PID())
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
		u := nodeUsage{usage: used, observedAt: time.Now(), received: section.Received, sent: section.Sent, loopBusy: report.Loop.Busy}
		if section.Reader {
			u.role = "reader"
		}
		all = append(all, u)
	}
	for i, n := range e.mesh.Nodes {
		if all[i].role == "" {
			all[i].role = followerRole(serving[n.ID])
		}
	}
	return all, nil
}

// followerRole returns the role of a node that does not read the platform.
func followerRole(serves bool) string {
	if serves {
		return "serves others"
	}
	return "serves none"
}

// rows returns a row for each role: the mean usage of its nodes between two
// observations.
func (e *capacityExperiment) rows(before, after []nodeUsage, loaded time.Duration) [][]string {
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
	var cpu, memory, peak, received, sent, busy float64
	for _, i := range nodes {
		seconds := after[i].observedAt.Sub(before[i].observedAt).Seconds()
		cpu += (after[i].cpuTime - before[i].cpuTime).Seconds() / seconds
		busy += (after[i].loopBusy - before[i].loopBusy).Seconds() / seconds
		received += float64(after[i].received-before[i].received) / seconds
		sent += float64(after[i].sent-before[i].sent) / seconds
		memory += float64(after[i].resident)
		peak += float64(after[i].peak)
	}
	n := float64(len(nodes))
	return []string{
		role, fmt.Sprint(len(nodes)), fmt.Sprintf("%.2f %%", 100*cpu/n),
		fmt.Sprintf("%.0f MB", memory/n/1e6), fmt.Sprintf("%.0f MB", peak/n/1e6),
		fmt.Sprintf("%.0f B/s", received/n), fmt.Sprintf("%.0f B/s", sent/n), fmt.Sprintf("%.3f %%", 100*busy/n),
		loaded.Round(100 * time.Millisecond).String(),
	}
}
