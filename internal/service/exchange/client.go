package exchange

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/httpclient"
	"github.com/galenalever/galenalever/internal/wire"
)

const (
	dialTimeout = time.Second
	// connIdleTimeout is the time after which idle connections are closed.
	connIdleTimeout = 20 * time.Second
	// maxResponseBytes bounds a decompressed response; the complete state of the
	// largest mesh fits.
	maxResponseBytes = 32 << 20
)

// newHTTPClient returns an HTTP client that counts its bytes. It does not request
// compression by itself, and twirpClient omits the user agent: these headers would take
// more bytes than most messages.
func newHTTPClient(bytes *byteCounters) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         bytes.countDial(dialer.DialContext),
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     connIdleTimeout,

			MaxResponseHeaderBytes: httpclient.MaxHeaderBytes,
		},
	}
}

func newExchangeClient(client twirpClient, address string) wire.Exchange {
	return wire.NewExchangeProtobufClient("http://"+address, client)
}

// largeResponseBytes is the size above which responses are compressed, and above
// which a node that follows others reads only one response at a time, because two
// would transfer the same changes over its link.
const largeResponseBytes = 16 << 10

// errLargeResponseInProgress means that a large response was discarded because the
// response of another node is being read.
var errLargeResponseInProgress = eris.New("large response discarded while that of another node is read")

// twirpClient sends only the headers that Twirp requires and bounds the size of
// responses.
type twirpClient struct {
	client *http.Client
	// largeResponses has one slot, which is occupied while this node reads a large
	// response of a node that it follows.
	largeResponses slots
}

// responseOptions controls how the response of a call is read. It is a value of the
// call's context under responseOptionsKey.
type responseOptions struct {
	// onProgress is called after each read that returns data. It may be nil.
	onProgress func()
	// following is true for polls of the nodes that this one follows. They accept
	// compressed responses, which requires an additional header.
	following bool
}

type responseOptionsKey struct{}

// Do implements wire.HTTPClient.
func (c twirpClient) Do(r *http.Request) (*http.Response, error) {
	r.Header = http.Header{
		"Content-Type": r.Header["Content-Type"],
		"User-Agent":   {""},
	}
	options, _ := r.Context().Value(responseOptionsKey{}).(responseOptions)
	if options.following {
		r.Header["Accept-Encoding"] = []string{encodingGzip}
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	body := limitedBody{Closer: response.Body, release: func() {}}
	if options.following && response.ContentLength > largeResponseBytes {
		if !c.largeResponses.tryAcquire() {
			_ = response.Body.Close()
			return nil, errLargeResponseInProgress
		}
		body.release = sync.OnceFunc(c.largeResponses.release)
	}
	content, err := decompressed(response, &progressReader{Reader: response.Body, onProgress: options.onProgress})
	if err != nil {
		_ = body.Close()
		return nil, eris.Wrap(err, "reading a compressed response")
	}
	body.Reader = httpclient.NewReader(content, maxResponseBytes)
	response.Body = body
	return response, nil
}

// progressReader calls onProgress after each read that returns data.
type progressReader struct {
	io.Reader
	// onProgress may be nil.
	onProgress func()
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && r.onProgress != nil {
		r.onProgress()
	}
	return n, err
}

// limitedBody is a response body of bounded size. Close calls release.
type limitedBody struct {
	io.Reader
	io.Closer
	release func()
}

// Close implements io.Closer.
func (b limitedBody) Close() error {
	b.release()
	return b.Closer.Close()
}
