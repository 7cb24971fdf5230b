package source

import (
	"bytes"
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

	"github.com/galenalever/galenalever/internal/httpclient"
)

const (
	// maxResponseBytes limits a response body, of which the instance list is the largest.
	// Decoding a longer one fails.
	maxResponseBytes = 32 << 20
	// maxResponseElements limits the elements of the lists in a response body, each of
	// which may take many times the memory of its text. All commas count.
	maxResponseElements = 1 << 19
	// maxRetryAfter is the maximum of BusyError.RetryAfter; a longer Retry-After of the
	// platform is reduced to it.
	maxRetryAfter = time.Minute
	// dialTimeout limits the time to open a connection.
	dialTimeout = time.Second
	// probeIdle, probeInterval and probeCount configure the TCP keep-alive probes
	// that detect a dead connection while a response is outstanding.
	probeIdle     = time.Second
	probeInterval = 500 * time.Millisecond
	probeCount    = 3
	// userTimeout (TCP_USER_TIMEOUT) limits how long sent data may remain without
	// an acknowledgement.
	userTimeout = 2 * time.Second
)

// Caller makes HTTP GET calls and decodes JSON responses. It is safe for
// concurrent use.
type Caller struct {
	base string
	http *http.Client
	// observer is called after each call; nil if there is none.
	observer atomic.Pointer[func(Call)]
}

// Call describes one finished call to the platform.
type Call struct {
	Path string
	// Query is the encoded query, or empty.
	Query string
	// Sent is when the call was sent, ResponseStarted when the response header
	// arrived (zero without a response) and Ended when the body was decoded or the
	// call failed.
	Sent, ResponseStarted, Ended time.Time
	// Bytes is the number of body bytes read.
	Bytes int64
	Err   error
}

// Observe sets a function that is called after each call, on the goroutine that
// made the call. It replaces the previous function.
func (c *Caller) Observe(observer func(Call)) { c.observer.Store(&observer) }

// NewCaller returns a caller for the given base URL.
func NewCaller(base string) *Caller {
	dialer := &net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: probeIdle, Interval: probeInterval, Count: probeCount,
		},
		Control: setUserTimeout,
	}
	transport := &http.Transport{
		DialContext:         dialer.DialContext,
		DisableCompression:  true,
		MaxIdleConnsPerHost: 2,
		IdleConnTimeout:     time.Minute,

		MaxResponseHeaderBytes: httpclient.MaxHeaderBytes,
	}
	return &Caller{base: strings.TrimSuffix(base, "/"), http: &http.Client{Transport: transport}}
}

// setUserTimeout makes the operating system close a connection whose peer does
// not acknowledge data within userTimeout.
func setUserTimeout(_, _ string, c syscall.RawConn) error {
	var optionErr error
	err := c.Control(func(fd uintptr) {
		optionErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(userTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return optionErr
}

// Get makes a GET call, decodes the JSON response into out and reports the call to
// the observer. The server may delay the response by wait. After that the response
// must begin within timeout, and no gap between reads of its body may exceed timeout;
// the whole transfer has no time limit, since a large response on a slow link takes
// long. Status 404 is returned as ErrNoValue, 410 as ErrHistoryGone, 429 and 503 as
// *BusyError, and any other status than 200 as another error. Get returns the header of
// the response, nil with an error.
func (c *Caller) Get(
	ctx context.Context, path string, query url.Values, wait, timeout time.Duration, out any,
) (http.Header, error) {
	call := Call{Path: path, Query: query.Encode(), Sent: time.Now()}
	var header http.Header
	header, call.Err = c.get(ctx, wait, timeout, out, &call)
	call.Ended = time.Now()
	if observer := c.observer.Load(); observer != nil {
		(*observer)(call)
	}
	return header, call.Err
}

// get makes the call for Get and sets call.ResponseStarted and call.Bytes.
func (c *Caller) get(ctx context.Context, wait, timeout time.Duration, out any, call *Call) (http.Header, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timer := time.AfterFunc(wait+timeout, func() { cancel(errNoProgress) })
	defer timer.Stop()
	target := c.base + call.Path
	if call.Query != "" {
		target += "?" + call.Query
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, target, nil)
	if err != nil {
		return nil, eris.Wrap(err, "building a request to the platform")
	}
	response, err := c.http.Do(request)
	if err != nil {
		return nil, eris.Wrap(causeOf(ctx, err), "calling the platform")
	}
	defer response.Body.Close()
	call.ResponseStarted = time.Now()
	if err := checkStatus(response); err != nil {
		return nil, err
	}
	progress := &progressReader{Reader: response.Body, timer: timer, timeout: timeout, bytes: &call.Bytes}
	body := httpclient.NewReader(progress, maxResponseBytes)
	if err := json.NewDecoder(body).Decode(out); err != nil {
		return nil, eris.Wrap(causeOf(ctx, err), "decoding the platform's response")
	}
	return response.Header, nil
}

// errNoProgress is the cancellation cause of a call that timed out.
var errNoProgress = eris.New("no response, or no further data, within the time limit")

// causeOf returns err, or the cancellation cause instead if the context has ended. It
// returns nil if err is nil.
func causeOf(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}

var errTooManyElements = eris.Errorf("the lists of the response have more than %d elements", maxResponseElements)

// progressReader restarts the timeout of a call whenever data arrives. It fails after
// maxResponseElements commas.
type progressReader struct {
	io.Reader
	timer    *time.Timer
	timeout  time.Duration
	bytes    *int64
	elements int
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.timer.Reset(r.timeout)
		*r.bytes += int64(n)
	}
	if r.elements += bytes.Count(p[:n], []byte{','}); r.elements > maxResponseElements {
		return n, errTooManyElements
	}
	return n, err
}

// checkStatus returns the error for the status of a response, as Get documents it.
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
		return eris.Errorf("the platform responded with status %s", response.Status)
	}
}

// retryAfter returns the delay of a Retry-After header in seconds, at most
// maxRetryAfter. It returns 0 if the header is missing, negative or a date.
func retryAfter(h http.Header) time.Duration {
	seconds, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(min(seconds, int(maxRetryAfter/time.Second))) * time.Second
}
