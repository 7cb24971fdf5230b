package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ticksPerSecond is the number of clock ticks per second (USER_HZ). The CPU times in
// /proc/PID/stat are in clock ticks.
const ticksPerSecond = 100

// usage is the CPU time and memory of a process.
type usage struct {
	cpuTime time.Duration
	// resident is the current and peak the highest resident memory so far, in bytes.
	resident, peak uint64
}

func readUsage(pid int) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The command is in parentheses and may contain spaces. The field after it is
	// the third.
	_, rest, ok := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return u, eris.Errorf("/proc stat of process %d has too few fields after the command: %d", pid, len(fields))
	}
	for _, field := range fields[11:13] { // utime and stime
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return u, eris.Wrapf(err, "parse CPU time of process %d", pid)
		}
		u.cpuTime += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	u.resident, u.peak, err = readMemory(pid)
	return u, err
}

func readMemory(pid int) (resident, peak uint64, err error) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, 0, err
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		var kilobytes uint64
		switch name {
		case "VmRSS":
			_, err = fmt.Sscan(value, &kilobytes)
			resident = kilobytes << 10
		case "VmHWM":
			_, err = fmt.Sscan(value, &kilobytes)
			peak = kilobytes << 10
		}
		if err != nil {
			return 0, 0, eris.Wrapf(err, "parse memory of process %d", pid)
		}
	}
	return resident, peak, nil
}
