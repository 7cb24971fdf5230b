package source

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sys/unix"
)

const (
	// maxAnswerBytes bounds an answer; the list of instances is the largest.
	maxAnswerBytes = 32 << 20
	// maxRetryAfter bounds the wait that the platform can ask for.
	maxRetryAfter = time.Minute
	// dialTimeout bounds the opening of a connection.
	dialTimeout = time.Second
	// probeIdle, probeInterval and probeCount are the keep-alive probes that
	// find a connection dead while an answer is held back.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// unacknowledged bounds the time for which sent data may stay
	// unacknowledged.
	unacknowledged = 2 * time.Second
)

// Caller makes calls that are answered in JSON. It is safe for concurrent use.
type Caller struct {
	base string
	http *http.Client
	// observer is called after each call; nil if nobody asked.
	observer atomic.Pointer[func(Call)]
}

// Call tells how one call to the platform went.
type Call struct {
	Path string
	// Sent is when the call was sent, ResponseStarted when its answer began, which is
	// zero for a call without one, and Ended when all of it was decoded or given
	// up.
	Sent, ResponseStarted, Ended time.Time
	// Bytes is the size of the body that was read.
	Bytes int64
	Err   error
}

// Observe has a function called after each call, by the goroutine that made the
// call.
func (c *Caller) Observe(observer func(Call)) { c.observer.Store(&observer) }

// NewCaller returns a caller for a base URL.
func NewCaller(base string) *Caller {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: boundUnacknowledged,
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,
	}
	return &Caller{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

// boundUnacknowledged has the kernel break a connection whose peer does not
// acknowledge data.
func boundUnacknowledged(_, _ string, c syscall.RawConn) error {
	var failed error
	err := c.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unacknowledged.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return failed
}

// Get makes a call and reports it to the observer; see get.
func (c *Caller) Get(ctx context.Context, path string, query url.Values, wait, timeout time.Duration, out any) error {
	call := Call{Path: path, Sent: time.Now()}
	call.Err = c.get(ctx, path, query, wait, timeout, out, &call)
	call.Ended = time.Now()
	if observer := c.observer.Load(); observer != nil {
		(*observer)(call)
	}
	return call.Err
}

// get makes a call whose answer may be held back for the time wait, and decodes
// the answer. The answer must begin within the timeout after that, and then go on
// without a pause as long as the timeout: a large answer on a slow link takes
// longer than a small one. The error is ErrNoValue, ErrHistoryGone or a *BusyError for an
// answer that says so.
func (c *Caller) get(
	ctx context.Context, path string, query url.Values, wait, timeout time.Duration, out any, call *Call,
) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(wait+timeout, func() { cancel(errNoProgress) })
	defer timer.Stop()
	target := c.base + path
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return eris.Wrap(err, "building a call to the platform")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return eris.Wrap(because(ctx, err), "calling the platform")
	}
	defer response.Body.Close()
	call.ResponseStarted = time.Now()
	if err := checkStatus(response); err != nil {
		return err
	}
	progress := &progressReader{Reader: response.Body, timer: timer, timeout: timeout, bytes: &call.Bytes}
	body := io.LimitReader(progress, maxAnswerBytes)
	return eris.Wrap(because(ctx, json.NewDecoder(body).Decode(out)), "decoding the platform's answer")
}

// errNoProgress is the cause of a call that was given up.
var errNoProgress = eris.New("no answer, or no more of it, within the time limit")

// because returns the cause of a cancelled call in place of its error.
func because(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

// progressReader puts the end of a call off with each piece of its answer.
type progressReader struct {
	io.Reader
	timer   *time.Timer
	timeout time.Duration
	bytes   *int64
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(r.timeout)
		*r.bytes += int64(n)
	}
	return n, err
}

func checkStatus(response *http.Response) error {
	switch response.StatusCode {
	case http.StatusOK:
		return nil
	case http.StatusNotFound:
		return ErrNoValue
	case http.StatusGone:
		return ErrHistoryGone
	case http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return &BusyError{RetryAfter: retryAfter(response.Header), Status: response.Status}
	default:
		return eris.Errorf("the platform answered %s", response.Status)
	}
}

func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
}
