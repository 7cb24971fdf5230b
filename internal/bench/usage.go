package bench

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// ticksPerSecond is the unit of processor time in /proc/PID/stat.
const ticksPerSecond = 100

// usage is what a process has used so far.
type usage struct {
	processor time.Duration
	// resident and highest are in bytes.
	resident, highest uint64
}

// processUsage reads the usage of a process from the Linux proc file system.
func processUsage(pid int) (usage, error) {
	var u usage
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return u, err
	}
	// The fields after the command's closing parenthesis begin with the third.
	_, rest, ok := strings.Cut(string(stat), ") ")
	fields := strings.Fields(rest)
	if !ok || len(fields) < 13 {
		return u, eris.Errorf("stat of process %d has %d fields", pid, len(fields))
	}
	for _, field := range fields[11:13] { // utime and stime
		ticks, err := strconv.ParseInt(field, 10, 64)
		if err != nil {
			return u, eris.Wrapf(err, "processor time of process %d", pid)
		}
		u.processor += time.Duration(ticks) * time.Second / ticksPerSecond
	}
	u.resident, u.highest, err = residentMemory(pid)
	return u, err
}

func residentMemory(pid int) (resident, highest uint64, err error) {
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
			highest = kilobytes << 10
		}
		if err != nil {
			return 0, 0, eris.Wrapf(err, "memory of process %d", pid)
		}
	}
	return resident, highest, nil
}
