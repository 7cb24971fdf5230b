package call

import (
	"bytes"
	"errors"
	"hash/crc32"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/rotisserie/eris"
)

// BufferLimit is the size in bytes up to which a body is kept in memory, so that
// the request can be sent again.
const BufferLimit = 64 << 10

// Body is the body of a caller's request. A small one is kept in memory and can
// be opened any number of times; a large one is a stream that can be opened
// again only until it is first read.
type Body struct {
	data   []byte
	stream io.Reader
	length int64
	digest uint32
	reader *streamReader
}

// ReadBody returns the body of the declared length (-1 if unknown) that r reads.
// It reads bodies of up to BufferLimit bytes into memory, and that much of larger ones.
// It returns an error if that fails.
func ReadBody(r io.Reader, length int64) (*Body, error) {
	if length == 0 {
		return &Body{}, nil
	}
	first, err := readFirst(r, length)
	if err != nil {
		return nil, err
	}
	body := &Body{data: first, length: int64(len(first)), digest: crc32.Checksum(first, digestTable)}
	if length > BufferLimit || len(first) > BufferLimit {
		body.data, body.length, body.stream = nil, length, io.MultiReader(bytes.NewReader(first), r)
	}
	return body, nil
}

var digestTable = crc32.MakeTable(crc32.Castagnoli)

// readFirst reads the first part of a body into memory: up to BufferLimit bytes, and one
// byte more if the length is unknown.
func readFirst(r io.Reader, length int64) ([]byte, error) {
	if length < 0 {
		return readUnknown(r)
	}
	data := make([]byte, min(length, BufferLimit))
	_, err := io.ReadFull(r, data)
	return data, err
}

// smallBody is the size in bytes of the first buffer for a body of unknown length.
const smallBody = 4 << 10

// readUnknown reads a body of unknown length up to one byte more than BufferLimit. It
// keeps at most smallBody bytes more than that.
func readUnknown(r io.Reader) ([]byte, error) {
	data := make([]byte, 0, smallBody)
	for len(data) <= BufferLimit {
		if len(data) == cap(data) {
			data = append(make([]byte, 0, BufferLimit+1), data...)
		}
		n, err := r.Read(data[len(data):cap(data)])
		data = data[:len(data)+n]
		if errors.Is(err, io.EOF) {
			return data, nil
		}
		if err != nil {
			return data, err
		}
	}
	return data, nil
}

// Digest returns a checksum of the part of the body that ReadBody has read. The retries
// of a request have equal digests; 0 means that the body is empty.
func (b *Body) Digest() uint32 { return b.digest }

// Length returns the length in bytes, or -1 if it is unknown.
func (b *Body) Length() int64 { return b.length }

// Streamed reports whether the body is a stream because it is too large to be kept
// in memory.
func (b *Body) Streamed() bool { return b.stream != nil }

// expectContinueThreshold is the size in bytes above which a body is sent only
// after a 100 Continue response. For smaller ones the extra round trip costs more than
// it saves.
const expectContinueThreshold = 4 << 10

// ExpectContinue reports whether the request should be sent with Expect:
// 100-continue, so that the body follows only when the receiver requests it.
func (b *Body) ExpectContinue() bool { return b.stream != nil || b.length > expectContinueThreshold }

// Replayable reports whether Open would return the whole body again. If so, the
// reader that the last Open returned for a stream can no longer be read.
func (b *Body) Replayable() bool {
	return b.stream == nil || b.reader == nil || b.reader.detach()
}

// Err returns the error, other than io.EOF, with which reading the caller's
// stream failed, or nil.
func (b *Body) Err() error {
	if b.reader == nil {
		return nil
	}
	if err := b.reader.err.Load(); err != nil {
		return *err
	}
	return nil
}

// Ended reports whether the whole body has been read from the caller.
func (b *Body) Ended() bool {
	return b.stream == nil || b.reader != nil && b.reader.ended.Load()
}

// IsTooLarge reports whether err means that a body exceeds its size limit.
func IsTooLarge(err error) bool {
	var tooLarge *http.MaxBytesError
	return errors.As(err, &tooLarge)
}

// Open returns a reader of the whole body. A streamed body has at most one reader
// in use: Replayable must return true before the next one is opened.
func (b *Body) Open() io.ReadCloser {
	switch {
	case b.length == 0:
		return http.NoBody
	case b.stream == nil:
		return io.NopCloser(bytes.NewReader(b.data))
	default:
		b.reader = &streamReader{stream: b.stream}
		return b.reader
	}
}

var errDetached = eris.New("the request body was detached for another attempt")

// The states of a streamReader.
const (
	streamUnread int32 = iota
	streamRead
	streamDetached
)

// streamReader reads a stream unless it was detached before its first read.
type streamReader struct {
	stream io.Reader
	state  atomic.Int32
	err    atomic.Pointer[error]
	// ended is true once the stream has been read to its end.
	ended atomic.Bool
}

// Read implements io.Reader.
func (s *streamReader) Read(p []byte) (int, error) {
	if s.state.Load() != streamRead && !s.state.CompareAndSwap(streamUnread, streamRead) {
		return 0, errDetached
	}
	n, err := s.stream.Read(p)
	switch {
	case errors.Is(err, io.EOF):
		s.ended.Store(true)
	case err != nil:
		s.err.Store(&err)
	}
	return n, err
}

// Close implements io.Closer. The stream belongs to the caller's connection.
func (s *streamReader) Close() error { return nil }

// detach prevents all reads and returns true, unless reading has begun.
func (s *streamReader) detach() bool {
	return s.state.CompareAndSwap(streamUnread, streamDetached) || s.state.Load() == streamDetached
}
