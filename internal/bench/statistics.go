package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms, in microseconds.
const (
	histogramLow    = 1
	histogramHigh   = 120_000_000
	histogramDigits = 3
)

// summary condenses samples.
type summary struct {
	total, answered, notRun, unknown, failed int
	latency                                  *hdrhistogram.Histogram
	refusal                                  *hdrhistogram.Histogram
}

// summarise counts the samples that keep accepts.
func summarise(samples []sample, keep func(sample) bool) summary {
	s := summary{
		latency: hdrhistogram.New(histogramLow, histogramHigh, histogramDigits),
		refusal: hdrhistogram.New(histogramLow, histogramHigh, histogramDigits),
	}
	for _, one := range samples {
		if keep(one) {
			s.add(one)
		}
	}
	return s
}

func (s *summary) add(one sample) {
	s.total++
	microseconds := min(max(one.took.Microseconds(), histogramLow), histogramHigh)
	switch one.result {
	case resultAnswered:
		s.answered++
		_ = s.latency.RecordValue(microseconds) // within the bounds
	case resultNotRun:
		s.notRun++
		_ = s.refusal.RecordValue(microseconds)
	case resultUnknown:
		s.unknown++
	default:
		s.failed++
	}
}

// quantile returns a latency quantile of the answered requests; q is in
// percent.
func (s summary) quantile(q float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(q)) * time.Microsecond
}

// refusedAfter returns the median time until a refusal.
func (s summary) refusedAfter() time.Duration {
	return time.Duration(s.refusal.ValueAtQuantile(50)) * time.Microsecond
}

// inPhase accepts the samples of one phase.
func inPhase(phase int) func(sample) bool {
	return func(s sample) bool { return s.phase == phase }
}
