package ingress

import (
	"net/http"
	"strconv"
	"time"

	"github.com/galenalever/galenalever/internal/model"
)

// HeaderTimeout is the header in which a caller says, in milliseconds, how long
// it waits for the answer. The route's deadline holds if it is shorter.
const HeaderTimeout = "X-Request-Timeout-Ms"

// defaultDeadline holds for a route that sets none.
const defaultDeadline = 30 * time.Second

// deadlineOf returns the end of the time for the whole answer.
func deadlineOf(r *http.Request, rt *model.Route, now time.Time) (time.Time, *refusal) {
	timeout := rt.Deadline
	if timeout <= 0 {
		timeout = defaultDeadline
	}
	value := r.Header.Get(HeaderTimeout)
	if value == "" {
		return now.Add(timeout), nil
	}
	const base, bits = 10, 32
	wanted, err := strconv.ParseUint(value, base, bits)
	if err != nil || wanted == 0 {
		return time.Time{}, notRun(http.StatusBadRequest, reasonInvalid)
	}
	return now.Add(min(timeout, time.Duration(wanted)*time.Millisecond)), nil
}
