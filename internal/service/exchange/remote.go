package exchange

import (
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rotisserie/eris"

	"github.com/galenalever/galenalever/internal/wire"
)

const (
	dialTimeout = time.Second
	// connIdleTimeout closes connections to nodes that are no longer asked.
	connIdleTimeout = 20 * time.Second
	// maxResponseBytes bounds an answer; the complete state of the largest
	// mesh fits.
	maxResponseBytes = 32 << 20
)

// newClient returns an HTTP client that counts its bytes. It sends neither a
// user agent nor an offer of compression, which would cost more bytes than the
// messages.
func newClient(bytes *byteCounters) *http.Client {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Client{
		Transport: &http.Transport{
			DialContext:         bytes.countDial(dialer.DialContext),
			DisableCompression:  true,
			MaxIdleConnsPerHost: 1,
			IdleConnTimeout:     connIdleTimeout,
		},
	}
}

// newRemote returns the exchange of the node at a control address.
func newRemote(client leanClient, address string) wire.Exchange {
	return wire.NewExchangeProtobufClient("http://"+address, client)
}

// largeAnswer is the size in bytes from which a node that follows others reads one
// answer at a time, since two would bring the same changes over the same link, and
// from which answers to it are compressed.
const largeAnswer = 16 << 10

// errOtherAnswer means that a large answer was not read, since another node's is
// being read.
var errOtherAnswer = eris.New("a large answer of another node is being read")

// leanClient sends only the headers that Twirp needs, and bounds the answers.
type leanClient struct {
	client *http.Client
	// large is held while a node that follows others reads a large answer.
	large slots
}

// transfer is how the answer of a call is brought over. It travels in the context
// of the call, under transferKey.
type transfer struct {
	// progress is told of each piece of the answer.
	progress func()
	// following is true for the polls of a node that follows others. It asks for
	// compressed answers, which costs a header.
	following bool
}

type transferKey struct{}

// Do implements wire.HTTPClient.
func (c leanClient) Do(r *http.Request) (*http.Response, error) {
	r.Header = http.Header{
		"Content-Type": r.Header["Content-Type"],
		"User-Agent":   {""},
	}
	how, _ := r.Context().Value(transferKey{}).(transfer)
	if how.following {
		r.Header["Accept-Encoding"] = []string{encodingGzip}
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	body := limitedBody{Closer: response.Body, release: func() {}}
	if how.following && response.ContentLength > largeAnswer {
		if !c.large.tryAcquire() {
			_ = response.Body.Close()
			return nil, errOtherAnswer
		}
		body.release = sync.OnceFunc(c.large.release)
	}
	content, err := decompressed(response, &progressReader{Reader: response.Body, progress: how.progress})
	if err != nil {
		_ = body.Close()
		return nil, eris.Wrap(err, "reading a compressed answer")
	}
	body.Reader = io.LimitReader(content, maxResponseBytes)
	response.Body = body
	return response, nil
}

// progressReader tells of each piece that comes over the link.
type progressReader struct {
	io.Reader
	// progress may be nil.
	progress func()
}

// Read implements io.Reader.
func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 && r.progress != nil {
		r.progress()
	}
	return n, err
}

// limitedBody is a bounded body; release is called when it is closed.
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
