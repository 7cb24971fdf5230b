package forward

import (
	"io"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

var errDetached = eris.New("the attempt ended before the gate requested the body")

// The states of a withheldBody.
const (
	bodyUnread int32 = iota
	bodyRead
	bodyDetached
)

// withheldBody is the body of an attempt that is sent with "Expect: 100-continue". A gate
// runs such a request only after it has received the first byte of the body, so a body
// that was never read proves that the attempt has not run.
type withheldBody struct {
	io.ReadCloser
	state atomic.Int32
}

// Read implements io.Reader. It fails after detach.
func (b *withheldBody) Read(p []byte) (int, error) {
	if b.state.Load() != bodyRead && !b.state.CompareAndSwap(bodyUnread, bodyRead) {
		return 0, errDetached
	}
	return b.ReadCloser.Read(p)
}

// detach prevents all reads and returns true, unless reading has begun.
func (b *withheldBody) detach() bool {
	return b.state.CompareAndSwap(bodyUnread, bodyDetached) || b.state.Load() == bodyDetached
}
