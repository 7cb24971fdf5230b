package hop

import (
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// fieldWriter builds a URL-encoded list of fields. Empty texts and zeros are left
// out.
type fieldWriter struct{ strings.Builder }

func (w *fieldWriter) text(name, value string) {
	if value == "" {
		return
	}
	if w.Len() > 0 {
		w.WriteByte('&')
	}
	w.WriteString(name)
	w.WriteByte('=')
	w.WriteString(url.QueryEscape(value))
}

func (w *fieldWriter) number(name string, n uint64) {
	if n > 0 {
		w.text(name, strconv.FormatUint(n, 10))
	}
}

// duration adds a duration in microseconds. A negative one is left out.
func (w *fieldWriter) duration(name string, d time.Duration) {
	w.number(name, uint64(max(d, 0)/time.Microsecond))
}

// fieldReader reads fields of a parsed list. malformed becomes true when an invalid
// number or duration is read.
type fieldReader struct {
	values    url.Values
	malformed bool
}

// parseFields reports false if the text is empty or malformed.
func parseFields(text string) (*fieldReader, bool) {
	values, err := url.ParseQuery(text)
	return &fieldReader{values: values}, err == nil && text != ""
}

func (f *fieldReader) text(name string) string { return f.values.Get(name) }

// number returns a non-negative field, or 0 if it is absent or malformed.
func (f *fieldReader) number(name string) int64 {
	text := f.values.Get(name)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		f.malformed = true
		return 0
	}
	return n
}

// duration returns a field in microseconds. A value that overflows time.Duration is
// malformed.
func (f *fieldReader) duration(name string) time.Duration {
	n := f.number(name)
	if n > int64(math.MaxInt64/time.Microsecond) {
		f.malformed = true
		return 0
	}
	return time.Duration(n) * time.Microsecond
}
