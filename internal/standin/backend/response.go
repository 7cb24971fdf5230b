package backend

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Response is the first line of the body of a response, as JSON. It repeats the
// request, so that a caller can check that the response belongs to its own request.
// Size bytes of padding follow, which depend on the ledger ID.
type Response struct {
	LedgerID   string `json:"ledger_id"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodySHA256 string `json:"body_sha256"`
	Server     string `json:"server"`
	Size       int    `json:"size"`
}

// Expected is the request to which a response must belong. Size is the number of
// bytes of padding.
type Expected struct {
	LedgerID, Method, Path string
	Body                   []byte
	Size                   int
}

// Check returns an error unless body is the complete response to the expected
// request.
func Check(body []byte, e Expected) error {
	firstLine, padding, ok := bytes.Cut(body, []byte("\n"))
	if !ok {
		return eris.New("the response has no complete first line")
	}
	var got Response
	if err := json.Unmarshal(firstLine, &got); err != nil {
		return eris.Wrap(err, "decoding the response's first line")
	}
	sum := sha256.Sum256(e.Body)
	want := Response{e.LedgerID, e.Method, e.Path, hex.EncodeToString(sum[:]), got.Server, e.Size}
	if got != want {
		return eris.Errorf("the response belongs to another request: got %+v, want %+v", got, want)
	}
	if !bytes.Equal(padding, makePadding(e.LedgerID, e.Size)) {
		return eris.Errorf("the response's padding is wrong: got %d bytes, want %d", len(padding), e.Size)
	}
	return nil
}

func (r Response) encode() []byte {
	firstLine, err := json.Marshal(r)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return append(append(firstLine, '\n'), makePadding(r.LedgerID, r.Size)...)
}

// makePadding returns size bytes that differ for different ledger IDs.
func makePadding(id string, size int) []byte {
	pattern := []byte(id + ".")
	return bytes.Repeat(pattern, size/len(pattern)+1)[:size]
}
