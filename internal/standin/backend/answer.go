package backend

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"
)

// Answer is the first line of the answer to a request, as JSON. Size bytes of
// padding follow, which depend on the ledger ID.
type Answer struct {
	LedgerID   string `json:"ledger_id"`
	Method     string `json:"method"`
	Path       string `json:"path"`
	BodySHA256 string `json:"body_sha256"`
	Server     string `json:"server"`
	Size       int    `json:"size"`
}

// Expected is the request whose answer is checked.
type Expected struct {
	LedgerID, Method, Path string
	Body                   []byte
	Size                   int
}

// Check returns an error unless body is the whole answer to the expected
// request.
func Check(body []byte, e Expected) error {
	line, padding, ok := bytes.Cut(body, []byte("\n"))
	if !ok {
		return eris.New("the answer's first line is cut")
	}
	var a Answer
	if err := json.Unmarshal(line, &a); err != nil {
		return eris.Wrap(err, "the answer's first line")
	}
	sum := sha256.Sum256(e.Body)
	want := Answer{e.LedgerID, e.Method, e.Path, hex.EncodeToString(sum[:]), a.Server, e.Size}
	if a != want {
		return eris.Errorf("the answer is to another request: got %+v, want %+v", a, want)
	}
	if !bytes.Equal(padding, pad(e.LedgerID, e.Size)) {
		return eris.Errorf("the answer's padding is wrong: got %d bytes, want %d", len(padding), e.Size)
	}
	return nil
}

func (a Answer) encode() []byte {
	line, err := json.Marshal(a)
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return append(append(line, '\n'), pad(a.LedgerID, a.Size)...)
}

// pad repeats a pattern that tells the answers to different requests apart.
func pad(id string, size int) []byte {
	pattern := []byte(id + ".")
	return bytes.Repeat(pattern, size/len(pattern)+1)[:size]
}
