package metrics

import (
	"fmt"
	"io"
	"math"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// reporter stores the reported values of each series, which is a metric name with
// its tags. It implements tally.StatsReporter and is safe for concurrent use.
type reporter struct {
	mu       sync.Mutex
	counters map[string]int64
	gauges   map[string]float64
	timers   map[string]timerSummary
	// buckets holds the number of samples of each histogram bucket. A bucket does not
	// include the samples of lower ones.
	buckets map[string]int64
}

// timerSummary is the count, sum and maximum of the intervals of one timer.
type timerSummary struct {
	count    int64
	sum, max time.Duration
}

func newReporter() *reporter {
	return &reporter{
		counters: make(map[string]int64),
		gauges:   make(map[string]float64),
		timers:   make(map[string]timerSummary),
		buckets:  make(map[string]int64),
	}
}

// Capabilities implements tally.BaseStatsReporter.
func (r *reporter) Capabilities() tally.Capabilities { return r }

// Reporting implements tally.Capabilities.
func (r *reporter) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (r *reporter) Tagging() bool { return true }

// Flush implements tally.BaseStatsReporter.
func (r *reporter) Flush() {}

// ReportCounter implements tally.StatsReporter.
func (r *reporter) ReportCounter(name string, tags map[string]string, value int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.counters[series(name, tags)] += value
}

// ReportGauge implements tally.StatsReporter.
func (r *reporter) ReportGauge(name string, tags map[string]string, value float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.gauges[series(name, tags)] = value
}

// ReportTimer implements tally.StatsReporter.
func (r *reporter) ReportTimer(name string, tags map[string]string, interval time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	key := series(name, tags)
	t := r.timers[key]
	t.count++
	t.sum += interval
	t.max = max(t.max, interval)
	r.timers[key] = t
}

// ReportHistogramValueSamples implements tally.StatsReporter.
func (r *reporter) ReportHistogramValueSamples(
	name string, tags map[string]string, _ tally.Buckets, _, upper float64, samples int64,
) {
	bound := "+Inf"
	if upper < math.MaxFloat64 {
		bound = fmt.Sprint(upper)
	}
	r.addBucket(name, tags, bound, samples)
}

// ReportHistogramDurationSamples implements tally.StatsReporter.
func (r *reporter) ReportHistogramDurationSamples(
	name string, tags map[string]string, _ tally.Buckets, _, upper time.Duration, samples int64,
) {
	bound := "+Inf"
	if upper < math.MaxInt64 {
		bound = upper.String()
	}
	r.addBucket(name, tags, bound, samples)
}

func (r *reporter) addBucket(name string, tags map[string]string, bound string, samples int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.buckets[series(name+"_bucket", tags, "upto", bound)] += samples
}

// write writes one line of text for each series, in sorted order.
func (r *reporter) write(w io.Writer) error {
	_, err := io.WriteString(w, strings.Join(r.lines(), ""))
	return err
}

func (r *reporter) lines() []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	var lines []string
	for key, value := range r.counters {
		lines = append(lines, fmt.Sprintf("%s %d\n", key, value))
	}
	for key, value := range r.gauges {
		lines = append(lines, fmt.Sprintf("%s %g\n", key, value))
	}
	for key, t := range r.timers {
		lines = append(lines, fmt.Sprintf("%s count=%d sum=%s max=%s\n", key, t.count, t.sum, t.max))
	}
	for key, samples := range r.buckets {
		lines = append(lines, fmt.Sprintf("%s %d\n", key, samples))
	}
	slices.Sort(lines)
	return lines
}

// series formats a metric name with its tags in sorted order, followed by an
// optional extra label and its value.
func series(name string, tags map[string]string, extra ...string) string {
	labels := make([]string, 0, len(tags)+1)
	for tag, value := range tags {
		labels = append(labels, fmt.Sprintf("%s=%q", tag, value))
	}
	slices.Sort(labels)
	if len(extra) == 2 {
		labels = append(labels, fmt.Sprintf("%s=%q", extra[0], extra[1]))
	}
	if len(labels) == 0 {
		return name
	}
	return name + "{" + strings.Join(labels, ",") + "}"
}
