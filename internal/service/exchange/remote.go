package exchange

import (
	"io"
	"net"
	"net/http"
	"time"

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
func newRemote(client *http.Client, address string) wire.Exchange {
	return wire.NewExchangeProtobufClient("http://"+address, leanClient{client})
}

// leanClient sends only the headers that Twirp needs and bounds the answers.
type leanClient struct {
	client *http.Client
}

// Do implements wire.HTTPClient.
func (c leanClient) Do(r *http.Request) (*http.Response, error) {
	r.Header = http.Header{
		"Content-Type": r.Header["Content-Type"],
		"User-Agent":   {""},
	}
	response, err := c.client.Do(r)
	if err != nil {
		return nil, err
	}
	response.Body = limitedBody{Reader: io.LimitReader(response.Body, maxResponseBytes), Closer: response.Body}
	return response, nil
}

type limitedBody struct {
	io.Reader
	io.Closer
}
