package hop

import (
	"math"
	"net/url"
	"strconv"
	"strings"
	"time"
)

// writer builds a list of fields. Empty texts and zeros are left out.
type writer struct{ strings.Builder }

func (w *writer) text(name, value string) {
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

func (w *writer) number(name string, n uint64) {
	if n > 0 {
		w.text(name, strconv.FormatUint(n, 10))
	}
}

// duration adds a time in microseconds; one below zero counts as none.
func (w *writer) duration(name string, d time.Duration) {
	w.number(name, uint64(max(d, 0)/time.Microsecond))
}

// fields is a list that was read. It is faulty once a number in it was asked for
// that is none.
type fields struct {
	values url.Values
	faulty bool
}

// parse reads a list. It reports false for text that is none.
func parse(text string) (*fields, bool) {
	values, err := url.ParseQuery(text)
	return &fields{values: values}, err == nil && text != ""
}

func (f *fields) text(name string) string { return f.values.Get(name) }

// number returns 0 for a field that is not there.
func (f *fields) number(name string) int64 {
	text := f.values.Get(name)
	if text == "" {
		return 0
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil || n < 0 {
		f.faulty = true
		return 0
	}
	return n
}

// duration reads a time in microseconds. One that time.Duration cannot hold is
// a fault.
func (f *fields) duration(name string) time.Duration {
	n := f.number(name)
	if n > int64(math.MaxInt64/time.Microsecond) {
		f.faulty = true
		return 0
	}
	return time.Duration(n) * time.Microsecond
}
