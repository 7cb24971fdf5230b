package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Bounds of the latency histograms in microseconds, and their significant digits.
const (
	histogramMin    = 1
	histogramMax    = 120_000_000
	histogramDigits = 3
)

// summary is the number of samples by result and the latency distributions of
// answered and of refused requests.
type summary struct {
	total, answered, notRun, unknown, failed int
	latency                                  *hdrhistogram.Histogram
	refusalLatency                           *hdrhistogram.Histogram
}

// summarise returns the summary of the samples for which keep returns true.
func summarise(samples []sample, keep func(sample) bool) summary {
	s := summary{
		latency:        hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
		refusalLatency: hdrhistogram.New(histogramMin, histogramMax, histogramDigits),
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
	microseconds := min(max(one.latency.Microseconds(), histogramMin), histogramMax)
	switch one.result {
	case resultAnswered:
		s.answered++
		_ = s.latency.RecordValue(microseconds) // cannot fail: clamped to the bounds
	case resultNotRun:
		s.notRun++
		_ = s.refusalLatency.RecordValue(microseconds)
	case resultUnknown:
		s.unknown++
	default:
		s.failed++
	}
}

// percentile returns the p-th percentile, with p from 0 to 100, of the latency of
// answered requests; 0 if there are none.
func (s summary) percentile(p float64) time.Duration {
	return time.Duration(s.latency.ValueAtQuantile(p)) * time.Microsecond
}

// medianRefusal returns the median latency of requests refused as not run; 0 if there
// are none.
func (s summary) medianRefusal() time.Duration {
	return time.Duration(s.refusalLatency.ValueAtQuantile(50)) * time.Microsecond
}

// inPhase returns a filter for the samples of one phase.
func inPhase(phase int) func(sample) bool {
	return func(s sample) bool { return s.phase == phase }
}
