package document

import (
	"math"
	"regexp"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// maxNameLength is the largest length of a name in bytes. namePattern must allow the
// same length.
const maxNameLength = 63

// maxQuotedBytes bounds each excerpt of a document in a finding.
const maxQuotedBytes = 80

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

func isName(s string) bool { return namePattern.MatchString(s) }

// shorten truncates text to maxQuotedBytes and marks the omission.
func shorten(s string) string {
	if len(s) <= maxQuotedBytes {
		return s
	}
	return strings.ToValidUTF8(s[:maxQuotedBytes], "") + "..."
}

// quote returns a shortened text in quotation marks, with escapes.
func quote(s string) string { return strconv.Quote(shorten(s)) }

// text reads a string; it reports false for another type.
func (r *reader) text(v value) (string, bool) {
	switch node := v.node.(type) {
	case *ast.StringNode:
		return node.Value, true
	case *ast.LiteralNode:
		return node.Value.Value, true
	default:
		r.addf(v, "must be text, not %s", kindOf(v.node))
		return "", false
	}
}

// boolean reads true or false.
func (r *reader) boolean(v value) bool {
	node, ok := v.node.(*ast.BoolNode)
	if !ok {
		r.addf(v, "must be true or false, not %s", kindOf(v.node))
		return false
	}
	return node.Value
}

// intRange is an inclusive range of whole numbers.
type intRange struct{ low, high int }

// integer reads a whole number within a range. It returns the lower limit for an
// invalid one.
func (r *reader) integer(v value, limits intRange) int {
	node, ok := v.node.(*ast.IntegerNode)
	if !ok {
		r.addf(v, "must be a whole number, not %s", kindOf(v.node))
		return limits.low
	}
	number, err := strconv.Atoi(strings.ReplaceAll(node.GetToken().Value, "_", ""))
	if err != nil || number < limits.low || number > limits.high {
		r.addf(v, "%s is not within %d to %d", quote(node.GetToken().Value), limits.low, limits.high)
		return limits.low
	}
	return number
}

// durationRange is an inclusive range of durations.
type durationRange struct{ low, high time.Duration }

// duration reads a duration such as "2s" within a range. It returns the lower limit
// for an invalid one.
func (r *reader) duration(v value, limits durationRange) time.Duration {
	text, ok := r.text(v)
	if !ok {
		return limits.low
	}
	d, err := time.ParseDuration(text)
	if err != nil {
		r.addf(v, "%s is not a duration such as 500ms, 2s or 5m", quote(text))
		return limits.low
	}
	if d < limits.low || d > limits.high {
		r.addf(v, "%s is not within %s to %s", text, limits.low, limits.high)
		return limits.low
	}
	return d
}

// sizeUnits are the units of sizes in bytes.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}, {"B", 1}}

// size reads a size such as "10MiB" and returns it in bytes. It returns 0 for an
// invalid size or one above the limit.
func (r *reader) size(v value, limit int64) int64 {
	text, ok := r.text(v)
	if !ok {
		return 0
	}
	bytes, ok := parseSize(text)
	if !ok {
		r.addf(v, "%s is not a size such as 512KiB or 10MiB", quote(text))
		return 0
	}
	if bytes > limit {
		r.addf(v, "%s is more than the limit of %dMiB", quote(text), limit>>20)
		return 0
	}
	return bytes
}

// parseSize returns a size in bytes, or false if the text is invalid or too large for
// an int64.
func parseSize(text string) (int64, bool) {
	for _, unit := range sizeUnits {
		digits, ok := strings.CutSuffix(text, unit.suffix)
		if !ok {
			continue
		}
		n, err := strconv.ParseUint(digits, 10, 63)
		if err != nil || n > uint64(math.MaxInt64/unit.bytes) {
			return 0, false
		}
		return int64(n) * unit.bytes, true
	}
	return 0, false
}

// oneOf reads a string that must be one of the allowed ones. It returns the first of
// them for another one.
func (r *reader) oneOf(v value, allowed ...string) string {
	text, ok := r.text(v)
	if !ok {
		return allowed[0]
	}
	for _, a := range allowed {
		if text == a {
			return text
		}
	}
	r.addf(v, "%s is not one of %s", quote(text), strings.Join(allowed, ", "))
	return allowed[0]
}

// texts reads a list of strings. Those that check rejects are left out; check adds
// the finding itself. Duplicates are findings.
func (r *reader) texts(v value, check func(value, string) bool) []string {
	seen := make(map[string]bool)
	var out []string
	for _, item := range r.items(v) {
		text, ok := r.text(item)
		if !ok || !check(item, text) {
			continue
		}
		if seen[text] {
			r.addf(item, "duplicate value %s", quote(text))
			continue
		}
		seen[text] = true
		out = append(out, text)
	}
	return out
}

// items returns the items of a list.
func (r *reader) items(v value) []value {
	list, ok := v.node.(*ast.SequenceNode)
	if !ok {
		r.addf(v, "must be a list, not %s", kindOf(v.node))
		return nil
	}
	out := make([]value, len(list.Values))
	for i, node := range list.Values {
		out[i] = value{node: node, path: v.path + "[" + strconv.Itoa(i) + "]"}
	}
	return out
}
